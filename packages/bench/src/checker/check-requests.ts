/**
 * Checks of what callers were told against what backend servers ran.
 */
import {
    type AttemptRecord,
    type CapRecord,
    type ExecutionRecord,
    type History,
    type Violation,
    ViolationKind,
} from "./history.js";

/** Time after which a backend server that left receives no new work (P6). */
export const LEAVING_GRACE_MS = 2_000;
/** Lengths of the windows in which a cap is checked; longer ones find a small excess that goes on. */
const WINDOW_SECONDS = [1, 2, 5, 10];

function groupBy<T>(items: readonly T[], keyOf: (item: T) => string): ReadonlyMap<string, readonly T[]> {
    const groups = new Map<string, T[]>();
    items.forEach(item => {
        const group = groups.get(keyOf(item));
        if (group === undefined) {
            groups.set(keyOf(item), [item]);
        }
        else {
            group.push(item);
        }
    });
    return groups;
}

/** Finds run-once keys that ran more than once. */
export function checkRunOnceKeys({ runs }: History): readonly Violation[] {
    const withKey = runs.filter(run => run.key !== undefined);
    return [...groupBy(withKey, run => `${run.service} ${run.key}`)]
        .filter(([, group]) => group.length > 1)
        .map(([key, group]) => ({
            kind: ViolationKind.RanTwice,
            message: `${key} ran ${group.length} times: ${
                group.map(run => `${run.id} at ${run.backendServer}`).join(", ")
            }.`,
        }));
}

/** Finds answers that are wrong: not run although it ran, of another request, or not whole. */
export function checkResponses({ attempts, runs }: History): readonly Violation[] {
    const ran = new Set(runs.map(run => run.id));
    return attempts.flatMap(attempt => checkAnswer(attempt, ran));
}

function checkAnswer(attempt: AttemptRecord, ran: ReadonlySet<string>): readonly Violation[] {
    const { id, request, outcome, status, body } = attempt;
    if (status === undefined) {
        return [];
    }
    if (outcome === undefined) {
        return [{ kind: ViolationKind.ResponseWithoutOutcome, message: `${id} got ${status} without an outcome.` }];
    }
    if (outcome === "not-run") {
        return ran.has(id)
            ? [{ kind: ViolationKind.NotRunButRan, message: `${id} was told not-run (${attempt.reason}) but ran.` }]
            : [];
    }
    if (outcome === "unknown") {
        return [];
    }
    const [answeredId = "", answeredBy = ""] = body.split("|", 2);
    // A replayed answer is that of the attempt which ran.
    const isOwn = outcome === "replayed" ? answeredId.split(".")[0] === request : answeredId === id;
    if (!isOwn || !ran.has(answeredId)) {
        return [{ kind: ViolationKind.ResponseOfOtherRequest, message: `${id} got the answer of "${answeredId}".` }];
    }
    if (attempt.backendServer !== undefined && attempt.backendServer !== answeredBy) {
        const message = `${id} was told ${attempt.backendServer} but answered by ${answeredBy}.`;
        return [{ kind: ViolationKind.ResponseOfOtherRequest, message }];
    }
    const isWhole = body.length >= attempt.answerBytes && /^[^|]+\|[^|]+\|\d+\|x*$/.test(body);
    return isWhole ? [] : [{
        kind: ViolationKind.TruncatedResponse,
        message: `${id} got ${body.length} of ${attempt.answerBytes} bytes.`,
    }];
}

/** Finds work that started at a backend server later than the bound after it left. */
export function checkDepartures({ departures, runs }: History): readonly Violation[] {
    return departures.flatMap(({ service, backendServer, leftAt }) =>
        runs
            .filter(run => run.service === service && run.backendServer === backendServer)
            .filter(run => run.startedAt > leftAt + LEAVING_GRACE_MS)
            .map(run => ({
                kind: ViolationKind.WorkAfterLeaving,
                message: `${run.id} started at ${backendServer} ${
                    (run.startedAt - leftAt).toFixed(0)
                } ms after it left.`,
            }))
    );
}

/**
 * Finds windows with more requests than a cap allows. The instant at which an entry let a request pass is not seen; it
 * lies between its sending and its start. Only requests for which this whole time lies in a window count in it, so a
 * slow machine causes no finding.
 */
export function checkCaps(history: History): readonly Violation[] {
    return history.caps.flatMap(cap => {
        const passes = findAdmissionIntervals(history, cap);
        return WINDOW_SECONDS.flatMap(seconds => {
            const most = maximumInWindow(passes, seconds * 1_000);
            return most <= seconds * cap.requestsPerSecond ? [] : [{
                kind: ViolationKind.CapExceeded,
                message:
                    `${cap.shift} carried ${most} requests in ${seconds} s over its cap of ${cap.requestsPerSecond} a second.`,
            }];
        });
    });
}

type AdmissionInterval = { readonly from: number; readonly to: number };

/** Runs that a shift carried, with the earliest and latest time at which an entry let them pass. */
export function findAdmissionIntervals({ attempts, runs }: History, cap: CapRecord): readonly AdmissionInterval[] {
    const sentAt = new Map(
        attempts
            .filter(({ entry }) => entry !== undefined && cap.entries.includes(entry))
            .map(({ id, sentAt }) => [id, sentAt]),
    );
    const isCarried = (run: ExecutionRecord) =>
        run.service === cap.service && cap.availabilityZones.includes(run.availabilityZone) && sentAt.has(run.id);
    return runs.filter(isCarried).map(run => ({ from: sentAt.get(run.id)!, to: run.startedAt }));
}

/** Largest number of passes that lie wholly in one window. */
export function maximumInWindow(passes: readonly AdmissionInterval[], milliseconds: number): number {
    return Math.max(
        0,
        ...passes.map(({ from }) =>
            passes.filter(other => other.from >= from && other.to < from + milliseconds).length
        ),
    );
}
