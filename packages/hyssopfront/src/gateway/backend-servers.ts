/**
 * Backend servers as an entry knows them: what they announced, what it has open to them, and how they have answered.
 */
import type { Clock } from "@hyssopfront/coordination";
import { type BackendRecord, BackendServerState, isNewerRecord } from "../registry/backend-record.js";
import { type BackendConnectionPool, createBackendConnectionPool } from "../routing/backend-connection-pool.js";
import { createRequestCounter, type RequestCounter } from "../slow-start/request-counter.js";
import { createHealth, type Health } from "./load-balancing/health.js";
import { createKeyWarmUp, type KeyWarmUp } from "./load-balancing/warm-up.js";

/** A connection attempt across two regions takes well under this, in milliseconds; a dark server never answers. */
const CONNECT_DEADLINE_MS = 400;

/** Load as a backend server told it with an answer. */
export type ReportedLoad = {
    readonly running: number;
    readonly waiting: number;
    /** Requests of this entry that were there when the answer came. */
    readonly inFlightAtReport: number;
    /** Monotonic milliseconds of the answer. */
    readonly reportedAt: number;
};

export type BackendServer = {
    record: BackendRecord;
    readonly region: string;
    readonly connections: BackendConnectionPool;
    readonly health: Health;
    readonly warmUp: KeyWarmUp;
    /** Requests of this entry that it works on now. */
    inFlight: number;
    /** Monotonic milliseconds until which it is cold. */
    coldUntil: number;
    /** Requests that this entry has sent while it was cold. */
    readonly coldRequests: RequestCounter;
    /** Load that it last told, requests of this entry included. */
    load: ReportedLoad | undefined;
};

export type BackendServers = {
    /** @returns True when the record was newer than the one held. */
    merge(record: BackendRecord): boolean;
    /** Backend servers of a service that may get requests, in no order. */
    listUsable(service: string): readonly BackendServer[];
    /** Notes that another backend server answers at the address of this one. */
    markReplaced(server: BackendServer): void;
    /** Changes whenever the usable backend servers of some service have changed. */
    readonly generation: number;
    listAll(): readonly BackendServer[];
    close(): void;
};

export function createBackendServers(options: {
    readonly clock: Clock;
    readonly random: () => number;
    readonly regionOf: (availabilityZone: string) => string;
    readonly onConnect: () => void;
}): BackendServers {
    const { clock, random } = options;
    const servers = new Map<string, BackendServer>();
    const replaced = new Set<string>();
    /** Last records of those that ended, so that an older statement does not bring them back. */
    const ended = new Map<string, BackendRecord>();
    let byService = new Map<string, readonly BackendServer[]>();
    let generation = 0;

    const index = () => {
        generation += 1;
        byService = new Map();
        [...servers.values()].filter(isUsable).forEach(server => {
            const { service } = server.record;
            byService.set(service, [...byService.get(service) ?? [], server]);
        });
    };
    const startKey = ({ id, startedAt }: BackendRecord) => `${id}@${startedAt}`;
    const isUsable = ({ record }: BackendServer) =>
        record.state === BackendServerState.Ready && !replaced.has(startKey(record));

    const create = (record: BackendRecord): BackendServer => ({
        record,
        region: options.regionOf(record.availabilityZone),
        connections: createBackendConnectionPool({
            clock,
            address: record.address,
            port: record.port,
            connectTimeoutMilliseconds: CONNECT_DEADLINE_MS,
            onConnect: options.onConnect,
        }),
        health: createHealth(clock, random),
        warmUp: createKeyWarmUp(),
        inFlight: 0,
        coldUntil: 0,
        coldRequests: createRequestCounter(clock),
        load: undefined,
    });

    /** Only the latest start at an address can be there; an older one may still be told of by a late announcement. */
    const isSuperseded = (record: BackendRecord) =>
        [...servers.values()].some(({ record: other }) =>
            other.id !== record.id && other.address === record.address && other.port === record.port
            && other.startedAt > record.startedAt
        );

    return {
        merge: record => {
            const known = servers.get(record.id);
            const last = known?.record ?? ended.get(record.id);
            if (!isNewerRecord(record, last) || (known === undefined && isSuperseded(record))) {
                return false;
            }
            const isSameStart = known?.record.startedAt === record.startedAt
                && known.record.address === record.address && known.record.port === record.port
                && known.record.availabilityZone === record.availabilityZone;
            if (known !== undefined && !isSameStart) {
                known.connections.close();
            }
            const server = known !== undefined && isSameStart ? known : create(record);
            server.record = record;
            server.coldUntil = clock.monotonicMilliseconds() + record.coldMilliseconds;
            if (isUsable(server)) {
                servers.set(record.id, server);
                ended.delete(record.id);
            }
            else {
                server.connections.close();
                servers.delete(record.id);
                ended.set(record.id, record);
            }
            index();
            return true;
        },
        listUsable: service => byService.get(service) ?? [],
        markReplaced: server => {
            replaced.add(startKey(server.record));
            server.connections.close();
            index();
        },
        get generation() {
            return generation;
        },
        listAll: () => [...servers.values()],
        close: () => servers.forEach(server => server.connections.close()),
    };
}
