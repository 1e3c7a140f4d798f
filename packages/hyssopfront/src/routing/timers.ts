/**
 * Timers that are efficient when most of them are cancelled before they are due.
 */
import type { Clock } from "@hyssopfront/coordination";

/** Longest wait on the clock, in milliseconds: timers of Node.js fire at once beyond 24.8 days. */
const MAXIMUM_SLEEP_MS = 86_400_000;

/** One-shot timers on a shared clock. */
export type Timers = {
    /**
     * Starts a timer that calls back once, at or soon after the given time.
     *
     * @param dueAt Monotonic milliseconds.
     * @returns A function that cancels the timer.
     */
    start(dueAt: number, callback: () => void): () => void;
    /** Cancels all timers, and ends the waits on the clock, which would keep the process alive. */
    close(): void;
};

type Timer = { readonly dueAt: number; callback: (() => void) | undefined };

/**
 * Creates timers that share waits on the clock. A separate wait for each request, ended by an abort signal, took a
 * third of the CPU time of a request.
 */
export function createTimers(clock: Clock): Timers {
    /** Binary heap ordered by `dueAt`. Cancelled timers stay in it until they are due. */
    const heap: Timer[] = [];
    const closing = new AbortController();
    /** End times of the current waits, the earliest last. A later wait continues when an earlier one is added. */
    const wakeTimes: number[] = [];

    const swap = (first: number, second: number) => {
        [heap[first], heap[second]] = [heap[second] as Timer, heap[first] as Timer];
    };
    const getDueAt = (index: number) => heap[index]?.dueAt ?? Infinity;

    const push = (timer: Timer) => {
        heap.push(timer);
        for (let index = heap.length - 1; index > 0;) {
            const parent = (index - 1) >> 1;
            if (getDueAt(parent) <= getDueAt(index)) {
                return;
            }
            swap(parent, index);
            index = parent;
        }
    };
    const pop = (): Timer => {
        swap(0, heap.length - 1);
        const first = heap.pop() as Timer;
        for (let index = 0;;) {
            const left = 2 * index + 1;
            const smaller = getDueAt(left + 1) < getDueAt(left) ? left + 1 : left;
            if (getDueAt(index) <= getDueAt(smaller)) {
                return first;
            }
            swap(index, smaller);
            index = smaller;
        }
    };

    const scheduleWake = (dueAt: number) => {
        if (dueAt >= (wakeTimes.at(-1) ?? Infinity)) {
            return;
        }
        wakeTimes.push(dueAt);
        clock.sleep(Math.min(MAXIMUM_SLEEP_MS, Math.max(0, dueAt - clock.monotonicMilliseconds())), closing.signal)
            // Responses that arrived while the process was busy are read first. Otherwise a delay of the process itself
            // would count as a slow response.
            .then(() => setImmediate(() => onWake(dueAt)), () => undefined);
    };
    const onWake = (wakeTime: number) => {
        wakeTimes.splice(wakeTimes.indexOf(wakeTime), 1);
        const now = clock.monotonicMilliseconds();
        while (getDueAt(0) <= now) {
            pop().callback?.();
        }
        if (heap.length > 0) {
            scheduleWake(getDueAt(0));
        }
    };

    return {
        start: (dueAt, callback) => {
            const timer: Timer = { dueAt, callback };
            push(timer);
            scheduleWake(dueAt);
            return () => {
                // Lets the request that the callback refers to be garbage collected.
                timer.callback = undefined;
            };
        },
        close: () => closing.abort(),
    };
}
