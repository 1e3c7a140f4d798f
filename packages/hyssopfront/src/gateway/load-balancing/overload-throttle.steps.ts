import { Given, Then, When } from "@cucumber/cucumber";
import { createManualClock, type ManualClock } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { createOverloadThrottle, type OverloadThrottle } from "./overload-throttle.js";

const SECOND_MS = 1_000;

let throttleClock: ManualClock;
let throttle: OverloadThrottle;

Given("a throttle whose random numbers are evenly spread", () => {
    let calls = 0;
    throttleClock = createManualClock();
    throttle = createOverloadThrottle(throttleClock, () => {
        calls += 1;
        return (calls * 0.618034) % 1;
    });
});

const record = async (completed: number, timeouts: number, seconds: number) => {
    const total = completed + timeouts;
    for (let request = 0; request < total; request += 1) {
        // Spreads the timeouts evenly among the completed requests.
        const isTimeout = Math.floor((request + 1) * timeouts / total) > Math.floor(request * timeouts / total);
        throttle.recordEnd(!isTimeout);
        await throttleClock.advance(seconds * SECOND_MS / total);
    }
};
When(
    "{int} requests are completed within {int} s",
    (completed: number, seconds: number) => record(completed, 0, seconds),
);
When("{int} requests are completed and {int} time out within {int} s", record);
When(
    "{int} requests arrive each second for {int} s, and those that are admitted are completed",
    async (rate: number, seconds: number) => {
        for (let request = 0; request < rate * seconds; request += 1) {
            if (throttle.admits(false)) {
                throttle.recordEnd(true);
            }
            await throttleClock.advance(SECOND_MS / rate);
        }
    },
);
When("{int} s pass without requests", (seconds: number) => throttleClock.advance(seconds * SECOND_MS));

const countAdmitted = (count: number, isCached: boolean) =>
    Array.from({ length: count }, () => throttle.admits(isCached)).filter(isAdmitted => isAdmitted).length;
Then("all of {int} requests are admitted", (count: number) => assert.equal(countAdmitted(count, false), count));
Then(
    "all of {int} requests for cached objects are admitted",
    (count: number) => assert.equal(countAdmitted(count, true), count),
);
Then("between {int} and {int} of {int} requests are admitted", (least: number, most: number, count: number) => {
    const admitted = countAdmitted(count, false);
    assert.ok(admitted >= least && admitted <= most, `${admitted} were admitted.`);
});
