/**
 * Specification of run-once requests: an entry begins an attempt, dispatches the request and reports the outcome.
 *
 * The caller sends one idempotency key once to each entry. The run-once group of the key is modeled as one linearizable
 * record, which its replicated log provides. Messages to the group may arrive several times, late or never; replies may
 * be lost.
 */
import type { Specification, Step } from "../explorer/explore.js";

/** Deliberate implementation defects. Exploring the specification with one of them must find a violation. */
export enum RunOnceDefect {
    None = "none",
    /** The entry dispatches the request without beginning an attempt. */
    DispatchBeforeBegin = "dispatchBeforeBegin",
    /** The loss of a backend server's response releases the key, although the request may have run. */
    UnknownOutcomeFreesKey = "unknownFreesKey",
    /** The entry dispatches on a late reply `started`, after it has responded that the request was not run. */
    DispatchAfterGivingUp = "dispatchAfterGivingUp",
    /** The rejection of one attempt releases the key while another attempt holds it. */
    RejectionFreesOtherAttempt = "refusalOfOtherAttempt",
    /** The group starts a second attempt while the first is in progress. */
    SecondAttemptStarts = "secondAttemptStarts",
}

/** Progress of an attempt at its entry. */
enum Phase {
    Idle = "idle",
    /** The entry has sent a begin and awaits the reply. */
    Waiting = "waiting",
    Dispatched = "dispatched",
    /** The backend server has run the request, and its response has not arrived yet. */
    Ran = "ran",
    /** The backend server has rejected the request without running it. */
    Rejected = "rejected",
    /** The caller has received the response of the backend server. */
    RespondedCompleted = "respondedCompleted",
    /** The caller has received the response that the request was not run. */
    RespondedNotRun = "respondedNotRun",
    /** The caller has received the response that the request may have run. */
    RespondedUnknown = "respondedUnknown",
    Crashed = "crashed",
}

/** Outcome of an attempt; `refused` means that the request was certainly not run. */
type Outcome = "completed" | "refused" | "unknown";

type Attempt = {
    readonly phase: Phase;
    /** True once the entry has sent a begin, which may arrive at any time from then on. */
    readonly hasBegun: boolean;
    /** True once the backend server has run the request. */
    readonly hasRun: boolean;
    /** True once the caller has received the response that the request was not run. */
    readonly hasRespondedNotRun: boolean;
    /** Outcome that the entry has sent to the group; it may arrive at any time from then on. */
    readonly reportedOutcome?: Outcome;
};

/** Record of the key; `attempt` is the index of the attempt that holds it, or -1 while the key is free. */
type GroupRecord = { readonly state: "free" | "inProgress" | Outcome; readonly attempt: number };

export type RunOnceState = {
    /** Attempt at each entry. */
    readonly attempts: readonly Attempt[];
    readonly record: GroupRecord;
    /** Attempts whose rejection the group has applied. A begin of theirs that arrives later does not start. */
    readonly releasedAttempts: readonly number[];
};

const IDLE_ATTEMPT: Attempt = { phase: Phase.Idle, hasBegun: false, hasRun: false, hasRespondedNotRun: false };
const FREE_RECORD: GroupRecord = { state: "free", attempt: -1 };

/** Steps of an entry and its backend server in each phase: label, and the change of the attempt. */
const ENTRY_STEPS: Readonly<Record<Phase, readonly (readonly [label: string, change: Partial<Attempt>])[]>> = {
    [Phase.Idle]: [["sends begin", { phase: Phase.Waiting, hasBegun: true }]],
    [Phase.Waiting]: [
        ["crashes", { phase: Phase.Crashed }],
        ["gives up waiting", { phase: Phase.RespondedNotRun, hasRespondedNotRun: true, reportedOutcome: "refused" }],
    ],
    [Phase.Dispatched]: [
        ["crashes", { phase: Phase.Crashed }],
        // The request has been sent, so the backend server may run it after the entry has crashed.
        ["crashes, backend server runs the request", { phase: Phase.Crashed, hasRun: true }],
        ["backend server runs the request", { phase: Phase.Ran, hasRun: true }],
        ["backend server rejects the request", { phase: Phase.Rejected }],
    ],
    [Phase.Ran]: [
        ["crashes", { phase: Phase.Crashed }],
        ["response arrives", { phase: Phase.RespondedCompleted, reportedOutcome: "completed" }],
        ["response is lost", { phase: Phase.RespondedUnknown, reportedOutcome: "unknown" }],
    ],
    [Phase.Rejected]: [
        ["crashes", { phase: Phase.Crashed }],
        ["rejection arrives", { phase: Phase.RespondedNotRun, hasRespondedNotRun: true, reportedOutcome: "refused" }],
        ["rejection is lost", { phase: Phase.RespondedUnknown, reportedOutcome: "unknown" }],
    ],
    [Phase.RespondedCompleted]: [],
    [Phase.RespondedNotRun]: [],
    [Phase.RespondedUnknown]: [],
    [Phase.Crashed]: [],
};

/**
 * Creates the specification.
 *
 * @param attempts Number of entries that the caller sends the key to, with one attempt each.
 * @param defect Defect to include; `None` for the protocol as implemented.
 */
export function specifyRunOnce(attempts: number, defect: RunOnceDefect): Specification<RunOnceState> {
    const attemptIndexes = Array.from({ length: attempts }, (_, index) => index);

    const updateAttempt = (state: RunOnceState, index: number, changed: Partial<Attempt>): RunOnceState => ({
        ...state,
        attempts: state.attempts.map((attempt, at) => at === index ? { ...attempt, ...changed } : attempt),
    });

    const stepEntry = (state: RunOnceState, index: number): Step<RunOnceState>[] => {
        const { phase } = state.attempts[index]!;
        if (phase === Phase.Idle && defect === RunOnceDefect.DispatchBeforeBegin) {
            const dispatched = updateAttempt(state, index, { phase: Phase.Dispatched, hasBegun: true });
            return [{ label: `${index} dispatches the request`, state: dispatched }];
        }
        return ENTRY_STEPS[phase].map(([label, changed]) => ({
            label: `${index}: ${label}`,
            state: updateAttempt(state, index, changed),
        }));
    };

    const mayStart = ({ record, releasedAttempts }: RunOnceState, index: number) =>
        record.state === "inProgress"
            ? record.attempt === index || defect === RunOnceDefect.SecondAttemptStarts
            : record.state === "free" && !releasedAttempts.includes(index);

    /** The group applies a begin, and its reply arrives or is lost. */
    const applyBegin = (state: RunOnceState, index: number): Step<RunOnceState>[] => {
        const attempt = state.attempts[index]!;
        if (!attempt.hasBegun) {
            return [];
        }
        const isStarted = mayStart(state, index);
        const record: GroupRecord = isStarted ? { state: "inProgress", attempt: index } : state.record;
        const after = { ...state, record };
        const replyLost = { label: `begin of ${index} is applied, reply lost`, state: after };
        const isLateDispatch = attempt.phase === Phase.RespondedNotRun &&
            defect === RunOnceDefect.DispatchAfterGivingUp;
        if (attempt.phase !== Phase.Waiting && !isLateDispatch) {
            return [replyLost];
        }
        const respondedPhase = state.record.state === "completed" ? Phase.RespondedCompleted : Phase.RespondedUnknown;
        const reply = isStarted ? "started" : state.record.state;
        const phase = isStarted ? Phase.Dispatched : respondedPhase;
        return [replyLost, {
            label: `begin of ${index} gets the reply: ${reply}`,
            state: updateAttempt(after, index, { phase }),
        }];
    };

    const applyFinish = (state: RunOnceState, index: number): Step<RunOnceState>[] => {
        const { reportedOutcome } = state.attempts[index]!;
        if (reportedOutcome === undefined) {
            return [];
        }
        const isRejected = reportedOutcome === "refused";
        const isOwnAttempt = state.record.state === "inProgress" && state.record.attempt === index;
        const changesRecord = isOwnAttempt || (isRejected && defect === RunOnceDefect.RejectionFreesOtherAttempt);
        const releasesKey = isRejected ||
            (reportedOutcome === "unknown" && defect === RunOnceDefect.UnknownOutcomeFreesKey);
        const record: GroupRecord = releasesKey ? FREE_RECORD : { state: reportedOutcome, attempt: index };
        const releasedAttempts = isRejected && !state.releasedAttempts.includes(index)
            ? [...state.releasedAttempts, index].sort()
            : state.releasedAttempts;
        return [{
            label: `finish of ${index} is applied: ${reportedOutcome}`,
            state: { ...state, releasedAttempts, record: changesRecord ? record : state.record },
        }];
    };

    return {
        name: `run-once (${defect})`,
        initial: { attempts: attemptIndexes.map(() => IDLE_ATTEMPT), record: FREE_RECORD, releasedAttempts: [] },
        next: state =>
            attemptIndexes.flatMap(index =>
                [stepEntry, applyBegin, applyFinish].flatMap(action => action(state, index))
            ),
        findViolation: state => {
            if (state.attempts.filter(attempt => attempt.hasRun).length > 1) {
                return "the request ran twice";
            }
            if (state.attempts.some(attempt => attempt.hasRespondedNotRun && attempt.hasRun)) {
                return "a caller was told that its request was not run, and it was";
            }
            return undefined;
        },
        encode: state => JSON.stringify(state),
    };
}
