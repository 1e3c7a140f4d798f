import { setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { Violation } from "../../checker/history.js";
import { COOPERATIVE_PLAN } from "../../deployment/plan.js";
import { getExitCode, type Report } from "../../report/report.js";
import { runProductDay } from "../day.js";
import { checkDay } from "./check-day.js";
import type { DayRun } from "./run-day.js";
import { makeSchedule } from "./schedule.js";

setDefaultTimeout(120_000);

let report: Report;
let violations: readonly Violation[];

const figure = (name: string) => report.figures.find(one => one.name === name)?.value;

Then("the schedules of seed {int} are equal and differ from that of seed {int}", (one: number, other: number) => {
    assert.deepEqual(makeSchedule(COOPERATIVE_PLAN, one, 90), makeSchedule(COOPERATIVE_PLAN, one, 90));
    assert.notDeepEqual(makeSchedule(COOPERATIVE_PLAN, one, 90), makeSchedule(COOPERATIVE_PLAN, other, 90));
});

When("a day of {int} s runs with seed {int}", async (seconds: number, seed: number) => {
    report = await runProductDay({ plan: COOPERATIVE_PLAN, seed, seconds });
});
Then("every change succeeded and no process exited unexpectedly", () => {
    assert.equal(figure("changes that failed"), 0, report.notes.join(" "));
    assert.equal(getExitCode(report), 0, report.deadProcesses.join(", "));
});
Then("the checker found no violation", () => assert.deepEqual(report.violations, []));

/** Creates a day of three requests that the shift moves, with the violation that the text describes. */
function makeDay(description: string): DayRun {
    const { services, regions, entries } = COOPERATIVE_PLAN;
    const shift = { service: services[0]!.name, fromRegion: regions[0]!.name, toRegion: regions[1]!.name };
    const availabilityZone = regions[1]!.availabilityZones[0]!;
    const gap = description.startsWith("3 requests") ? 300 : 500;
    const outcome = description.includes("reported as not run") ? "not-run" : "run";
    const foreignId = description.includes("another request") ? "r9.0" : undefined;
    const records = [0, 1, 2].map(index => ({
        id: `r${index}.0`,
        backendServer: `${shift.service}-3`,
        availabilityZone,
        startedAt: index === 2 && description.includes("after its server") ? 2_001 : index * gap + 1,
        idempotencyKey: description.includes("key") ? `key-${Math.min(index, 1)}` : undefined,
    }));
    const requests = records.map(({ id, backendServer }, index) => ({
        id: `r${index}`,
        service: shift.service,
        attempts: [{
            id,
            status: 200,
            outcome: index === 0 ? outcome : "run",
            backendServer,
            entry: entries[0]!.name,
            body: `${index === 0 ? foreignId ?? id : id}|${backendServer}|1|`,
            expectedBytes: index === 0 && description.includes("half") ? 100 : 0,
            sentAt: index * gap,
        }],
    }));
    return {
        plan: COOPERATIVE_PLAN,
        schedule: { shift: { ...shift, requestsPerSecond: 2 }, drain: { availabilityZone, to: 90 } },
        traffic: { requests },
        records,
        startedAt: 0,
        shiftFrom: 0,
        shiftTo: 90_000,
        drainedAt: description.includes("after its server") ? 0 : undefined,
    } as unknown as DayRun;
}

When("a day in which {} is checked", (description: string) => {
    violations = checkDay(makeDay(description));
});
Then("the checker found {int} of {word}", (count: number, kind: string) => {
    assert.deepEqual(violations.map(violation => violation.kind as string), Array.from({ length: count }, () => kind));
});

Then("the report has latencies of both classes, headroom, drain time, outcomes and a chart of the requests", () => {
    const names = [
        "idempotent: latency, p50",
        "runOnce: latency, p50",
        "minimum free share of slots in muntenia",
        "time until drained",
    ];
    names.forEach(name => assert.ok(Number.isFinite(figure(name)), name));
    assert.ok(figure("requests")! > 0);
    const sent = report.charts[0]!.series[0]!.points.reduce((sum, [, y]) => sum + y, 0);
    // A request that is sent as the day ends can be beyond the last second of the chart.
    assert.ok(sent > 0 && sent <= figure("requests")!, String(sent));
});
