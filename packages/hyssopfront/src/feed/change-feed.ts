/**
 * Changes of a control instance, numbered in the order in which this process saw them.
 *
 * Entries follow the feeds of all control instances and merge what they say by the versions in the values, so a feed
 * needs no history and no order across instances.
 */
import type { Clock } from "@hyssopfront/coordination";
import { z } from "zod";

export const feedReadRequestSchema = z.object({
    /** Feed that the reader has followed so far; another one is read from the start. */
    feedId: z.string(),
    afterPosition: z.number().int().nonnegative(),
    waitMilliseconds: z.number().nonnegative().max(10_000),
});

export type FeedReadRequest = z.infer<typeof feedReadRequestSchema>;

export const feedBatchSchema = z.object({
    feedId: z.string(),
    position: z.number().int(),
    /** False while the instance may not know all that was acknowledged before it started. */
    isComplete: z.boolean(),
    values: z.array(z.object({ key: z.string(), value: z.unknown() })),
});

export type FeedBatch = z.infer<typeof feedBatchSchema>;

export type ChangeFeed = {
    /** Sets a key; its value is read when a batch is made, since it may depend on the time. Undefined is left out. */
    set(key: string, read: () => unknown): void;
    /** Tells readers that everything acknowledged before the start of this process is in the feed. */
    markComplete(): void;
    readonly isComplete: boolean;
    /** Resolves with what changed after the position, at the latest after the wait. */
    read(request: FeedReadRequest, signal: AbortSignal): Promise<FeedBatch>;
};

/** Creates an empty feed. `feedId` is unique to this start of the process. */
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

    /** Keys are set again at the end of the map, so the newest values come last. */
    const listChangesAfter = (after: number) =>
        [...values].filter(([, held]) => held.position > after)
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
