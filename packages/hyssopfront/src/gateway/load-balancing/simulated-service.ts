/**
 * Simulates one service for tests: entries that use the load balancer of the product, backend servers that cache the
 * most recently used objects and are slow for all others, and callers that retry once after a rejection.
 */
import { createSeededRandom } from "@hyssopfront/bench/random/seeded-random.js";
import { type Clock, NO_COUNTERS } from "@hyssopfront/coordination";
import type { BackendRecord } from "../../registry/backend-record.js";
import { SAMPLE_BACKEND_RECORD } from "../../registry/sample-backend-record.js";
import { type BackendServer, createBackendServers } from "../backend-servers.js";
import type { PriorityAdmission, PriorityAdmissionOptions } from "../priority-admission/priority-admission.js";
import { createLoadBalancer, type LoadBalancer } from "./load-balancer.js";
import { createOverloadThrottle, type OverloadThrottle } from "./overload-throttle.js";
import type { SimulatedCall, SimulatedEnd, SimulatedOutcome } from "./simulated-call.js";

/** One-way delays, in milliseconds. */
const SAME_REGION_DELAY_MS = 0.5;
const CROSS_REGION_DELAY_MS = 12;
/** Share of the remaining time after which a rejected caller retries, and the maximum of this pause. */
const RETRY_AFTER_SHARE = 0.15;
const MAXIMUM_RETRY_AFTER_MS = 400;
/** Maximum wait for the first request for an object, as a multiple of the latency objective. */
const FIRST_REQUEST_WAIT_RATIO = 2;

/** An availability zone with a number of backend servers. */
export type SimulatedZone = {
    readonly availabilityZone: string;
    readonly region: string;
    readonly servers: number;
};

/** Topology, timing and load of the simulated service. */
export type SimulatedService = {
    readonly zones: readonly SimulatedZone[];
    readonly entriesPerRegion: number;
    readonly slots: number;
    readonly queueLength: number;
    /** Objects that the cache of a backend server holds. */
    readonly cachedObjects: number;
    readonly objectsPerRegion: number;
    /** Processing time of a request for an object that is not cached, in milliseconds. */
    readonly firstRunMilliseconds: number;
    readonly laterRunMilliseconds: number;
    readonly objectiveMilliseconds: number;
    /** Time after which an entry gives up a request, in milliseconds. */
    readonly timeoutMilliseconds: number;
    /** Time after which a caller gives up, in milliseconds. */
    readonly deadlineMilliseconds: number;
    /** True if callers retry once after a failure, and not only after a rejection. */
    readonly isIdempotent: boolean;
    /** Requests that arrive earlier are not part of the result; in milliseconds. */
    readonly countedFrom: number;
    /** Time at which all backend servers lose their caches, in milliseconds. */
    readonly cachesLostAt: number;
    /** Rate of the requests of a region, per second, at a time in milliseconds. */
    readonly requestsPerSecond: (region: string, now: number) => number;
    /** True if the zone is evacuated at a time in milliseconds. */
    readonly isEvacuated: (availabilityZone: string, now: number) => boolean;
    /** Factor of the processing time of a backend server at a time in milliseconds; 1 if it is healthy. */
    readonly getSlowdown: (id: string, now: number) => number;
    /** Creates a call from a region. Default: one for a uniformly random object, with the timing of the service. */
    readonly createCall?: (region: string, random: () => number, now: number) => SimulatedCall;
    readonly onEnd?: (end: SimulatedEnd) => void;
    /** Creates the priority admission of an entry. Default: none. */
    readonly createAdmission?: (options: PriorityAdmissionOptions) => PriorityAdmission;
};

/** Numbers of requests by outcome. */
export type SimulationResult = {
    readonly requests: number;
    readonly inObjective: number;
    readonly late: number;
    readonly refused: number;
    readonly failed: number;
};

type SimulatedRequest = {
    readonly call: SimulatedCall;
    isRunning: boolean;
    isCancelled: boolean;
    readonly end: (isRejected: boolean, load: Load) => void;
};
type Load = { readonly running: number; readonly waiting: number };

type SimulatedServer = { arrive(request: SimulatedRequest): void; cancel(request: SimulatedRequest): void };

type SimulatedEntry = {
    readonly region: string;
    readonly loadBalancer: LoadBalancer;
    readonly throttle: OverloadThrottle;
    readonly admission: PriorityAdmission | undefined;
};

/** FNV-1a hash with a final avalanche step, so that similar keys get unrelated hashes. */
export const hashText = (text: string) => {
    const fnv = [...text].reduce(
        (hash, character) => Math.imul(hash ^ character.charCodeAt(0), 16_777_619),
        2_166_136_261,
    );
    const avalanched = Math.imul(fnv ^ (fnv >>> 16), 0x45d9f3b);
    return (avalanched ^ (avalanched >>> 16)) >>> 0;
};

/** Runs the simulation; the same seed gives the same result. */
export async function simulateService(
    service: SimulatedService,
    milliseconds: number,
    seed: number,
): Promise<SimulationResult> {
    const random = createSeededRandom(seed);
    let now = 0;
    let sequence = 0;
    const events: { readonly at: number; readonly order: number; readonly callback: () => void }[] = [];
    const schedule = (delay: number, callback: () => void) => {
        sequence += 1;
        const event = { at: now + delay, order: sequence, callback };
        let low = 0;
        let high = events.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            const other = events[middle] as typeof event;
            if (other.at < event.at || (other.at === event.at && other.order < event.order)) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        events.splice(low, 0, event);
    };
    const sleep = (delay: number) => new Promise<void>(resolve => schedule(delay, resolve));
    const clock = { monotonicMilliseconds: () => now, wallTime: () => new Date(now), sleep } as unknown as Clock;
    const getRegion = (zone: string) =>
        service.zones.find(candidate => candidate.availabilityZone === zone)?.region ?? zone;
    const regions = [...new Set(service.zones.map(({ region }) => region))];

    const createServer = (id: string): SimulatedServer => {
        const cached = new Map<string, true>();
        let running = 0;
        let waiting: SimulatedRequest[] = [];
        const load = () => ({ running, waiting: waiting.length });
        schedule(service.cachesLostAt, () => cached.clear());
        const startNext = () => {
            running -= 1;
            const next = waiting.shift();
            if (next !== undefined) {
                start(next);
            }
        };
        const start = (request: SimulatedRequest) => {
            running += 1;
            request.isRunning = true;
            const { key, laterRunMilliseconds, firstRunMilliseconds } = request.call;
            const isCached = cached.delete(key);
            const jitter = 0.85 + random() * 0.3;
            const baseMilliseconds = isCached ? laterRunMilliseconds : firstRunMilliseconds;
            schedule(baseMilliseconds * jitter * service.getSlowdown(id, now), () => {
                if (request.isCancelled) {
                    return;
                }
                cached.set(key, true);
                const oldest = cached.keys().next();
                if (cached.size > service.cachedObjects && !oldest.done) {
                    cached.delete(oldest.value);
                }
                startNext();
                request.end(false, load());
            });
        };
        return {
            arrive: request => {
                if (running < service.slots) {
                    start(request);
                }
                else if (waiting.length < service.queueLength) {
                    waiting.push(request);
                }
                else {
                    request.end(true, load());
                }
            },
            cancel: request => {
                request.isCancelled = true;
                waiting = waiting.filter(other => other !== request);
                if (request.isRunning) {
                    startNext();
                }
            },
        };
    };

    const records = service.zones.flatMap(({ availabilityZone, servers }) =>
        Array.from({ length: servers }, (_, index): BackendRecord => ({
            ...SAMPLE_BACKEND_RECORD,
            id: `${availabilityZone}-${index + 1}`,
            service: "orders",
            address: `${availabilityZone}-${index + 1}`,
            availabilityZone,
            slots: service.slots,
        }))
    );
    const simulated = new Map(records.map(({ id }) => [id, createServer(id)]));
    const createEntry = (region: string): SimulatedEntry => {
        const servers = createBackendServers({ clock, random, getRegion, onConnect: () => undefined });
        records.forEach(record => servers.merge(record));
        const loadBalancer = createLoadBalancer({
            clock,
            servers,
            region,
            regions,
            hash: hashText,
            entryName: region,
            connectionLimit: () => 40,
            isEvacuated: zone => service.isEvacuated(zone, now),
            // Simulated evacuations never end, so their number identifies the generation.
            evacuationGeneration: () =>
                service.zones.filter(zone => service.isEvacuated(zone.availabilityZone, now)).length,
        });
        const admission = service.createAdmission?.({
            clock,
            random,
            loadBalancer,
            counters: NO_COUNTERS,
            log: () => undefined,
            entryCount: () => entries.length,
        });
        return { region, loadBalancer, throttle: createOverloadThrottle(clock, random), admission };
    };
    const entries = regions.flatMap(region =>
        Array.from({ length: service.entriesPerRegion }, () => createEntry(region))
    );

    const result = { requests: 0, inObjective: 0, late: 0, refused: 0, failed: 0 };

    const serve = async (entry: SimulatedEntry, call: SimulatedCall, endsAt: number): Promise<SimulatedOutcome> => {
        const { key } = call;
        const startedAt = now;
        const excluded = new Set<string>();
        let hasWaited = false;
        let isAdmitted = false;
        for (;;) {
            if (now >= endsAt) {
                entry.throttle.recordEnd(false);
                return "failed";
            }
            const selectionRequest = { service: "orders", affinityKey: key, homeRegions: [], excluded };
            const admission = entry.admission && await entry.admission.admit({
                ...selectionRequest,
                ...call,
                startedAt,
                endsAt,
                latencyObjectiveMilliseconds: call.objectiveMilliseconds,
                isCancelled: () => now >= endsAt,
            });
            const server = admission === undefined
                ? entry.loadBalancer.selectServer(selectionRequest)
                : typeof admission === "string"
                ? admission
                : admission.server;
            const release = typeof admission === "object" ? admission.release : () => undefined;
            if (typeof server === "string") {
                return "refused";
            }
            isAdmitted ||= entry.throttle.admits(server.warmUp.isWarm(key));
            if (!isAdmitted) {
                release(false);
                return "refused";
            }
            const firstRequestEnd = hasWaited ? undefined : server.warmUp.firstRequestEnd(key);
            if (firstRequestEnd !== undefined) {
                hasWaited = true;
                release(false);
                const maximumWait = Math.min(
                    endsAt - now,
                    call.objectiveMilliseconds * FIRST_REQUEST_WAIT_RATIO,
                );
                await new Promise<void>(resolve => {
                    schedule(maximumWait, resolve);
                    void firstRequestEnd.then(resolve);
                });
                continue;
            }
            const recordEnd = server.warmUp.startRequest(key);
            const outcome = await send(entry.region, server, call, endsAt);
            recordEnd(outcome === "answered");
            release(outcome === "answered");
            if (outcome !== "refused") {
                entry.throttle.recordEnd(outcome === "answered");
                return outcome;
            }
            if (excluded.size >= 2) {
                return outcome;
            }
            excluded.add(server.record.id);
        }
    };
    const send = (region: string, server: BackendServer, call: SimulatedCall, endsAt: number) =>
        new Promise<SimulatedOutcome>(resolve => {
            const delay = server.region === region ? SAME_REGION_DELAY_MS : CROSS_REGION_DELAY_MS;
            const target = simulated.get(server.record.id) as SimulatedServer;
            server.inFlight += 1;
            let isEnded = false;
            const finish = (outcome: SimulatedOutcome) => {
                if (!isEnded) {
                    isEnded = true;
                    server.inFlight -= 1;
                    resolve(outcome);
                }
            };
            const request: SimulatedRequest = {
                call,
                isRunning: false,
                isCancelled: false,
                end: (isRejected, load) =>
                    schedule(delay, () => {
                        if (!isEnded) {
                            server.load = { ...load, inFlightAtReport: server.inFlight, reportedAt: now };
                        }
                        finish(isRejected ? "refused" : "answered");
                    }),
            };
            schedule(delay, () => target.arrive(request));
            schedule(endsAt - now, () => {
                if (!isEnded) {
                    target.cancel(request);
                    finish("failed");
                }
            });
        });

    const createUniformCall = (region: string): SimulatedCall => ({
        ...service,
        key: `${region}-${Math.floor(random() * service.objectsPerRegion)}`,
        priority: 0,
        account: undefined,
    });
    const sendRequest = async (region: string) => {
        const startedAt = now;
        const call = service.createCall?.(region, random, now) ?? createUniformCall(region);
        const givesUpAt = now + call.deadlineMilliseconds;
        const endsAt = () => Math.min(givesUpAt, now + call.timeoutMilliseconds);
        const sameRegion = entries.filter(entry => entry.region === region);
        const pickEntry = () => sameRegion[Math.floor(random() * sameRegion.length)] as typeof sameRegion[0];
        const firstEntry = pickEntry();
        let outcome = await serve(firstEntry, call, endsAt());
        let rejections = 0;
        if (outcome === "refused") {
            rejections += 1;
            const pause = firstEntry.admission?.retryAfterMilliseconds("orders", givesUpAt - now)
                ?? Math.min(MAXIMUM_RETRY_AFTER_MS, (givesUpAt - now) * RETRY_AFTER_SHARE);
            await new Promise<void>(resolve => schedule(pause, resolve));
        }
        if (outcome === "refused" || (outcome === "failed" && service.isIdempotent)) {
            outcome = await serve(pickEntry(), call, endsAt());
            rejections += outcome === "refused" ? 1 : 0;
        }
        if (startedAt < service.countedFrom) {
            return;
        }
        service.onEnd?.({ call, outcome, startedAt, milliseconds: now - startedAt, rejections });
        result.requests += 1;
        if (outcome !== "answered") {
            result[outcome] += 1;
            return;
        }
        const isInObjective = now - startedAt <= call.objectiveMilliseconds;
        result[isInObjective ? "inObjective" : "late"] += 1;
    };
    const generateRequests = (region: string) => {
        void sendRequest(region);
        const rate = service.requestsPerSecond(region, now);
        schedule(-Math.log(1 - random()) * 1_000 / rate, () => generateRequests(region));
    };
    regions.forEach(generateRequests);
    while (now < milliseconds) {
        const event = events.shift();
        if (event === undefined) {
            break;
        }
        now = event.at;
        event.callback();
        // Runs the promise reactions that the event has triggered before the next event.
        for (let turn = 0; turn < 12; turn += 1) {
            await Promise.resolve();
        }
    }
    return result;
}
