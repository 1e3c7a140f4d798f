import { Given, Then, When } from "@cucumber/cucumber";
import type { BackendServer } from "@hyssopfront/bench/backend-server/backend-server.ts";
import { BackendServerFault, FOREIGN_BODY } from "@hyssopfront/bench/backend-server/faults.ts";
import { SERVICE, until } from "@hyssopfront/bench/entry-stand-in/scenario-world.ts";
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
const isWhole = (answer: { outcome: string | undefined; error: string | undefined }) =>
    answer.error === undefined && answer.outcome === "run";

Given("1 backend server that returns request ids", () => world.startBackend({ echoesRequestId: true }));

Given(
    "the backend servers answer with {word}",
    (fault: BackendServerFault) => world.backendServers.forEach(server => server.setFaults(() => fault)),
);

Given(
    "backend server {word} answers with {word}",
    (name: string, fault: BackendServerFault) => backendServer(name).setFaults(() => fault),
);

Given("the backend servers answer every second request with {word}", (fault: BackendServerFault) => {
    let count = 0;
    world.backendServers.forEach(server => server.setFaults(() => (count += 1) % 2 === 0 ? fault : undefined));
});

Given("the backend servers answer the first request with {word}", (fault: BackendServerFault) => {
    let count = 0;
    world.backendServers.forEach(server => server.setFaults(() => (count += 1) === 1 ? fault : undefined));
});

Then("each connection carried one request", () => {
    const connections = allRecords().map(record => record.connection);
    assert.equal(new Set(connections).size, connections.length);
});

Given("the backend servers refuse requests", () => world.backendServers.forEach(server => server.setRefusing(true)));

Given("the backend servers die without a withdrawal", async () => {
    await Promise.all(world.backendServers.map(server => server.stop()));
    world.backendServers.length = 0;
});

Given("{int} backend servers with random faults and seed {int}", async (count: number, seed: number) => {
    const random = createSeededRandom(seed);
    const faults = Object.values(BackendServerFault);
    for (let index = 0; index < count; index += 1) {
        await world.startBackend({
            slots: 4,
            echoesRequestId: true,
            serviceMilliseconds: () => random() * 20,
            faultDelayMilliseconds: 150,
            chooseFault: () => random() < 0.3 ? faults[Math.floor(random() * faults.length)] : undefined,
        });
    }
});

When(
    "the caller sends {int} requests for answers of {int} bytes",
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
    await until("the request runs", () => theBackend().running === 1);
    controller.abort();
    await sent;
});

When("the caller sends a body of {int} bytes", async (bytes: number) => {
    world.answers.push(await theCaller().send({ id: "upload", method: "PUT", body: Buffer.alloc(bytes) }));
});

When("a caller closes its connection in the middle of a body", async () => {
    const socket = connect(theEntry().callerPort, "127.0.0.1");
    socket.write(`PUT /${SERVICE}/ HTTP/1.1\r\nhost: entry\r\ncontent-length: 300000\r\n\r\n`);
    socket.write(Buffer.alloc(200_000));
    await until(
        "the entry forwards the body",
        () => theBackend().openConnections === 1 && theEntry().handler.inFlight === 1,
    );
    socket.resetAndDestroy();
    await until("the request ends", () => theEntry().handler.inFlight === 0);
});

When("a caller asks for {int} bytes and does not read them", async (bytes: number) => {
    const socket = connect(theEntry().callerPort, "127.0.0.1");
    socket.pause();
    socket.write(`GET /${SERVICE}/ HTTP/1.1\r\nhost: entry\r\ntest-answer-bytes: ${bytes}\r\n\r\n`);
    let taken = -1;
    // The transfer has come to rest when the count is the same in two polls 100 ms apart.
    await until("the transfer rests", () => {
        const now = theBackend().bytesWritten();
        const isResting = now > 0 && now === taken;
        taken = now;
        return isResting;
    }, 100);
    world.answers = [];
    socket.destroy();
});

Then("the entry took less than {int} bytes from the backend server", (limit: number) => {
    assert.ok(theBackend().bytesWritten() < limit, `${theBackend().bytesWritten()} bytes were written.`);
});

Then("no request received a complete response from a backend server", () => {
    assert.deepEqual(world.answers.filter(isWhole), []);
});

Then("each complete response from a backend server belongs to its request", () => {
    const whole = world.answers.filter(isWhole);
    assert.ok(whole.length > 0);
    whole.forEach(({ id, body }) => assert.ok(body.startsWith(`${id}|`), `${id} got "${body.slice(0, 60)}".`));
    assert.ok(world.answers.every(answer => !answer.body.includes(FOREIGN_BODY)));
});

Then("the outcome of each other request is unknown", () => {
    const others = world.answers.filter(answer => !isWhole(answer));
    assert.ok(others.length > 0);
    assert.ok(others.every(answer => answer.status === 504 && answer.outcome === "unknown"), JSON.stringify(others));
});

Then("no request reported as not-run was run", () => {
    const ran = new Set(allRecords().map(record => record.id));
    assert.deepEqual(world.answers.filter(answer => answer.outcome === "not-run" && ran.has(answer.id)), []);
});

Then("the backend server received a deadline of at most {int} ms", (milliseconds: number) => {
    const told = allRecords().at(-1)?.deadlineMilliseconds ?? Infinity;
    assert.ok(told <= milliseconds && told > 0, `Told ${told} ms.`);
});

Then(
    "no backend server is processing a request",
    () => until("the work ends", () => world.backendServers.every(server => server.running === 0)),
);

Then("the backend server got a body of {int} bytes", (bytes: number) => {
    assert.equal(allRecords().find(record => record.id === lastResponse().id)?.bodyBytes, bytes);
});

Then("the backend server ran {int} request(s)", (count: number) => assert.equal(allRecords().length, count));
