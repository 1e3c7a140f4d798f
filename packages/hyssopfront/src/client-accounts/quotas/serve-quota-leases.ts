/**
 * Answers the calls of entries for tokens on a control instance.
 */
import type { Clock, Replica } from "@hyssopfront/coordination";
import type { AccountQuota } from "../client-account.js";
import type { KnownEntries } from "./entry-reach.js";
import { type LeaseTokensReply, leaseTokensRequestSchema } from "./quota-messages.js";
import { createTokenAllocator, type TokenAllocator } from "./token-allocator.js";

/** Tolerance of the comparison of times that were computed from each other, in milliseconds. */
const TIME_ROUNDING_MS = 1;

/** What the decision about leadership needs of the replica. */
export type LeadershipView = Pick<Replica, "holdsLeaderLease" | "leadingForMilliseconds"> & {
    status(): { readonly leader: string | undefined };
};

/**
 * Creates the handler of the calls. Tokens are granted only while this instance holds the leader lease; otherwise the
 * reply names the leader.
 *
 * @param options.replica Returns the replica of the control group; undefined while its storage is not open.
 */
export function createQuotaLeaseHandler(options: {
    readonly clock: Clock;
    readonly replica: () => LeadershipView | undefined;
    readonly findQuota: (account: string) => AccountQuota | undefined;
    readonly knownEntries: KnownEntries;
}): (payload: unknown) => LeaseTokensReply {
    const { clock } = options;
    let leadership: { readonly startedAt: number; readonly allocator: TokenAllocator } | undefined;
    /** Monotonic time of the last call at which this instance did not hold the lease, in milliseconds. */
    let notLeadingAt = -Infinity;

    /**
     * Returns the allocator of the current leadership. A new one starts with empty buckets, also after a lapse of the lease
     * within a term, in which entries have used their local shares.
     */
    const getAllocator = (leaseHeldSince: number) => {
        const startedAt = Math.max(leaseHeldSince, notLeadingAt);
        if (leadership === undefined || startedAt > leadership.startedAt + TIME_ROUNDING_MS) {
            leadership = { startedAt, allocator: createTokenAllocator({ ...options, startedAt }) };
        }
        return leadership.allocator;
    };

    return payload => {
        const request = leaseTokensRequestSchema.parse(payload);
        const replica = options.replica();
        const leadingFor = replica?.holdsLeaderLease() === true ? replica.leadingForMilliseconds() : undefined;
        if (leadingFor === undefined) {
            notLeadingAt = clock.monotonicMilliseconds();
            const leader = replica?.status().leader;
            return leader === undefined ? {} : { leader };
        }
        return { accounts: [...getAllocator(clock.monotonicMilliseconds() - leadingFor).lease(request)] };
    };
}
