/**
 * Passive health checking of one backend server (outlier detection), based on its responses to this entry.
 */
import type { Clock } from "@hyssopfront/coordination";

/** Weight of one response in the exponentially smoothed failure ratio, which covers about the last ten responses. */
const FAILURE_RATIO_SMOOTHING = 0.15;
/** Failure ratio of recent requests above which a backend server is ejected. */
const EJECTION_FAILURE_RATIO = 0.4;
/** Minimum number of responses before the failure ratio is considered. */
const MINIMUM_RESPONSES = 3;
/** Duration of the first ejection, in milliseconds; it doubles with each further one, up to the maximum. */
const BASE_EJECTION_MS = 500;
const MAXIMUM_EJECTION_MS = 4_000;

/** States of a backend server in outlier detection. */
export enum HealthState {
    Healthy = "healthy",
    /** Gets no requests until the ejection ends. */
    Ejected = "ejected",
    /** It has asked for a pause: gets no requests until the pause ends. */
    Paused = "paused",
    /** The ejection or pause has ended: gets one request at a time until one succeeds. */
    Trial = "trial",
}

/** Health of one backend server. */
export type Health = {
    state(): HealthState;
    recordSuccess(): void;
    /**
     * Records a failed request: a connection reset, an invalid response or an error status.
     *
     * @returns True if the failure ejects the backend server.
     */
    recordFailure(): boolean;
    /** Ejects the backend server at once, as it cannot be reached or does not respond at all. */
    eject(): void;
    /** Stops requests for a time in milliseconds, as the backend server has asked for. A shorter pause changes nothing. */
    pause(milliseconds: number): void;
    /** End of the last pause, in monotonic milliseconds. */
    pausedUntil(): number;
};

/**
 * Creates the state of a healthy backend server.
 *
 * @param random Uniform numbers from 0 to 1, for the jitter of ejections.
 */
export function createHealth(clock: Clock, random: () => number): Health {
    let failureRatio = 0;
    let responses = 0;
    let ejectedUntil = 0;
    let ejectionMilliseconds = BASE_EJECTION_MS;
    let isUnhealthy = false;
    let pausedUntil = -Infinity;

    const eject = () => {
        const now = clock.monotonicMilliseconds();
        if (now < ejectedUntil) {
            return;
        }
        // The jitter keeps entries from all retrying the backend server at the same time.
        ejectedUntil = now + ejectionMilliseconds * (0.75 + random() / 2);
        ejectionMilliseconds = Math.min(MAXIMUM_EJECTION_MS, ejectionMilliseconds * 2);
        isUnhealthy = true;
    };

    return {
        state: () => {
            if (!isUnhealthy) {
                return HealthState.Healthy;
            }
            const now = clock.monotonicMilliseconds();
            if (now < pausedUntil) {
                return HealthState.Paused;
            }
            return now < ejectedUntil ? HealthState.Ejected : HealthState.Trial;
        },
        recordSuccess: () => {
            responses += 1;
            failureRatio *= 1 - FAILURE_RATIO_SMOOTHING;
            if (isUnhealthy && clock.monotonicMilliseconds() >= Math.max(ejectedUntil, pausedUntil)) {
                isUnhealthy = false;
                failureRatio = 0;
                responses = 0;
                ejectionMilliseconds = BASE_EJECTION_MS;
            }
        },
        recordFailure: () => {
            responses += 1;
            failureRatio += (1 - failureRatio) * FAILURE_RATIO_SMOOTHING;
            const shouldEject = isUnhealthy ||
                (responses >= MINIMUM_RESPONSES && failureRatio > EJECTION_FAILURE_RATIO);
            if (shouldEject) {
                eject();
            }
            return shouldEject;
        },
        eject,
        pause: milliseconds => {
            pausedUntil = Math.max(pausedUntil, clock.monotonicMilliseconds() + milliseconds);
            isUnhealthy = true;
        },
        pausedUntil: () => pausedUntil,
    };
}
