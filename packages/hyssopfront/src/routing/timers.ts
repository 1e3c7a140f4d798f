/**
 * Many short timers over one clock, most of which are cancelled before they are due.
 */
import type { Clock } from "@hyssopfront/coordination";

export type Timers = {
    /**
     * Calls back once at or soon after the given time.
     *
     * @param dueAt Monotonic milliseconds.
     * @returns A function that cancels the call.
     */
    start(dueAt: number, callback: () => void): () => void;
    /** Ends the wait on the clock, which would keep the process alive; no timer calls back any more. */
    close(): void;
};

type Timer = { readonly dueAt: number; callback: (() => void) | undefined };

/**
 * Creates timers that share waits on the clock: a wait of its own for each request, ended by an abort signal, took a
 * third of the processor time of a request.
 */
export function createTimers(clock: Clock): Timers {
    /** Binary heap by `dueAt`; cancelled timers stay in it until they are due. */
    const heap: Timer[] = [];
    const closing = new AbortController();
    /** Times of the waits under way, the earliest last; a later wait goes on when an earlier one is added. */
    const wakeTimes: number[] = [];

    const swap = (one: number, other: number) => {
        [heap[one], heap[other]] = [heap[other] as Timer, heap[one] as Timer];
    };
    const dueAtOf = (index: number) => heap[index]?.dueAt ?? Infinity;

    const push = (timer: Timer) => {
        heap.push(timer);
        for (let index = heap.length - 1; index > 0;) {
            const parent = (index - 1) >> 1;
            if (dueAtOf(parent) <= dueAtOf(index)) {
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
            const smaller = dueAtOf(left + 1) < dueAtOf(left) ? left + 1 : left;
            if (dueAtOf(index) <= dueAtOf(smaller)) {
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
        clock.sleep(Math.max(0, dueAt - clock.monotonicMilliseconds()), closing.signal)
            // Answers that came while the process was busy are read first, so that no timer acts on a wait of its own.
            .then(() => setImmediate(() => onWake(dueAt)), () => undefined);
    };
    const onWake = (wakeTime: number) => {
        wakeTimes.splice(wakeTimes.indexOf(wakeTime), 1);
        const now = clock.monotonicMilliseconds();
        while (dueAtOf(0) <= now) {
            pop().callback?.();
        }
        if (heap.length > 0) {
            scheduleWake(dueAtOf(0));
        }
    };

    return {
        start: (dueAt, callback) => {
            const timer: Timer = { dueAt, callback };
            push(timer);
            scheduleWake(dueAt);
            return () => {
                // Frees the request that the callback refers to.
                timer.callback = undefined;
            };
        },
        close: () => closing.abort(),
    };
}
