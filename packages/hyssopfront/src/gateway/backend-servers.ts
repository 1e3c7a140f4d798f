/**
 * Backend servers as seen by an entry: their announced records, the connections to them, their health and their load.
 */
import type { Clock } from "@hyssopfront/coordination";
import {
    type BackendRecord,
    BackendServerState,
    isNewerRecord,
    type RecordVersion,
} from "../registry/backend-record.js";
import { type BackendConnectionPool, createBackendConnectionPool } from "../routing/backend-connection-pool.js";
import { createRequestCounter, type RequestCounter } from "../slow-start/request-counter.js";
import { createHealth, type Health } from "./load-balancing/health.js";
import { createKeyWarmUp, type KeyWarmUp } from "./load-balancing/warm-up.js";

/** Timeout for connecting, in milliseconds. Across regions it takes far less; an unreachable host never responds. */
const CONNECT_TIMEOUT_MS = 400;

/** Load that a backend server has reported in a response. */
export type ReportedLoad = {
    readonly running: number;
    readonly waiting: number;
    /** Requests of this entry that were in flight when the response arrived. */
    readonly inFlightAtReport: number;
    /** Arrival of the response, in monotonic milliseconds. */
    readonly reportedAt: number;
};

/** One backend server with the state that this entry keeps about it. */
export type BackendServer = {
    record: BackendRecord;
    readonly region: string;
    readonly connections: BackendConnectionPool;
    readonly health: Health;
    readonly warmUp: KeyWarmUp;
    /** Requests of this entry that are in flight. */
    inFlight: number;
    /** End of the slow start, in monotonic milliseconds. */
    coldUntil: number;
    /** Requests that this entry has sent during the slow start. */
    readonly coldRequests: RequestCounter;
    /** Load that it last reported, including the requests of this entry. */
    load: ReportedLoad | undefined;
};

/** Backend servers of one service that may get requests. `list` is made from `members` when it is needed. */
type UsableServers = {
    readonly members: Set<BackendServer>;
    generation: number;
    list: readonly BackendServer[] | undefined;
};

/** All backend servers known to an entry. */
export type BackendServers = {
    /** Returns true if a record of the backend server with this version is newer than the known one. */
    isNewer(id: string, version: RecordVersion): boolean;
    /** @returns True if the record is newer than the known one and was applied. */
    merge(record: BackendRecord): boolean;
    /** Backend servers of a service that may get requests, in no particular order. */
    listUsable(service: string): readonly BackendServer[];
    /**
     * Stops using this incarnation of a backend server for good, because it says that it is leaving or a different one
     * responds at its address. Requests in flight continue.
     *
     * @returns False if it was no longer used.
     */
    stopUsing(server: BackendServer): boolean;
    /** Changes whenever the usable backend servers of the service change. */
    getGeneration(service: string): number;
    listAll(): readonly BackendServer[];
    close(): void;
};

/** Dependencies of the set of backend servers. */
export type BackendServersOptions = {
    readonly clock: Clock;
    readonly random: () => number;
    /** Returns the region of an availability zone. */
    readonly getRegion: (availabilityZone: string) => string;
    /** Called for each connection that is opened to a backend server. */
    readonly onConnect: () => void;
};

/**
 * Creates its parts when they are first used, as most of thousands of announced servers get no request from this entry
 * soon. It is a class because accessors of an object literal would give each server a hidden class of its own, which
 * makes loops over all servers slow.
 */
class AnnouncedBackendServer implements BackendServer {
    inFlight = 0;
    coldUntil = 0;
    load: ReportedLoad | undefined = undefined;
    private createdConnections: BackendConnectionPool | undefined = undefined;
    private createdHealth: Health | undefined = undefined;
    private createdWarmUp: KeyWarmUp | undefined = undefined;
    private createdColdRequests: RequestCounter | undefined = undefined;

    readonly region: string;

    constructor(
        public record: BackendRecord,
        private readonly options: BackendServersOptions,
    ) {
        this.region = options.getRegion(record.availabilityZone);
    }

    get connections(): BackendConnectionPool {
        return this.createdConnections ??= createBackendConnectionPool({
            clock: this.options.clock,
            address: this.record.address,
            port: this.record.port,
            connectTimeoutMilliseconds: CONNECT_TIMEOUT_MS,
            onConnect: this.options.onConnect,
        });
    }

    get health(): Health {
        return this.createdHealth ??= createHealth(this.options.clock, this.options.random);
    }

    get warmUp(): KeyWarmUp {
        return this.createdWarmUp ??= createKeyWarmUp();
    }

    get coldRequests(): RequestCounter {
        return this.createdColdRequests ??= createRequestCounter(this.options.clock);
    }
}

/** Creates an empty set of backend servers. */
export function createBackendServers(options: BackendServersOptions): BackendServers {
    const { clock } = options;
    const servers = new Map<string, BackendServer>();
    const serversByAddress = new Map<string, readonly BackendServer[]>();
    /** Incarnations that must not be used again, whatever their records say. */
    const withdrawnIncarnations = new Set<string>();
    /**
     * Last records of backend servers that are no longer usable, so that an older announcement does not restore them.
     */
    const unusableRecords = new Map<string, BackendRecord>();
    const usableByService = new Map<string, UsableServers>();

    const updateUsable = (service: string, server: BackendServer) => {
        const usable = usableByService.get(service) ?? { members: new Set(), generation: 0, list: undefined };
        if (isUsable(server) && server.record.service === service && servers.get(server.record.id) === server) {
            usable.members.add(server);
        }
        else {
            usable.members.delete(server);
        }
        usable.generation += 1;
        usable.list = undefined;
        usableByService.set(service, usable);
    };
    const formatAddress = ({ address, port }: BackendRecord) => `${address}:${port}`;
    const incarnationKey = ({ id, startedAt }: BackendRecord) => `${id}@${startedAt}`;
    const isAvailable = ({ record }: BackendServer) =>
        record.state === BackendServerState.Ready && !withdrawnIncarnations.has(incarnationKey(record));
    const listOthersAtAddress = (server: BackendServer) =>
        (serversByAddress.get(formatAddress(server.record)) ?? []).filter(other => other !== server);
    /**
     * Only the latest server process can listen at an address. An earlier one that ended without a departure stays
     * announced for seconds. It is kept, because it is used again if the later one turns out not to be there.
     */
    const isSuperseded = (server: BackendServer) =>
        listOthersAtAddress(server).some(other =>
            other.record.startedAt > server.record.startedAt && isAvailable(other)
        );
    const isUsable = (server: BackendServer) => isAvailable(server) && !isSuperseded(server);
    /** Updates a server that has changed, and the others at its address, which it may have superseded. */
    const updateUsableAtAddress = (server: BackendServer) => {
        updateUsable(server.record.service, server);
        listOthersAtAddress(server).forEach(other => updateUsable(other.record.service, other));
    };

    const addServer = (server: BackendServer) => {
        const address = formatAddress(server.record);
        servers.set(server.record.id, server);
        serversByAddress.set(address, [...listOthersAtAddress(server), server]);
    };
    const removeServer = (server: BackendServer) => {
        const address = formatAddress(server.record);
        const others = listOthersAtAddress(server);
        servers.delete(server.record.id);
        if (others.length === 0) {
            serversByAddress.delete(address);
        }
        else {
            serversByAddress.set(address, others);
        }
    };

    const findRecord = (id: string) => servers.get(id)?.record ?? unusableRecords.get(id);

    return {
        isNewer: (id, version) => isNewerRecord(version, findRecord(id)),
        merge: record => {
            const existing = servers.get(record.id);
            if (!isNewerRecord(record, findRecord(record.id))) {
                return false;
            }
            const isSameIncarnation = existing?.record.startedAt === record.startedAt
                && existing.record.address === record.address && existing.record.port === record.port
                && existing.record.availabilityZone === record.availabilityZone;
            if (existing !== undefined && !isSameIncarnation) {
                existing.connections.close();
                removeServer(existing);
                updateUsableAtAddress(existing);
            }
            const previousService = existing?.record.service;
            const server = existing !== undefined && isSameIncarnation
                ? existing
                : new AnnouncedBackendServer(record, options);
            server.record = record;
            server.coldUntil = clock.monotonicMilliseconds() + record.coldMilliseconds;
            if (isAvailable(server)) {
                addServer(server);
                unusableRecords.delete(record.id);
            }
            else {
                server.connections.close();
                removeServer(server);
                unusableRecords.set(record.id, record);
            }
            if (previousService !== undefined && previousService !== record.service) {
                updateUsable(previousService, server);
            }
            updateUsableAtAddress(server);
            return true;
        },
        listUsable: service => {
            const usable = usableByService.get(service);
            if (usable === undefined) {
                return [];
            }
            usable.list ??= [...usable.members];
            return usable.list;
        },
        stopUsing: server => {
            const key = incarnationKey(server.record);
            if (withdrawnIncarnations.has(key)) {
                return false;
            }
            withdrawnIncarnations.add(key);
            server.connections.close();
            updateUsableAtAddress(server);
            return true;
        },
        getGeneration: service => usableByService.get(service)?.generation ?? 0,
        listAll: () => [...servers.values()],
        close: () => servers.forEach(server => server.connections.close()),
    };
}
