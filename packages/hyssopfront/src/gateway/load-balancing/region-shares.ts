/**
 * Divides the requests of each region among the regions that have backend servers: at home as far as the capacity
 * there allows, the rest where capacity is left. It depends on slots only, so it moves nothing when load changes.
 */

/** Share of the requests from one region that each region serves; shares sum to 1. */
export type RegionShares = ReadonlyMap<string, number>;

/**
 * Plans for one region, on the assumption that all regions ask equally often.
 *
 * @param slots Slots of the service in each region that has any.
 * @param regions All regions that ask.
 * @param origin Region whose requests are planned.
 */
export function computeRegionShares(
    slots: ReadonlyMap<string, number>,
    regions: readonly string[],
    origin: string,
): RegionShares {
    const total = [...slots.values()].reduce((sum, count) => sum + count, 0);
    const capacityOf = (region: string) => (slots.get(region) ?? 0) / total;
    const demandOf = (region: string) => regions.includes(region) ? 1 / regions.length : 0;
    const demand = demandOf(origin);
    const atHome = demand === 0 ? 0 : Math.min(1, capacityOf(origin) / demand);
    const spare = new Map(
        [...slots.keys()].filter(region => region !== origin).map(region => [
            region,
            Math.max(0, capacityOf(region) - demandOf(region)),
        ]),
    );
    const allSpare = [...spare.values()].reduce((sum, share) => sum + share, 0);
    const elsewhere = [...spare].map(([region, share]) =>
        [region, allSpare === 0 ? 0 : (1 - atHome) * share / allSpare] as const
    );
    return new Map([[origin, atHome], ...elsewhere]);
}

/**
 * Order in which backend servers are tried for a key: weighted rendezvous hashing, so that a change of one weight or
 * server moves only the keys that it must.
 *
 * @param weightOf Share of the keys that a candidate should get, in any unit; 0 puts it last.
 * @param hashOf Uniform 32-bit hash of the key and the candidate.
 */
export function rankByWeight<T>(
    candidates: readonly T[],
    weightOf: (candidate: T) => number,
    hashOf: (candidate: T) => number,
): readonly T[] {
    const LARGEST_HASH = 2 ** 32;
    return candidates
        .map(candidate => {
            const uniform = (hashOf(candidate) + 0.5) / LARGEST_HASH;
            const weight = weightOf(candidate);
            return { candidate, isLast: weight <= 0, distance: -Math.log(uniform) / (weight > 0 ? weight : 1) };
        })
        .sort((a, b) => Number(a.isLast) - Number(b.isLast) || a.distance - b.distance)
        .map(({ candidate }) => candidate);
}
