/**
 * Divides the requests of each region among the regions that have backend servers: a region serves its own requests as
 * far as its capacity allows, and the rest goes to regions with spare capacity. The shares depend on slots only, so
 * that a change of load moves no objects.
 */

/**
 * Share of the requests from one region that each region serves, by name of the serving region; the shares sum to 1.
 */
export type RegionShares = ReadonlyMap<string, number>;

/**
 * Computes the shares for the requests of one region, on the assumption that all regions send equally many.
 *
 * @param slots Slots of the service in each region that has any.
 * @param regions All regions with callers.
 * @param origin Region that the requests come from.
 */
export function computeRegionShares(
    slots: ReadonlyMap<string, number>,
    regions: readonly string[],
    origin: string,
): RegionShares {
    const total = [...slots.values()].reduce((sum, count) => sum + count, 0);
    const getCapacityShare = (region: string) => (slots.get(region) ?? 0) / total;
    const getDemandShare = (region: string) => regions.includes(region) ? 1 / regions.length : 0;
    const demand = getDemandShare(origin);
    const localShare = demand === 0 ? 0 : Math.min(1, getCapacityShare(origin) / demand);
    const spare = new Map(
        [...slots.keys()].filter(region => region !== origin).map(region => [
            region,
            Math.max(0, getCapacityShare(region) - getDemandShare(region)),
        ]),
    );
    const totalSpare = [...spare.values()].reduce((sum, share) => sum + share, 0);
    const remoteShares = [...spare].map(([region, share]) =>
        [region, totalSpare === 0 ? 0 : (1 - localShare) * share / totalSpare] as const
    );
    return new Map([[origin, localShare], ...remoteShares]);
}

const HASH_RANGE = 2 ** 32;
const computeDistance = (hash: number, weight: number) =>
    -Math.log((hash + 0.5) / HASH_RANGE) / (weight > 0 ? weight : 1);

/**
 * Ranks the backend servers for a key by weighted rendezvous hashing, which moves the fewest keys possible when a
 * weight changes or a server comes or goes.
 *
 * @param getWeight Relative share of the keys that a candidate gets; a candidate with weight 0 is ranked last.
 * @param getHash Uniform 32-bit hash of the key and the candidate.
 * @returns The candidates in order of preference.
 */
export function rankByWeight<T>(
    candidates: readonly T[],
    getWeight: (candidate: T) => number,
    getHash: (candidate: T) => number,
): readonly T[] {
    return candidates
        .map(candidate => {
            const weight = getWeight(candidate);
            return { candidate, isLast: weight <= 0, distance: computeDistance(getHash(candidate), weight) };
        })
        .sort((a, b) => Number(a.isLast) - Number(b.isLast) || a.distance - b.distance)
        .map(({ candidate }) => candidate);
}

/**
 * Returns the candidate that `rankByWeight` would rank first, without ranking the others.
 *
 * @returns `undefined` without candidates.
 */
export function findFirstByWeight<T>(
    candidates: readonly T[],
    getWeight: (candidate: T) => number,
    getHash: (candidate: T) => number,
): T | undefined {
    let first: T | undefined;
    let isFirstLast = true;
    let firstDistance = Infinity;
    candidates.forEach(candidate => {
        const weight = getWeight(candidate);
        const isLast = weight <= 0;
        const distance = computeDistance(getHash(candidate), weight);
        if (isLast === isFirstLast ? distance < firstDistance || first === undefined : isFirstLast) {
            first = candidate;
            isFirstLast = isLast;
            firstDistance = distance;
        }
    });
    return first;
}

/**
 * Combines the hashes of a key and a candidate, which is much faster than hashing their joined text for each candidate.
 *
 * @returns A 32-bit hash that is uniform over the keys of one candidate and over the candidates of one key (the finalizer
 * of MurmurHash3).
 */
export function combineHashes(keyHash: number, candidateHash: number): number {
    const mixed = keyHash ^ Math.imul(candidateHash, 0x9e3779b1);
    const first = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
    const second = Math.imul(first ^ (first >>> 13), 0xc2b2ae35);
    return (second ^ (second >>> 16)) >>> 0;
}
