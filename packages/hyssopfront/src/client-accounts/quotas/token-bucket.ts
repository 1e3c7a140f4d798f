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

/**
 * Tokens that the entries may hold beyond the burst and the rate, so that the few unused ones of a small account do not
 * keep its bucket from being filled. A quarter of the tolerance of deployments.
 */
const HELD_TOKENS_SLACK = 5;

/** A bucket that is filled over time and by returned tokens. */
export type TokenBucket = {
    /**
     * Adds the tokens of the time since the last call.
     *
     * @param share Part of the rate that this bucket gets, from 0 to 1.
     * @returns The number of tokens in the bucket, which may be fractional.
     */
    fill(quota: AccountQuota, share: number): number;
    /** Returns the time until the bucket has a token, in milliseconds; `fill` must have been called before. */
    untilToken(quota: AccountQuota, share: number): number;
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
 * The tokens in the bucket and the valid ones at entries together never exceed the burst, the rate during the lifetime of
 * a token and a small slack. Without this limit, tokens that are requested and returned over and over would accumulate at the entries
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
    const limitLevel = (quota: AccountQuota, outstanding: number) =>
        bucketDepth(quota) + quota.requestsPerSecond * RECORD_MS / 1_000 + HELD_TOKENS_SLACK - outstanding;
    const countOutstanding = () => grants.reduce((sum, { count }) => sum + count, 0);

    return {
        fill: (quota, share) => {
            const now = clock.monotonicMilliseconds();
            removeExpired();
            const { requestsPerSecond } = quota;
            level = Math.min(
                level + requestsPerSecond * share * (now - filledAt) / 1_000,
                bucketDepth(quota),
                limitLevel(quota, countOutstanding()),
            );
            filledAt = now;
            return level;
        },
        untilToken: (quota, share) => {
            if (level >= 1) {
                return 0;
            }
            const filling = (1 - level) / (quota.requestsPerSecond * share) * 1_000;
            let outstanding = countOutstanding();
            const blocking = grants.find(({ count }) => {
                const isBlocked = limitLevel(quota, outstanding) < 1;
                outstanding -= count;
                return isBlocked && limitLevel(quota, outstanding) >= 1;
            });
            return filling + (blocking === undefined ? 0 : blocking.at + RECORD_MS - clock.monotonicMilliseconds());
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
