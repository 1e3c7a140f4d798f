import { Given, Then, When } from "@cucumber/cucumber";
import { createManualClock, type ManualClock } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { RequestClass } from "../resources/resource.js";
import { createFairQueue, type FairQueue, QueueError, QueueRejection } from "./fair-queue.js";

let clock: ManualClock;
let queue: FairQueue;
let dispatched: Map<string, number>;
let outcome: Promise<unknown>;

const enqueue = (count: number, tenant: string, requestClass = RequestClass.Idempotent, cost = 1) => {
    for (let request = 0; request < count; request++) {
        void queue.wait({ tenant, requestClass, cost, deadlineAt: 1_000 })
            .then(() => dispatched.set(tenant, (dispatched.get(tenant) ?? 0) + 1));
    }
};

const createQueue = (runOnceShare?: number, maximumAttempts?: number) => {
    clock = createManualClock();
    queue = createFairQueue({ clock, runOnceShare, maximumAttempts });
    dispatched = new Map();
};

Given("empty queues", () => createQueue());
Given("empty queues with a run-once share of {float}", (runOnceShare: number) => createQueue(runOnceShare));
Given("empty queues that try {int} requests of a tenant", (count: number) => createQueue(undefined, count));

When(
    "{int} idempotent requests of tenant {string} wait before {int} of tenant {string}",
    (first: number, tenant: string, second: number, other: string) => {
        enqueue(first, tenant);
        enqueue(second, other);
    },
);

When(
    "{int} idempotent requests of cost {int} of tenant {string} wait before {int} of cost {int} of tenant {string}",
    (first: number, cost: number, tenant: string, second: number, otherCost: number, other: string) => {
        enqueue(first, tenant, RequestClass.Idempotent, cost);
        enqueue(second, other, RequestClass.Idempotent, otherCost);
    },
);

When(
    "{int} idempotent requests of tenant {string} wait before {int} run-once requests of tenant {string}",
    (first: number, tenant: string, second: number, other: string) => {
        enqueue(first, tenant);
        enqueue(second, other, RequestClass.RunOnce);
    },
);

When("{int} run-once requests of tenant {string} were dispatched alone", async (count: number, tenant: string) => {
    enqueue(count, tenant, RequestClass.RunOnce);
    assert.equal(queue.dispatch(() => true), count);
    await clock.advance(0);
    dispatched.clear();
});

When("there is capacity for {int}", async (count: number) => {
    let capacity = count;
    queue.dispatch(() => capacity-- > 0);
    await clock.advance(0);
});

When("there is capacity for only requests of cost {int}", async (cost: number) => {
    queue.dispatch(request => request.cost === cost);
    await clock.advance(0);
});

When("there is capacity for only tenant {string}", async (tenant: string) => {
    queue.dispatch(request => request.tenant === tenant);
    await clock.advance(0);
});

Then(
    "{int} requests of tenant {string} and {int} of tenant {string} were dispatched",
    (first: number, tenant: string, second: number, other: string) => {
        assert.deepEqual([dispatched.get(tenant) ?? 0, dispatched.get(other) ?? 0], [first, second]);
    },
);

const enqueueOne = (signal?: AbortSignal, tenant = "a") =>
    queue.wait({ tenant, requestClass: RequestClass.Idempotent, cost: 1, deadlineAt: 100, signal })
        .catch((error: unknown) => error);

When("a request with a deadline in 100 milliseconds waits and 100 milliseconds pass", async () => {
    outcome = enqueueOne();
    await clock.advance(100);
});

When("a request waits and is cancelled", () => {
    const controller = new AbortController();
    outcome = enqueueOne(controller.signal);
    controller.abort(new Error("cancelled"));
});

When("one more request of tenant {string} arrives", (tenant: string) => {
    outcome = enqueueOne(undefined, tenant);
});

Then("the request was rejected because its deadline passed, and none waits", async () => {
    const error = await outcome;
    assert.ok(error instanceof QueueError && error.rejection === QueueRejection.DeadlinePassed);
    assert.equal(queue.length, 0);
});

Then("the request was rejected with the reason of its cancellation, and none waits", async () => {
    assert.equal((await outcome as Error).message, "cancelled");
    assert.equal(queue.length, 0);
});

Then("the request was rejected because the queue is full", async () => {
    const error = await outcome;
    assert.ok(error instanceof QueueError && error.rejection === QueueRejection.Full);
});
