/**
 * Max-min fair division of an amount.
 */

/**
 * Divides an amount so that no one gets more than it wants, and no one's share can grow without taking from a share
 * that is smaller or equal.
 *
 * @param amount Units to divide.
 * @param wanted Units wanted by each.
 * @returns The level: each gets the smaller of what it wants and the level. Infinity when all wants fit.
 */
export function computeMaxMinLevel(amount: number, wanted: readonly number[]): number {
    const ascending = [...wanted].sort((a, b) => a - b);
    let rest = Math.max(0, amount);
    for (const [index, want] of ascending.entries()) {
        const level = rest / (ascending.length - index);
        if (want > level) {
            return level;
        }
        rest -= want;
    }
    return Infinity;
}

/**
 * Rounds shares down to whole units and gives the units that this frees to the largest remainders, in the order of the
 * shares where remainders are equal. The sum does not grow.
 *
 * @param shares Shares in units.
 * @returns Whole shares in the same order.
 */
export function roundShares(shares: readonly number[]): number[] {
    const whole = shares.map(share => Math.floor(share + 1e-9));
    const total = Math.floor(shares.reduce((sum, share) => sum + share, 0) + 1e-9);
    let spare = total - whole.reduce((sum, share) => sum + share, 0);
    shares.map((share, index) => ({ index, remainder: share - (whole[index] ?? 0) }))
        .filter(({ remainder }) => remainder > 1e-9)
        .sort((a, b) => b.remainder - a.remainder || a.index - b.index)
        .forEach(({ index }) => {
            if (spare > 0) {
                whole[index] = (whole[index] ?? 0) + 1;
                spare--;
            }
        });
    return whole;
}
