/**
 * Load balancing between eligible backend servers.
 */
import type { AnnouncedBackendServer } from "../announcements/announcement.js";
import type { BackendState } from "./backend-state.js";

/** An eligible backend server. */
export type Candidate = {
    readonly backendServer: AnnouncedBackendServer;
    readonly state: BackendState;
    /** Slots that this entry can reserve now. */
    readonly freeSlots: number;
};

/** Selects one of several eligible backend servers. */
export type LoadBalancingPolicy = {
    /** True if the nearest backend servers are tried first, false if those of all locations compete. */
    readonly prefersNearby: boolean;
    /**
     * Selects the candidate to try first.
     *
     * @param candidates At least one.
     * @param random Uniform in [0, 1).
     */
    select(candidates: readonly Candidate[], random: () => number): Candidate;
};

/**
 * Weight of the rejection rate in the score. A rejection costs a round trip and a retry, so a backend server that
 * rejects half of its requests counts as three times as busy.
 */
const REJECTION_WEIGHT = 4;

/**
 * Estimates the wait at a candidate; lower is better. The reported load changes the score by at most a factor of two,
 * because reports are delayed and can be misleading.
 */
export function scoreCandidate({ backendServer, state, freeSlots }: Candidate): number {
    const utilization = (state.inFlight + 1) / (state.inFlight + freeSlots);
    const latency = Math.max(0.1, state.latencyMilliseconds);
    return utilization * latency * (1 + REJECTION_WEIGHT * state.rejectionRate) * (1 + (backendServer.load ?? 0));
}

/**
 * Selects the better of two random candidates. If the best of all candidates were selected, stale observations would
 * cause a thundering herd on one backend server.
 */
export const powerOfTwoChoices: LoadBalancingPolicy = {
    prefersNearby: true,
    select: (candidates, random) => {
        const firstIndex = Math.floor(random() * candidates.length);
        const offset = 1 + Math.floor(random() * (candidates.length - 1));
        const first = candidates[firstIndex] as Candidate;
        const other = candidates[(firstIndex + offset) % candidates.length] as Candidate;
        return scoreCandidate(other) < scoreCandidate(first) ? other : first;
    },
};
