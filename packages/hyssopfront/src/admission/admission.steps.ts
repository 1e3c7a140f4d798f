import { Before, Given, Then, When } from "@cucumber/cucumber";
import { SAMPLE_BACKEND_SERVER, sampleView } from "@hyssopfront/bench/quotas/sample-view.js";
import { createManualClock, type ManualClock } from "@hyssopfront/coordination";
import fc from "fast-check";
import assert from "node:assert/strict";
import type { AnnouncedBackendServer } from "../announcements/announcement.js";
import type { ConfigurationView } from "../configuration/configuration-view.js";
import type { Reservation } from "./admission.js";
import { createStaticQuotas } from "./baselines/fixed-quotas.js";
import { connectionsKey, linkKey, shiftRequestsKey, slotsKey } from "./budgets.js";
import { createEntryAdmission, type EntryAdmission } from "./entry-admission.js";

const SEED = 20_261_205;
const REQUESTS = shiftRequestsKey("evening");
const BYTES = linkKey("hame", "itasuomi");

let clock: ManualClock;
let admission: EntryAdmission;
let setView: (view: ConfigurationView) => void;
let reservation: Reservation | string;
let wait: Promise<unknown>;
let announced: AnnouncedBackendServer[];
let holdsViewLease: boolean;

const view = (revision: number, requestsPerSecond: number, linkBytesPerSecond = 1_000_000) =>
    sampleView({ revision, entries: ["entry-1"], requestsPerSecond, linkBytesPerSecond });

const createAdmission = (first: ConfigurationView) => {
    clock = createManualClock();
    let current = first;
    announced = [];
    holdsViewLease = true;
    admission = createEntryAdmission({
        clock,
        entry: "entry-1",
        configuration: {
            view: () => current,
            holdsViewLease: () => holdsViewLease,
            onChange: listener => {
                setView = changed => listener(current = changed);
                return () => undefined;
            },
        },
        announcements: { backendServers: service => announced.filter(server => server.service === service) },
    });
};

const grant = (requests: number, bytes: number) => {
    const sentAt = clock.monotonicMilliseconds();
    admission.collectDemands();
    admission.applyGrants([
        { key: REQUESTS, portion: requests, floor: Math.min(requests, 10), limit: 100 },
        { key: BYTES, portion: bytes, floor: 0, limit: 1_000_000 },
    ], sentAt);
};

Before(() => createAdmission(view(1, 100)));

Given(
    "an entry with a cap of {int} requests and {int} bytes per second",
    (requests: number, bytes: number) => createAdmission(view(1, requests, bytes)),
);

Given("quotas of {int} requests and {int} bytes", grant);

Then(
    "random reservations with changing quotas keep the usage of the last second within the current quota",
    { timeout: 20_000 },
    async function() {
        this.log(`seed ${SEED}`);
        const step = fc.record({
            wait: fc.oneof(fc.constant(0), fc.double({ min: 0, max: 30, noNaN: true })),
            amount: fc.integer({ min: 1, max: 5 }),
            quota: fc.option(fc.integer({ min: 0, max: 100 }), { freq: 20, nil: undefined }),
        });
        const property = fc.asyncProperty(fc.array(step, { minLength: 200, maxLength: 400 }), async steps => {
            createAdmission(view(1, 100));
            const acquired: { at: number; amount: number }[] = [];
            let quota = 0;
            for (const { wait: milliseconds, amount, quota: changed } of steps) {
                await clock.advance(milliseconds);
                if (changed !== undefined) {
                    // Renewals with equal times cannot be ordered, and the grants of the first would be ignored.
                    await clock.advance(1);
                    quota = changed;
                    grant(quota, 0);
                }
                const now = clock.monotonicMilliseconds();
                if (typeof admission.tryReserve([{ key: REQUESTS, amount }]) === "string") {
                    continue;
                }
                acquired.push({ at: now, amount });
                const sum = acquired.filter(({ at }) => at > now - 1_000).reduce((all, item) => all + item.amount, 0);
                assert.ok(sum <= quota, `${sum} units were acquired with a quota of ${quota} at ${now} ms.`);
            }
            assert.ok(acquired.length > 0);
        });
        await fc.assert(property, { seed: SEED, numRuns: 100, endOnFailure: true });
    },
);

When("a request with {int} bytes is reserved", (bytes: number) => {
    reservation = admission.tryReserve([{ key: REQUESTS, amount: 1 }, { key: BYTES, amount: bytes }]);
});

Then("the reservation is rejected for its bytes", () => assert.equal(reservation, BYTES));

Then("{int} requests are available", (count: number) => assert.equal(admission.available(REQUESTS), count));

When("the cap is lowered to {int} requests and raised to {int} again", (low: number, high: number) => {
    setView(view(2, low));
    setView(view(3, high));
});

When("{int} milliseconds pass", (milliseconds: number) => clock.advance(milliseconds));

When("two renewals are sent and the first is granted {int} requests", async (quota: number) => {
    admission.collectDemands();
    await clock.advance(500);
    admission.collectDemands();
    admission.applyGrants([{ key: REQUESTS, portion: quota, floor: 0, limit: 100 }], 0);
});

When("{int} bytes wait for capacity", (bytes: number) => {
    wait = admission.waitForCapacity([BYTES], bytes, new AbortController().signal).then(() =>
        clock.monotonicMilliseconds()
    );
});

Then("the wait ends after {int} to {int} milliseconds", async (shortest: number, longest: number) => {
    await clock.advance(longest);
    const endedAt = await wait;
    assert.ok(typeof endedAt === "number" && endedAt >= shortest, `The wait ended at ${String(endedAt)}.`);
});

When("{int} bytes wait for capacity and the request is cancelled", async (bytes: number) => {
    const controller = new AbortController();
    wait = admission.waitForCapacity([BYTES], bytes, controller.signal).catch((error: unknown) => error);
    await clock.advance(50);
    controller.abort(new Error("cancelled"));
});

Then("the wait was rejected and no demand remains after a second", async () => {
    assert.equal((await wait as Error).message, "cancelled");
    await clock.advance(1_100);
    assert.equal(admission.collectDemands().find(({ key }) => key === BYTES)?.wanted ?? 0, 0);
});

Then("{int} connections to a backend server are shared by {int} entry", (limit: number, entries: number) => {
    assert.equal(admission.available(connectionsKey("tilauspalvelu", "backend-1")), Math.floor(limit / entries));
});

const SLOTS = slotsKey(SAMPLE_BACKEND_SERVER.service, SAMPLE_BACKEND_SERVER.name);

Given("a floor of {int} slots of an announced backend server", (floor: number) => {
    announced = [SAMPLE_BACKEND_SERVER];
    const sentAt = clock.monotonicMilliseconds();
    admission.collectDemands();
    admission.applyGrants([{ key: SLOTS, portion: floor, floor, limit: 6 }], sentAt);
});

When("the entry is disconnected", () => {
    holdsViewLease = false;
});

When("the announcement expires during a renewal and is then received again", async () => {
    announced = [];
    await clock.advance(500);
    admission.collectDemands();
    announced = [SAMPLE_BACKEND_SERVER];
    await clock.advance(500);
    admission.collectDemands();
});

Then("{int} slots are available", (count: number) => assert.equal(admission.available(SLOTS), count));
Then("the floor is {int} slots", (count: number) => assert.equal(admission.getHeldFloor(SLOTS), count));

Then("static quotas of {int} slots give six of {int} entries one slot each", (slots: number, count: number) => {
    const entries = Array.from({ length: count }, (_, index) => `entry-${index + 1}`);
    const shared = sampleView({ revision: 1, entries, requestsPerSecond: 1, slotsPerBackendServer: slots });
    const configuration = { view: () => shared, holdsViewLease: () => true, onChange: () => () => undefined };
    const quotas = entries.map(entry =>
        createStaticQuotas({ clock, configuration, entry }).available(slotsKey("tilauspalvelu", "backend-1"))
    );
    assert.deepEqual(quotas.sort(), [0, 1, 1, 1, 1, 1, 1]);
});
