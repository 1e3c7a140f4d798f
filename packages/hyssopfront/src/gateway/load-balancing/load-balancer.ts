/**
 * Load balancing with cache affinity: selects the backend server that the affinity key of a request hashes to. If that
 * one has no capacity, another one is selected only if it is mostly idle.
 *
 * A backend server takes several times as long for an object that is not in its cache, and evicts others for it. If
 * requests went to any free slot, each of these slow requests would take slots from requests for cached objects, which
 * would have to move as well, and the service would stay overloaded after the cause has ended. Requests beyond the
 * capacity of the preferred backend server are therefore rejected at once instead of being spread.
 */
import type { Clock } from "@hyssopfront/coordination";
import type { BackendServer, BackendServers } from "../backend-servers.js";
import { HealthState } from "./health.js";
import { combineHashes, computeRegionShares, findFirstByWeight, rankByWeight } from "./region-shares.js";

/**
 * Requests that may queue at their preferred backend server, as a multiple of its slots; more would miss the objective.
 */
const QUEUE_RATIO = 1.25;
/**
 * Age at which a reported load is ignored if no request is in flight, in milliseconds. Load is reported with responses:
 * without this limit, a backend server that was full at its last response would never get another request of this
 * entry.
 */
const REPORTED_LOAD_MAX_AGE_MS = 3_000;
/** Load, as a share of its slots, below which a backend server gets requests that another one has no capacity for. */
const IDLE_LOAD_RATIO = 0.5;
/** Bounds the cache: requests without an affinity key are ranked by their id, which is never looked up again. */
const MAXIMUM_CACHED_RANKINGS = 10_000;

/** Restriction of requests that leave capacity of their backend server to more urgent ones. */
export type Headroom = {
    /**
     * Load of the preferred backend server from which it is not selected, as a multiple of its slots. No other one is
     * selected instead: its cache would take the object and evict one of those that it needs under load.
     */
    readonly maximumLoadRatio: number;
};

/** Service and object of one request, and the restrictions on its backend server. */
export type SelectionRequest = {
    readonly service: string;
    /** Identifies the object of the request; requests with the same key go to the same backend server. */
    readonly affinityKey: string;
    /** Regions that may serve the request; empty if all may. */
    readonly homeRegions: readonly string[];
    /** Ids of the backend servers that have rejected the request or failed. */
    readonly excluded: ReadonlySet<string>;
    /** Undefined: all capacity may be used. */
    readonly headroom?: Headroom | undefined;
};

/** Reasons for which no backend server is selected. */
export enum SelectionFailure {
    /** No usable backend server is registered in the allowed regions and zones. */
    NoBackendServer = "none",
    /** Each one is full, ejected, at its connection limit, or at its slow-start quota. */
    NoCapacity = "no-room",
}

/**
 * Numbers of backend servers of a service, each counted under the first reason for which it cannot get a request now.
 */
export type CapacitySummary = {
    readonly ejected: number;
    /** In a pause that they have asked for. */
    readonly paused: number;
    /** At their slow-start quota. */
    readonly cold: number;
    readonly outOfConnections: number;
    readonly full: number;
    readonly withFreeSlots: number;
};

/** Selects backend servers for the requests of one entry. */
export type LoadBalancer = {
    /** @returns The backend server to send the request to, or the reason why there is none. */
    selectServer(selectionRequest: SelectionRequest): BackendServer | SelectionFailure;
    /** Counts the backend servers by what prevents their selection, to log why `selectServer` finds no capacity. */
    summarizeCapacity(selectionRequest: SelectionRequest): CapacitySummary;
    /** Returns the slots of all usable backend servers of a service outside evacuated availability zones. */
    countSlots(service: string): number;
    /**
     * Time in milliseconds until the first pause of a backend server ends, if all that may serve the request have asked
     * for one; otherwise 0.
     */
    pauseMilliseconds(selectionRequest: SelectionRequest): number;
};

/** Rankings for the keys of one service, valid until its backend servers or the evacuations change. */
type ServiceRankings = {
    readonly generation: string;
    readonly candidates: readonly BackendServer[];
    /** Slots of all candidates. */
    readonly slots: number;
    readonly getWeight: (server: BackendServer) => number;
    /** Most preferred backend server. */
    readonly firstByKey: Map<string, BackendServer | undefined>;
    /** Backend servers in order of preference; only for keys whose first one could not be selected. */
    readonly byKey: Map<string, readonly BackendServer[]>;
};

/** Dependencies and identity of a load balancer. */
export type LoadBalancerOptions = {
    readonly clock: Clock;
    readonly servers: BackendServers;
    /** Region of this entry and of its callers. */
    readonly region: string;
    /** All regions with callers. */
    readonly regions: readonly string[];
    /** Uniform 32-bit hash of a string. */
    readonly hash: (text: string) => number;
    /** Name of this entry in the slow-start quotas of backend servers. */
    readonly entryName: string;
    readonly isEvacuated: (availabilityZone: string) => boolean;
    /** Changes whenever an evacuation begins or ends. */
    readonly evacuationGeneration: () => number;
    /** Maximum number of connections of this entry to one backend server of a service. */
    readonly connectionLimit: (service: string) => number;
};

const formatAddress = ({ record }: BackendServer) => `${record.address}:${record.port}`;

const hasRecentReport = ({ load }: BackendServer, now: number) =>
    load !== undefined && now - load.reportedAt <= REPORTED_LOAD_MAX_AGE_MS;

/**
 * Estimates how many requests a backend server is running or queueing, from the last reported load and the requests
 * that this entry has sent since.
 *
 * @param now Monotonic milliseconds.
 * @returns The number of requests of all entries.
 */
export function estimateLoad({ load, inFlight }: BackendServer, now: number): number {
    return load === undefined || (inFlight === 0 && now - load.reportedAt > REPORTED_LOAD_MAX_AGE_MS)
        ? inFlight
        : Math.max(inFlight, load.running + load.waiting + inFlight - load.inFlightAtReport);
}

/** Creates a load balancer with an empty cache of rankings. */
export function createLoadBalancer(options: LoadBalancerOptions): LoadBalancer {
    const { clock, servers, hash } = options;
    const rankingsByService = new Map<string, ServiceRankings>();

    const addressHashes = new WeakMap<BackendServer, number>();
    const getAddressHash = (server: BackendServer) => {
        const addressHash = addressHashes.get(server) ?? hash(formatAddress(server));
        addressHashes.set(server, addressHash);
        return addressHash;
    };
    const computeWeights = (candidates: readonly BackendServer[]) => {
        const slots = new Map<string, number>();
        candidates.forEach(({ region, record }) => slots.set(region, (slots.get(region) ?? 0) + record.slots));
        const shares = computeRegionShares(slots, options.regions, options.region);
        return ({ region, record }: BackendServer) =>
            (shares.get(region) ?? 0) * record.slots / (slots.get(region) ?? 1);
    };

    const getRankings = (service: string): ServiceRankings => {
        const generation = `${servers.getGeneration(service)}/${options.evacuationGeneration()}`;
        const current = rankingsByService.get(service);
        if (
            current?.generation === generation
            && Math.max(current.firstByKey.size, current.byKey.size) < MAXIMUM_CACHED_RANKINGS
        ) {
            return current;
        }
        // Evacuated zones are left out before the weights are computed, so that the requests that no longer fit in the
        // region go to regions with spare capacity.
        const candidates = servers.listUsable(service)
            .filter(server => !options.isEvacuated(server.record.availabilityZone));
        const slots = candidates.reduce((sum, { record }) => sum + record.slots, 0);
        const getWeight = computeWeights(candidates);
        const rankings = { generation, candidates, slots, getWeight, firstByKey: new Map(), byKey: new Map() };
        rankingsByService.set(service, rankings);
        return rankings;
    };

    /** While servers change, few keys are used again before the next change, so that a sorted ranking is used once. */
    const findFirst = (service: string, key: string) => {
        const { candidates, getWeight, firstByKey } = getRankings(service);
        const cached = firstByKey.get(key);
        if (cached !== undefined) {
            return cached;
        }
        const keyHash = hash(key);
        const first = findFirstByWeight(
            candidates,
            getWeight,
            server => combineHashes(keyHash, getAddressHash(server)),
        );
        firstByKey.set(key, first);
        return first;
    };

    const rank = (service: string, key: string) => {
        const { candidates, getWeight, byKey } = getRankings(service);
        const cached = byKey.get(key);
        if (cached !== undefined) {
            return cached;
        }
        const keyHash = hash(key);
        const ranking = rankByWeight(candidates, getWeight, server => combineHashes(keyHash, getAddressHash(server)));
        byKey.set(key, ranking);
        return ranking;
    };

    const isWithinSlowStartQuota = ({ coldUntil, coldRequests, record }: BackendServer) =>
        clock.monotonicMilliseconds() >= coldUntil
        || coldRequests.count() < (record.coldPortions[options.entryName] ?? 0);

    const rankAllowed = ({ service, affinityKey, homeRegions, excluded }: SelectionRequest) => {
        const ranking = rank(service, affinityKey);
        return excluded.size === 0 && homeRegions.length === 0 ?
            ranking :
            ranking.filter(server =>
                !excluded.has(server.record.id)
                && (homeRegions.length === 0 || homeRegions.includes(server.region))
            );
    };
    const isHealthy = (server: BackendServer) => {
        const health = server.health.state();
        return health === HealthState.Healthy || (health === HealthState.Trial && server.inFlight === 0);
    };

    return {
        selectServer: selectionRequest => {
            const { service, affinityKey, homeRegions, excluded, headroom } = selectionRequest;
            const maximumLoadRatio = headroom?.maximumLoadRatio ?? 1 + QUEUE_RATIO;
            const connectionLimit = options.connectionLimit(service);
            const isEligible = (server: BackendServer) =>
                isHealthy(server) && server.inFlight < connectionLimit && isWithinSlowStartQuota(server);
            const now = clock.monotonicMilliseconds();
            const hasShortQueue = (server: BackendServer) =>
                estimateLoad(server, now) < server.record.slots * maximumLoadRatio;
            if (excluded.size === 0 && homeRegions.length === 0) {
                const first = findFirst(service, affinityKey);
                if (first !== undefined && isEligible(first) && hasShortQueue(first)) {
                    return first;
                }
            }
            const allowed = rankAllowed(selectionRequest);
            if (allowed.length === 0) {
                return SelectionFailure.NoBackendServer;
            }
            const preferred = allowed.find(isEligible);
            if (preferred !== undefined && hasShortQueue(preferred)) {
                return preferred;
            }
            if (headroom !== undefined) {
                return SelectionFailure.NoCapacity;
            }
            // A backend server without a recent report may be full of requests of other entries, which this one cannot see.
            const reportsLoad = allowed.some(({ load }) => load !== undefined);
            const isKnownIdle = (server: BackendServer) =>
                (!reportsLoad || hasRecentReport(server, now))
                && estimateLoad(server, now) < server.record.slots * IDLE_LOAD_RATIO;
            return allowed.find(server => server !== preferred && isKnownIdle(server) && isEligible(server))
                ?? SelectionFailure.NoCapacity;
        },
        summarizeCapacity: selectionRequest => {
            const connectionLimit = options.connectionLimit(selectionRequest.service);
            const now = clock.monotonicMilliseconds();
            const summary = { ejected: 0, paused: 0, cold: 0, outOfConnections: 0, full: 0, withFreeSlots: 0 };
            rankAllowed(selectionRequest).forEach(server => {
                if (server.health.state() === HealthState.Paused) {
                    summary.paused += 1;
                }
                else if (!isHealthy(server)) {
                    summary.ejected += 1;
                }
                else if (server.inFlight >= connectionLimit) {
                    summary.outOfConnections += 1;
                }
                else if (!isWithinSlowStartQuota(server)) {
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
        countSlots: service => getRankings(service).slots,
        pauseMilliseconds: selectionRequest => {
            const allowed = rankAllowed(selectionRequest);
            return allowed.length > 0 && allowed.every(({ health }) => health.state() === HealthState.Paused)
                ? Math.min(...allowed.map(({ health }) => health.pausedUntil())) - clock.monotonicMilliseconds()
                : 0;
        },
    };
}
