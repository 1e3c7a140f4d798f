/**
 * Share of the quota of a client account that an entry uses while no leader replies.
 */
import type { AccountQuota } from "../client-account.js";
import { TOKEN_LIFETIME_MS } from "./quota-messages.js";

/** Requests that may be run beyond the quota; a term of the deployment. */
export type QuotaTolerance = {
    /** Length of the windows in which the requests are counted, in milliseconds. */
    readonly windowMilliseconds: number;
    /** Requests beyond the quota, as a fraction of it. */
    readonly overage: number;
    /** Further requests beyond the quota. */
    readonly slack: number;
};

/** Tolerance of deployments whose settings state none. */
export const DEFAULT_QUOTA_TOLERANCE: QuotaTolerance = { windowMilliseconds: 5_000, overage: 0.1, slack: 20 };

/**
 * Part of the tolerance that the local shares of all entries use together. The rest covers the slack of the buckets of the
 * leader, and the random number of requests that are admitted by fractions of a token, of which the standard deviation is
 * about the square root of their sum.
 */
const TOLERANCE_PART = 0.5;
/** Time over which an unused share accumulates while no leader replies, in milliseconds. */
const ACCUMULATION_MS = 100;
/** Time in which the initial level is restored after a leader has replied again, in milliseconds. */
const RESTORE_MS = 60_000;

/** Bucket of one account. */
export type LocalShare = {
    /**
     * Takes a token while no leader replies.
     *
     * @param now Monotonic milliseconds.
     * @param entryCount Number of entries that share the quota, this one included.
     */
    take(quota: AccountQuota, entryCount: number, now: number): boolean;
    /** Returns the token of a request that was not run. */
    refund(): void;
    /** Ends the use of the share: a leader replies again. */
    suspend(now: number): void;
};

/**
 * Returns the number of tokens that an entry may use when the leader is lost. All entries may lose it at once, after the
 * burst and all tokens at entries have been used, so together they get what the tolerance leaves beyond these.
 */
export function initialLocalLevel(quota: AccountQuota, entryCount: number, tolerance: QuotaTolerance): number {
    const { requestsPerSecond, burst } = quota;
    const tolerated = tolerance.overage * (requestsPerSecond * tolerance.windowMilliseconds / 1_000 + burst) +
        tolerance.slack;
    const heldTokens = requestsPerSecond * TOKEN_LIFETIME_MS / 1_000;
    return Math.min(1, Math.max(0, tolerated - heldTokens) * TOLERANCE_PART / entryCount);
}

/**
 * Creates the share with its initial level.
 *
 * A share of a small account is less than one token. A request then is admitted with the probability that equals the
 * fraction, which is used up in either case. So the sum over all entries is that of their shares, while whole tokens at
 * each entry could exceed the quota when all entries use them at once.
 *
 * @param options.random Uniform numbers from 0 to 1.
 */
export function createLocalShare(options: {
    readonly tolerance: QuotaTolerance;
    readonly random: () => number;
}): LocalShare {
    let level: number | undefined;
    let updatedAt = 0;
    let isInUse = false;

    const update = (quota: AccountQuota, entryCount: number, now: number) => {
        const initial = initialLocalLevel(quota, entryCount, options.tolerance);
        const perMillisecond = quota.requestsPerSecond / entryCount / 1_000;
        if (level === undefined) {
            level = initial;
        }
        else if (isInUse) {
            const depth = initial + perMillisecond * ACCUMULATION_MS;
            level = Math.min(depth, level + perMillisecond * (now - updatedAt));
        }
        else {
            level = Math.min(initial, level + initial * (now - updatedAt) / RESTORE_MS);
        }
        isInUse = true;
        updatedAt = now;
        return level;
    };

    return {
        take: (quota, entryCount, now) => {
            const available = update(quota, entryCount, now);
            if (available >= 1) {
                level = available - 1;
                return true;
            }
            level = 0;
            return options.random() < available;
        },
        refund: () => {
            level = Math.min(1, (level ?? 0) + 1);
        },
        suspend: now => {
            isInUse = false;
            updatedAt = now;
        },
    };
}
