/**
 * State of one client account at an entry.
 */
import type { AccountQuota } from "../client-account.js";
import { createDemandEstimate, type DemandEstimate } from "./demand-estimate.js";
import { createHeldTokens, type HeldTokens } from "./held-tokens.js";
import { createLocalShare, type LocalShare, type QuotaTolerance } from "./local-share.js";
import { type AccountDemand, DEMAND_WINDOW_MS, TOKEN_LIFETIME_MS } from "./quota-messages.js";
import { bucketDepth } from "./token-bucket.js";

/**
 * Expected requests of a window from which tokens are prefetched if the demand is sustained. Tokens for fewer would mostly
 * be unused, and other entries lack them meanwhile: with 450 entries a sixth of a quota was lost.
 */
const PREFETCH_MINIMUM = 2;
/** Part of the expected requests below which held tokens are replenished. Calls for other accounts then add few tokens. */
const REPLENISH_PART = 0.75;
/** Time before their expiry at which unused tokens are returned, in milliseconds; more than a round trip. */
const RETURN_BEFORE_EXPIRY_MS = 150;
/** Longest time after which a rejected caller should retry, in milliseconds; by then the demand has changed. */
const MAXIMUM_RETRY_AFTER_MS = 2_000;
/**
 * Time after the arrival of a token at which a caller should return, in milliseconds. A caller that returned a
 * millisecond before it was rejected again, for up to 2 s.
 */
const RETRY_MARGIN_MS = 20;

/** Decision about a request; a label of metrics. */
export enum QuotaOutcome {
    /** Admitted by a token of the leader. */
    Admitted = "admitted",
    /** Admitted by the local share of the entry, because no leader replies. */
    AdmittedLocally = "admitted-locally",
    /** Beyond the quota. */
    Exhausted = "exhausted",
    /** No leader replies, and no local share is left. */
    NoLeader = "no-leader",
}

/** Whether a request may be run. */
export type QuotaDecision = {
    readonly outcome: QuotaOutcome;
    /** Expiry of the token in monotonic milliseconds; only for requests that a token has admitted. */
    readonly expiresAt?: number;
    /** Time after which a rejected caller should retry, in milliseconds. */
    readonly retryAfterMilliseconds?: number;
};

export type AccountState = {
    readonly name: string;
    quota: AccountQuota;
    readonly tokens: HeldTokens;
    /** Requests of callers. */
    readonly demand: DemandEstimate;
    /** Requests that were admitted. */
    readonly admissions: DemandEstimate;
    readonly localShare: LocalShare;
    /** Requests that wait for the reply to a call. */
    waiting: ((decision: QuotaDecision) => void)[];
    /** Time until which the leader has no more tokens, in monotonic milliseconds. */
    exhaustedUntil: number;
    /** Time at which the caller that was rejected last should retry, in monotonic milliseconds. */
    lastRetryAt: number;
    /** Monotonic time in milliseconds of the last reply with fewer tokens than wanted, while the account is at its limit. */
    limitedAt: number | undefined;
};

/** Creates the state of an account without requests. */
export function createAccountState(name: string, quota: AccountQuota, options: {
    readonly tolerance: QuotaTolerance;
    readonly random: () => number;
}): AccountState {
    return {
        name,
        quota,
        tokens: createHeldTokens(),
        demand: createDemandEstimate(),
        admissions: createDemandEstimate(),
        localShare: createLocalShare(options),
        waiting: [],
        exhaustedUntil: -Infinity,
        lastRetryAt: -Infinity,
        limitedAt: undefined,
    };
}

/** Applies the current quota. Tokens beyond a lowered one are dropped. */
export function setQuota(state: AccountState, quota: AccountQuota): void {
    if (state.quota === quota) {
        return;
    }
    state.quota = quota;
    state.tokens.limit(Math.ceil(bucketDepth(quota) + quota.requestsPerSecond * TOKEN_LIFETIME_MS / 1_000));
}

/** Number of tokens that the entry should hold. */
function targetTokens(state: AccountState, now: number): number {
    const expected = state.demand.expected(now);
    if (expected >= PREFETCH_MINIMUM && state.demand.isSustained(now)) {
        return Math.ceil(expected);
    }
    // A caller that was told to return soon should find a token. One for a later return would expire unused.
    return now <= state.lastRetryAt && state.lastRetryAt < now + DEMAND_WINDOW_MS ? 1 : 0;
}

/** What a call to the leader states about an account. */
export type PlannedDemand = {
    /** Undefined if nothing is wanted or returned. */
    readonly demand: AccountDemand | undefined;
    /** Whether further calls will follow without a new request. */
    readonly isBusy: boolean;
    /** True for an account without recent requests and tokens. */
    readonly isIdle: boolean;
};

/** Determines what is wanted and returned, and removes the tokens that are returned. */
export function planDemand(state: AccountState, now: number): PlannedDemand {
    const { tokens, waiting, name } = state;
    const target = targetTokens(state, now);
    const returned = tokens.removeExpiringBefore(now + RETURN_BEFORE_EXPIRY_MS, now);
    const held = tokens.count(now);
    const wanted = waiting.length + (held < target * REPLENISH_PART ? target - held : 0);
    return {
        demand: wanted > 0 || returned > 0 ? { name, wanted, returned } : undefined,
        isBusy: target > 0 || held > 0,
        isIdle: held === 0 && waiting.length === 0 && state.demand.expected(now) === 0,
    };
}

/** Takes a token of the leader for a request; undefined if none is held. */
export function admitByToken(state: AccountState, now: number): QuotaDecision | undefined {
    const expiresAt = state.tokens.take(now);
    if (expiresAt === undefined) {
        return undefined;
    }
    state.admissions.increment(now);
    return { outcome: QuotaOutcome.Admitted, expiresAt };
}

/**
 * Rejects a request beyond the quota. Callers are told to retry one after the other, at the pace at which this entry gets
 * tokens, so that they do not return at once for the next one.
 */
export function rejectExhausted(state: AccountState, now: number): QuotaDecision {
    const admitted = state.admissions.expected(now);
    const interval = Math.max(
        1_000 / state.quota.requestsPerSecond,
        admitted > 0 ? DEMAND_WINDOW_MS / admitted : 0,
    );
    const retryAt = Math.min(
        now + MAXIMUM_RETRY_AFTER_MS,
        Math.max(state.exhaustedUntil + RETRY_MARGIN_MS, state.lastRetryAt + interval),
    );
    state.lastRetryAt = retryAt;
    return { outcome: QuotaOutcome.Exhausted, retryAfterMilliseconds: Math.max(1, retryAt - now) };
}
