/**
 * Load and experiment tool: runs one experiment, prints its figures as a table and writes its files to `bench-output/`.
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
import { formatReport, getExitCode, type Report, writeReport } from "./report/report.js";

const OUTPUT_FOLDER = resolve(import.meta.dirname, "../../../bench-output");

/** Far above the duration of the longest experiment; aborts a run that hangs. */
const RUN_TIMEOUT_MS = 20 * 60_000;

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

const readPositiveNumber = (name: keyof typeof values, defaultValue?: number): number => {
    const value = Number(values[name] ?? defaultValue);
    if (!Number.isFinite(value) || value <= 0) {
        throw new Error(`--${name} must be a positive number.`);
    }
    return value;
};

const readPlan = (): DeploymentPlan => {
    const plan = [COOPERATIVE_PLAN, PURUKUORMA_PLAN].find(({ name }) => name === values.plan);
    if (plan === undefined) {
        throw new Error("--plan must be cooperative or purukuorma.");
    }
    return plan;
};

const readBaseline = (): Baseline | undefined => {
    const baseline = Object.values(Baseline).find(name => name === values.baseline);
    if (baseline === undefined && values.baseline !== undefined) {
        throw new Error(`--baseline must be one of ${Object.values(Baseline).join(", ")}.`);
    }
    return baseline;
};

const EXPERIMENTS: Readonly<Record<string, () => Promise<Report>>> = {
    "day": () => {
        const options = {
            plan: readPlan(),
            seed: readPositiveNumber("seed"),
            seconds: readPositiveNumber("seconds", 90),
        };
        const baseline = readBaseline();
        return baseline === undefined ? runProductDay(options) : runBaselineDay(options, baseline);
    },
    "entry": () =>
        runEntryExperiment({ seconds: readPositiveNumber("seconds", 10), repeats: readPositiveNumber("repeats", 3) }),
    "run-once": () => runRunOnceExperiment({ plan: readPlan(), requests: readPositiveNumber("requests") }),
    "nodes": () => runNodesExperiment({ plan: readPlan(), seconds: readPositiveNumber("seconds", 20) }),
    "in-force": () =>
        runInForceExperiment({
            plan: readPlan(),
            changes: readPositiveNumber("changes"),
            repeats: readPositiveNumber("repeats", 10),
        }),
};

const experiment = EXPERIMENTS[positionals[0] ?? ""];
if (experiment === undefined) {
    process.stderr.write(`The experiment must be one of ${Object.keys(EXPERIMENTS).join(", ")}.\n`);
    process.exitCode = 2;
}
else {
    const abortWith = (reason: string) => () => {
        process.stderr.write(`The run was aborted: ${reason}.\n`);
        process.exit(1);
    };
    setTimeout(abortWith("it exceeded its time limit"), RUN_TIMEOUT_MS).unref();
    process.once("SIGINT", abortWith("SIGINT"));
    process.once("SIGTERM", abortWith("SIGTERM"));
    const report = await experiment();
    process.stdout.write(`${formatReport(report)}${writeReport(report, OUTPUT_FOLDER).join("\n")}\n`);
    // Sockets whose data an injected fault holds back keep the event loop alive.
    process.exit(getExitCode(report));
}
