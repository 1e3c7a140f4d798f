/**
 * Registry of backend servers on one control instance: what they announced here or on another control instance.
 */
import type { Clock } from "@hyssopfront/coordination";
import { isDeepStrictEqual } from "node:util";
import type { SlowStartQuotas } from "../slow-start/slow-start-quotas.js";
import { type BackendRecord, BackendServerState, FINAL_SEQUENCE, isNewerRecord } from "./backend-record.js";

/** Heartbeats that may be missed in a row before a backend server counts as lost; they may arrive seconds late. */
const MISSED_HEARTBEATS = 3;
/** Allowance for the delay of a heartbeat on its way, in milliseconds. */
const HEARTBEAT_DELAY_ALLOWANCE_MS = 1_000;
/** A record that ended is kept this long, so that a delayed heartbeat cannot bring the backend server back. */
const ENDED_RECORD_RETENTION_MS = 120_000;
/** A cold time that ends this much later than the one held counts as a change; smaller differences are jitter. */
const COLD_TIME_TOLERANCE_MS = 300;

type HeldRecord = { record: BackendRecord; coldUntil: number; heardAt: number };

export type Registry = {
    /**
     * Takes in a record from a backend server or from another control instance.
     *
     * @returns True when entries must learn of it: anything but a mere sign of life.
     */
    merge(record: BackendRecord): boolean;
    /** Division of the requests to a backend server while it is cold; empty when it is not known. */
    findSlowStartQuotas(id: string): SlowStartQuotas;
    /**
     * Record of a departure: the final one of the start that it names, else of the start that is known, else of any
     * start up to now, since the backend server may be known elsewhere. Undefined for an earlier start than the known.
     */
    createDepartureRecord(id: string, startedAt: number | undefined): BackendRecord | undefined;
    /** Records with the cold time that is left now. */
    records(): readonly BackendRecord[];
    /**
     * Marks the backend servers that fell silent as lost and forgets those that ended long ago.
     *
     * @returns Records of the backend servers that were lost in this call.
     */
    expire(): readonly BackendRecord[];
};

const hasEnded = ({ state }: BackendRecord) => state === BackendServerState.Left || state === BackendServerState.Lost;

/** Stands for a backend server that was heard of elsewhere. */
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
 * @param options.onChange Called with a function that gives the current form of a changed record.
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
        heldRecords.set(record.id, { record, coldUntil, heardAt: now });
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
            const expired = [...heldRecords.values()].filter(({ record, heardAt }) =>
                !hasEnded(record) && now - heardAt > timeoutMilliseconds
            );
            const lost = expired.map(entry => ({ ...readRecord(entry), state: BackendServerState.Lost }));
            lost.forEach(merge);
            [...heldRecords].filter(([, entry]) =>
                hasEnded(entry.record) && now - entry.heardAt > ENDED_RECORD_RETENTION_MS
            )
                .forEach(([id]) => {
                    heldRecords.delete(id);
                    publish(id);
                });
            return lost;
        },
    };
}
