import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createDeadlineTimer, type DeadlineTimer } from "./deadline-timer.js";
import type { ManualClock } from "./manual-clock.js";
import { createManualClock } from "./manual-clock.js";

let clock: ManualClock;
let woken: number[];
let outcome: unknown;
let timer: DeadlineTimer;
let expiredAt: Map<number, number>;

Given("a manual clock", () => {
    clock = createManualClock();
    woken = [];
});

Given("sleepers of {int}, {int} and {int} milliseconds", (first: number, second: number, third: number) => {
    [first, second, third].forEach(duration => {
        void clock.sleep(duration).then(() => woken.push(duration));
    });
});

When("the clock advances by {int} milliseconds", async (milliseconds: number) => {
    await clock.advance(milliseconds);
});

Then("the sleepers of {int} and {int} milliseconds woke in this order", (first: number, second: number) => {
    assert.deepEqual(woken, [first, second]);
});

When("a wait of {int} milliseconds is aborted", async (milliseconds: number) => {
    const controller = new AbortController();
    const wait = clock.sleep(milliseconds, controller.signal).catch((error: unknown) => error);
    controller.abort(new Error("stopping"));
    outcome = await wait;
});

Then("the wait is rejected with the abort reason", () => {
    assert.equal((outcome as Error).message, "stopping");
});

const addDeadline = (milliseconds: number) =>
    timer.add(milliseconds, () => expiredAt.set(milliseconds, clock.monotonicMilliseconds()));

When(
    "deadlines of {int}, {int} and {int} milliseconds are added and the one of {int} is cancelled",
    (first: number, second: number, third: number, cancelled: number) => {
        timer = createDeadlineTimer(clock);
        expiredAt = new Map();
        const cancels = new Map([first, second, third].map(duration => [duration, addDeadline(duration)]));
        cancels.get(cancelled)?.();
    },
);

Then(
    "the deadline of {int} expires at {int} and the one of {int} at {int} milliseconds",
    async (first: number, firstAt: number, second: number, secondAt: number) => {
        for (let step = 0; step < 40; step += 1) {
            await clock.advance(10);
        }
        assert.deepEqual([...expiredAt], [[first, firstAt], [second, secondAt]]);
    },
);

Then("a stopped timer expires no deadline", async () => {
    expiredAt.clear();
    addDeadline(50);
    timer.stop();
    addDeadline(60);
    await clock.advance(100);
    assert.equal(expiredAt.size, 0);
});
