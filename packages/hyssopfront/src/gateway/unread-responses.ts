/**
 * Bounds what an entry holds of responses that callers have not read yet, and closes the connections of callers that do
 * not read at all.
 */
import type { Clock, Counters } from "@hyssopfront/coordination";
import type { Socket } from "node:net";
import { EventLevel, type EventLog } from "../event-log/event-log.js";
import type { Timers } from "../routing/timers.js";

/** Limits on responses that callers have not read. */
export type UnreadResponseLimits = {
    /** Bytes of all responses together that the kernel has not taken. */
    readonly maximumBytes: number;
    /** Time without a byte taken by the kernel after which a connection is closed, in milliseconds. */
    readonly stallMilliseconds: number;
};

const DEFAULT_UNREAD_RESPONSE_LIMITS: UnreadResponseLimits = {
    // Half of the memory for bodies, so that callers that read slowly leave the other half to others.
    maximumBytes: 16 * 1024 * 1024,
    // The time for which callers may leave a connection idle.
    stallMilliseconds: 15_000,
};

/** Interval of the search for stalled connections, in milliseconds; short against the time that they may stall. */
const CHECK_INTERVAL_MS = 500;

/** Why a caller was cut off; a label of metrics and a field of the log. */
enum CutOffReason {
    Memory = "memory",
    Stalled = "stalled",
}

/** A connection with bytes that the kernel has not taken. */
type Reader = {
    bytes: number;
    /** Last time that bytes were taken, in monotonic milliseconds. */
    takenAt: number;
    /** Last time that the caller was not what the bytes wait for, in monotonic milliseconds. */
    unstalledAt: number;
    queuedBytes: number;
};

/** Responses of an entry that callers have not read. */
export type UnreadResponses = {
    /**
     * Counts bytes that are handed to a connection. Closes the connections that hold the most for the longest time while
     * all bytes together exceed the limit, possibly this one.
     *
     * @returns A function to call once the kernel has taken them. It need not be called if the connection is closed.
     */
    add(connection: Socket, bytes: number): () => void;
    /** Whether the connection was closed because its caller did not read. */
    wasCutOff(connection: Socket): boolean;
    /** Bytes that are held now. */
    bytes(): number;
};

/** Bytes of the current write that the kernel has not taken. No public property shows the progress of a long write. */
const queuedBytes = (connection: Socket) =>
    (connection as unknown as { readonly _handle?: { readonly writeQueueSize?: number } })._handle?.writeQueueSize ?? 0;

/** Creates the state of an entry, which holds nothing. */
export function createUnreadResponses({ clock, counters, log, timers, limits = {} }: {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly log: EventLog;
    readonly timers: Timers;
    readonly limits?: Partial<UnreadResponseLimits>;
}): UnreadResponses {
    const { maximumBytes, stallMilliseconds } = { ...DEFAULT_UNREAD_RESPONSE_LIMITS, ...limits };
    const readers = new Map<Socket, Reader>();
    const watched = new WeakSet<Socket>();
    const cutOffConnections = new WeakSet<Socket>();
    let totalBytes = 0;
    let isChecking = false;

    const forget = (connection: Socket) => {
        totalBytes -= readers.get(connection)?.bytes ?? 0;
        readers.delete(connection);
    };
    const cutOff = (connection: Socket, reason: CutOffReason) => {
        const { bytes, takenAt } = readers.get(connection) as Reader;
        counters.increment("gateway.callers_cut_off", 1, { reason });
        log(EventLevel.Warning, "caller cut off", {
            reason,
            bytes,
            milliseconds: Math.round(clock.monotonicMilliseconds() - takenAt),
        });
        forget(connection);
        cutOffConnections.add(connection);
        // Otherwise the kernel keeps what it has taken for the caller.
        connection.resetAndDestroy();
    };
    const cutOffLargest = () => {
        const now = clock.monotonicMilliseconds();
        // The time protects callers that are reading a long response.
        const size = ({ bytes, takenAt }: Reader) => bytes * (now - takenAt + 1);
        const [connection] = [...readers].reduce((largest, other) =>
            size(other[1]) > size(largest[1]) ? other : largest
        );
        cutOff(connection, CutOffReason.Memory);
    };
    const startCheck = () => {
        isChecking = true;
        timers.start(clock.monotonicMilliseconds() + CHECK_INTERVAL_MS, check);
    };
    const check = () => {
        const now = clock.monotonicMilliseconds();
        [...readers].forEach(([connection, reader]) => {
            const queued = queuedBytes(connection);
            if (queued !== reader.queuedBytes) {
                reader.queuedBytes = queued;
                reader.takenAt = now;
                reader.unstalledAt = now;
            }
            else if (connection.writableLength === 0) {
                // The response waits for an earlier one, or for more bytes of a backend server.
                reader.unstalledAt = now;
            }
            else if (now - reader.unstalledAt >= stallMilliseconds) {
                cutOff(connection, CutOffReason.Stalled);
            }
        });
        isChecking = false;
        if (readers.size > 0) {
            startCheck();
        }
    };
    const findReader = (connection: Socket) => {
        const known = readers.get(connection);
        if (known !== undefined) {
            return known;
        }
        const now = clock.monotonicMilliseconds();
        const reader: Reader = { bytes: 0, takenAt: now, unstalledAt: now, queuedBytes: 0 };
        readers.set(connection, reader);
        if (!watched.has(connection)) {
            watched.add(connection);
            connection.once("close", () => forget(connection));
        }
        if (!isChecking) {
            startCheck();
        }
        return reader;
    };

    return {
        add: (connection, bytes) => {
            if (connection.destroyed) {
                return () => undefined;
            }
            const reader = findReader(connection);
            reader.bytes += bytes;
            totalBytes += bytes;
            let isTaken = false;
            while (totalBytes > maximumBytes) {
                cutOffLargest();
            }
            return () => {
                if (isTaken || readers.get(connection) !== reader) {
                    return;
                }
                isTaken = true;
                reader.bytes -= bytes;
                totalBytes -= bytes;
                reader.takenAt = clock.monotonicMilliseconds();
                reader.unstalledAt = reader.takenAt;
                if (reader.bytes === 0) {
                    readers.delete(connection);
                }
            };
        },
        wasCutOff: connection => cutOffConnections.has(connection),
        bytes: () => totalBytes,
    };
}
