import type { Candidate, LoadBalancingPolicy } from "../load-balancing-policy.js";

/** Baseline for comparisons: any eligible backend server with equal probability, wherever it is. */
export const randomChoice: LoadBalancingPolicy = {
    prefersNearby: false,
    select: (candidates, random) => candidates[Math.floor(random() * candidates.length)] as Candidate,
};
