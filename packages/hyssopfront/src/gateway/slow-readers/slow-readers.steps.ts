import { After, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import {
    FEED_DELAY_MS,
    formatHead,
    formatRequest,
    publishService,
    SIGNATURE_HEADER,
    startTestBackendServer,
    startTestEntry,
    TEST_HOST,
    type TestBackendServer,
    type TestEntry,
    waitUntilReady,
} from "../test-entry.js";

setDefaultTimeout(40_000);

const MAXIMUM_ATTEMPTS = 5;
const SHORT_RESPONSE_BYTES = 1_000;

type Caller = {
    readonly socket: Socket;
    received: string;
    isClosed: boolean;
    error: NodeJS.ErrnoException | undefined;
};

let entry: TestEntry;
let backendServer: TestBackendServer | undefined;
let callers: Caller[];
let events: { readonly event: string; readonly [field: string]: unknown }[];
let requestNumber: number;
let configurationVersion = 0;
let limits: { maximumBytes: number; stallMilliseconds: number };

async function startEntry(): Promise<void> {
    entry = await startTestEntry({
        log: (_level, event, fields) => void events.push({ event, ...fields }),
        stopMilliseconds: 500,
        unreadResponseLimits: limits,
    });
    await waitUntilReady(entry);
}
const setTimeoutOfRoute = async (timeoutMilliseconds: number) => {
    configurationVersion += 1;
    publishService(entry.feed, "stoc", { timeoutMilliseconds, maximumAttempts: 1 }, configurationVersion);
    await sleep(FEED_DELAY_MS);
};
const closeEntry = async () => {
    await entry.gateway.stop(500);
    await entry.control.close();
};

function openCaller(): Caller {
    const socket = connect(entry.callerPort, TEST_HOST);
    const caller: Caller = { socket, received: "", isClosed: false, error: undefined };
    socket.on("error", error => caller.error = error);
    socket.once("close", () => caller.isClosed = true);
    callers.push(caller);
    return caller;
}
const collect = (caller: Caller) => {
    caller.socket.on("data", data => caller.received += data.toString("latin1"));
    caller.socket.resume();
};
const formatNext = (path: string) => formatRequest({ path: `/stoc/${path}`, id: `q${requestNumber += 1}` });

async function waitUntil(isDone: () => boolean, milliseconds: number): Promise<void> {
    const endsAt = performance.now() + milliseconds;
    while (!isDone() && performance.now() < endsAt) {
        await sleep(5);
    }
    assert.ok(isDone(), "The condition was not met in time.");
}
async function readMetric(name: string, labels: string): Promise<number> {
    const lines = (await entry.metrics.text()).split("\n").filter(line => line.startsWith(`hyssopfront_${name}`));
    return lines.filter(line => line.includes(labels)).reduce((sum, line) => sum + Number(line.split(" ").at(-1)), 0);
}
const countOutcome = (outcome: string) => readMetric("gateway_requests_total", `outcome="${outcome}"`);
const countCutOff = (reason: string) => readMetric("gateway_callers_cut_off_total", `reason="${reason}"`);

After(async () => {
    callers.forEach(({ socket }) => socket.destroy());
    await closeEntry();
    backendServer?.close();
    backendServer = undefined;
});

Given(
    "an entry that holds {int} bytes of unread responses and closes connections that are stalled for {int} ms",
    async (maximumBytes: number, stallMilliseconds: number) => {
        callers = [];
        events = [];
        requestNumber = 0;
        limits = { maximumBytes, stallMilliseconds };
        await startEntry();
    },
);
Given("connections may be stalled for {int} ms", async (stallMilliseconds: number) => {
    await closeEntry();
    limits = { maximumBytes: 100_000_000, stallMilliseconds };
    await startEntry();
    await setTimeoutOfRoute(15_000);
});
Given("requests to stoc may take {int} ms", setTimeoutOfRoute);
Given(
    /^stoc-1 responds with (status 404 and )?(\d+) bytes( without a length| in chunks)?(?: and (resets|closes) it after (\d+) ms)?$/,
    async (
        failure: string | undefined,
        bytes: string,
        framing: string | undefined,
        end: string | undefined,
        milliseconds: string | undefined,
    ) => {
        const respond = (socket: Socket, id: string, path: string) => {
            const length = path.endsWith("short") ? SHORT_RESPONSE_BYTES : Number(bytes);
            const status = !failure || path.endsWith("short") ? "200 OK" : "404 Not Found";
            const framingHeader = path.endsWith("short") || !framing
                ? [`content-length: ${length}`]
                : framing === " in chunks"
                ? ["transfer-encoding: chunked"]
                : [];
            const body = Buffer.alloc(length, "x");
            const isChunked = framingHeader[0]?.startsWith("transfer") === true;
            socket.write(formatHead(status, id, [SIGNATURE_HEADER, ...framingHeader]));
            if (isChunked) {
                socket.write(`${length.toString(16)}\r\n`);
            }
            socket.write(body);
            if (isChunked) {
                socket.write("\r\n0\r\n\r\n");
            }
            if (path.endsWith("short")) {
                return;
            }
            if (end) {
                setTimeout(() => end === "resets" ? socket.resetAndDestroy() : socket.destroy(), Number(milliseconds));
            }
            else if (framingHeader.length === 0) {
                socket.end();
            }
        };
        backendServer = await startTestBackendServer(
            entry.feed,
            { id: "stoc-1", service: "stoc", slots: 1_000 },
            respond,
        );
    },
);

When(
    /^(\d+) callers? (?:sends? a request|pipelines? (\d+) requests) and reads? nothing$/,
    async (count: string, requests: string | undefined) => {
        Array.from({ length: Number(count) }, () => {
            const { socket } = openCaller();
            socket.pause();
            socket.write(Array.from({ length: Number(requests ?? 1) }, () => formatNext("long")).join(""));
        });
        await sleep(300);
    },
);
When(
    /^1 caller pipelines (\d+) requests and reads (\d+) bytes every (\d+) ms$/,
    async (requests: string, bytes: string, milliseconds: string) => {
        const caller = openCaller();
        caller.socket.write(Array.from({ length: Number(requests) }, () => formatNext("long")).join(""));
        let allowed = 0;
        caller.socket.on("data", (data: Buffer) => {
            caller.received += data.toString("latin1");
            allowed -= data.length;
            if (allowed <= 0) {
                caller.socket.pause();
            }
        });
        caller.socket.pause();
        const expected = Number(requests) * 200_000;
        const endsAt = performance.now() + 30_000;
        while (caller.received.length < expected && !caller.isClosed && performance.now() < endsAt) {
            allowed = Number(bytes);
            caller.socket.resume();
            await sleep(Number(milliseconds));
        }
    },
);
When("a caller of HTTP\\/1.0 sends a request and reads what it can", async () => {
    const caller = openCaller();
    collect(caller);
    caller.socket.write(formatNext("long").replace("HTTP/1.1", "HTTP/1.0"));
    await waitUntil(() => caller.isClosed, 5_000);
});
When(/^the caller reads what it can$/, async () => {
    callers.forEach(collect);
    await waitUntil(() => callers.every(({ isClosed }) => isClosed), 5_000);
});
When(/^(\d+) ms later they read what they can$/, async (milliseconds: string) => {
    await sleep(Number(milliseconds));
    callers.forEach(collect);
    await waitUntil(() => callers.every(({ isClosed }) => isClosed), 10_000);
});

Then("at least {int} caller is cut off for lack of memory", async (count: number) => {
    const endsAt = performance.now() + 20_000;
    while (await countCutOff("memory") < count && performance.now() < endsAt) {
        await sleep(50);
    }
    assert.ok(await countCutOff("memory") >= count, `${await countCutOff("memory")} are cut off.`);
});
Then("the entry holds at most {int} bytes for callers", async (bytes: number) => {
    const held = entry.gateway.unreadResponseBytes();
    assert.ok(held <= bytes, `It holds ${held} bytes.`);
});
Then("another caller gets {int} with {int} bytes", async (status: number, bytes: number) => {
    for (let attempt = 1;; attempt += 1) {
        const caller = openCaller();
        collect(caller);
        caller.socket.write(formatNext("short"));
        await waitUntil(() => caller.received.includes("\r\n\r\n"), 5_000);
        // A busy machine may reject a request before it is forwarded.
        const isRejected = caller.received.startsWith("HTTP/1.1 503 ")
            && backendServer?.requestIds.includes(`q${requestNumber}`) === false;
        if (!isRejected || attempt === MAXIMUM_ATTEMPTS) {
            assert.ok(caller.received.startsWith(`HTTP/1.1 ${status} `), caller.received.slice(0, 80));
            await waitUntil(() => caller.received.length > bytes, 5_000);
            return;
        }
        await sleep(500);
    }
});
Then("within {int} ms it is cut off, as it is stalled", async (milliseconds: number) => {
    const endsAt = performance.now() + milliseconds;
    while (await countCutOff("stalled") === 0 && performance.now() < endsAt) {
        await sleep(20);
    }
    assert.equal(await countCutOff("stalled"), 1);
});
Then(
    "the log has no internal error",
    () => assert.deepEqual(events.filter(({ event }) => event === "request failed with an internal error"), []),
);
Then("it gets {int} responses with {int} bytes each", (count: number, bytes: number) => {
    const heads = callers[0]?.received.match(/HTTP\/1\.1 200 OK/g)?.length;
    const body = callers[0]?.received.match(/x{1000,}/g)?.map(({ length }) => length);
    assert.equal(heads, count, callers[0]?.received.slice(0, 300));
    assert.deepEqual(body, Array.from({ length: count }, () => bytes));
});
Then("no caller is cut off", async () => {
    assert.equal(await countCutOff("memory") + await countCutOff("stalled"), 0);
});
Then(
    "within {int} ms the connection to stoc-1 is closed",
    (milliseconds: number) => waitUntil(() => backendServer?.sockets.size === 0, milliseconds),
);
Then(/^the requests? ended as (\S+)$/, async (outcome: string) => {
    const count = callers.length;
    const endsAt = performance.now() + 1_000;
    while (await countOutcome(outcome) < count && performance.now() < endsAt) {
        await sleep(20);
    }
    assert.equal(await countOutcome(outcome), count);
    assert.equal(await countOutcome("answered"), 0);
});
Then(/^(?:its|their) responses? (?:is|are) not complete$/, () =>
    callers.forEach(({ received, isClosed }) => {
        assert.ok(isClosed);
        const headEnd = received.indexOf("\r\n\r\n");
        const head = received.slice(0, headEnd);
        if (/content-length/i.test(head)) {
            assert.ok(received.length - headEnd - 4 < Number(/content-length: (\d+)/i.exec(head)?.[1]));
        }
        else {
            assert.match(head, /transfer-encoding: chunked/i);
            assert.ok(!received.endsWith("\r\n0\r\n\r\n"), "The last chunk was sent.");
        }
    }));
Then(
    "stoc-1 is not ejected",
    () => assert.deepEqual(events.filter(({ event }) => event === "backend server ejected"), []),
);
Then("its connection is reset", () => assert.equal(callers[0]?.error?.code, "ECONNRESET"));
Then(
    "some requests ended as {word}, and together with those that ended as answered they are {int}",
    async (outcome: string, count: number) => {
        await sleep(100);
        const slow = await countOutcome(outcome);
        assert.ok(slow > 0, "None ended so.");
        assert.equal(slow + await countOutcome("answered"), count);
    },
);
