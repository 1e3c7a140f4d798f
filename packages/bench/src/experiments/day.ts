/**
 * A seeded day with a surge, a capped shift, a drain of an availability zone, and the loss and return of a region.
 */
import type { DeploymentPlan } from "../deployment/plan.js";
import type { Report } from "../report/report.js";
import { type Baseline, startBaselineSystem } from "./day/baseline-system.js";
import { checkDay, violationMessages } from "./day/check-day.js";
import { computeDayFigures, createDayCharts } from "./day/day-figures.js";
import { createProductSystem } from "./day/product-system.js";
import { type DayRun, runDay } from "./day/run-day.js";
import { makeSchedule } from "./day/schedule.js";
import { withDeployment } from "./experiment.js";

export type DayOptions = { readonly plan: DeploymentPlan; readonly seed: number; readonly seconds: number };

const describeInterval = ({ from, to }: { from: number; to: number }) => `${from.toFixed(0)} to ${to.toFixed(0)} s`;

/** Report of a day that was run. */
function reportDay(name: string, command: string, run: DayRun): Report {
    const { surge, shift, drain, outage: loss } = run.schedule;
    const violations = checkDay(run);
    return {
        name,
        command,
        figures: computeDayFigures(run, violations),
        notes: [
            `Surge ${describeInterval(surge)}; shift of ${shift.service} from ${shift.fromRegion} to ${shift.toRegion} `
            + `${describeInterval(shift)}; drain of ${drain.availabilityZone} (pace ${drain.paceSeconds} s) `
            + `${describeInterval(drain)}; loss of ${loss.region} ${describeInterval(loss)}.`,
            "Latency: measured, and the link between entry and backend server added as the plan gives it, because no "
            + "proxy delays requests there. Link use: answers that entries passed on from other regions.",
            ...run.failures.map(failure => `Failed: ${failure}`),
        ],
        charts: createDayCharts(run),
        deadProcesses: run.deadProcesses,
        violations: violationMessages(violations),
    };
}

/** Runs the day on the processes of the product. */
export const runProductDay = ({ plan, seed, seconds }: DayOptions): Promise<Report> =>
    withDeployment(plan, async deployment => {
        const run = await runDay(plan, createProductSystem(deployment), makeSchedule(plan, seed, seconds), seed);
        const command = `npm run bench -- day --plan ${plan.name} --seed ${seed} --seconds ${seconds}`;
        return reportDay(`day-${plan.name}-${seed}`, command, run);
    });

/** Runs the same day on the request path with a baseline, in this process. */
export async function runBaselineDay({ plan, seed, seconds }: DayOptions, baseline: Baseline): Promise<Report> {
    const system = await startBaselineSystem(plan, baseline);
    try {
        const run = await runDay(plan, system, makeSchedule(plan, seed, seconds), seed);
        const options = `--plan ${plan.name} --seed ${seed} --seconds ${seconds} --baseline ${baseline}`;
        const report = reportDay(`day-${plan.name}-${seed}-${baseline}`, `npm run bench -- day ${options}`, run);
        const note = "A baseline: entries in the process of the tool, all requests idempotent, no control instances. "
            + "Its violations are shown and do not fail the run.";
        const broken = report.violations?.map(message => `Violation: ${message}`) ?? [];
        return { ...report, notes: [note, ...report.notes, ...broken], violations: [] };
    }
    finally {
        await system.stop();
    }
}
