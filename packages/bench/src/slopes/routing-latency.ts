/**
 * Measures the latency that one entry adds to a request, and the CPU time that it takes for a request.
 *
 * The entry, a bare forwarder with the same libraries and the backend servers run in processes of their own. Requests
 * directly to a backend server, through the bare forwarder and through the entry are interleaved at random times, so
 * that the noise of the machine affects all of them equally.
 *
 * Usage: node --conditions=source --import tsx packages/bench/src/slopes/routing-latency.ts
 *     [--rate 1000] [--seconds 20] [--warm-up 4] [--body 0] [--answer 1024] [--service-ms 0] [--policy powerOfTwo]
 *     [--hedge off] [--entry-port 7101]
 *
 * With --entry-port, a running entry is measured instead of one that has stand-ins for the parts outside of the request
 * path.
 */
import { build, type Histogram } from "hdr-histogram-js";
import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { parseArgs } from "node:util";
import { Pool } from "undici";
import { createSeededRandom } from "../random/seeded-random.js";
import type { ParticipantMessage, ParticipantStart } from "./routing-participant.js";

const { values: settings } = parseArgs({
    options: {
        "rate": { type: "string", default: "1000" },
        "seconds": { type: "string", default: "20" },
        "warm-up": { type: "string", default: "4" },
        "body": { type: "string", default: "0" },
        "answer": { type: "string", default: "1024" },
        "service-ms": { type: "string", default: "0" },
        "backends": { type: "string", default: "6" },
        "policy": { type: "string", default: "powerOfTwo" },
        "hedge": { type: "string", default: "on" },
        "seed": { type: "string", default: "20261210" },
        "entry-port": { type: "string" },
    },
});
const rate = Number(settings.rate);
const seconds = Number(settings.seconds);
const warmUpSeconds = Number(settings["warm-up"]);
const entryPort = settings["entry-port"];
const CONNECTIONS = 64;

const createHistogram = () =>
    build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 });

async function startParticipant(start: ParticipantStart): Promise<{ child: ChildProcess; ports: readonly number[] }> {
    const child = fork(new URL("./routing-participant.ts", import.meta.url), [JSON.stringify(start)]);
    const [ready] = await once(child, "message") as [ParticipantMessage];
    return { child, ports: ready.ports };
}

/** Returns the resource usage of a participant; undefined for an entry that this process did not start. */
async function readUsage(child: ChildProcess | undefined): Promise<ParticipantMessage | undefined> {
    if (child === undefined) {
        return undefined;
    }
    const response = once(child, "message") as Promise<[ParticipantMessage]>;
    child.send("usage");
    return (await response)[0];
}

/** Destination of the requests: the backend servers themselves, the bare forwarder or the entry. */
type Target = { readonly name: string; readonly pools: readonly Pool[]; histogram: Histogram; failures: number };

function send(target: Target, random: () => number, path: string, isMeasured: boolean): void {
    const pool = target.pools[Math.floor(random() * target.pools.length)] as Pool;
    const startedAt = process.hrtime.bigint();
    const body = Number(settings.body) > 0 ? Buffer.alloc(Number(settings.body), "x") : undefined;
    pool.request({
        method: body === undefined ? "GET" : "PUT",
        path,
        headers: { "test-answer-bytes": settings.answer, "test-request-id": "r", "hyssop-hedge": settings.hedge },
        body,
    })
        .then(async response => {
            await response.body.arrayBuffer();
            if (response.statusCode !== 200) {
                throw new Error(`The response has status ${response.statusCode}.`);
            }
            if (isMeasured) {
                target.histogram.recordValue(Number((process.hrtime.bigint() - startedAt) / 1_000n));
            }
        })
        .catch(() => {
            target.failures += 1;
        });
}

/** Sends a request to each target, starting with a random one, at random times with the mean rate `--rate`. */
async function sendAtRandomTimes(
    targets: readonly Target[],
    duration: number,
    random: () => number,
    isMeasured: boolean,
) {
    const startedAt = performance.now();
    let dueAt = startedAt;
    while (dueAt < startedAt + duration * 1_000) {
        const now = performance.now();
        for (; dueAt <= now; dueAt += -Math.log(1 - random()) * 1_000 / rate) {
            const first = Math.floor(random() * targets.length);
            [...targets.slice(first), ...targets.slice(0, first)]
                .forEach(target => send(target, random, target.name === "entry" ? "/stoc/" : "/", isMeasured));
        }
        await new Promise(resolve => setTimeout(resolve, 0));
    }
    // The last responses must arrive before the next phase is counted.
    await new Promise(resolve => setTimeout(resolve, 500));
}

const percentile = (histogram: Histogram, share: number) => histogram.getValueAtPercentile(share) / 1_000;

const backends = await startParticipant({
    role: "backends",
    count: Number(settings.backends),
    serviceMilliseconds: Number(settings["service-ms"]),
    entries: entryPort === undefined ? [] : [`http://127.0.0.1:${entryPort}`],
});
const bareForwarder = entryPort === undefined
    ? await startParticipant({ role: "bare", backendPorts: backends.ports })
    : undefined;
const entry = entryPort === undefined
    ? await startParticipant({ role: "entry", backendPorts: backends.ports, policy: settings.policy })
    : { child: undefined, ports: [Number(entryPort)] };
const createTarget = (name: string, ports: readonly number[]): Target => ({
    name,
    pools: ports.map(port =>
        new Pool(`http://127.0.0.1:${port}`, { connections: Math.ceil(CONNECTIONS / ports.length) })
    ),
    histogram: createHistogram(),
    failures: 0,
});
const directTarget = createTarget("direct", backends.ports);
const bareForwarderTarget = bareForwarder === undefined ? undefined : createTarget("bare", bareForwarder.ports);
const entryTarget = createTarget("entry", entry.ports);
const targets = [directTarget, bareForwarderTarget, entryTarget].filter(target => target !== undefined);
const random = createSeededRandom(Number(settings.seed));
await sendAtRandomTimes(targets, warmUpSeconds, random, false);
targets.forEach(target => target.failures = 0);
const forwarders = [bareForwarder?.child, entry.child];
const before = await Promise.all(forwarders.map(readUsage));
await sendAtRandomTimes(targets, seconds, random, true);
const after = await Promise.all(forwarders.map(readUsage));

const percentiles = [50, 99, 99.9];
const addedMilliseconds = (target: Target) =>
    percentiles.map(share =>
        Number((percentile(target.histogram, share) - percentile(directTarget.histogram, share)).toFixed(3))
    );
const cpuPerRequest = after.map((usage, index) => {
    const usageBefore = before[index];
    return usage === undefined || usageBefore === undefined
        ? undefined
        : Math.round((usage.cpuMicroseconds - usageBefore.cpuMicroseconds) / directTarget.histogram.totalCount);
});
const report = {
    settings,
    requests: directTarget.histogram.totalCount,
    failures: targets.map(target => target.failures),
    percentiles,
    directMilliseconds: percentiles.map(share => percentile(directTarget.histogram, share)),
    entryMilliseconds: percentiles.map(share => percentile(entryTarget.histogram, share)),
    addedMilliseconds: addedMilliseconds(entryTarget),
    addedByBareForwarder: bareForwarderTarget === undefined ? undefined : addedMilliseconds(bareForwarderTarget),
    bareCpuMicrosecondsPerRequest: cpuPerRequest[0],
    entryCpuMicrosecondsPerRequest: cpuPerRequest[1],
    longestPausesMilliseconds: after.map(usage => usage?.longestPauseMilliseconds),
    entryCounters: after[1]?.counters,
};
process.stdout.write(`${JSON.stringify(report)}\n`);
[...forwarders, backends.child].forEach(child => child?.disconnect());
await Promise.all(targets.flatMap(target => target.pools).map(pool => pool.destroy()));
