import { After, Given, Then, When } from "@cucumber/cucumber";
import { createSystemClock } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { SAMPLE_BACKEND_RECORD } from "../../registry/sample-backend-record.js";
import { type BackendServer, type BackendServers, createBackendServers } from "../backend-servers.js";
import { type BodyMemory, createBodyMemory } from "../body-memory.js";
import { SAMPLE_HEADER_NAMES as NAMES } from "../sample-header-names.js";
import { type BodyBuffer, createBodyBuffer } from "./body-buffer.js";
import { dispatch, DispatchOutcome, type DispatchResult, type ResponseSink } from "./dispatch.js";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

const HOST = "127.0.0.1";
const REQUEST_ID = "q1";
const BODY = "0123456789".repeat(5);
const TIMEOUT_MS = 2_000;
const CONNECTION_LIMIT = 10;
/** Time for which a caller takes no more, in milliseconds; the end of a connection on loopback arrives much sooner. */
const LAST_CHUNK_MS = 100;
const HEAD = `HTTP/1.1 200 OK\r\n${NAMES.requestId}: ${REQUEST_ID}\r\n${NAMES.responseSignature}: s1\r\n`;
const LENGTH = `content-length: ${BODY.length}\r\n\r\n${BODY}`;
const CHUNK = `19\r\n${BODY.slice(0, 25)}\r\n19\r\n${BODY.slice(25)}\r\n0\r\n\r\n`;
const CHUNKS = `transfer-encoding: chunked\r\n\r\n${CHUNK}`;
const LONG_BODY_BYTES = 8 * 1024 * 1024;
const RESPONSES: Readonly<Record<string, string>> = {
    "a length": HEAD + LENGTH,
    "a length and connection close": `${HEAD}connection: close\r\n${LENGTH}`,
    "chunks": HEAD + CHUNKS,
    "chunks and connection close": `${HEAD}connection: close\r\n${CHUNKS}`,
    "a failure": `HTTP/1.1 500 Oops\r\n${NAMES.requestId}: ${REQUEST_ID}\r\n${LENGTH}`,
    "a long body": `${HEAD}content-length: ${LONG_BODY_BYTES}\r\n\r\n${"x".repeat(LONG_BODY_BYTES)}`,
    "a long body and connection close": `${HEAD}connection: close\r\ncontent-length: ${LONG_BODY_BYTES}\r\n\r\n${
        "x".repeat(LONG_BODY_BYTES)
    }`,
    "a long body without a length": `${HEAD}\r\n${"x".repeat(LONG_BODY_BYTES)}`,
    "chunks behind an informational one": `HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n${HEAD}${CHUNKS}`,
};

const clock = createSystemClock();
let server: Server | undefined;
let backendServers: BackendServers;
let backendServer: BackendServer;
let response: string;
let isReused: boolean;
/** How the backend server responds to the next request. */
let respond: (socket: Socket) => void;
let results: readonly DispatchResult[];
let body: BodyBuffer;
let streamedBytes: number;
let resetConnection: () => void = () => undefined;
let memory: BodyMemory;
let memoryBehindViews: readonly WeakRef<ArrayBuffer>[];

const sendWhole = (socket: Socket) => void socket.write(response);
const TAKE_ALL: ResponseSink = { begin: () => undefined, write: () => true, end: () => undefined };
const send = (sink = TAKE_ALL) =>
    dispatch({
        clock,
        server: backendServer,
        request: {
            id: REQUEST_ID,
            method: "GET",
            path: "/",
            host: "gateway.example",
            headers: ["host", "gateway.example", NAMES.requestId, REQUEST_ID],
            affinityKey: undefined,
            callerTimeoutMilliseconds: undefined,
            body: undefined,
            memory: memory.createReservation(),
        },
        headerNames: NAMES,
        connectionLimit: CONNECTION_LIMIT,
        endsAt: clock.monotonicMilliseconds() + TIMEOUT_MS,
        onResponseHead: () => undefined,
        sink,
    }).result;

After(() => {
    resetConnection = () => undefined;
    if (server !== undefined) {
        backendServers.close();
        server.close();
        server = undefined;
    }
});

Given(
    /^a backend server that responds with (.+) on a (new|reused) connection$/,
    async (framing: string, connection: string) => {
        response = RESPONSES[framing] as string;
        isReused = connection === "reused";
        memory = createBodyMemory();
        respond = sendWhole;
        const listener = createServer(socket => {
            socket.on("error", () => undefined);
            socket.on("data", () => respond(socket));
        });
        server = listener;
        await new Promise<void>(resolve => listener.listen(0, HOST, resolve));
        backendServers = createBackendServers({
            clock,
            random: () => 0.5,
            getRegion: () => "r1",
            onConnect: () => undefined,
        });
        const { port } = listener.address() as AddressInfo;
        backendServers.merge({ ...SAMPLE_BACKEND_RECORD, port });
        backendServer = backendServers.listUsable("stoc")[0] as BackendServer;
    },
);
When(/^it (closes|resets) the connection after each number of bytes$/, async (end: string) => {
    const collected: DispatchResult[] = [];
    for (let length = 0; length < response.length; length += 1) {
        if (isReused) {
            respond = sendWhole;
            assert.equal((await send()).outcome, DispatchOutcome.Completed);
        }
        respond = socket => {
            if (end === "closes") {
                socket.end(response.slice(0, length));
            }
            else {
                socket.write(response.slice(0, length), () => socket.resetAndDestroy());
            }
        };
        collected.push(await send());
    }
    results = collected;
});
Then("no dispatch is completed, and each is failed", () => {
    assert.deepEqual(
        results.map(({ outcome }, length) => `${length}: ${outcome}`),
        results.map((_result, length) => `${length}: ${DispatchOutcome.Failed}`),
    );
});
Given("there is memory for {int} bytes of bodies", (bytes: number) => {
    memory = createBodyMemory(bytes);
});
When("it sends the whole response", async () => {
    respond = sendWhole;
    results = [await send()];
});
Then("the dispatch is completed with the whole body", () => {
    const [result] = results;
    assert.deepEqual([result?.outcome, result?.body?.toString()], [DispatchOutcome.Completed, BODY]);
});
When("a caller takes {int} ms for each chunk of the response", async (milliseconds: number) => {
    streamedBytes = 0;
    const sink: ResponseSink = {
        ...TAKE_ALL,
        write: (chunk, onWritable) => {
            streamedBytes += chunk.length;
            setTimeout(onWritable, milliseconds);
            return false;
        },
    };
    results = [await send(sink)];
});
Then(/^at least (\d+) of (\d+) dispatches at once are streamed$/, async (streamed: string, count: string) => {
    results = await Promise.all(Array.from({ length: Number(count) }, () => send()));
    const outcomes = results.map(({ outcome }) => outcome);
    assert.ok(
        outcomes.filter(outcome => outcome === DispatchOutcome.Streamed).length >= Number(streamed),
        outcomes.join(),
    );
    assert.ok(outcomes.every(outcome => [DispatchOutcome.Streamed, DispatchOutcome.Completed].includes(outcome)));
});
Then("the dispatch is streamed with all bytes", () => {
    assert.deepEqual([results[0]?.outcome, streamedBytes], [DispatchOutcome.Streamed, LONG_BODY_BYTES]);
});
When(
    /^it (closes the connection after|resets the connection in) the body while a slow caller takes the last chunk of the response$/,
    async (end: string) => {
        const isReset = end.startsWith("resets");
        const sentBytes = LONG_BODY_BYTES - (isReset ? 1 : 0);
        respond = socket => {
            if (isReset) {
                socket.write(response.slice(0, -1));
                resetConnection = () => void socket.resetAndDestroy();
            }
            else {
                socket.end(response);
            }
        };
        streamedBytes = 0;
        const sink: ResponseSink = {
            ...TAKE_ALL,
            write: (chunk, onWritable) => {
                streamedBytes += chunk.length;
                const isLast = streamedBytes === sentBytes;
                if (isLast) {
                    resetConnection();
                }
                setTimeout(onWritable, isLast ? LAST_CHUNK_MS : 1);
                return false;
            },
        };
        results = [await send(sink)];
        // Cucumber fails a step in which an exception is left uncaught, also one after the end of the dispatch.
        await new Promise(resolve => setTimeout(resolve, LAST_CHUNK_MS));
    },
);
Then("the dispatch is cut off", () => assert.equal(results[0]?.outcome, DispatchOutcome.Truncated));
When("{int} views of 1 byte on {int} bytes each are collected", (count: number, size: number) => {
    body = createBodyBuffer();
    memoryBehindViews = Array.from({ length: count }, () => {
        const memory = new ArrayBuffer(size);
        body.append(Buffer.from(memory, 0, 1));
        return new WeakRef(memory);
    });
});
Then("none of the memory behind the views is kept", async () => {
    // A weak reference keeps its target until the end of the turn in which it was made.
    await new Promise(resolve => setImmediate(resolve));
    collectGarbage();
    assert.equal(memoryBehindViews.filter(reference => reference.deref() !== undefined).length, 0);
});
Then("the body has {int} bytes", (length: number) => assert.equal(body.take().length, length));
