import type { Candidate, LoadBalancingPolicy } from "../load-balancing-policy.js";

/** Baseline for comparisons: the eligible backend servers in turn, wherever they are. */
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
