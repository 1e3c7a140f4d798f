/**
 * Stops the use of a backend server whose connections fail, until one bounded probe succeeds.
 */
import type { Clock } from "@hyssopfront/coordination";

export enum CircuitState {
    Closed = "closed",
    Open = "open",
    /** One probe is under way. */
    Probing = "probing",
}

export type CircuitBreaker = {
    readonly state: CircuitState;
    recordSuccess(): void;
    recordFailure(): void;
    /** True when the circuit is open and its time has come; the caller then has to run the probe and end it. */
    tryBeginProbe(): boolean;
    endProbe(hasSucceeded: boolean): void;
};

/** Failures in a row that open the circuit; one failure can be a connection that closed while idle. */
export const CONSECUTIVE_FAILURES_TO_OPEN = 3;
export const INITIAL_OPEN_MS = 500;
export const MAXIMUM_OPEN_MS = 10_000;

/**
 * Creates a closed circuit.
 *
 * @param random Uniform in [0, 1); spreads the probes of several entries by up to a quarter of the open time.
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
