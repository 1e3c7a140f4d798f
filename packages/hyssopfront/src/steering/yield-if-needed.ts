/**
 * Cooperative yielding to the event loop, so that lookups are served during long computations.
 */
import type { Clock } from "@hyssopfront/coordination";
import type { YieldIfNeeded } from "./block-list.js";

/** Bounds how long lookups wait, except for a single indivisible step, which may add a few milliseconds. */
const MAXIMUM_STEP_MS = 4;

/**
 * Creates a function that yields to the event loop once the caller has run for `MAXIMUM_STEP_MS` without a yield.
 *
 * @param clock Measures how long the caller has run.
 * @returns Function to call between steps. It returns undefined while no yield is needed, and otherwise a promise that
 *     resolves after a turn of the event loop.
 */
export function createYieldIfNeeded(clock: Clock): YieldIfNeeded {
    let startedAt = -Infinity;
    return () => {
        if (clock.monotonicMilliseconds() < startedAt + MAXIMUM_STEP_MS) {
            return undefined;
        }
        return new Promise<void>(resolve =>
            setImmediate(() => {
                startedAt = clock.monotonicMilliseconds();
                resolve();
            })
        );
    };
}
