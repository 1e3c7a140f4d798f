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
    answerBytes: 19,
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
            // Its view lease has ended, so it cannot act.
            entry({ entry: "entry-2", revision: 5, holdsViewLease: false }),
        ],
    };
});

const pushCarried = (count: number, sentAt: (index: number) => number, startedAt: (index: number) => number) => {
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

const BREAKAGES: Readonly<Record<string, () => unknown>> = {
    "lets a key run at two backend servers": () => history.runs.push(run("a.1", { backendServer: "comenzi-2" })),
    "tells not-run for a request that ran": () => history.runs.push(run("b.0", { key: "key-other" })),
    "gives an answer without an outcome": () => history.attempts.push(attempt("e", 0, { outcome: undefined })),
    "gives a caller the answer of another request": () =>
        history.attempts.push(attempt("e", 0, { body: "a.0|comenzi-1|0|xxx" })),
    "replays the answer of another key": () =>
        history.attempts.push(attempt("e", 0, { outcome: "replayed", body: "a.0|comenzi-1|0|xxx" })),
    "cuts an answer short": () => history.attempts.push(attempt("a", 0, { body: "a.0|comenzi-1|0|xx" })),
    "carries 11 requests in 999 ms over a cap of 10": () =>
        pushCarried(11, index => 5_000 + 90 * index, index => 5_009 + 99 * index),
    "starts work 2001 ms after its backend server left": () => history.runs.push(run("f.0", { startedAt: 2_101 })),
    "reads an object in the end as it was before its last change": () =>
        history.reads.push(read({ revision: 5, spec: { value: 5 }, isInForce: false, sentAt: 1_200 })),
    "does not read a changed object in the end": () => history.changes.push(change({ object: "regions/muntenia" })),
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
    "tells a change in force while an entry acts on an older one": () =>
        history.entries.push(entry({ entry: "entry-3", revision: 6 })),
    "takes an entry back to an older revision": () => {
        history.reads.length = 0;
        history.changes.length = 0;
        history.entries.push(entry({ revision: 6 }));
    },
    "carries 20 requests that waited for up to 1 s over a cap of 10": () =>
        pushCarried(20, () => 5_000, index => 5_009 + 100 * index),
};

Object.entries(BREAKAGES).forEach(([breakage, apply]) => When(`the history ${breakage}`, apply));

Then("the checker finds nothing", () => assert.deepEqual(checkHistory(history), []));

Then("the checker finds only {word}", (kind: ViolationKind) => {
    const violations = checkHistory(history);
    assert.ok(violations.length > 0, `The checker did not find ${kind}.`);
    assert.deepEqual([...new Set(violations.map(violation => violation.kind))], [kind], JSON.stringify(violations));
});
