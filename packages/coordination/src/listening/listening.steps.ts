import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Server } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";
import { createManualClock, type ManualClock } from "../clock/manual-clock.js";
import { listen, ListenError } from "./listen.js";

const ADDRESS = "127.0.0.1";
/** Turns of the event loop in which an attempt to listen ends, whatever the load. */
const ATTEMPT_TURNS = 10;
/** Pause between two attempts, after each of which the attempt is awaited, in milliseconds. */
const STEP_MS = 50;

let clock: ManualClock;
let other: Server;
let server: Server;
let port: number;
let abort: AbortController;
let failure: unknown;
let refusals: { readonly code: string | undefined; readonly waited: number }[];
let reportedWait: number | undefined;

Before(() => {
    clock = createManualClock();
    other = createServer();
    server = createServer();
    abort = new AbortController();
    failure = undefined;
    refusals = [];
    reportedWait = undefined;
});
After(() => {
    abort.abort();
    other.close();
    server.close();
});

async function finishAttempt(): Promise<void> {
    for (let turn = 0; turn < ATTEMPT_TURNS; turn += 1) {
        await nextTurn();
    }
}

const startListening = (maximumMilliseconds: number) => {
    listen(server, {
        listener: "callers",
        address: ADDRESS,
        port,
        wait: {
            clock,
            maximumMilliseconds,
            signal: abort.signal,
            onRefused: ({ code }, waited) => void refusals.push({ code, waited }),
            onListening: (_options, waited) => reportedWait = waited,
        },
    }).catch((error: unknown) => failure = error);
    return finishAttempt();
};

Given("another server at the port", async () => {
    other.listen(0, ADDRESS);
    await once(other, "listening");
    port = (other.address() as AddressInfo).port;
});

When("a server that waits for its port for ever listens there", () => startListening(Infinity));
When(
    "a server that waits for its port for {int} ms listens there",
    (milliseconds: number) => startListening(milliseconds),
);
When("a server that waits for its port for ever listens at port {int}", (impossiblePort: number) => {
    port = impossiblePort;
    return startListening(Infinity);
});
When("{int} ms pass", async (milliseconds: number) => {
    for (let passed = 0; passed < milliseconds; passed += STEP_MS) {
        await clock.advance(STEP_MS);
        await finishAttempt();
    }
});
When("the other server closes", async () => {
    other.close();
    await once(other, "close");
});
When("its wait is aborted", async () => {
    abort.abort(new Error("The process stops."));
    await finishAttempt();
});

Then("it does not listen", () => {
    assert.equal(failure, undefined);
    assert.equal(server.listening, false);
});
Then("it listens", () => assert.equal(server.listening, true));
Then(
    "the refusals were reported at {int}, {int} and {int} ms with code {string}",
    (first: number, second: number, third: number, code: string) => {
        assert.deepEqual(refusals, [first, second, third].map(waited => ({ code, waited })));
    },
);
Then("its wait of {int} ms was reported", (milliseconds: number) => assert.equal(reportedWait, milliseconds));
Then("listening fails with code {string}", (code: string) => {
    assert.ok(failure instanceof ListenError);
    assert.deepEqual(
        [failure.listener, failure.address, failure.port, failure.code],
        ["callers", ADDRESS, port, code],
    );
});
Then("listening fails with the reason of the abort", () => assert.equal(failure, abort.signal.reason));
