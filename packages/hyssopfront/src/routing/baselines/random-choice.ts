import type { Candidate, LoadBalancingPolicy } from "../load-balancing-policy.js";

/**
 * Baseline for comparisons. Selects each eligible backend server with equal probability, regardless of its location.
 */
export const randomChoice: LoadBalancingPolicy = {
    prefersNearby: false,
    select: (candidates, random) => candidates[Math.floor(random() * candidates.length)] as Candidate,
};
