import { After, Given, Then, When } from "@cucumber/cucumber";
import { createSystemClock } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { prepareServerStop, type StopServer } from "../stop-server.js";

const HOST = "127.0.0.1";

let server: Server | undefined;
let stop: StopServer;
let stopped: Promise<string>;
let isConnecting = false;

After(() => {
    isConnecting = false;
    server?.closeAllConnections();
    server?.close();
    server = undefined;
});

Given("a server whose stop has no time limit", async () => {
    server = createServer((_request, response) => void response.end("done"));
    stop = prepareServerStop(server, createSystemClock());
    server.listen(0, HOST);
    await once(server, "listening");
});
When("clients keep connecting while it stops", () => {
    const { port } = server?.address() as AddressInfo;
    isConnecting = true;
    /** Opens connections faster than they are accepted, which is one in each turn of the event loop. */
    const connectTwice = () => {
        if (isConnecting) {
            [1, 2].forEach(() => {
                const client = connect(port, HOST, () => client.destroy());
                client.on("error", () => undefined);
            });
            setImmediate(connectTwice);
        }
    };
    connectTwice();
    stopped = stop().then(() => "stopped");
});
Then("it has stopped within {int} ms", { timeout: 30_000 }, async (milliseconds: number) => {
    assert.equal(await Promise.race([stopped, sleep(milliseconds, "still stopping")]), "stopped");
});
