import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { Worker } from "node:worker_threads";
import type { Flow } from "./fault-proxy.js";
import { type FaultProxyHandle, type ProxyThread, startProxyThread } from "./proxy-thread.js";

/** Far above the duration of the round trips, so that only a stalled proxy reaches it. */
const BLOCKED_MS = 20_000;

/** Echo server and client. The client makes sequential round trips through the proxy whose port it receives. */
const ECHO_PROGRAM = `
    const { createServer, connect } = require("node:net");
    const { parentPort, workerData } = require("node:worker_threads");
    const server = createServer(socket => socket.on("error", () => undefined).pipe(socket));
    server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));
    parentPort.on("message", ({ port, roundTrips }) => {
        const socket = connect(port, "127.0.0.1", () => socket.write("x"));
        socket.on("data", () => {
            if (Atomics.add(workerData, 0, 1) + 1 === roundTrips) {
                Atomics.notify(workerData, 0);
            }
            else {
                socket.write("x");
            }
        });
    });
`;

let thread: ProxyThread;
let proxy: FaultProxyHandle;
let echo: Worker;
let roundTrips: Int32Array;
let completedWhenUnblocked: number;
let expected: number;

After(async () => {
    await Promise.all([thread?.close(), echo?.terminate()]);
});

Given("a proxy on a thread of its own in front of an echo server on another thread", async () => {
    roundTrips = new Int32Array(new SharedArrayBuffer(4));
    echo = new Worker(ECHO_PROGRAM, { eval: true, execArgv: [], workerData: roundTrips });
    const [targetPort] = await once(echo, "message") as [number];
    thread = await startProxyThread();
    proxy = await thread.open({ targetPort, clientNames: ["entry-1", "entry-2"], faults: {} });
});

When(
    "a client on the thread of the echo server makes {int} round trips while this thread is blocked",
    (count: number) => {
        expected = count;
        echo.postMessage({ port: proxy.port, roundTrips: count });
        const deadline = performance.now() + BLOCKED_MS;
        for (let seen = 0; seen < count && performance.now() < deadline; seen = Atomics.load(roundTrips, 0)) {
            Atomics.wait(roundTrips, 0, seen, deadline - performance.now());
        }
        completedWhenUnblocked = Atomics.load(roundTrips, 0);
    },
);

Then(
    "all round trips were completed before this thread continued",
    () => assert.equal(completedWhenUnblocked, expected),
);

When("the flow of the client {string} is set to {word}", (client: string, flow: Flow) => {
    proxy.setFaultsOfClient(client, { toServer: flow, toClient: flow });
    thread.waitUntilApplied();
});

const connectAndSend = (bytes: string) => {
    const socket = connect(proxy.port, "127.0.0.1", () => socket.write(bytes));
    const received: string[] = [];
    socket.on("data", data => received.push(String(data)));
    return { socket, received };
};

Then(
    "a client that first sends {string} receives nothing and one that first sends {string} receives its bytes back",
    async (partitionedClient: string, open: string) => {
        const partitioned = connectAndSend(partitionedClient);
        await once(partitioned.socket, "connect");
        const connected = connectAndSend(open);
        await once(connected.socket, "data");
        assert.deepEqual([connected.received.join(""), partitioned.received], [open, []]);
        partitioned.socket.destroy();
        connected.socket.destroy();
    },
);

Then("a client that first sends {string} receives its bytes back", async (client: string) => {
    const { socket, received } = connectAndSend(client);
    await once(socket, "data");
    assert.equal(received.join(""), client);
    socket.destroy();
});
