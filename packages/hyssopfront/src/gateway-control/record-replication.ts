/**
 * Replicates the records of backend servers between control instances.
 */
import type { Clock } from "@hyssopfront/coordination";
import { errorFields, EventLevel, type EventLog } from "../event-log/event-log.js";
import type { MemberPeers } from "../formation/member-peers.js";
import type { BackendRecord } from "../registry/backend-record.js";
import type { Registry } from "../registry/registry.js";
import { ControlRequestKind, parseRecords } from "./messages.js";

/** Interval of batches of heartbeats, in milliseconds. Far below the timeout of a backend server. */
const BATCH_INTERVAL_MS = 1_000;
/** Deadline of a call to another control instance, in milliseconds. The sender of an announcement waits 1 s. */
const REPLICATION_DEADLINE_MS = 800;

/** Replication of records from one control instance to the others. */
export type RecordReplication = {
    /** Replicates an unchanged record with the next batch. */
    enqueue(record: BackendRecord): void;
    /**
     * Replicates a changed record immediately.
     *
     * @returns Resolves with true once a majority of the control instances holds the record, otherwise with false.
     */
    replicate(record: BackendRecord): Promise<boolean>;
    /** Merges records that another instance has sent. Invalid ones are logged and left out. */
    mergeRecords(payload: unknown): void;
    /** Merges all records of an instance into the registry, after the connection to it was established. */
    pullRecords(name: string): Promise<void>;
    /** Sends the batches until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
};

/** Creates the replication without starting it. */
export function createRecordReplication(options: {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly peers: MemberPeers;
    readonly registry: Registry;
    /** Names of the other control instances. */
    readonly others: () => readonly string[];
    /** Returns false while this instance does not know the group that it belongs to. */
    readonly isMember: () => boolean;
}): RecordReplication {
    const { clock, log, peers, registry } = options;
    const batch = new Map<string, BackendRecord>();

    const send = (name: string, records: readonly BackendRecord[]) =>
        peers.call(name, ControlRequestKind.ReplicateRecords, { records }, REPLICATION_DEADLINE_MS);

    const replicateToMajority = (record: BackendRecord) => {
        const others = options.others();
        const needed = Math.floor((others.length + 1) / 2);
        if (!options.isMember()) {
            log(EventLevel.Warning, "record not replicated, as this instance belongs to no group", {
                server: record.id,
            });
            return Promise.resolve(false);
        }
        if (needed === 0) {
            return Promise.resolve(true);
        }
        return new Promise<boolean>(resolve => {
            let acknowledged = 0;
            let outstanding = others.length;
            const countReply = (isAcknowledged: boolean) => {
                acknowledged += isAcknowledged ? 1 : 0;
                outstanding -= 1;
                if (acknowledged >= needed || outstanding === 0) {
                    resolve(acknowledged >= needed);
                }
            };
            others.forEach(name => {
                send(name, [record]).then(() => countReply(true), () => countReply(false));
            });
        });
    };

    const sendBatch = async () => {
        const records = [...batch.values()];
        batch.clear();
        if (records.length > 0) {
            const connected = new Set(peers.connected());
            // An unreachable instance receives the records with the next heartbeat, or when it pulls all records.
            await Promise.all(
                options.others().filter(name => connected.has(name)).map(name =>
                    send(name, records).catch((error: unknown) =>
                        log(EventLevel.Warning, "replicating records failed", { peer: name, ...errorFields(error) })
                    )
                ),
            );
        }
    };

    const mergeRecords = (payload: unknown) => {
        const onInvalid = (error: Error) => log(EventLevel.Error, "replicated record is invalid", errorFields(error));
        parseRecords(payload, onInvalid).forEach(registry.merge);
    };

    return {
        mergeRecords,
        enqueue: record => void batch.set(record.id, record),
        replicate: replicateToMajority,
        pullRecords: async name => {
            const reply = await peers.call(name, ControlRequestKind.PullRecords, {}, REPLICATION_DEADLINE_MS);
            mergeRecords(reply);
        },
        run: async signal => {
            while (!signal.aborted) {
                await clock.sleep(BATCH_INTERVAL_MS, signal).catch(() => undefined);
                await sendBatch();
            }
        },
    };
}
