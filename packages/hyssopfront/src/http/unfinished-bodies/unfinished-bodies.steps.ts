import { After, Given, Then, When } from "@cucumber/cucumber";
import { createManualClock, type ManualClock } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type IncomingMessage, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { limitConnections } from "../limit-connections.js";
import { createUnfinishedBodies, type UnfinishedBodies } from "../unfinished-bodies.js";

const ADDRESS = "127.0.0.1";
const CLOSE_TIMEOUT_MS = 5_000;
/** Longer than the interval at which bodies are checked. */
const CHECKED_MS = 1_500;
const UNFINISHED = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n";

let clock: ManualClock;
let server: Server;
let bodies: UnfinishedBodies;
let refusals: string[];
let clients: Socket[];
let delivered: Buffer[];
let ended: Promise<unknown>;

const makeBody = (bytes: number) => Buffer.from(Array.from({ length: bytes }, (_, index) => 97 + index % 23));

async function connectClient(): Promise<Socket> {
    const accepted = once(server, "connection");
    const client = connect((server.address() as AddressInfo).port, ADDRESS);
    client.on("error", () => undefined);
    clients.push(client);
    await accepted;
    return client;
}

async function sendRequest(text: string): Promise<void> {
    const client = await connectClient();
    const received = once(server, "request");
    client.write(text);
    await received;
    await sleep(20);
}

async function assertClosed(client: Socket | undefined, reason: string, count: number): Promise<void> {
    assert.ok(client !== undefined);
    if (!client.closed) {
        client.resume();
        await once(client, "close", { signal: AbortSignal.timeout(CLOSE_TIMEOUT_MS) });
    }
    assert.equal(refusals.filter(refusal => refusal === reason).length, count);
}

async function assertOpen(client: Socket | undefined): Promise<void> {
    client?.resume();
    await sleep(CHECKED_MS);
    assert.equal(client?.closed, false);
    assert.equal(client?.readableEnded, false);
}

Given("a server that watches bodies and accepts {int} connections", async (maximum: number) => {
    clock = createManualClock();
    refusals = [];
    clients = [];
    delivered = [];
    server = createServer({ requestTimeout: 0 });
    bodies = createUnfinishedBodies({
        clock,
        counters: {
            increment: (_name, _amount, tags) => void refusals.push(tags?.reason ?? ""),
            gauge: () => undefined,
        },
        log: () => undefined,
        listener: "callers",
    });
    limitConnections(server, { maximum, open: 0 }, bodies);
    server.on("request", (message: IncomingMessage) => {
        bodies.watch(message);
        message.on("error", () => undefined);
        if (message.method === "POST") {
            message.on("data", (chunk: Buffer) => void delivered.push(chunk));
            ended = once(message, "end");
            ended.catch(() => undefined);
        }
    });
    server.listen(0, ADDRESS);
    await once(server, "listening");
});

When("a client sends a body without its end", () => sendRequest(UNFINISHED));
When("{int} other clients send bodies without their ends", async (count: number) => {
    for (let index = 0; index < count; index += 1) {
        await sendRequest(UNFINISHED);
    }
});
When("another client connects", async () => void await connectClient());
When("{int} ms pass", (milliseconds: number) => clock.advance(milliseconds));
When("it sends {int} byte every {int} ms, {int} times", async (bytes: number, milliseconds: number, times: number) => {
    for (let index = 0; index < times; index += 1) {
        await clock.advance(milliseconds);
        clients[0]?.write(`${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`);
        await sleep(20);
    }
});
When(/^a client sends a request with (no|a whole) body$/, (body: string) =>
    sendRequest(
        body === "no"
            ? "GET / HTTP/1.1\r\nhost: a\r\n\r\n"
            : "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc",
    ));
When(
    /^a client sends a body of (\d+) bytes in chunks of (\d+)(?: and (\d+))? bytes$/,
    async (bytes: string, first: string, second: string | undefined) => {
        const body = makeBody(Number(bytes));
        const sizes = [Number(first), Number(second ?? first)];
        let text = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
        for (let offset = 0, index = 0; offset < body.length; index += 1) {
            const chunk = body.subarray(offset, offset + (sizes[index % 2] as number));
            text += `${chunk.length.toString(16)}\r\n${chunk.toString()}\r\n`;
            offset += chunk.length;
        }
        await sendRequest(`${text}0\r\n\r\n`);
        await ended;
    },
);

Then("its connection is open", () => assertOpen(clients[0]));
Then("the last connection is open", () => assertOpen(clients.at(-1)));
Then(
    /^(its|the last) connection is closed, and "(.+)" is counted (\d+) time$/,
    (which: string, reason: string, count: string) =>
        assertClosed(which === "its" ? clients[0] : clients.at(-1), reason, Number(count)),
);
Then("it is delivered whole in at most {int} chunks", (count: number) => {
    const whole = Buffer.concat(delivered);
    assert.ok(whole.equals(makeBody(whole.length)) && whole.length === 120_000, `${whole.length} bytes`);
    assert.ok(delivered.length <= count, `${delivered.length} chunks`);
});

After(() => {
    clients.forEach(client => client.destroy());
    bodies.close();
    server.closeAllConnections();
    server.close();
});
