import { Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import { makeIdempotencyKey } from "@hyssopfront/bench/caller/idempotency-key.ts";
import { createManualClock, type ManualClock, PeerError, PeerStep } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { PeerRequestKind } from "../../sessions/messages.js";
import { AttemptOutcomeKind, BeginResult, NOT_LEADER_CODE } from "../messages.js";
import { createRunOnceClient, type RunOnceAttempt, type RunOnceClient } from "../run-once-client.js";

setDefaultTimeout(60_000);

/** Deadline of each request, in milliseconds. */
const DEADLINE_MS = 5_000;

enum GroupState {
    Serving,
    /** Calls have no reply. */
    Silent,
    /** Calls are rejected at once. */
    Leaderless,
}

type SentRequest = { readonly sentAt: number; isBegun: boolean };

let clock: ManualClock;
let groupState: GroupState;
let callMilliseconds: number;
let busyUntil: number;
let calls: PeerRequestKind[];
let begun: Set<string>;
let recorded: Set<string>;
let client: RunOnceClient;
let requests: SentRequest[];
let requestsPerSecond: number;
let requestMilliseconds: number;

const createPeerError = (message: string, code?: string) =>
    new PeerError({ step: PeerStep.Reply, peer: "control-1", message, code });

/** Applies a call when its turn comes, also if its caller has stopped waiting by then. */
const serveCall = async (kind: PeerRequestKind, attempt: string) => {
    busyUntil = Math.max(busyUntil, clock.monotonicMilliseconds()) + callMilliseconds;
    await clock.sleep(busyUntil - clock.monotonicMilliseconds());
    (kind === PeerRequestKind.BeginRunOnce ? begun : recorded).add(attempt);
    return { result: BeginResult.Started };
};

const call = async (_group: string, kind: PeerRequestKind, payload: unknown, deadlineMilliseconds: number) => {
    calls.push(kind);
    if (groupState === GroupState.Leaderless) {
        throw createPeerError("The group has no leader.", NOT_LEADER_CODE);
    }
    const expired = clock.sleep(deadlineMilliseconds).then(() => {
        throw createPeerError("The deadline has passed.");
    });
    return groupState === GroupState.Silent
        ? expired
        : Promise.race([serveCall(kind, (payload as RunOnceAttempt).attempt), expired]);
};

Given("a group that serves {int} calls per second in turn", (callsPerSecond: number) => {
    clock = createManualClock();
    groupState = GroupState.Serving;
    callMilliseconds = 1_000 / callsPerSecond;
    busyUntil = 0;
    calls = [];
    begun = new Set();
    recorded = new Set();
    requests = [];
    client = createRunOnceClient({ groups: ["sibiu"], call, clock, entry: "entry-1", incarnation: "entry-1-1" });
});

Given(
    "an entry whose callers send {int} requests per second, which take {int} ms each",
    (perSecond: number, milliseconds: number) => {
        requestsPerSecond = perSecond;
        requestMilliseconds = milliseconds;
    },
);

const sendRequest = async () => {
    const request: SentRequest = { sentAt: clock.monotonicMilliseconds(), isBegun: false };
    requests.push(request);
    const outcome = await client.begin({
        tenant: "co-operative",
        service: "comenzi",
        key: makeIdempotencyKey(),
        bodyHash: "hash",
        deadlineMilliseconds: DEADLINE_MS,
    });
    if (outcome.result === BeginResult.Started) {
        request.isBegun = true;
        await clock.sleep(requestMilliseconds);
        await client.finish(outcome.attempt, { kind: AttemptOutcomeKind.Unknown });
    }
};

const sendRequests = async (state: GroupState, seconds: number) => {
    groupState = state;
    for (let sent = 0; sent < seconds * requestsPerSecond; sent += 1) {
        void sendRequest();
        await clock.advance(1_000 / requestsPerSecond);
    }
};

When("the group answers no call for {int} s", (seconds: number) => sendRequests(GroupState.Silent, seconds));

When("it answers again for {int} s", (seconds: number) => sendRequests(GroupState.Serving, seconds));

When("the group has no leader for {int} s and the callers leave", async (seconds: number) => {
    await sendRequests(GroupState.Leaderless, seconds);
    await clock.advance(DEADLINE_MS);
    calls = [];
});

Then("the entry makes no call in the next {int} s", async (seconds: number) => {
    await clock.advance(seconds * 1_000);
    assert.equal(calls.length, 0);
});

Then("all requests of the last {int} s were begun", async (seconds: number) => {
    const since = clock.monotonicMilliseconds() - seconds * 1_000;
    await clock.advance(DEADLINE_MS);
    const lastRequests = requests.filter(({ sentAt }) => sentAt >= since);
    assert.equal(lastRequests.length, seconds * requestsPerSecond);
    assert.equal(lastRequests.filter(({ isBegun }) => !isBegun).length, 0);
});

Then("the outcomes of all attempts are recorded", async () => {
    const idle = client.waitUntilIdle();
    await clock.advance(1_000);
    await idle;
    assert.deepEqual([...begun].filter(attempt => !recorded.has(attempt)), []);
});

Then("the entry has made one call for each begin and one for each outcome", () => {
    const count = (kind: PeerRequestKind) => calls.filter(other => other === kind).length;
    assert.deepEqual(
        [count(PeerRequestKind.BeginRunOnce), count(PeerRequestKind.FinishRunOnce)],
        [requests.length, requests.length],
    );
});
