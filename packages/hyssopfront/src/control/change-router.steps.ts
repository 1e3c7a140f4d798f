import { Given, Then, When } from "@cucumber/cucumber";
import { createManualClock, type ManualClock, NO_COUNTERS, type Replica } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { NoLeaderError } from "../operator-api/messages.js";
import { ChangeResult } from "../resources/messages.js";
import { PeerRequestKind } from "../sessions/messages.js";
import { type ChangeRouter, createChangeRouter } from "./change-router.js";
import type { ControlPeers } from "./control-peers.js";
import type { Leader } from "./leader.js";
import { ProposeOutcome } from "./messages.js";

const LEADER = "control-2";
const STEP_MS = 50;

let clock: ManualClock;
let router: ChangeRouter;
let knownLeader: string | undefined;
let leaderlessSince: number;
let outcomes: unknown[];

const inForce = {
    leader: LEADER,
    term: 1,
    revision: 1,
    configurationRevision: 1,
    advances: [],
    forgottenRevision: 0,
    pending: [],
    holders: [],
};

/** Requests a change and a fresh read and records the outcome of each. */
const startRequests = () => {
    outcomes = [];
    [router.propose({ removeEntry: "entry-1" }), router.readBarrier()].forEach((request: Promise<unknown>) => {
        request.then(response => outcomes.push(response), (error: unknown) => outcomes.push(error));
    });
};

const advance = async (milliseconds: number) => {
    for (let passed = 0; passed < milliseconds; passed += STEP_MS) {
        await clock.advance(STEP_MS);
    }
};

/** Lets calls complete that do not wait for the clock. */
const settle = () => new Promise(resolve => setImmediate(resolve));

const areRejected = () => outcomes.map(outcome => outcome instanceof NoLeaderError);

Given("an instance that has known no leader for {int} ms", async (milliseconds: number) => {
    clock = createManualClock();
    knownLeader = undefined;
    leaderlessSince = 0;
    const replica = {
        status: () => ({ leader: knownLeader }),
        leaderlessForMilliseconds: () =>
            knownLeader === undefined ? clock.monotonicMilliseconds() - leaderlessSince : 0,
        readBarrier: () =>
            knownLeader === undefined ? Promise.reject(new Error("There is no leader.")) : Promise.resolve(1),
    } as unknown as Replica;
    const response = { result: ChangeResult.Deleted, revision: 2, generation: 1 };
    const peers = {
        call: (_instance: string, kind: string) =>
            Promise.resolve(
                kind === PeerRequestKind.Propose
                    ? { outcome: ProposeOutcome.Completed, answer: response }
                    : { inForce },
            ),
    } as unknown as ControlPeers;
    const leader = {} as Leader;
    router = createChangeRouter({ clock, counters: NO_COUNTERS, self: "control-1", replica, leader, peers });
    await clock.advance(milliseconds);
});

Then("a change and a fresh read are rejected before any time passes", async () => {
    startRequests();
    await settle();
    assert.deepEqual(areRejected(), [true, true]);
});

When(
    "a change and a fresh read are requested and another instance is elected {int} ms later",
    async (milliseconds: number) => {
        startRequests();
        await advance(milliseconds);
        assert.deepEqual(outcomes, []);
        knownLeader = LEADER;
        await advance(STEP_MS);
        await settle();
    },
);

Then("both succeed", () => {
    assert.equal(outcomes.length, 2);
    assert.deepEqual(areRejected(), [false, false]);
    assert.deepEqual(outcomes.filter(outcome => outcome instanceof Error), []);
});

When(
    "a change and a fresh read are requested and no instance is elected for {int} ms",
    async (milliseconds: number) => {
        startRequests();
        await advance(milliseconds);
        await settle();
    },
);

Then("both are rejected", () => assert.deepEqual(areRejected(), [true, true]));
