/**
 * Client of the run-once groups, used by entries: begins and finishes attempts at the group that owns the key.
 */
import { type Clock, type Counters, NO_COUNTERS, PeerError } from "@hyssopfront/coordination";
import { createHash, randomUUID } from "node:crypto";
import { PeerRequestKind } from "../sessions/messages.js";
import { createConcurrencyLimit } from "./concurrency-limit.js";
import {
    type AttemptOutcome,
    AttemptOutcomeKind,
    awaitContentionReplySchema,
    type AwaitContentionRequest,
    beginReplySchema,
    type BeginRequest,
    BeginResult,
    type FinishRequest,
    NOT_LEADER_CODE,
    type StoredResponse,
} from "./messages.js";

/** The group did not reply in time. The attempt has not been dispatched and never will be. */
export const GROUP_UNAVAILABLE = "unavailable";

/** One attempt to run the request of an idempotency key. `attempt` is a random UUID. */
export type RunOnceAttempt = {
    readonly tenant: string;
    readonly service: string;
    readonly key: string;
    readonly attempt: string;
};

/** Result of beginning an attempt; `answer` is the stored response of the completed attempt. */
export type BeginOutcome =
    | { readonly result: BeginResult.Started; readonly attempt: RunOnceAttempt }
    | { readonly result: BeginResult.Completed; readonly answer: StoredResponse }
    | { readonly result: Exclude<BeginResult, BeginResult.Started | BeginResult.Completed> | typeof GROUP_UNAVAILABLE };

/** Client of the run-once groups. */
export type RunOnceClient = {
    /** Begins an attempt. Only the result `Started` allows the caller to dispatch the request, and only once. */
    begin(request: {
        readonly tenant: string;
        readonly service: string;
        readonly key: string;
        readonly bodyHash: string;
        readonly deadlineMilliseconds: number;
    }): Promise<BeginOutcome>;
    /** Reports the outcome of an attempt. Resolves when the group has recorded it, or after retries for one minute. */
    finish(attempt: RunOnceAttempt, outcome: AttemptOutcome): Promise<void>;
    /**
     * Resolves with true when another attempt finds the key of this attempt in progress, and with false when the wait
     * ends first or the call to the group fails.
     */
    awaitContention(attempt: RunOnceAttempt, waitMilliseconds: number): Promise<boolean>;
    /**
     * Reports to each group that earlier processes of this entry have ended, so that the keys they had in progress
     * become `Unknown` at once. Must be called only after the entry has its session, because an earlier process can
     * then no longer hold it. Resolves when each group has recorded the report, after retries for one minute, or when
     * the signal aborts.
     */
    reportIncarnation(signal?: AbortSignal): Promise<void>;
    /** Resolves when no call of `finish` is pending. */
    waitUntilIdle(): Promise<void>;
};

/** Options of the client. */
export type RunOnceClientOptions = {
    /** Names of all run-once groups. Every entry must have the same set. */
    readonly groups: readonly string[];
    /** Sends a request to the leader of a group. A rejected promise means that the outcome is unknown. */
    readonly call: (
        group: string,
        kind: PeerRequestKind,
        payload: unknown,
        deadlineMilliseconds: number,
    ) => Promise<unknown>;
    readonly clock: Clock;
    readonly entry: string;
    readonly incarnation: string;
    readonly counters?: Counters;
};

const CALL_TIMEOUT_MS = 1_000;
const INITIAL_RETRY_DELAY_MS = 10;
const MAXIMUM_RETRY_DELAY_MS = 250;
/** Time for which outcomes and incarnations are retried. */
const RETRY_DURATION_MS = 60_000;
/**
 * Outcomes of one group that an entry reports again at once. After an outage thousands can wait, and all entries
 * together must leave the group enough time for new requests.
 */
const MAXIMUM_CONCURRENT_RETRIES = 4;
/** A group that has not replied for longer than a leader change can take has lost its quorum. */
const QUORUM_LOSS_THRESHOLD_MS = 3_000;

const isCertainlyNotRecorded = (error: unknown) =>
    error instanceof PeerError && (error.isCertainlyNotRun || error.code === NOT_LEADER_CODE);

const computeWeight = (group: string, key: string) =>
    createHash("sha1").update(group).update("/").update(key).digest().readUIntBE(0, 6);

/**
 * Selects the group that owns a key by rendezvous hashing, which does not depend on the order of the groups.
 *
 * @param groups Names of all groups, at least one.
 * @param key Idempotency key, in upper or lower case.
 * @returns Name of the group.
 */
export function selectGroup(groups: readonly string[], key: string): string {
    const lowerCaseKey = key.toLowerCase();
    return groups.reduce((best, group) =>
        computeWeight(group, lowerCaseKey) > computeWeight(best, lowerCaseKey) ? group : best
    );
}

/**
 * Creates a client.
 */
export function createRunOnceClient(options: RunOnceClientOptions): RunOnceClient {
    const { clock } = options;
    const counters = options.counters ?? NO_COUNTERS;
    /** Time of the first failure since the last reply, for each group whose last call failed. */
    const failingSince = new Map<string, number>();
    let pendingFinishCount = 0;
    let idleWaiters: (() => void)[] = [];

    const selectGroupOfRequest = ({ key }: { readonly key: string }) => selectGroup(options.groups, key);

    const retryLimits = new Map(options.groups.map(name => [name, createConcurrencyLimit(MAXIMUM_CONCURRENT_RETRIES)]));

    /**
     * Calls a group once and tracks since when its calls have failed.
     *
     * @param onUncertain Called when the call failed, but may have been recorded.
     */
    const callGroup = async (
        group: string,
        kind: PeerRequestKind,
        payload: object,
        milliseconds: number,
        onUncertain?: () => void,
    ) => {
        try {
            const reply = await options.call(group, kind, payload, milliseconds);
            failingSince.delete(group);
            return { reply };
        }
        catch (error) {
            if (!isCertainlyNotRecorded(error)) {
                onUncertain?.();
            }
            counters.increment("run_once.call_retries", 1, { kind });
            if (!failingSince.has(group)) {
                failingSince.set(group, clock.monotonicMilliseconds());
            }
            return undefined;
        }
    };

    const hasLostQuorum = (group: string) =>
        clock.monotonicMilliseconds() - (failingSince.get(group) ?? Infinity) >= QUORUM_LOSS_THRESHOLD_MS;

    /**
     * Retries a call with the same payload until the group replies or the deadline passes. A begin stops early at a
     * group that has lost its quorum, so that its caller does not wait until the deadline to have its request rejected.
     */
    const callWithRetries = async (
        group: string,
        kind: PeerRequestKind,
        payload: object,
        deadlineAt: number,
        { signal, onUncertain }: { readonly signal?: AbortSignal; readonly onUncertain?: () => void } = {},
    ) => {
        for (let retryDelay = INITIAL_RETRY_DELAY_MS;; retryDelay = Math.min(MAXIMUM_RETRY_DELAY_MS, retryDelay * 2)) {
            const remainingMilliseconds = deadlineAt - clock.monotonicMilliseconds();
            if (remainingMilliseconds <= 0 || signal?.aborted === true) {
                return undefined;
            }
            const callTimeout = Math.min(CALL_TIMEOUT_MS, remainingMilliseconds);
            const callResult = await callGroup(group, kind, payload, callTimeout, onUncertain);
            if (callResult !== undefined || kind === PeerRequestKind.BeginRunOnce && hasLostQuorum(group)) {
                return callResult;
            }
            await clock.sleep(Math.min(retryDelay, remainingMilliseconds), signal).catch(() => undefined);
        }
    };

    /**
     * Reports an outcome until the group has recorded it, or its deadline passes.
     *
     * The retries of all outcomes share a few places, each for one call and the pause before it. Otherwise the
     * outcomes of an outage, which are more the longer it lasts, would keep the group from serving requests after it.
     */
    const report = async (payload: FinishRequest): Promise<boolean> => {
        const group = selectGroupOfRequest(payload);
        const deadlineAt = clock.monotonicMilliseconds() + RETRY_DURATION_MS;
        const hasExpired = () => clock.monotonicMilliseconds() >= deadlineAt;
        const callOnce = () => callGroup(group, PeerRequestKind.FinishRunOnce, payload, CALL_TIMEOUT_MS);
        let callResult = failingSince.has(group) ? undefined : await callOnce();
        for (let retryDelay = INITIAL_RETRY_DELAY_MS; callResult === undefined; retryDelay *= 2) {
            callResult = await retryLimits.get(group)?.(async () => {
                if (hasExpired()) {
                    return undefined;
                }
                const failingMilliseconds = clock.monotonicMilliseconds() - (failingSince.get(group) ?? Infinity);
                await clock.sleep(Math.min(MAXIMUM_RETRY_DELAY_MS, Math.max(retryDelay, failingMilliseconds)));
                return callOnce();
            });
            if (callResult === undefined && hasExpired()) {
                return false;
            }
        }
        return true;
    };

    const finish = async (attempt: RunOnceAttempt, outcome: AttemptOutcome): Promise<void> => {
        pendingFinishCount += 1;
        try {
            if (!await report({ ...attempt, outcome })) {
                counters.increment("run_once.finish_lost");
            }
        }
        finally {
            pendingFinishCount -= 1;
            if (pendingFinishCount === 0) {
                idleWaiters.forEach(resolve => resolve());
                idleWaiters = [];
            }
        }
    };

    const begin: RunOnceClient["begin"] = async request => {
        const attempt: RunOnceAttempt = {
            tenant: request.tenant,
            service: request.service,
            key: request.key,
            attempt: randomUUID(),
        };
        const payload: BeginRequest = {
            ...attempt,
            bodyHash: request.bodyHash,
            deadlineMilliseconds: request.deadlineMilliseconds,
            entry: options.entry,
            incarnation: options.incarnation,
        };
        const deadlineAt = clock.monotonicMilliseconds() + request.deadlineMilliseconds;
        let mayBeRecorded = false;
        const callResult = await callWithRetries(
            selectGroupOfRequest(request),
            PeerRequestKind.BeginRunOnce,
            payload,
            deadlineAt,
            { onUncertain: () => mayBeRecorded = true },
        );
        const parsed = beginReplySchema.safeParse(callResult?.reply);
        if (!parsed.success) {
            counters.increment("run_once.unavailable");
            if (mayBeRecorded || callResult !== undefined) {
                // This attempt is never dispatched, so its key can be released.
                void finish(attempt, { kind: AttemptOutcomeKind.Rejected });
            }
            return { result: GROUP_UNAVAILABLE };
        }
        counters.increment("run_once.begin", 1, { result: parsed.data.result });
        if (parsed.data.result === BeginResult.Completed) {
            return parsed.data;
        }
        const { result } = parsed.data;
        return result === BeginResult.Started ? { result, attempt } : { result };
    };

    const awaitContention: RunOnceClient["awaitContention"] = async (attempt, waitMilliseconds) => {
        const payload: AwaitContentionRequest = { ...attempt, waitMilliseconds };
        try {
            const timeoutMilliseconds = waitMilliseconds + CALL_TIMEOUT_MS;
            const reply = await options.call(
                selectGroupOfRequest(attempt),
                PeerRequestKind.AwaitContention,
                payload,
                timeoutMilliseconds,
            );
            return awaitContentionReplySchema.parse(reply).isContended;
        }
        catch {
            return false;
        }
    };

    const reportIncarnation = async (signal?: AbortSignal) => {
        const deadlineAt = clock.monotonicMilliseconds() + RETRY_DURATION_MS;
        await Promise.all(
            options.groups.map(group =>
                callWithRetries(group, PeerRequestKind.ReportIncarnation, {}, deadlineAt, { signal })
            ),
        );
    };

    return {
        begin,
        finish,
        reportIncarnation,
        awaitContention,
        waitUntilIdle: () =>
            pendingFinishCount === 0 ? Promise.resolve() : new Promise(resolve => idleWaiters.push(resolve)),
    };
}
