/**
 * Feed of the changes on a control instance, numbered in the order in which this process has seen them.
 *
 * Entries follow the feeds of all control instances and merge them by the versions in the values, so a feed needs
 * neither a history nor an order across instances.
 */
import type { Clock } from "@hyssopfront/coordination";
import { z } from "zod";

/** Request for the changes after a position. */
export const feedReadRequestSchema = z.object({
    /** Feed that `afterPosition` refers to. If the identifier differs, the feed is read from the start. */
    feedId: z.string(),
    afterPosition: z.number().int().nonnegative(),
    waitMilliseconds: z.number().nonnegative().max(10_000),
});

export type FeedReadRequest = z.infer<typeof feedReadRequestSchema>;

/** Changes up to a position. */
export const feedBatchSchema = z.object({
    feedId: z.string(),
    position: z.number().int(),
    /** True once the instance has all changes that were acknowledged before it started. */
    isComplete: z.boolean(),
    values: z.array(z.object({ key: z.string(), value: z.unknown() })),
});

export type FeedBatch = z.infer<typeof feedBatchSchema>;

/** Feed of one process. */
export type ChangeFeed = {
    /**
     * Sets the value of a key. The value is read for each batch, since it may depend on the time. Keys whose value is
     * `undefined` are omitted.
     */
    set(key: string, read: () => unknown): void;
    /** Marks the feed as containing everything that was acknowledged before the start of this process. */
    markComplete(): void;
    readonly isComplete: boolean;
    /** Resolves with the changes after the position as soon as there are any, or after the requested wait. */
    read(request: FeedReadRequest, signal: AbortSignal): Promise<FeedBatch>;
};

/** Creates an empty feed. `feedId` must be unique to this start of the process. */
export function createChangeFeed(options: { readonly clock: Clock; readonly feedId: string }): ChangeFeed {
    const { clock, feedId } = options;
    const values = new Map<string, { readonly position: number; readonly read: () => unknown }>();
    const waitingReaders = new Set<() => void>();
    let position = 0;
    let isComplete = false;

    const wakeReaders = () => {
        const readers = [...waitingReaders];
        waitingReaders.clear();
        readers.forEach(reader => reader());
    };

    const waitForChange = (milliseconds: number, signal: AbortSignal) =>
        new Promise<void>(resolve => {
            const wakeUp = new AbortController();
            const end = () => {
                waitingReaders.delete(end);
                signal.removeEventListener("abort", end);
                wakeUp.abort(FEED_CHANGED);
                resolve();
            };
            waitingReaders.add(end);
            signal.addEventListener("abort", end, { once: true });
            clock.sleep(milliseconds, wakeUp.signal).then(end, () => undefined);
        });

    /** Keys that are set again move to the end of the map, so the newest values come last. */
    const listChangesAfter = (after: number) =>
        [...values].filter(([, change]) => change.position > after)
            .map(([key, { read }]) => ({ key, value: read() }))
            .filter(({ value }) => value !== undefined);

    return {
        set: (key, read) => {
            position += 1;
            values.delete(key);
            values.set(key, { position, read });
            wakeReaders();
        },
        markComplete: () => {
            if (!isComplete) {
                isComplete = true;
                position += 1;
                wakeReaders();
            }
        },
        get isComplete() {
            return isComplete;
        },
        read: async (request, signal) => {
            const after = request.feedId === feedId ? request.afterPosition : 0;
            if (after >= position && request.waitMilliseconds > 0) {
                await waitForChange(request.waitMilliseconds, signal);
            }
            return { feedId, position, isComplete, values: listChangesAfter(after) };
        },
    };
}

const FEED_CHANGED = new Error("The feed has changed.");
