import { Then, When } from "@cucumber/cucumber";
import { createManualClock } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { createAnnouncements } from "../../announcements/create-announcements.js";
import { lastResponse, theCaller, world } from "../world.steps.js";

/** Large against all else that a request leaves, and below the limit of the entry for headers. */
const HEADER_BYTES = 12_288;

let sentBytes: number;
/** What two scavenges left and only a full collection freed. */
let keptBytes: number;

setFlagsFromString("--expose-gc");
const collect = runInNewContext("gc") as NodeJS.GCFunction;
setFlagsFromString("--no-expose-gc");

const measureKept = async (act: () => unknown) => {
    collect();
    await act();
    // An object that lives is in the old generation after two scavenges.
    collect({ type: "minor" });
    collect({ type: "minor" });
    const before = process.memoryUsage().heapUsed;
    collect();
    keptBytes = before - process.memoryUsage().heapUsed;
};

const sendInTurn = async (count: number, headers: Record<string, string>, body?: Buffer) => {
    for (let index = 0; index < count; index += 1) {
        world.answers.push(await theCaller().send({ id: "r", method: "PUT", headers, body }));
        assert.equal(lastResponse().status, 200, JSON.stringify(lastResponse()));
    }
};

When(
    "the caller sends {int} idempotent requests with a large header and a body of {int} bytes",
    async (count: number, bodyBytes: number) => {
        const headers = { "test-large": "x".repeat(HEADER_BYTES) };
        const body = bodyBytes === 0 ? undefined : Buffer.alloc(bodyBytes, "x");
        // Connections and other things that outlive a request are there before the count.
        await sendInTurn(1, headers, body);
        await measureKept(() => sendInTurn(count, headers, body));
        sentBytes = count * HEADER_BYTES;
    },
);

Then("scavenges alone freed the requests", () => {
    // Each request that is kept keeps at least its copy of the header.
    assert.ok(keptBytes < sentBytes / 2, `Only a full collection freed ${keptBytes} of ${sentBytes} bytes of headers.`);
});

When("an entry is asked {int} times whether a backend server is usable", async (count: number) => {
    const announcements = createAnnouncements({
        clock: createManualClock(),
        epoch: "entry",
        isDraining: () => false,
        pull: () => new Promise(() => undefined),
    });
    announcements.announce("stoc", "die-1", {
        address: "127.0.0.1",
        port: 9_000,
        availabilityZone: "sibiu-1",
        incarnation: "i1",
        slots: 6,
        leaving: false,
    });
    const [server] = announcements.backendServers("stoc");
    assert.ok(server);
    await measureKept(() => {
        for (let index = 0; index < count; index += 1) {
            assert.ok(announcements.isUsable(server));
        }
    });
    await announcements.stop();
});

Then("scavenges alone freed what {int} questions needed", (count: number) => {
    // A hidden class with its descriptors has more than 100 bytes.
    assert.ok(keptBytes < count * 100, `Only a full collection freed ${keptBytes} bytes.`);
});
