import { After, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import { createSystemClock } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { type FaultProxy, Flow, startFaultProxy } from "./fault-proxy.js";

setDefaultTimeout(30_000);

type Client = { readonly socket: Socket; sent: Buffer; received: Buffer; error: NodeJS.ErrnoException | undefined };

const clock = createSystemClock();
let server: Server;
let serverErrors: string[];
let serverReceived: number;
let proxy: FaultProxy;
let clients: Client[];
let startedAt: number;

const waitUntil = async (isDone: () => boolean) => {
    for (let attempt = 0; !isDone(); attempt += 1) {
        assert.ok(attempt < 4_000, "The condition did not become true.");
        await clock.sleep(5);
    }
};
const first = () => clients[0] as Client;

const openClient = () => {
    const socket = connect(proxy.port, "127.0.0.1");
    const client: Client = { socket, sent: Buffer.alloc(0), received: Buffer.alloc(0), error: undefined };
    socket.on("data", bytes => client.received = Buffer.concat([client.received, bytes]));
    socket.on("error", error => client.error = error);
    clients.push(client);
    return client;
};
const send = (client: Client, length: number) => {
    startedAt = clock.monotonicMilliseconds();
    const bytes = Buffer.from(Array.from({ length }, (_, index) => index * 31 % 251));
    client.sent = Buffer.concat([client.sent, bytes]);
    client.socket.write(bytes);
};
const waitForReturn = async (client: Client) => {
    await waitUntil(() => client.received.length >= client.sent.length);
    assert.ok(client.received.equals(client.sent));
};

After(async () => {
    clients.forEach(({ socket }) => socket.destroy());
    await proxy.close();
    server.close();
});

Given("an echo server behind a proxy", async () => {
    serverErrors = [];
    serverReceived = 0;
    clients = [];
    server = createServer(socket => {
        socket.on("data", bytes => serverReceived += bytes.length);
        socket.on("error", (error: NodeJS.ErrnoException) => serverErrors.push(error.code ?? ""));
        socket.pipe(socket);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    proxy = await startFaultProxy({ clock, targetPort: (server.address() as AddressInfo).port });
});

When(
    "both directions are delayed by {int} ms and limited to {int} bytes a second",
    (delay: number, bytesPerSecond: number) => {
        proxy.setFaults({ delayMilliseconds: delay, bytesPerSecond });
    },
);

When("a client sends {int} bytes", async (length: number) => {
    send(openClient(), length);
    await waitUntil(() => serverReceived === length);
});

Then("they return unchanged, not before {int} ms have passed", async (minimumMilliseconds: number) => {
    await waitForReturn(first());
    assert.ok(clock.monotonicMilliseconds() - startedAt >= minimumMilliseconds);
});

When("the direction to the client is held", () => proxy.setFaults({ toClient: Flow.Held }));

Then("the echo server receives them and nothing returns", async () => {
    await waitUntil(() => serverReceived === first().sent.length);
    assert.equal(first().received.length, 0);
});

When("the direction to the client is opened", () => proxy.setFaults({ toClient: Flow.Open }));

Then("they return unchanged", () => waitForReturn(first()));

When("the direction to the server of the first connection is dropped", () => {
    proxy.connections[0]?.setFaults({ toServer: Flow.Dropped });
});

When("the client sends {int} more bytes and the direction is opened again", async (length: number) => {
    await waitForReturn(first());
    send(first(), length);
    await clock.sleep(50);
    proxy.connections[0]?.setFaults({ toServer: Flow.Open });
    send(first(), length);
});

Then("nothing more reaches the echo server and the connection is still open", async () => {
    const before = serverReceived;
    const other = openClient();
    send(other, 50);
    await waitForReturn(other);
    assert.equal(serverReceived, before + 50);
    assert.equal(first().socket.closed, false);
});

Then("a new client receives its bytes back", async () => {
    const client = openClient();
    send(client, 50);
    await waitForReturn(client);
});

When("the proxy resets all connections", async () => {
    await waitForReturn(first());
    proxy.reset();
});

Then("the client and the echo server receive a reset", async () => {
    await waitUntil(() => first().error !== undefined && serverErrors.length > 0);
    assert.deepEqual([first().error?.code, serverErrors[0]], ["ECONNRESET", "ECONNRESET"]);
});

When("the proxy refuses new connections", () => proxy.refuseConnections(true));

When("the proxy accepts new connections", () => proxy.refuseConnections(false));

Then("a new client is refused and the first one still receives its bytes back", async () => {
    const refused = openClient();
    await waitUntil(() => refused.error !== undefined);
    assert.equal(refused.error?.code, "ECONNREFUSED");
    send(first(), 50);
    await waitForReturn(first());
});
