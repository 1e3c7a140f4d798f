import { After, Given, Then, When } from "@cucumber/cucumber";
import { createManualClock, type ManualClock } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { reportAcceptErrors } from "./report-accept-errors.js";

const ADDRESS = "127.0.0.1";

let clock: ManualClock;
let server: Server | undefined;
let connection: Socket | undefined;
let lines: { readonly event: string; readonly code: unknown }[];
let counted: number;

Given("a server whose failures to accept are reported", async () => {
    clock = createManualClock();
    lines = [];
    counted = 0;
    const opened = createServer(socket => socket.on("error", () => undefined));
    server = opened;
    opened.listen(0, ADDRESS);
    await once(opened, "listening");
    reportAcceptErrors(opened, {
        clock,
        counters: { increment: () => void (counted += 1), gauge: () => undefined },
        log: (_level, event, fields) => void lines.push({ event, code: fields?.code }),
        listener: "callers",
    });
});
When("{int} connections cannot be accepted, {int} ms apart", async (count: number, milliseconds: number) => {
    for (let index = 0; index < count; index += 1) {
        server?.emit("error", Object.assign(new Error("accept EMFILE"), { code: "EMFILE" }));
        await clock.advance(milliseconds);
    }
});
Then(
    /^(\d+) lines? of the log tells? that accepting a connection failed with code "(\w+)"$/,
    (count: string, code: string) => {
        assert.deepEqual(
            lines,
            Array.from({ length: Number(count) }, () => ({ event: "accepting a connection failed", code })),
        );
    },
);
Then("{int} failures are counted", (count: number) => assert.equal(counted, count));
Then("the server accepts a connection", async () => {
    assert.ok(server !== undefined);
    const accepted = once(server, "connection");
    connection = connect((server.address() as AddressInfo).port, ADDRESS);
    await accepted;
});
After(() => {
    connection?.destroy();
    server?.close();
    server = undefined;
});
