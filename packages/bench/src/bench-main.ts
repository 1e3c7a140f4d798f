/**
 * Load and experiment tool: runs one experiment, prints its table and writes its files to `bench-output/`.
 *
 * Usage: npm run bench -- entry [--seconds 10] [--repeats 3]
 *        npm run bench -- in-force [--plan cooperative|purukuorma] [--changes 200] [--repeats 10]
 *        npm run bench -- day [--plan cooperative|purukuorma] [--seed 1] [--seconds 90]
 *            [--baseline round-robin|static-shares|no-leases]
 *        npm run bench -- run-once [--plan cooperative|purukuorma] [--requests 100]
 *        npm run bench -- nodes [--plan cooperative|purukuorma] [--seconds 20]
 */
import { resolve } from "node:path";
import { parseArgs } from "node:util";
import { COOPERATIVE_PLAN, type DeploymentPlan, PURUKUORMA_PLAN } from "./deployment/plan.js";
import { runBaselineDay, runProductDay } from "./experiments/day.js";
import { Baseline } from "./experiments/day/baseline-system.js";
import { runEntryExperiment } from "./experiments/entry.js";
import { runInForceExperiment } from "./experiments/in-force.js";
import { runNodesExperiment } from "./experiments/nodes.js";
import { runRunOnceExperiment } from "./experiments/run-once.js";
import { exitCodeOf, formatReport, type Report, writeReport } from "./report/report.js";

const OUTPUT_FOLDER = resolve(import.meta.dirname, "../../../bench-output");

/** Far above the longest experiment; ends a run that hangs. */
const LONGEST_RUN_MS = 20 * 60_000;

const { values, positionals } = parseArgs({
    allowPositionals: true,
    options: {
        plan: { type: "string", default: "cooperative" },
        changes: { type: "string", default: "200" },
        repeats: { type: "string" },
        seconds: { type: "string" },
        baseline: { type: "string" },
        seed: { type: "string", default: "1" },
        requests: { type: "string", default: "100" },
    },
});

const readCount = (name: keyof typeof values, otherwise?: number): number => {
    const count = Number(values[name] ?? otherwise);
    if (!Number.isFinite(count) || count <= 0) {
        throw new Error(`--${name} needs a positive number.`);
    }
    return count;
};

const readPlan = (): DeploymentPlan => {
    const plan = [COOPERATIVE_PLAN, PURUKUORMA_PLAN].find(({ name }) => name === values.plan);
    if (plan === undefined) {
        throw new Error("--plan needs cooperative or purukuorma.");
    }
    return plan;
};

const readBaseline = (): Baseline | undefined => {
    const baseline = Object.values(Baseline).find(name => name === values.baseline);
    if (baseline === undefined && values.baseline !== undefined) {
        throw new Error(`--baseline needs ${Object.values(Baseline).join(", ")}.`);
    }
    return baseline;
};

const EXPERIMENTS: Readonly<Record<string, () => Promise<Report>>> = {
    "day": () => {
        const options = { plan: readPlan(), seed: readCount("seed"), seconds: readCount("seconds", 90) };
        const baseline = readBaseline();
        return baseline === undefined ? runProductDay(options) : runBaselineDay(options, baseline);
    },
    "entry": () => runEntryExperiment({ seconds: readCount("seconds", 10), repeats: readCount("repeats", 3) }),
    "run-once": () => runRunOnceExperiment({ plan: readPlan(), requests: readCount("requests") }),
    "nodes": () => runNodesExperiment({ plan: readPlan(), seconds: readCount("seconds", 20) }),
    "in-force": () =>
        runInForceExperiment({ plan: readPlan(), changes: readCount("changes"), repeats: readCount("repeats", 10) }),
};

const experiment = EXPERIMENTS[positionals[0] ?? ""];
if (experiment === undefined) {
    process.stderr.write(`Use one of ${Object.keys(EXPERIMENTS).join(", ")}.\n`);
    process.exitCode = 2;
}
else {
    const endEarly = (reason: string) => () => {
        process.stderr.write(`The run was ended early: ${reason}.\n`);
        process.exit(1);
    };
    setTimeout(endEarly("it took too long"), LONGEST_RUN_MS).unref();
    process.once("SIGINT", endEarly("SIGINT"));
    process.once("SIGTERM", endEarly("SIGTERM"));
    const report = await experiment();
    process.stdout.write(`${formatReport(report)}${writeReport(report, OUTPUT_FOLDER).join("\n")}\n`);
    // Sockets whose bytes a fault held back keep the event loop alive.
    process.exit(exitCodeOf(report));
}
