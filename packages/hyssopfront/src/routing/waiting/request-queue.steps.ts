import { Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import {
    type CompletedRequest,
    createQueueSimulation,
    type QueueSimulation,
    type QueueSimulationOptions,
    WARM_UP_MS,
} from "@hyssopfront/bench/quotas/queue-simulation.js";
import { createSeededRandom } from "@hyssopfront/bench/random/seeded-random.js";
import { peakOverWindow } from "@hyssopfront/bench/report/statistics.js";
import assert from "node:assert/strict";
import { RequestClass } from "../../resources/resource.js";
import { DISPATCH_INTERVAL_MS, MAXIMUM_WAIT_MS } from "./request-queue.js";

const SEED = 20_261_204;
/** Step of the simulation. */
const STEP_MS = 5;
/** Longer than the time for which past usage counts as demand. */
const IDLE_MS = 2_500;

setDefaultTimeout(30_000);

let simulation: QueueSimulation;
let burst: { readonly tenant: string; readonly perStep: number; readonly milliseconds: number };

const computeWait = ({ sentAt, admittedAt }: CompletedRequest) => admittedAt - sentAt;
const listCompleted = (tenant: string) =>
    simulation.completedRequests.filter(({ request }) => request.tenant === tenant);
const isServed = ({ result }: CompletedRequest) => result === "served";

const sendMany = (count: number, deadlineMilliseconds = 10_000) => {
    for (let index = 0; index < count; index += 1) {
        void simulation.send({ entry: "entry-1", deadlineMilliseconds });
    }
};

const startSimulation = (options: QueueSimulationOptions) => {
    simulation = createQueueSimulation(options);
    return simulation.run(WARM_UP_MS);
};

Given(
    /^(\d+) entr(?:y|ies) with a quota allocator and (\d+) backend servers? of (\d+) slots that take (\d+) ms$/,
    (entries: string, backendServers: string, slots: string, serviceMilliseconds: string) =>
        startSimulation({
            entries: Number(entries),
            backendServers: Number(backendServers),
            slots: Number(slots),
            serviceMilliseconds: Number(serviceMilliseconds),
            seed: SEED,
        }),
);

Given(
    "a shift with a cap of {int} requests a second to {int} backend servers in another region",
    (requestsPerSecond: number, backendServers: number) =>
        startSimulation({ ...simulation.options, shift: { requestsPerSecond, backendServers } }),
);

When(
    "entry-1 and entry-2 receive {int} requests a second for {int} ms",
    async function(rate: number, milliseconds: number) {
        this.log(`seed ${SEED}`);
        const random = createSeededRandom(SEED);
        let dueAt = simulation.now();
        await simulation.run(milliseconds, () => {
            for (; dueAt <= simulation.now(); dueAt += 1_000 / rate) {
                void simulation.send({ entry: random() < 0.5 ? "entry-1" : "entry-2" });
            }
        });
    },
);

Then(
    "the shift moved at least {float} of its cap in the last {int} seconds, and never more than its cap",
    (least: number, seconds: number) => {
        const cap = simulation.options.shift!.requestsPerSecond;
        const moved = simulation.completedRequests.filter(({ isShifted }) => isShifted)
            .map(({ admittedAt }) => ({ at: admittedAt, amount: 1 }));
        const from = simulation.now() - seconds * 1_000;
        const count = moved.filter(({ at }) => at >= from).length;
        assert.ok(count >= least * cap * seconds, `${count} in ${seconds} s.`);
        assert.ok(peakOverWindow(moved, 1_000) <= cap);
    },
);

Then("no request was rejected", () => assert.ok(simulation.completedRequests.every(isServed)));

Given(
    "capacity becomes available without notification",
    () => startSimulation({ ...simulation.options, notifiesCapacity: false }),
);

When("each entry in turn receives its first request after a pause", async () => {
    for (const entry of simulation.names) {
        void simulation.send({ entry });
        await simulation.run(IDLE_MS);
    }
});

Then("each request was served within {int} ms", (milliseconds: number) => {
    assert.equal(simulation.completedRequests.length, simulation.names.length);
    simulation.completedRequests.forEach(completed =>
        assert.ok(isServed(completed) && computeWait(completed) <= milliseconds, JSON.stringify(completed))
    );
});

const completedNearby = () => simulation.completedRequests.filter(({ request }) => simulation.isNearby(request.entry));

Then("each request at entries in the region of the backend servers was served without waiting", () => {
    assert.ok(completedNearby().length > 1);
    completedNearby().forEach(completed =>
        assert.ok(isServed(completed) && computeWait(completed) === 0, JSON.stringify(completed))
    );
});

Then("an entry in that region without floors was among them", () => {
    assert.ok(completedNearby().some(({ request }) => simulation.countFloors(request.entry) === 0));
});

When(
    "{int} requests are kept queued or running at {word} for {int} ms",
    async (count: number, entry: string, milliseconds: number) => {
        let queued = 0;
        const fill = () => {
            for (; queued + simulation.running() < count; queued += 1) {
                void simulation.send({ entry }).then(() => queued -= 1);
            }
        };
        fill();
        await simulation.run(milliseconds, fill);
    },
);

Then(
    "{word} uses at least {float} of the slots that the floors of the other entries leave",
    async (entry: string, share: number) => {
        const most = simulation.countLeasableSlots(entry);
        assert.ok(simulation.running() >= share * most, `It uses ${simulation.running()} of ${most}.`);
    },
);

When(
    "random requests arrive at all entries for {int} ms, and some of their callers disconnect early",
    async function(milliseconds: number) {
        this.log(`seed ${SEED}`);
        const random = createSeededRandom(SEED);
        const disconnects: { readonly at: number; readonly caller: AbortController }[] = [];
        await simulation.run(milliseconds, () => {
            const entry = simulation.names[Math.floor(random() ** 2 * simulation.names.length)]!;
            const caller = new AbortController();
            disconnects.push({ at: simulation.now() + 2_000 * random(), caller });
            void simulation.send({
                entry,
                tenant: `tenant-${Math.floor(3 * random())}`,
                requestClass: random() < 0.3 ? RequestClass.RunOnce : RequestClass.Idempotent,
                deadlineMilliseconds: 3_000 * random(),
                signal: caller.signal,
            });
            disconnects.filter(({ at }) => at <= simulation.now()).forEach(({ caller: disconnected }) =>
                disconnected.abort()
            );
        });
        await simulation.run(MAXIMUM_WAIT_MS + IDLE_MS);
    },
);

Then("no backend server ran more than {int} requests at the same time", (most: number) => {
    assert.ok(simulation.peakInFlight() <= most, `One ran ${simulation.peakInFlight()}.`);
});

Then("some requests were served, some timed out in the queue and some were cancelled", () => {
    const results = new Set<string>(simulation.completedRequests.map(({ result }) => result));
    assert.ok(["served", "noRoom", "deadlinePassed", "callerGone"].every(result => results.has(result)));
});

Then("every slot is free again", () => {
    assert.equal(simulation.running(), 0);
    // An idle entry requests the slots that it counts as in use, so this detects slots that were not released.
    simulation.names.forEach(entry => assert.equal(simulation.demandedSlots(entry), 0));
});

When(
    "all slots that {word} holds are in use and {int} more requests are queued",
    async (entry: string, count: number) => {
        for (let free = simulation.freeSlots(entry); free > 0; free -= 1) {
            void simulation.send({ entry });
        }
        for (let index = 0; index < count; index += 1) {
            void simulation.send({ entry });
        }
        await simulation.run(2 * DISPATCH_INTERVAL_MS);
    },
);

Then("{word} requests {int} slots more than it uses", (entry: string, count: number) => {
    assert.equal(simulation.demandedSlots(entry) - simulation.running(), count);
});

Then("{word} requests no slots {int} ms after the last request", async (entry: string, milliseconds: number) => {
    await simulation.run(milliseconds);
    assert.equal(simulation.running(), 0);
    assert.equal(simulation.demandedSlots(entry), 0);
});

When(
    "tenant {string} sends {int} idempotent requests each second to entry-1 for {int} ms",
    (tenant: string, perSecond: number, milliseconds: number) => {
        burst = { tenant, perStep: perSecond * STEP_MS / 1_000, milliseconds };
    },
);

When(
    "tenant {string} and run-once requests of tenant {string} arrive every {int} ms meanwhile",
    async (other: string, runOnce: string, interval: number) => {
        let step = 0;
        await simulation.run(burst.milliseconds, () => {
            for (let sent = 0; sent < burst.perStep; sent += 1) {
                void simulation.send({ entry: "entry-1", tenant: burst.tenant });
            }
            if (step % (interval / STEP_MS) === 0) {
                void simulation.send({ entry: "entry-1", tenant: other });
                void simulation.send({ entry: "entry-1", tenant: runOnce, requestClass: RequestClass.RunOnce });
            }
            step += 1;
        });
        await simulation.run(MAXIMUM_WAIT_MS);
    },
);

Then("each request of tenants {string} and {string} was served", (other: string, runOnce: string) => {
    [other, runOnce].forEach(tenant => {
        assert.ok(listCompleted(tenant).length > 10);
        assert.ok(
            listCompleted(tenant).every(isServed),
            JSON.stringify(listCompleted(tenant).find(completed => !isServed(completed))),
        );
    });
});

Then("some requests of tenant {string} were rejected", (tenant: string) => {
    assert.ok(listCompleted(tenant).some(isServed) && listCompleted(tenant).some(({ result }) => result === "noRoom"));
});

When("{int} requests arrive at entry-1 at the same time", async (count: number) => {
    sendMany(count);
    await simulation.run(STEP_MS);
});

Then("the last requests were rejected immediately", () => {
    const rejected = simulation.completedRequests.filter(completed => !isServed(completed));
    assert.ok(rejected.length > 0);
    rejected.forEach(completed =>
        assert.deepEqual([completed.result, computeWait(completed) <= STEP_MS], ["queueFull", true])
    );
});

When("{int} requests arrive at entry-1, one every 5 ms", async (count: number) => {
    let sent = 0;
    await simulation.run(count * STEP_MS, () => {
        sent += 1;
        void simulation.send({ entry: "entry-1", deadlineMilliseconds: 10_000 + sent });
    });
    await simulation.run(2 * MAXIMUM_WAIT_MS);
});

Then("they were served in order of arrival", () => {
    const served = simulation.completedRequests.filter(isServed);
    assert.ok(served.some(completed => computeWait(completed) > 0));
    const order = served.map(({ request }) => request.deadlineMilliseconds ?? 0);
    assert.deepEqual(order, [...order].sort((one, other) => one - other));
});

When(
    "{int} requests with a deadline of {int} ms arrive at entry-1 at the same time",
    async (count: number, deadlineMilliseconds: number) => {
        sendMany(count, deadlineMilliseconds);
        await simulation.run(MAXIMUM_WAIT_MS + IDLE_MS);
    },
);

Then("one request ended with {string} after {int} ms", (result: string, milliseconds: number) => {
    const unserved = simulation.completedRequests.filter(completed => !isServed(completed));
    assert.equal(unserved.length, 1);
    assert.equal(unserved[0]?.result, result);
    assert.ok(
        Math.abs(computeWait(unserved[0]!) - milliseconds) <= 2 * STEP_MS,
        `It waited ${computeWait(unserved[0]!)} ms.`,
    );
});

Given(
    "{int} more backend servers in another region",
    (farBackendServers: number) => startSimulation({ ...simulation.options, farBackendServers }),
);

const sendAtRate = (rate: number, milliseconds: number) => {
    const nearby = simulation.names.filter(simulation.isNearby);
    assert.ok(nearby.some(name => simulation.countFloors(name) === 0));
    let dueAt = simulation.now();
    return simulation.run(milliseconds, () => {
        for (; dueAt <= simulation.now(); dueAt += 1_000 / rate) {
            nearby.forEach(entry => void simulation.send({ entry }));
        }
    });
};

When(
    "each entry in the region receives {int} requests a second for {int} ms, while nearby backend servers are drained",
    async (rate: number, milliseconds: number) => {
        simulation.drainNearby(true);
        await sendAtRate(rate, milliseconds);
        simulation.drainNearby(false);
    },
);

When("each receives {int} requests a second for {int} ms after the drain", sendAtRate);

Then("at least {float} of the requests in the last {int} seconds ran nearby", (share: number, seconds: number) => {
    const last = simulation.completedRequests.filter(({ sentAt }) => sentAt >= simulation.now() - seconds * 1_000);
    const near = last.filter(({ isNearby }) => isNearby).length;
    assert.ok(near >= share * last.length, `${near} of ${last.length} ran nearby.`);
});
