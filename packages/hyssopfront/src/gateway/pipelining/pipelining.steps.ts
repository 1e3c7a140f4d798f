import { After, Given, Then, When } from "@cucumber/cucumber";
import { createSystemClock, NO_COUNTERS } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { itemKey, ItemKind } from "../../catalog/items.js";
import { NO_EVENT_LOG } from "../../event-log/event-log.js";
import { FeedKey } from "../../gateway-control/messages.js";
import { createPipelines } from "../../http/pipelines.js";
import { DEFAULT_LIMITS } from "../catalog-view.js";
import { SAMPLE_HEADER_NAMES as NAMES } from "../sample-header-names.js";
import {
    FEED_DELAY_MS,
    formatHead,
    formatRequest,
    publishService,
    type RawBehavior,
    SIGNATURE_HEADER,
    startTestBackendServer,
    startTestEntry,
    TEST_HOST,
    type TestBackendServer,
    type TestEntry,
    waitUntilReady,
} from "../test-entry.js";

const STOP_MS = 3_000;
const ROUTE_TIMEOUT_MS = 4_000;
/** Length of a response that entries do not buffer. */
const LONG_RESPONSE_BYTES = 300_000;
const REQUEST_BYTES_AT_ONCE = 64 * 1024;

let entry: TestEntry;
let backendServer: TestBackendServer;
let server: Server | undefined;
let requestsAtOnce: number;
let callers: Caller[];
let isStopped: boolean;

type Caller = { readonly socket: Socket; received: string; isClosed: boolean; sentBytes: number };

/** A path is a word for the kind of the response, and milliseconds. */
const behave: RawBehavior = (socket, id, path) => {
    const [, kind, milliseconds] = /\/([a-z-]+?)(?:-(\d+))?$/.exec(path) ?? [];
    const sendAfter = (text: string, delay = Number(milliseconds ?? 0)) =>
        void setTimeout(() => {
            inProgress -= 1;
            socket.write(text);
        }, delay);
    inProgress += 1;
    requestsAtOnce = Math.max(requestsAtOnce, inProgress);
    const longHead = formatHead("200 OK", id, [SIGNATURE_HEADER, `content-length: ${LONG_RESPONSE_BYTES}`]);
    switch (kind) {
        case "never":
            return;
        case "long":
            sendAfter(longHead + "x".repeat(LONG_RESPONSE_BYTES));
            return;
        case "slow-long":
            socket.write(longHead + "x".repeat(LONG_RESPONSE_BYTES - 1));
            sendAfter("x");
            return;
        case "broken":
            socket.write(longHead + "x".repeat(LONG_RESPONSE_BYTES - 1));
            setTimeout(() => socket.resetAndDestroy(), Number(milliseconds));
            return;
        default:
            sendAfter(formatHead("200 OK", id, [SIGNATURE_HEADER, "content-length: 2"]) + "ok");
    }
};
let inProgress = 0;

function openCaller(port = entry.callerPort): Caller {
    const socket = connect(port, TEST_HOST);
    const caller: Caller = { socket, received: "", isClosed: false, sentBytes: 0 };
    socket.on("error", () => undefined);
    socket.on("data", data => caller.received += data.toString("latin1"));
    socket.once("close", () => caller.isClosed = true);
    callers.push(caller);
    return caller;
}
const lastCaller = () => callers[0] as Caller;

async function waitUntil(isDone: () => boolean, milliseconds = 5_000): Promise<void> {
    const endsAt = performance.now() + milliseconds;
    while (!isDone() && performance.now() < endsAt) {
        await sleep(5);
    }
    assert.ok(isDone(), "The condition was not met in time.");
}

/** Splits the responses that a caller has received. */
function parseResponses({ received }: Caller): { readonly status: number; readonly id: string | undefined }[] {
    const parsed: { readonly status: number; readonly id: string | undefined }[] = [];
    for (let rest = received; rest !== "";) {
        const headEnd = rest.indexOf("\r\n\r\n");
        const head = headEnd === -1 ? "" : rest.slice(0, headEnd);
        const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
        const end = headEnd + 4 + length;
        if (headEnd === -1 || rest.length < end) {
            break;
        }
        assert.match(head, /^HTTP\/1\.1 /);
        parsed.push({
            status: Number(head.split(" ")[1]),
            id: new RegExp(`${NAMES.requestId}: (\\S+)`, "i").exec(head)?.[1],
        });
        rest = rest.slice(end);
    }
    return parsed;
}

const FAULTS: Readonly<Record<string, string>> = {
    "a request with an invalid header name": formatRequest({ path: "/stoc/now", id: "f", headers: ["x y: 1"] }),
    "a request without a host": `GET /stoc/now HTTP/1.1\r\n${NAMES.requestId}: f\r\n\r\n`,
    "a request that cannot be parsed": "no request\r\n\r\n",
    "a request with too large headers": formatRequest({
        path: "/stoc/now",
        id: "f",
        headers: [`x-long: ${"x".repeat(200_000)}`],
    }),
    "a body of 2000 bytes that holds requests": formatRequest({
        method: "PUT",
        path: "/stoc/now",
        id: "f",
        headers: ["content-length: 2000"],
    }) + formatRequest({ path: "/stoc/now", id: "smuggled" }).repeat(40).slice(0, 2_000),
};
const formatStep = (step: string, index: number) =>
    FAULTS[step] ?? formatRequest({
        path: `/stoc/${step}`,
        id: `q${index}`,
        headers: step.startsWith("close") ? ["connection: close"] : [],
    });

After(async () => {
    callers.forEach(({ socket }) => socket.destroy());
    server?.closeAllConnections();
    server?.close();
    server = undefined;
    if (!isStopped) {
        await entry.gateway.stop(STOP_MS);
    }
    await entry.control.close();
    backendServer.close();
});

Given(
    "an entry that starts {int} requests of a connection at once and holds {int} pipelined requests",
    async (maximumRequestsInProgress: number, maximumPipelinedRequests: number) => {
        callers = [];
        requestsAtOnce = 0;
        inProgress = 0;
        isStopped = false;
        entry = await startTestEntry({
            log: NO_EVENT_LOG,
            stopMilliseconds: STOP_MS,
            pipelineLimits: { maximumRequestsInProgress, maximumPipelinedRequests },
        });
        publishService(entry.feed, "stoc", { timeoutMilliseconds: ROUTE_TIMEOUT_MS });
        await waitUntilReady(entry);
    },
);
Given("a backend server", async () => {
    backendServer = await startTestBackendServer(
        entry.feed,
        { id: "stoc-1", service: "stoc", slots: 1_000 },
        behave,
    );
});
Given("the limit of bodies is {int} bytes", async (maximumBodyBytes: number) => {
    const kind = ItemKind.Limits;
    const value = { kind, limits: { ...DEFAULT_LIMITS, maximumBodyBytes } };
    entry.feed.set(
        FeedKey.Item + itemKey(kind, "limits"),
        () => ({ kind, name: "limits", version: 1, value, source: undefined }),
    );
    await sleep(FEED_DELAY_MS);
});
Given(
    "a server that gives requests {int} ms for their heads and responds after {int} ms",
    async (headersTimeout: number, milliseconds: number) => {
        server = createServer({ headersTimeout, requestTimeout: 0, connectionsCheckingInterval: 20 });
        const pipelines = createPipelines(server, {
            clock: createSystemClock(),
            counters: NO_COUNTERS,
            log: NO_EVENT_LOG,
        });
        server.on("request", (request, response) =>
            pipelines.start(request, response, () =>
                void setTimeout(() => {
                    response.writeHead(200, { "content-length": 0 });
                    response.end();
                }, milliseconds)));
        server.listen(0, TEST_HOST);
        await once(server, "listening");
    },
);

When(/^a caller pipelines requests for ((?:(?!without end).)+)$/, (list: string) => {
    const { socket } = openCaller();
    socket.write(list.split(/, | and (?=now)/).map(formatStep).join(""));
});
When("a caller sends a request and a part of the next one to it", () => {
    const { port } = server?.address() as AddressInfo;
    openCaller(port).socket.write(`${formatRequest({ path: "/", id: "q0" })}GET / HTTP/1.1\r\nhost:`);
});
When(
    "a caller pipelines {int} requests, of which the first is for {word} and the others for {word}",
    (count: number, first: string, others: string) => {
        const steps = Array.from({ length: count }, (_, index) => index === 0 ? first : others);
        openCaller().socket.write(steps.map(formatStep).join(""));
    },
);
When(/^a caller pipelines (\d+) requests for (\S+)$/, async (count: string, step: string) => {
    openCaller().socket.write(Array.from({ length: Number(count) }, (_, index) => formatStep(step, index)).join(""));
    await sleep(100);
});
When(
    "{int} other callers pipeline {int} requests for {word} each",
    async (count: number, requests: number, step: string) => {
        Array.from({ length: count }, () => {
            const steps = Array.from({ length: requests }, (_, index) => formatStep(step, index));
            openCaller().socket.write(steps.join(""));
        });
        await sleep(300);
    },
);
When("a caller pipelines requests for {word} without end", async (step: string) => {
    const caller = openCaller();
    const request = formatStep(step, 0);
    const requests = Buffer.from(request.repeat(Math.ceil(REQUEST_BYTES_AT_ONCE / request.length)));
    const send = () => {
        while (!caller.isClosed && caller.socket.write(requests)) {
            caller.sentBytes += requests.length;
        }
        caller.sentBytes += requests.length;
        caller.socket.once("drain", send);
    };
    send();
    await sleep(1_000);
});
When(
    "the entry stops and a caller sends a request for {word} and {int} ms later one for {word}",
    async (first: string, milliseconds: number, second: string) => {
        const { socket } = openCaller();
        await once(socket, "connect");
        void entry.gateway.stop();
        isStopped = true;
        await sleep(100);
        socket.write(formatStep(first, 0));
        await sleep(milliseconds);
        socket.write(formatStep(second, 1));
    },
);
When("it disconnects after {int} ms", async (milliseconds: number) => {
    await sleep(milliseconds);
    lastCaller().socket.destroy();
});

Then(/^it gets ([\d, and]+) for them in this order$/, async (list: string) => {
    const statuses = list.split(/, | and /).map(Number);
    await waitUntil(() => lastCaller().isClosed || parseResponses(lastCaller()).length >= statuses.length).catch(
        () => undefined,
    );
    const parsed = parseResponses(lastCaller());
    assert.deepEqual(parsed.map(({ status }) => status), statuses);
    parsed.forEach(({ status, id }, index) =>
        assert.ok(status !== 200 || server !== undefined || id === `q${index}`, `Response ${index} is for ${id}.`)
    );
});
Then("it gets {int} responses in the order of the requests", async (count: number) => {
    await waitUntil(() => lastCaller().isClosed || parseResponses(lastCaller()).length >= count).catch(() => undefined);
    assert.deepEqual(
        parseResponses(lastCaller()),
        Array.from({ length: count }, (_, index) => ({ status: 200, id: `q${index}` })),
    );
});
Then("its connection is closed", () => waitUntil(() => lastCaller().isClosed));
Then(/^the backend server got (\d+) requests?$/, async (count: string) => {
    await sleep(100);
    assert.equal(backendServer.requestIds.length, Number(count), backendServer.requestIds.join());
});
Then(
    "the backend server had at most {int} requests at once",
    (count: number) => assert.ok(requestsAtOnce <= count, `It had ${requestsAtOnce}.`),
);
Then("the entry reads at most {int} bytes of them", (bytes: number) => {
    const { socket, sentBytes } = lastCaller();
    const readBytes = sentBytes - socket.writableLength;
    assert.ok(readBytes <= bytes, `${readBytes} bytes have left the caller.`);
});
Then("another caller that sends a request for {word} gets {int}", async (step: string, status: number) => {
    const caller = openCaller();
    caller.socket.write(formatStep(step, 1));
    await waitUntil(() => parseResponses(caller).length > 0);
    assert.equal(parseResponses(caller)[0]?.status, status);
});
Then(
    "at least {int} of the other callers is cut off, and at least {int} are not",
    (closed: number, open: number) => {
        const count = callers.slice(1).filter(({ isClosed }) => isClosed).length;
        assert.ok(count >= closed && callers.length - 1 - count >= open, `${count} are cut off.`);
    },
);
Then(
    "the metric {word} with the reason {word} is at least {int}",
    async (name: string, reason: string, least: number) => {
        const text = await entry.metrics.text();
        const value = Number(new RegExp(`${name}_total\\{reason="${reason}"\\} (\\d+)`).exec(text)?.[1] ?? 0);
        assert.ok(value >= least, `It is ${value}.`);
    },
);
Then(
    "no request is open within {int} ms",
    (milliseconds: number) => waitUntil(() => entry.gateway.openRequests() === 0, milliseconds),
);
