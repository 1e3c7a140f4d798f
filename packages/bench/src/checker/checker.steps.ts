import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { checkHistory } from "./check-history.js";
import type {
    AttemptRecord,
    ChangeRecord,
    EntryRecord,
    ExecutionRecord,
    History,
    ReadRecord,
    ViolationKind,
} from "./history.js";

type Writable = { -readonly [K in keyof History]: History[K][number][] };

let history: Writable;

const attempt = (request: string, number: number, changes: Partial<AttemptRecord> = {}): AttemptRecord => ({
    id: `${request}.${number}`,
    request,
    service: "comenzi",
    key: `key-${request}`,
    sentAt: 100,
    completedAt: 200,
    status: 200,
    outcome: "run",
    reason: undefined,
    entry: "entry-1",
    backendServer: "comenzi-1",
    body: `${request}.${number}|comenzi-1|0|xxx`,
    expectedBytes: 19,
    error: undefined,
    ...changes,
});

const run = (id: string, changes: Partial<ExecutionRecord> = {}): ExecutionRecord => ({
    id,
    key: `key-${id.split(".")[0]}`,
    service: "comenzi",
    backendServer: "comenzi-1",
    availabilityZone: "muntenia-1",
    startedAt: 150,
    ...changes,
});

const change = (changes: Partial<ChangeRecord>): ChangeRecord => ({
    requestId: `request-${changes.revision}`,
    object: "regions/moldova",
    expectedRevision: 0,
    spec: { value: changes.revision },
    instance: "control-1",
    sentAt: 90,
    respondedAt: 100,
    status: 200,
    revision: 5,
    ...changes,
});

const read = (changes: Partial<ReadRecord>): ReadRecord => ({
    object: "regions/moldova",
    instance: "control-2",
    sentAt: 1_000,
    respondedAt: 1_010,
    revision: 7,
    spec: { value: 7 },
    isInForce: true,
    ...changes,
});

const entry = (changes: Partial<EntryRecord>): EntryRecord => ({
    entry: "entry-1",
    sentAt: 1_100,
    revision: 7,
    holdsViewLease: true,
    ...changes,
});

Given("a correct history", () => {
    history = {
        attempts: [
            attempt("a", 0),
            attempt("a", 1, { outcome: "replayed", body: "a.0|comenzi-1|0|xxx", sentAt: 210, completedAt: 250 }),
            attempt("b", 0, { status: 503, outcome: "not-run", body: "", backendServer: undefined }),
            attempt("b", 1),
            attempt("c", 0, { status: 502, outcome: "unknown", body: "" }),
            attempt("d", 0, { status: undefined, outcome: undefined, body: "", error: "reset" }),
        ],
        runs: [run("a.0"), run("b.1"), run("c.0"), run("d.0")],
        departures: [{ service: "comenzi", backendServer: "comenzi-1", leftAt: 100 }],
        caps: [{
            shift: "surge",
            service: "comenzi",
            entries: ["entry-1"],
            availabilityZones: ["muntenia-1"],
            requestsPerSecond: 10,
        }],
        changes: [
            change({ revision: 5 }),
            change({ revision: 7, expectedRevision: 5, sentAt: 190, respondedAt: 200 }),
            change({ requestId: "lost", status: 409, revision: undefined, expectedRevision: 5 }),
        ],
        reads: [read({ revision: 5, spec: { value: 5 }, sentAt: 150, respondedAt: 160, isInForce: false }), read({})],
        entries: [
            entry({}),
            // Its view lease has ended, so its older revision is no violation.
            entry({ entry: "entry-2", revision: 5, holdsViewLease: false }),
        ],
    };
});

const pushMovedRequests = (count: number, sentAt: (index: number) => number, startedAt: (index: number) => number) => {
    for (let index = 0; index < count; index += 1) {
        history.attempts.push(
            attempt(`carried-${index}`, 0, {
                sentAt: sentAt(index),
                backendServer: "comenzi-2",
                body: `carried-${index}.0|comenzi-2|0|xxx`,
            }),
        );
        history.runs.push(run(`carried-${index}.0`, { startedAt: startedAt(index), backendServer: "comenzi-2" }));
    }
};

const FAULTS: Readonly<Record<string, () => unknown>> = {
    "runs a run-once key at two backend servers": () => history.runs.push(run("a.1", { backendServer: "comenzi-2" })),
    "reports not-run for a request that ran": () => history.runs.push(run("b.0", { key: "key-other" })),
    "contains a response without an outcome": () => history.attempts.push(attempt("e", 0, { outcome: undefined })),
    "returns the response of another request to a caller": () =>
        history.attempts.push(attempt("e", 0, { body: "a.0|comenzi-1|0|xxx" })),
    "replays the response of another key": () =>
        history.attempts.push(attempt("e", 0, { outcome: "replayed", body: "a.0|comenzi-1|0|xxx" })),
    "truncates a response": () => history.attempts.push(attempt("a", 0, { body: "a.0|comenzi-1|0|xx" })),
    "moves 11 requests in 999 ms with a cap of 10": () =>
        pushMovedRequests(11, index => 5_000 + 90 * index, index => 5_009 + 99 * index),
    "starts a request 2001 ms after its backend server left": () => history.runs.push(run("f.0", { startedAt: 2_101 })),
    "ends with a read of an object as before its last change": () =>
        history.reads.push(read({ revision: 5, spec: { value: 5 }, isInForce: false, sentAt: 1_200 })),
    "does not read a changed object at the end": () => history.changes.push(change({ object: "regions/muntenia" })),
    "reads another spec at an acknowledged revision": () => history.reads.push(read({ spec: { value: 8 } })),
    "applies a resent change again": () =>
        history.changes.push(change({ requestId: "request-5", revision: 6, respondedAt: 300 })),
    "acknowledges two changes from one revision": () =>
        history.changes.push(change({ revision: 6, expectedRevision: 5, respondedAt: 300 })),
    "reads an old state after a newer one was acknowledged": () => {
        history.reads.push(
            read({ revision: 5, spec: { value: 5 }, sentAt: 250, respondedAt: 260, isInForce: false }),
        );
        history.changes.push(change({ revision: 7, requestId: "request-7", expectedRevision: 5, respondedAt: 300 }));
    },
    "reports a change in force while an entry uses an older one": () =>
        history.entries.push(entry({ entry: "entry-3", revision: 6 })),
    "returns an entry to an older revision": () => {
        history.reads.length = 0;
        history.changes.length = 0;
        history.entries.push(entry({ revision: 6 }));
    },
    "moves 20 requests that were queued for up to 1 s with a cap of 10": () =>
        pushMovedRequests(20, () => 5_000, index => 5_009 + 100 * index),
};

Object.entries(FAULTS).forEach(([fault, apply]) => When(`the history ${fault}`, apply));

Then("the checker finds no violation", () => assert.deepEqual(checkHistory(history), []));

Then("the checker finds only {word}", (kind: ViolationKind) => {
    const violations = checkHistory(history);
    assert.ok(violations.length > 0, `The checker did not find ${kind}.`);
    assert.deepEqual([...new Set(violations.map(violation => violation.kind))], [kind], JSON.stringify(violations));
});
