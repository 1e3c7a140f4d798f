/**
 * Registry of backend servers on one control instance. It holds their announcements to this and to other control
 * instances.
 */
import type { Clock } from "@hyssopfront/coordination";
import { isDeepStrictEqual } from "node:util";
import type { SlowStartQuotas } from "../slow-start/slow-start-quotas.js";
import { type BackendRecord, BackendServerState, FINAL_SEQUENCE, isNewerRecord } from "./backend-record.js";

/** Consecutive heartbeats that may be missed before a backend server counts as lost. They may arrive seconds late. */
const MISSED_HEARTBEATS = 3;
/** Allowance for the network delay of a heartbeat, in milliseconds. */
const HEARTBEAT_DELAY_ALLOWANCE_MS = 1_000;
/** Records of departed and lost backend servers are kept this long, so that a delayed heartbeat cannot restore them. */
const ENDED_RECORD_RETENTION_MS = 120_000;
/** A slow start that ends this much later than the held one counts as a change. Smaller differences are jitter. */
const COLD_TIME_TOLERANCE_MS = 300;

type HeldRecord = { record: BackendRecord; coldUntil: number; receivedAt: number };

/** Registry of one control instance. */
export type Registry = {
    /**
     * Merges a record from a backend server or from another control instance.
     *
     * @returns True when the record must be published to entries, false for a heartbeat without changes.
     */
    merge(record: BackendRecord): boolean;
    /** Returns the slow-start quotas of a backend server, or an empty object when it is unknown. */
    findSlowStartQuotas(id: string): SlowStartQuotas;
    /**
     * Creates the record of a departure, which is final for one start of the backend server.
     *
     * @param id Identifier of the backend server.
     * @param startedAt Start that the departure belongs to. Without it, the departure belongs to the known start. When
     * the backend server is unknown here, it covers any start up to now, because other instances may know it.
     * @returns The record, or `undefined` when the known start is later than `startedAt`.
     */
    createDepartureRecord(id: string, startedAt: number | undefined): BackendRecord | undefined;
    /** Returns all records with the remaining time of their slow start. */
    records(): readonly BackendRecord[];
    /**
     * Marks backend servers whose heartbeats have timed out as lost, and removes records past their retention.
     *
     * @returns Records of the backend servers that this call has marked as lost.
     */
    expire(): readonly BackendRecord[];
};

const hasEnded = ({ state }: BackendRecord) => state === BackendServerState.Left || state === BackendServerState.Lost;

/** Creates the departure record of a backend server that only other instances may know. */
const createUnknownServerRecord = (id: string, startedAt: number): BackendRecord => ({
    id,
    service: "",
    address: "",
    port: 0,
    availabilityZone: "",
    slots: 0,
    state: BackendServerState.Left,
    coldMilliseconds: 0,
    startedAt,
    sequence: FINAL_SEQUENCE,
    coldPortions: {},
});

/**
 * Creates an empty registry.
 *
 * @param options.onChange Called for each changed record, with a function that reads its current state. The function
 * returns `undefined` once the record is removed.
 */
export function createRegistry(options: {
    readonly clock: Clock;
    readonly heartbeatMilliseconds: number;
    readonly onChange: (id: string, read: () => BackendRecord | undefined) => void;
}): Registry {
    const { clock, onChange } = options;
    const timeoutMilliseconds = options.heartbeatMilliseconds * MISSED_HEARTBEATS + HEARTBEAT_DELAY_ALLOWANCE_MS;
    const heldRecords = new Map<string, HeldRecord>();

    const readRecord = ({ record, coldUntil }: HeldRecord): BackendRecord => ({
        ...record,
        coldMilliseconds: Math.max(0, Math.round(coldUntil - clock.monotonicMilliseconds())),
    });
    const publish = (id: string) =>
        onChange(id, () => {
            const heldRecord = heldRecords.get(id);
            return heldRecord === undefined ? undefined : readRecord(heldRecord);
        });

    const isChange = (before: HeldRecord | undefined, record: BackendRecord, coldUntil: number, now: number) => {
        if (before === undefined) {
            return true;
        }
        const previous = before.record;
        const isColdTimeExtended = coldUntil > now &&
            coldUntil - Math.max(before.coldUntil, now) > COLD_TIME_TOLERANCE_MS;
        return isColdTimeExtended || !isDeepStrictEqual(previous.coldPortions, record.coldPortions) ||
            (["startedAt", "state", "service", "address", "port", "availabilityZone", "slots"] as const)
                .some(field => previous[field] !== record[field]);
    };

    const merge = (record: BackendRecord) => {
        const before = heldRecords.get(record.id);
        if (!isNewerRecord(record, before?.record)) {
            return false;
        }
        const now = clock.monotonicMilliseconds();
        const coldUntil = now + record.coldMilliseconds;
        const changed = isChange(before, record, coldUntil, now);
        heldRecords.set(record.id, { record, coldUntil, receivedAt: now });
        if (changed) {
            publish(record.id);
        }
        return changed;
    };

    return {
        merge,
        findSlowStartQuotas: id => heldRecords.get(id)?.record.coldPortions ?? {},
        createDepartureRecord: (id, startedAt) => {
            const known = heldRecords.get(id)?.record;
            if (known !== undefined && startedAt !== undefined && startedAt < known.startedAt) {
                return undefined;
            }
            return {
                ...known ?? createUnknownServerRecord(id, clock.wallTime().getTime()),
                ...startedAt === undefined ? {} : { startedAt },
                state: BackendServerState.Left,
                sequence: FINAL_SEQUENCE,
            };
        },
        records: () => [...heldRecords.values()].map(readRecord),
        expire: () => {
            const now = clock.monotonicMilliseconds();
            const expired = [...heldRecords.values()].filter(({ record, receivedAt }) =>
                !hasEnded(record) && now - receivedAt > timeoutMilliseconds
            );
            const lost = expired.map(heldRecord => ({ ...readRecord(heldRecord), state: BackendServerState.Lost }));
            lost.forEach(merge);
            [...heldRecords].filter(([, heldRecord]) =>
                hasEnded(heldRecord.record) && now - heldRecord.receivedAt > ENDED_RECORD_RETENTION_MS
            )
                .forEach(([id]) => {
                    heldRecords.delete(id);
                    publish(id);
                });
            return lost;
        },
    };
}
