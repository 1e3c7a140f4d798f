/**
 * Specification of run-once records: begin, dispatch, finish.
 *
 * One key is sent by its caller once to each entry. The group of the key is one linearizable record, as the replicated
 * log provides it. Requests to the group may arrive several times, late or never; replies may be lost.
 */
import type { Specification, Step } from "../explorer/explore.js";

/** Faults of an implementation that the specification must reveal. */
export enum RunOnceDefect {
    None = "none",
    /** The entry dispatches without a record. */
    DispatchBeforeBegin = "dispatchBeforeBegin",
    /** A lost answer of a backend server frees the key. */
    UnknownFreesKey = "unknownFreesKey",
    /** A late reply `Started` is acted upon after the caller was told that the request was not run. */
    DispatchAfterGivingUp = "dispatchAfterGivingUp",
    /** A refusal by one attempt frees the key of another. */
    RefusalOfOtherAttempt = "refusalOfOtherAttempt",
    /** The record accepts a second attempt while the first is in progress. */
    SecondAttemptStarts = "secondAttemptStarts",
}

enum Phase {
    Idle = "idle",
    /** A begin was sent. */
    Waiting = "waiting",
    Dispatched = "dispatched",
    /** The backend server ran the request, and its answer is on the way. */
    Ran = "ran",
    /** The backend server refused before running. */
    Refused = "refused",
    CallerResponse = "toldAnswer",
    ToldNotRun = "toldNotRun",
    ToldUnknown = "toldUnknown",
    Crashed = "crashed",
}

type Outcome = "completed" | "refused" | "unknown";

type Attempt = {
    readonly phase: Phase;
    readonly hasBegun: boolean;
    readonly hasRun: boolean;
    readonly wasToldNotRun: boolean;
    /** Outcome that was sent to the group; it may arrive from then on. */
    readonly finish?: Outcome;
};

type GroupRecord = { readonly state: "free" | "inProgress" | Outcome; readonly attempt: number };

export type RunOnceState = {
    readonly attempts: readonly Attempt[];
    readonly record: GroupRecord;
    /** Attempts whose refusal was applied; a late begin of theirs does not start. */
    readonly freed: readonly number[];
};

const IDLE: Attempt = { phase: Phase.Idle, hasBegun: false, hasRun: false, wasToldNotRun: false };
const FREE: GroupRecord = { state: "free", attempt: -1 };

/** What an entry and its backend server may do in each phase, the steps of the group excepted. */
const ENTRY_STEPS: Readonly<Record<Phase, readonly (readonly [label: string, change: Partial<Attempt>])[]>> = {
    [Phase.Idle]: [["sends begin", { phase: Phase.Waiting, hasBegun: true }]],
    [Phase.Waiting]: [
        ["crashes", { phase: Phase.Crashed }],
        ["gives up", { phase: Phase.ToldNotRun, wasToldNotRun: true, finish: "refused" }],
    ],
    [Phase.Dispatched]: [
        ["crashes", { phase: Phase.Crashed }],
        // The request is on its way: the backend server may run it after the entry has crashed.
        ["crashes, backend server runs it", { phase: Phase.Crashed, hasRun: true }],
        ["backend server runs it", { phase: Phase.Ran, hasRun: true }],
        ["backend server refuses", { phase: Phase.Refused }],
    ],
    [Phase.Ran]: [
        ["crashes", { phase: Phase.Crashed }],
        ["answer arrives", { phase: Phase.CallerResponse, finish: "completed" }],
        ["answer is lost", { phase: Phase.ToldUnknown, finish: "unknown" }],
    ],
    [Phase.Refused]: [
        ["crashes", { phase: Phase.Crashed }],
        ["refusal arrives", { phase: Phase.ToldNotRun, wasToldNotRun: true, finish: "refused" }],
        ["refusal is lost", { phase: Phase.ToldUnknown, finish: "unknown" }],
    ],
    [Phase.CallerResponse]: [],
    [Phase.ToldNotRun]: [],
    [Phase.ToldUnknown]: [],
    [Phase.Crashed]: [],
};

/**
 * Builds the specification.
 *
 * @param attempts Number of entries that the caller sends the key to.
 */
export function specifyRunOnce(attempts: number, defect: RunOnceDefect): Specification<RunOnceState> {
    const numbers = Array.from({ length: attempts }, (_, index) => index);

    const change = (state: RunOnceState, index: number, changed: Partial<Attempt>): RunOnceState => ({
        ...state,
        attempts: state.attempts.map((attempt, at) => at === index ? { ...attempt, ...changed } : attempt),
    });

    const act = (state: RunOnceState, index: number): Step<RunOnceState>[] => {
        const { phase } = state.attempts[index]!;
        if (phase === Phase.Idle && defect === RunOnceDefect.DispatchBeforeBegin) {
            const dispatched = change(state, index, { phase: Phase.Dispatched, hasBegun: true });
            return [{ label: `${index} dispatches`, state: dispatched }];
        }
        return ENTRY_STEPS[phase].map(([label, changed]) => ({
            label: `${index}: ${label}`,
            state: change(state, index, changed),
        }));
    };

    const mayStart = ({ record, freed }: RunOnceState, index: number) =>
        record.state === "inProgress"
            ? record.attempt === index || defect === RunOnceDefect.SecondAttemptStarts
            : record.state === "free" && !freed.includes(index);

    /** The group applies a begin, and the reply arrives or is lost. */
    const begin = (state: RunOnceState, index: number): Step<RunOnceState>[] => {
        const attempt = state.attempts[index]!;
        if (!attempt.hasBegun) {
            return [];
        }
        const isStarted = mayStart(state, index);
        const record: GroupRecord = isStarted ? { state: "inProgress", attempt: index } : state.record;
        const after = { ...state, record };
        const lost = { label: `begin of ${index} is applied, reply lost`, state: after };
        const isLateStart = attempt.phase === Phase.ToldNotRun && defect === RunOnceDefect.DispatchAfterGivingUp;
        if (attempt.phase !== Phase.Waiting && !isLateStart) {
            return [lost];
        }
        const told = state.record.state === "completed" ? Phase.CallerResponse : Phase.ToldUnknown;
        const answer = isStarted ? "started" : state.record.state;
        const phase = isStarted ? Phase.Dispatched : told;
        return [lost, { label: `begin of ${index} is answered: ${answer}`, state: change(after, index, { phase }) }];
    };

    const applyFinish = (state: RunOnceState, index: number): Step<RunOnceState>[] => {
        const { finish } = state.attempts[index]!;
        if (finish === undefined) {
            return [];
        }
        const isRefusal = finish === "refused";
        const isOwn = state.record.state === "inProgress" && state.record.attempt === index;
        const mayChange = isOwn || (isRefusal && defect === RunOnceDefect.RefusalOfOtherAttempt);
        const isFreeing = isRefusal || (finish === "unknown" && defect === RunOnceDefect.UnknownFreesKey);
        const record: GroupRecord = isFreeing ? FREE : { state: finish, attempt: index };
        const freed = isRefusal && !state.freed.includes(index) ? [...state.freed, index].sort() : state.freed;
        return [{
            label: `finish of ${index} is applied: ${finish}`,
            state: { ...state, freed, record: mayChange ? record : state.record },
        }];
    };

    return {
        name: `run-once (${defect})`,
        initial: { attempts: numbers.map(() => IDLE), record: FREE, freed: [] },
        next: state => numbers.flatMap(index => [act, begin, applyFinish].flatMap(action => action(state, index))),
        findViolation: state => {
            if (state.attempts.filter(attempt => attempt.hasRun).length > 1) {
                return "the request ran twice";
            }
            if (state.attempts.some(attempt => attempt.wasToldNotRun && attempt.hasRun)) {
                return "a caller was told that its request was not run, and it was";
            }
            return undefined;
        },
        encode: state => JSON.stringify(state),
    };
}
