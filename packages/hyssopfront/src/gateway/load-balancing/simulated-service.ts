/**
 * Simulation of one service for tests: entries that choose backend servers as the product does, backend servers that
 * know the objects that they handled last and are slow for others, and callers that come back once after a refusal.
 */
import { createSeededRandom } from "@hyssopfront/bench/random/seeded-random.js";
import type { Clock } from "@hyssopfront/coordination";
import { type BackendRecord, BackendServerState } from "../../registry/backend-record.js";
import { type BackendServer, createBackendServers } from "../backend-servers.js";
import { createLoadBalancer, type LoadBalancer } from "./load-balancer.js";

/** One-way delays, in milliseconds. */
const LOCAL_DELAY_MS = 0.5;
const REGION_DELAY_MS = 12;
/** Share of the remaining time after which a refused caller comes back, and the longest such pause. */
const RETRY_AFTER_SHARE = 0.15;
const LONGEST_RETRY_AFTER_MS = 400;
const OBJECTIVES_WAITED_FOR_FIRST = 2;

export type SimulatedPlace = {
    readonly availabilityZone: string;
    readonly region: string;
    readonly servers: number;
};

export type SimulatedService = {
    readonly places: readonly SimulatedPlace[];
    readonly entriesPerRegion: number;
    readonly slots: number;
    readonly queue: number;
    /** Objects that a backend server remembers. */
    readonly remembered: number;
    readonly objectsPerRegion: number;
    /** Time of a run for an object that is not remembered, in milliseconds. */
    readonly firstRunMilliseconds: number;
    readonly laterRunMilliseconds: number;
    readonly objectiveMilliseconds: number;
    readonly deadlineMilliseconds: number;
    /** Requests from all callers of a region, per second, at a time in milliseconds. */
    readonly requestsPerSecond: (region: string, now: number) => number;
    /** Zones that are evacuated at a time in milliseconds. */
    readonly isEvacuated: (availabilityZone: string, now: number) => boolean;
    /** Factor of the run time on a backend server at a time; 1 when it is sound. */
    readonly slownessOf: (id: string, now: number) => number;
};

export type SimulationResult = {
    readonly asked: number;
    readonly inObjective: number;
    readonly late: number;
    readonly refused: number;
    readonly failed: number;
};

type Run = { readonly key: string; isCancelled: boolean; readonly end: (isRefused: boolean, load: Load) => void };
type Load = { readonly running: number; readonly waiting: number };

type Server = { arrive(run: Run): void; cancel(run: Run): void };

/** FNV-1a with a final mix, as similar keys must give unrelated numbers. */
export const spreadHash = (text: string) => {
    const mixed = [...text].reduce((sum, letter) => Math.imul(sum ^ letter.charCodeAt(0), 16_777_619), 2_166_136_261);
    const spread = Math.imul(mixed ^ (mixed >>> 16), 0x45d9f3b);
    return (spread ^ (spread >>> 16)) >>> 0;
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
    const queue: { readonly at: number; readonly order: number; readonly act: () => void }[] = [];
    const schedule = (delay: number, act: () => void) => {
        sequence += 1;
        const event = { at: now + delay, order: sequence, act };
        let low = 0;
        let high = queue.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            const other = queue[middle] as typeof event;
            if (other.at < event.at || (other.at === event.at && other.order < event.order)) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        queue.splice(low, 0, event);
    };
    const clock = { monotonicMilliseconds: () => now, wallTime: () => new Date(now) } as unknown as Clock;
    const regionOf = (zone: string) => service.places.find(place => place.availabilityZone === zone)?.region ?? zone;
    const regions = [...new Set(service.places.map(({ region }) => region))];

    const createServer = (id: string): Server => {
        const remembered = new Map<string, true>();
        let running = 0;
        let waiting: Run[] = [];
        const load = () => ({ running, waiting: waiting.length });
        const start = (run: Run) => {
            running += 1;
            const knows = remembered.delete(run.key);
            const spread = 0.85 + random() * 0.3;
            const usual = knows ? service.laterRunMilliseconds : service.firstRunMilliseconds;
            schedule(usual * spread * service.slownessOf(id, now), () => {
                running -= 1;
                if (!run.isCancelled) {
                    remembered.set(run.key, true);
                    const oldest = remembered.keys().next();
                    if (remembered.size > service.remembered && !oldest.done) {
                        remembered.delete(oldest.value);
                    }
                }
                const next = waiting.shift();
                if (next !== undefined) {
                    start(next);
                }
                run.end(false, load());
            });
        };
        return {
            arrive: run => {
                if (running < service.slots) {
                    start(run);
                }
                else if (waiting.length < service.queue) {
                    waiting.push(run);
                }
                else {
                    run.end(true, load());
                }
            },
            cancel: run => {
                run.isCancelled = true;
                waiting = waiting.filter(other => other !== run);
            },
        };
    };

    const records = service.places.flatMap(({ availabilityZone, servers }) =>
        Array.from({ length: servers }, (_, index): BackendRecord => ({
            id: `${availabilityZone}-${index + 1}`,
            service: "orders",
            address: `${availabilityZone}-${index + 1}`,
            port: 80,
            availabilityZone,
            slots: service.slots,
            state: BackendServerState.Ready,
            coldMilliseconds: 0,
            startedAt: 1,
            sequence: 1,
            coldPortions: {},
        }))
    );
    const simulated = new Map(records.map(({ id }) => [id, createServer(id)]));
    const createEntry = (region: string) => {
        const servers = createBackendServers({ clock, random, regionOf, onConnect: () => undefined });
        records.forEach(record => servers.merge(record));
        const chooser = createLoadBalancer({
            clock,
            servers,
            region,
            regions,
            hash: spreadHash,
            entryName: region,
            connectionLimit: () => 40,
            isEvacuated: zone => service.isEvacuated(zone, now),
            // Evacuations last once they have begun.
            evacuationGeneration: () =>
                service.places.filter(place => service.isEvacuated(place.availabilityZone, now)).length,
        });
        return { region, chooser };
    };
    const entries = regions.flatMap(region =>
        Array.from({ length: service.entriesPerRegion }, () => createEntry(region))
    );

    const result = { asked: 0, inObjective: 0, late: 0, refused: 0, failed: 0 };

    type Outcome = "answered" | "refused" | "failed";
    const serve = async (
        entry: { readonly region: string; readonly chooser: LoadBalancer },
        key: string,
        endsAt: number,
    ): Promise<Outcome> => {
        const excluded = new Set<string>();
        let hasWaited = false;
        for (;;) {
            if (now >= endsAt) {
                return "failed";
            }
            const server = entry.chooser.chooseServer({
                service: "orders",
                affinityKey: key,
                homeRegions: [],
                excluded,
            });
            if (typeof server === "string") {
                return "refused";
            }
            const first = hasWaited ? undefined : server.warmUp.waitForFirstRequest(key);
            if (first !== undefined) {
                hasWaited = true;
                const longest = Math.min(endsAt - now, service.objectiveMilliseconds * OBJECTIVES_WAITED_FOR_FIRST);
                await new Promise<void>(resolve => {
                    schedule(longest, resolve);
                    void first.then(resolve);
                });
                continue;
            }
            const noteEnd = server.warmUp.startRequest(key);
            const outcome = await send(entry.region, server, key, endsAt);
            noteEnd(outcome === "answered");
            if (outcome !== "refused" || excluded.size >= 2) {
                return outcome;
            }
            excluded.add(server.record.id);
        }
    };
    const send = (region: string, server: BackendServer, key: string, endsAt: number) =>
        new Promise<Outcome>(resolve => {
            const delay = server.region === region ? LOCAL_DELAY_MS : REGION_DELAY_MS;
            const target = simulated.get(server.record.id) as Server;
            server.inFlight += 1;
            let isEnded = false;
            const finish = (outcome: Outcome) => {
                if (!isEnded) {
                    isEnded = true;
                    server.inFlight -= 1;
                    resolve(outcome);
                }
            };
            const run: Run = {
                key,
                isCancelled: false,
                end: (isRefused, load) =>
                    schedule(delay, () => {
                        if (!isEnded) {
                            server.load = { ...load, inFlightAtReport: server.inFlight, reportedAt: now };
                        }
                        finish(isRefused ? "refused" : "answered");
                    }),
            };
            schedule(delay, () => target.arrive(run));
            schedule(endsAt - now, () => {
                if (!isEnded) {
                    target.cancel(run);
                    finish("failed");
                }
            });
        });

    const ask = async (region: string) => {
        const startedAt = now;
        const endsAt = now + service.deadlineMilliseconds;
        const key = `${region}-${Math.floor(random() * service.objectsPerRegion)}`;
        const near = entries.filter(entry => entry.region === region);
        const pick = () => near[Math.floor(random() * near.length)] as typeof near[0];
        result.asked += 1;
        let outcome = await serve(pick(), key, endsAt);
        if (outcome === "refused") {
            const pause = Math.min(LONGEST_RETRY_AFTER_MS, (endsAt - now) * RETRY_AFTER_SHARE);
            await new Promise<void>(resolve => schedule(pause, resolve));
            outcome = await serve(pick(), key, endsAt);
        }
        if (outcome !== "answered") {
            result[outcome] += 1;
            return;
        }
        const isInObjective = now - startedAt <= service.objectiveMilliseconds;
        result[isInObjective ? "inObjective" : "late"] += 1;
    };
    const arrive = (region: string) => {
        void ask(region);
        const rate = service.requestsPerSecond(region, now);
        schedule(-Math.log(1 - random()) * 1_000 / rate, () => arrive(region));
    };
    regions.forEach(arrive);
    while (now < milliseconds) {
        const event = queue.shift();
        if (event === undefined) {
            break;
        }
        now = event.at;
        event.act();
        // Lets the tasks that the event has woken go on.
        for (let turn = 0; turn < 12; turn += 1) {
            await Promise.resolve();
        }
    }
    return result;
}
