import { Given, Then, When } from "@cucumber/cucumber";
import { waitUntil } from "@hyssopfront/bench/entry-stand-in/stand-in-world.ts";
import assert from "node:assert/strict";
import type { DrainSpec } from "../resources/resource.js";
import { allRecords, backendServer, sendConcurrently, theCaller, theEntry, world } from "./world.steps.js";

let withdrawnAt: number;

When("backend server {word} withdraws during {int} requests", async (name: string, count: number) => {
    const sending = (async () => {
        for (let sent = 0; sent < count; sent += 10) {
            await sendConcurrently(10, `leaving-${sent}`);
        }
    })();
    await waitUntil("the backend server runs a request", () => backendServer(name).running > 0);
    await backendServer(name).announcer.withdraw();
    withdrawnAt = performance.now();
    await sending;
});

Then("backend server {word} received no request after its withdrawal", (name: string) => {
    const { records } = backendServer(name);
    assert.ok(records.length > 0);
    assert.ok(allRecords().some(record => record.startedAt > withdrawnAt));
    assert.deepEqual(records.filter(record => record.startedAt > withdrawnAt), []);
});

When("the caller sends a request whose backend server withdraws right after its selection", async () => {
    theEntry().removeAfterUsabilityCheck("die-1");
    world.responses.push(await theCaller().send({ id: "late" }));
});

Given(/^a drain of (backend server|availability zone|region) (\S+) is declared$/, (kind: string, name: string) => {
    const target: DrainSpec["target"] = kind === "backend server"
        ? { backendServer: { service: "stoc", name } }
        : kind === "region"
        ? { region: name }
        : { availabilityZone: name };
    const entry = theEntry();
    entry.view = { ...entry.view, drains: new Map([["drain", { target, paceSeconds: 0 }]]) };
});

Then(
    "backend server {word} ran {int} request(s)",
    (name: string, count: number) => assert.equal(backendServer(name).records.length, count),
);

Given("the entry learned of backend server {word} from another entry", async (name: string) => {
    await world.startBackendServer({ name });
    theEntry().markIndirect(name);
});

Given("the entry has no view lease", () => {
    theEntry().holdsViewLease = false;
});

When("the entry drains during {int} requests and is killed right after", async (count: number) => {
    const sending = sendConcurrently(count, "drain");
    await waitUntil("the requests run", () => world.backendServers.some(server => server.running > 0));
    await theEntry().handler.drain();
    await theEntry().kill();
    await sending;
});
