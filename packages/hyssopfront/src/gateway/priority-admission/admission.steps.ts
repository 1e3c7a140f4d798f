import { type DataTable, Given, Then, When } from "@cucumber/cucumber";
import { createManualClock, type ManualClock } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { SAMPLE_BACKEND_RECORD } from "../../registry/sample-backend-record.js";
import { createBackendServers } from "../backend-servers.js";
import type { LoadBalancer } from "../load-balancing/load-balancer.js";
import { type AdmissionQueue, createAdmissionQueue } from "./admission-queue.js";
import { type Admission, createPriorityAdmission, type PriorityAdmission } from "./priority-admission.js";
import { createRetryPacing } from "./retry-pacing.js";

const PRIORITIES = 3;
const JITTER_SHARE = 0.2;

let clock: ManualClock;
let queue: AdmissionQueue<string>;
let waitsMilliseconds: number;
let capacity: number;
let admitted: string[];
let ends: string[];
let retryTimes: readonly number[];
let admission: PriorityAdmission;
let inFlight: Admission[];
let rejections: number;
let events: string[];
let counters: Map<string, number>;

const wait = (level: number, account: string, count: number) =>
    Array.from({ length: count }).forEach(() => {
        const tryAcquire = () => {
            if (capacity <= 0) {
                return undefined;
            }
            capacity -= 1;
            admitted.push(`${level}${account}`);
            return "admitted";
        };
        const waitsUntil = clock.monotonicMilliseconds() + waitsMilliseconds;
        void queue.wait({ level, account, waitsUntil, tryAcquire }).then(end => ends.push(end));
    });

Given("a queue in which requests wait for {int} ms", (milliseconds: number) => {
    clock = createManualClock();
    queue = createAdmissionQueue(clock, PRIORITIES);
    waitsMilliseconds = milliseconds;
    capacity = 0;
    admitted = [];
    ends = [];
});
When(
    "these requests wait",
    (table: DataTable) =>
        table.hashes().forEach(row => wait(Number(row["priority"]), String(row["account"]), Number(row["requests"]))),
);
When("{int} requests of priority {int} wait", async (count: number, level: number) => {
    wait(level, "a", count);
    await clock.advance(0);
});
When("there is capacity for {int} requests", (count: number) => {
    capacity = count;
    queue.dispatch();
});
When("{int} ms pass", (milliseconds: number) => clock.advance(milliseconds));
Then("these requests were admitted: {string}", (expected: string) => assert.equal(admitted.join(" "), expected));
Then("{int} requests ended with {string} and {int} wait", async (count: number, end: string, waiting: number) => {
    await clock.advance(0);
    assert.equal(ends.filter(other => other === end).length, count);
    assert.equal(queue.length, waiting);
});

When(
    "{int} requests are completed each second, {int} wait, and {int} callers with {int} ms left are rejected",
    (completed: number, waiting: number, callers: number, remaining: number) => {
        const pacing = createRetryPacing(createManualClock(), Math.random);
        retryTimes = Array.from({ length: callers }, () => pacing.assign(waiting, completed / 1_000, remaining));
    },
);
Then(/^they return ([\d, and]+) ms later, or up to a fifth more$/, (times: string) => {
    const expected = times.match(/\d+/g)?.map(Number) ?? [];
    assert.equal(retryTimes.length, expected.length);
    retryTimes.forEach((time, index) => {
        const least = expected[index] ?? NaN;
        assert.ok(time >= least && time <= least * (1 + JITTER_SHARE), `${time} ms instead of ${least} ms.`);
    });
});

/** Requests without time to wait, so that each is admitted or rejected at once. */
const arrive = async (priority: number, count: number) => {
    for (let index = 0; index < count; index += 1) {
        const now = clock.monotonicMilliseconds();
        const result = await admission.admit({
            service: "stoc",
            affinityKey: "object",
            homeRegions: [],
            excluded: new Set(),
            priority,
            account: undefined,
            startedAt: now,
            endsAt: now,
            latencyObjectiveMilliseconds: 0,
            isCancelled: () => false,
        });
        if (typeof result === "string") {
            rejections += 1;
        }
        else {
            inFlight.push(result);
        }
    }
};
Given(
    "a service of {int} slots without recent reports, {int} entries and {int} requests of priority {int} in flight",
    async (slots: number, entries: number, count: number, priority: number) => {
        clock = createManualClock();
        inFlight = [];
        rejections = 0;
        events = [];
        counters = new Map();
        const servers = createBackendServers({
            clock,
            random: Math.random,
            getRegion: zone => zone,
            onConnect: () => undefined,
        });
        servers.merge({ ...SAMPLE_BACKEND_RECORD, service: "stoc" });
        const selectServer = () => servers.listUsable("stoc")[0];
        admission = createPriorityAdmission({
            clock,
            counters: {
                increment: (name, amount = 1) => counters.set(name, (counters.get(name) ?? 0) + amount),
                gauge: () => undefined,
            },
            log: (_level, event) => events.push(event),
            random: Math.random,
            loadBalancer: { selectServer, countSlots: () => slots } as unknown as LoadBalancer,
            entryCount: () => entries,
        });
        await arrive(priority, count);
    },
);
When("{int} requests of priority {int} arrive and {int} ms pass", async (
    count: number,
    priority: number,
    milliseconds: number,
) => {
    await arrive(priority, count);
    await clock.advance(milliseconds);
});
When("all requests in flight are completed", () => inFlight.splice(0).forEach(({ release }) => release(true)));
Then("{int} more requests of priority {int} are admitted, and the next one is rejected", async (
    count: number,
    priority: number,
) => {
    await arrive(priority, count);
    assert.equal(rejections, 0);
    await arrive(priority, 1);
    assert.equal(rejections, 1);
});
Then("the log has these events: {string}", (expected: string) => assert.equal(events.join(", "), expected));
Then("the counters are {int} admitted and {int} rejected", (admittedCount: number, rejectedCount: number) => {
    assert.equal(counters.get("gateway.admission_admitted"), admittedCount);
    assert.equal(counters.get("gateway.admission_rejected"), rejectedCount);
});
