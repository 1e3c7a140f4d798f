import { After, Then, When } from "@cucumber/cucumber";
import { findFreePorts } from "@hyssopfront/bench/deployment/free-ports.ts";
import assert from "node:assert/strict";
import { type ChildProcess, execFileSync, spawn } from "node:child_process";
import { once } from "node:events";
import { readdirSync, readFileSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { checkKey, KeyValidity } from "../../run-once/idempotency-key.js";
import { createCommandLine } from "../app.js";
import { runCommand, runningSystem } from "../development-system.steps.js";

const NAME = "example-1";
const SLOTS = 6;
const POLL_MS = 50;

let child: ChildProcess;
let address: string;
let errors: string;
let responseStatuses: Promise<number>[];
let inFlightResponse: Promise<string>;
let exitCode: number;
let key: string;

After(() => {
    if (child !== undefined && typeof child.exitCode !== "number") {
        child.kill("SIGKILL");
    }
});

/** Waits until the condition is true; fails by the timeout of the step. */
async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
    while (!await condition()) {
        await delay(POLL_MS);
    }
}

const isBackendServerKnown = async (admin: string) => {
    const { body } = await request(`http://${admin}/v1/status`);
    const state = await body.json() as { backendServers: Record<string, { name: string }[]> };
    return state.backendServers.stoc?.some(({ name }) => name === NAME) === true;
};

const send = async (milliseconds: number) => {
    const response = await request(`http://${address}/slow?milliseconds=${milliseconds}`);
    return { status: response.statusCode, headers: response.headers, text: await response.body.text() };
};

When("the example {string} is started for the service {string}", async (file: string, service: string) => {
    const { basePort, admin } = await runningSystem();
    const [port] = await findFreePorts(1);
    address = `127.0.0.1:${port}`;
    const entries = [`127.0.0.1:${basePort + 1}`, `127.0.0.1:${basePort + 11}`];
    child = spawn(
        process.execPath,
        [`docs/examples/${file}`, service, NAME, "sibiu-1", "127.0.0.1", String(port), ...entries],
        { stdio: ["ignore", "pipe", "pipe"], env: { ...process.env, NODE_OPTIONS: "" } },
    );
    errors = "";
    child.stderr!.on("data", data => errors += String(data));
    await once(child.stdout!, "data");
    await waitUntil(() => isBackendServerKnown(admin));
});

Then("it responds to requests to {string}", async (service: string) => {
    const { entry } = await runningSystem();
    await waitUntil(async () => {
        const response = await request(`http://${entry}/${service}/dies/42`);
        const text = await response.body.text();
        return response.headers["hyssop-backend-server"] === NAME && text === `${NAME} answers GET /dies/42\n`;
    });
});

Then("it rejects requests beyond its slots before running them", async () => {
    responseStatuses = Array.from({ length: SLOTS }, async () => (await send(500)).status);
    // Once a further request is rejected, which happens immediately, all six slots are in use.
    await waitUntil(async () => {
        const { status, headers } = await send(0);
        assert.equal(headers["hyssop-refused"], status === 503 ? "true" : undefined);
        return status === 503;
    });
    assert.deepEqual(await Promise.all(responseStatuses), Array.from({ length: SLOTS }, () => 200));
});

Then("it is used again after a drain has ended", async () => {
    const { admin } = await runningSystem();
    assert.equal((await runCommand(`drain example backend-server/stoc/${NAME} -s CONTROL`)).code, 0);
    await waitUntil(async () => !await isBackendServerKnown(admin));
    assert.equal((await runCommand("delete drain example -s CONTROL")).code, 0);
    await waitUntil(() => isBackendServerKnown(admin));
});

When("SIGTERM is sent to it while a request is in flight", async () => {
    const ended = once(child, "exit");
    inFlightResponse = send(1_000).then(({ text }) => text);
    await waitUntil(async () => {
        const { admin } = await runningSystem();
        const { body } = await request(`http://${admin}/v1/status`);
        const { backendServers } = await body.json() as { backendServers: { stoc: Record<string, unknown>[] } };
        return backendServers.stoc.some(({ name, freeSlots }) => name === NAME && freeSlots === SLOTS - 1);
    });
    child.kill("SIGTERM");
    [exitCode] = await ended as [number];
});

When("SIGTERM is sent to it and it has exited", async () => {
    const ended = once(child, "exit");
    child.kill("SIGTERM");
    [exitCode] = await ended as [number];
});

Then("the response is complete", async () => {
    assert.equal(await inFlightResponse, `${NAME} answers GET /slow?milliseconds=1000\n`);
});

Then("no entry knows the backend server, and it exited with code 0", async () => {
    const { admin } = await runningSystem();
    assert.equal(await isBackendServerKnown(admin), false);
    assert.deepEqual([exitCode, errors], [0, ""]);
});

When("the example that generates an idempotency key is run", () => {
    const env = { ...process.env, NODE_OPTIONS: "" };
    key = execFileSync(process.execPath, ["docs/examples/idempotency-key.mjs"], { env, encoding: "utf8" }).trim();
});

Then("the key is valid", () => {
    assert.equal(checkKey(key, Date.now()), KeyValidity.Valid);
});

const readPage = (name: string) => readFileSync(`docs/${name}`, "utf8");

Then("the page {string} contains the example {string} unchanged", (page: string, example: string) => {
    assert.ok(readPage(page).includes(`\n\`\`\`js\n${readPage(`examples/${example}`)}\`\`\`\n`));
});

Then("each command line in the documentation can be parsed", () => {
    const pages = readdirSync("docs").filter(name => name.endsWith(".md"));
    const lines = pages.flatMap(name => readPage(name).match(/^\$ hyssopfront .+$/gm) ?? []);
    assert.ok(lines.length > 10);
    lines.forEach(line => {
        // Parsing rejects unknown commands and options without running anything.
        assert.doesNotThrow(() => createCommandLine("1").process(line.split(" ").slice(2)), line);
    });
});

Then("each counter in the runbook occurs in the source code", () => {
    const names = readPage("runbook.md").match(/(?<=`)[a-z_]+\.[a-z_]+(?=[`{])/g) ?? [];
    assert.ok(names.length > 50);
    const files = readdirSync("packages", { recursive: true, encoding: "utf8" })
        .filter(name => /\/src\/.*(?<!\.steps)\.ts$/.test(name));
    const source = files.map(name => readFileSync(`packages/${name}`, "utf8")).join("\n");
    assert.deepEqual(names.filter(name => !source.includes(`"${name}"`)), []);
});
