/**
 * Performance of one entry process: lookup rate, added latency, start-up time and memory.
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
import { computeMedian } from "../report/statistics.js";
import { atLeast, atMost, findDeadProcesses, withDeployment } from "./experiment.js";
import type { LookupLoad, LookupLoadResult } from "./lookup-load.js";
import { readCpuMilliseconds, readResidentMebibytes } from "./process-usage.js";

/** Options of the entry experiment. */
export type EntryExperimentOptions = {
    /** Duration of each measurement, without its warm-up. */
    readonly seconds: number;
    readonly repeats: number;
    /** Duration of the load before each measurement; the default of 4 s covers the compilation of the hot code. */
    readonly warmUpSeconds?: number;
};

const ROOT = resolve(import.meta.dirname, "../../../..");
const NODE_OPTIONS = ["--conditions=source", "--import", "tsx"];
/** A single Node process cannot send requests as fast as an entry responds. */
const LOAD_PROCESSES = 3;
const CONNECTIONS_PER_PROCESS = 16;
const WARM_UP_SECONDS = 4;
const REQUESTS_PER_SECOND = 1_000;
const GOAL_LOOKUPS_PER_SECOND = 20_000;
const GOAL_ADDED_P50_MS = 1;
const GOAL_ADDED_P99_MS = 3;
/** Size of the range of ports from the base port on that holds all ports of `dev`, up to its last backend server. */
const DEVELOPMENT_PORTS = 300;

/** One control instance and one entry, with more slots than the load uses. */
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

type LookupMeasurement = {
    readonly perSecond: number;
    readonly cpuMicroseconds: number;
    readonly loadUtilization: number;
};

async function measureLookups(
    deployment: Deployment,
    seconds: number,
    warmUpSeconds: number,
): Promise<LookupMeasurement> {
    const entry = deployment.getProcess("entry-1")!;
    const load: LookupLoad = {
        url: deployment.callerUrls.get("entry-1")!,
        service: "stoc",
        connections: CONNECTIONS_PER_PROCESS,
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
        throw new Error("Lookups failed with a status other than 200.");
    }
    const count = results.reduce((sum, result) => sum + result.count, 0);
    const measuredFraction = seconds / (seconds + warmUpSeconds);
    return {
        perSecond: count / seconds,
        cpuMicroseconds: cpu * 1_000 * measuredFraction / count,
        loadUtilization: Math.max(...results.map(({ utilization }) => utilization)),
    };
}

type AddedLatency = { readonly addedMilliseconds: readonly number[]; readonly failures: readonly number[] };

/** Runs `slopes/routing-latency.ts`, which interleaves requests through the entry with requests that bypass it. */
async function measureAddedLatency(seconds: number, warmUpSeconds: number, entryPort?: number): Promise<AddedLatency> {
    const { stdout } = await promisify(execFile)(process.execPath, [
        ...NODE_OPTIONS,
        join(ROOT, "packages/bench/src/slopes/routing-latency.ts"),
        ...["--rate", String(REQUESTS_PER_SECOND), "--seconds", String(seconds), "--warm-up", String(warmUpSeconds)],
        ...entryPort === undefined ? [] : ["--entry-port", String(entryPort)],
    ], { env: { ...process.env, NODE_OPTIONS: "" }, timeout: seconds * 1_000 + 60_000 });
    return JSON.parse(stdout) as AddedLatency;
}

type StartMeasurement = { readonly milliseconds: number; readonly mebibytes: number };

async function measureDevStart(): Promise<StartMeasurement> {
    const ports = await findFreePorts(DEVELOPMENT_PORTS);
    const startedAt = performance.now();
    const system = await startProductProcess(["dev", "--base-port", String(ports[0])]);
    try {
        await system.waitForLine(/Ctrl-C stops/);
        return { milliseconds: performance.now() - startedAt, mebibytes: readResidentMebibytes(system.processId) };
    }
    finally {
        await system.signal("SIGKILL");
    }
}

/** Restarts an instance with its data and waits for the line that it prints when it is ready. */
async function measureRestart(deployment: Deployment, instance: string, readyLine: RegExp): Promise<StartMeasurement> {
    await deployment.signal(instance, "SIGKILL");
    const startedAt = performance.now();
    await deployment.start(instance);
    const instanceProcess = deployment.getProcess(instance)!;
    await instanceProcess.waitForLine(readyLine);
    return { milliseconds: performance.now() - startedAt, mebibytes: readResidentMebibytes(instanceProcess.processId) };
}

async function repeat<T>(count: number, measure: () => Promise<T>): Promise<readonly T[]> {
    const results: T[] = [];
    for (let index = 0; index < count; index += 1) {
        results.push(await measure());
    }
    return results;
}

const startFigures = (name: string, starts: readonly StartMeasurement[]): readonly Figure[] => [
    {
        name: `${name}: time from start to ready, median`,
        value: computeMedian(starts.map(start => start.milliseconds)),
        unit: "ms",
    },
    {
        name: `${name}: resident memory, median`,
        value: computeMedian(starts.map(start => start.mebibytes)),
        unit: "MiB",
    },
];

const addedLatencyFigures = (name: string, runs: readonly AddedLatency[]): readonly Figure[] =>
    (["p50", "p99", "p99.9"] as const).map((percentile, index) => ({
        name: `${name}: added latency at ${REQUESTS_PER_SECOND}/s, ${percentile}`,
        value: computeMedian(runs.map(run => run.addedMilliseconds[index]!)),
        unit: "ms",
        goal: [atMost(GOAL_ADDED_P50_MS), atMost(GOAL_ADDED_P99_MS), undefined][index],
    }));

/** Runs the entry experiment. */
export async function runEntryExperiment(
    { seconds, repeats, warmUpSeconds = WARM_UP_SECONDS }: EntryExperimentOptions,
): Promise<Report> {
    // Bundling must not count toward the first start.
    await bundleProduct();
    const devStarts = await repeat(repeats, measureDevStart);
    return withDeployment(PLAN, async deployment => {
        const controlStarts = await repeat(repeats, () => measureRestart(deployment, "control-1", /^operators at/));
        const entryStarts = await repeat(repeats, () => measureRestart(deployment, "entry-1", /^ready$/));
        const lookups = await repeat(repeats, () => measureLookups(deployment, seconds, warmUpSeconds));
        const entryPort = Number(new URL(deployment.callerUrls.get("entry-1")!).port);
        const addedByProcess = await repeat(repeats, () => measureAddedLatency(seconds, warmUpSeconds, entryPort));
        const addedByRequestPath = await repeat(repeats, () => measureAddedLatency(seconds, warmUpSeconds));
        const medianLookups = (choose: (measurement: LookupMeasurement) => number) =>
            computeMedian(lookups.map(choose));
        const failures = [...addedByProcess, ...addedByRequestPath].flatMap(run => run.failures).reduce(
            (sum, failed) => sum + failed,
            0,
        );
        return {
            name: "entry",
            command: `npm run bench -- entry --seconds ${seconds} --repeats ${repeats}`,
            figures: [
                {
                    name: "lookups per second",
                    value: medianLookups(measurement => measurement.perSecond),
                    unit: "1/s",
                    goal: atLeast(GOAL_LOOKUPS_PER_SECOND),
                },
                {
                    name: "CPU time of the entry per lookup, HTTP request included",
                    value: medianLookups(measurement => measurement.cpuMicroseconds),
                    unit: "us",
                },
                {
                    name: "utilization of the busiest load process",
                    value: medianLookups(measurement => 100 * measurement.loadUtilization),
                    unit: "% of a core",
                },
                ...addedLatencyFigures("entry process", addedByProcess),
                ...addedLatencyFigures("request path alone", addedByRequestPath),
                { name: "failed requests", value: failures, unit: "", goal: atMost(0) },
                ...startFigures("dev", devStarts),
                ...startFigures("control", controlStarts),
                ...startFigures("entry", entryStarts),
            ],
            notes: [
                `Medians of ${repeats} runs of ${seconds} s; added latency is the difference of the percentiles.`,
                "The request path alone uses stand-ins for admission, configuration and announcements.",
                "control and entry restart with their data; the control instance runs while the entry restarts.",
            ],
            charts: [],
            deadProcesses: findDeadProcesses(deployment),
        };
    });
}
