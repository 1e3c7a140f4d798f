import { After, Given, Then, When } from "@cucumber/cucumber";
import { createSystemClock, type PeerListener } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { Agent, type IncomingHttpHeaders, request as sendRequest } from "node:http";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { type Item, itemKey, ItemKind, type ItemValue, type Route } from "../catalog/items.js";
import { SAMPLE_ROUTE } from "../catalog/sample-route.js";
import { hashApiKey } from "../client-accounts/client-account.js";
import type { ChangeFeed } from "../feed/change-feed.js";
import { FeedKey } from "../gateway-control/messages.js";
import { type BackendRecord, BackendServerState } from "../registry/backend-record.js";
import { SAMPLE_BACKEND_RECORD } from "../registry/sample-backend-record.js";
import { DEFAULT_LIMITS } from "./catalog-view.js";
import { type EventLoopLag, measureEventLoopLag } from "./event-loop-lag.js";
import { SAMPLE_HEADER_NAMES as NAMES } from "./sample-header-names.js";
import { parsePauseMilliseconds } from "./server-notices.js";
import type { Gateway } from "./start-gateway.js";
import { canWaitForRequest, type EntryStop } from "./stop-admission.js";
import { FEED_DELAY_MS, startTestEntry } from "./test-entry.js";

const HOST = "127.0.0.1";
const BODY = "x".repeat(2_000);
const STOP_MS = 900;
const DEADLINE_MS = 1_500;
const TIMEOUT_MS = 1_000;
/** Size of a response that entries do not buffer. */
const LONG_RESPONSE_BYTES = 300_000;
/** Time in which a request on a connection that is not full reaches its backend server, in milliseconds. */
const FILL_INTERVAL_MS = 100;
/** Parts in which a caller sends a body slowly. */
const BODY_PARTS = 30;
const LOWERED_LIMITS = {
    maximumHeaderBytes: 1,
    maximumBodyBytes: 1,
    idleTimeoutMilliseconds: 50,
    headerTimeoutMilliseconds: 50,
};

type CallerResponse = { readonly status: number; readonly headers: IncomingHttpHeaders; readonly body: string };
type FakeBackendServer = {
    readonly server: Server;
    requests: string[];
    readonly requestedAt: number[];
    readonly sockets: Set<Socket>;
    /** Bytes that entries have received on connections that are closed by now. */
    readonly bytesAccepted: () => number;
    record: BackendRecord;
};
type DisconnectingCallers = {
    readonly count: number;
    readonly disconnectedAt: number;
    /** For each caller that got a response, its status and the time until it came. */
    readonly responses: readonly { readonly milliseconds: number; readonly status: number }[];
    readonly closedUnread: number;
};
type Behavior = (socket: Socket, id: string) => void;

const clock = createSystemClock();
let feed: ChangeFeed;
let control: PeerListener;
let gateway: Gateway;
let callerPort: number;
let fakeServers: Map<string, FakeBackendServer>;
let responses: Promise<CallerResponse>[];
let sentAt: number;
let stopPromise: Promise<void> | undefined;
let lastRequestNumber = 0;
let lag: EventLoopLag;
let isLoopSlow = false;
let disconnectingCallers: DisconnectingCallers;
let stoppedAt: number;
let respondedAt: number;
let unanswered: string[];
let keptResponses: number;
let responsesBeforeStop: number;
let hasStopped: boolean;
let rawResponse: string;
let isRawConnectionClosed: boolean;
let rawConnection: Socket;
let rawError: Error | undefined;
let stop: EntryStop;
let events: { readonly event: string; readonly [field: string]: unknown }[];

const head = (status: string, id: string, more: readonly string[] = []) =>
    [`HTTP/1.1 ${status}`, `${NAMES.requestId}: ${id}`, ...more, "", ""].join("\r\n");
const SIGNATURE_HEADER = `${NAMES.responseSignature}: s1`;
const LENGTH_HEADER = `content-length: ${BODY.length}`;
const respond: Behavior = (socket, id) =>
    void socket.write(head("200 OK", id, [SIGNATURE_HEADER, LENGTH_HEADER]) + BODY);
const respondWithHeader = (header: string): Behavior => (socket, id) =>
    void socket.write(head("200 OK", id, [SIGNATURE_HEADER, LENGTH_HEADER, header]) + BODY);
const delayed = (milliseconds: number, behavior: Behavior): Behavior => (socket, id) =>
    void setTimeout(() => behavior(socket, id), milliseconds);
/** Sends a beginning and then repeats the same bytes until the entry closes the connection. */
const sendEndlessly = (begin: (id: string) => string, more: string): Behavior => (socket, id) => {
    const bytes = Buffer.from(more.repeat(Math.ceil(16_384 / more.length)));
    const send = () => {
        while (!socket.destroyed) {
            if (!socket.write(bytes)) {
                socket.once("drain", send);
                return;
            }
        }
    };
    socket.write(begin(id));
    send();
};
const LEAVING_HEADER = `${NAMES.leaving}: 1`;
const rejectRequest: Behavior = (socket, id) =>
    void socket.write(head("503 Service Unavailable", id, [`${NAMES.notExecuted}: 1`, "content-length: 0"]));
const rejectWithoutId: Behavior = socket =>
    void socket.write(`HTTP/1.1 503 Service Unavailable\r\n${NAMES.notExecuted}: 1\r\ncontent-length: 0\r\n\r\n`);
const askForPause = (seconds: string): Behavior => (socket, id) =>
    void socket.write(
        head("503 Service Unavailable", id, [
            `${NAMES.notExecuted}: 1`,
            `${NAMES.retryAfter}: ${seconds}`,
            "content-length: 0",
        ]),
    );
/** Bytes and ids of the requests that are being read on each connection. */
const answeredEarly = new WeakSet<Socket>();
const partialRequests = new WeakMap<Socket, { readonly id: string; readonly start: number }>();
/** Responds once a request with a body of this length has been read. */
const respondToBody = (length: number): Behavior => (socket, id) => {
    const request = partialRequests.get(socket) ?? { id, start: 0 };
    partialRequests.set(socket, request);
    if (socket.bytesRead - request.start > length) {
        respond(socket, request.id);
    }
};
/** Responds to the head of a long request, and to short requests. */
const respondUnread = (respondToLong: Behavior): Behavior => (socket, id) => {
    if (id !== "") {
        (id.startsWith("long") ? respondToLong : respond)(socket, id);
    }
};
/** Numbers of the requests that arrived on each connection. */
const requestCounts = new WeakMap<Socket, number>();
const requestsOf = (socket: Socket) => requestCounts.get(socket) ?? 0;
const createResponse = (id: string) => head("200 OK", id, [SIGNATURE_HEADER, LENGTH_HEADER]) + BODY;
const earlierResponses = new WeakMap<Socket, string>();
const earlierRejections = new WeakMap<Socket, string>();
const CHUNKED_HEADER = "transfer-encoding: chunked";
const CHUNK = `400\r\n${"x".repeat(1_024)}\r\n`;
const BEHAVIORS: Readonly<Record<string, Behavior>> = {
    "responds": respond,
    "responds and is cold": respond,
    "responds after 20 ms": delayed(20, respond),
    "responds after 100 ms": delayed(100, respond),
    "responds after 400 ms": delayed(400, respond),
    "responds after 3200 ms": delayed(3_200, respond),
    "responds with the header bad name": respondWithHeader("bad name: x"),
    "responds with the header X-Y and a space": respondWithHeader("X-Y : 1"),
    "responds with the header Transfer Encoding": respondWithHeader("Transfer Encoding: chunked"),
    "resets the connection": socket => void socket.resetAndDestroy(),
    "resets a response without a length": (socket, id) => {
        // The reset is sent in the same turn as the bytes, so that both reach the entry together.
        socket.write(head("200 OK", id, [SIGNATURE_HEADER]) + BODY.slice(0, 500), () => socket.resetAndDestroy());
    },
    "resets a response without a length after 20 ms": (socket, id) => {
        socket.write(head("200 OK", id, [SIGNATURE_HEADER]) + BODY.slice(0, 500));
        setTimeout(() => socket.resetAndDestroy(), 20);
    },
    "ends a response without a length": (socket, id) => void socket.end(head("200 OK", id, [SIGNATURE_HEADER]) + BODY),
    "responds with another id": (socket, id) => respond(socket, `${id}-other`),
    "responds without a signature": (socket, id) => void socket.write(head("200 OK", id, [LENGTH_HEADER]) + BODY),
    "rejects the request": rejectRequest,
    "rejects the request after 400 ms": delayed(400, rejectRequest),
    "rejects without an id": rejectWithoutId,
    "responds once and then rejects without an id": (socket, id) =>
        (requestsOf(socket) === 1 ? respond : rejectWithoutId)(socket, id),
    "writes each rejection again before the next response": (socket, id) => {
        const rejection = head("503 Service Unavailable", id, [`${NAMES.notExecuted}: 1`, "content-length: 0"]);
        socket.write((earlierRejections.get(socket) ?? "") + rejection);
        earlierRejections.set(socket, rejection);
    },
    "writes each response again before the next one": (socket, id) => {
        const response = createResponse(id);
        socket.write((earlierResponses.get(socket) ?? "") + response);
        earlierResponses.set(socket, response);
    },
    "writes each response again behind the next one": (socket, id) => {
        const response = createResponse(id);
        socket.write(response + (earlierResponses.get(socket) ?? ""));
        earlierResponses.set(socket, response);
    },
    "writes each response twice in one segment": (socket, id) => void socket.write(createResponse(id).repeat(2)),
    "writes each response again after 20 ms": (socket, id) => {
        socket.write(createResponse(id));
        setTimeout(() => socket.write(createResponse(id)), 20);
    },
    "writes half of a second copy with each response": (socket, id) => {
        const response = createResponse(id);
        socket.write((earlierResponses.get(socket) ?? "") + response + response.slice(0, response.length / 2));
        earlierResponses.set(socket, response.slice(response.length / 2));
    },
    "writes each response again without its id": (socket, id) => {
        const copy = head("200 OK", "", [SIGNATURE_HEADER, LENGTH_HEADER]).replace(/[^\n]*: \r\n/, "") + BODY;
        socket.write((requestsOf(socket) === 1 ? "" : copy) + createResponse(id));
    },
    "writes each response again with an informational one": (socket, id) => {
        const response = createResponse(id);
        socket.write(`HTTP/1.1 103 Early Hints\r\n\r\n${earlierResponses.get(socket) ?? ""}${response}`);
        earlierResponses.set(socket, response);
    },
    "responds 503 and may have run it": (socket, id) =>
        void socket.write(head("503 Service Unavailable", id, ["content-length: 0"])),
    "responds 429 and may have run it": (socket, id) =>
        void socket.write(head("429 Too Many Requests", id, ["content-length: 0"])),
    "responds and says that it is leaving": respondWithHeader(LEAVING_HEADER),
    "rejects the request and says that it is leaving": (socket, id) =>
        void socket.write(
            head("503 Service Unavailable", id, [`${NAMES.notExecuted}: 1`, LEAVING_HEADER, "content-length: 0"]),
        ),
    "fails and says that it is leaving": (socket, id) =>
        void socket.write(head("500 Oops", id, [SIGNATURE_HEADER, LEAVING_HEADER, "content-length: 0"])),
    "rejects requests and asks for a pause of 0.7 s": askForPause("0.7"),
    "rejects requests and asks for a pause of 20 s": askForPause("20"),
    "is another backend server": (socket, id) =>
        void socket.write(head("421 Misdirected Request", id, ["content-length: 0"])),
    "responds with 250000 bytes": (socket, id) =>
        void socket.write(head("200 OK", id, [SIGNATURE_HEADER, "content-length: 250000"]) + "x".repeat(250_000)),
    "begins a long response and ends it after 2200 ms": (socket, id) => {
        socket.write(head("200 OK", id, [SIGNATURE_HEADER, `content-length: ${LONG_RESPONSE_BYTES}`]));
        socket.write("x".repeat(LONG_RESPONSE_BYTES - 1));
        setTimeout(() => socket.write("x"), 2_200);
    },
    "rejects long requests unread and responds to others": respondUnread(rejectRequest),
    "responds to long requests unread and to others": respondUnread(respond),
    "begins a long response and ends it after 3200 ms": (socket, id) => {
        if (answeredEarly.has(socket)) {
            return;
        }
        answeredEarly.add(socket);
        socket.write(head("200 OK", id, [SIGNATURE_HEADER, `content-length: ${LONG_RESPONSE_BYTES}`]));
        socket.write("x".repeat(LONG_RESPONSE_BYTES - 1));
        setTimeout(() => socket.write("x"), 3_200);
    },
    "reads a body of 3000000 bytes and responds": respondToBody(3_000_000),
    "reads a body of 900000 bytes and responds": respondToBody(900_000),
    "does not respond": () => undefined,
    "sends an endless head": sendEndlessly(
        id => `HTTP/1.1 200 OK\r\n${NAMES.requestId}: ${id}\r\n`,
        "x-more: yes\r\n",
    ),
    "sends an endless header": sendEndlessly(() => "HTTP/1.1 200 OK\r\nx-more: ", "y"),
    "sends an endless invalid response": sendEndlessly(() => "", "no answer "),
    "sends endless informational responses": sendEndlessly(() => "", "HTTP/1.1 102 Processing\r\n\r\n"),
    "sends an endless unsigned body": sendEndlessly(id => head("200 OK", id, [CHUNKED_HEADER]), CHUNK),
    "sends an endless signed body": sendEndlessly(
        id => head("200 OK", id, [SIGNATURE_HEADER, CHUNKED_HEADER]),
        CHUNK,
    ),
    "sends an endless error response": sendEndlessly(
        id => head("500 Oops", id, [SIGNATURE_HEADER, CHUNKED_HEADER]),
        CHUNK,
    ),
    "sends endless empty lines": sendEndlessly(() => "", "\r\n"),
    "sends endless spaces before a value": sendEndlessly(() => "HTTP/1.1 200 OK\r\nx-more:", " "),
    "sends an endless chunk extension": sendEndlessly(
        id => head("200 OK", id, [SIGNATURE_HEADER, CHUNKED_HEADER]) + "1;more=",
        "y",
    ),
    "sends endless extensions of chunks": sendEndlessly(
        id => head("200 OK", id, [SIGNATURE_HEADER, CHUNKED_HEADER]),
        `1;more=${"y".repeat(16_000)}\r\nx\r\n`,
    ),
    "sends a rejection with endless extensions": sendEndlessly(
        id => head("503 Service Unavailable", id, [`${NAMES.notExecuted}: 1`, CHUNKED_HEADER]),
        `1;more=${"y".repeat(16_000)}\r\nx\r\n`,
    ),
    "sends an endless rejection": sendEndlessly(
        id => head("503 Service Unavailable", id, [`${NAMES.notExecuted}: 1`, CHUNKED_HEADER]),
        CHUNK,
    ),
};

const publishItem = (item: Omit<Item, "source">) =>
    feed.set(FeedKey.Item + itemKey(item.kind, item.name), () => ({ ...item, source: undefined }));
const publishRecord = (record: BackendRecord) => feed.set(FeedKey.BackendServer + record.id, () => record);
const waitUntil = async (isDone: () => boolean) => {
    const endsAt = Date.now() + 3_000;
    while (!isDone() && Date.now() < endsAt) {
        await clock.sleep(5);
    }
    assert.ok(isDone(), "The condition was not met in time.");
};
/** Waits until the changes of the feed have reached the entry. */
const waitForFeed = () => clock.sleep(FEED_DELAY_MS);

const routeTo = (service: string, isIdempotent: boolean): Route => ({
    ...SAMPLE_ROUTE,
    pathPrefix: `/${service}/`,
    isIdempotent,
    timeoutMilliseconds: TIMEOUT_MS,
    services: [{ service, weight: 1 }],
});

async function startEntry(hasCatalog: boolean, stopMilliseconds = STOP_MS): Promise<void> {
    const entry = await startTestEntry({
        stopMilliseconds,
        log: (_level, event, fields) => void events.push({ event, ...fields }),
    });
    ({ feed, control, gateway, callerPort } = entry);
    if (!hasCatalog) {
        return;
    }
    ["stoc", "orders"].forEach(service => {
        const route = routeTo(service, service === "stoc");
        const policy = {
            healthPath: "/health",
            maximumConnections: 50,
            coldStartMilliseconds: 3_000,
            coldRequestsPerSecond: 5,
        };
        const values: readonly ItemValue[] = [{ kind: ItemKind.Service, policy }, { kind: ItemKind.Route, route }];
        values.forEach(value => publishItem({ kind: value.kind, name: service, version: 1, value }));
    });
    feed.markComplete();
    await waitUntil(gateway.isReady);
}

async function startFakeServer(id: string, service: string, behavior: Behavior, coldMilliseconds: number) {
    const sockets = new Set<Socket>();
    let bytesAccepted = 0;
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => {
            sockets.delete(socket);
            bytesAccepted += socket.bytesWritten - socket.writableLength;
        });
        socket.on("data", data => {
            const text = data.toString();
            fakeServer.requests.push(text);
            fakeServer.requestedAt.push(Date.now());
            requestCounts.set(socket, requestsOf(socket) + 1);
            behavior(socket, new RegExp(`${NAMES.requestId}: (\\S+)`, "i").exec(text)?.[1] ?? "");
        });
    });
    server.listen(0, HOST);
    await new Promise(resolve => server.once("listening", resolve));
    const record: BackendRecord = {
        ...SAMPLE_BACKEND_RECORD,
        id,
        service,
        address: HOST,
        port: (server.address() as AddressInfo).port,
        coldMilliseconds,
        coldPortions: { "entry-1": 5 },
    };
    const fakeServer: FakeBackendServer = {
        server,
        requests: [],
        requestedAt: [],
        sockets,
        bytesAccepted: () => bytesAccepted,
        record,
    };
    fakeServers.set(id, fakeServer);
    publishRecord(record);
    await waitForFeed();
}

function send(
    service: string,
    affinityKey?: string,
    disconnectsAfter?: number,
    connection?: Socket,
    headers: Readonly<Record<string, string>> = {},
): Promise<CallerResponse> {
    lastRequestNumber += 1;
    sentAt = Date.now();
    return new Promise((resolve, reject) => {
        const request = sendRequest({
            host: HOST,
            port: callerPort,
            path: `/${service}/1`,
            method: service === "orders" ? "POST" : "GET",
            ...connection === undefined ? { agent: false } : { createConnection: () => connection },
            headers: {
                host: "gateway.example",
                [NAMES.requestId]: `q${lastRequestNumber}`,
                [NAMES.deadline]: String(DEADLINE_MS),
                cookie: `${NAMES.affinityCookie}=${affinityKey ?? `o${lastRequestNumber}`}`,
                ...headers,
            },
        }, response => {
            const chunks: Buffer[] = [];
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            response.on("error", reject);
            response.on("end", () =>
                resolve({
                    status: response.statusCode ?? 0,
                    headers: response.headers,
                    body: Buffer.concat(chunks).toString(),
                }));
        });
        request.on("error", reject);
        request.end();
        if (disconnectsAfter !== undefined) {
            setTimeout(() => request.destroy(), disconnectsAfter);
        }
    });
}

const countRequests = (id: string) => fakeServers.get(id)?.requests.length ?? 0;
/** @returns The status that a caller gets, or that its response was truncated. */
const sendForStatus = async (service: string) =>
    send(service).then(({ status }) => String(status), () => "a truncated response");
const totalRequests = () => [...fakeServers.keys()].reduce((sum, id) => sum + countRequests(id), 0);
const lastResponse = async () => {
    const response = await responses.at(-1);
    assert.ok(response !== undefined);
    return response;
};

async function closeAll(): Promise<void> {
    await (stopPromise ?? gateway.stop());
    await control.close();
    fakeServers.forEach(({ server, sockets }) => {
        server.close();
        sockets.forEach(socket => socket.destroy());
    });
    stopPromise = undefined;
}

After(async () => {
    isLoopSlow = false;
    await closeAll();
});

Given("an entry with a route to stoc for idempotent requests and one to orders for others", async () => {
    fakeServers = new Map();
    responses = [];
    events = [];
    await startEntry(true);
});
Given("an entry that has no catalog", async () => {
    await closeAll();
    await startEntry(false);
});
Given("an entry that has read an empty catalog", async () => {
    await closeAll();
    await startEntry(false);
    feed.markComplete();
    await waitUntil(gateway.isReady);
});
Given("an entry that may take {int} ms to stop", async (milliseconds: number) => {
    await closeAll();
    await startEntry(true, milliseconds);
});
Given(/^(\w+-\d) of (\w+) (.+)$/, async (id: string, service: string, behavior: string) => {
    const action = BEHAVIORS[behavior];
    assert.ok(action !== undefined, `There is no behavior "${behavior}".`);
    await startFakeServer(id, service, action, behavior.includes("cold") ? 3_000 : 0);
});
When("a caller sends a request to {word}", async (service: string) => {
    responses = [send(service)];
    await Promise.all(responses);
});
Given("the client account {word} with the key {word}", async (name: string, key: string) => {
    const account = { name, keyHashes: [hashApiKey(key)], priority: undefined, quota: undefined, homeRegions: [] };
    publishItem({
        kind: ItemKind.ClientAccount,
        name,
        version: 1,
        value: { kind: ItemKind.ClientAccount, account },
    });
    await waitForFeed();
});
When(
    "a caller sends a request to stoc with the credentials {string} and claims to be {word}",
    (credentials: string, name: string) => {
        const headers = { [NAMES.clientAccount]: name, ...credentials === "" ? {} : { authorization: credentials } };
        responses = [send("stoc", undefined, undefined, undefined, headers)];
    },
);
Then("{word} got a request of the account {word} without its key", (id: string, name: string) => {
    const [request] = fakeServers.get(id)?.requests ?? [];
    assert.match(request ?? "", new RegExp(`^${NAMES.clientAccount}: ${name}\r$`, "im"));
    assert.equal(request?.match(new RegExp(`^${NAMES.clientAccount}:`, "gim"))?.length, 1);
    assert.doesNotMatch(request ?? "", /authorization/i);
});
Then("{word} got the credentials {string} and the claim {word}", (id: string, credentials: string, name: string) => {
    const [request] = fakeServers.get(id)?.requests ?? [];
    assert.match(request ?? "", new RegExp(`^authorization: ${credentials}\r$`, "im"));
    assert.match(request ?? "", new RegExp(`^${NAMES.clientAccount}: ${name}\r$`, "im"));
});
When("a caller sends a request to {word} {int} times", async (service: string, times: number) => {
    responses = [];
    for (let count = 0; count < times; count += 1) {
        responses.push(send(service));
        await responses.at(-1);
    }
});
When("a caller sends a request to {word} and gets {word}", async (service: string, status: string) => {
    assert.equal(await sendForStatus(service), status);
});
When("a caller sends a request to {word} and gets a truncated response", async (service: string) => {
    assert.equal(await sendForStatus(service), "a truncated response");
});
When("{int} callers send requests to {word} at once", async (count: number, service: string) => {
    responses = Array.from({ length: count }, () => send(service));
    await Promise.all(responses);
});
When("{int} callers send requests to {word} for the same object at once", (count: number, service: string) => {
    responses = Array.from({ length: count }, () => send(service, "one"));
});
When(
    "a caller sends a request to {word} and disconnects after {int} ms",
    async (service: string, milliseconds: number) => {
        await assert.rejects(send(service, undefined, milliseconds));
    },
);
When("a caller sends a request to {word} and the entry stops", async (service: string) => {
    responses = [send(service)];
    await clock.sleep(50);
    sentAt = Date.now();
    stopPromise = gateway.stop();
});
When(
    "a caller connects {int} ms into the stop of the entry and sends a request to {word} {int} ms later",
    async (connectsAfter: number, service: string, sendsAfter: number) => {
        stopPromise = gateway.stop().then(() => {
            stoppedAt = Date.now();
        });
        await clock.sleep(connectsAfter);
        const socket = connect(callerPort, HOST);
        await clock.sleep(sendsAfter);
        responses = [send(service, undefined, undefined, socket)];
        await Promise.all(responses);
        respondedAt = Date.now();
        await stopPromise;
    },
);
When("{word} announces that it is draining", async (id: string) => {
    const fakeServer = fakeServers.get(id) as FakeBackendServer;
    publishRecord({ ...fakeServer.record, state: BackendServerState.Draining, sequence: 2 });
    await waitForFeed();
});
When("{word} announces itself again", async (id: string) => {
    publishRecord({ ...(fakeServers.get(id) as FakeBackendServer).record, sequence: 2, slots: 5 });
    await waitForFeed();
});
const RECORD_CHANGES: Readonly<Record<string, Partial<BackendRecord>>> = {
    "is silent": { state: BackendServerState.Lost },
    "announces that it drains": { state: BackendServerState.Draining },
    "restarts": { startedAt: 2 },
    "leaves its service": { service: "stoc" },
};
When(
    /^a caller sends a request to orders, and after (\d+) ms orders-1 (.+)$/,
    async (milliseconds: string, event: string) => {
        responses = [send("orders")];
        await clock.sleep(Number(milliseconds));
        const { record } = fakeServers.get("orders-1") as FakeBackendServer;
        publishRecord({ ...record, sequence: 2, ...RECORD_CHANGES[event] });
        await waitForFeed();
    },
);
When("{word} restarts", async (id: string) => {
    publishRecord({ ...(fakeServers.get(id) as FakeBackendServer).record, startedAt: 2 });
    await waitForFeed();
});
const INVALID_RECORDS: Readonly<Record<string, object>> = {
    "port 99999": { port: 99_999 },
    "port 1e300": { port: 1e300 },
    "slots as text": { slots: "many" },
    "fields nested deeply": {
        service: Array.from({ length: 1_000 }).reduce<unknown>(inner => [inner], "deep"),
    },
    "bytes that are no record": { id: Buffer.alloc(10), state: 7 },
};
When(/^the feed has a backend server with (.+)$/, (fault: string) => {
    const record = {
        ...SAMPLE_BACKEND_RECORD,
        id: "odd",
        ...INVALID_RECORDS[fault],
    };
    feed.set(`${FeedKey.BackendServer}odd`, () => record);
});
Then("the log names the value that was not applied", () => {
    const failure = events.find(({ event }) => event === "value of the feed not applied");
    assert.equal(failure?.key, `${FeedKey.BackendServer}odd`);
});
When("{int} ms pass", (milliseconds: number) => clock.sleep(milliseconds));
const setEvacuation = async (isActive: boolean, version: number) => {
    const kind = ItemKind.Evacuation;
    publishItem({ kind, name: "z1", version, value: { kind, isActive } });
    await waitForFeed();
};
When("the zone of the backend servers is evacuated", () => setEvacuation(true, 5));
When("the evacuation ends", () => setEvacuation(false, 6));

Then("the caller gets 200 with the body and signature of the backend server", async () => {
    const { status, headers, body } = await lastResponse();
    assert.deepEqual([status, headers[NAMES.responseSignature], body], [200, "s1", BODY]);
});
Then("the backend server got its own id and a shorter deadline than the caller's", () => {
    const text = fakeServers.get("stoc-1")?.requests[0] ?? "";
    assert.match(text, new RegExp(`${NAMES.expectedBackendServer}: stoc-1\r`, "i"));
    const deadline = Number(new RegExp(`${NAMES.deadline}: (\\d+)`, "i").exec(text)?.[1]);
    assert.ok(deadline > 0 && deadline <= TIMEOUT_MS, `${deadline} ms were sent as the deadline.`);
});
When("a caller sends the header {string} to stoc", async (header: string) => {
    rawResponse = "";
    const socket = connect(callerPort, HOST);
    socket.on("error", () => undefined);
    socket.on("data", data => rawResponse += data.toString());
    socket.write(`GET /stoc/1 HTTP/1.1\r\nhost: gateway.example\r\n${header}\r\n\r\n`);
    isRawConnectionClosed = false;
    socket.on("close", () => isRawConnectionClosed = true);
    await waitUntil(() => isRawConnectionClosed);
});

Then("its raw response has status {int} and the connection is closed", (status: number) => {
    assert.ok(rawResponse.startsWith(`HTTP/1.1 ${status} `), rawResponse);
    assert.ok(isRawConnectionClosed);
});

Then("the caller gets {int}", async (status: number) => assert.equal((await lastResponse()).status, status));
Then("the caller gets {int} after {int} ms", async (status: number, milliseconds: number) => {
    assert.equal((await lastResponse()).status, status);
    const elapsed = Date.now() - sentAt;
    assert.ok(elapsed >= milliseconds - 5 && elapsed < milliseconds + 250, `It took ${elapsed} ms.`);
});
Then("the caller gets 503 with the time after which to retry", async () => {
    const { status, headers } = await lastResponse();
    assert.equal(status, 503);
    assert.ok(Number(headers["retry-after"]) >= 0);
});
Then(
    "the caller gets 503 with between {int} and {int} s after which to retry",
    async (least: number, most: number) => {
        const { status, headers } = await lastResponse();
        const seconds = Number(headers["retry-after"]);
        assert.equal(status, 503);
        assert.ok(seconds >= least && seconds <= most, `It was ${seconds} s.`);
    },
);
Then(/^the pause "(.*)" is (\d+|no) ms$/, (value: string, milliseconds: string) => {
    assert.equal(parsePauseMilliseconds(value), milliseconds === "no" ? undefined : Number(milliseconds));
});
Then("each caller gets 200 with its own id, or 502", async () => {
    const firstNumber = lastRequestNumber - responses.length + 1;
    (await Promise.all(responses)).forEach(({ status, headers, body }, index) => {
        if (status === 502) {
            assert.equal(headers[NAMES.responseSignature], undefined);
            return;
        }
        assert.deepEqual([status, headers[NAMES.requestId], body], [200, `q${firstNumber + index}`, BODY]);
    });
});
Then("at least {int} caller(s) get(s) {int}", async (count: number, status: number) => {
    const matching = (await Promise.all(responses)).filter(response => response.status === status);
    assert.ok(matching.length >= count, `${matching.length} callers got it.`);
});
/** Sends requests one after the other on one connection until the entry closes it. */
const keepSending = async (service: string, caller: number) => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    for (let number = 1; !hasStopped; number += 1) {
        const id = `kept-${caller}-${number}`;
        const isClosed = await new Promise<boolean>(resolve => {
            const request = sendRequest({
                host: HOST,
                port: callerPort,
                path: `/${service}/1`,
                agent,
                headers: {
                    host: "gateway.example",
                    [NAMES.requestId]: id,
                    [NAMES.deadline]: String(DEADLINE_MS),
                    cookie: `${NAMES.affinityCookie}=${id}`,
                },
            }, response => {
                response.resume();
                response.on("error", () => unanswered.push(id));
                response.on("end", () => {
                    keptResponses += 1;
                    resolve(response.headers.connection === "close");
                });
            });
            request.on("error", () => {
                unanswered.push(id);
                resolve(true);
            });
            request.end();
        });
        if (isClosed) {
            break;
        }
    }
    agent.destroy();
};
When(
    "{int} callers keep sending requests to {word} on kept connections, and the entry stops after {int} responses",
    async (count: number, service: string, responsesBefore: number) => {
        unanswered = [];
        keptResponses = 0;
        hasStopped = false;
        const callers = Array.from({ length: count }, (_, caller) => keepSending(service, caller));
        await waitUntil(() => keptResponses >= responsesBefore);
        responsesBeforeStop = keptResponses;
        stopPromise = gateway.stop();
        await stopPromise;
        hasStopped = true;
        await Promise.all(callers);
    },
);
Then(
    "at least {int} response(s) arrived during the stop, and no request that reached a backend server got none",
    (count: number) => {
        const reached = [...fakeServers.values()].flatMap(({ requests }) => requests).join("\n");
        assert.deepEqual(unanswered.filter(id => reached.includes(`: ${id}\r`)), []);
        const duringStop = keptResponses - responsesBeforeStop;
        assert.ok(duringStop >= count, `${duringStop} arrived during the stop.`);
    },
);
Then("{word} got at least {int} requests", (id: string, count: number) => {
    assert.ok(countRequests(id) >= count, `It got ${countRequests(id)} requests.`);
});
Then("each caller gets {int}", async (status: number) => {
    assert.deepEqual((await Promise.all(responses)).map(response => response.status), responses.map(() => status));
});
Then("the backend servers got {int} request(s)", (count: number) => assert.equal(totalRequests(), count));
Then("{word} got at most {int} request(s)", (id: string, count: number) => {
    assert.ok(countRequests(id) <= count, `It got ${countRequests(id)} requests.`);
});
Then("the connection to {word} is closed within {int} ms", async (id: string, milliseconds: number) => {
    await clock.sleep(milliseconds);
    assert.equal(fakeServers.get(id)?.sockets.size, 0);
});
Then("{int} request reaches the backend server in the first {int} ms", async (count: number, milliseconds: number) => {
    await clock.sleep(milliseconds);
    assert.equal(totalRequests(), count);
});
Then(
    "the connection to {word} is closed within {int} ms after at most {int} MiB",
    async (id: string, milliseconds: number, mebibytes: number) => {
        await waitUntil(() => fakeServers.get(id)?.sockets.size === 0);
        const elapsed = Date.now() - sentAt;
        assert.ok(elapsed <= milliseconds, `It was closed after ${elapsed} ms.`);
        const accepted = (fakeServers.get(id)?.bytesAccepted() ?? 0) / 2 ** 20;
        assert.ok(accepted <= mebibytes, `${accepted.toFixed(1)} MiB were received.`);
    },
);
Given("the stop of an entry with {int} ms for requests", (milliseconds: number) => {
    stop = { startedAt: 1_000, servesUntil: 1_000 + milliseconds };
});
Then(
    /^a request that may take (\d+) ms on a route with an objective of (\d+) ms is (\w+) after (\d+) ms$/,
    (longest: string, objective: string, result: string, time: string) => {
        const now = stop.startedAt + Number(time);
        const canWait = canWaitForRequest(stop, {
            now,
            endsAt: now + Number(longest),
            latencyObjectiveMilliseconds: Number(objective),
        });
        assert.equal(canWait ? "forwarded" : "rejected", result);
    },
);
Then("the entry is not ready", () => assert.equal(gateway.isReady(), false));
Then(
    "the entry stopped after the response",
    () => assert.ok(stoppedAt >= respondedAt, "It stopped before the response."),
);
Then("the entry has stopped within {int} ms", async (milliseconds: number) => {
    await stopPromise;
    assert.ok(Date.now() - sentAt <= milliseconds);
});

const blockEventLoop = (milliseconds: number) => {
    const endsAt = clock.monotonicMilliseconds() + milliseconds;
    while (clock.monotonicMilliseconds() < endsAt) {
        // Blocks the event loop.
    }
};
When("the event loop is busy for {int} ms", async (milliseconds: number) => {
    lag = measureEventLoopLag(clock);
    blockEventLoop(milliseconds);
    await new Promise(resolve => setTimeout(resolve, 0));
});
Then("requests read after it have a measured delay of at least {int} ms", (milliseconds: number) => {
    assert.ok(lag.milliseconds() >= milliseconds, `The measured delay is ${lag.milliseconds()} ms.`);
});
Then("after {int} ms they have a measured delay of less than {int} ms", async (pause: number, most: number) => {
    await clock.sleep(pause);
    assert.ok(lag.milliseconds() < most, `The measured delay is ${lag.milliseconds()} ms.`);
    lag.close();
});
const assertEnded = (outcome: string) => {
    const ended = events.find(({ event }) => event === "request ended");
    assert.deepEqual([ended?.request, ended?.outcome], [`q${lastRequestNumber}`, outcome]);
};
Then("the log says that the request ended as {word}", assertEnded);
Then("the log says that the request ended as {word} and what {word} did", (outcome: string, server: string) => {
    assertEnded(outcome);
    const attempt = events.find(({ event }) => event === "attempt ended");
    assert.deepEqual([attempt?.request, attempt?.server], [`q${lastRequestNumber}`, server]);
});

Then("the log has a request that ended as {word} within {int} ms", (outcome: string, milliseconds: number) => {
    const ended = events.filter(event => event.event === "request ended" && event.outcome === outcome);
    assert.ok(ended.length > 0 && ended.every(event => Number(event.milliseconds) <= milliseconds));
});

Given("each turn of the event loop takes {int} ms", (milliseconds: number) => {
    isLoopSlow = true;
    const turn = () => {
        blockEventLoop(milliseconds);
        if (isLoopSlow) {
            setImmediate(turn);
        }
    };
    turn();
});
/**
 * Program whose callers connect, send a request and disconnect together. It prints when they disconnected, after how
 * many milliseconds each response came with which status, and how many connections were closed unread.
 */
const DISCONNECTING_CALLERS_SCRIPT = `
    const [port, count, milliseconds, path, names] = JSON.parse(process.argv[1]);
    const head = id => ["GET " + path + " HTTP/1.1", "host: gateway.example", names.requestId + ": left" + id,
        names.deadline + ": 1500", "", ""].join("\\r\\n");
    const startedAt = Date.now();
    const responses = [], closed = [];
    const sockets = Array.from({ length: count }, (_, id) => {
        const socket = require("node:net").connect(port, "${HOST}", () => socket.write(head(id)));
        socket.once("data", data => {
            responses.push({ milliseconds: Date.now() - startedAt, status: Number(data.toString().split(" ")[1]) });
            socket.destroy();
        });
        return socket.on("error", () => undefined).on("close", () => closed.push(Date.now() - startedAt));
    });
    setTimeout(() => {
        const disconnectedAt = Date.now();
        const closedUnread = closed.length - responses.length;
        sockets.forEach(socket => socket.destroy());
        process.stdout.write(JSON.stringify({ disconnectedAt, responses, closedUnread }));
    }, milliseconds);
`;
When(
    "{int} callers of another process send requests to {word} at once and disconnect after {int} ms",
    async (count: number, service: string, milliseconds: number) => {
        const argument = JSON.stringify([callerPort, count, milliseconds, `/${service}/1`, NAMES]);
        const callers = spawn(process.execPath, ["-e", DISCONNECTING_CALLERS_SCRIPT, argument], {
            stdio: ["ignore", "pipe", "inherit"],
        });
        let output = "";
        callers.stdout.on("data", (chunk: Buffer) => {
            output += chunk.toString();
        });
        await new Promise(resolve => callers.once("close", resolve));
        disconnectingCallers = { ...JSON.parse(output) as Omit<DisconnectingCallers, "count">, count };
    },
);
Then(
    "at least {int} of them get {int}, all others get {int} within {int} ms, and no connection is closed unread",
    (fewest: number, rejection: number, status: number, milliseconds: number) => {
        const { count, responses: received, closedUnread } = disconnectingCallers;
        assert.deepEqual([closedUnread, received.length], [0, count]);
        const rejected = received.filter(response => response.status === rejection);
        assert.ok(rejected.length >= fewest, `${rejected.length} got ${rejection}.`);
        const others = received.filter(response => response.status !== rejection);
        assert.ok(others.every(response => response.status === status));
        const longest = Math.max(...others.map(response => response.milliseconds));
        assert.ok(longest <= milliseconds, `One got its response after ${longest} ms.`);
    },
);
Then(
    "no request reaches a backend server later than {int} ms after they disconnected",
    async (milliseconds: number) => {
        await clock.sleep(1_000);
        const late = [...fakeServers.values()].flatMap(({ requestedAt }) => requestedAt)
            .filter(time => time > disconnectingCallers.disconnectedAt + milliseconds);
        assert.equal(late.length, 0, `${late.length} requests were forwarded late.`);
    },
);

/** Opens a connection of a caller and collects what it receives. */
const connectRaw = (allowHalfOpen = false) => {
    rawResponse = "";
    isRawConnectionClosed = false;
    rawConnection = connect({ port: callerPort, host: HOST, allowHalfOpen });
    rawError = undefined;
    rawConnection.on("error", error => rawError = error);
    rawConnection.on("data", data => rawResponse += data.toString());
    rawConnection.on("close", () => isRawConnectionClosed = true);
};
const createRequest = (service: string, more: readonly string[] = []) => {
    lastRequestNumber += 1;
    const method = service === "orders" ? "POST" : "GET";
    const id = `${NAMES.requestId}: q${lastRequestNumber}`;
    return [`${method} /${service}/1 HTTP/1.1`, "host: gateway.example", id, ...more, "", ""].join("\r\n");
};
const countRawResponses = () => rawResponse.split("HTTP/1.1 200 OK").length - 1;

Given("requests to {word} may take {int} ms", async (service: string, timeoutMilliseconds: number) => {
    const route = { ...routeTo(service, service === "stoc"), timeoutMilliseconds };
    publishItem({ kind: ItemKind.Route, name: service, version: 2, value: { kind: ItemKind.Route, route } });
    await waitForFeed();
});
/** Sends requests until the entry reads no more of them, as its responses fill the buffers of the connection. */
const fillConnection = async (service: string) => {
    connectRaw();
    rawConnection.pause();
    for (let reached = -1; totalRequests() > reached;) {
        reached = totalRequests();
        rawConnection.write(createRequest(service));
        await clock.sleep(FILL_INTERVAL_MS);
    }
};
When(
    "a caller sends requests to {word} until its connection is full and reads the responses {int} ms into the stop",
    async (service: string, milliseconds: number) => {
        await fillConnection(service);
        stopPromise = gateway.stop();
        await clock.sleep(milliseconds);
        rawConnection.resume();
        await stopPromise;
    },
);
Then("it gets all responses with {int} bytes each", async (bytes: number) => {
    await waitUntil(() => isRawConnectionClosed);
    assert.equal(countRawResponses(), totalRequests());
    assert.equal(rawResponse.replaceAll(/[^x]/g, "").length, totalRequests() * bytes);
});
When("a caller gets the beginning of the response from {word} and the entry stops", async (service: string) => {
    connectRaw();
    rawConnection.write(createRequest(service));
    await waitUntil(() => rawResponse !== "");
    stopPromise = gateway.stop();
    await stopPromise;
});
const assertWholeResponse = () => {
    const [responseHead = "", body = ""] = rawResponse.split("\r\n\r\n");
    const length = Number(/content-length: (\d+)/i.exec(responseHead)?.[1]);
    assert.deepEqual([countRawResponses(), body.length], [1, length], responseHead);
};
Then("the caller gets the whole response, and its connection is closed once the entry has stopped", async () => {
    await clock.sleep(100);
    assertWholeResponse();
    assert.ok(isRawConnectionClosed);
});
When(
    /^a caller sends (a request|\d+ bytes) to orders(?: within (\d+) ms)? and after (\d+) ms all limits are lowered$/,
    async (content: string, duration: string | undefined, milliseconds: string) => {
        const bytes = content === "a request" ? 0 : Number.parseInt(content);
        connectRaw();
        rawConnection.write(createRequest("orders", [`content-length: ${bytes}`]));
        const part = Buffer.alloc(bytes / BODY_PARTS, "y");
        const sendBody = async () => {
            for (let count = 0; count < BODY_PARTS; count += 1) {
                rawConnection.write(part);
                await clock.sleep(Number(duration ?? 0) / BODY_PARTS);
            }
        };
        const sent = sendBody();
        await clock.sleep(Number(milliseconds));
        const kind = ItemKind.Limits;
        publishItem({ kind, name: "", version: 2, value: { kind, limits: LOWERED_LIMITS } });
        await sent;
    },
);
Then("the caller gets the whole response", async () => {
    await waitUntil(() => countRawResponses() > 0);
    await clock.sleep(2_300);
    assertWholeResponse();
});

When("the limit of bodies is {int} bytes", async (maximumBodyBytes: number) => {
    const kind = ItemKind.Limits;
    const limits = { ...DEFAULT_LIMITS, maximumBodyBytes };
    publishItem({ kind, name: "", version: 2, value: { kind, limits } });
    await waitForFeed();
});
const sendSlowly = async (bytes: number, milliseconds: number) => {
    const part = Buffer.alloc(bytes / BODY_PARTS, "y");
    for (let count = 0; count < BODY_PARTS; count += 1) {
        rawConnection.write(part);
        await clock.sleep(milliseconds / BODY_PARTS);
    }
};
const createLongRequest = (bytes: number) =>
    createRequest("orders", [`content-length: ${bytes}`]).replace(/: q(\d+)\r/, ": long$1\r");
const rawStatuses = () => [...rawResponse.matchAll(/HTTP\/1.1 (\d+)/g)].map(match => match[1]).join(" ");
When(
    "a caller sends {int} bytes to orders within {int} ms and then a short request on the same connection",
    async (bytes: number, milliseconds: number) => {
        connectRaw();
        rawConnection.write(createLongRequest(bytes));
        await sendSlowly(bytes, milliseconds);
        rawConnection.write(createRequest("orders"));
    },
);
Then("it gets {int} and {int}", async (first: number, second: number) => {
    await waitUntil(() => rawStatuses() === `${first} ${second}`);
});
When(
    "a caller sends {int} bytes to orders within {int} ms and the entry stops",
    async (bytes: number, milliseconds: number) => {
        // The caller writes its whole request even if the response has ended.
        connectRaw(true);
        stopPromise = gateway.stop();
        rawConnection.write(createLongRequest(bytes));
        await sendSlowly(bytes, milliseconds);
        rawConnection.end();
    },
);
Then("it gets {int}, and its connection is closed without a reset", async (status: number) => {
    await waitUntil(() => isRawConnectionClosed);
    assert.deepEqual([rawStatuses(), rawError], [String(status), undefined]);
});
When("a caller sends only the beginning of a request with {int} bytes to orders", (bytes: number) => {
    connectRaw();
    rawConnection.write(createLongRequest(bytes));
    rawConnection.write(Buffer.alloc(bytes / BODY_PARTS, "y"));
});
Then("it gets {int}, and its connection is closed within {int} ms", async (status: number, milliseconds: number) => {
    await clock.sleep(milliseconds);
    assert.deepEqual([rawStatuses(), isRawConnectionClosed], [String(status), true]);
});
When("a caller sends requests to {word} and {word} at once and the entry stops", async (one: string, other: string) => {
    connectRaw();
    rawConnection.write(createRequest(one) + createRequest(other));
    await waitUntil(() => totalRequests() === 2);
    await gateway.stop();
});
Then("the caller gets {int} responses", async (count: number) => {
    await waitUntil(() => isRawConnectionClosed);
    assert.equal(countRawResponses(), count);
});
Then("the backend server got only a part of the body", () => {
    const { requests } = fakeServers.get("orders-1") as FakeBackendServer;
    const bytes = requests.join("").replaceAll(/[^y]/g, "").length;
    const isPart = bytes > 0 && bytes < 3_000_000;
    assert.ok(isPart, `It got ${bytes} bytes.`);
});
let stopMilliseconds: number;
When("the entry begins its stop {int} ms after it was requested", async (elapsedMilliseconds: number) => {
    const startedAt = clock.monotonicMilliseconds();
    stopPromise = gateway.stop(elapsedMilliseconds);
    await stopPromise;
    stopMilliseconds = clock.monotonicMilliseconds() - startedAt;
});
Then("it has stopped within {int} ms", (milliseconds: number) => {
    assert.ok(stopMilliseconds <= milliseconds, `It took ${stopMilliseconds} ms.`);
});
