/**
 * Token bucket of one client account on the control leader.
 */
import type { Clock } from "@hyssopfront/coordination";
import type { AccountQuota } from "../client-account.js";
import { TOKEN_LIFETIME_MS } from "./quota-messages.js";

/** Granularity of the record of granted tokens, in milliseconds. */
const SLOT_MS = 50;
/** Time for which granted tokens are recorded, in milliseconds: their lifetime, rounded up to whole slots. */
const RECORD_MS = TOKEN_LIFETIME_MS + SLOT_MS;

/** A bucket that is filled over time and by returned tokens. */
export type TokenBucket = {
    /**
     * Adds the tokens of the time since the last call.
     *
     * @param share Part of the rate that this bucket gets, from 0 to 1.
     * @returns The number of tokens in the bucket, which may be fractional.
     */
    fill(quota: AccountQuota, share: number): number;
    /** Removes granted tokens. */
    take(count: number): void;
    /** Adds tokens that an entry has returned, at most as many as may still be valid. */
    credit(count: number): void;
};

/** Time between calls of entries that a bucket must bridge, in milliseconds; with few entries, 20 ms are usual. */
const CALL_GAP_MS = 50;
/** Largest capacity beyond the burst, in tokens; a quarter of the tolerance of deployments. */
const MAXIMUM_GAP_TOKENS = 5;

/**
 * Returns the capacity of a bucket in tokens: the burst, or what is filled between two calls. With a burst of 1 and a rate
 * of 100 a second, a fifth of the tokens would otherwise be lost.
 */
export const bucketDepth = ({ requestsPerSecond, burst }: AccountQuota) =>
    Math.max(1, burst, Math.min(MAXIMUM_GAP_TOKENS, requestsPerSecond * CALL_GAP_MS / 1_000));

/**
 * Creates an empty bucket.
 *
 * The tokens in the bucket and the valid ones at entries together never exceed the burst and the rate during the lifetime
 * of a token. Without this limit, tokens that are requested and returned over and over would accumulate at the entries
 * while the bucket is filled again, and could all be used at once.
 *
 * @param startedAt Monotonic time from which the bucket is filled, in milliseconds.
 */
export function createTokenBucket(clock: Clock, startedAt: number): TokenBucket {
    let level = 0;
    let filledAt = startedAt;
    let grants: { readonly at: number; count: number }[] = [];

    const removeExpired = () => {
        const oldest = clock.monotonicMilliseconds() - RECORD_MS;
        if ((grants[0]?.at ?? Infinity) < oldest) {
            grants = grants.filter(({ at }) => at >= oldest);
        }
    };
    const countOutstanding = () => grants.reduce((sum, { count }) => sum + count, 0);

    return {
        fill: (quota, share) => {
            const now = clock.monotonicMilliseconds();
            removeExpired();
            const { requestsPerSecond } = quota;
            const depth = bucketDepth(quota);
            const limit = depth + requestsPerSecond * RECORD_MS / 1_000 - countOutstanding();
            level = Math.min(level + requestsPerSecond * share * (now - filledAt) / 1_000, depth, limit);
            filledAt = now;
            return level;
        },
        take: count => {
            if (count === 0) {
                return;
            }
            const now = clock.monotonicMilliseconds();
            level -= count;
            const latest = grants.at(-1);
            if (latest !== undefined && latest.at > now - SLOT_MS) {
                latest.count += count;
            }
            else {
                grants.push({ at: now, count });
            }
        },
        credit: count => {
            removeExpired();
            const credited = Math.min(count, countOutstanding());
            level += credited;
            let rest = credited;
            grants.forEach(grant => {
                const removed = Math.min(rest, grant.count);
                grant.count -= removed;
                rest -= removed;
            });
        },
    };
}
