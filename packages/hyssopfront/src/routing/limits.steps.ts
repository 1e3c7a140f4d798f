import { Given, Then, When } from "@cucumber/cucumber";
import { createView, type EntryStandIn } from "@hyssopfront/bench/entry-stand-in/entry-stand-in.ts";
import { REGIONS, SERVICE, waitUntil } from "@hyssopfront/bench/entry-stand-in/stand-in-world.ts";
import { createSeededRandom } from "@hyssopfront/bench/random/seeded-random.ts";
import assert from "node:assert/strict";
import type { RegisteredEntry } from "../configuration/configuration-view.js";
import { randomChoice } from "./baselines/random-choice.js";
import { createRoundRobin } from "./baselines/round-robin.js";
import { allRecords, backendServer, sendConcurrently, sendSequentially, theEntry, world } from "./world.steps.js";

const setLimit = (key: string, units: number) => theEntry().admission.limits.set(key, units);

Given("an entry for a service with {int} connections per backend server and {int} entries", async (
    connections: number,
    entries: number,
) => {
    const view = createView({
        [SERVICE]: { defaultClass: "idempotent", connectionsPerBackendServer: connections },
    }, REGIONS);
    const names = Array.from({ length: entries }, (_, index) => `entry-${index + 1}`);
    await world.startEntry({
        view: { ...view, entries: new Map(names.map(name => [name, {} as RegisteredEntry])) },
    });
});

Given(/^an entry with the policy (round robin|random)$/, (policy: string) =>
    world.startEntry({
        policy: policy === "random" ? randomChoice : createRoundRobin(),
        random: createSeededRandom(20261208),
    }));

Given(
    "the entry holds {int} slots of each backend server",
    (slots: number) => world.backendServers.forEach(({ name }) => setLimit(`slots/${SERVICE}/${name}`, slots)),
);

When("the entry holds no slots of {word}", (name: string) => {
    setLimit(`slots/${SERVICE}/${name}`, 0);
});

Given(
    "a shift {word} of {int} percent from {word} to {word} with capacity for {int} request(s)",
    (name: string, percent: number, from: string, to: string, requests: number) => {
        const entry: EntryStandIn = theEntry();
        const cap = { requestsPerSecond: requests, bytesPerSecond: 1e9 };
        entry.view = {
            ...entry.view,
            shifts: new Map([[name, { service: SERVICE, from: { region: from }, to: { region: to }, percent, cap }]]),
        };
        setLimit(`shift/${name}/requests`, requests);
    },
);

Given("all backend servers reject requests", () => world.backendServers.forEach(server => server.setRejecting(true)));

When(
    "the caller requests a response of {int} bytes",
    (bytes: number) => sendSequentially(1, "large", { "test-answer-bytes": String(bytes) }),
);

When(
    "backend server {word} takes {int} ms from now on",
    (name: string, milliseconds: number) => backendServer(name).setServiceMilliseconds(milliseconds),
);

When(
    "all backend servers take {int} ms from now on",
    (milliseconds: number) => world.backendServers.forEach(server => server.setServiceMilliseconds(milliseconds)),
);

When(
    "the backend server that ran the most requests takes {int} ms from now on",
    (milliseconds: number) => {
        const [most] = world.backendServers.toSorted((one, other) => other.records.length - one.records.length);
        most?.setServiceMilliseconds(milliseconds);
    },
);

When(
    "the caller sends {int} requests with hedging disabled",
    (count: number) => sendSequentially(count, "unhedged", { "hyssop-hedge": "off" }),
);

When(
    "a backend server with a cold start of {int} times its service time starts",
    (factor: number) =>
        world.startBackendServer({
            name: "cold",
            serviceMilliseconds: 5,
            coldStartMilliseconds: 60_000,
            coldStartFactor: factor,
        }),
);

When("the caller sends {int} requests at the same time in groups of {int}", async (count: number, group: number) => {
    for (let sent = 0; sent < count; sent += group) {
        await sendConcurrently(group, `group-${sent}`, { "hyssop-hedge": "off" });
    }
});

Then("no more than {int} slots of a backend server were in use at the same time", (slots: number) => {
    const peaks = [...theEntry().admission.peaks].filter(([key]) => key.startsWith("slots/"));
    assert.equal(peaks.length, world.backendServers.length);
    peaks.forEach(([key, peak]) => assert.ok(peak <= slots, `${key} had ${peak}.`));
});

Then("each request succeeded or received status {int} with outcome not-run", (status: number) => {
    assert.ok(world.responses.some(response => response.status === 200));
    world.responses.filter(response => response.status !== 200).forEach(response => {
        assert.deepEqual([response.status, response.outcome], [status, "not-run"]);
    });
});

Given(
    "an entry with a queue of {int} requests",
    (maximumLength: number) => world.startEntry({ handlerOptions: { maximumQueueLength: maximumLength } }),
);

Then(
    "{int} more requests receive status {int} with outcome {word} and reason {word}",
    (count: number, status: number, outcome: string, reason: string) => {
        const matching = world.responses.filter(response => response.status === status);
        assert.equal(matching.length, count);
        assert.ok(matching.every(response => response.outcome === outcome && response.reason === reason));
    },
);

Then("the queue is empty", () => assert.equal(theEntry().handler.queued, 0));

Then(
    "all slots are free again",
    () =>
        waitUntil(
            "all slots are free",
            () => [...theEntry().admission.used].every(([key, units]) => !key.startsWith("slots/") || units === 0),
        ),
);

Then(
    "the backend servers had at most {int} connections at the same time",
    (count: number) =>
        world.backendServers.forEach(server =>
            assert.ok(server.openConnections <= count && server.openConnections > 0)
        ),
);

Then(
    /^(\S+) had (\d+) units in use$/,
    (key: string, units: string) => assert.equal(theEntry().admission.used.get(key), Number(units)),
);

Then("the counter {word} is at most {int}", (name: string, most: number) => {
    const value = theEntry().counters.get(name) ?? 0;
    assert.ok(value <= most, `${name} is ${value}.`);
});

Then("no request ran twice on the same backend server", () =>
    world.backendServers.forEach(({ records }) => {
        assert.equal(new Set(records.map(record => record.id)).size, records.length);
    }));

Then("the cold backend server ran less than a sixth of them", () => {
    const { records } = backendServer("cold");
    assert.ok(records.length > 0 && records.length < 200 / 6, `It ran ${records.length}.`);
});

Then("the cold backend server had at most {int} requests at the same time", (most: number) => {
    const peak = theEntry().admission.peaks.get(`slots/${SERVICE}/cold`) ?? 0;
    assert.ok(peak > 0 && peak <= most, `It had ${peak}.`);
});

Then("each backend server ran at least {int} requests", (least: number) => {
    assert.ok(world.backendServers.every(server => server.records.length >= least));
    assert.equal(allRecords().length, 40);
});
