import { After, Given, Then, When } from "@cucumber/cucumber";
import { createSystemClock } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { request as sendRequest } from "undici";
import type { ChangeCommand } from "../resources/messages.js";
import { CommandKind } from "../resources/messages.js";
import { type ChangeRecord, createResourceState, type ResourceState } from "../resources/resource-state.js";
import { ResourceKind } from "../resources/resource.js";
import { ChangeOutcomeUnknownError, NoLeaderError, type OperatorApiBackend, type WatchEvent } from "./messages.js";
import type { OperatorApiServer, StartOperatorApiOptions } from "./start-operator-api.js";
import { startOperatorApi } from "./start-operator-api.js";

type Answer = { statusCode: number; headers: Record<string, unknown>; body: Record<string, unknown> };

let state: ResourceState;
let changes: ChangeRecord[];
let oldestRevision: number;
let backend: OperatorApiBackend;
let api: OperatorApiServer;
let counted: string[];
let answers: Answer[];
let seenRevision: number;
let commitGate: Promise<void>;
let wake: () => void;
let woken: Promise<void>;

const resetWake = () => {
    woken = new Promise(resolve => wake = resolve);
};

const apply = (command: ChangeCommand) => {
    const applied = state.apply(state.revision + 1, command);
    changes.push(...applied.changes);
    wake();
    resetWake();
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
            increment: (name, _amount, tags) => counted.push(`${name} ${tags?.code ?? ""}`),
            gauge: () => undefined,
        },
        backend,
        address: "127.0.0.1",
        port: 0,
        ...options,
    });
};

const send = async (method: string, path: string, headers: Record<string, string> = {}, body = ""): Promise<Answer> => {
    const response = await sendRequest(`http://127.0.0.1:${api.port}${path}`, {
        method: method as "GET",
        headers: { ...body === "" ? {} : { "Content-Type": "application/json" }, ...headers },
        body: body === "" ? undefined : body,
    });
    const answer = await response.body.json() as Record<string, unknown>;
    return { statusCode: response.statusCode, headers: response.headers, body: answer };
};

const putRegion = (name: string, requestId: string) =>
    send("PUT", `/v1/regions/${name}`, { "Request-Id": requestId }, "{\"spec\":{}}");

/** Reads lines of a watch until one satisfies the condition or the watch ends. */
const readWatch = async (from: number, isLast: (line: WatchEvent) => boolean): Promise<WatchEvent[]> => {
    const left = new AbortController();
    const response = await sendRequest(`http://127.0.0.1:${api.port}/v1/watch?fromRevision=${from}`, {
        signal: left.signal,
    });
    assert.equal(response.statusCode, 200);
    const lines: WatchEvent[] = [];
    let rest = "";
    try {
        for await (const chunk of response.body) {
            const parts = (rest + String(chunk)).split("\n");
            rest = parts.pop() ?? "";
            lines.push(...parts.map(text => JSON.parse(text) as WatchEvent));
            if (lines.some(isLast)) {
                break;
            }
        }
    }
    finally {
        left.abort();
    }
    assert.equal(rest, "");
    return lines;
};

Given("an API over a state with the region {string} at revision 1", async (name: string) => {
    state = createResourceState();
    changes = [];
    oldestRevision = 0;
    counted = [];
    answers = [];
    commitGate = Promise.resolve();
    resetWake();
    backend = {
        propose: async command => {
            await commitGate;
            return apply(command);
        },
        read: (kind, readName) =>
            Promise.resolve({
                revision: state.revision,
                items: state.list(kind).filter(it => readName === undefined || it.name === readName)
                    .map(it => ({ ...it, status: { conditions: [] } })),
            }),
        watch: async (after, waitMilliseconds, signal) => {
            if (after < oldestRevision) {
                return { isTooOld: true, oldestRevision };
            }
            const isNew = () => changes.some(it => it.revision > after);
            if (!isNew() && waitMilliseconds > 0) {
                await Promise.race([woken, once(signal, "abort")]);
            }
            const events = changes.filter(it => it.revision > after).map(toEvent);
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
        answers = [await send(method, path, JSON.parse(headers) as Record<string, string>, body)];
    },
);

Then(/^the answer is (\d+) with (.*)$/, (code: string, content: string) => {
    const [answer] = answers;
    const expected = JSON.parse(content) as Record<string, unknown>;
    const found = Object.fromEntries(Object.keys(expected).map(key => [key, answer?.body[key]]));
    assert.deepEqual([answer?.statusCode, found], [Number(code), expected], JSON.stringify(answer?.body));
});

Then(/^the answer has the header (\S+): (\S+)$/, (name: string, value: string) => {
    assert.equal(answers[0]?.headers[name], value);
});

When(
    "a put is sent, resent with its keys in another order, and sent with another body, all under one request id",
    async () => {
        const bodies = [
            "{\"spec\":{\"links\":[{\"to\":\"hame\",\"bitsPerSecond\":5}]}}",
            "{\"spec\":{\"links\":[{\"bitsPerSecond\":5,\"to\":\"hame\"}]}}",
            "{\"spec\":{\"links\":[]}}",
        ];
        for (const body of bodies) {
            answers.push(await send("PUT", "/v1/regions/itasuomi", { "Request-Id": "one" }, body));
        }
    },
);

Then("the answers are 201, 201 and 409, and the first two are equal", () => {
    assert.deepEqual(answers.map(it => it.statusCode), [201, 201, 409]);
    assert.deepEqual(answers[0]?.body, answers[1]?.body);
    assert.equal(answers[2]?.body.error, "requestIdReused");
    assert.equal(state.revision, 4);
});

Given(/^the back end has (no leader|an unknown outcome)$/, (fault: string) => {
    backend.propose = () =>
        Promise.reject(fault === "no leader" ? new NoLeaderError("None.") : new ChangeOutcomeUnknownError("Lost."));
});

Given("an API that needs the token {string}", async (token: string) => {
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
    "an API with a body limit of {int} bytes and a request time of {int} milliseconds",
    async (maximumBodyBytes: number, requestTimeoutMilliseconds: number) => {
        await start({ maximumBodyBytes, requestTimeoutMilliseconds });
    },
);

/** Sends bytes on a plain socket and collects what comes back until the connection closes. */
const sendRaw = async (text: string): Promise<string> => {
    const socket = connect(api.port, "127.0.0.1");
    let received = "";
    socket.on("data", data => received += String(data));
    socket.write(text);
    await once(socket, "close");
    return received;
};

const checkRaw = async (text: string, code: string, counter: string) => {
    const received = await sendRaw(text);
    assert.match(received, new RegExp(`^HTTP/1.1 ${code} `));
    assert.ok(counted.includes(`operator_api.errors ${counter}`), counted.join());
};

const HEAD = "PUT /v1/regions/x HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n";

Then("a body of 300 bytes, announced or chunked, gets 413 and the counter {string}", async (counter: string) => {
    await checkRaw(`${HEAD}Content-Length: 300\r\n\r\n`, "413", counter);
    counted = [];
    const chunk = `${(300).toString(16)}\r\n${"x".repeat(300)}\r\n`;
    await checkRaw(`${HEAD}Transfer-Encoding: chunked\r\n\r\n${chunk}`, "413", counter);
});

Then(
    "headers of 20000 bytes get 431 and the counter {string}",
    (counter: string) => checkRaw(`${HEAD}Long: ${"x".repeat(20_000)}\r\n\r\n`, "431", counter),
);

Then(
    "a request that stops in mid-body gets 408 and the counter {string}",
    (counter: string) => checkRaw(`${HEAD}Content-Length: 50\r\n\r\n{"spec"`, "408", counter),
);

Then(
    "a first line that is not HTTP gets 400 and the counter {string}",
    (counter: string) => checkRaw("hello\r\n\r\n", "400", counter),
);

Then(
    "a header {string} gets 400 and the counter {string}",
    (header: string, counter: string) =>
        checkRaw(`GET /v1/regions HTTP/1.1\r\nHost: x\r\n${header}\r\n\r\n`, "400", counter),
);

Given(
    "an API that holds at most {int} bytes of changes",
    (maximumBufferedBytes: number) => start({ maximumBufferedBytes }),
);

When("a change of 60 bytes waits for its commit and another one of 60 bytes is sent", async () => {
    const body = "{\"spec\":{}}".padEnd(60);
    let openGate: () => void = () => undefined;
    commitGate = new Promise(resolve => openGate = resolve);
    const { propose } = backend;
    const proposed = new Promise<void>(resolve => {
        backend.propose = command => {
            resolve();
            return propose(command);
        };
    });
    const first = send("PUT", "/v1/regions/first", {}, body);
    await proposed;
    answers.push(await send("PUT", "/v1/regions/second", {}, body));
    openGate();
    await first;
    answers.push(await send("PUT", "/v1/regions/second", {}, body));
});

Then("the second one gets 503 at once, and after the first was answered it gets 201", () => {
    assert.deepEqual(answers.map(it => [it.statusCode, it.body.error]), [[503, "busy"], [201, undefined]]);
});

Given(
    "an API that cuts readers after {int} milliseconds",
    (slowReaderTimeoutMilliseconds: number) => start({ slowReaderTimeoutMilliseconds }),
);

When("a reader opens a watch over 10 MB of changes and reads nothing", async () => {
    const value = "x".repeat(1_000_000);
    changes = Array.from({ length: 10 }, (_, index) => ({ key: `regions/r${index}`, revision: index + 1, value }));
    const socket = connect(api.port, "127.0.0.1");
    socket.pause();
    socket.write("GET /v1/watch HTTP/1.1\r\nHost: x\r\n\r\n");
    while (!counted.some(name => name.startsWith("operator_api.slow_readers"))) {
        await new Promise(resolve => setImmediate(resolve));
    }
    // The end of the connection is seen only by reading.
    socket.resume();
    await once(socket, "close").finally(() => socket.destroy());
});

Then("its connection is cut and the counter {string} is set", (counter: string) => {
    assert.deepEqual(counted.filter(name => name.startsWith(counter)).length, 1);
});

When("a watch from revision 0 reads one change and is cut, and {int} changes follow", async (count: number) => {
    const [first] = await readWatch(0, () => true);
    seenRevision = first?.revision ?? 0;
    for (let index = 0; index < count; index += 1) {
        await putRegion(`region-${index}`, `id-${index}`);
    }
});

Then("a watch from the revision it read gets exactly the 5 changes in order", async () => {
    const lines = await readWatch(seenRevision, line => line.revision === 6);
    assert.deepEqual(lines.map(line => line.revision), [2, 3, 4, 5, 6]);
});

Then(
    "after a compaction up to revision {int} a watch from revision {int} gets 410 with the oldest revision {int}",
    async (compacted: number, from: number, oldest: number) => {
        oldestRevision = compacted;
        const answer = await send("GET", `/v1/watch?fromRevision=${from}`);
        assert.deepEqual([answer.statusCode, answer.body.oldestRevision], [410, oldest]);
    },
);

Then("a watch from revision {int} gets exactly the changes after it", async (from: number) => {
    const lines = await readWatch(from, line => line.revision === 6);
    assert.deepEqual(lines.map(line => line.revision), [5, 6]);
});

When("the API is stopped while a watch is open and a change waits for its commit", async () => {
    let openGate: () => void = () => undefined;
    commitGate = new Promise(resolve => openGate = resolve);
    const proposed = new Promise<void>(resolve => {
        const { propose } = backend;
        backend.propose = command => {
            resolve();
            return propose(command);
        };
    });
    let isStopping = false;
    // The stop begins once the watch has its first line and the change waits at the gate.
    const watch = readWatch(0, () => {
        isStopping = true;
        return false;
    });
    const change = putRegion("late", "late");
    await proposed;
    while (!isStopping) {
        await new Promise(resolve => setImmediate(resolve));
    }
    const stopped = api.stop();
    const lines = await watch;
    openGate();
    answers = [await change];
    await stopped;
    assert.deepEqual(lines[0]?.revision, 1);
});

Then("the watch ends cleanly, the change is answered, and new connections are refused", async () => {
    assert.equal(answers[0]?.statusCode, 201);
    await assert.rejects(send("GET", "/v1/regions"), /ECONNREFUSED/);
});
