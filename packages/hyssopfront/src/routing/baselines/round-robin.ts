import type { Candidate, LoadBalancingPolicy } from "../load-balancing-policy.js";

/** Baseline for comparisons: the eligible backend servers in turn, wherever they are. */
export function createRoundRobin(): LoadBalancingPolicy {
    let turn = 0;
    return {
        prefersNearby: false,
        select: candidates => {
            turn += 1;
            return candidates[turn % candidates.length] as Candidate;
        },
    };
}
