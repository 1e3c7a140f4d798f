/**
 * Entries, backend servers and callers on 127.0.0.1 for the scenarios of this folder.
 */
import { After, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import type { BackendServer } from "@hyssopfront/bench/backend-server/backend-server.ts";
import type { Caller, CallerResponse } from "@hyssopfront/bench/caller/caller.ts";
import type { EntryStandIn } from "@hyssopfront/bench/entry-stand-in/entry-stand-in.ts";
import { createStandInWorld } from "@hyssopfront/bench/entry-stand-in/stand-in-world.ts";
import assert from "node:assert/strict";

setDefaultTimeout(20_000);

export const world = createStandInWorld();
const { startBackendServer, startEntry } = world;

export const theEntry = () => world.entries[0] as EntryStandIn;
export const theCaller = () => world.callers[0] as Caller;
export const backendServer = (name: string) =>
    world.backendServers.find(server => server.name === name) as BackendServer;
export const allRecords = () => world.backendServers.flatMap(server => server.records);
export const lastResponse = () => world.responses.at(-1) as CallerResponse;

/** Sends requests at the same time, with the ids `{prefix}-1`, `{prefix}-2` and so on. */
export async function sendConcurrently(
    count: number,
    prefix: string,
    headers: Record<string, string> = {},
): Promise<void> {
    const sent = Array.from(
        { length: count },
        (_, index) => theCaller().send({ id: `${prefix}-${index + 1}`, headers }),
    );
    world.responses.push(...await Promise.all(sent));
}

/** Sends requests one after another, with the ids `{prefix}-1`, `{prefix}-2` and so on. */
export async function sendSequentially(
    count: number,
    prefix: string,
    headers: Record<string, string> = {},
): Promise<void> {
    for (let index = 1; index <= count; index += 1) {
        world.responses.push(await theCaller().send({ id: `${prefix}-${index}`, headers }));
    }
}

After(() => world.close());

Given("an entry", () => startEntry());

Given("{int} backend server(s)", async (count: number) => {
    for (let index = 0; index < count; index += 1) {
        await startBackendServer();
    }
});

Given("{int} backend server(s) that take(s) {int} ms", async (count: number, serviceMilliseconds: number) => {
    for (let index = 0; index < count; index += 1) {
        await startBackendServer({ serviceMilliseconds });
    }
});

Given(
    "a backend server {word} in {word}",
    (name: string, availabilityZone: string) => startBackendServer({ name, availabilityZone }),
);

let batches = 0;
const nextPrefix = () => `batch-${batches += 1}`;

When("the caller sends {int} request(s)", (count: number) => sendSequentially(count, nextPrefix()));

When("the caller sends {int} requests at the same time", (count: number) => sendConcurrently(count, nextPrefix()));

Then("each request received its own complete response", () => {
    assert.ok(world.responses.length > 0);
    world.responses.forEach(response => {
        assert.equal(response.status, 200, JSON.stringify(response));
        assert.equal(response.outcome, "run");
        assert.ok(response.body.startsWith(`${response.id}|`), `${response.id} got "${response.body.slice(0, 60)}".`);
    });
});

const assertEachRanOnce = (responses: readonly CallerResponse[]) =>
    responses.forEach(({ id }) => {
        assert.equal(allRecords().filter(record => record.id === id).length, 1, `Unexpected number of runs of ${id}.`);
    });

Then("each request ran once", () => assertEachRanOnce(world.responses));

Then("each of the last {int} requests ran once", (count: number) => assertEachRanOnce(world.responses.slice(-count)));

Then(
    "the caller receives status {int} with outcome {word} and reason {word}",
    (status: number, outcome: string, reason: string) => {
        const response = lastResponse();
        assert.deepEqual(
            { status: response.status, outcome: response.outcome, reason: response.reason },
            { status, outcome, reason },
            JSON.stringify(response),
        );
        assert.equal((JSON.parse(response.body) as { reason: string }).reason, reason);
    },
);

Then("no backend server ran a request", () => {
    assert.equal(allRecords().length, 0);
});

Then("the counter {word} is at least {int}", (name: string, least: number) => {
    assert.ok((theEntry().counters.get(name) ?? 0) >= least, `${name} is ${theEntry().counters.get(name)}.`);
});
