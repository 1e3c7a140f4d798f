import { After, Given, Then, When } from "@cucumber/cucumber";
import { createSystemClock } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { type CallerConnections, trackCallerConnections } from "../caller-connections.js";

const HOST = "127.0.0.1";
const REQUEST = "GET / HTTP/1.1\r\nhost: gateway.example\r\n\r\n";
/** Longer than the time for which a connection counts as used after its last response, in milliseconds. */
const UNUSED_AFTER_MS = 100;
const STOP_ACCEPTING_MS = 2_000;

const clock = createSystemClock();
let server: Server;
let connections: CallerConnections;
let callers: Socket[];
let results: Promise<string>[];

const startServer = async () => {
    server = createServer();
    connections = trackCallerConnections(server, clock);
    server.on("request", (message, response) => {
        connections.startRequest(message, response);
        response.end("done");
    });
    await new Promise<void>(resolve => server.listen(0, HOST, resolve));
};
const port = () => (server.address() as AddressInfo).port;
const openConnection = (serverPort: number) =>
    new Promise<Socket>((resolve, reject) => {
        const caller = connect(serverPort, HOST);
        callers.push(caller);
        caller.once("error", reject);
        caller.once("connect", () => resolve(caller));
    });
/** Resolves with what the caller sees first: the status line of a response, or how the connection ended. */
const send = (caller: Socket) => {
    const result = new Promise<string>(resolve => {
        caller.once("data", (data: Buffer) => resolve(data.toString().split("\r\n")[0] ?? ""));
        caller.once("error", error => resolve(error.message));
        caller.once("close", () => resolve("closed"));
    });
    // On loopback the request is in the buffer of the server's connection when this call returns.
    caller.write(REQUEST);
    return result;
};

After(async () => {
    callers.forEach(caller => caller.destroy());
    server.closeAllConnections();
    server.close();
    await new Promise(resolve => setImmediate(resolve));
});

Given("a server", async () => {
    callers = [];
    await startServer();
});
Given("a server with a kept connection that counts as unused", async () => {
    callers = [];
    await startServer();
    const caller = await openConnection(port());
    assert.equal(await send(caller), "HTTP/1.1 200 OK");
    await clock.sleep(UNUSED_AFTER_MS);
});
When("its caller sends a request right before unused connections are closed", async () => {
    results = callers.map(send);
    await connections.closeUnused();
});
When("{int} callers have connected and sent requests right before it stops accepting", async (count: number) => {
    const serverPort = port();
    const opened = await Promise.all(Array.from({ length: count }, () => openConnection(serverPort)));
    results = opened.map(send);
    assert.ok(connections.count() < count, "No connection waits to be accepted.");
    await connections.stopAccepting(clock.monotonicMilliseconds() + STOP_ACCEPTING_MS);
});
When("callers keep connecting while it stops accepting within {int} ms", async (milliseconds: number) => {
    const serverPort = port();
    let isConnecting = true;
    /** Opens connections faster than they are accepted, which is one in each turn of the event loop. */
    const connectTwice = () => {
        if (isConnecting) {
            [1, 2].forEach(() => void openConnection(serverPort).then(caller => caller.destroy(), () => undefined));
            setImmediate(connectTwice);
        }
    };
    connectTwice();
    await connections.stopAccepting(clock.monotonicMilliseconds() + milliseconds);
    isConnecting = false;
});
Then("all {int} callers get a response", async (count: number) => {
    const seen = await Promise.all(results);
    assert.deepEqual(seen, Array.from({ length: count }, () => "HTTP/1.1 200 OK"));
});
Then("the caller gets a response", async () => {
    assert.deepEqual(await Promise.all(results), ["HTTP/1.1 200 OK"]);
});
Then("the server accepts no further connection", () => {
    assert.equal(server.listening, false);
});
