import { After, Before, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Counters } from "../counters/counters.js";
import { createFrameDecoder, encodeFrame } from "../framing/frames.js";
import { dialPeer, type DialPeerOptions } from "./dial-peer.js";
import { listenForPeers } from "./listen-for-peers.js";
import { FrameType, type PeerFrame, peerFrameSchema, PROTOCOL_VERSION } from "./messages.js";
import { PeerError, PeerRequestError } from "./peer-error.js";
import { clock, createIdentity, createTestCounters, settle, waitFor } from "./peer-fixtures.steps.js";
import type { PeerClient, PeerListener } from "./peer.js";
import { routePeerRequests } from "./serve-requests.js";

setDefaultTimeout(30_000);

let counts: Map<string, number>;
let counters: Counters;
let listener: PeerListener;
let client: PeerClient;
let connectionCount: number;
let rawSockets: Socket[];
let unresponsiveServer: Server | undefined;
let pendingReplies: Map<number, () => void>;
let handlerSignal: AbortSignal | undefined;
let outcomes: unknown[];
let cleanups: (() => Promise<unknown>)[];

const handle = routePeerRequests({
    echo: async (_from, payload) => payload,
    hold: (_from, payload) =>
        new Promise(resolve => {
            pendingReplies.set(payload as number, () => resolve(payload));
        }),
    hang: (_from, _payload, signal) => {
        handlerSignal = signal;
        return new Promise(() => undefined);
    },
    reject: async () => {
        throw new PeerRequestError("noRoom", "There is no capacity.");
    },
    "too-long": async () => Buffer.alloc(5_000_000),
});

const listen = async (incarnation = "1", port = 0) => {
    const opened = await listenForPeers({
        clock,
        address: "127.0.0.1",
        port,
        self: createIdentity("listener", { incarnation }),
        handle,
        counters,
        maximumRequestsOfAConnection: 210,
        maximumConnections: 4,
        maximumRequests: 208,
    });
    cleanups.push(() => opened.close());
    listener = opened;
};
const dial = (changes: Partial<DialPeerOptions> = {}) => {
    client = dialPeer({
        clock,
        address: "127.0.0.1",
        port: listener.port,
        self: createIdentity("client"),
        counters,
        onStateChange: remote => {
            connectionCount += remote === undefined ? 0 : 1;
        },
        ...changes,
    });
    const opened = client;
    cleanups.push(() => opened.close());
};
const connectRaw = async () => {
    const socket = connect(listener.port, "127.0.0.1");
    socket.on("error", () => undefined);
    rawSockets.push(socket);
    await once(socket, "connect");
    return socket;
};
const hello = (protocolVersion: number): PeerFrame => ({
    type: FrameType.Hello,
    protocolVersion,
    ...createIdentity("raw"),
});

Before(() => {
    ({ counts, counters } = createTestCounters());
    connectionCount = 0;
    rawSockets = [];
    pendingReplies = new Map();
    handlerSignal = undefined;
    outcomes = [];
    cleanups = [];
    unresponsiveServer = undefined;
});
After(async () => {
    rawSockets.forEach(socket => socket.destroy());
    await Promise.all(cleanups.map(cleanup => cleanup()));
    unresponsiveServer?.close();
});

Given("a listener", () => listen());

Given("a connected client", async () => {
    await listen();
    dial();
    await waitFor(() => client.isConnected);
});

When("{int} calls receive their replies in a random order with seed {int}", async (count: number, seed: number) => {
    process.stdout.write(`seed ${seed}\n`);
    const generator = xoroshiro128plus(seed);
    const ids = Array.from({ length: count }, (_, index) => index);
    const calls = ids.map(id => client.call("hold", id, 20_000));
    await waitFor(() => pendingReplies.size === count);
    ids.map(id => ({ id, order: generator.next() })).sort((a, b) => a.order - b.order)
        .forEach(({ id }) => pendingReplies.get(id)?.());
    outcomes = await Promise.all(calls);
});

Then("each call received its own reply", () => {
    assert.deepEqual(outcomes, outcomes.map((_, index) => index));
    assert.ok(outcomes.length > 0);
});

When(/^a client with another (cluster|expected name) dials$/, async (difference: string) => {
    const isCluster = difference === "cluster";
    dial(isCluster ? { self: createIdentity("client", { clusterId: "brasov" }) } : { expectedName: "other" });
    await waitFor(() => (counts.get("peers.dial_failures") ?? 0) > 0);
});

Then("its calls fail at the step connect with {string} and nothing was sent", async (message: string) => {
    const error = await settle(client.call("echo", 1, 1_000));
    assert.ok(error instanceof PeerError, String(error));
    assert.equal(error.step, "connect");
    assert.equal(error.isCertainlyNotSent, true);
    assert.match(error.message, new RegExp(message));
});

Then("the listener counted {string} or a lost connection", async (counter: string) => {
    await waitFor(() => (counts.get(counter) ?? 0) > 0 || (counts.get("peers.connections_lost") ?? 0) > 0);
    assert.equal(client.isConnected, false);
    assert.equal(connectionCount, 0);
});

When("a raw socket sends a hello with protocol version {int}", async (version: number) => {
    const socket = await connectRaw();
    socket.write(encodeFrame(hello(version)));
});

Then("it receives the rejection {string}", async (message: string) => {
    const socket = rawSockets[0] as Socket;
    const decoder = createFrameDecoder(peerFrameSchema);
    const frames: PeerFrame[] = [];
    socket.on("data", (chunk: Buffer) => {
        decoder.append(chunk);
        for (let frame = decoder.next(); frame !== undefined; frame = decoder.next()) {
            frames.push(frame);
        }
    });
    await waitFor(() => frames.some(frame => frame.type === FrameType.Failure && frame.message.includes(message)));
});

Then("the raw socket is closed", async () => {
    rawSockets[0]?.resume();
    await waitFor(() => rawSockets[0]?.closed === true);
});

When("a raw socket completes the handshake and sends a malformed frame", async () => {
    const socket = await connectRaw();
    socket.write(encodeFrame(hello(PROTOCOL_VERSION)));
    await waitFor(() => listener.connectedPeers.some(peer => peer.name === "raw"));
    socket.write(Buffer.of(0, 0, 0, 2, 0x82, 0x01));
});

Then("the counter {string} is {int}", async (counter: string, count: number) => {
    await waitFor(() => (counts.get(counter) ?? 0) >= count);
    assert.equal(counts.get(counter), count);
});

Then("the client is still connected on its first connection", async () => {
    assert.equal(await client.call("echo", "alive", 10_000), "alive");
    assert.equal(connectionCount, 1);
});

Then(
    "a call of the kind {string} fails with the code {string}, {}",
    async (kind: string, code: string, certainty: string) => {
        const error = await settle(client.call(kind, undefined, 10_000));
        assert.ok(error instanceof PeerError, String(error));
        assert.equal(error.code, code);
        assert.equal(error.isCertainlyNotRun, certainty === "certainly not run");
        assert.equal(error.isCertainlyNotSent, false);
    },
);

When("a call exceeds its deadline and its reply arrives during the next call", async () => {
    const late = await settle(client.call("hold", 1, 50));
    assert.ok(late instanceof PeerError);
    const next = client.call("hold", 2, 20_000);
    await waitFor(() => pendingReplies.size === 2);
    pendingReplies.get(1)?.();
    await waitFor(() => counts.get("peers.late_replies") === 1);
    pendingReplies.get(2)?.();
    outcomes = [await next];
});

Then("the next call received its own reply", () => {
    assert.deepEqual(outcomes, [2]);
});

When("a call hangs and the client closes", async () => {
    const call = settle(client.call("hang", undefined, 20_000));
    await waitFor(() => handlerSignal !== undefined);
    await client.close();
    outcomes = [await call];
});

When("a call hangs past its deadline", async () => {
    outcomes = [await settle(client.call("hang", undefined, 200))];
});

Then("the signal of the handler aborted", () => waitFor(() => handlerSignal?.aborted === true));

Then("the call fails at the step {string}, possibly run", (step: string) => {
    const error = outcomes[0];
    assert.ok(error instanceof PeerError, String(error));
    assert.equal(error.step, step);
    assert.equal(error.isCertainlyNotRun, false);
});

When("{int} calls hang on a listener that runs {int}", async (count: number, limit: number) => {
    // The numbers of the scenario are in addition to 200, because another scenario needs 200 concurrent calls.
    const calls = Array.from({ length: 200 + count }, (_, index) => settle(client.call("hold", index, 20_000)));
    await waitFor(() => pendingReplies.size === 200 + limit && counts.get("peers.requests_refused") === count - limit);
    pendingReplies.forEach(sendReply => sendReply());
    outcomes = await Promise.all(calls);
});

Then("one call fails with the code {string}, certainly not run", (code: string) => {
    const errors = outcomes.filter(outcome => outcome instanceof PeerError);
    assert.deepEqual(errors.map(error => [error.code, error.isCertainlyNotRun]), [[code, true]]);
});

When("{int} raw sockets connect to a listener that accepts {int}", async (count: number, limit: number) => {
    assert.equal(limit, 4);
    for (let index = 0; index < count; index += 1) {
        const socket = await connectRaw();
        socket.resume();
    }
});

Then("one raw socket is closed and {string} is {int}", async (counter: string, count: number) => {
    await waitFor(() => counts.get(counter) === count && rawSockets[4]?.closed === true);
});

When("the listener restarts", async () => {
    const { port } = listener;
    await listener.close();
    await listen("2", port);
});

Then("the client connects to the new incarnation", () => waitFor(() => client.remote?.incarnation === "2"));

Given("a socket that accepts connections and sends nothing", async () => {
    unresponsiveServer = createServer(socket => {
        rawSockets.push(socket);
        socket.on("error", () => undefined);
    });
    unresponsiveServer.listen(0, "127.0.0.1");
    await once(unresponsiveServer, "listening");
});

When("a client dials it", async () => {
    const port = (unresponsiveServer?.address() as { port: number }).port;
    client = dialPeer({
        clock,
        address: "127.0.0.1",
        port,
        self: createIdentity("client"),
        counters,
        handshakeMilliseconds: 50,
    });
    cleanups.push(() => client.close());
    await waitFor(() => (counts.get("peers.dial_failures") ?? 0) > 0);
});

Then("its dial failure names the step handshake", async () => {
    const error = await settle(client.call("echo", 1, 1_000));
    assert.ok(error instanceof PeerError);
    assert.match(error.message, /step handshake: No hello arrived within 50 ms/);
});
