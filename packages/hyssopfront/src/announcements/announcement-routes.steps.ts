import { After, Given, Then, When } from "@cucumber/cucumber";
import { createManualClock, type ManualClock } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type IncomingMessage, request as sendRequest, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { createAnnouncementRoutes } from "./announcement-routes.js";
import { type Announcements, createAnnouncements } from "./create-announcements.js";

const ANNOUNCEMENT = JSON.stringify({
    address: "127.0.0.1",
    port: 9_000,
    availabilityZone: "sibiu-1",
    incarnation: "i1",
    slots: 6,
});

let clock: ManualClock;
let announcements: Announcements;
let server: Server | undefined;
let status: number | undefined;
let text: string;

const send = async (method: string, path: string, write: (request: ReturnType<typeof sendRequest>) => unknown) => {
    const { port } = server?.address() as AddressInfo;
    const request = sendRequest({ host: "127.0.0.1", port, method, path, agent: false });
    const responsePromise = once(request, "response") as Promise<[IncomingMessage]>;
    // The server may close the connection of a rejected body after the response has arrived.
    request.on("error", () => undefined);
    await write(request);
    const [response] = await responsePromise;
    status = response.statusCode;
    text = "";
    for await (const chunk of response) {
        text += String(chunk);
    }
};

After(async () => {
    if (server !== undefined) {
        server.closeAllConnections();
        server.close();
        server = undefined;
        await announcements.stop();
    }
});

Given("an HTTP server with the routes", async () => {
    clock = createManualClock();
    announcements = createAnnouncements({ clock, epoch: "1", isDraining: (_, name) => name === "draining" });
    const routes = createAnnouncementRoutes({ clock, announcements });
    server = createServer(async (request, response) => {
        if (!await routes(request, response)) {
            response.writeHead(418).end("not found here");
        }
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
});

When(
    "a {word} to {string} contains an announcement",
    (method: string, path: string) => send(method, path, request => request.end(ANNOUNCEMENT)),
);

When(
    "a {word} to {string} contains a leaving announcement",
    (method: string, path: string) =>
        send(method, path, request => request.end(JSON.stringify({ ...JSON.parse(ANNOUNCEMENT), leaving: true }))),
);

When(
    "a {word} to {string} contains no body",
    (method: string, path: string) => send(method, path, request => request.end()),
);

When(
    "a {word} to {string} contains {string}",
    (method: string, path: string, body: string) => send(method, path, request => request.end(body)),
);

When(
    "a {word} to {string} contains {int} bytes",
    (method: string, path: string, length: number) => send(method, path, request => request.end("x".repeat(length))),
);

When("a DELETE to {string} is sent", (path: string) => send("DELETE", path, request => request.end()));

When(
    "a PUT to {string} sends an incomplete body for {int} ms",
    (path: string, milliseconds: number) =>
        send("PUT", path, async request => {
            request.write("{");
            await once(server as Server, "request");
            await clock.advance(milliseconds);
        }),
);

Then("the response is {int} with {string}", (expected: number, body: string) => {
    assert.deepEqual([status, text], [expected, body]);
});

Then("the response is {int}", (expected: number) => {
    assert.equal(status, expected);
});

Then("the response is {int} and contains {string}", (expected: number, message: string) => {
    assert.equal(status, expected);
    assert.ok(text.includes(message), text);
});

const isKnown = (name: string) => announcements.backendServers("stoc").some(backend => backend.name === name);

Then("the backend server {string} is known", (name: string) => assert.ok(isKnown(name)));

Then("the backend server {string} is not known", (name: string) => assert.ok(!isKnown(name)));
