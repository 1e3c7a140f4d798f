import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { connect } from "node:net";
import { type CallerResponse, createCaller } from "../../caller/caller.js";
import { defineCommonSteps } from "../common-steps.js";
import { waitUntil } from "../scenario-world.js";

const LOOKUP_TIME_TO_LIVE_MS = 2_000;
const LONG_REQUEST_MS = 5_000;

const common = defineCommonSteps();
let longResponses: Promise<readonly CallerResponse[]>;
let exitCode: number | undefined;
let acceptedMilliseconds: number;

const acceptsConnection = (port: number) =>
    new Promise<boolean>(resolve => {
        const socket = connect(port, "127.0.0.1");
        socket.once("connect", () => resolve(true));
        socket.once("error", () => resolve(false));
        socket.once("connect", () => socket.destroy());
    });

When("{word} is killed", (name: string) => common.scenario.deployment.signal(name, "SIGKILL"));
When("{word} starts again", (name: string) => common.scenario.deployment.start(name));

Then("{word} holds a view lease again", (name: string) => common.scenario.waitForViewLease(name, true));

Given("long requests in flight at {word}", async (name: string) => {
    const { deployment } = common.scenario;
    const servers = deployment.backendServers.filter(({ service }) => service === "expeditie");
    servers.forEach(server => server.setServiceMilliseconds(LONG_REQUEST_MS));
    const caller = createCaller({ service: "", entries: [] });
    const entry = deployment.callerUrls.get(name)!;
    const sent = Array.from(
        { length: 3 },
        (_, index) =>
            caller.send({
                id: `long-${index}`,
                path: "expeditie/long",
                headers: { "test-answer-bytes": "100000", "hyssop-hedge": "off" },
            }, entry),
    );
    longResponses = Promise.all(sent).finally(() => caller.close());
    const ended: string[] = [];
    sent.forEach((response, index) =>
        void response.then(
            result => ended.push(`long-${index} with ${JSON.stringify(result).slice(0, 300)}`),
            (error: unknown) => ended.push(`long-${index} with ${String(error)}`),
        )
    );
    const countRunning = () => servers.reduce((sum, { running }) => sum + running, 0);
    await waitUntil("all long requests to run", () => countRunning() === 3).catch((error: unknown) => {
        const endedText = ended.length === 0 ? "none ended" : ended.join("; ");
        throw new Error(`${countRunning()} of 3 long requests are running; ${endedText}.`, { cause: error });
    });
});

When("{word} is stopped gracefully", async (name: string) => {
    const { deployment } = common.scenario;
    const port = Number(new URL(deployment.callerUrls.get(name)!).port);
    const startedAt = performance.now();
    const ended = deployment.signal(name, "SIGTERM").then(code => {
        exitCode = code;
        return true;
    });
    let hasEnded = false;
    void ended.then(() => hasEnded = true);
    acceptedMilliseconds = 0;
    await waitUntil("the entry to exit", async () => {
        const connectingAt = performance.now();
        if (await acceptsConnection(port)) {
            acceptedMilliseconds = connectingAt - startedAt;
        }
        return hasEnded;
    });
});

Then("the long requests received their complete responses", async () => {
    (await longResponses).forEach((response, index) => {
        assert.deepEqual([response.status, response.outcome], [200, "run"], JSON.stringify(response).slice(0, 300));
        assert.ok(response.body.length === 100_000 && response.body.startsWith(`long-${index}|`));
    });
});

Then("{word} accepted connections for the time to live of lookup results and exited with code 0", (name: string) => {
    assert.ok(
        acceptedMilliseconds >= LOOKUP_TIME_TO_LIVE_MS,
        `${name} accepted connections for ${acceptedMilliseconds.toFixed(0)} ms.`,
    );
    assert.equal(exitCode, 0);
});
