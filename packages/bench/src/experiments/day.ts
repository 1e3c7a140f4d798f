/**
 * A seeded day with a surge, a capped shift, a drain of an availability zone, and the outage and recovery of a region.
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

/** Options of the day experiment; `seconds` is the duration of the whole day. */
export type DayOptions = { readonly plan: DeploymentPlan; readonly seed: number; readonly seconds: number };

const formatInterval = ({ from, to }: { from: number; to: number }) => `${from.toFixed(0)} to ${to.toFixed(0)} s`;

/** Creates the report of a completed run. */
function createDayReport(name: string, command: string, run: DayRun): Report {
    const { surge, shift, drain, outage } = run.schedule;
    const violations = checkDay(run);
    return {
        name,
        command,
        figures: computeDayFigures(run, violations),
        notes: [
            `Surge ${formatInterval(surge)}; shift of ${shift.service} from ${shift.fromRegion} to ${shift.toRegion} `
            + `${formatInterval(shift)}; drain of ${drain.availabilityZone} (pace ${drain.paceSeconds} s) `
            + `${formatInterval(drain)}; outage of ${outage.region} ${formatInterval(outage)}.`,
            "Latency: measured, plus the latency of the plan between entry and backend server, because no proxy delays "
            + "requests on that link. Link use: responses that entries forwarded from other regions.",
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
        return createDayReport(`day-${plan.name}-${seed}`, command, run);
    });

/** Runs the same day on the request path of the product with a baseline, in this process. */
export async function runBaselineDay({ plan, seed, seconds }: DayOptions, baseline: Baseline): Promise<Report> {
    const system = await startBaselineSystem(plan, baseline);
    try {
        const run = await runDay(plan, system, makeSchedule(plan, seed, seconds), seed);
        const options = `--plan ${plan.name} --seed ${seed} --seconds ${seconds} --baseline ${baseline}`;
        const report = createDayReport(`day-${plan.name}-${seed}-${baseline}`, `npm run bench -- day ${options}`, run);
        const note = "A baseline: entries in the process of the tool, all requests idempotent, no control instances. "
            + "Its violations are reported but do not fail the run.";
        const violations = report.violations?.map(message => `Violation: ${message}`) ?? [];
        return { ...report, notes: [note, ...report.notes, ...violations], violations: [] };
    }
    finally {
        await system.stop();
    }
}
