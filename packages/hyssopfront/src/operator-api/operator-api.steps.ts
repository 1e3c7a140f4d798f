import { After, Given, Then, When } from "@cucumber/cucumber";
import { createSystemClock } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { text as readAll } from "node:stream/consumers";
import { request as sendRequest } from "undici";
import type { ChangeCommand } from "../resources/messages.js";
import { CommandKind } from "../resources/messages.js";
import { type ChangeRecord, createResourceState, type ResourceState } from "../resources/resource-state.js";
import { ResourceKind } from "../resources/resource.js";
import { ChangeOutcomeUnknownError, NoLeaderError, type OperatorApiBackend, type WatchEvent } from "./messages.js";
import type { OperatorApiServer, StartOperatorApiOptions } from "./start-operator-api.js";
import { startOperatorApi } from "./start-operator-api.js";

type ApiResponse = { statusCode: number; headers: Record<string, unknown>; body: Record<string, unknown> };

let state: ResourceState;
let changes: ChangeRecord[];
let oldestRevision: number;
let backend: OperatorApiBackend;
let api: OperatorApiServer;
let incrementedCounters: string[];
let responses: ApiResponse[];
let lastRevisionRead: number;
let commitAllowed: Promise<void>;
let received: string;
let notifyWatches: () => void;
let changeNotified: Promise<void>;

const resetNotification = () => {
    changeNotified = new Promise(resolve => notifyWatches = resolve);
};

const apply = (command: ChangeCommand) => {
    const applied = state.apply(state.revision + 1, command);
    changes.push(...applied.changes);
    notifyWatches();
    resetNotification();
    return applied.response;
};

const toEvent = ({ key, revision, value }: ChangeRecord): WatchEvent => {
    const [kind = "", name = ""] = key.split("/");
    return { type: value === undefined ? "delete" : "put", revision, kind, name, resource: value };
};

const start = async (options: Partial<StartOperatorApiOptions> = {}) => {
    await api?.stop();
    api = await startOperatorApi({
        clock: createSystemClock(),
        counters: {
            increment: (name, _amount, tags) => incrementedCounters.push(`${name} ${tags?.code ?? ""}`),
            gauge: () => undefined,
        },
        backend,
        address: "127.0.0.1",
        port: 0,
        ...options,
    });
};

const send = async (
    method: string,
    path: string,
    headers: Record<string, string> = {},
    body = "",
): Promise<ApiResponse> => {
    const response = await sendRequest(`http://127.0.0.1:${api.port}${path}`, {
        method: method as "GET",
        headers: { ...body === "" ? {} : { "Content-Type": "application/json" }, ...headers },
        body: body === "" ? undefined : body,
    });
    const responseBody = await response.body.json() as Record<string, unknown>;
    return { statusCode: response.statusCode, headers: response.headers, body: responseBody };
};

const putRegion = (name: string, requestId: string) =>
    send("PUT", `/v1/regions/${name}`, { "Request-Id": requestId }, "{\"spec\":{}}");

/** Reads the lines of a watch until `isLast` is true for one of them or the watch ends. */
const readWatch = async (from: number, isLast: (line: WatchEvent) => boolean): Promise<WatchEvent[]> => {
    const disconnected = new AbortController();
    const response = await sendRequest(`http://127.0.0.1:${api.port}/v1/watch?fromRevision=${from}`, {
        signal: disconnected.signal,
    });
    assert.equal(response.statusCode, 200);
    const lines: WatchEvent[] = [];
    let partialLine = "";
    try {
        for await (const chunk of response.body) {
            const parts = (partialLine + String(chunk)).split("\n");
            partialLine = parts.pop() ?? "";
            lines.push(...parts.map(text => JSON.parse(text) as WatchEvent));
            if (lines.some(isLast)) {
                break;
            }
        }
    }
    finally {
        disconnected.abort();
    }
    assert.equal(partialLine, "");
    return lines;
};

Given("an API over a state with the region {string} at revision 1", async (name: string) => {
    state = createResourceState();
    changes = [];
    oldestRevision = 0;
    incrementedCounters = [];
    responses = [];
    commitAllowed = Promise.resolve();
    resetNotification();
    backend = {
        propose: async command => {
            await commitAllowed;
            return apply(command);
        },
        read: (kind, readName) =>
            Promise.resolve({
                revision: state.revision,
                items: state.list(kind).filter(resource => readName === undefined || resource.name === readName)
                    .map(resource => ({ ...resource, status: { conditions: [] } })),
            }),
        watch: async (after, waitMilliseconds, signal) => {
            if (after < oldestRevision) {
                return { isTooOld: true, oldestRevision };
            }
            const isNew = () => changes.some(change => change.revision > after);
            if (!isNew() && waitMilliseconds > 0) {
                await Promise.race([changeNotified, once(signal, "abort")]);
            }
            const events = changes.filter(change => change.revision > after).map(toEvent);
            return { isTooOld: false, revision: state.revision, events };
        },
        status: () => Promise.resolve({ role: "leader" }),
    };
    apply({
        command: CommandKind.Put,
        requestId: "background",
        fingerprint: "",
        proposedAt: 0,
        kind: ResourceKind.Region,
        name,
        expectedRevision: 0,
        spec: { links: [] },
    });
    await start();
});

After(() => api?.stop());

When(
    /^the request (\w+) (\S+) is sent with (\{.*?\}) and the body ?(.*)$/,
    async (method: string, path: string, headers: string, body: string) => {
        responses = [await send(method, path, JSON.parse(headers) as Record<string, string>, body)];
    },
);

Then(/^the response is (\d+) with (.*)$/, (code: string, content: string) => {
    const [response] = responses;
    const expected = JSON.parse(content) as Record<string, unknown>;
    const found = Object.fromEntries(Object.keys(expected).map(key => [key, response?.body[key]]));
    assert.deepEqual([response?.statusCode, found], [Number(code), expected], JSON.stringify(response?.body));
});

Then(/^the response has the header (\S+): (\S+)$/, (name: string, value: string) => {
    assert.equal(responses[0]?.headers[name], value);
});

When(
    "a put is sent, retried with its keys in another order, and sent with another body, all with one request id",
    async () => {
        const bodies = [
            "{\"spec\":{\"links\":[{\"to\":\"hame\",\"bitsPerSecond\":5}]}}",
            "{\"spec\":{\"links\":[{\"bitsPerSecond\":5,\"to\":\"hame\"}]}}",
            "{\"spec\":{\"links\":[]}}",
        ];
        for (const body of bodies) {
            responses.push(await send("PUT", "/v1/regions/itasuomi", { "Request-Id": "one" }, body));
        }
    },
);

Then("the responses are 201, 201 and 409, and the first two are equal", () => {
    assert.deepEqual(responses.map(response => response.statusCode), [201, 201, 409]);
    assert.deepEqual(responses[0]?.body, responses[1]?.body);
    assert.equal(responses[2]?.body.error, "requestIdReused");
    assert.equal(state.revision, 4);
});

Given(/^the backend has (no leader|an unknown outcome)$/, (fault: string) => {
    backend.propose = () =>
        Promise.reject(fault === "no leader" ? new NoLeaderError("None.") : new ChangeOutcomeUnknownError("Lost."));
});

Given("an API that requires the token {string}", async (token: string) => {
    await start({ token });
});

Then(
    "the tokens {string}, {string}, {string} and {string} get 401, and {string} gets 200",
    async (none: string, wrong: string, shorter: string, basic: string, right: string) => {
        const codes = await Promise.all(
            [none, wrong, shorter, basic, right].map(async token =>
                (await send("GET", "/v1/regions", { "Authorization": token })).statusCode
            ),
        );
        assert.deepEqual(codes, [401, 401, 401, 401, 200]);
    },
);

Given(
    "an API with a body limit of {int} bytes and a request timeout of {int} milliseconds",
    async (maximumBodyBytes: number, requestTimeoutMilliseconds: number) => {
        await start({ maximumBodyBytes, requestTimeoutMilliseconds });
    },
);

/** Sends bytes on a TCP connection and returns what it receives until the connection is closed. */
const sendBytes = async (text: string): Promise<string> => {
    const socket = connect(api.port, "127.0.0.1");
    let received = "";
    socket.on("data", data => received += String(data));
    socket.write(text);
    await once(socket, "close");
    return received;
};

const assertRejected = async (text: string, code: string, counter: string) => {
    const received = await sendBytes(text);
    assert.match(received, new RegExp(`^HTTP/1.1 ${code} `));
    assert.ok(incrementedCounters.includes(`operator_api.errors ${counter}`), incrementedCounters.join());
};

const REQUEST_HEAD = "PUT /v1/regions/x HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n";

Then(
    "a body of 300 bytes, with a content length or chunked, gets 413 and the counter {string}",
    async (counter: string) => {
        await assertRejected(`${REQUEST_HEAD}Content-Length: 300\r\n\r\n`, "413", counter);
        incrementedCounters = [];
        const chunk = `${(300).toString(16)}\r\n${"x".repeat(300)}\r\n`;
        await assertRejected(`${REQUEST_HEAD}Transfer-Encoding: chunked\r\n\r\n${chunk}`, "413", counter);
    },
);

Then(
    "headers of 20000 bytes get 431 and the counter {string}",
    (counter: string) => assertRejected(`${REQUEST_HEAD}Long: ${"x".repeat(20_000)}\r\n\r\n`, "431", counter),
);

Then(
    "a request with an incomplete body gets 408 and the counter {string}",
    (counter: string) => assertRejected(`${REQUEST_HEAD}Content-Length: 50\r\n\r\n{"spec"`, "408", counter),
);

Then(
    "a first line that is not HTTP gets 400 and the counter {string}",
    (counter: string) => assertRejected("hello\r\n\r\n", "400", counter),
);

Then(
    "a header {string} gets 400 and the counter {string}",
    (header: string, counter: string) =>
        assertRejected(`GET /v1/regions HTTP/1.1\r\nHost: x\r\n${header}\r\n\r\n`, "400", counter),
);

Given(
    "an API that buffers at most {int} bytes of changes",
    (maximumBufferedBytes: number) => start({ maximumBufferedBytes }),
);

When("a change of 60 bytes waits for its commit and another one of 60 bytes is sent", async () => {
    const body = "{\"spec\":{}}".padEnd(60);
    let allowCommit: () => void = () => undefined;
    commitAllowed = new Promise(resolve => allowCommit = resolve);
    const { propose } = backend;
    const proposed = new Promise<void>(resolve => {
        backend.propose = command => {
            resolve();
            return propose(command);
        };
    });
    const first = send("PUT", "/v1/regions/first", {}, body);
    await proposed;
    responses.push(await send("PUT", "/v1/regions/second", {}, body));
    allowCommit();
    await first;
    responses.push(await send("PUT", "/v1/regions/second", {}, body));
});

Then("the second one gets 503 at once, and 201 after the response to the first one", () => {
    assert.deepEqual(responses.map(response => [response.statusCode, response.body.error]), [[503, "busy"], [
        201,
        undefined,
    ]]);
});

Given(
    "an API that disconnects slow clients after {int} milliseconds",
    (slowReaderTimeoutMilliseconds: number) => start({ slowReaderTimeoutMilliseconds }),
);

When("a client opens a watch over 10 MB of changes and reads nothing", async () => {
    const value = "x".repeat(1_000_000);
    changes = Array.from({ length: 10 }, (_, index) => ({ key: `regions/r${index}`, revision: index + 1, value }));
    const socket = connect(api.port, "127.0.0.1");
    socket.pause();
    socket.write("GET /v1/watch HTTP/1.1\r\nHost: x\r\n\r\n");
    while (!incrementedCounters.some(name => name.startsWith("operator_api.slow_readers"))) {
        await new Promise(resolve => setImmediate(resolve));
    }
    // The socket reports the end of the connection only when it is read.
    socket.resume();
    await once(socket, "close").finally(() => socket.destroy());
});

Then("its connection is closed and the counter {string} is incremented once", (counter: string) => {
    assert.deepEqual(incrementedCounters.filter(name => name.startsWith(counter)).length, 1);
});

When("a watch from revision 0 reads one change and is closed, and {int} changes follow", async (count: number) => {
    const [first] = await readWatch(0, () => true);
    lastRevisionRead = first?.revision ?? 0;
    for (let index = 0; index < count; index += 1) {
        await putRegion(`region-${index}`, `id-${index}`);
    }
});

Then("a watch from the last revision read gets exactly the 5 changes in order", async () => {
    const lines = await readWatch(lastRevisionRead, line => line.revision === 6);
    assert.deepEqual(lines.map(line => line.revision), [2, 3, 4, 5, 6]);
});

Then(
    "after a compaction up to revision {int} a watch from revision {int} gets 410 with the oldest revision {int}",
    async (compacted: number, from: number, oldest: number) => {
        oldestRevision = compacted;
        const response = await send("GET", `/v1/watch?fromRevision=${from}`);
        assert.deepEqual([response.statusCode, response.body.oldestRevision], [410, oldest]);
    },
);

Then("a watch from revision {int} gets exactly the changes after it", async (from: number) => {
    const lines = await readWatch(from, line => line.revision === 6);
    assert.deepEqual(lines.map(line => line.revision), [5, 6]);
});

When("the API is stopped while a watch is open and a change waits for its commit", async () => {
    let allowCommit: () => void = () => undefined;
    commitAllowed = new Promise(resolve => allowCommit = resolve);
    const proposed = new Promise<void>(resolve => {
        const { propose } = backend;
        backend.propose = command => {
            resolve();
            return propose(command);
        };
    });
    let hasReceivedLine = false;
    // The API is stopped once the watch has received its first line and the change waits for `commitGate`.
    const watch = readWatch(0, () => {
        hasReceivedLine = true;
        return false;
    });
    const change = putRegion("late", "late");
    await proposed;
    while (!hasReceivedLine) {
        await new Promise(resolve => setImmediate(resolve));
    }
    const stopped = api.stop();
    const lines = await watch;
    allowCommit();
    responses = [await change];
    await stopped;
    assert.deepEqual(lines[0]?.revision, 1);
});

Then("the watch ends cleanly, the change gets its response, and new connections are refused", async () => {
    assert.equal(responses[0]?.statusCode, 201);
    await assert.rejects(send("GET", "/v1/regions"), /ECONNREFUSED/);
});

Given("the backend has a status of {int} bytes", (bytes: number) => {
    backend.status = () => Promise.resolve({ padding: "x".repeat(bytes) });
});

When("a client requests the status and the API is stopped before the client reads", async () => {
    const socket = connect(api.port, "127.0.0.1").pause();
    socket.write("GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n");
    await once(socket, "readable");
    const stopped = api.stop();
    received = await readAll(socket);
    await stopped;
});

Then("the client gets the whole response", () => {
    assert.equal(received.split("\r\n\r\n")[1]?.length, Number(/content-length: (\d+)/i.exec(received)?.[1]));
});
