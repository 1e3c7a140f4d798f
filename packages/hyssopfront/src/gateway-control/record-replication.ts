/**
 * Passes the records of backend servers on between control instances.
 */
import type { Clock } from "@hyssopfront/coordination";
import { errorFields, EventLevel, type EventLog } from "../event-log/event-log.js";
import type { MemberPeers } from "../formation/member-peers.js";
import type { BackendRecord } from "../registry/backend-record.js";
import type { Registry } from "../registry/registry.js";
import { ControlRequestKind, recordsSchema } from "./messages.js";

/** Mere signs of life are passed on together at this interval, in milliseconds; far below the silence that is noticed. */
const BATCH_INTERVAL_MS = 1_000;
/** Longest wait for another control instance, in milliseconds; a caller waits a second for its own answer. */
const SHARE_DEADLINE_MS = 800;

export type RecordReplication = {
    /** Passes a sign of life on with the next batch. */
    enqueue(record: BackendRecord): void;
    /**
     * Passes a change on at once.
     *
     * @returns Resolves with true once a majority of the control instances holds it, else with false.
     */
    replicate(record: BackendRecord): Promise<boolean>;
    /** Takes all records of an instance that was just reached. */
    pullRecords(name: string): Promise<void>;
    run(signal: AbortSignal): Promise<void>;
};

export function createRecordReplication(options: {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly peers: MemberPeers;
    readonly registry: Registry;
    /** Names of the other control instances. */
    readonly others: () => readonly string[];
}): RecordReplication {
    const { clock, log, peers, registry } = options;
    const batch = new Map<string, BackendRecord>();

    const send = (name: string, records: readonly BackendRecord[]) =>
        peers.call(name, ControlRequestKind.ShareRecords, { records }, SHARE_DEADLINE_MS);

    const replicateToMajority = (record: BackendRecord) => {
        const others = options.others();
        const needed = Math.floor((others.length + 1) / 2);
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
            // What an unreachable instance misses, it hears with the next heartbeat or when it pulls all records.
            await Promise.all(
                options.others().filter(name => connected.has(name)).map(name =>
                    send(name, records).catch((error: unknown) =>
                        log(EventLevel.Warning, "records not shared", { peer: name, ...errorFields(error) })
                    )
                ),
            );
        }
    };

    return {
        enqueue: record => void batch.set(record.id, record),
        replicate: replicateToMajority,
        pullRecords: async name => {
            const reply = await peers.call(name, ControlRequestKind.PullRecords, {}, SHARE_DEADLINE_MS);
            recordsSchema.parse(reply).records.forEach(registry.merge);
        },
        run: async signal => {
            while (!signal.aborted) {
                await clock.sleep(BATCH_INTERVAL_MS, signal).catch(() => undefined);
                await sendBatch();
            }
        },
    };
}
