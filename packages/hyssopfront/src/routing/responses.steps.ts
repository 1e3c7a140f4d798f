import { Given, Then, When } from "@cucumber/cucumber";
import type { BackendServer } from "@hyssopfront/bench/backend-server/backend-server.ts";
import { BackendServerFault, FOREIGN_RESPONSE_BODY } from "@hyssopfront/bench/backend-server/faults.ts";
import { SERVICE, waitUntil } from "@hyssopfront/bench/entry-stand-in/stand-in-world.ts";
import { createSeededRandom } from "@hyssopfront/bench/random/seeded-random.ts";
import assert from "node:assert/strict";
import { connect } from "node:net";
import {
    allRecords,
    backendServer,
    lastResponse,
    sendConcurrently,
    sendSequentially,
    theCaller,
    theEntry,
    world,
} from "./world.steps.js";

const theBackend = () => world.backendServers[0] as BackendServer;
const isComplete = (response: { outcome: string | undefined; error: string | undefined }) =>
    response.error === undefined && response.outcome === "run";

Given("1 backend server that returns request ids", () => world.startBackendServer({ echoesRequestId: true }));

Given(
    "the backend servers respond with {word}",
    (fault: BackendServerFault) => world.backendServers.forEach(server => server.setFaults(() => fault)),
);

Given(
    "backend server {word} responds with {word}",
    (name: string, fault: BackendServerFault) => backendServer(name).setFaults(() => fault),
);

Given("the backend servers respond to every second request with {word}", (fault: BackendServerFault) => {
    let count = 0;
    world.backendServers.forEach(server => server.setFaults(() => (count += 1) % 2 === 0 ? fault : undefined));
});

Given("the backend servers respond to the first request with {word}", (fault: BackendServerFault) => {
    let count = 0;
    world.backendServers.forEach(server => server.setFaults(() => (count += 1) === 1 ? fault : undefined));
});

Then("each connection carried one request", () => {
    const connections = allRecords().map(record => record.connection);
    assert.equal(new Set(connections).size, connections.length);
});

Given("the backend servers reject requests", () => world.backendServers.forEach(server => server.setRejecting(true)));

Given("the backend servers stop without a withdrawal", async () => {
    await Promise.all(world.backendServers.map(server => server.stop()));
    world.backendServers.length = 0;
});

Given("{int} backend servers with random faults and seed {int}", async (count: number, seed: number) => {
    const random = createSeededRandom(seed);
    const faults = Object.values(BackendServerFault);
    for (let index = 0; index < count; index += 1) {
        await world.startBackendServer({
            slots: 4,
            echoesRequestId: true,
            serviceMilliseconds: () => random() * 20,
            faultDelayMilliseconds: 150,
            chooseFault: () => random() < 0.3 ? faults[Math.floor(random() * faults.length)] : undefined,
        });
    }
});

When(
    "the caller sends {int} requests for responses of {int} bytes",
    (count: number, bytes: number) => sendSequentially(count, "large", { "test-answer-bytes": String(bytes) }),
);

When(
    "the caller sends {int} request(s) with a deadline of {int} ms",
    (count: number, milliseconds: number) =>
        sendSequentially(count, `deadline-${milliseconds}`, { "hyssop-deadline-ms": String(milliseconds) }),
);

When("the caller sends {int} more requests", (count: number) => sendSequentially(count, "more"));

When(
    "the caller sends {int} requests at the same time in groups of {int} with a deadline of {int} ms",
    async (count: number, group: number, milliseconds: number) => {
        for (let sent = 0; sent < count; sent += group) {
            await sendConcurrently(group, `group-${sent}`, { "hyssop-deadline-ms": String(milliseconds) });
        }
    },
);

When("a caller closes its connection while its request runs", async () => {
    const controller = new AbortController();
    const sent = theCaller().send({ id: "cancelled", signal: controller.signal });
    await waitUntil("the request runs", () => theBackend().running === 1);
    controller.abort();
    await sent;
});

When("the caller sends a body of {int} bytes", async (bytes: number) => {
    world.responses.push(await theCaller().send({ id: "upload", method: "PUT", body: Buffer.alloc(bytes) }));
});

When("a caller closes its connection in the middle of a body", async () => {
    const socket = connect(theEntry().callerPort, "127.0.0.1");
    socket.write(`PUT /${SERVICE}/ HTTP/1.1\r\nhost: entry\r\ncontent-length: 300000\r\n\r\n`);
    socket.write(Buffer.alloc(200_000));
    await waitUntil(
        "the entry forwards the body",
        () => theBackend().openConnections === 1 && theEntry().handler.inFlight === 1,
    );
    socket.resetAndDestroy();
    await waitUntil("the request ends", () => theEntry().handler.inFlight === 0);
});

When("a caller requests {int} bytes and does not read the response", async (bytes: number) => {
    const socket = connect(theEntry().callerPort, "127.0.0.1");
    socket.pause();
    socket.write(`GET /${SERVICE}/ HTTP/1.1\r\nhost: entry\r\ntest-answer-bytes: ${bytes}\r\n\r\n`);
    let previous = -1;
    // The transfer has stalled when two polls 100 ms apart return the same count.
    await waitUntil("the transfer stalls", () => {
        const now = theBackend().bytesWritten();
        const isStalled = now > 0 && now === previous;
        previous = now;
        return isStalled;
    }, 100);
    world.responses = [];
    socket.destroy();
});

Then("the entry read less than {int} bytes from the backend server", (limit: number) => {
    assert.ok(theBackend().bytesWritten() < limit, `${theBackend().bytesWritten()} bytes were written.`);
});

Then("no request received a complete response from a backend server", () => {
    assert.deepEqual(world.responses.filter(isComplete), []);
});

Then("each complete response from a backend server belongs to its request", () => {
    const complete = world.responses.filter(isComplete);
    assert.ok(complete.length > 0);
    complete.forEach(({ id, body }) => assert.ok(body.startsWith(`${id}|`), `${id} got "${body.slice(0, 60)}".`));
    assert.ok(world.responses.every(response => !response.body.includes(FOREIGN_RESPONSE_BODY)));
});

Then("the outcome of each other request is unknown", () => {
    const others = world.responses.filter(response => !isComplete(response));
    assert.ok(others.length > 0);
    assert.ok(
        others.every(response => response.status === 504 && response.outcome === "unknown"),
        JSON.stringify(others),
    );
});

Then("no request reported as not-run was run", () => {
    const ran = new Set(allRecords().map(record => record.id));
    assert.deepEqual(world.responses.filter(response => response.outcome === "not-run" && ran.has(response.id)), []);
});

Then("the backend server received a deadline of at most {int} ms", (milliseconds: number) => {
    const received = allRecords().at(-1)?.deadlineMilliseconds ?? Infinity;
    assert.ok(received <= milliseconds && received > 0, `The deadline was ${received} ms.`);
});

Then(
    "no backend server is processing a request",
    () =>
        waitUntil("no backend server runs a request", () => world.backendServers.every(server => server.running === 0)),
);

Then("the backend server received a body of {int} bytes", (bytes: number) => {
    assert.equal(allRecords().find(record => record.id === lastResponse().id)?.bodyBytes, bytes);
});

Then("the backend server ran {int} request(s)", (count: number) => assert.equal(allRecords().length, count));
