import { Then, When } from "@cucumber/cucumber";
import { type Fault, FaultKind, runSchedule, type Schedule } from "@hyssopfront/bench/quotas/fault-schedule.js";
import { measureMove, measureShare } from "@hyssopfront/bench/quotas/share-measurement.js";
import fc from "fast-check";
import assert from "node:assert/strict";
import { createUncoordinatedLimits } from "./baselines/fixed-quotas.js";

const SEED = 20_261_204;
const RUNS = 150;

const faultArbitrary: fc.Arbitrary<Fault> = fc.record({
    at: fc.integer({ min: 1_000, max: 25_000 }),
    kind: fc.constantFrom(...Object.values(FaultKind)),
    target: fc.integer({ min: 0, max: 11 }),
    durationMilliseconds: fc.integer({ min: 10, max: 12_000 }),
    factor: fc.double({ min: 0.05, max: 2, noNaN: true }),
});

const scheduleArbitrary: fc.Arbitrary<Schedule> = fc.record({
    seed: fc.integer(),
    faults: fc.array(faultArbitrary, { maxLength: 12 }),
    lossShare: fc.constantFrom(0, 0.05, 0.3),
    duplicateShare: fc.constantFrom(0, 0.2),
    longestDelay: fc.constantFrom(100, 3_000),
    // With 200 ms, most grants are computed from cached totals that were updated after they were summed.
    millisecondsPerHolder: fc.constantFrom(0.5, 200),
});

let schedulesWithTraffic = 0;
let excess: string | undefined;

When("random schedules of faults run", { timeout: 120_000 }, async function() {
    this.log(`seed ${SEED}`);
    const property = fc.asyncProperty(scheduleArbitrary, async schedule => {
        const result = await runSchedule(schedule);
        schedulesWithTraffic += (result.carried.requests ?? 0) > 100 && (result.carried.slots ?? 0) > 20 ? 1 : 0;
        assert.equal(result.excess, undefined);
    });
    await fc.assert(property, { seed: SEED, numRuns: RUNS, endOnFailure: true });
});

Then("no schedule exceeded a limit, and most of them carried traffic", () => {
    assert.ok(schedulesWithTraffic >= RUNS * 0.9, `Only ${schedulesWithTraffic} of ${RUNS} schedules carried traffic.`);
});

When("a schedule without faults runs in which each entry uses the whole cap", async () => {
    const schedule = { seed: SEED, faults: [], lossShare: 0, duplicateShare: 0, longestDelay: 100 };
    excess = (await runSchedule(schedule, createUncoordinatedLimits)).excess;
});

Then("the schedule exceeded a limit", () => {
    assert.ok(excess !== undefined);
});

Then(
    "the usable share of a cap of {int} is at least {float} when all traffic arrives at one of {int} entries",
    { timeout: 60_000 },
    async (requestsPerSecond: number, goal: number, entries: number) => {
        const split = (index: number) => index === 0 ? 1 : 0;
        const { usableShare } = await measureShare({ entries, requestsPerSecond, split, offered: 1.5, seed: SEED });
        assert.ok(usableShare >= goal, `The usable share is ${usableShare}.`);
    },
);

Then(
    "the usable share of a cap of {int} is at least {float} when traffic is spread over {int} entries",
    { timeout: 60_000 },
    async (requestsPerSecond: number, goal: number, entries: number) => {
        const split = () => 1 / entries;
        const { usableShare } = await measureShare({ entries, requestsPerSecond, split, offered: 1.5, seed: SEED });
        assert.ok(usableShare >= goal, `The usable share is ${usableShare}.`);
    },
);

Then(
    "a quota of {int} moves to another of {int} entries within {int} milliseconds",
    { timeout: 60_000 },
    async (requestsPerSecond: number, entries: number, milliseconds: number) => {
        for (let seed = 1; seed <= 5; seed++) {
            const time = await measureMove({ entries, requestsPerSecond, offered: 1.5, seed });
            assert.ok(time !== undefined && time <= milliseconds, `With seed ${seed}, the move took ${time} ms.`);
        }
    },
);
