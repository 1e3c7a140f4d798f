/**
 * Adaptive throttling of one service: rejects a part of the requests at once while many others time out.
 *
 * When backend servers lose their caches, requests for objects that are not cached take several times as long, time out
 * and are cancelled, so that no object gets cached: the overload then lasts although the slots would suffice for cached
 * objects (a metastable failure). A backend server whose requests are all cancelled reports no load, so an entry cannot
 * see it. The entry therefore limits its requests to a multiple of those that were completed lately, which leaves enough
 * slots for some requests to end. Their objects are then cached, and the limit rises.
 */
import type { Clock } from "@hyssopfront/coordination";

/** Requests that are admitted for each one that was completed. */
const ADMITTED_PER_COMPLETED = 1.5;
/** Time constant of the exponentially decaying counts, in milliseconds. */
const DECAY_MS = 2_000;
/** Timeouts that are always tolerated, so that a few of them do not matter when there are few requests. */
const TOLERATED_TIMEOUTS = 2;

/** Throttle of the requests of one entry to one service. */
export type OverloadThrottle = {
    /**
     * Decides about a request, and counts its rejection.
     *
     * @param isCached True if the object of the request is known to be cached. Such requests are always admitted.
     */
    admits(isCached: boolean): boolean;
    /** Records whether the service has responded in time. */
    recordEnd(isCompleted: boolean): void;
};

/**
 * Creates a throttle that admits all requests until some have timed out.
 *
 * @param random Uniform numbers from 0 to 1.
 */
export function createOverloadThrottle(clock: Clock, random: () => number): OverloadThrottle {
    let requests = 0;
    let completed = 0;
    let updatedAt = clock.monotonicMilliseconds();

    const decay = () => {
        const now = clock.monotonicMilliseconds();
        const factor = Math.exp((updatedAt - now) / DECAY_MS);
        requests *= factor;
        completed *= factor;
        updatedAt = now;
    };
    const recordEnd = (isCompleted: boolean) => {
        decay();
        requests += 1;
        completed += isCompleted ? 1 : 0;
    };
    /** Share of the requests for objects that are not known to be cached that are rejected now, from 0 to 1. */
    const rejectedShare = () => {
        decay();
        const excess = requests - ADMITTED_PER_COMPLETED * completed - TOLERATED_TIMEOUTS;
        return Math.max(0, excess / (requests + 1));
    };

    return {
        admits: isCached => {
            const isAdmitted = isCached || random() >= rejectedShare();
            if (!isAdmitted) {
                recordEnd(false);
            }
            return isAdmitted;
        },
        recordEnd,
    };
}

/**
 * Creates the throttles of an entry.
 *
 * @returns A function that returns the throttle of a service.
 */
export function createOverloadThrottles(clock: Clock, random: () => number): (service: string) => OverloadThrottle {
    const throttles = new Map<string, OverloadThrottle>();
    return service => {
        const throttle = throttles.get(service) ?? createOverloadThrottle(clock, random);
        throttles.set(service, throttle);
        return throttle;
    };
}
