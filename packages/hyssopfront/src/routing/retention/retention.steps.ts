import { Then, When } from "@cucumber/cucumber";
import { createManualClock } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { createAnnouncements } from "../../announcements/create-announcements.js";
import { lastResponse, theCaller, world } from "../world.steps.js";

/** Larger than all other memory of a request, and below the entry's limit for headers. */
const HEADER_BYTES = 12_288;

let sentHeaderBytes: number;
/** Bytes that were left after two scavenges and that only a full collection freed. */
let retainedBytes: number;

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as NodeJS.GCFunction;
setFlagsFromString("--no-expose-gc");

const measureRetainedBytes = async (action: () => unknown) => {
    collectGarbage();
    await action();
    // An object that survives two scavenges is in the old generation.
    collectGarbage({ type: "minor" });
    collectGarbage({ type: "minor" });
    const before = process.memoryUsage().heapUsed;
    collectGarbage();
    retainedBytes = before - process.memoryUsage().heapUsed;
};

const sendSequentially = async (count: number, headers: Record<string, string>, body?: Buffer) => {
    for (let index = 0; index < count; index += 1) {
        world.responses.push(await theCaller().send({ id: "r", method: "PUT", headers, body }));
        assert.equal(lastResponse().status, 200, JSON.stringify(lastResponse()));
    }
};

When(
    "the caller sends {int} idempotent requests with a large header and a body of {int} bytes",
    async (count: number, bodyBytes: number) => {
        const headers = { "test-large": "x".repeat(HEADER_BYTES) };
        const body = bodyBytes === 0 ? undefined : Buffer.alloc(bodyBytes, "x");
        // Creates connections and other objects that outlive a request before the measurement.
        await sendSequentially(1, headers, body);
        await measureRetainedBytes(() => sendSequentially(count, headers, body));
        sentHeaderBytes = count * HEADER_BYTES;
    },
);

Then("scavenges alone freed the requests", () => {
    // Each retained request holds at least its copy of the header.
    assert.ok(
        retainedBytes < sentHeaderBytes / 2,
        `Only a full collection freed ${retainedBytes} of ${sentHeaderBytes} bytes of headers.`,
    );
});

When("an entry checks {int} times whether a backend server is usable", async (count: number) => {
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
    await measureRetainedBytes(() => {
        for (let index = 0; index < count; index += 1) {
            assert.ok(announcements.isUsable(server));
        }
    });
    await announcements.stop();
});

Then("scavenges alone freed the memory of {int} checks", (count: number) => {
    // A hidden class and its descriptors take more than 100 bytes.
    assert.ok(retainedBytes < count * 100, `Only a full collection freed ${retainedBytes} bytes.`);
});
