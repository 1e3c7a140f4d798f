/**
 * Figures and charts of a day.
 */
import { RequestClass } from "hyssopfront/resources/resource.ts";
import type { Violation } from "../../checker/history.js";
import { getRegion, latencyBetween } from "../../deployment/plan.js";
import type { Chart } from "../../report/chart.js";
import type { Figure } from "../../report/report.js";
import {
    computePercentile,
    peakOverWindow,
    sumByInterval,
    summarize,
    type TimedAmount,
} from "../../report/statistics.js";
import { atLeast, atMost } from "../experiment.js";
import { violationFigures } from "./check-day.js";
import type { DayRun } from "./run-day.js";
import { type DayRequest, RESPONSE_BYTES } from "./traffic.js";

const WINDOW_MS = 1_000;
const BITS_PER_BYTE = 8;
/** The surge reaches the cap only some seconds after the shift comes into force. */
const CAP_WARM_UP_MS = 5_000;
/** Minimum ratio of offered traffic to the cap, so that the random selection of the shift cannot fall below the cap. */
const OFFERED_MARGIN = 1.2;
/** The traffic of the shift arrives at only the two or three entries of one region. */
const GOAL_CAP_UTILIZATION_PERCENT = 90;
const CHART_INTERVAL_MS = 1_000;
/** Excludes requests that can be pending when the outage begins, and requests to cold backend servers after it. */
const OUTAGE_MARGIN_SECONDS = 5;

const getEntryZone = ({ plan }: DayRun, entry: string | undefined) =>
    plan.entries.find(({ name }) => name === entry)?.availabilityZone;

/** Latencies of successful requests, plus the round-trip latency of the plan between entry and backend server. */
function requestLatencies(run: DayRun, requestClass: RequestClass): readonly { at: number; milliseconds: number }[] {
    return run.traffic.requests.filter(request => request.requestClass === requestClass).flatMap(request => {
        const last = request.attempts.at(-1)!;
        const from = getEntryZone(run, last.entry);
        const to = run.getServerZone(last.backendServer ?? "");
        if (last.status !== 200 || from === undefined || to === undefined) {
            return [];
        }
        const milliseconds = request.endedAt - request.startedAt + 2 * latencyBetween(run.plan, from, to);
        return [{ at: request.startedAt, milliseconds }];
    });
}

/** Bytes of responses over the links between regions, by direction, at the time when the caller had the response. */
function linkTraffic(run: DayRun): ReadonlyMap<string, readonly TimedAmount[]> {
    const links = new Map<string, TimedAmount[]>();
    run.traffic.requests.forEach(request =>
        request.attempts.forEach((attempt, index) => {
            const entryZone = getEntryZone(run, attempt.entry);
            const serverZone = run.getServerZone(attempt.backendServer ?? "");
            if (attempt.status !== 200 || entryZone === undefined || serverZone === undefined) {
                return;
            }
            const from = getRegion(run.plan, serverZone);
            const to = getRegion(run.plan, entryZone);
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

/** Requests that the shift moved, at the time when the backend server started to run them. */
function movedRequests(run: DayRun): readonly TimedAmount[] {
    const { shift } = run.schedule;
    const entryByRequest = new Map(
        run.traffic.requests.flatMap(request => request.attempts.map(({ id, entry }) => [id, entry] as const)),
    );
    return run.records.filter(record => {
        const entryZone = getEntryZone(run, entryByRequest.get(record.id));
        return entryZone !== undefined && run.getServerZone(record.backendServer)?.length !== undefined
            && record.backendServer.startsWith(`${shift.service}-`)
            && getRegion(run.plan, entryZone) === shift.fromRegion
            && getRegion(run.plan, record.availabilityZone) === shift.toRegion
            && record.startedAt >= run.shiftFrom && record.startedAt < run.shiftTo;
    }).map(({ startedAt }) => ({ at: startedAt, amount: 1 }));
}

/** Requests that the shift is expected to move: its percentage of the requests from its origin. */
function offeredRequests({ plan, schedule: { shift }, traffic }: DayRun): readonly TimedAmount[] {
    return traffic.requests
        .filter(({ service, availabilityZone }) =>
            service === shift.service && getRegion(plan, availabilityZone) === shift.fromRegion
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
    // A second with too little traffic does not exercise the cap.
    const movedWhenOffered = bySecond(moved).filter((_moved, second) => offered[second]! >= cap * OFFERED_MARGIN);
    const percent = (value: number | undefined) => value === undefined ? undefined : 100 * value / cap;
    return [
        { name: "cap of the shift", value: cap, unit: "1/s" },
        {
            name: "cap: peak utilization in any second",
            value: percent(moved.length === 0 ? undefined : peakOverWindow(moved, WINDOW_MS)),
            unit: "%",
            goal: atMost(100),
        },
        { name: "cap: offered traffic, median second", value: percent(computePercentile(offered, 0.5)), unit: "%" },
        { name: "cap: seconds with 1.2 times the cap offered", value: movedWhenOffered.length, unit: "" },
        {
            name: "cap: median utilization in these seconds",
            value: percent(computePercentile(movedWhenOffered, 0.5)),
            unit: "%",
            goal: atLeast(GOAL_CAP_UTILIZATION_PERCENT),
        },
        {
            name: "cap: minimum utilization in these seconds",
            value: percent(computePercentile(movedWhenOffered, 0)),
            unit: "%",
        },
    ];
}

function headroomFigures(run: DayRun): readonly Figure[] {
    const linkBytesPerSecond = run.plan.linkBitsPerSecond / BITS_PER_BYTE;
    const links = [...linkTraffic(run)].sort(([one], [other]) => one < other ? -1 : 1).map(([link, amounts]) => ({
        name: `minimum free share of link ${link}`,
        value: 100 * (1 - peakOverWindow(amounts, WINDOW_MS) / linkBytesPerSecond),
        unit: "%",
        goal: atLeast(0),
    }));
    const slots = run.plan.regions.map(({ name }) => ({
        name: `minimum free share of slots in ${name}`,
        value: 100
            * Math.min(
                ...run.samples.filter(({ region, total }) => region === name && total > 0).map(sample =>
                    1 - sample.used / sample.total
                ),
            ),
        unit: "%",
    }));
    return [...links, ...slots];
}

/** Numbers of requests whose last attempt was not run, by reason. */
function notRunReasons(requests: readonly DayRequest[]): readonly (readonly [reason: string, count: number])[] {
    const counts = new Map<string, number>();
    requests.map(({ attempts }) => attempts.at(-1)!).filter(({ outcome }) => outcome === "not-run")
        .forEach(({ reason = "none" }) => counts.set(reason, (counts.get(reason) ?? 0) + 1));
    return [...counts].sort(([one], [other]) => one < other ? -1 : 1);
}

/** Numbers of requests whose shift was blocked, by the cause in the label of the counter. */
function blockedShiftCauses(counters: DayRun["counters"]): readonly (readonly [cause: string, count: number])[] {
    return [...counters].flatMap(([name, value]) => {
        const cause = /^routing\.shift_without_room\{.*cause=([^,}]+)/u.exec(name)?.[1];
        return cause === undefined ? [] : [[cause, value] as const];
    }).sort(([one], [other]) => one < other ? -1 : 1);
}

function outcomeFigures({ traffic, counters }: DayRun): readonly Figure[] {
    const { requests } = traffic;
    const lastAttempt = (request: DayRequest) => request.attempts.at(-1)!;
    const count = (isCounted: (request: DayRequest) => boolean) => requests.filter(isCounted).length;
    const percent = (value: number) => 100 * value / Math.max(1, requests.length);
    const notRun = count(request => lastAttempt(request).outcome === "not-run");
    const unknown = count(request =>
        lastAttempt(request).outcome === "unknown" || lastAttempt(request).status === undefined
    );
    return [
        { name: "requests", value: requests.length, unit: "" },
        { name: "not run after all attempts", value: notRun, unit: "" },
        { name: "not run after all attempts, share", value: percent(notRun), unit: "%" },
        ...notRunReasons(requests).map(([reason, value]) => ({ name: `not run: ${reason}`, value, unit: "" })),
        { name: "outcome unknown or no response", value: unknown, unit: "" },
        { name: "retried by callers", value: count(request => request.attempts.length > 1), unit: "" },
        { name: "not sent, too many pending", value: traffic.dropped, unit: "" },
        { name: "retries by entries", value: counters.get("routing.retries") ?? 0, unit: "" },
        {
            name: "selected for the shift but blocked",
            value: counters.get("routing.shift_without_room") ?? 0,
            unit: "",
        },
        ...blockedShiftCauses(counters).map(([cause, value]) => ({ name: `shift blocked: ${cause}`, value, unit: "" })),
        { name: "hedges by entries", value: counters.get("routing.hedges") ?? 0, unit: "" },
    ];
}

/**
 * Latencies of the whole day, and of the day without the outage: a run-once group that loses two voters rejects its
 * keys until the region recovers.
 */
function classLatencyFigures(run: DayRun, requestClass: RequestClass): readonly Figure[] {
    const all = requestLatencies(run, requestClass);
    const { outage } = run.schedule;
    const isOutsideOutage = ({ at }: { at: number }) => {
        const second = (at - run.startedAt) / 1_000;
        return second < outage.from - OUTAGE_MARGIN_SECONDS || second > outage.to + OUTAGE_MARGIN_SECONDS;
    };
    const wholeDay = summarize(all.map(one => one.milliseconds));
    const outsideOutage = summarize(all.filter(isOutsideOutage).map(one => one.milliseconds));
    return wholeDay.count === 0 ? [] : [
        { name: `${requestClass}: latency, p50`, value: wholeDay.p50, unit: "ms" },
        { name: `${requestClass}: latency, p99`, value: wholeDay.p99, unit: "ms" },
        { name: `${requestClass}: latency, p99.9`, value: wholeDay.p999, unit: "ms" },
        { name: `${requestClass}: latency outside the outage, p99`, value: outsideOutage.p99, unit: "ms" },
    ];
}

/** Computes all figures, in the order of the table. */
export function computeDayFigures(run: DayRun, violations: readonly Violation[]): readonly Figure[] {
    const latencyFigures = Object.values(RequestClass).flatMap(requestClass => classLatencyFigures(run, requestClass));
    return [
        ...latencyFigures,
        ...headroomFigures(run),
        ...capFigures(run),
        { name: "time until drained", value: run.drainMilliseconds, unit: "ms" },
        ...outcomeFigures(run),
        ...violationFigures(violations),
        { name: "tool: event loop delay, p50", value: run.loopDelay.p50, unit: "ms" },
        { name: "tool: event loop delay, p99", value: run.loopDelay.p99, unit: "ms" },
        { name: "changes that failed", value: run.failures.length, unit: "", goal: atMost(0) },
    ];
}

/** Creates charts of the requests, the latencies and the slots in use over time. */
export function createDayCharts(run: DayRun): readonly Chart[] {
    const { startedAt, schedule } = run;
    const end = startedAt + schedule.seconds * 1_000;
    const bySecond = (amounts: readonly TimedAmount[]) =>
        sumByInterval(amounts, startedAt, end, CHART_INTERVAL_MS).map((sum, second) => [second, sum] as const);
    const requests = run.traffic.requests;
    const failed = requests.filter(({ attempts }) => attempts.at(-1)!.status !== 200);
    const toAmounts = (ofRequests: readonly DayRequest[]) => ofRequests.map(({ startedAt: at }) => ({ at, amount: 1 }));
    const p99BySecond = (requestClass: RequestClass) => {
        const classLatencies = requestLatencies(run, requestClass);
        return Array.from({ length: Math.ceil(schedule.seconds) }, (_, second) => {
            const from = startedAt + second * 1_000;
            const values = classLatencies.filter(({ at }) => at >= from && at < from + 1_000).map(one =>
                one.milliseconds
            );
            return [second, computePercentile(values, 0.99) ?? 0] as const;
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
            { name: "status other than 200", points: bySecond(toAmounts(failed)) },
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
                points: run.samples.filter(({ region, total }) => region === name && total > 0)
                    .map(({ second, used, total }) => [second, 100 * used / total] as const),
            })),
        ),
    ];
}
