/**
 * Checks a day against the invariants.
 */
import { checkCaps, checkDepartures, checkResponses, checkRunOnceKeys } from "../../checker/check-requests.js";
import { type AttemptRecord, type History, type Violation, ViolationKind } from "../../checker/history.js";
import { regionOfZone } from "../../deployment/plan.js";
import type { Figure } from "../../report/report.js";
import { atMost } from "../experiment.js";
import type { DayRun } from "./run-day.js";

/** Messages of each kind of violation that a report shows. */
const MESSAGES_PER_KIND = 3;

const FIGURE_NAMES = {
    [ViolationKind.RanTwice]: "run-once requests that ran twice",
    [ViolationKind.NotRunButRan]: "told not run although run",
    [ViolationKind.ResponseWithoutOutcome]: "answers without an outcome",
    [ViolationKind.ResponseOfOtherRequest]: "answers of another request",
    [ViolationKind.TruncatedResponse]: "answers that are not whole",
    [ViolationKind.CapExceeded]: "windows over the cap",
    [ViolationKind.WorkAfterLeaving]: "runs after leaving",
};

function historyOf({ traffic, records }: DayRun): History {
    const attempts = traffic.requests.flatMap(({ id: request, service, attempts: made }) =>
        made.map((attempt): AttemptRecord => ({
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

/** The cap holds, and closes all other ways to the destination, only while the shift is in force. */
function checkShift({ plan, schedule: { shift }, shiftFrom, shiftTo }: DayRun, history: History): readonly Violation[] {
    const zones = plan.regions.find(({ name }) => name === shift.toRegion)!.availabilityZones;
    const entries = plan.entries.filter(({ availabilityZone }) =>
        regionOfZone(plan, availabilityZone) === shift.fromRegion
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

/** The backend servers of the drained zone start again under their names when the drain has ended. */
function checkDrain({ schedule: { drain }, startedAt, drainedAt }: DayRun, history: History): readonly Violation[] {
    if (drainedAt === undefined) {
        return [];
    }
    const runs = history.runs.filter(run =>
        run.availabilityZone === drain.availabilityZone && run.startedAt < startedAt + drain.to * 1_000
    );
    const left = new Map(runs.map(({ service, backendServer }) => [backendServer, { service, backendServer }]));
    return checkDepartures({
        ...history,
        runs,
        departures: [...left.values()].map(server => ({ ...server, leftAt: drainedAt })),
    });
}

/** Finds all that breaks an invariant. */
export function checkDay(run: DayRun): readonly Violation[] {
    const history = historyOf(run);
    return [
        ...checkRunOnceKeys(history),
        ...checkResponses(history),
        ...checkShift(run, history),
        ...checkDrain(run, history),
    ];
}

/** Counts of violations, none of which may occur. */
export const violationFigures = (violations: readonly Violation[]): readonly Figure[] =>
    Object.entries(FIGURE_NAMES).map(([kind, name]) => ({
        name,
        value: violations.filter(violation => violation.kind === kind).length,
        unit: "",
        goal: atMost(0),
    }));

/** The first messages of each kind. */
export const violationMessages = (violations: readonly Violation[]): readonly string[] =>
    Object.keys(FIGURE_NAMES).flatMap(kind =>
        violations.filter(violation => violation.kind === kind).slice(0, MESSAGES_PER_KIND)
            .map(({ message }) => `${kind}: ${message}`)
    );
