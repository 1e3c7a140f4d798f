/**
 * An entry's side of run-once records: begins and finishes attempts at the group of each key.
 */
import { type Clock, type Counters, NO_COUNTERS } from "@hyssopfront/coordination";
import { createHash, randomUUID } from "node:crypto";
import { PeerRequestKind } from "../sessions/messages.js";
import {
    type AttemptOutcome,
    AttemptOutcomeKind,
    awaitContentionReplySchema,
    type AwaitContentionRequest,
    beginReplySchema,
    type BeginRequest,
    BeginResult,
    type FinishRequest,
    type StoredResponse,
} from "./messages.js";

/** The group did not answer before the deadline; the attempt has not been, and never is, dispatched. */
export const GROUP_UNAVAILABLE = "unavailable";

export type RunOnceAttempt = {
    readonly tenant: string;
    readonly service: string;
    readonly key: string;
    readonly attempt: string;
};

export type BeginOutcome =
    | { readonly result: BeginResult.Started; readonly attempt: RunOnceAttempt }
    | { readonly result: BeginResult.Completed; readonly answer: StoredResponse }
    | { readonly result: Exclude<BeginResult, BeginResult.Started | BeginResult.Completed> | typeof GROUP_UNAVAILABLE };

export type RunOnceClient = {
    /** Only an answer `Started` allows to dispatch, and only once. */
    begin(request: {
        readonly tenant: string;
        readonly service: string;
        readonly key: string;
        readonly bodyHash: string;
        readonly deadlineMilliseconds: number;
    }): Promise<BeginOutcome>;
    /** Resolves when the group has recorded the outcome, or after a minute of tries. */
    finish(attempt: RunOnceAttempt, outcome: AttemptOutcome): Promise<void>;
    /**
     * Resolves with true when another attempt finds the key of this one in progress, and with false after the wait or
     * when the group does not tell.
     */
    awaitContention(attempt: RunOnceAttempt, waitMilliseconds: number): Promise<boolean>;
    /**
     * Tells each group that earlier processes of this entry have ended, so that the keys which they had under way answer
     * `unknown` at once. To be called when the entry has its session, which an earlier process can then not hold. Resolves
     * when each group has recorded it, after a minute of tries, or when the signal aborts.
     */
    reportIncarnation(signal?: AbortSignal): Promise<void>;
    /** Resolves when no `finish` is under way. */
    waitUntilIdle(): Promise<void>;
};

export type RunOnceClientOptions = {
    /** Names of all groups; the same set on every entry. */
    readonly groups: readonly string[];
    /** Sends a request to the leader of a group; every rejection means that the outcome is unknown. */
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

const CALL_MS = 1_000;
const FIRST_PAUSE_MS = 10;
const LONGEST_PAUSE_MS = 250;
/** Time in which what a group must learn is repeated. */
const REPEAT_MS = 60_000;
/** A group that answered nothing for longer than a change of its leader may take has lost its quorum. */
const GROUP_LOST_MS = 3_000;

const weightOf = (group: string, key: string) =>
    createHash("sha1").update(group).update("/").update(key).digest().readUIntBE(0, 6);

/**
 * Group of a key by rendezvous hashing, which does not depend on the order of the groups.
 *
 * @param groups At least one name.
 */
export function groupOfKey(groups: readonly string[], key: string): string {
    const lowerCaseKey = key.toLowerCase();
    return groups.reduce((best, group) => weightOf(group, lowerCaseKey) > weightOf(best, lowerCaseKey) ? group : best);
}

/**
 * Creates the client.
 */
export function createRunOnceClient(options: RunOnceClientOptions): RunOnceClient {
    const { clock } = options;
    const counters = options.counters ?? NO_COUNTERS;
    /** Since when every call to a group has failed. */
    const failingSince = new Map<string, number>();
    let finishing = 0;
    let idleWaiters: (() => void)[] = [];

    const groupOf = ({ key }: { readonly key: string }) => groupOfKey(options.groups, key);

    /** Calls a group once, and notes for how long it has not answered. */
    const callGroup = async (group: string, kind: PeerRequestKind, payload: object, milliseconds: number) => {
        try {
            const reply = await options.call(group, kind, payload, milliseconds);
            failingSince.delete(group);
            return { reply };
        }
        catch {
            counters.increment("run_once.call_retries", 1, { kind });
            if (!failingSince.has(group)) {
                failingSince.set(group, clock.monotonicMilliseconds());
            }
            return undefined;
        }
    };

    const isLost = (group: string) =>
        clock.monotonicMilliseconds() - (failingSince.get(group) ?? Infinity) >= GROUP_LOST_MS;

    /**
     * Repeats the call, with the same payload, until it is answered or the time is over. A begin ends early at a group that
     * has lost its quorum: its caller is told at once, instead of at its deadline, that the request is not run.
     */
    const callUntil = async (
        group: string,
        kind: PeerRequestKind,
        payload: object,
        deadlineAt: number,
        signal?: AbortSignal,
    ) => {
        for (let pause = FIRST_PAUSE_MS;; pause = Math.min(LONGEST_PAUSE_MS, pause * 2)) {
            const remaining = deadlineAt - clock.monotonicMilliseconds();
            if (remaining <= 0 || signal?.aborted === true) {
                return undefined;
            }
            const answer = await callGroup(group, kind, payload, Math.min(CALL_MS, remaining));
            if (answer !== undefined || kind === PeerRequestKind.BeginRunOnce && isLost(group)) {
                return answer;
            }
            await clock.sleep(Math.min(pause, remaining), signal).catch(() => undefined);
        }
    };

    const finish = async (attempt: RunOnceAttempt, outcome: AttemptOutcome): Promise<void> => {
        finishing += 1;
        try {
            const payload: FinishRequest = { ...attempt, outcome };
            const deadlineAt = clock.monotonicMilliseconds() + REPEAT_MS;
            const answer = await callUntil(groupOf(attempt), PeerRequestKind.FinishRunOnce, payload, deadlineAt);
            if (answer === undefined) {
                counters.increment("run_once.finish_lost");
            }
        }
        finally {
            finishing -= 1;
            if (finishing === 0) {
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
        const answer = await callUntil(groupOf(request), PeerRequestKind.BeginRunOnce, payload, deadlineAt);
        const parsed = beginReplySchema.safeParse(answer?.reply);
        if (!parsed.success) {
            counters.increment("run_once.unavailable");
            // The begin may have been recorded; the key is freed, as this attempt is certainly not dispatched.
            void finish(attempt, { kind: AttemptOutcomeKind.Rejected });
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
            const deadline = waitMilliseconds + CALL_MS;
            const reply = await options.call(groupOf(attempt), PeerRequestKind.AwaitContention, payload, deadline);
            return awaitContentionReplySchema.parse(reply).isContended;
        }
        catch {
            return false;
        }
    };

    const reportIncarnation = async (signal?: AbortSignal) => {
        const deadlineAt = clock.monotonicMilliseconds() + REPEAT_MS;
        await Promise.all(
            options.groups.map(group => callUntil(group, PeerRequestKind.ReportIncarnation, {}, deadlineAt, signal)),
        );
    };

    return {
        begin,
        finish,
        reportIncarnation,
        awaitContention,
        waitUntilIdle: () => finishing === 0 ? Promise.resolve() : new Promise(resolve => idleWaiters.push(resolve)),
    };
}
