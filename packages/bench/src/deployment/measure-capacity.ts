/**
 * Measures on a deployment of processes the latency of first requests at idle entries and the share of all slots that
 * is in use when all traffic arrives at one entry.
 *
 * Usage: node --conditions=source --import tsx packages/bench/src/deployment/measure-capacity.ts
 */
import { createSystemClock } from "@hyssopfront/coordination";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { type CallerResponse, createCaller } from "../caller/caller.js";
import { prepareDeployment } from "./deployment.js";
import { COOPERATIVE_PLAN } from "./plan.js";

const IDLE_MS = 3_000;
const FIRST_REQUEST_ROUNDS = 2;
const LOAD_MS = 6_000;
const SAMPLE_MS = 50;
const SERVICE_MS = 100;
const CONCURRENT_REQUESTS = 150;
/** Callers pause after a rejection, so that rejections do not take processor time from running requests. */
const PAUSE_AFTER_REJECTION_MS = 20;

const print = (line: string) => process.stdout.write(`${line}\n`);
const clock = createSystemClock();
const folder = mkdtempSync(join(tmpdir(), "measure-room-"));
const deployment = await prepareDeployment(COOPERATIVE_PLAN, folder);
const instances = [...COOPERATIVE_PLAN.controlInstances, ...COOPERATIVE_PLAN.entries];
const stoc = COOPERATIVE_PLAN.services[0]!;

const summarizeResponses = (responses: readonly CallerResponse[]) => {
    const counts = new Map<string, number>();
    responses.forEach(({ status, reason = "" }) =>
        counts.set(`${status} ${reason}`.trim(), (counts.get(`${status} ${reason}`.trim()) ?? 0) + 1)
    );
    const times = responses.map(({ milliseconds }) => milliseconds).sort((one, other) => one - other);
    const median = times[Math.floor(times.length / 2)] ?? NaN;
    return `${[...counts].map(([kind, count]) => `${count} x ${kind}`).join(", ")}, median ${median.toFixed(0)} ms, `
        + `longest ${times.at(-1)?.toFixed(0)} ms`;
};

/** Prints the counters of queued requests and of their waiting time for each entry. */
async function printQueueCounters(): Promise<void> {
    for (const [name, url] of deployment.adminUrls) {
        const { counters } = await (await fetch(`${url}/v1/metrics`)).json() as { counters: Record<string, number> };
        const queueCounters = Object.entries(counters).filter(([key]) => key.includes("routing.queue"));
        print(`${name}: ${queueCounters.map(([key, value]) => `${key} ${value}`).join(", ")}`);
    }
}

async function measureFirstRequests(): Promise<void> {
    for (const { name, slots } of COOPERATIVE_PLAN.services) {
        const caller = createCaller({ service: name, entries: [...deployment.callerUrls.values()] });
        for (let round = 1; round <= FIRST_REQUEST_ROUNDS; round += 1) {
            for (const url of deployment.callerUrls.values()) {
                await clock.sleep(IDLE_MS / deployment.callerUrls.size);
                await caller.send({ id: `${name}-first-${round}`, headers: { "hyssop-hedge": "off" } }, url);
            }
        }
        print(`first requests of ${name} (${slots} slots) at idle entries: ${summarizeResponses(caller.responses)}`);
        await caller.close();
    }
}

async function measureSlotUse(): Promise<void> {
    const url = [...deployment.callerUrls.values()][0]!;
    const caller = createCaller({ service: stoc.name, entries: [url], connections: CONCURRENT_REQUESTS });
    const servers = deployment.backendServers.filter(({ service }) => service === stoc.name);
    const slots = servers.length * stoc.slots;
    const startedAt = clock.monotonicMilliseconds();
    const isOver = () => clock.monotonicMilliseconds() >= startedAt + LOAD_MS;
    const sendInTurn = async (index: number) => {
        for (let count = 1; !isOver(); count += 1) {
            const response = await caller.send({ id: `load-${index}-${count}`, headers: { "hyssop-hedge": "off" } });
            await clock.sleep(response.status === 200 ? 0 : PAUSE_AFTER_REJECTION_MS);
        }
    };
    const samples: { readonly at: number; readonly share: number }[] = [];
    const sample = async () => {
        while (!isOver()) {
            await clock.sleep(SAMPLE_MS);
            const running = servers.reduce((sum, server) => sum + server.running, 0);
            samples.push({ at: clock.monotonicMilliseconds() - startedAt, share: running / slots });
        }
    };
    await Promise.all([sample(), ...Array.from({ length: CONCURRENT_REQUESTS }, (_, index) => sendInTurn(index))]);
    for (let from = 0; from < LOAD_MS; from += 500) {
        const shares = samples.filter(({ at }) => at >= from && at < from + 500).map(({ share }) => share);
        const mean = shares.reduce((sum, share) => sum + share, 0) / shares.length;
        print(`slots of ${stoc.name} in use from ${from} ms: ${(mean * 100).toFixed(0)}%`);
    }
    print(`requests of the load: ${summarizeResponses(caller.responses)}`);
    await caller.close();
}

try {
    await Promise.all(instances.map(({ name }) => deployment.start(name)));
    await deployment.applyPlan();
    await deployment.startBackendServers({ serviceMilliseconds: SERVICE_MS });
    await clock.sleep(2 * IDLE_MS);
    await measureFirstRequests();
    await printQueueCounters();
    await measureSlotUse();
}
finally {
    await deployment.stop();
    rmSync(folder, { recursive: true, force: true });
}
