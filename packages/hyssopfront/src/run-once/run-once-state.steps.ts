import { Given, Then, When } from "@cucumber/cucumber";
import { makeIdempotencyKey } from "@hyssopfront/bench/caller/idempotency-key.ts";
import fc from "fast-check";
import assert from "node:assert/strict";
import { checkKey } from "./idempotency-key.js";
import {
    AttemptOutcomeKind,
    type BeginReply,
    BeginResult,
    type RunOnceCommand,
    RunOnceCommandKind,
} from "./messages.js";
import { createRunOnceState, decodeRunOnceCommand, encodeRunOnceCommand, type RunOnceState } from "./run-once-state.js";

const MINUTE_MS = 60_000;

let state: RunOnceState;
let now: number;
let key: string;
let replies: (BeginReply | undefined)[];
let lastKeys: string[];

const begin = (usedKey: string, attempt: string, changes: Partial<RunOnceCommand> = {}): BeginReply =>
    state.apply({
        kind: RunOnceCommandKind.Begin,
        at: now,
        tenant: "co-operative",
        service: "comenzi",
        key: usedKey,
        bodyHash: "hash",
        attempt,
        entry: "entry-1",
        incarnation: "first",
        deadlineMilliseconds: 5_000,
        ...changes,
    } as RunOnceCommand) as BeginReply;

const makeResponse = (text: string) => ({
    status: 200,
    headers: {},
    body: new Uint8Array(Buffer.from(text)),
    backendServer: "die-1",
});

const complete = (usedKey: string, attempt: string, body: string) =>
    state.apply({
        kind: RunOnceCommandKind.Finish,
        at: now,
        tenant: "co-operative",
        service: "comenzi",
        key: usedKey,
        attempt,
        outcome: { kind: AttemptOutcomeKind.Completed, answer: makeResponse(body) },
    });

Given("a state that allows {int} records", (maximumRecords: number) => {
    now = 0;
    state = createRunOnceState({ maximumRecords });
    replies = [];
});

Given(
    "a state that allows {int} records and {int} bytes of stored responses",
    (maximumRecords: number, bytes: number) => {
        now = 0;
        state = createRunOnceState({ maximumRecords, maximumStoredResponseBytes: bytes });
    },
);

When("a key created at minute 0 begins at minute 0", () => {
    key = makeIdempotencyKey(0);
    replies.push(begin(key, "first"));
});
Then("it is started", () => assert.equal(replies[0]?.result, BeginResult.Started));
When("other attempts begin it again at minute {int}, {int} and {int}", (
    first: number,
    second: number,
    third: number,
) => {
    replies = [first, second, third].map(minute => {
        now = minute * MINUTE_MS;
        return begin(key, `attempt-${minute}`);
    });
});
Then(
    "it is never started again",
    () => assert.deepEqual(replies.map(reply => reply?.result), ["unknown", "keyTooOld", "keyTooOld"]),
);

When("a key begins with a deadline of 5 seconds", () => {
    key = makeIdempotencyKey(now);
    assert.equal(begin(key, "first").result, BeginResult.Started);
});
When("{int} seconds pass", (seconds: number) => {
    now += seconds * 1_000;
});
When("{int} minutes pass", (minutes: number) => {
    now += minutes * MINUTE_MS;
});
When("its entry reports a new incarnation", () => {
    const command = { kind: RunOnceCommandKind.Incarnation, at: now, entry: "entry-1", incarnation: "second" } as const;
    state.apply(command);
});
Then(
    "the result for another attempt is {word}",
    (result: string) => assert.equal(begin(key, `other-${now}`, { entry: "entry-2" }).result, result),
);
Then(
    "the result for another key by the old incarnation is unknown",
    () => assert.equal(begin(makeIdempotencyKey(now), "old").result, BeginResult.Unknown),
);

When("{int} keys begin and finish with responses of {int} bytes", (count: number, bytes: number) => {
    lastKeys = Array.from({ length: count }, () => makeIdempotencyKey(now));
    lastKeys.forEach(usedKey => {
        assert.equal(begin(usedKey, usedKey).result, BeginResult.Started);
        complete(usedKey, usedKey, "x".repeat(bytes));
    });
});
Then(
    "the result for an eleventh key is full",
    () => assert.equal(begin(makeIdempotencyKey(now), "eleventh").result, BeginResult.Full),
);
Then(
    "an eleventh key is started",
    () => assert.equal(begin(makeIdempotencyKey(now), "eleventh").result, BeginResult.Started),
);
Then("the stored responses take at most {int} bytes", (bytes: number) => assert.ok(state.storedResponseBytes <= bytes));
Then("the result for the last key is completed and for the first unknown", () => {
    assert.equal(begin(lastKeys.at(-1) as string, "other").result, BeginResult.Completed);
    assert.equal(begin(lastKeys[0] as string, "other").result, BeginResult.Unknown);
});

Then(
    "the key {word} at minute {int} is {word}",
    (usedKey: string, minute: number, check: string) => assert.equal(checkKey(usedKey, minute * MINUTE_MS), check),
);

type History = readonly { readonly command: RunOnceCommand; readonly reply: BeginReply | undefined }[];
let histories: History[];
let restartedHistories: History[];

const historyKeys = Array.from({ length: 6 }, () => makeIdempotencyKey(0));
const attemptIdArbitraries = {
    tenant: fc.constant("co-operative"),
    service: fc.constant("comenzi"),
    key: fc.constantFrom(...historyKeys),
    attempt: fc.integer({ min: 0, max: 4 }).map(number => `attempt-${number}`),
};
const entry = fc.constantFrom("entry-1", "entry-2");
const incarnation = fc.constantFrom("one", "two");
/** Binds an attempt to one key, because the ids of real attempts are random and never used for two keys. */
const bindAttempt = <T extends { key: string; attempt: string }>(value: T): T => ({
    ...value,
    attempt: `${value.attempt}-${historyKeys.indexOf(value.key)}`,
});
const commandArbitrary = fc.oneof(
    {
        weight: 6,
        arbitrary: fc.record({
            kind: fc.constant(RunOnceCommandKind.Begin as const),
            ...attemptIdArbitraries,
            bodyHash: fc.constantFrom("a", "a", "a", "b"),
            entry,
            incarnation,
            deadlineMilliseconds: fc.integer({ min: 0, max: 20_000 }),
        }).map(bindAttempt),
    },
    {
        weight: 5,
        arbitrary: fc.record({
            kind: fc.constant(RunOnceCommandKind.Finish as const),
            ...attemptIdArbitraries,
            outcome: fc.constantFrom(
                AttemptOutcomeKind.Completed,
                AttemptOutcomeKind.Rejected,
                AttemptOutcomeKind.Unknown,
            ),
        }).map(bindAttempt).map(({ outcome, ...rest }) => ({
            ...rest,
            outcome: outcome === AttemptOutcomeKind.Completed
                ? { kind: outcome, answer: makeResponse(rest.attempt) }
                : { kind: outcome },
        })),
    },
    {
        weight: 1,
        arbitrary: fc.record({ kind: fc.constant(RunOnceCommandKind.Incarnation as const), entry, incarnation }),
    },
);
const stepArbitrary = fc.oneof(
    { weight: 30, arbitrary: fc.constantFrom(0, 1, 100) },
    { weight: 4, arbitrary: fc.constant(15_000) },
    { weight: 1, arbitrary: fc.constantFrom(20 * MINUTE_MS, 600 * MINUTE_MS) },
);

When("{int} random histories of {int} commands are applied with seed {int}", (
    count: number,
    length: number,
    seed: number,
) => {
    const historyArbitrary = fc.array(
        fc.record({ command: commandArbitrary, step: stepArbitrary, restarts: fc.boolean() }),
        { minLength: length, maxLength: length },
    );
    histories = [];
    restartedHistories = [];
    fc.sample(historyArbitrary, { numRuns: count, seed }).forEach(history => {
        state = createRunOnceState({ maximumRecords: 5, maximumStoredResponseBytes: 60 });
        let restartedState = createRunOnceState({ maximumRecords: 5, maximumStoredResponseBytes: 60 });
        let at = 0;
        const plainHistory: { command: RunOnceCommand; reply: BeginReply | undefined }[] = [];
        const restartedHistory: { command: RunOnceCommand; reply: BeginReply | undefined }[] = [];
        history.forEach(({ command: random, step, restarts }) => {
            at += step;
            const command = decodeRunOnceCommand(encodeRunOnceCommand({ ...random, at } as RunOnceCommand));
            plainHistory.push({ command, reply: state.apply(command) });
            if (restarts) {
                const snapshot = restartedState.takeSnapshot();
                restartedState = createRunOnceState({ maximumRecords: 5, maximumStoredResponseBytes: 60 });
                restartedState.restoreSnapshot(snapshot);
            }
            restartedHistory.push({ command, reply: restartedState.apply(command) });
        });
        histories.push(plainHistory);
        restartedHistories.push(restartedHistory);
    });
});

const describeReply = (reply: BeginReply | undefined) =>
    reply?.result === BeginResult.Completed ? Buffer.from(reply.answer.body).toString() : reply?.result;

Then("the replies are the same with and without restarts", () => {
    const texts = (all: History[]) => all.map(history => history.map(({ reply }) => describeReply(reply)));
    assert.deepEqual(texts(histories), texts(restartedHistories));
    const results = new Set(histories.flatMap(history => history.map(({ reply }) => reply?.result)));
    [BeginResult.Started, BeginResult.InProgress, BeginResult.Completed, BeginResult.Unknown, BeginResult.BodyMismatch]
        .forEach(result => assert.ok(results.has(result), `No reply was ${result}.`));
});

Then(
    "no key was started again before its attempt was rejected or its record expired",
    () =>
        histories.forEach(history => {
            const holders = new Map<string, string>();
            history.forEach(({ command, reply }) => {
                if (command.kind === RunOnceCommandKind.Begin && reply?.result === BeginResult.Started) {
                    const holder = holders.get(command.key);
                    assert.ok(holder === undefined || holder === command.attempt, `${command.key} was started twice.`);
                    holders.set(command.key, command.attempt);
                }
                const isRejection = command.kind === RunOnceCommandKind.Finish &&
                    command.outcome.kind === AttemptOutcomeKind.Rejected;
                if (isRejection && holders.get(command.key) === command.attempt) {
                    holders.delete(command.key);
                }
            });
        }),
);

Then("every completed key kept its stored response or became unknown", () =>
    histories.forEach(history => {
        const responses = new Map<string, string>();
        history.forEach(({ command, reply }) => {
            if (command.kind === RunOnceCommandKind.Begin && reply?.result === BeginResult.Completed) {
                const text = Buffer.from(reply.answer.body).toString();
                assert.equal(responses.get(command.key) ?? text, text);
                responses.set(command.key, text);
            }
        });
    }));
