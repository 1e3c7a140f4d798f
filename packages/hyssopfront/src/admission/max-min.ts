/**
 * Max-min fair allocation.
 */

/**
 * Computes the level of a max-min fair allocation. Each participant receives the smaller of its demand and the level,
 * so that no share can grow without reducing a share that is smaller or equal.
 *
 * @param amount Units to allocate.
 * @param demands Demand of each participant in units.
 * @returns The level, or `Infinity` when all demands fit into the amount.
 */
export function computeMaxMinLevel(amount: number, demands: readonly number[]): number {
    const ascending = [...demands].sort((a, b) => a - b);
    let remaining = Math.max(0, amount);
    for (const [index, demand] of ascending.entries()) {
        const level = remaining / (ascending.length - index);
        if (demand > level) {
            return level;
        }
        remaining -= demand;
    }
    return Infinity;
}

/**
 * Rounds shares to whole units by the largest remainder method. Shares with equal remainders are rounded up in their
 * order. The sum does not grow.
 *
 * @param shares Shares in units.
 * @returns Whole shares in the same order.
 */
export function roundShares(shares: readonly number[]): number[] {
    // 1e-9 absorbs rounding errors of the shares.
    const whole = shares.map(share => Math.floor(share + 1e-9));
    const total = Math.floor(shares.reduce((sum, share) => sum + share, 0) + 1e-9);
    let unassigned = total - whole.reduce((sum, share) => sum + share, 0);
    shares.map((share, index) => ({ index, remainder: share - (whole[index] ?? 0) }))
        .filter(({ remainder }) => remainder > 1e-9)
        .sort((a, b) => b.remainder - a.remainder || a.index - b.index)
        .forEach(({ index }) => {
            if (unassigned > 0) {
                whole[index] = (whole[index] ?? 0) + 1;
                unassigned--;
            }
        });
    return whole;
}
