/**
 * Figures of a day.
 */
import { RequestClass } from "hyssopfront/resources/resource.ts";
import type { Violation } from "../../checker/history.js";
import { latencyBetween, regionOfZone } from "../../deployment/plan.js";
import type { Chart } from "../../report/chart.js";
import type { Figure } from "../../report/report.js";
import { peakOverWindow, percentileOf, sumByInterval, summarize, type TimedAmount } from "../../report/statistics.js";
import { atLeast, atMost } from "../experiment.js";
import { violationFigures } from "./check-day.js";
import type { DayRun } from "./run-day.js";
import { type DayRequest, RESPONSE_BYTES } from "./traffic.js";

const WINDOW_MS = 1_000;
const BITS_PER_BYTE = 8;
/** The surge fills the cap only after the shift has been in force for some seconds. */
const CAP_WARM_UP_MS = 5_000;
/** Offered traffic over the cap in a measured second, so that the random draw of the shift does not fall below the cap. */
const OFFERED_MARGIN = 1.2;
/** Traffic of the shift arrives at the two or three entries of one region. */
const GOAL_USABLE_PERCENT = 90;
const CHART_INTERVAL_MS = 1_000;
/** Requests sent so long before the loss may still wait when it comes, and so long after the return starts are cold. */
const LOSS_MARGIN_SECONDS = 5;

const zoneOfEntry = ({ plan }: DayRun, entry: string | undefined) =>
    plan.entries.find(({ name }) => name === entry)?.availabilityZone;

/** Requests whose last attempt ran, with the latency of the link between entry and backend server added to the time. */
function latencies(run: DayRun, requestClass: RequestClass): readonly { at: number; milliseconds: number }[] {
    return run.traffic.requests.filter(request => request.requestClass === requestClass).flatMap(request => {
        const last = request.attempts.at(-1)!;
        const from = zoneOfEntry(run, last.entry);
        const to = run.zoneOfServer(last.backendServer ?? "");
        if (last.status !== 200 || from === undefined || to === undefined) {
            return [];
        }
        const milliseconds = request.endedAt - request.startedAt + 2 * latencyBetween(run.plan, from, to);
        return [{ at: request.startedAt, milliseconds }];
    });
}

/** Bytes of answers over each pair of regions, by direction, at the time when the caller had the answer. */
function linkBytes(run: DayRun): ReadonlyMap<string, readonly TimedAmount[]> {
    const links = new Map<string, TimedAmount[]>();
    run.traffic.requests.forEach(request =>
        request.attempts.forEach((attempt, index) => {
            const entryZone = zoneOfEntry(run, attempt.entry);
            const serverZone = run.zoneOfServer(attempt.backendServer ?? "");
            if (attempt.status !== 200 || entryZone === undefined || serverZone === undefined) {
                return;
            }
            const from = regionOfZone(run.plan, serverZone);
            const to = regionOfZone(run.plan, entryZone);
            if (from !== to) {
                const key = `${from} to ${to}`;
                const amount = request.service === run.plan.services[0]!.name ? RESPONSE_BYTES : 0;
                const at = index === request.attempts.length - 1 ? request.endedAt : attempt.sentAt;
                links.set(key, [...links.get(key) ?? [], { at, amount }]);
            }
        })
    );
    return links;
}

/** Requests that the shift moved, at the time when the backend server began to run them. */
function movedRequests(run: DayRun): readonly TimedAmount[] {
    const { shift } = run.schedule;
    const entryOf = new Map(
        run.traffic.requests.flatMap(request => request.attempts.map(({ id, entry }) => [id, entry] as const)),
    );
    return run.records.filter(record => {
        const entryZone = zoneOfEntry(run, entryOf.get(record.id));
        return entryZone !== undefined && run.zoneOfServer(record.backendServer)?.length !== undefined
            && record.backendServer.startsWith(`${shift.service}-`)
            && regionOfZone(run.plan, entryZone) === shift.fromRegion
            && regionOfZone(run.plan, record.availabilityZone) === shift.toRegion
            && record.startedAt >= run.shiftFrom && record.startedAt < run.shiftTo;
    }).map(({ startedAt }) => ({ at: startedAt, amount: 1 }));
}

/** Requests that the shift could move: its percentage of those that originate in its origin. */
function offeredRequests({ plan, schedule: { shift }, traffic }: DayRun): readonly TimedAmount[] {
    return traffic.requests
        .filter(({ service, availabilityZone }) =>
            service === shift.service && regionOfZone(plan, availabilityZone) === shift.fromRegion
        ).map(({ startedAt }) => ({ at: startedAt, amount: shift.percent / 100 }));
}

function capFigures(run: DayRun): readonly Figure[] {
    const cap = run.schedule.shift.requestsPerSecond;
    const moved = movedRequests(run);
    const from = run.shiftFrom + CAP_WARM_UP_MS;
    const bySecond = (amounts: readonly TimedAmount[]) =>
        Number.isFinite(run.shiftFrom) && Number.isFinite(run.shiftTo)
            ? sumByInterval(amounts, from, run.shiftTo - WINDOW_MS, WINDOW_MS)
            : [];
    const offered = bySecond(offeredRequests(run));
    // Without enough traffic a second says nothing of the cap.
    const movedWhenOffered = bySecond(moved).filter((_moved, second) => offered[second]! >= cap * OFFERED_MARGIN);
    const percent = (value: number | undefined) => value === undefined ? undefined : 100 * value / cap;
    return [
        { name: "cap of the shift", value: cap, unit: "1/s" },
        {
            name: "cap: peak use in any second",
            value: percent(moved.length === 0 ? undefined : peakOverWindow(moved, WINDOW_MS)),
            unit: "%",
            goal: atMost(100),
        },
        { name: "cap: offered traffic, median second", value: percent(percentileOf(offered, 0.5)), unit: "%" },
        { name: "cap: seconds with 1.2 times the cap offered", value: movedWhenOffered.length, unit: "" },
        {
            name: "cap: usable share in these, median second",
            value: percent(percentileOf(movedWhenOffered, 0.5)),
            unit: "%",
            goal: atLeast(GOAL_USABLE_PERCENT),
        },
        {
            name: "cap: usable share in these, lowest second",
            value: percent(percentileOf(movedWhenOffered, 0)),
            unit: "%",
        },
    ];
}

function headroomFigures(run: DayRun): readonly Figure[] {
    const linkBytesPerSecond = run.plan.linkBitsPerSecond / BITS_PER_BYTE;
    const links = [...linkBytes(run)].sort(([one], [other]) => one < other ? -1 : 1).map(([link, amounts]) => ({
        name: `least free share of link ${link}`,
        value: 100 * (1 - peakOverWindow(amounts, WINDOW_MS) / linkBytesPerSecond),
        unit: "%",
        goal: atLeast(0),
    }));
    const slots = run.plan.regions.map(({ name }) => ({
        name: `least free share of slots in ${name}`,
        value: 100
            * Math.min(
                ...run.samples.filter(({ region, total: all }) => region === name && all > 0).map(one =>
                    1 - one.used / one.total
                ),
            ),
        unit: "%",
    }));
    return [...links, ...slots];
}

/** Last attempts that were not run, counted by reason. */
function notRunReasons(requests: readonly DayRequest[]): readonly (readonly [reason: string, count: number])[] {
    const counts = new Map<string, number>();
    requests.map(({ attempts }) => attempts.at(-1)!).filter(({ outcome }) => outcome === "not-run")
        .forEach(({ reason = "none" }) => counts.set(reason, (counts.get(reason) ?? 0) + 1));
    return [...counts].sort(([one], [other]) => one < other ? -1 : 1);
}

/** Requests that the shift drew and did not move, by the cause that the counter names. */
function unmovedCauses(counters: DayRun["counters"]): readonly (readonly [cause: string, count: number])[] {
    return [...counters].flatMap(([name, value]) => {
        const cause = /^routing\.shift_without_room\{.*cause=([^,}]+)/u.exec(name)?.[1];
        return cause === undefined ? [] : [[cause, value] as const];
    }).sort(([one], [other]) => one < other ? -1 : 1);
}

function outcomeFigures({ traffic, counters }: DayRun): readonly Figure[] {
    const { requests } = traffic;
    const lastOf = (request: DayRequest) => request.attempts.at(-1)!;
    const count = (isCounted: (request: DayRequest) => boolean) => requests.filter(isCounted).length;
    const share = (value: number) => 100 * value / Math.max(1, requests.length);
    const refused = count(request => lastOf(request).outcome === "not-run");
    const unknown = count(request => lastOf(request).outcome === "unknown" || lastOf(request).status === undefined);
    return [
        { name: "requests", value: requests.length, unit: "" },
        { name: "told not run after all attempts", value: refused, unit: "" },
        { name: "told not run, share", value: share(refused), unit: "%" },
        ...notRunReasons(requests).map(([reason, value]) => ({ name: `not run: ${reason}`, value, unit: "" })),
        { name: "told unknown or nothing", value: unknown, unit: "" },
        { name: "resent by callers", value: count(request => request.attempts.length > 1), unit: "" },
        { name: "not sent, too many open", value: traffic.dropped, unit: "" },
        { name: "retries of entries", value: counters.get("routing.retries") ?? 0, unit: "" },
        {
            name: "drawn for the shift but without room there",
            value: counters.get("routing.shift_without_room") ?? 0,
            unit: "",
        },
        ...unmovedCauses(counters).map(([cause, value]) => ({ name: `not moved: ${cause}`, value, unit: "" })),
        { name: "hedges of entries", value: counters.get("routing.hedges") ?? 0, unit: "" },
    ];
}

/**
 * Latencies of the whole day, and of the day without the loss of the region: a group of run-once records that loses two
 * voters refuses its keys until the region returns.
 */
function latencyFiguresOf(run: DayRun, requestClass: RequestClass): readonly Figure[] {
    const all = latencies(run, requestClass);
    const { outage: loss } = run.schedule;
    const isOutsideLoss = ({ at }: { at: number }) => {
        const second = (at - run.startedAt) / 1_000;
        return second < loss.from - LOSS_MARGIN_SECONDS || second > loss.to + LOSS_MARGIN_SECONDS;
    };
    const day = summarize(all.map(one => one.milliseconds));
    const outside = summarize(all.filter(isOutsideLoss).map(one => one.milliseconds));
    return day.count === 0 ? [] : [
        { name: `${requestClass}: latency, p50`, value: day.p50, unit: "ms" },
        { name: `${requestClass}: latency, p99`, value: day.p99, unit: "ms" },
        { name: `${requestClass}: latency, p99.9`, value: day.p999, unit: "ms" },
        { name: `${requestClass}: latency outside the loss, p99`, value: outside.p99, unit: "ms" },
    ];
}

/** All figures, in the order of the table. */
export function computeDayFigures(run: DayRun, violations: readonly Violation[]): readonly Figure[] {
    const latencyFigures = Object.values(RequestClass).flatMap(requestClass => latencyFiguresOf(run, requestClass));
    return [
        ...latencyFigures,
        ...headroomFigures(run),
        ...capFigures(run),
        { name: "drain until drained", value: run.drainMilliseconds, unit: "ms" },
        ...outcomeFigures(run),
        ...violationFigures(violations),
        { name: "tool: event loop delay, p50", value: run.loopDelay.p50, unit: "ms" },
        { name: "tool: event loop delay, p99", value: run.loopDelay.p99, unit: "ms" },
        { name: "changes that failed", value: run.failures.length, unit: "", goal: atMost(0) },
    ];
}

/** Course of the day. */
export function createDayCharts(run: DayRun): readonly Chart[] {
    const { startedAt, schedule } = run;
    const end = startedAt + schedule.seconds * 1_000;
    const bySecond = (amounts: readonly TimedAmount[]) =>
        sumByInterval(amounts, startedAt, end, CHART_INTERVAL_MS).map((sum, second) => [second, sum] as const);
    const requests = run.traffic.requests;
    const failed = requests.filter(({ attempts }) => attempts.at(-1)!.status !== 200);
    const toAmounts = (ofRequests: readonly DayRequest[]) => ofRequests.map(({ startedAt: at }) => ({ at, amount: 1 }));
    const p99BySecond = (requestClass: RequestClass) => {
        const ofClass = latencies(run, requestClass);
        return Array.from({ length: Math.ceil(schedule.seconds) }, (_, second) => {
            const from = startedAt + second * 1_000;
            const values = ofClass.filter(({ at }) => at >= from && at < from + 1_000).map(one => one.milliseconds);
            return [second, percentileOf(values, 0.99) ?? 0] as const;
        });
    };
    const chart = (title: string, yLabel: string, series: Chart["series"]): Chart => ({
        title,
        xLabel: "seconds",
        yLabel,
        series,
    });
    return [
        chart("Requests", "1/s", [
            { name: "sent", points: bySecond(toAmounts(requests)) },
            { name: "not answered 200", points: bySecond(toAmounts(failed)) },
            { name: "moved by the shift", points: bySecond(movedRequests(run)) },
        ]),
        chart(
            "Latency, p99 of each second",
            "ms",
            Object.values(RequestClass).map(name => ({ name, points: p99BySecond(name) })),
        ),
        chart(
            "Slots in use",
            "% of the region",
            run.plan.regions.map(({ name }) => ({
                name,
                points: run.samples.filter(({ region, total: all }) => region === name && all > 0)
                    .map(({ second, used, total: all }) => [second, 100 * used / all] as const),
            })),
        ),
    ];
}
