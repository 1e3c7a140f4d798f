/**
 * Checks the history of a day for violations of the invariants.
 */
import { checkCaps, checkDepartures, checkResponses, checkRunOnceKeys } from "../../checker/check-requests.js";
import { type AttemptRecord, type History, type Violation, ViolationKind } from "../../checker/history.js";
import { getRegion } from "../../deployment/plan.js";
import type { Figure } from "../../report/report.js";
import { atMost } from "../experiment.js";
import type { DayRun } from "./run-day.js";

/** Limits the messages in a report for each kind of violation. */
const MAXIMUM_MESSAGES_PER_KIND = 3;

const FIGURE_NAMES = {
    [ViolationKind.RanTwice]: "run-once requests that ran twice",
    [ViolationKind.NotRunButRan]: "reported as not run but ran",
    [ViolationKind.ResponseWithoutOutcome]: "responses without an outcome",
    [ViolationKind.ResponseOfOtherRequest]: "responses to another request",
    [ViolationKind.TruncatedResponse]: "incomplete responses",
    [ViolationKind.CapExceeded]: "windows over the cap",
    [ViolationKind.WorkAfterLeaving]: "runs after the backend server left",
};

function createHistory({ traffic, records }: DayRun): History {
    const attempts = traffic.requests.flatMap(({ id: request, service, attempts: requestAttempts }) =>
        requestAttempts.map((attempt): AttemptRecord => ({
            ...attempt,
            request,
            service,
            completedAt: attempt.sentAt + attempt.milliseconds,
        }))
    );
    const runs = records.map(({ id, idempotencyKey, backendServer, availabilityZone, startedAt }) => ({
        id,
        key: idempotencyKey,
        service: backendServer.slice(0, backendServer.lastIndexOf("-")),
        backendServer,
        availabilityZone,
        startedAt,
    }));
    return { attempts, runs, departures: [], caps: [], changes: [], reads: [], entries: [] };
}

/** The cap applies, and blocks all other paths to the destination, only while the shift is in force. */
function checkShift({ plan, schedule: { shift }, shiftFrom, shiftTo }: DayRun, history: History): readonly Violation[] {
    const zones = plan.regions.find(({ name }) => name === shift.toRegion)!.availabilityZones;
    const entries = plan.entries.filter(({ availabilityZone }) =>
        getRegion(plan, availabilityZone) === shift.fromRegion
    );
    return checkCaps({
        ...history,
        runs: history.runs.filter(({ startedAt }) => startedAt >= shiftFrom && startedAt < shiftTo),
        caps: [{
            shift: "the shift",
            service: shift.service,
            entries: entries.map(({ name }) => name),
            availabilityZones: zones,
            requestsPerSecond: shift.requestsPerSecond,
        }],
    });
}

/** Ignores runs after the end of the drain, when the backend servers of the zone restart under the same names. */
function checkDrain({ schedule: { drain }, startedAt, drainedAt }: DayRun, history: History): readonly Violation[] {
    if (drainedAt === undefined) {
        return [];
    }
    const runs = history.runs.filter(run =>
        run.availabilityZone === drain.availabilityZone && run.startedAt < startedAt + drain.to * 1_000
    );
    const servers = new Map(runs.map(({ service, backendServer }) => [backendServer, { service, backendServer }]));
    return checkDepartures({
        ...history,
        runs,
        departures: [...servers.values()].map(server => ({ ...server, leftAt: drainedAt })),
    });
}

/** Finds all violations of the invariants in a day. */
export function checkDay(run: DayRun): readonly Violation[] {
    const history = createHistory(run);
    return [
        ...checkRunOnceKeys(history),
        ...checkResponses(history),
        ...checkShift(run, history),
        ...checkDrain(run, history),
    ];
}

/** Creates a figure for each kind of violation, with a goal of zero. */
export const violationFigures = (violations: readonly Violation[]): readonly Figure[] =>
    Object.entries(FIGURE_NAMES).map(([kind, name]) => ({
        name,
        value: violations.filter(violation => violation.kind === kind).length,
        unit: "",
        goal: atMost(0),
    }));

/** Messages of the first violations of each kind. */
export const violationMessages = (violations: readonly Violation[]): readonly string[] =>
    Object.keys(FIGURE_NAMES).flatMap(kind =>
        violations.filter(violation => violation.kind === kind).slice(0, MAXIMUM_MESSAGES_PER_KIND)
            .map(({ message }) => `${kind}: ${message}`)
    );
