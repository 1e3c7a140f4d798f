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
let stateMachine: RunOnceStateMachine;
let role: ReplicaRole;
let key: string;
let proposedKinds: string[];
let reply: unknown;
let contentionReply: Promise<unknown>;
let isWaitOver: boolean;

/** Replica that applies every proposal immediately. */
const replica = {
    status: () => ({ role }),
    propose: async (payload: Uint8Array) => {
        proposedKinds.push(decodeRunOnceCommand(payload).kind);
        return { result: stateMachine.apply({ index: 1, term: 1, payload }) };
    },
} as unknown as Replica;

const identity = (name: string, incarnation = `${name}-1`): PeerIdentity => ({
    name,
    incarnation,
    clusterId: "sibiu",
    role: PeerRole.Entry,
    availabilityZone: "sibiu-1",
});

const sendRequest = (kind: PeerRequestKind, from: PeerIdentity, payload: object) =>
    stateMachine.handle(replica, kind, from, payload, new AbortController().signal);

const createAttemptId = (entry: string, usedKey: string) => ({
    tenant: "co-operative",
    service: "comenzi",
    key: usedKey,
    attempt: `attempt-of-${entry}`,
});

async function begin(entry: string, usedKey: string): Promise<void> {
    const from = identity(entry);
    const content = { bodyHash: "hash", entry, incarnation: from.incarnation, deadlineMilliseconds: 60_000 };
    reply = await sendRequest(PeerRequestKind.BeginRunOnce, from, { ...createAttemptId(entry, usedKey), ...content });
}

const awaitContention = (entry: string) =>
    sendRequest(PeerRequestKind.AwaitContention, identity(entry), {
        ...createAttemptId(entry, key),
        waitMilliseconds: WAIT_MS,
    });

Given("the leader of a group, in which {string} has begun a key", async (entry: string) => {
    clock = createManualClock(new Date());
    stateMachine = createRunOnceStateMachine(clock);
    role = ReplicaRole.Leader;
    proposedKinds = [];
    key = makeIdempotencyKey();
    await begin(entry, key);
    assert.deepEqual(reply, { result: "started" });
});

When("{string} begins the key", (entry: string) => begin(entry, key));
When("{string} begins another key", (entry: string) => begin(entry, makeIdempotencyKey()));
Then("the result of its begin is {string}", (result: string) => assert.deepEqual(reply, { result }));

When("a new process of {string} reports its incarnation", async (entry: string) => {
    await sendRequest(PeerRequestKind.ReportIncarnation, identity(entry, `${entry}-2`), {});
});

When("{string} waits for contention on its key", (entry: string) => {
    isWaitOver = false;
    contentionReply = awaitContention(entry).finally(() => isWaitOver = true);
});

Then("{string} has not been notified", async (entry: string) => {
    await new Promise(resolve => setImmediate(resolve));
    assert.equal(isWaitOver, false, entry);
});

Then("{string} is notified that the key is contended", async (_entry: string) => {
    assert.deepEqual(await contentionReply, { isContended: true });
});

When("the group has another leader", () => {
    role = ReplicaRole.Follower;
});

Then("the wait of {string} for contention fails with {string}", async (entry: string, code: string) => {
    await assert.rejects(awaitContention(entry), { code });
});

When("{string} reports the outcome {string}", (entry: string, kind: string) => {
    void sendRequest(PeerRequestKind.FinishRunOnce, identity(entry), {
        ...createAttemptId(entry, key),
        outcome: { kind },
    });
});

When("{int} ms pass at the leader", (milliseconds: number) => clock.advance(milliseconds));

Then("the proposed commands are {string}", async (kinds: string) => {
    await new Promise(resolve => setImmediate(resolve));
    assert.equal(proposedKinds.join(", "), kinds);
});
