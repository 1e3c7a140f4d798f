/**
 * Checks the responses that callers received against the requests that backend servers ran.
 */
import {
    type AttemptRecord,
    type CapRecord,
    type ExecutionRecord,
    type History,
    type Violation,
    ViolationKind,
} from "./history.js";

/** Time from which a backend server that announced its departure must not receive new requests. */
export const LEAVING_GRACE_MS = 2_000;
/** Lengths of the windows in which a cap is checked. Longer windows detect a small excess that is sustained. */
const WINDOW_SECONDS = [1, 2, 5, 10];

function groupBy<T>(items: readonly T[], getKey: (item: T) => string): ReadonlyMap<string, readonly T[]> {
    const groups = new Map<string, T[]>();
    items.forEach(item => {
        const group = groups.get(getKey(item));
        if (group === undefined) {
            groups.set(getKey(item), [item]);
        }
        else {
            group.push(item);
        }
    });
    return groups;
}

/** Finds run-once keys whose request ran more than once. */
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

/** Finds wrong responses: not-run for a request that ran, without an outcome, of another request, or truncated. */
export function checkResponses({ attempts, runs }: History): readonly Violation[] {
    const executedIds = new Set(runs.map(run => run.id));
    return attempts.flatMap(attempt => checkResponse(attempt, executedIds));
}

function checkResponse(attempt: AttemptRecord, executedIds: ReadonlySet<string>): readonly Violation[] {
    const { id, request, outcome, status, body } = attempt;
    if (status === undefined) {
        return [];
    }
    if (outcome === undefined) {
        return [{
            kind: ViolationKind.ResponseWithoutOutcome,
            message: `${id} received status ${status} without an outcome.`,
        }];
    }
    if (outcome === "not-run") {
        return executedIds.has(id)
            ? [{
                kind: ViolationKind.NotRunButRan,
                message: `${id} was reported as not-run (${attempt.reason}) but ran.`,
            }]
            : [];
    }
    if (outcome === "unknown") {
        return [];
    }
    const [executedId = "", executedBy = ""] = body.split("|", 2);
    // A replayed response is that of the attempt that ran, which may be another attempt of the same request.
    const isOwnResponse = outcome === "replayed" ? executedId.split(".")[0] === request : executedId === id;
    if (!isOwnResponse || !executedIds.has(executedId)) {
        return [{
            kind: ViolationKind.ResponseOfOtherRequest,
            message: `${id} received the response of "${executedId}".`,
        }];
    }
    if (attempt.backendServer !== undefined && attempt.backendServer !== executedBy) {
        const message = `${id} received a response that names ${attempt.backendServer} but comes from ${executedBy}.`;
        return [{ kind: ViolationKind.ResponseOfOtherRequest, message }];
    }
    const isComplete = body.length >= attempt.expectedBytes && /^[^|]+\|[^|]+\|\d+\|x*$/.test(body);
    return isComplete ? [] : [{
        kind: ViolationKind.TruncatedResponse,
        message: `${id} received ${body.length} of ${attempt.expectedBytes} bytes.`,
    }];
}

/** Finds requests that started at a backend server after it had left and the grace period had passed. */
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
 * Finds windows in which a shift moved more requests than its cap allows. The time at which an entry admitted a request
 * is not observable; it lies between the sending of the request and its start at the backend server. A window counts
 * only requests for which this whole interval lies in the window, so that a slow machine causes no false violation.
 */
export function checkCaps(history: History): readonly Violation[] {
    return history.caps.flatMap(cap => {
        const intervals = findAdmissionIntervals(history, cap);
        return WINDOW_SECONDS.flatMap(seconds => {
            const count = maximumInWindow(intervals, seconds * 1_000);
            return count <= seconds * cap.requestsPerSecond ? [] : [{
                kind: ViolationKind.CapExceeded,
                message:
                    `${cap.shift} moved ${count} requests in ${seconds} s over its cap of ${cap.requestsPerSecond} a second.`,
            }];
        });
    });
}

/** Earliest and latest time at which an entry can have admitted a request. */
type AdmissionInterval = { readonly from: number; readonly to: number };

/** Returns the admission intervals of the requests that a shift moved. */
export function findAdmissionIntervals({ attempts, runs }: History, cap: CapRecord): readonly AdmissionInterval[] {
    const sentAt = new Map(
        attempts
            .filter(({ entry }) => entry !== undefined && cap.entries.includes(entry))
            .map(({ id, sentAt }) => [id, sentAt]),
    );
    const isMoved = (run: ExecutionRecord) =>
        run.service === cap.service && cap.availabilityZones.includes(run.availabilityZone) && sentAt.has(run.id);
    return runs.filter(isMoved).map(run => ({ from: sentAt.get(run.id)!, to: run.startedAt }));
}

/** Returns the largest number of intervals that lie entirely in one window. */
export function maximumInWindow(intervals: readonly AdmissionInterval[], milliseconds: number): number {
    return Math.max(
        0,
        ...intervals.map(({ from }) =>
            intervals.filter(other => other.from >= from && other.to < from + milliseconds).length
        ),
    );
}
