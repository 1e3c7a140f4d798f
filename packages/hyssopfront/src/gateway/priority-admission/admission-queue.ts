/**
 * Bounded queue of the requests to one service that wait for capacity: by priority, then round robin between accounts.
 */
import type { Clock } from "@hyssopfront/coordination";
import { createFairQueue, type QueuedRequest, QueueError } from "../../admission/fair-queue.js";
import { RequestClass } from "../../resources/resource.js";

/**
 * Maximum number of waiting requests of one entry to one service. Each may hold a body of 1 MiB, and an entry with few
 * completions cannot serve more of them before their waits end.
 */
const MAXIMUM_LENGTH = 64;
/** A fair queue reserves half of its length for each request class; all requests here are of one class. */
const FAIR_QUEUE_LENGTH = 2 * MAXIMUM_LENGTH;

/** A request that waits until an attempt to get capacity succeeds. */
export type WaitingRequest<T> = {
    /** 0 is the most urgent. */
    readonly level: number;
    readonly account: string;
    /** End of the wait, in monotonic milliseconds. */
    readonly waitsUntil: number;
    /** Returns undefined while there is no capacity for the request. */
    readonly tryAcquire: () => T | undefined;
};

/** Why a request left the queue without capacity. */
export enum WaitEnd {
    TimedOut = "timed-out",
    /** A more urgent request took its place. */
    Displaced = "displaced",
    /** The queue is full of requests that are at least as urgent. */
    Full = "full",
}

/** Queue of one service. */
export type AdmissionQueue<T> = {
    /** Waits until `tryAcquire` succeeds or the wait ends. */
    wait(request: WaitingRequest<T>): Promise<T | WaitEnd>;
    /** Attempts to get capacity for the waiting requests, in order. Called when capacity may have become available. */
    dispatch(): void;
    /** Returns true if a request waits that is at least as urgent. */
    isWaiting(level: number): boolean;
    readonly length: number;
};

/** Creates an empty queue for priorities from 0 to `levels` - 1. */
export function createAdmissionQueue<T>(clock: Clock, levels: number): AdmissionQueue<T> {
    const queues = Array.from(
        { length: levels },
        () =>
            createFairQueue({
                clock,
                maximumAttempts: MAXIMUM_LENGTH,
                maximumQueueLength: MAXIMUM_LENGTH,
                maximumTotalLength: FAIR_QUEUE_LENGTH,
            }),
    );
    const cancellations = queues.map(() => new Set<AbortController>());
    const attempts = new Map<QueuedRequest, () => boolean>();
    const countWaiting = () => queues.reduce((sum, queue) => sum + queue.length, 0);

    /** Makes room for a request by removing the newest of the least urgent ones; false if none is less urgent. */
    const displaceFor = (level: number) => {
        const leastUrgent = queues.findLastIndex(queue => queue.length > 0);
        const newest = [...cancellations[leastUrgent] ?? []].at(-1);
        if (leastUrgent <= level || newest === undefined) {
            return false;
        }
        cancellations[leastUrgent]?.delete(newest);
        newest.abort(WaitEnd.Displaced);
        return true;
    };

    const wait = async ({ level, account, waitsUntil, tryAcquire }: WaitingRequest<T>): Promise<T | WaitEnd> => {
        const queue = queues[level];
        const cancellationsOfLevel = cancellations[level];
        if (queue === undefined || cancellationsOfLevel === undefined) {
            throw new RangeError(`There is no queue for priority ${level}.`);
        }
        if (countWaiting() >= MAXIMUM_LENGTH && !displaceFor(level)) {
            return WaitEnd.Full;
        }
        const cancellation = new AbortController();
        const request: QueuedRequest = {
            tenant: account,
            requestClass: RequestClass.Idempotent,
            cost: 1,
            deadlineAt: waitsUntil,
            signal: cancellation.signal,
        };
        let acquired: T | undefined;
        attempts.set(request, () => {
            acquired = tryAcquire();
            if (acquired !== undefined) {
                cancellationsOfLevel.delete(cancellation);
            }
            return acquired !== undefined;
        });
        cancellationsOfLevel.add(cancellation);
        try {
            await queue.wait(request);
            return acquired as T;
        }
        catch (error) {
            if (error instanceof QueueError) {
                return WaitEnd.TimedOut;
            }
            if (error === WaitEnd.Displaced) {
                return WaitEnd.Displaced;
            }
            throw error;
        }
        finally {
            attempts.delete(request);
            cancellationsOfLevel.delete(cancellation);
        }
    };

    return {
        wait,
        dispatch: () => queues.forEach(queue => queue.dispatch(request => attempts.get(request)?.() ?? false)),
        isWaiting: level => queues.some((queue, index) => index <= level && queue.length > 0),
        get length() {
            return countWaiting();
        },
    };
}
