import { After, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import type { BackendServer } from "@hyssopfront/bench/backend-server/backend-server.ts";
import { BackendServerFault } from "@hyssopfront/bench/backend-server/faults.ts";
import type { CallerResponse } from "@hyssopfront/bench/caller/caller.ts";
import { makeIdempotencyKey } from "@hyssopfront/bench/caller/idempotency-key.ts";
import { createView } from "@hyssopfront/bench/entry-stand-in/entry-stand-in.ts";
import { createStandInWorld, REGIONS, SERVICE, waitUntil } from "@hyssopfront/bench/entry-stand-in/stand-in-world.ts";
import { createSeededRandom } from "@hyssopfront/bench/random/seeded-random.ts";
import {
    createSimulatedRunOnceGroup,
    GroupFault,
    type SimulatedEntryConnection,
    type SimulatedRunOnceGroup,
} from "@hyssopfront/bench/run-once-group/simulated-run-once-group.ts";
import { type Clock, createManualClock, createSystemClock, type ManualClock } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { slotsKey } from "../admission/budgets.js";
import { PeerRequestKind } from "../sessions/messages.js";
import { createRunOnceClient } from "./run-once-client.js";

setDefaultTimeout(30_000);

const world = createStandInWorld();
let group: SimulatedRunOnceGroup;
let connections: SimulatedEntryConnection[];
let keys: Map<number, string>;
let responsesByOrder: Map<number, CallerResponse[]>;
let manualClock: ManualClock;
let queuedResponse: Promise<CallerResponse>;

const getKey = (order: number) => {
    const key = keys.get(order) ?? makeIdempotencyKey();
    keys.set(order, key);
    return key;
};
const lastResponse = () => world.responses.at(-1) as CallerResponse;
const describeResponse = (response: CallerResponse) => `${response.status} ${response.outcome}`;
const recordedRequests = () => world.backendServers.flatMap(server => server.records);
const countRuns = (order: number) =>
    recordedRequests().filter(record => record.idempotencyKey === getKey(order)).length;
const firstBackendServer = () => world.backendServers[0] as BackendServer;

type SendOptions = { headers?: Record<string, string>; body?: string | Buffer; signal?: AbortSignal };

async function sendOrder(
    order: number,
    entry: number,
    { headers, body, signal }: SendOptions = {},
): Promise<CallerResponse> {
    const response = await (world.callers[entry - 1] as (typeof world.callers)[0]).send({
        id: `order-${order}`,
        method: "POST",
        path: "/orders",
        headers: { "idempotency-key": getKey(order), ...headers },
        body: body ?? `{"order":${order}}`,
        signal,
    });
    world.responses.push(response);
    responsesByOrder.set(order, [...responsesByOrder.get(order) ?? [], response]);
    return response;
}

After(() => world.close());

const createClient = (connection: SimulatedEntryConnection) =>
    createRunOnceClient({
        groups: ["sibiu", "pitesti"],
        call: group.createCall(connection),
        clock: createSystemClock(),
        entry: connection.entry,
        incarnation: connection.incarnation,
    });

async function startEntry(clock: Clock): Promise<void> {
    const entry = `entry-${world.entries.length + 1}`;
    const connection = { entry, incarnation: `${entry}-1`, hasCrashed: false };
    connections.push(connection);
    await world.startEntry({
        name: entry,
        view: createView({ [SERVICE]: {} }, REGIONS),
        handlerOptions: {
            clock,
            runOnce: createClient(connection),
        },
    });
}

Given("two entries and a run-once group", async () => {
    group = createSimulatedRunOnceGroup();
    connections = [];
    keys = new Map();
    responsesByOrder = new Map();
    await startEntry(createSystemClock());
    await startEntry(createSystemClock());
});

Given("entry 3 with a manual clock", () => {
    // The wall-clock time must be the present, because the age of keys is checked against it.
    manualClock = createManualClock(new Date());
    return startEntry(manualClock);
});

Given("a backend server for run-once requests", () => world.startBackendServer({ slots: 100 }));

Given(
    "a backend server for run-once requests that takes {int} ms",
    (serviceMilliseconds: number) => world.startBackendServer({ slots: 100, serviceMilliseconds }),
);

Given("the group loses the first {int} replies to begin", (count: number) => {
    let lostCount = 0;
    group.chooseFault = kind => {
        if (kind !== PeerRequestKind.BeginRunOnce || lostCount === count) {
            return undefined;
        }
        lostCount += 1;
        return GroupFault.ReplyLost;
    };
});

Given("the group applies every begin late", () => {
    group.chooseFault = kind => kind === PeerRequestKind.BeginRunOnce ? GroupFault.AppliedLater : undefined;
});

When("the group recovers and applies its late calls", async () => {
    await waitUntil("the attempt is abandoned", () => group.commands.length > 0);
    group.chooseFault = () => undefined;
    group.applyDelayedCommands();
});

Given("the group loses every call", () => {
    group.chooseFault = () => GroupFault.RequestLost;
});

When("the group replies again", () => {
    group.chooseFault = () => undefined;
});

Then(
    "the last response took less than {int} ms",
    (milliseconds: number) =>
        assert.ok(lastResponse().milliseconds < milliseconds, `It took ${lastResponse().milliseconds} ms.`),
);

Given("the backend server rejects requests", () => firstBackendServer().setRejecting(true));
When("the backend server accepts requests again", () => firstBackendServer().setRejecting(false));
Given(
    "the backend server resets connections after it ran a request",
    () => firstBackendServer().setFaults(() => BackendServerFault.Reset),
);
Given(
    "the backend server responds to order {int} with the fault {word}",
    (order: number, fault: BackendServerFault) =>
        firstBackendServer().setFaults(({ headers }) =>
            headers["idempotency-key"] === getKey(order) ? fault : undefined
        ),
);
Then("the outcome at the deadline is {word}", (expected: string) => {
    const { outcome, reason } = lastResponse();
    const expectedFields = expected === "nothing" ? [undefined, undefined] : [expected, "deadline-passed"];
    assert.deepEqual([outcome, reason], expectedFields, JSON.stringify(lastResponse()));
});
When("the backend server responds again", () => firstBackendServer().setFaults(undefined));

When("order {int} is sent to entry {int}", (order: number, entry: number) => sendOrder(order, entry));

When(
    "order {int} is sent to entry {int} with a deadline of {int} ms",
    (order: number, entry: number, ms: number) =>
        sendOrder(order, entry, { headers: { "hyssop-deadline-ms": String(ms) } }),
);

When(
    "order {int} is sent to entry {int} with another body",
    (order: number, entry: number) => sendOrder(order, entry, { body: "another" }),
);

When(
    "order {int} is sent to entry {int} for a response of {int} bytes",
    (order: number, entry: number, bytes: number) =>
        sendOrder(order, entry, { headers: { "test-answer-bytes": String(bytes) } }),
);

When("{int} orders are each sent to both entries concurrently", async (count: number) => {
    const orders = Array.from({ length: count }, (_, index) => index + 1);
    await Promise.all(orders.flatMap(order => [sendOrder(order, 1), sendOrder(order, 2)]));
});

/** Kills entry 1 during a call to the group; `isApplied` specifies whether the group still records the call. */
async function killEntryDuring(kind: PeerRequestKind, order: number, isApplied: boolean): Promise<void> {
    group.chooseFault = calledKind => {
        if (calledKind !== kind || (connections[0] as SimulatedEntryConnection).hasCrashed) {
            return undefined;
        }
        (connections[0] as SimulatedEntryConnection).hasCrashed = true;
        return isApplied ? GroupFault.ReplyLost : GroupFault.RequestLost;
    };
    const responsePromise = sendOrder(order, 1);
    await waitUntil("the entry is killed", () => (connections[0] as SimulatedEntryConnection).hasCrashed);
    await world.entries[0]?.kill();
    await responsePromise;
}

When(
    "entry 1 is killed immediately after the group recorded the begin of order {int}",
    (order: number) => killEntryDuring(PeerRequestKind.BeginRunOnce, order, true),
);

When(
    "entry 1 is killed before the group records the finish of order {int}",
    (order: number) => killEntryDuring(PeerRequestKind.FinishRunOnce, order, false),
);

When("entry 1 restarts and reports its incarnation, of which the group loses the first reply", async () => {
    let isLost = false;
    group.chooseFault = kind => {
        if (isLost || kind !== PeerRequestKind.ReportIncarnation) {
            return undefined;
        }
        isLost = true;
        return GroupFault.ReplyLost;
    };
    await createClient({ entry: "entry-1", incarnation: "entry-1-2", hasCrashed: false }).reportIncarnation();
});

When("the clock of the group advances by {int} seconds", (seconds: number) => {
    group.clockOffsetMilliseconds += seconds * 1_000;
});

const holdNoSlots = (entry: number) =>
    world.entries[entry - 1]?.admission.limits.set(slotsKey(SERVICE, firstBackendServer().name), 0);

When("entry {int} holds no slots", (entry: number) => {
    holdNoSlots(entry);
});

When(
    "the caller of order {int} closes its connection while the order waits for a slot of entry {int}",
    async (order: number, entry: number) => {
        holdNoSlots(entry);
        const counters = world.entries[entry - 1]?.counters;
        const controller = new AbortController();
        const responsePromise = sendOrder(order, entry, { signal: controller.signal });
        await waitUntil("the order waits", () => counters?.get("routing.queued") === 1);
        controller.abort();
        await responsePromise;
    },
);

When("order {int} waits for a slot of entry {int}", async (order: number, entry: number) => {
    holdNoSlots(entry);
    queuedResponse = sendOrder(order, entry);
    await waitUntil("the order waits", () => world.entries[entry - 1]?.handler.queued === 1);
});

When("the clock of entry 3 advances by {int} ms", (milliseconds: number) => manualClock.advance(milliseconds));

When("entry 3 holds slots again and its clock advances by {int} ms", async (milliseconds: number) => {
    world.entries[2]?.admission.limits.delete(slotsKey(SERVICE, firstBackendServer().name));
    await manualClock.advance(milliseconds);
});

Then("order {int} receives {string} from entry 3", async (order: number, expected: string) => {
    assert.equal(describeResponse(await queuedResponse), expected, `Order ${order}.`);
});

When("the caller of order {int} closes its connection while the order runs", async (order: number) => {
    const controller = new AbortController();
    const responsePromise = sendOrder(order, 1, { signal: controller.signal });
    await waitUntil("the order runs", () => recordedRequests().length === 1);
    controller.abort();
    assert.equal((await responsePromise).status, undefined);
});

When("order {int} is sent to entry {int} until it is no longer in progress", async (order: number, entry: number) => {
    const deadline = performance.now() + 10_000;
    while ((await sendOrder(order, entry)).status === 425) {
        assert.ok(performance.now() < deadline, "The order stays in progress.");
    }
});

When(
    "a request without a key, with a random key, with a key of 25 hours ago and with a key of the next hour are sent",
    async () => {
        const hour = 3_600_000;
        const times = [Date.now() - 25 * hour, Date.now() + hour];
        const keysToTry = ["", "0b0f0a3e-9a3c-4c55-9b1e-3d6c1f3f7a10", ...times.map(makeIdempotencyKey)];
        for (const key of keysToTry) {
            await sendOrder(0, 1, { headers: { "idempotency-key": key } });
        }
    },
);

When("a run-once body of {int} bytes is sent", (bytes: number) => sendOrder(0, 1, { body: Buffer.alloc(bytes) }));

Then("these responses are {string}", (expected: string) => {
    assert.deepEqual(world.responses.map(describeResponse), Array.from({ length: 4 }, () => expected));
});

Then("the last response is {string}", (expected: string) => {
    assert.equal(describeResponse(lastResponse()), expected, JSON.stringify(lastResponse()));
});

Then("the responses are {string} and {string}", (first: string, second: string) => {
    assert.deepEqual(world.responses.map(describeResponse), [first, second]);
});

Then("both responses have the same body", () => {
    assert.ok(lastResponse().body.startsWith("order-1|"));
    assert.equal(world.responses[0]?.body, world.responses[1]?.body);
});

Then("order {int} ran once", (order: number) => assert.equal(countRuns(order), 1));

Then("no order ran", () => assert.equal(recordedRequests().length, 0));

Then("each of the {int} orders ran once", (count: number) => {
    for (let order = 1; order <= count; order += 1) {
        assert.equal(countRuns(order), 1, `Runs of order ${order}.`);
    }
});

Then("no response has the outcome not-run", () => {
    assert.deepEqual(world.responses.filter(response => response.outcome === "not-run"), []);
});

Given(
    "{int} backend servers for run-once requests with random faults and seed {int}",
    async (count: number, seed: number) => {
        const random = createSeededRandom(seed);
        const faults = Object.values(BackendServerFault);
        for (let index = 0; index < count; index += 1) {
            const server = await world.startBackendServer({
                slots: 4,
                echoesRequestId: true,
                serviceMilliseconds: () => random() * 10,
                faultDelayMilliseconds: 100,
                chooseFault: () => random() < 0.25 ? faults[Math.floor(random() * faults.length)] : undefined,
            });
            assert.ok(server.port > 0);
        }
    },
);

Given("a group with random faults and restarts and seed {int}", (seed: number) => {
    const random = createSeededRandom(seed);
    const faults = Object.values(GroupFault);
    group.chooseFault = () => {
        if (random() < 0.05) {
            group.restart();
        }
        if (random() < 0.1) {
            group.applyDelayedCommands();
        }
        return random() < 0.2 ? faults[Math.floor(random() * faults.length)] : undefined;
    };
});

When(
    "{int} orders are each sent up to {int} times to random entries until their outcome is known, with seed {int}",
    async (count: number, tries: number, seed: number) => {
        const random = createSeededRandom(seed);
        const sendUntilKnown = async (order: number) => {
            for (let attempt = 0; attempt < tries; attempt += 1) {
                const response = await sendOrder(order, random() < 0.5 ? 1 : 2, {
                    headers: { "hyssop-deadline-ms": "400" },
                });
                if (response.status === 200) {
                    return;
                }
            }
        };
        const orders = Array.from({ length: count }, (_, index) => index + 1);
        const workers = Array.from({ length: 10 }, async () => {
            for (let order = orders.shift(); order !== undefined; order = orders.shift()) {
                await sendUntilKnown(order);
            }
        });
        await Promise.all(workers);
        group.chooseFault = () => undefined;
    },
);

Then("no order ran twice", () => {
    assert.deepEqual([...responsesByOrder.keys()].filter(order => countRuns(order) > 1), []);
});

Then("every order with a response of status 200 ran once", () => {
    const successfulOrders = [...responsesByOrder].filter(([, responses]) =>
        responses.some(response => response.status === 200)
    );
    assert.ok(successfulOrders.length > 0);
    successfulOrders.forEach(([order, responses]) => {
        assert.equal(countRuns(order), 1);
        assert.ok(
            responses.filter(response => response.status === 200).every(({ body }) =>
                body.startsWith(`order-${order}|`)
            ),
        );
    });
});

Then("no order whose responses all have the outcome not-run has run", () => {
    const ordersNotRun = [...responsesByOrder].filter(([, responses]) =>
        responses.every(response => response.outcome === "not-run")
    );
    assert.deepEqual(ordersNotRun.filter(([order]) => countRuns(order) > 0), []);
});
