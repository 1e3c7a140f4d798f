/**
 * Feed of the changes on a control instance, numbered in the order in which this process has seen them.
 *
 * Entries follow the feeds of all control instances and merge them by the versions in the values, so a feed needs
 * neither a history nor an order across instances. An entry reads the values from one instance and only the versions
 * from the others, from which it fetches what the first one has not delivered.
 */
import { type Clock, createDeadlineTimer } from "@hyssopfront/coordination";
import { encode } from "cbor-x";
import { z } from "zod";

/**
 * Size of the values of one reply before compression, in bytes, above which the rest is left for the next read. A reply
 * must pass the slowest link of an entry in far less time than a connection may be silent, also if it does not compress.
 */
const MAXIMUM_REPLY_BYTES = 128 * 1024;
/** Time for which a reply is sent to further readers, in milliseconds, although its values depend on the time. */
const REPLY_LIFETIME_MS = 100;
/** Least time between two releases of changes to waiting readers, in milliseconds. */
const RELEASE_INTERVAL_MS = 50;
/**
 * The same after `FREQUENT_RELEASES` releases in a second: each costs a read of every reader. A change must be
 * in force at the entries within 2,000 ms.
 */
const FREQUENT_RELEASE_INTERVAL_MS = 200;
const FREQUENT_RELEASES = 5;
const FREQUENCY_WINDOW_MS = 1_000;
/** Replaced changes that are kept in the order of changes before it is compacted, as a multiple of the current ones. */
const COMPACTION_RATIO = 2;

/** Request for the changes after a position. */
export const feedReadRequestSchema = z.object({
    /** Feed that `afterPosition` refers to. If the identifier differs, the feed is read from the start. */
    feedId: z.string(),
    afterPosition: z.number().int().nonnegative(),
    waitMilliseconds: z.number().nonnegative().max(10_000),
    /** True to get only the versions of the values that have one. */
    versionsOnly: z.boolean().optional(),
});

export type FeedReadRequest = z.infer<typeof feedReadRequestSchema>;

/** Request for the current values of keys. */
export const feedValuesRequestSchema = z.object({ keys: z.array(z.string()) });

/** Content of a key: its encoded value, or only its version. */
export const feedValueSchema = z.object({
    key: z.string(),
    value: z.instanceof<typeof Uint8Array<ArrayBufferLike>>(Uint8Array).optional(),
    version: z.unknown().optional(),
});

export type FeedValue = z.infer<typeof feedValueSchema>;

/** Changes up to a position. */
export type FeedBatch = {
    readonly feedId: string;
    readonly position: number;
    /** True if the reader now has all changes that were acknowledged before the instance started. */
    readonly isComplete: boolean;
    readonly values: readonly FeedValue[];
};

/** Values of the first `keyCount` requested keys. Keys without a value are omitted. */
export type FeedValues = { readonly keyCount: number; readonly values: readonly FeedValue[] };

/** Feed of one process. */
export type ChangeFeed = {
    /**
     * Sets the value of a key. The value is read when it is sent, since it may depend on the time. Keys whose value is
     * `undefined` are omitted.
     *
     * @param version Version of the value at this change. A reader that holds this version or a newer one does not need
     * the value. Without it, the value is always sent.
     */
    set(key: string, read: () => unknown, version?: unknown): void;
    /** Marks the feed as containing everything that was acknowledged before the start of this process. */
    markComplete(): void;
    readonly isComplete: boolean;
    /**
     * Resolves with the changes after the position as soon as they are released, at once or 50 ms after the previous
     * release (200 ms while values change all the time), or after the requested wait. A read without a wait gets all
     * changes. A long reply is limited; the next read continues at its position.
     */
    read(request: FeedReadRequest, signal: AbortSignal): Promise<FeedBatch>;
    /** Returns the current values of the keys, as many as fit into one reply. */
    readValues(keys: readonly string[]): FeedValues;
};

type Change = { readonly position: number; readonly read: () => unknown; readonly version: unknown };

/** Creates an empty feed. `feedId` must be unique to this start of the process. */
export function createChangeFeed(options: { readonly clock: Clock; readonly feedId: string }): ChangeFeed {
    const { clock, feedId } = options;
    const changes = new Map<string, Change>();
    /** Keys in the order of their changes, with changes that were replaced since the last compaction. */
    let order: { readonly key: string; readonly position: number }[] = [];
    const waitingReaders = new Set<() => void>();
    const waitDeadlines = createDeadlineTimer(clock);
    let position = 0;
    /** Position up to which changes have been released to waiting readers. */
    let releasedPosition = 0;
    /** Times of the latest releases. */
    let releaseTimes: readonly number[] = [];
    let isReleaseScheduled = false;
    let isComplete = false;
    /** Readers wait at the same position for the same change, so most of them get the same batch. */
    let recentBatches = new Map<string, { readonly batch: FeedBatch; readonly expiresAt: number }>();

    const release = () => {
        releasedPosition = position;
        releaseTimes = [...releaseTimes, clock.monotonicMilliseconds()].slice(-FREQUENT_RELEASES);
        recentBatches = new Map();
        const readers = [...waitingReaders];
        waitingReaders.clear();
        readers.forEach(reader => reader());
    };
    /** Releases the changes of the current task together, and those that follow within the interval with the next. */
    const scheduleRelease = () => {
        if (!isReleaseScheduled) {
            isReleaseScheduled = true;
            const now = clock.monotonicMilliseconds();
            const isFrequent = releaseTimes.length === FREQUENT_RELEASES
                && now - (releaseTimes[0] ?? now) < FREQUENCY_WINDOW_MS;
            const interval = isFrequent ? FREQUENT_RELEASE_INTERVAL_MS : RELEASE_INTERVAL_MS;
            const wait = (releaseTimes.at(-1) ?? -Infinity) + interval - now;
            void clock.sleep(Math.max(0, wait)).then(() => {
                isReleaseScheduled = false;
                release();
            });
        }
    };

    const waitForRelease = (milliseconds: number, signal: AbortSignal) =>
        new Promise<void>(resolve => {
            const end = () => {
                waitingReaders.delete(end);
                signal.removeEventListener("abort", end);
                cancelDeadline();
                resolve();
            };
            const cancelDeadline = waitDeadlines.add(milliseconds, end);
            waitingReaders.add(end);
            signal.addEventListener("abort", end, { once: true });
        });

    const isCurrent = (change: { readonly key: string; readonly position: number }) =>
        changes.get(change.key)?.position === change.position;

    const findFirstAfter = (after: number) => {
        let low = 0;
        let high = order.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if ((order[middle]?.position ?? Infinity) <= after) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    };

    const toFeedValue = (key: string, versionsOnly: boolean): FeedValue | undefined => {
        const change = changes.get(key);
        if (change === undefined) {
            return undefined;
        }
        if (versionsOnly && change.version !== undefined) {
            return { key, version: change.version };
        }
        const value = change.read();
        return value === undefined ? undefined : { key, value: encode(value) };
    };

    /** Collects the values of keys until they fill a reply, and returns how many keys were read. */
    const collect = (keys: Iterable<string>, versionsOnly: boolean): FeedValues => {
        const values: FeedValue[] = [];
        let bytes = 0;
        let keyCount = 0;
        for (const key of keys) {
            if (bytes >= MAXIMUM_REPLY_BYTES) {
                break;
            }
            keyCount += 1;
            const feedValue = toFeedValue(key, versionsOnly);
            if (feedValue !== undefined) {
                values.push(feedValue);
                bytes += key.length + (feedValue.value?.length ?? 0);
            }
        }
        return { keyCount, values };
    };

    /**
     * Lists the changes after a position, with those that are not released yet: a change that replaces a released one
     * must not delay it. The next read starts at the end position nevertheless, and gets the latter again.
     */
    const listChangesAfter = (after: number, endPosition: number, versionsOnly: boolean): FeedBatch => {
        const pending = order.slice(findFirstAfter(after)).filter(isCurrent);
        const { keyCount, values } = collect(pending.map(({ key }) => key), versionsOnly);
        const hasMore = keyCount < pending.length;
        return {
            feedId,
            position: hasMore ? pending[keyCount - 1]?.position ?? after : endPosition,
            isComplete: isComplete && !hasMore,
            values,
        };
    };

    const getBatch = (after: number, endPosition: number, versionsOnly: boolean): FeedBatch => {
        const key = `${after} ${endPosition} ${versionsOnly}`;
        const now = clock.monotonicMilliseconds();
        const recent = recentBatches.get(key);
        if (recent !== undefined && now < recent.expiresAt) {
            return recent.batch;
        }
        const batch = listChangesAfter(after, endPosition, versionsOnly);
        recentBatches.set(key, { batch, expiresAt: now + REPLY_LIFETIME_MS });
        return batch;
    };

    return {
        set: (key, read, version) => {
            position += 1;
            changes.set(key, { position, read, version });
            order.push({ key, position });
            if (order.length > changes.size * COMPACTION_RATIO) {
                order = order.filter(isCurrent);
            }
            scheduleRelease();
        },
        markComplete: () => {
            if (!isComplete) {
                isComplete = true;
                position += 1;
                release();
            }
        },
        get isComplete() {
            return isComplete;
        },
        read: async (request, signal) => {
            const after = request.feedId === feedId ? request.afterPosition : 0;
            if (after >= releasedPosition && request.waitMilliseconds > 0) {
                await waitForRelease(request.waitMilliseconds, signal);
            }
            const endPosition = request.waitMilliseconds > 0 ? Math.max(after, releasedPosition) : position;
            return getBatch(after, endPosition, request.versionsOnly ?? false);
        },
        readValues: keys => collect(keys, false),
    };
}
