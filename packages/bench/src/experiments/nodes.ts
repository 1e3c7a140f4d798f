/**
 * What control costs each entry of a running deployment: bytes on peer connections, processor time and memory, without
 * and with traffic.
 */
import { spawn } from "node:child_process";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { createCaller } from "../caller/caller.js";
import type { Deployment } from "../deployment/deployment.js";
import type { DeploymentPlan } from "../deployment/plan.js";
import type { Report } from "../report/report.js";
import { medianOf } from "../report/statistics.js";
import { atMost, findDeadProcesses, withDeployment } from "./experiment.js";
import { readCpuMilliseconds, readResidentMebibytes } from "./process-usage.js";

export type NodesExperimentOptions = { readonly plan: DeploymentPlan; readonly seconds: number };

/** Time until the sessions, pulls and portions of a new deployment are in their usual course. */
const SETTLE_MS = 5_000;
const IDLE_PROCESS_SETTLE_MS = 1_000;
/** Pause between the requests of a caller, one caller an entry and service, so that an entry uses budgets of all. */
const REQUEST_PAUSE_MS = 50;
const GOAL_BYTES = 5_000;
const GOAL_PROCESSOR_PERCENT = 2.5;
const GOAL_MEMORY_MEBIBYTES = 32;
const PEER_BYTES = ["peers.bytes_sent", "peers.bytes_received"];

type Usage = { readonly bytesPerSecond: number; readonly processorPercent: number; readonly memoryMebibytes: number };

async function readPeerBytes(adminUrl: string): Promise<number> {
    const answer = await request(`${adminUrl}/v1/metrics`);
    const { counters } = await answer.body.json() as { counters: Record<string, number> };
    return PEER_BYTES.reduce((sum, name) => sum + (counters[name] ?? 0), 0);
}

async function measureUsage(deployment: Deployment, seconds: number): Promise<readonly Usage[]> {
    return Promise.all(deployment.plan.entries.map(async ({ name }) => {
        const { processId } = deployment.processOf(name)!;
        const adminUrl = deployment.adminUrls.get(name)!;
        const startedAt = performance.now();
        const bytes = await readPeerBytes(adminUrl);
        const processor = readCpuMilliseconds(processId);
        await delay(seconds * 1_000);
        const milliseconds = performance.now() - startedAt;
        return {
            bytesPerSecond: (await readPeerBytes(adminUrl) - bytes) * 1_000 / milliseconds,
            processorPercent: (readCpuMilliseconds(processId) - processor) * 100 / milliseconds,
            memoryMebibytes: readResidentMebibytes(processId),
        };
    }));
}

/** Resident memory of a Node process that does nothing, which is not counted as control's. */
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

/** Sends requests of all services through all entries until the work is done. */
async function withTraffic<T>(deployment: Deployment, work: () => Promise<T>): Promise<T> {
    const ending = new AbortController();
    const senders = deployment.plan.entries.flatMap(({ name }) =>
        deployment.plan.services.map(async service => {
            const caller = createCaller({ service: service.name, entries: [deployment.callerUrls.get(name)!] });
            for (let count = 1; !ending.signal.aborted; count += 1) {
                await caller.send({ id: `${name}-${service.name}-${count}` });
                await delay(REQUEST_PAUSE_MS);
            }
            await caller.close();
        })
    );
    try {
        return await work();
    }
    finally {
        ending.abort();
        await Promise.all(senders);
    }
}

/** Runs the experiment. */
export async function runNodesExperiment({ plan, seconds }: NodesExperimentOptions): Promise<Report> {
    const idleProcess = await measureIdleProcess();
    return withDeployment(plan, async deployment => {
        await deployment.startBackendServers();
        await delay(SETTLE_MS);
        const idle = await measureUsage(deployment, seconds);
        const busy = await withTraffic(deployment, async () => {
            await delay(SETTLE_MS);
            return measureUsage(deployment, seconds);
        });
        const bytesFigure = (name: string, usages: readonly Usage[]) => ({
            name: `bytes a second on peer connections, ${name}`,
            value: medianOf(usages.map(({ bytesPerSecond }) => bytesPerSecond)),
            unit: "B/s",
            goal: atMost(GOAL_BYTES),
        });
        return {
            name: "nodes",
            command: `npm run bench -- nodes --plan ${plan.name} --seconds ${seconds}`,
            figures: [
                bytesFigure("no traffic", idle),
                bytesFigure("traffic at every entry", busy),
                {
                    name: "processor time, no traffic",
                    value: medianOf(idle.map(({ processorPercent }) => processorPercent)),
                    unit: "% of a core",
                    goal: atMost(GOAL_PROCESSOR_PERCENT),
                },
                {
                    name: "resident memory beyond an idle Node process, no traffic",
                    value: (medianOf(idle.map(({ memoryMebibytes }) => memoryMebibytes)) ?? NaN) - idleProcess,
                    unit: "MiB",
                    goal: atMost(GOAL_MEMORY_MEBIBYTES),
                },
                { name: "resident memory of an idle Node process", value: idleProcess, unit: "MiB" },
            ],
            notes: [
                `Medians of ${plan.entries.length} entries over ${seconds} s, ${plan.services.length} services.`,
                "Bytes are those of frames sent and received, without TCP and IP headers.",
                "Memory includes the whole program, not only what control adds to it.",
            ],
            charts: [],
            deadProcesses: findDeadProcesses(deployment),
        };
    });
}
