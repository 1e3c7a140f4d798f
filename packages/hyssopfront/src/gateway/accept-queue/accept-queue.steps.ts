import { After, Given, Then, When } from "@cucumber/cucumber";
import { createSystemClock, NO_COUNTERS } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, createServer as createNetServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { NO_EVENT_LOG } from "../../event-log/event-log.js";
import { watchAcceptQueue } from "../accept-queue.js";

const HOST = "127.0.0.1";

let server: Server;
let callers: Socket[] = [];
let isBusy = false;
let accepted: number;
let overdueConnections: number;
let waits: boolean[];

async function findFreePort(): Promise<number> {
    const other = createNetServer().listen(0, HOST);
    await once(other, "listening");
    const { port } = other.address() as AddressInfo;
    other.close();
    await once(other, "close");
    return port;
}

After(() => {
    isBusy = false;
    callers.forEach(caller => caller.destroy());
    server.closeAllConnections();
    server.close();
});

Given("a server each of whose turns of the event loop takes {int} ms", async (milliseconds: number) => {
    accepted = 0;
    overdueConnections = 0;
    waits = [];
    const port = await findFreePort();
    server = createServer();
    server.on("connection", () => accepted += 1);
    const queue = watchAcceptQueue(server, {
        clock: createSystemClock(),
        counters: {
            ...NO_COUNTERS,
            increment: name => {
                overdueConnections += name === "gateway.connections_overdue" ? 1 : 0;
            },
        },
        log: NO_EVENT_LOG,
        address: HOST,
        port,
    });
    server.on("request", (message, response) => {
        waits.push(queue.takeWait(message.socket).isTooLong);
        response.end();
    });
    server.listen(port, HOST);
    await once(server, "listening");
    isBusy = true;
    const takeTurn = () => {
        const endsAt = performance.now() + milliseconds;
        while (performance.now() < endsAt) {
            // Busy.
        }
        if (isBusy) {
            setImmediate(takeTurn);
        }
    };
    takeTurn();
});
When(
    "{int} callers connect at once and send their requests after all connections are accepted and {int} ms have passed",
    { timeout: 30_000 },
    async (count: number, milliseconds: number) => {
        const { port } = server.address() as AddressInfo;
        callers = Array.from({ length: count }, () => connect(port, HOST));
        await Promise.all(callers.map(caller => once(caller, "connect")));
        while (accepted < count) {
            await sleep(10);
        }
        await sleep(milliseconds);
        isBusy = false;
        await Promise.all(callers.map(async caller => {
            caller.write("GET / HTTP/1.1\r\nhost: gateway.example\r\n\r\n");
            await once(caller, "data");
        }));
    },
);
Then(
    "at least {int} connections have waited too long, and {int} of {int} requests",
    (fewest: number, overdue: number, count: number) => {
        assert.ok(overdueConnections >= fewest, `${overdueConnections} connections have waited too long.`);
        assert.deepEqual([waits.filter(Boolean).length, waits.length], [overdue, count]);
    },
);
