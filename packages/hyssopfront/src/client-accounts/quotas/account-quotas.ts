/**
 * Quotas of client accounts at an entry. Requests are admitted by tokens of the control leader, or by the local share of
 * the entry while no leader replies.
 */
import type { Clock, Counters } from "@hyssopfront/coordination";
import { EventLevel, type EventLog } from "../../event-log/event-log.js";
import type { Timers } from "../../routing/timers.js";
import type { ClientAccount } from "../client-account.js";
import {
    type AccountState,
    admitByToken,
    createAccountState,
    planDemand,
    type QuotaDecision,
    QuotaOutcome,
    rejectExhausted,
    setQuota,
} from "./account-state.js";
import { createEntryCountPeak } from "./entry-count.js";
import type { LeaderCalls } from "./leader-calls.js";
import type { QuotaTolerance } from "./local-share.js";
import { type AccountGrant, DEMAND_WINDOW_MS, TOKEN_LIFETIME_MS } from "./quota-messages.js";

/** Time between two calls that no request waits for, in milliseconds; prefetched tokens last for two of them. */
const CALL_INTERVAL_MS = 100;
/**
 * Shortest time between two calls, in milliseconds. Nine tenths of the processor time of a call are for its message, so
 * the calls of requests that arrive shortly after each other are combined.
 */
const MINIMUM_CALL_INTERVAL_MS = 20;
/** Age up to which the loss of the leader is assumed to last, in milliseconds. While there are requests, calls go on. */
const LOSS_AGE_MS = 1_000;
/** Time after which callers that were rejected without a leader should retry, in milliseconds; an election takes longer. */
const NO_LEADER_RETRY_MS = 300;
/** Part of a retry time that is random, so that callers do not return at once. */
const RETRY_JITTER = 0.2;
/** Time without a shortage after which an account is no longer at its limit, in milliseconds; shorter gaps are usual. */
const LIMIT_MEMORY_MS = 10_000;

/** Admits the requests of client accounts with a quota. */
export type AccountQuotas = {
    /** Takes a token, waiting for one round trip if needed. */
    acquire(account: ClientAccount): Promise<QuotaDecision>;
    /** Refunds the token of a request that was not run. It expires at the same time as before. */
    refund(account: string, decision: QuotaDecision): void;
    /** Records the current number of entries, by which a quota is divided while no leader replies. */
    recordEntryCount(): void;
};

/** Whether a decision admits its request. */
export const isAdmitted = ({ outcome }: QuotaDecision) =>
    outcome === QuotaOutcome.Admitted || outcome === QuotaOutcome.AdmittedLocally;

/**
 * Creates the quotas of an entry. Without requests of accounts with a quota there are no calls and no timers.
 *
 * @param options.entry Name of this entry.
 * @param options.entryCount Returns the current number of entries, this one included.
 */
export function createAccountQuotas(options: {
    readonly clock: Clock;
    readonly timers: Timers;
    readonly counters: Counters;
    readonly log: EventLog;
    readonly random: () => number;
    readonly entry: string;
    readonly entryCount: () => number;
    readonly tolerance: QuotaTolerance;
    readonly leaderCalls: LeaderCalls;
}): AccountQuotas {
    const { clock, counters, log } = options;
    const states = new Map<string, AccountState>();
    /** Accounts with recent requests or tokens; only these take part in calls. */
    const active = new Set<AccountState>();
    const entryCountPeak = createEntryCountPeak();
    let isCalling = false;
    let cancelTimer: (() => void) | undefined;
    let sentAt = -Infinity;
    let wasBusy = false;
    let leader: string | undefined;
    /** Monotonic times in milliseconds of the first and the last call without a reply, while no leader replies. */
    let loss: { readonly since: number; latestAt: number } | undefined;

    const recordEntryCount = () =>
        entryCountPeak.record(options.entryCount(), loss === undefined, clock.monotonicMilliseconds());

    const getState = (account: ClientAccount, quota: NonNullable<ClientAccount["quota"]>) => {
        const existing = states.get(account.name);
        if (existing !== undefined) {
            setQuota(existing, quota);
            return existing;
        }
        const state = createAccountState(account.name, quota, options);
        states.set(account.name, state);
        return state;
    };

    const decideLocally = (state: AccountState, now: number): QuotaDecision => {
        recordEntryCount();
        if (state.localShare.take(state.quota, entryCountPeak.value(), now)) {
            return { outcome: QuotaOutcome.AdmittedLocally };
        }
        if (now < state.exhaustedUntil) {
            return rejectExhausted(state, now);
        }
        const jitter = 1 + RETRY_JITTER * options.random();
        return { outcome: QuotaOutcome.NoLeader, retryAfterMilliseconds: NO_LEADER_RETRY_MS * jitter };
    };

    const resolveWaiting = (state: AccountState, decide: () => QuotaDecision | undefined) => {
        while (state.waiting.length > 0) {
            const decision = decide();
            if (decision === undefined) {
                return;
            }
            state.waiting.shift()?.(decision);
        }
    };

    const recordLimit = (state: AccountState, isShort: boolean, now: number) => {
        const { name: account, limitedAt, quota } = state;
        if (isShort) {
            state.limitedAt = now;
            if (limitedAt === undefined) {
                log(EventLevel.Info, "account at its limit", { account, ...quota });
            }
        }
        else if (limitedAt !== undefined && now > limitedAt + LIMIT_MEMORY_MS) {
            state.limitedAt = undefined;
            log(EventLevel.Info, "account below its limit again", { account });
        }
    };

    const applyGrant = (grant: AccountGrant, wanted: number, expiresAt: number) => {
        const state = states.get(grant.name);
        if (state === undefined) {
            return;
        }
        const now = clock.monotonicMilliseconds();
        const isShort = grant.granted < wanted;
        state.tokens.add(grant.granted, expiresAt);
        state.exhaustedUntil = isShort ? now + grant.retryAfterMilliseconds : -Infinity;
        recordLimit(state, isShort, now);
        resolveWaiting(state, () => admitByToken(state, now) ?? (isShort ? rejectExhausted(state, now) : undefined));
    };

    const recordLeader = (name: string, now: number) => {
        if (loss !== undefined) {
            log(EventLevel.Info, "quota leader replies again", {
                leader: name,
                lostMilliseconds: Math.round(now - loss.since),
            });
            states.forEach(({ localShare }) => localShare.suspend(now));
        }
        loss = undefined;
        leader = name;
    };
    const recordLoss = (error: string, now: number) => {
        if (loss === undefined) {
            log(EventLevel.Warning, "quota leader lost", { leader, error });
        }
        loss = { since: loss?.since ?? now, latestAt: now };
        active.forEach(state => resolveWaiting(state, () => decideLocally(state, now)));
    };

    const planCall = (now: number) => {
        const plans = [...active].map(state => ({ state, ...planDemand(state, now) }));
        plans.filter(({ isIdle }) => isIdle).forEach(({ state }) => active.delete(state));
        return {
            isBusy: plans.some(plan => plan.isBusy),
            accounts: plans.flatMap(({ demand }) => demand ?? []),
        };
    };

    const call = async () => {
        const now = clock.monotonicMilliseconds();
        const { isBusy, accounts } = planCall(now);
        const isDue = wasBusy && (!isBusy || now >= sentAt + DEMAND_WINDOW_MS);
        if (accounts.length > 0 || isDue) {
            sentAt = now;
            wasBusy = isBusy;
            isCalling = true;
            const result = await options.leaderCalls.lease({ entry: options.entry, isBusy, accounts });
            isCalling = false;
            const repliedAt = clock.monotonicMilliseconds();
            counters.increment("gateway.quota_calls", 1, {
                outcome: result.leader === undefined ? "failed" : "replied",
            });
            if (result.leader === undefined) {
                recordLoss(result.error, repliedAt);
            }
            else {
                recordLeader(result.leader, repliedAt);
                const wanted = new Map(accounts.map(demand => [demand.name, demand.wanted]));
                result.accounts.forEach(grant =>
                    applyGrant(grant, wanted.get(grant.name) ?? 0, now + TOKEN_LIFETIME_MS)
                );
            }
        }
        if ([...active].some(({ waiting }) => waiting.length > 0)) {
            callSoon();
        }
        else {
            scheduleCall();
        }
    };
    const startTimer = (dueAt: number) => {
        cancelTimer?.();
        cancelTimer = options.timers.start(dueAt, () => {
            cancelTimer = undefined;
            void call();
        });
    };
    const callSoon = () => {
        if (isCalling) {
            return;
        }
        if (clock.monotonicMilliseconds() < sentAt + MINIMUM_CALL_INTERVAL_MS) {
            startTimer(sentAt + MINIMUM_CALL_INTERVAL_MS);
            return;
        }
        cancelTimer?.();
        cancelTimer = undefined;
        void call();
    };
    const scheduleCall = () => {
        if (!isCalling && cancelTimer === undefined && active.size > 0) {
            startTimer(Math.max(clock.monotonicMilliseconds() + 1, sentAt + CALL_INTERVAL_MS));
        }
    };

    const decide = (state: AccountState): QuotaDecision | Promise<QuotaDecision> => {
        const now = clock.monotonicMilliseconds();
        state.demand.increment(now);
        active.add(state);
        const isLost = loss !== undefined && now < loss.latestAt + LOSS_AGE_MS;
        const decision = (state.waiting.length === 0 ? admitByToken(state, now) : undefined)
            ?? (isLost ? decideLocally(state, now) : undefined)
            ?? (now < state.exhaustedUntil ? rejectExhausted(state, now) : undefined);
        if (decision !== undefined) {
            scheduleCall();
            return decision;
        }
        return new Promise(resolve => {
            state.waiting.push(resolve);
            callSoon();
        });
    };

    return {
        acquire: async account => {
            if (account.quota === undefined) {
                return { outcome: QuotaOutcome.Admitted };
            }
            const decision = await decide(getState(account, account.quota));
            counters.increment("gateway.quota_requests", 1, { account: account.name, outcome: decision.outcome });
            return decision;
        },
        refund: (account, { outcome, expiresAt }) => {
            const state = states.get(account);
            if (state === undefined) {
                return;
            }
            counters.increment("gateway.quota_refunds", 1, { account });
            if (outcome === QuotaOutcome.AdmittedLocally) {
                state.localShare.refund();
            }
            else if (expiresAt !== undefined && expiresAt > clock.monotonicMilliseconds()) {
                state.tokens.add(1, expiresAt);
                active.add(state);
                scheduleCall();
            }
        },
        recordEntryCount,
    };
}
