/**
 * Messages between the entries and the control leader about the quotas of client accounts.
 */
import { z } from "zod";

/** Time for which a token is valid, in milliseconds from the sending of the call that obtained it. */
export const TOKEN_LIFETIME_MS = 500;
/** Time over which demand is measured and prefetched, in milliseconds; half of the lifetime of a token. */
export const DEMAND_WINDOW_MS = 250;
/** Time without a reply after which an entry has no leader, in milliseconds; six round trips between regions. */
export const CALL_TIMEOUT_MS = 300;

/** Request of an entry. It lists only accounts for which tokens are wanted or returned. */
export const leaseTokensRequestSchema = z.object({
    entry: z.string(),
    /** True if the entry will call again soon, so that its silence means that it cannot reach the leader. */
    isBusy: z.boolean(),
    accounts: z.array(z.object({
        name: z.string(),
        wanted: z.number().int().nonnegative(),
        returned: z.number().int().nonnegative(),
    })),
});
/** Reply. Without `accounts`, the instance does not hold the leader lease and names the leader if it knows one. */
export const leaseTokensReplySchema = z.object({
    leader: z.string().optional(),
    accounts: z.array(z.object({
        name: z.string(),
        granted: z.number().int().nonnegative(),
        /** Time until more tokens are available, in milliseconds; 0 if all tokens were granted. */
        retryAfterMilliseconds: z.number().nonnegative(),
    })).optional(),
});

export type LeaseTokensRequest = z.infer<typeof leaseTokensRequestSchema>;
export type LeaseTokensReply = z.infer<typeof leaseTokensReplySchema>;
export type AccountDemand = LeaseTokensRequest["accounts"][number];
export type AccountGrant = NonNullable<LeaseTokensReply["accounts"]>[number];
