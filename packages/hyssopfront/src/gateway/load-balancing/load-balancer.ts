/**
 * Chooses the backend server of a request: the one that has handled its object before, unless that one has no room and
 * another one is mostly idle.
 *
 * A backend server takes several times as long for an object that it does not know, and forgets others for it. If
 * requests went wherever a slot is free, each of them would take slots from requests of known objects, which then had to
 * move as well, and the service would stay overloaded after the cause has ended. Requests beyond the room at home are
 * therefore refused at once rather than spread.
 */
import type { Clock } from "@hyssopfront/coordination";
import type { BackendServer, BackendServers } from "../backend-servers.js";
import { HealthState } from "./health.js";
import { computeRegionShares, rankByWeight } from "./region-shares.js";

/** Requests that may wait at the backend server of their object, as a multiple of its slots; later ones would be late. */
const WAITING_SHARE = 1.25;
/**
 * Time after which a load that was told keeps no request away any more, in milliseconds. Without it, a backend server
 * that was full at the last answer would never get another request of this entry, whose answer would tell a new load.
 */
const LOAD_LIFETIME_MS = 3_000;
/** Share of its slots below which a backend server takes requests for objects of others. */
const IDLE_SHARE = 0.5;
/** Orders that are kept; requests without an object have keys of their own, which are never asked for again. */
const MAXIMUM_RANKINGS = 10_000;

export type ServerRequirements = {
    readonly service: string;
    /** Names the object of the request; requests of one object go to one backend server. */
    readonly affinityKey: string;
    /** Regions that may serve it; empty when all may. */
    readonly homeRegions: readonly string[];
    /** Backend servers that have refused it or failed. */
    readonly excluded: ReadonlySet<string>;
};

export enum NoServer {
    /** None is announced in the allowed places. */
    NoneAvailable = "none",
    /** Each one is cold, full, or out of use. */
    NoCapacity = "no-room",
}

/** How many backend servers of a service may not get a request now, by the first reason that applies to each. */
export type CapacitySummary = {
    readonly ejected: number;
    readonly cold: number;
    readonly outOfConnections: number;
    readonly full: number;
    readonly withFreeSlots: number;
};

export type LoadBalancer = {
    chooseServer(request: ServerRequirements): BackendServer | NoServer;
    /** Tells why `choose` finds no room, for the log. */
    summarizeCapacity(request: ServerRequirements): CapacitySummary;
};

export type LoadBalancerOptions = {
    readonly clock: Clock;
    readonly servers: BackendServers;
    /** Region of this entry, whose callers it serves. */
    readonly region: string;
    /** All regions with callers. */
    readonly regions: readonly string[];
    /** Uniform hash of a text, 32 bits. */
    readonly hash: (text: string) => number;
    /** Name of this entry in the division of requests to cold backend servers. */
    readonly entryName: string;
    readonly isEvacuated: (availabilityZone: string) => boolean;
    /** Changes whenever the evacuations change. */
    readonly evacuationGeneration: () => number;
    /** Connections that this entry may open to one backend server of a service. */
    readonly connectionLimit: (service: string) => number;
};

const addressOf = ({ record }: BackendServer) => `${record.address}:${record.port}`;

/**
 * Requests that the backend server works on or holds back, as far as this entry can tell.
 *
 * @param now Monotonic milliseconds.
 */
export function estimateLoad({ load, inFlight }: BackendServer, now: number): number {
    return load === undefined || (inFlight === 0 && now - load.reportedAt > LOAD_LIFETIME_MS)
        ? inFlight
        : Math.max(inFlight, load.running + load.waiting + inFlight - load.inFlightAtReport);
}

export function createLoadBalancer(options: LoadBalancerOptions): LoadBalancer {
    const { clock, servers, hash } = options;
    /** Order of the backend servers of a service for a key; valid while neither they nor the evacuations change. */
    let rankings = new Map<string, readonly BackendServer[]>();
    let rankedGeneration = "";

    const weightsOf = (candidates: readonly BackendServer[]) => {
        const slots = new Map<string, number>();
        candidates.forEach(({ region, record }) => slots.set(region, (slots.get(region) ?? 0) + record.slots));
        const shares = computeRegionShares(slots, options.regions, options.region);
        return ({ region, record }: BackendServer) =>
            (shares.get(region) ?? 0) * record.slots / (slots.get(region) ?? 1);
    };

    const rank = (service: string, key: string) => {
        const generation = `${servers.generation}/${options.evacuationGeneration()}`;
        if (rankedGeneration !== generation || rankings.size >= MAXIMUM_RANKINGS) {
            rankings = new Map();
            rankedGeneration = generation;
        }
        const cacheKey = `${service} ${key}`;
        const known = rankings.get(cacheKey);
        if (known !== undefined) {
            return known;
        }
        // Without evacuated zones, so that what they leave without room at home goes where capacity is left.
        const candidates = servers.listUsable(service)
            .filter(server => !options.isEvacuated(server.record.availabilityZone));
        const ranking = rankByWeight(candidates, weightsOf(candidates), server => hash(`${key} ${addressOf(server)}`));
        rankings.set(cacheKey, ranking);
        return ranking;
    };

    const hasColdRoom = ({ coldUntil, coldRequests: coldWindow, record }: BackendServer) =>
        clock.monotonicMilliseconds() >= coldUntil
        || coldWindow.count() < (record.coldPortions[options.entryName] ?? 0);

    const findAllowed = ({ service, affinityKey, homeRegions, excluded }: ServerRequirements) =>
        rank(service, affinityKey).filter(server =>
            !excluded.has(server.record.id)
            && (homeRegions.length === 0 || homeRegions.includes(server.region))
        );
    const isHealthy = (server: BackendServer) => {
        const health = server.health.state();
        return health === HealthState.Healthy || (health === HealthState.HalfOpen && server.inFlight === 0);
    };

    return {
        chooseServer: request => {
            const { service } = request;
            const connectionLimit = options.connectionLimit(service);
            const allowed = findAllowed(request);
            if (allowed.length === 0) {
                return NoServer.NoneAvailable;
            }
            const able = allowed.filter(server =>
                isHealthy(server) && server.inFlight < connectionLimit && hasColdRoom(server)
            );
            const now = clock.monotonicMilliseconds();
            const [home, ...others] = able;
            if (home !== undefined && estimateLoad(home, now) < home.record.slots * (1 + WAITING_SHARE)) {
                return home;
            }
            return others.find(server => estimateLoad(server, now) < server.record.slots * IDLE_SHARE)
                ?? NoServer.NoCapacity;
        },
        summarizeCapacity: request => {
            const connectionLimit = options.connectionLimit(request.service);
            const now = clock.monotonicMilliseconds();
            const summary = { ejected: 0, cold: 0, outOfConnections: 0, full: 0, withFreeSlots: 0 };
            findAllowed(request).forEach(server => {
                if (!isHealthy(server)) {
                    summary.ejected += 1;
                }
                else if (server.inFlight >= connectionLimit) {
                    summary.outOfConnections += 1;
                }
                else if (!hasColdRoom(server)) {
                    summary.cold += 1;
                }
                else if (estimateLoad(server, now) >= server.record.slots) {
                    summary.full += 1;
                }
                else {
                    summary.withFreeSlots += 1;
                }
            });
            return summary;
        },
    };
}
