/**
 * Overhead of the control plane at each entry of a running deployment: bytes on peer connections, CPU time and memory,
 * with and without traffic.
 */
import { spawn } from "node:child_process";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { createCaller } from "../caller/caller.js";
import type { Deployment } from "../deployment/deployment.js";
import type { DeploymentPlan } from "../deployment/plan.js";
import type { Report } from "../report/report.js";
import { computeMedian } from "../report/statistics.js";
import { atMost, findDeadProcesses, withDeployment } from "./experiment.js";
import { readCpuMilliseconds, readResidentMebibytes } from "./process-usage.js";

/** Options of the nodes experiment; `seconds` is the duration of each measurement. */
export type NodesExperimentOptions = { readonly plan: DeploymentPlan; readonly seconds: number };

/** Time until the sessions, pulls and quotas of a new deployment reach a steady state. */
const SETTLE_MS = 5_000;
const IDLE_PROCESS_SETTLE_MS = 1_000;
/** Pause between the requests of a caller; there is one for each entry and service, so that all budgets are in use. */
const REQUEST_PAUSE_MS = 50;
const GOAL_BYTES_PER_SECOND = 5_000;
const GOAL_CPU_PERCENT = 2.5;
const GOAL_MEMORY_MEBIBYTES = 32;
const PEER_BYTE_COUNTERS = ["peers.bytes_sent", "peers.bytes_received"];

type Usage = { readonly bytesPerSecond: number; readonly cpuPercent: number; readonly memoryMebibytes: number };

async function readPeerBytes(adminUrl: string): Promise<number> {
    const response = await request(`${adminUrl}/v1/metrics`);
    const { counters } = await response.body.json() as { counters: Record<string, number> };
    return PEER_BYTE_COUNTERS.reduce((sum, name) => sum + (counters[name] ?? 0), 0);
}

async function measureUsage(deployment: Deployment, seconds: number): Promise<readonly Usage[]> {
    return Promise.all(deployment.plan.entries.map(async ({ name }) => {
        const { processId } = deployment.getProcess(name)!;
        const adminUrl = deployment.adminUrls.get(name)!;
        const startedAt = performance.now();
        const bytesBefore = await readPeerBytes(adminUrl);
        const cpuMilliseconds = readCpuMilliseconds(processId);
        await delay(seconds * 1_000);
        const milliseconds = performance.now() - startedAt;
        return {
            bytesPerSecond: (await readPeerBytes(adminUrl) - bytesBefore) * 1_000 / milliseconds,
            cpuPercent: (readCpuMilliseconds(processId) - cpuMilliseconds) * 100 / milliseconds,
            memoryMebibytes: readResidentMebibytes(processId),
        };
    }));
}

/** Measures the resident memory of an idle Node process, which is subtracted from that of an entry. */
async function measureIdleProcess(): Promise<number> {
    const child = spawn(process.execPath, ["-e", "setInterval(() => undefined, 1000)"], {
        env: { ...process.env, NODE_OPTIONS: "" },
        stdio: "ignore",
    });
    try {
        await delay(IDLE_PROCESS_SETTLE_MS);
        return readResidentMebibytes(child.pid!);
    }
    finally {
        child.kill("SIGKILL");
    }
}

/** Sends requests for all services through all entries while measuring. */
async function withTraffic<T>(deployment: Deployment, measure: () => Promise<T>): Promise<T> {
    const stopping = new AbortController();
    const senders = deployment.plan.entries.flatMap(({ name }) =>
        deployment.plan.services.map(async service => {
            const caller = createCaller({ service: service.name, entries: [deployment.callerUrls.get(name)!] });
            for (let count = 1; !stopping.signal.aborted; count += 1) {
                await caller.send({ id: `${name}-${service.name}-${count}` });
                await delay(REQUEST_PAUSE_MS);
            }
            await caller.close();
        })
    );
    try {
        return await measure();
    }
    finally {
        stopping.abort();
        await Promise.all(senders);
    }
}

/** Runs the nodes experiment. */
export async function runNodesExperiment({ plan, seconds }: NodesExperimentOptions): Promise<Report> {
    const idleProcessMebibytes = await measureIdleProcess();
    return withDeployment(plan, async deployment => {
        await deployment.startBackendServers();
        await delay(SETTLE_MS);
        const idle = await measureUsage(deployment, seconds);
        const busy = await withTraffic(deployment, async () => {
            await delay(SETTLE_MS);
            return measureUsage(deployment, seconds);
        });
        const bytesFigure = (name: string, usages: readonly Usage[]) => ({
            name: `bytes per second on peer connections, ${name}`,
            value: computeMedian(usages.map(({ bytesPerSecond }) => bytesPerSecond)),
            unit: "B/s",
            goal: atMost(GOAL_BYTES_PER_SECOND),
        });
        return {
            name: "nodes",
            command: `npm run bench -- nodes --plan ${plan.name} --seconds ${seconds}`,
            figures: [
                bytesFigure("no traffic", idle),
                bytesFigure("traffic at every entry", busy),
                {
                    name: "CPU time, no traffic",
                    value: computeMedian(idle.map(({ cpuPercent }) => cpuPercent)),
                    unit: "% of a core",
                    goal: atMost(GOAL_CPU_PERCENT),
                },
                {
                    name: "resident memory above an idle Node process, no traffic",
                    value: (computeMedian(idle.map(({ memoryMebibytes }) => memoryMebibytes)) ?? NaN) -
                        idleProcessMebibytes,
                    unit: "MiB",
                    goal: atMost(GOAL_MEMORY_MEBIBYTES),
                },
                { name: "resident memory of an idle Node process", value: idleProcessMebibytes, unit: "MiB" },
            ],
            notes: [
                `Medians of ${plan.entries.length} entries over ${seconds} s, ${plan.services.length} services.`,
                "Bytes are those of frames sent and received, without TCP and IP headers.",
                "Memory is that of the whole program, not only the overhead of the control plane.",
            ],
            charts: [],
            deadProcesses: findDeadProcesses(deployment),
        };
    });
}
