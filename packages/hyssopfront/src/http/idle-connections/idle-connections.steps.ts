import { After, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { text as readAll } from "node:stream/consumers";
import { setTimeout as sleep } from "node:timers/promises";
import { readBeforeIdleClose } from "../read-before-idle-close.js";

setDefaultTimeout(40_000);

const HOST = "127.0.0.1";
const REQUEST = "GET / HTTP/1.1\r\nhost: gateway.example\r\n\r\n";
const HALF = REQUEST.length / 2;

let server: Server;
let client: Socket;

/** Keeps the event loop busy. Node closes a connection a second after the end of its idle time. */
function pause(milliseconds: number): void {
    const endsAt = performance.now() + milliseconds;
    while (performance.now() < endsAt) {
        // Busy.
    }
}

After(() => {
    client.destroy();
    server.closeAllConnections();
    server.close();
});

Given("a server with a kept connection and an idle time of {int} ms", async (milliseconds: number) => {
    server = createServer({ keepAliveTimeout: milliseconds }, (_request, response) => void response.end("done"));
    readBeforeIdleClose(server);
    server.listen(0, HOST);
    await once(server, "listening");
    client = connect((server.address() as AddressInfo).port, HOST);
    client.write(REQUEST);
    await once(client, "data");
});

// On loopback, what the client writes is in the buffer of the server's connection before the pause.
When("its client sends a request and the process pauses for {int} ms", (milliseconds: number) => {
    client.write(REQUEST);
    pause(milliseconds);
});
When(
    "its client sends half a request, the process pauses for {int} ms and the client sends the rest",
    async (milliseconds: number) => {
        client.write(REQUEST.slice(0, HALF));
        pause(milliseconds);
        // Timers that have become due run, and what was sent is read.
        await sleep(1);
        client.write(REQUEST.slice(HALF));
    },
);
When("the process pauses for {int} ms", pause);
When("its client sends half a request, and the process pauses for {int} ms", (milliseconds: number) => {
    client.write(REQUEST.slice(0, HALF));
    pause(milliseconds);
});

Then("the client gets a response", async () => {
    const [data] = await once(client, "data") as [Buffer];
    assert.equal(data.toString().split("\r\n")[0], "HTTP/1.1 200 OK");
});
Then("the connection is closed within {int} ms without a response", async (milliseconds: number) => {
    assert.equal(await Promise.race([readAll(client), sleep(milliseconds, "still open")]), "");
});
