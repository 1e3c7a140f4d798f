import { After, Given, Then, When } from "@cucumber/cucumber";
import { SERVICE, waitUntil } from "@hyssopfront/bench/entry-stand-in/stand-in-world.ts";
import { type FaultProxy, Flow, startFaultProxy } from "@hyssopfront/bench/fault-proxy/fault-proxy.ts";
import { createManualClock, createSystemClock, type ManualClock } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import { connect } from "node:net";
import { EMPTY_CONFIGURATION_VIEW } from "../configuration/configuration-view.js";
import { RequestClass, type ServiceSpec, serviceSpecSchema } from "../resources/resource.js";
import {
    type BackendConnection,
    type BackendConnectionPool,
    createBackendConnectionPool,
} from "./backend-connection-pool.js";
import { type CircuitBreaker, type CircuitState, createCircuitBreaker } from "./circuit-breaker.js";
import { inspectRequest } from "./inspect-request.js";
import { MAXIMUM_BODY_BYTES } from "./messages.js";
import { allRecords, backendServer, lastResponse, theCaller, theEntry, world } from "./world.steps.js";

let clock: ManualClock;
let circuitBreaker: CircuitBreaker;
let pool: BackendConnectionPool;
let released: BackendConnection | undefined;
let proxy: FaultProxy | undefined;
let announcedPort: number;
let rawResponse: string;
let isClosed: boolean;
let serviceSpecification: ServiceSpec;

Given("a circuit breaker", () => {
    clock = createManualClock();
    circuitBreaker = createCircuitBreaker(clock, () => 0.5);
});

When("{int} request(s) fail(s) in a row", (count: number) => {
    Array.from({ length: count }).forEach(() => circuitBreaker.recordFailure());
});
When("1 request succeeds", () => circuitBreaker.recordSuccess());
When("{int} ms pass", (milliseconds: number) => clock.advance(milliseconds));
When("the probe fails", () => circuitBreaker.endProbe(false));
When("the probe succeeds", () => circuitBreaker.endProbe(true));
Then("the circuit is {word}", (state: CircuitState) => assert.equal(circuitBreaker.state, state));
Then("no probe is due", () => assert.equal(circuitBreaker.tryBeginProbe(), false));
Then("exactly one probe is due", () => {
    assert.equal(circuitBreaker.tryBeginProbe(), true);
    assert.equal(circuitBreaker.tryBeginProbe(), false);
});

Given("a connection pool of a backend server", () => {
    clock = createManualClock();
    pool = createBackendConnectionPool({ clock, address: "127.0.0.1", port: 9 });
});
When("a connection is acquired and released at 0 ms", () => {
    released = pool.acquire(2);
    pool.release(released as BackendConnection);
});
Then("at 900 ms it is acquired again with a maximum idle time of 1000 ms", async () => {
    await clock.advance(900);
    assert.equal(pool.acquire(2, 1_000), released);
    pool.release(released as BackendConnection);
});
Then("at 2000 ms a new connection is acquired with a maximum idle time of 1000 ms", async () => {
    await clock.advance(1_100);
    const fresh = pool.acquire(2, 1_000);
    assert.ok(fresh !== undefined && fresh !== released);
});
Then(
    "at 2000 ms the idle connection is acquired when the connection limit allows no other",
    () => assert.equal(pool.acquire(2, 1_000), released),
);
Then("at 2000 ms no connection is acquired when the connection limit is reached", () => {
    assert.equal(pool.acquire(2, 1_000), undefined);
});

When("of two connections one is released, the port changes, and then the other is released", () => {
    const [one, other] = [pool.acquire(2), pool.acquire(2)];
    assert.ok(one !== undefined && other !== undefined);
    pool.release(one);
    pool.setAddress("127.0.0.1", 10);
    pool.release(other);
});
Then("neither of the two is acquired again", () => {
    assert.deepEqual([pool.openCount, pool.idleCount], [0, 0]);
    assert.equal(pool.acquire(2)?.origin, "http://127.0.0.1:10");
});

Given("a backend server that is announced at the address of a proxy", async () => {
    await world.startBackendServer({
        prepareAnnouncedPorts: async port => {
            proxy = await startFaultProxy({ clock: createSystemClock(), targetPort: port });
            announcedPort = proxy.port;
            return () => announcedPort;
        },
    });
});
When("the proxy stops forwarding and the backend server announces its own port", async () => {
    world.responses = [];
    proxy?.setFaults({ toServer: Flow.Held, toClient: Flow.Held });
    const server = backendServer("die-1");
    announcedPort = server.port;
    await server.announcer.announce();
});
After(async () => {
    await proxy?.close();
    proxy = undefined;
});

Given("backend server {word} stopped without a withdrawal", async (name: string) => {
    const server = backendServer(name);
    await server.stop();
    world.backendServers.splice(world.backendServers.indexOf(server), 1);
});

When("backend server {word} responds again", (name: string) => backendServer(name).setFaults(undefined));

Then("the caller receives a successful response within 10 seconds", async () => {
    const end = performance.now() + 10_000;
    while (lastResponse().status !== 200) {
        assert.ok(performance.now() < end, JSON.stringify(lastResponse()));
        world.responses.push(await theCaller().send({ id: "again" }));
    }
});

Then("the backend servers received at most {int} probes", (count: number) => {
    const probes = theEntry().counters.get("routing.probes") ?? 0;
    assert.ok(probes >= 1 && probes <= count, `There were ${probes}.`);
});

When("all open connections to the backend servers stop responding", () => {
    world.responses = [];
    world.backendServers.forEach(server => server.stallOpenConnections());
    assert.ok(world.backendServers.some(server => server.openStalledConnections > 0));
});

Then(
    "all unresponsive connections are closed",
    () =>
        waitUntil(
            "all unresponsive connections are closed",
            () => world.backendServers.every(server => server.openStalledConnections === 0),
        ),
);

Then(
    "the counter {word} is exactly {int}",
    (name: string, value: number) => assert.equal(theEntry().counters.get(name), value),
);

const line = `GET /${SERVICE}/ HTTP/1.1\r\n`;
const head = `${line}host: entry\r\n`;
const RAW_REQUESTS: Readonly<Record<string, string>> = {
    "Content-Length and Transfer-Encoding": `${head}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`,
    "two different Content-Length headers": `${head}content-length: 3\r\ncontent-length: 4\r\n\r\nabcd`,
    "two equal Content-Length headers": `${head}content-length: 3\r\ncontent-length: 3\r\n\r\nabc`,
    "a Content-Length that is no number": `${head}content-length: 3x\r\n\r\nabc`,
    "a Transfer-Encoding other than chunked": `${head}transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n`,
    "a header name with a space": `${head}bad name: x\r\n\r\n`,
    "a header name that ends in a space": `${head}X-Y : 1\r\n\r\n`,
    "Transfer Encoding with a space": `${head}Transfer Encoding: chunked\r\n\r\n0\r\n\r\n`,
    "an empty header name": `${head}: x\r\n\r\n`,
    "a header name with a tab": `${head}bad\tname: x\r\n\r\n`,
    "a bad header name before a good request": `${head}bad name: x\r\n\r\n${head}\r\n`,
    "a header line that is folded": `${head}folded: x\r\n y\r\n\r\n`,
    "no Host header": `${line}\r\n`,
    "HTTP/1.0": `GET /${SERVICE}/ HTTP/1.0\r\nhost: entry\r\n\r\n`,
    "a path with dot segments": `GET /${SERVICE}/a/../orders HTTP/1.1\r\nhost: entry\r\n\r\n`,
    "a path with an escaped slash": `GET /${SERVICE}/a%2forders HTTP/1.1\r\nhost: entry\r\n\r\n`,
    "two Idempotency-Key headers": `${head}idempotency-key: a\r\nidempotency-key: b\r\n\r\n`,
    "headers of 20000 bytes": `${head}long: ${"x".repeat(20_000)}\r\n\r\n`,
    "a declared body over the limit": `${head}content-length: ${MAXIMUM_BODY_BYTES + 1}\r\n\r\n`,
    "an unknown service": "GET /unknown/ HTTP/1.1\r\nhost: entry\r\n\r\n",
};

When("the entry has no configuration yet", () => {
    theEntry().view = EMPTY_CONFIGURATION_VIEW;
});

/**
 * Sends bytes on a new connection and collects the response until the connection is closed.
 *
 * @param first Bytes to send at once.
 * @param second Bytes to send when a condition holds.
 */
async function sendRaw(first: string, second?: { bytes: string; when: () => boolean }): Promise<void> {
    rawResponse = "";
    isClosed = false;
    const socket = connect(theEntry().callerPort, "127.0.0.1");
    socket.on("data", data => rawResponse += data.toString("latin1"));
    socket.on("error", () => undefined);
    socket.on("close", () => isClosed = true);
    socket.write(first);
    if (second !== undefined) {
        await waitUntil("the first request is in flight", second.when);
        socket.write(second.bytes);
    }
    await waitUntil("the connection is closed", () => isClosed);
}

When(/^a caller sends (.+)$/, (name: string) => sendRaw(RAW_REQUESTS[name] ?? assert.fail(name)));

Then(
    /^the raw response has status (\d+), outcome (\S+) and reason (\S+)$/,
    (status: string, outcome: string, reason: string) => {
        assert.ok(rawResponse.startsWith(`HTTP/1.1 ${status} `), rawResponse);
        assert.ok(rawResponse.includes(`hyssop-outcome: ${outcome}\r\n`), rawResponse);
        assert.ok(rawResponse.includes(`hyssop-reason: ${reason}\r\n`), rawResponse);
        const body = JSON.parse(rawResponse.slice(rawResponse.indexOf("\r\n\r\n") + 4)) as { reason: string };
        assert.equal(body.reason, reason);
        const counters = theEntry().counters;
        assert.equal((counters.get("routing.unparsable") ?? 0) + (counters.get("routing.own_answers") ?? 0), 1);
    },
);

Then("the connection is closed", () => assert.ok(isClosed));

When(
    "the caller sends a valid request and then malformed bytes on the same connection",
    () => sendRaw(`${head}\r\n`, { bytes: "bad bytes\r\n\r\n", when: () => backendServer("die-1").running === 1 }),
);

Then("the caller received no response with the outcome not-run", () => {
    assert.equal(allRecords().length, 1);
    assert.ok(!rawResponse.includes("not-run"), rawResponse);
});

When("the caller sends a request with hop-by-hop headers", async () => {
    const request = `${head}connection: close, x-hop\r\nx-hop: 1\r\nkeep-alive: timeout=5\r\nte: trailers\r\n` +
        "upgrade: websocket\r\nproxy-authorization: x\r\nhyssop-tenant: purukuorma\r\nx-end: 1\r\n\r\n";
    await sendRaw(request);
});

Then("the backend server received no hop-by-hop header", () => {
    const headers = allRecords()[0]?.headers ?? {};
    const hop = ["x-hop", "keep-alive", "te", "upgrade", "proxy-authorization", "transfer-encoding"];
    assert.deepEqual(hop.filter(name => name in headers), []);
    assert.equal(headers.connection, "keep-alive");
    assert.equal(headers["x-end"], "1");
});

Then("it received the tenant, a deadline and a request id", () => {
    const headers = allRecords()[0]?.headers ?? {};
    assert.equal(headers["hyssop-tenant"], "purukuorma");
    assert.ok(Number(headers["hyssop-deadline-ms"]) > 0);
    assert.ok(headers["hyssop-request-id"]);
});

Given(
    "rules: POST under \\/search is idempotent, anything under \\/orders is run-once, and the default is {word}",
    (defaultClass: string) => {
        serviceSpecification = serviceSpecSchema.parse({
            availabilityZones: ["sibiu-1"],
            slotsPerBackendServer: 6,
            classes: [
                { method: "POST", pathPrefix: "/search", class: RequestClass.Idempotent },
                { pathPrefix: "/orders", class: RequestClass.RunOnce },
            ],
            defaultClass: defaultClass === "none" ? undefined : defaultClass,
        });
    },
);

Then(/^(GET|POST) (\S+) is (\S+)$/, (method: string, path: string, requestClass: string) => {
    const request = {
        httpVersion: "1.1",
        method,
        url: `/${SERVICE}${path}`,
        headers: { host: "entry" },
        rawHeaders: ["host", "entry"],
    } as unknown as IncomingMessage;
    const view = { ...EMPTY_CONFIGURATION_VIEW, services: new Map([[SERVICE, serviceSpecification]]) };
    const inspected = inspectRequest(request, view, { defaultDeadlineMilliseconds: 1, maximumBodyBytes: 1 });
    assert.equal("requestClass" in inspected && inspected.requestClass, requestClass);
});
