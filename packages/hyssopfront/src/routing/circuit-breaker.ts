/**
 * Stops sending requests to a backend server whose connections fail, until a probe succeeds.
 */
import type { Clock } from "@hyssopfront/coordination";

/** State of a circuit breaker. Requests are sent only while it is closed. */
export enum CircuitState {
    Closed = "closed",
    Open = "open",
    /** One probe is under way. */
    Probing = "probing",
}

/** Circuit breaker of one backend server. */
export type CircuitBreaker = {
    readonly state: CircuitState;
    /** Resets the count of consecutive failures. */
    recordSuccess(): void;
    recordFailure(): void;
    /** Begins a probe if one is due. If this returns true, the caller has to run the probe and call `endProbe`. */
    tryBeginProbe(): boolean;
    endProbe(hasSucceeded: boolean): void;
};

/**
 * Consecutive failures that open the circuit. A single failure may come from a connection that was closed while idle.
 */
export const CONSECUTIVE_FAILURES_TO_OPEN = 3;
/** Time before the first probe. It doubles with each failed probe. */
export const INITIAL_OPEN_MS = 500;
export const MAXIMUM_OPEN_MS = 10_000;

/**
 * Creates a closed circuit breaker.
 *
 * @param random Uniform in [0, 1). Delays each probe by up to a quarter of the open time, so that several entries do
 * not probe at once.
 * @param onStateChange Called with each new state.
 */
export function createCircuitBreaker(
    clock: Clock,
    random: () => number,
    onStateChange: (state: CircuitState) => void = () => undefined,
): CircuitBreaker {
    let state = CircuitState.Closed;
    let consecutiveFailures = 0;
    let openMilliseconds = INITIAL_OPEN_MS;
    let openUntil = 0;

    const setState = (next: CircuitState) => {
        if (state !== next) {
            state = next;
            onStateChange(next);
        }
    };
    const open = () => {
        openUntil = clock.monotonicMilliseconds() + openMilliseconds * (1 + random() / 4);
        setState(CircuitState.Open);
    };

    return {
        get state() {
            return state;
        },
        recordSuccess: () => {
            consecutiveFailures = 0;
        },
        recordFailure: () => {
            consecutiveFailures += 1;
            if (state === CircuitState.Closed && consecutiveFailures >= CONSECUTIVE_FAILURES_TO_OPEN) {
                openMilliseconds = INITIAL_OPEN_MS;
                open();
            }
        },
        tryBeginProbe: () => {
            if (state !== CircuitState.Open || clock.monotonicMilliseconds() < openUntil) {
                return false;
            }
            setState(CircuitState.Probing);
            return true;
        },
        endProbe: hasSucceeded => {
            if (state !== CircuitState.Probing) {
                return;
            }
            if (hasSucceeded) {
                consecutiveFailures = 0;
                setState(CircuitState.Closed);
                return;
            }
            openMilliseconds = Math.min(MAXIMUM_OPEN_MS, openMilliseconds * 2);
            open();
        },
    };
}
