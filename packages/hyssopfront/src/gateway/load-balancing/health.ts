/**
 * Passive health of one backend server, from how it answers this entry's requests.
 */
import type { Clock } from "@hyssopfront/coordination";

/** Share that one request has in the failing share; the last ten or so decide. */
const SMOOTHING = 0.15;
/** Failing share of recent requests above which a backend server is left alone for a while. */
const EJECTING_FAILURE_SHARE = 0.4;
/** Answers before the failing share says anything. */
const FEWEST_ANSWERS = 3;
/** First time out of use after failures, in milliseconds; it doubles up to the longest. */
const FIRST_EJECTION_MS = 500;
const LONGEST_EJECTION_MS = 4_000;
export enum HealthState {
    Healthy = "healthy",
    /** Out of use for a while. */
    Ejected = "ejected",
    /** May get one request at a time until one succeeds. */
    HalfOpen = "trial",
}

export type Health = {
    state(): HealthState;
    recordSuccess(): void;
    /** A failure that its clients see: reset, bad answer, error status. @returns True when it ejects the server. */
    recordFailure(): boolean;
    /** It cannot be reached or does not answer at all. */
    eject(): void;
};

export function createHealth(clock: Clock, random: () => number): Health {
    let failureShare = 0;
    let answers = 0;
    let ejectedUntil = 0;
    let ejectionMilliseconds = FIRST_EJECTION_MS;
    let isOnTrial = false;

    const eject = () => {
        const now = clock.monotonicMilliseconds();
        if (now < ejectedUntil) {
            return;
        }
        // The random part keeps the entries from all trying again at once.
        ejectedUntil = now + ejectionMilliseconds * (0.75 + random() / 2);
        ejectionMilliseconds = Math.min(LONGEST_EJECTION_MS, ejectionMilliseconds * 2);
        isOnTrial = true;
    };

    return {
        state: () => {
            if (!isOnTrial) {
                return HealthState.Healthy;
            }
            return clock.monotonicMilliseconds() < ejectedUntil ? HealthState.Ejected : HealthState.HalfOpen;
        },
        recordSuccess: () => {
            answers += 1;
            failureShare *= 1 - SMOOTHING;
            if (isOnTrial && clock.monotonicMilliseconds() >= ejectedUntil) {
                isOnTrial = false;
                failureShare = 0;
                answers = 0;
                ejectionMilliseconds = FIRST_EJECTION_MS;
            }
        },
        recordFailure: () => {
            answers += 1;
            failureShare += (1 - failureShare) * SMOOTHING;
            const ejects = isOnTrial || (answers >= FEWEST_ANSWERS && failureShare > EJECTING_FAILURE_SHARE);
            if (ejects) {
                eject();
            }
            return ejects;
        },
        eject,
    };
}
