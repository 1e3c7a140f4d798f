import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { Worker } from "node:worker_threads";
import type { Flow } from "./fault-proxy.js";
import { type FaultProxyHandle, type ProxyThread, startProxyThread } from "./proxy-thread.js";

/** Far above what the round trips take, so that only a proxy that stands still reaches it. */
const BLOCKED_MS = 20_000;

/** Echo server, and a client that makes round trips one after another through a proxy when it is told the proxy's port. */
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
let seenWhenUnblocked: number;
let wanted: number;

After(async () => {
    await Promise.all([thread?.close(), echo?.terminate()]);
});

Given("a proxy on a thread of its own before an echo server on another thread", async () => {
    roundTrips = new Int32Array(new SharedArrayBuffer(4));
    echo = new Worker(ECHO_PROGRAM, { eval: true, execArgv: [], workerData: roundTrips });
    const [targetPort] = await once(echo, "message") as [number];
    thread = await startProxyThread();
    proxy = await thread.open({ targetPort, clientNames: ["entry-1", "entry-2"], faults: {} });
});

When("a client on that other thread makes {int} round trips while this thread is blocked", (count: number) => {
    wanted = count;
    echo.postMessage({ port: proxy.port, roundTrips: count });
    const giveUpAt = performance.now() + BLOCKED_MS;
    for (let seen = 0; seen < count && performance.now() < giveUpAt; seen = Atomics.load(roundTrips, 0)) {
        Atomics.wait(roundTrips, 0, seen, giveUpAt - performance.now());
    }
    seenWhenUnblocked = Atomics.load(roundTrips, 0);
});

Then("all of them were completed before this thread went on", () => assert.equal(seenWhenUnblocked, wanted));

When("the connections of the client {string} are {word}", (client: string, flow: Flow) => {
    proxy.setFaultsOfClient(client, { toServer: flow, toClient: flow });
    thread.waitUntilApplied();
});

const openAndSend = (bytes: string) => {
    const socket = connect(proxy.port, "127.0.0.1", () => socket.write(bytes));
    const received: string[] = [];
    socket.on("data", data => received.push(String(data)));
    return { socket, received };
};

Then(
    "a client that opens with {string} gets nothing back and one that opens with {string} does",
    async (cut: string, open: string) => {
        const silent = openAndSend(cut);
        await once(silent.socket, "connect");
        const answered = openAndSend(open);
        await once(answered.socket, "data");
        assert.deepEqual([answered.received.join(""), silent.received], [open, []]);
        silent.socket.destroy();
        answered.socket.destroy();
    },
);

Then("a client that opens with {string} gets its bytes back", async (client: string) => {
    const { socket, received } = openAndSend(client);
    await once(socket, "data");
    assert.equal(received.join(""), client);
    socket.destroy();
});
