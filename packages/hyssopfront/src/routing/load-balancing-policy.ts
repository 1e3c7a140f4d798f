/**
 * How one of several eligible backend servers is chosen.
 */
import type { AnnouncedBackendServer } from "../announcements/announcement.js";
import type { BackendState } from "./backend-state.js";

export type Candidate = {
    readonly backendServer: AnnouncedBackendServer;
    readonly state: BackendState;
    /** Slots that this entry could take now. */
    readonly freeSlots: number;
};

export type LoadBalancingPolicy = {
    /** False to choose among all places at once instead of the nearest first. */
    readonly prefersNearby: boolean;
    /**
     * Chooses the candidate to try first.
     *
     * @param candidates At least one.
     * @param random Uniform in [0, 1).
     */
    select(candidates: readonly Candidate[], random: () => number): Candidate;
};

/** A refusal costs a round trip and a retry, so a server that refuses half of its requests counts as three times as busy. */
const REJECTION_WEIGHT = 4;

/**
 * Expected wait at a candidate; lower is better. The reported load counts for at most a factor of two, because reports
 * lag and mislead.
 */
export function scoreCandidate({ backendServer, state, freeSlots }: Candidate): number {
    const utilization = (state.inFlight + 1) / (state.inFlight + freeSlots);
    const latency = Math.max(0.1, state.latencyMilliseconds);
    return utilization * latency * (1 + REJECTION_WEIGHT * state.rejectionRate) * (1 + (backendServer.load ?? 0));
}

/**
 * The better of two random candidates, which avoids both stale favourites and a herd on one server.
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
