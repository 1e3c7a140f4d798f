import { Given, Then, When } from "@cucumber/cucumber";
import { makeIdempotencyKey } from "@hyssopfront/bench/caller/idempotency-key.ts";
import {
    createManualClock,
    type ManualClock,
    type PeerIdentity,
    type Replica,
    ReplicaRole,
} from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import type { RunOnceStateMachine } from "../control/start-control.js";
import { PeerRequestKind, PeerRole } from "../sessions/messages.js";
import { createRunOnceStateMachine } from "./run-once-state-machine.js";
import { decodeRunOnceCommand } from "./run-once-state.js";

const WAIT_MS = 1_000;

let clock: ManualClock;
let machine: RunOnceStateMachine;
let role: ReplicaRole;
let key: string;
let proposed: string[];
let told: unknown;
let contention: Promise<unknown>;
let isToldOfContention: boolean;

/** Applies each proposal at once. */
const replica = {
    status: () => ({ role }),
    propose: async (payload: Uint8Array) => {
        proposed.push(decodeRunOnceCommand(payload).kind);
        return { result: machine.apply({ index: 1, term: 1, payload }) };
    },
} as unknown as Replica;

const identity = (name: string, incarnation = `${name}-1`): PeerIdentity => ({
    name,
    incarnation,
    clusterId: "sibiu",
    role: PeerRole.Entry,
    availabilityZone: "sibiu-1",
});

const ask = (kind: PeerRequestKind, from: PeerIdentity, payload: object) =>
    machine.handle(replica, kind, from, payload, new AbortController().signal);

const idOf = (entry: string, usedKey: string) => ({
    tenant: "co-operative",
    service: "comenzi",
    key: usedKey,
    attempt: `attempt-of-${entry}`,
});

async function begin(entry: string, usedKey: string): Promise<void> {
    const from = identity(entry);
    const content = { bodyHash: "hash", entry, incarnation: from.incarnation, deadlineMilliseconds: 60_000 };
    told = await ask(PeerRequestKind.BeginRunOnce, from, { ...idOf(entry, usedKey), ...content });
}

const awaitContention = (entry: string) =>
    ask(PeerRequestKind.AwaitContention, identity(entry), { ...idOf(entry, key), waitMilliseconds: WAIT_MS });

Given("the leader of a group, in which {string} has begun a key", async (entry: string) => {
    clock = createManualClock(new Date());
    machine = createRunOnceStateMachine(clock);
    role = ReplicaRole.Leader;
    proposed = [];
    key = makeIdempotencyKey();
    await begin(entry, key);
    assert.deepEqual(told, { result: "started" });
});

When("{string} begins the key", (entry: string) => begin(entry, key));
When("{string} begins another key", (entry: string) => begin(entry, makeIdempotencyKey()));
Then("it is told {string}", (result: string) => assert.deepEqual(told, { result }));

When("a new process of {string} reports its incarnation", async (entry: string) => {
    await ask(PeerRequestKind.ReportIncarnation, identity(entry, `${entry}-2`), {});
});

When("{string} asks to be told of other attempts", (entry: string) => {
    isToldOfContention = false;
    contention = awaitContention(entry).finally(() => isToldOfContention = true);
});

Then("{string} has been told nothing", async (entry: string) => {
    await new Promise(resolve => setImmediate(resolve));
    assert.equal(isToldOfContention, false, entry);
});

Then("{string} is told that the key is contended", async (_entry: string) => {
    assert.deepEqual(await contention, { isContended: true });
});

When("the group has another leader", () => {
    role = ReplicaRole.Follower;
});

Then("the question of {string} for other attempts fails with {string}", async (entry: string, code: string) => {
    await assert.rejects(awaitContention(entry), { code });
});

When("{string} reports the outcome {string}", (entry: string, kind: string) => {
    void ask(PeerRequestKind.FinishRunOnce, identity(entry), { ...idOf(entry, key), outcome: { kind } });
});

When("{int} ms pass at the leader", (milliseconds: number) => clock.advance(milliseconds));

Then("the group has been proposed {string}", async (kinds: string) => {
    await new Promise(resolve => setImmediate(resolve));
    assert.equal(proposed.join(", "), kinds);
});
