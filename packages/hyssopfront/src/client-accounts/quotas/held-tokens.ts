/**
 * Tokens of one client account that an entry holds.
 */

/** Tokens in the order of their expiry. Times are monotonic milliseconds. */
export type HeldTokens = {
    count(now: number): number;
    add(count: number, expiresAt: number): void;
    /** Removes a valid token. Returns the time at which it expires, or undefined if there is none. */
    take(now: number): number | undefined;
    /** Removes the valid tokens that expire before a time, and returns their number. */
    removeExpiringBefore(time: number, now: number): number;
    /** Keeps at most this many tokens, those that expire last. */
    limit(count: number): void;
};

/** Creates an empty collection. */
export function createHeldTokens(): HeldTokens {
    let batches: { readonly expiresAt: number; count: number }[] = [];
    const sum = () => batches.reduce((total, { count }) => total + count, 0);
    const removeUsed = () => {
        while (batches[0]?.count === 0) {
            batches.shift();
        }
    };
    const removeExpired = (now: number) => {
        while ((batches[0]?.expiresAt ?? Infinity) <= now) {
            batches.shift();
        }
    };
    const removeFirst = (count: number) => {
        let rest = count;
        batches.forEach(batch => {
            const removed = Math.min(rest, batch.count);
            batch.count -= removed;
            rest -= removed;
        });
        removeUsed();
    };
    return {
        count: now => {
            removeExpired(now);
            return sum();
        },
        add: (count, expiresAt) => {
            if (count > 0) {
                batches.push({ count, expiresAt });
                batches.sort((first, second) => first.expiresAt - second.expiresAt);
            }
        },
        take: now => {
            removeExpired(now);
            const [first] = batches;
            if (first === undefined) {
                return undefined;
            }
            first.count -= 1;
            removeUsed();
            return first.expiresAt;
        },
        removeExpiringBefore: (time, now) => {
            removeExpired(now);
            const before = sum();
            batches = batches.filter(({ expiresAt }) => expiresAt >= time);
            return before - sum();
        },
        limit: count => removeFirst(Math.max(0, sum() - count)),
    };
}
