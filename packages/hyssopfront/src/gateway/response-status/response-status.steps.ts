import { After, Given, setDefaultTimeout, Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { SAMPLE_HEADER_NAMES as NAMES } from "../sample-header-names.js";
import {
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

setDefaultTimeout(40_000);

const SHORT_BODY = "x".repeat(100);
/** Longer than a response that is buffered. */
const LONG_BODY = "x".repeat(400_000);
const LATE_MS = 1_300;
const REQUESTS_TO_TWO_SERVERS = 4;
const MAXIMUM_ATTEMPTS = 5;
/** Services, each of which has its own backend servers, so that the failures of one way do not eject those of another. */
const WAYS: Readonly<Record<string, string>> = {
    "it is short": "short",
    "it has no body": "empty",
    "it is long": "long",
    "it is long and chunked": "chunked",
    "it ends with its connection": "delimited",
    "it comes on a reused connection": "reused",
    "it comes before the end of the body": "early",
    "it comes after the deadline": "late",
    "another backend server responds": "two",
    "all backend servers respond so": "bad",
};

let entry: TestEntry;
let backendServers: TestBackendServer[];
let events: { readonly event: string; readonly [field: string]: unknown }[];
let requestNumber: number;
let sockets: Socket[];

const lengthOf = (body: string) => `content-length: ${body.length}`;
const respondWell: RawBehavior = (socket, id) =>
    void socket.write(formatHead("200 OK", id, [SIGNATURE_HEADER, lengthOf(SHORT_BODY)]) + SHORT_BODY);

/** Returns the responses with this status, by the service. */
function respondWith(status: string, headers: readonly string[]): Readonly<Record<string, RawBehavior>> {
    const start = (id: string, framing: string) =>
        formatHead(`${status} X`, id, [SIGNATURE_HEADER, framing, ...headers]);
    const short: RawBehavior = (socket, id) => void socket.write(start(id, lengthOf(SHORT_BODY)) + SHORT_BODY);
    const answered = new WeakSet<Socket>();
    return {
        short,
        empty: (socket, id) => void socket.write(start(id, "content-length: 0")),
        long: (socket, id) => void socket.write(start(id, lengthOf(LONG_BODY)) + LONG_BODY),
        chunked: (socket, id) =>
            void socket.write(
                `${start(id, "transfer-encoding: chunked")}${
                    LONG_BODY.length.toString(16)
                }\r\n${LONG_BODY}\r\n0\r\n\r\n`,
            ),
        delimited: (socket, id) => void socket.end(start(id, "connection: close") + SHORT_BODY),
        reused: (socket, id, path) => {
            (answered.has(socket) ? short : respondWell)(socket, id, path);
            answered.add(socket);
        },
        early: short,
        late: (socket, id, path) => void setTimeout(() => short(socket, id, path), LATE_MS),
        two: short,
        bad: short,
    };
}

async function startServers(behaviors: Readonly<Record<string, RawBehavior>>): Promise<void> {
    const start = async (service: string, id: string, behavior: RawBehavior) => {
        backendServers.push(await startTestBackendServer(entry.feed, { id, service, slots: 100 }, behavior));
    };
    await Promise.all([
        ...Object.entries(behaviors).map(([service, behavior]) => start(service, `${service}-1`, behavior)),
        start("two", "two-2", respondWell),
        start("bad", "bad-2", behaviors.bad as RawBehavior),
        start("good", "good-1", respondWell),
    ]);
}

/** Whether a backend server got the request. */
const wasForwarded = (id: string) => backendServers.some(({ requestIds }) => requestIds.includes(id));

/** Sends a request until it reaches a backend server, since a busy machine may reject it before, and returns the status. */
async function sendForStatus(service: string): Promise<number> {
    for (let attempt = 1;; attempt += 1) {
        const status = await sendOnce(service);
        if (status !== 503 || wasForwarded(`q${requestNumber}`) || attempt === MAXIMUM_ATTEMPTS) {
            return status;
        }
        await sleep(500);
    }
}

async function sendOnce(service: string): Promise<number> {
    const socket = connect(entry.callerPort, TEST_HOST);
    sockets.push(socket);
    socket.on("error", () => undefined);
    let received = "";
    socket.on("data", data => received += data.toString("latin1"));
    const isEarly = service === "early";
    socket.write(formatRequest({
        method: isEarly ? "POST" : "GET",
        path: `/${service}/1`,
        id: `q${requestNumber += 1}`,
        headers: isEarly ? ["content-length: 5000000"] : [],
    }));
    if (isEarly) {
        socket.write("x".repeat(1_500_000));
    }
    const endsAt = performance.now() + 3_000;
    while (!received.includes("\r\n\r\n") && !socket.destroyed && performance.now() < endsAt) {
        await sleep(5);
    }
    return Number(received.split(" ")[1] ?? 0);
}

After(async () => {
    sockets.forEach(socket => socket.destroy());
    await entry.gateway.stop(500);
    await entry.control.close();
    backendServers.forEach(server => server.close());
});

Given("an entry", async () => {
    backendServers = [];
    events = [];
    sockets = [];
    requestNumber = 0;
    entry = await startTestEntry({
        log: (_level, event, fields) => void events.push({ event, ...fields }),
        stopMilliseconds: 500,
    });
    [...Object.values(WAYS), "good"].forEach(service =>
        publishService(entry.feed, service, {
            isIdempotent: service === "two" || service === "bad",
            timeoutMilliseconds: service === "late" ? LATE_MS - 500 : 2_000,
        })
    );
    await waitUntilReady(entry);
});
// A word, since Cucumber would convert digits to a number and lose leading zeros.
Given("backend servers that respond with status {word}", (status: string) => startServers(respondWith(status, [])));
Given(
    "backend servers that reject requests with status {word}",
    (status: string) => startServers(respondWith(status, [`${NAMES.notExecuted}: 1`])),
);
Given("backend servers that respond with status 103 without a length and then with 200", () =>
    startServers({
        short: (socket, id, path) => {
            socket.write("HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n");
            respondWell(socket, id, path);
        },
        bad: respondWell,
    }));

Then(
    /^the response of an? (?:request that must not be repeated|idempotent request) is (\d+) if (.+)$/,
    async (status: string, way: string) => {
        const service = WAYS[way] as string;
        if (service === "reused") {
            assert.equal(await sendForStatus(service), 200);
        }
        const count = service === "two" ? REQUESTS_TO_TWO_SERVERS : 1;
        for (let number = 0; number < count; number += 1) {
            assert.equal(await sendForStatus(service), Number(status));
        }
        if (service === "late") {
            await sleep(LATE_MS);
        }
    },
);
Then("the entry still serves requests", async () => assert.equal(await sendForStatus("good"), 200));
Then("the refused responses are counted and logged", async () => {
    const text = await entry.metrics.text();
    const lines = text.split("\n").filter(line => line.startsWith("hyssopfront_gateway_refused_responses_total"));
    assert.ok(lines.some(line => line.includes("service=\"short\"")), JSON.stringify(events));
    const logged = events.find(({ event, service }) => event === "attempt ended" && service === "short");
    assert.match(String(logged?.reason), /status/i, JSON.stringify(logged));
});
