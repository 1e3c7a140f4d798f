/**
 * What one entry process can do: lookups a second, latency that it adds, start-up time and memory.
 */
import { RequestClass } from "hyssopfront/resources/resource.ts";
import { execFile, fork } from "node:child_process";
import { once } from "node:events";
import { join, resolve } from "node:path";
import { promisify } from "node:util";
import type { Deployment } from "../deployment/deployment.js";
import { findFreePorts } from "../deployment/free-ports.js";
import type { DeploymentPlan } from "../deployment/plan.js";
import { bundleProduct, startProductProcess } from "../deployment/product-process.js";
import type { Figure, Report } from "../report/report.js";
import { medianOf } from "../report/statistics.js";
import { atLeast, atMost, findDeadProcesses, withDeployment } from "./experiment.js";
import type { LookupLoad, LookupLoadResult } from "./lookup-load.js";
import { readCpuMilliseconds, readResidentMebibytes } from "./process-usage.js";

export type EntryExperimentOptions = {
    readonly seconds: number;
    readonly repeats: number;
    /** Time before each measurement in which the load runs already; 4 s covers the compilation of the hot code. */
    readonly warmUpSeconds?: number;
};

const ROOT = resolve(import.meta.dirname, "../../../..");
const NODE_OPTIONS = ["--conditions=source", "--import", "tsx"];
/** One Node process cannot send as many requests as an entry answers. */
const LOAD_PROCESSES = 3;
const CONNECTIONS_OF_A_PROCESS = 16;
const WARM_UP_SECONDS = 4;
const RATE = 1_000;
const GOAL_LOOKUPS = 20_000;
const GOAL_ADDED_P50_MS = 1;
const GOAL_ADDED_P99_MS = 3;
/** Ports below that of the first entry that `dev` uses, up to its last backend server. */
const DEVELOPMENT_PORTS = 300;

/** One control instance and one entry, with slots that never limit. */
const PLAN: DeploymentPlan = {
    name: "one-entry",
    regions: [{ name: "transilvania", availabilityZones: ["sibiu-1", "sibiu-2"] }],
    betweenZonesMilliseconds: 0,
    betweenRegionsMilliseconds: 0,
    linkBitsPerSecond: 4e9,
    entries: [{ name: "entry-1", availabilityZone: "sibiu-1" }],
    controlInstances: [{ name: "control-1", availabilityZone: "sibiu-1" }],
    runOnceGroups: [],
    services: [{
        name: "stoc",
        backendServers: 6,
        slots: 1_000,
        connections: 1_000,
        defaultClass: RequestClass.Idempotent,
    }],
};

type LookupFigures = { readonly perSecond: number; readonly cpuMicroseconds: number; readonly clientBusy: number };

async function measureLookups(deployment: Deployment, seconds: number, warmUpSeconds: number): Promise<LookupFigures> {
    const entry = deployment.processOf("entry-1")!;
    const load: LookupLoad = {
        url: deployment.callerUrls.get("entry-1")!,
        service: "stoc",
        connections: CONNECTIONS_OF_A_PROCESS,
        warmUpMilliseconds: warmUpSeconds * 1_000,
        milliseconds: seconds * 1_000,
    };
    const cpuBefore = readCpuMilliseconds(entry.processId);
    const results = await Promise.all(Array.from({ length: LOAD_PROCESSES }, async () => {
        const child = fork(join(import.meta.dirname, "lookup-load.ts"), [JSON.stringify(load)], {
            execArgv: NODE_OPTIONS,
            env: { ...process.env, NODE_OPTIONS: "" },
        });
        const [result] = await once(child, "message") as [LookupLoadResult];
        return result;
    }));
    const cpu = readCpuMilliseconds(entry.processId) - cpuBefore;
    if (results.some(({ failures }) => failures > 0)) {
        throw new Error("Lookups were refused.");
    }
    const count = results.reduce((sum, result) => sum + result.count, 0);
    const measuredShare = seconds / (seconds + warmUpSeconds);
    return {
        perSecond: count / seconds,
        cpuMicroseconds: cpu * 1_000 * measuredShare / count,
        clientBusy: Math.max(...results.map(({ utilization: busyShare }) => busyShare)),
    };
}

type AddedLatency = { readonly addedMilliseconds: readonly number[]; readonly failures: readonly number[] };

/** Measures through `slopes/routing-latency.ts`, which interleaves requests through the entry and around it. */
async function measureAddedLatency(seconds: number, warmUpSeconds: number, entryPort?: number): Promise<AddedLatency> {
    const { stdout } = await promisify(execFile)(process.execPath, [
        ...NODE_OPTIONS,
        join(ROOT, "packages/bench/src/slopes/routing-latency.ts"),
        ...["--rate", String(RATE), "--seconds", String(seconds), "--warm-up", String(warmUpSeconds)],
        ...entryPort === undefined ? [] : ["--entry-port", String(entryPort)],
    ], { env: { ...process.env, NODE_OPTIONS: "" }, timeout: seconds * 1_000 + 60_000 });
    return JSON.parse(stdout) as AddedLatency;
}

type Start = { readonly milliseconds: number; readonly mebibytes: number };

async function measureDevelopmentStart(): Promise<Start> {
    const ports = await findFreePorts(DEVELOPMENT_PORTS);
    const startedAt = performance.now();
    const started = await startProductProcess(["dev", "--base-port", String(ports[0])]);
    try {
        await started.waitForLine(/Ctrl-C stops/);
        return { milliseconds: performance.now() - startedAt, mebibytes: readResidentMebibytes(started.processId) };
    }
    finally {
        await started.signal("SIGKILL");
    }
}

/** Restarts an instance with its data and waits for the line that it prints when it serves. */
async function measureRestart(deployment: Deployment, instance: string, ready: RegExp): Promise<Start> {
    await deployment.signal(instance, "SIGKILL");
    const startedAt = performance.now();
    await deployment.start(instance);
    const restarted = deployment.processOf(instance)!;
    await restarted.waitForLine(ready);
    return { milliseconds: performance.now() - startedAt, mebibytes: readResidentMebibytes(restarted.processId) };
}

async function repeat<T>(count: number, measure: () => Promise<T>): Promise<readonly T[]> {
    const measured: T[] = [];
    for (let index = 0; index < count; index += 1) {
        measured.push(await measure());
    }
    return measured;
}

const startFigures = (name: string, starts: readonly Start[]): readonly Figure[] => [
    {
        name: `${name}: start until ready, median`,
        value: medianOf(starts.map(start => start.milliseconds)),
        unit: "ms",
    },
    { name: `${name}: resident memory, median`, value: medianOf(starts.map(start => start.mebibytes)), unit: "MiB" },
];

const addedFigures = (name: string, runs: readonly AddedLatency[]): readonly Figure[] =>
    (["p50", "p99", "p99.9"] as const).map((percentile, index) => ({
        name: `${name}: latency added at ${RATE}/s, ${percentile}`,
        value: medianOf(runs.map(run => run.addedMilliseconds[index]!)),
        unit: "ms",
        goal: [atMost(GOAL_ADDED_P50_MS), atMost(GOAL_ADDED_P99_MS), undefined][index],
    }));

/** Runs the experiment. */
export async function runEntryExperiment(
    { seconds, repeats, warmUpSeconds = WARM_UP_SECONDS }: EntryExperimentOptions,
): Promise<Report> {
    // The bundle is made before the first start is timed.
    await bundleProduct();
    const development = await repeat(repeats, measureDevelopmentStart);
    return withDeployment(PLAN, async deployment => {
        const control = await repeat(repeats, () => measureRestart(deployment, "control-1", /^operators at/));
        const entry = await repeat(repeats, () => measureRestart(deployment, "entry-1", /^ready$/));
        const lookups = await repeat(repeats, () => measureLookups(deployment, seconds, warmUpSeconds));
        const entryPort = Number(new URL(deployment.callerUrls.get("entry-1")!).port);
        const added = await repeat(repeats, () => measureAddedLatency(seconds, warmUpSeconds, entryPort));
        const addedByPath = await repeat(repeats, () => measureAddedLatency(seconds, warmUpSeconds));
        const medianLookups = (choose: (figures: LookupFigures) => number) => medianOf(lookups.map(choose));
        const failures = [...added, ...addedByPath].flatMap(run => run.failures).reduce((sum, one) => sum + one, 0);
        return {
            name: "entry",
            command: `npm run bench -- entry --seconds ${seconds} --repeats ${repeats}`,
            figures: [
                {
                    name: "lookups a second",
                    value: medianLookups(figures => figures.perSecond),
                    unit: "1/s",
                    goal: atLeast(GOAL_LOOKUPS),
                },
                {
                    name: "processor time of the entry for a lookup with its HTTP request",
                    value: medianLookups(figures => figures.cpuMicroseconds),
                    unit: "us",
                },
                {
                    name: "busiest sender of lookups",
                    value: medianLookups(figures => 100 * figures.clientBusy),
                    unit: "% of a core",
                },
                ...addedFigures("entry process", added),
                ...addedFigures("request path alone", addedByPath),
                { name: "failed requests", value: failures, unit: "", goal: atMost(0) },
                ...startFigures("dev", development),
                ...startFigures("control", control),
                ...startFigures("entry", entry),
            ],
            notes: [
                `Medians of ${repeats} runs of ${seconds} s; latency added is the difference of the percentiles.`,
                "The request path alone has stand-ins for admission, configuration and announcements.",
                "control and entry restart with their data; the entry finds its control instance running.",
            ],
            charts: [],
            deadProcesses: findDeadProcesses(deployment),
        };
    });
}
