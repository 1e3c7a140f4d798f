import { Given, Then, When } from "@cucumber/cucumber";
import { createManualClock, type ManualClock } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import type { BackendRecord, BackendServerState } from "./backend-record.js";
import { createRegistry, type Registry } from "./registry.js";

let clock: ManualClock;
let registry: Registry;
let wasChange: boolean;
let lost: readonly BackendRecord[];

const record = (
    id: string,
    startedAt: number,
    state: BackendServerState,
    sequence: number,
    coldMilliseconds = 0,
): BackendRecord => ({
    id,
    service: "stoc",
    address: "10.0.0.1",
    port: 80,
    availabilityZone: "sibiu-a",
    slots: 4,
    state,
    coldMilliseconds,
    startedAt,
    sequence,
    coldPortions: {},
});
const find = (id: string) => registry.records().find(candidate => candidate.id === id);

Given("a registry that expects a heartbeat every {int} ms", (heartbeatMilliseconds: number) => {
    clock = createManualClock(new Date(2_000));
    registry = createRegistry({ clock, heartbeatMilliseconds, onChange: () => undefined });
});
When(
    "{word}, started at {int}, announces itself {word} with sequence number {int}",
    (id: string, startedAt: number, state: BackendServerState, sequence: number) => {
        wasChange = registry.merge(record(id, startedAt, state, sequence));
    },
);
When(
    "{word}, started at {int}, announces itself {word} with sequence number {int} and cold for {int} ms",
    (id: string, startedAt: number, state: BackendServerState, sequence: number, cold: number) => {
        wasChange = registry.merge(record(id, startedAt, state, sequence, cold));
    },
);
When("{word} leaves", (id: string) => {
    const departure = registry.createDepartureRecord(id, undefined);
    assert.ok(departure !== undefined && registry.merge(departure));
});
When("{int} ms pass in the registry", async (milliseconds: number) => {
    await clock.advance(milliseconds);
    lost = registry.expire();
});
Then("the state of {word} is {word}", (id: string, state: BackendServerState) => assert.equal(find(id)?.state, state));
Then("{word} is cold for {int} ms", (id: string, cold: number) => assert.equal(find(id)?.coldMilliseconds, cold));
Then("no backend server was lost", () => assert.deepEqual(lost, []));
Then("that was a change", () => assert.ok(wasChange));
Then("that was not a change", () => assert.ok(!wasChange));
Then("a departure of {word}, started at {int}, creates no record", (id: string, startedAt: number) => {
    assert.equal(registry.createDepartureRecord(id, startedAt), undefined);
});
