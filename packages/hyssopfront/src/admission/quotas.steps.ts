import { Then, When } from "@cucumber/cucumber";
import {
    type Fault,
    FaultKind,
    type FaultSchedule,
    runFaultSchedule,
} from "@hyssopfront/bench/quotas/fault-schedule.js";
import { measureQuotaMove, measureUsableShare } from "@hyssopfront/bench/quotas/share-measurement.js";
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

const scheduleArbitrary: fc.Arbitrary<FaultSchedule> = fc.record({
    seed: fc.integer(),
    faults: fc.array(faultArbitrary, { maxLength: 12 }),
    lossProbability: fc.constantFrom(0, 0.05, 0.3),
    duplicationProbability: fc.constantFrom(0, 0.2),
    longestDelayMilliseconds: fc.constantFrom(100, 3_000),
    // With 200 ms, most grants are computed from cached totals that were updated after they were summed.
    cacheMillisecondsPerHolder: fc.constantFrom(0.5, 200),
});

let schedulesWithTraffic = 0;
let excess: string | undefined;

When("random schedules of faults run", { timeout: 120_000 }, async function() {
    this.log(`seed ${SEED}`);
    const property = fc.asyncProperty(scheduleArbitrary, async schedule => {
        const result = await runFaultSchedule(schedule);
        schedulesWithTraffic += (result.admitted.requests ?? 0) > 100 && (result.admitted.slots ?? 0) > 20 ? 1 : 0;
        assert.equal(result.excess, undefined);
    });
    await fc.assert(property, { seed: SEED, numRuns: RUNS, endOnFailure: true });
});

Then("no schedule exceeded a limit, and most of them carried traffic", () => {
    assert.ok(schedulesWithTraffic >= RUNS * 0.9, `Only ${schedulesWithTraffic} of ${RUNS} schedules carried traffic.`);
});

When("a schedule without faults runs in which each entry uses the whole cap", async () => {
    const schedule = {
        seed: SEED,
        faults: [],
        lossProbability: 0,
        duplicationProbability: 0,
        longestDelayMilliseconds: 100,
    };
    excess = (await runFaultSchedule(schedule, createUncoordinatedLimits)).excess;
});

Then("the schedule exceeded a limit", () => {
    assert.ok(excess !== undefined);
});

Then(
    "the usable share of a cap of {int} is at least {float} when all traffic arrives at one of {int} entries",
    { timeout: 60_000 },
    async (requestsPerSecond: number, goal: number, entries: number) => {
        const split = (index: number) => index === 0 ? 1 : 0;
        const { usableShare } = await measureUsableShare({
            entries,
            requestsPerSecond,
            split,
            offeredLoad: 1.5,
            seed: SEED,
        });
        assert.ok(usableShare >= goal, `The usable share is ${usableShare}.`);
    },
);

Then(
    "the usable share of a cap of {int} is at least {float} when traffic is spread over {int} entries",
    { timeout: 60_000 },
    async (requestsPerSecond: number, goal: number, entries: number) => {
        const split = () => 1 / entries;
        const { usableShare } = await measureUsableShare({
            entries,
            requestsPerSecond,
            split,
            offeredLoad: 1.5,
            seed: SEED,
        });
        assert.ok(usableShare >= goal, `The usable share is ${usableShare}.`);
    },
);

Then(
    "a quota of {int} moves to another of {int} entries within {int} milliseconds",
    { timeout: 60_000 },
    async (requestsPerSecond: number, entries: number, milliseconds: number) => {
        for (let seed = 1; seed <= 5; seed++) {
            const time = await measureQuotaMove({ entries, requestsPerSecond, offeredLoad: 1.5, seed });
            assert.ok(time !== undefined && time <= milliseconds, `With seed ${seed}, the move took ${time} ms.`);
        }
    },
);
