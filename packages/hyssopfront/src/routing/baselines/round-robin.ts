import type { Candidate, LoadBalancingPolicy } from "../load-balancing-policy.js";

/** Baseline for comparisons. Selects the eligible backend servers in turn, regardless of their location. */
export function createRoundRobin(): LoadBalancingPolicy {
    let index = 0;
    return {
        prefersNearby: false,
        select: candidates => {
            index += 1;
            return candidates[index % candidates.length] as Candidate;
        },
    };
}
