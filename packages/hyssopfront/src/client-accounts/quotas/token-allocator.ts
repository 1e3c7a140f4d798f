/**
 * Grants tokens for the requests of client accounts to entries. Runs on the control leader and needs no network.
 */
import type { Clock } from "@hyssopfront/coordination";
import { computeMaxMinLevel } from "../../admission/max-min.js";
import type { AccountQuota } from "../client-account.js";
import { createEntryReach, type KnownEntries } from "./entry-reach.js";
import { type AccountDemand, type AccountGrant, DEMAND_WINDOW_MS, type LeaseTokensRequest } from "./quota-messages.js";
import { bucketDepth, createTokenBucket, type TokenBucket } from "./token-bucket.js";

/** Age up to which a division among the entries is used, in milliseconds, so that not every call divides again. */
const DIVISION_AGE_MS = 25;
/** Longest time until more tokens are available that is reported, in milliseconds; demand changes faster. */
const MAXIMUM_RETRY_AFTER_MS = 2_000;
/** Time that a caller needs to return after its retry time, in milliseconds; its entry keeps its part until then. */
const RETURN_TIME_MS = 200;
/** Part of the capacity of a bucket that is kept for entries that have received less; the rest must not overflow. */
const RESERVED_DEPTH = 0.5;
/** Absorbs rounding errors of the level of a bucket. */
const ROUNDING_ERROR = 1e-9;

/** Allocator of one leadership. */
export type TokenAllocator = {
    /** Takes returned tokens back and grants tokens. The result has the accounts for which tokens are wanted. */
    lease(request: LeaseTokensRequest): readonly AccountGrant[];
};

/** What an entry demands of one account. */
type EntryDemand = {
    /** Tokens that were wanted in the last call and not granted. */
    unmet: number;
    /** Tokens granted in about the last `DEMAND_WINDOW_MS`; decays exponentially. */
    granted: number;
    /** Part of this entry that it has not received, in tokens; negative if it has received more. */
    credit: number;
    updatedAt: number;
    activeUntil: number;
};
type Account = {
    readonly bucket: TokenBucket;
    readonly demands: Map<string, EntryDemand>;
    /** Max-min level in tokens per `DEMAND_WINDOW_MS` and entry; `Infinity` without a shortage. */
    fairLevel: number;
    /** Tokens that are kept for the entries with unmet demand. */
    reserved: number;
    dividedAt: number;
};

/**
 * Creates an allocator with empty buckets, so that its grants and those of the previous leader together stay within the
 * quotas.
 *
 * @param options.startedAt Start of the leadership in monotonic milliseconds, from which the buckets are filled.
 * @param options.findQuota Returns the current quota of an account; undefined if it has none.
 */
export function createTokenAllocator(options: {
    readonly clock: Clock;
    readonly startedAt: number;
    readonly findQuota: (account: string) => AccountQuota | undefined;
    readonly knownEntries: KnownEntries;
}): TokenAllocator {
    const { clock } = options;
    const accounts = new Map<string, Account>();
    const reach = createEntryReach(clock, options.knownEntries);

    const getAccount = (name: string): Account => {
        const existing = accounts.get(name);
        if (existing !== undefined) {
            return existing;
        }
        const bucket = createTokenBucket(clock, options.startedAt);
        const account = { bucket, demands: new Map(), fairLevel: Infinity, reserved: 0, dividedAt: -Infinity };
        accounts.set(name, account);
        return account;
    };

    const refresh = (demand: EntryDemand, fairLevel: number, now: number) => {
        const windows = (now - demand.updatedAt) / DEMAND_WINDOW_MS;
        demand.granted *= Math.exp(-windows);
        // Without a shortage the credit is not used; an infinite one would not end with the shortage either.
        demand.credit = fairLevel === Infinity
            ? Math.max(1, demand.credit)
            : Math.min(Math.max(1, fairLevel), demand.credit + fairLevel * windows);
        demand.updatedAt = now;
    };
    const reservation = ({ credit, unmet }: EntryDemand) => Math.max(0, Math.min(credit, unmet));

    /** Divides the tokens of the next `DEMAND_WINDOW_MS` among the entries with recent demand. */
    const divide = (account: Account, level: number, requestsPerSecond: number, now: number) => {
        account.demands.forEach((demand, entry) => {
            if (demand.activeUntil < now) {
                account.demands.delete(entry);
            }
        });
        const demands = [...account.demands.values()];
        demands.forEach(demand => refresh(demand, account.fairLevel, now));
        const recent = demands.map(({ unmet, granted }) => unmet + granted);
        const filled = requestsPerSecond * DEMAND_WINDOW_MS / 1_000;
        const isShort = computeMaxMinLevel(level + filled, recent) < Infinity;
        // Only what is filled is divided. With the level, the credits would exceed the tokens, and entries that call more
        // often would get more than those far from the leader.
        account.fairLevel = isShort ? computeMaxMinLevel(filled, recent) : Infinity;
        account.reserved = demands.reduce((sum, demand) => sum + reservation(demand), 0);
        account.dividedAt = now;
    };

    const grant = (
        account: Account,
        entry: string,
        { name, wanted }: AccountDemand,
        quota: AccountQuota,
    ): AccountGrant => {
        const now = clock.monotonicMilliseconds();
        const share = reach.share();
        const level = account.bucket.fill(quota, share);
        const requestsPerSecond = quota.requestsPerSecond * share;
        const demand = account.demands.get(entry) ??
            { unmet: 0, granted: 0, credit: 1, updatedAt: now, activeUntil: now };
        account.reserved -= reservation(demand);
        demand.unmet = wanted;
        demand.activeUntil = now + DEMAND_WINDOW_MS;
        account.demands.set(entry, demand);
        refresh(demand, account.fairLevel, now);
        account.reserved += reservation(demand);
        if (now >= account.dividedAt + DIVISION_AGE_MS) {
            divide(account, level, requestsPerSecond, now);
        }

        const reservedForOthers = Math.min(
            Math.max(0, account.reserved - reservation(demand)),
            Math.max(0, bucketDepth(quota) * RESERVED_DEPTH - 1),
        );
        const available = account.fairLevel === Infinity
            ? level
            : Math.max(Math.min(demand.credit, level), level - reservedForOthers);
        const granted = Math.max(0, Math.min(wanted, Math.floor(available + ROUNDING_ERROR)));
        account.bucket.take(granted);
        account.reserved -= reservation(demand);
        // An entry that has received more than its part pays for it, up to the part of one window.
        demand.credit = account.fairLevel === Infinity
            ? Math.max(0, demand.credit - granted)
            : Math.max(-Math.max(1, account.fairLevel), demand.credit - granted);
        demand.unmet = wanted - granted;
        demand.granted += granted;
        account.reserved += reservation(demand);
        if (granted === wanted) {
            return { name, granted, retryAfterMilliseconds: 0 };
        }

        const untilToken = account.bucket.untilToken(quota, share);
        const untilFairPart = reservedForOthers > 0
            ? Math.max(0, 1 - demand.credit) / account.fairLevel * DEMAND_WINDOW_MS
            : 0;
        const retryAfterMilliseconds = Math.ceil(
            Math.min(MAXIMUM_RETRY_AFTER_MS, Math.max(1, untilToken, untilFairPart)),
        );
        demand.activeUntil = now + Math.max(DEMAND_WINDOW_MS, retryAfterMilliseconds + RETURN_TIME_MS);
        return { name, granted, retryAfterMilliseconds };
    };

    const leaseAccount = (entry: string, request: AccountDemand): readonly AccountGrant[] => {
        const { name, wanted, returned } = request;
        const quota = options.findQuota(name);
        if (quota === undefined) {
            // The entry learns soon that the account has no limit anymore, or that it has been deleted.
            accounts.delete(name);
            return wanted === 0 ? [] : [{ name, granted: wanted, retryAfterMilliseconds: 0 }];
        }
        const account = getAccount(name);
        if (returned > 0) {
            account.bucket.credit(returned);
        }
        return wanted === 0 ? [] : [grant(account, entry, request, quota)];
    };

    return {
        lease: ({ entry, isBusy, accounts: requests }) => {
            reach.recordCall(entry, isBusy);
            return requests.flatMap(request => leaseAccount(entry, request));
        },
    };
}
