import { BeforeAll, Given, Then, When } from "@cucumber/cucumber";
import { findFreePorts } from "@hyssopfront/bench/deployment/free-ports.ts";
import { startProductProcess } from "@hyssopfront/bench/deployment/product-process.ts";
import assert from "node:assert/strict";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { createCommandLine } from "./app.js";
import { runCommand, runningSystem, type RunResult, setResult, startProcess } from "./development-system.steps.js";

const CONCURRENT_COMMANDS = 4;

let table: RunResult;
let json: RunResult;
let watchOutput: string;

const definitions = createCommandLine("1").definitions().filter(({ path }) => !path.includes(" -"));

let commandWithoutServer: Promise<RunResult>;

// Takes 15 s, so it runs in parallel with the other scenarios. Nothing listens on port 1.
BeforeAll(() => {
    commandWithoutServer = startProductProcess(["status", "-s", "127.0.0.1:1"]).then(async process => ({
        code: await process.ended,
        output: process.output,
        errors: process.errorOutput,
    }));
});

When("the command whose servers do not respond has exited", async () => {
    setResult(await commandWithoutServer);
});

const putResource = async (control: string, path: string, spec: object) => {
    const response = await request(`http://${control}${path}`, {
        method: "PUT",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({ spec }),
    });
    await response.body.dump();
    assert.equal(response.statusCode, 201);
};

const drainSpec = (name: string) => ({ target: { backendServer: { service: "stoc", name } } });

Then("the help of each command describes it and shows an example", async () => {
    assert.equal(definitions.length, 15);
    const remaining = [...definitions];
    const runWorker = async () => {
        for (let next = remaining.shift(); next !== undefined; next = remaining.shift()) {
            const { path, description, examples } = next;
            const { code, output } = await runCommand(`${path.replace("hyssopfront ", "")} --help`);
            assert.equal(code, 0);
            assert.ok(description !== undefined && output.includes(description.trim()), output);
            assert.ok((examples ?? []).length > 0, `${path} has no example.`);
            examples?.forEach(([, example]) => assert.ok(output.includes(example), output));
        }
    };
    await Promise.all(Array.from({ length: CONCURRENT_COMMANDS }, runWorker));
});

When("{string} is run with both output formats", async (command: string) => {
    const runTable = () => runCommand(command);
    const runJson = () => runCommand(`${command} -o json`);
    // Two concurrent changes of the same resource could conflict.
    const isChange = /^(apply|drain|shift) /.test(command);
    [table, json] = isChange ? [await runTable(), await runJson()] : await Promise.all([runTable(), runJson()]);
});

Then("the table contains {string} and the JSON has the member {string}", (text: string, member: string) => {
    assert.deepEqual([table.code, json.code], [0, 0], table.errors + json.errors);
    assert.ok(table.output.includes(text), table.output);
    assert.ok(member in JSON.parse(json.output), json.output);
});

/** Starts a proxy to the control instance that runs `makeRivalChange` right before it forwards the first PUT. */
async function startRacingProxy(control: string, makeConcurrentChange: () => Promise<void>) {
    let isChanged = false;
    const server = createServer(async (incoming, response) => {
        const chunks = await incoming.toArray() as Buffer[];
        if (incoming.method === "PUT" && !isChanged) {
            isChanged = true;
            await makeConcurrentChange();
        }
        const upstreamResponse = await request(`http://${control}${incoming.url}`, {
            method: incoming.method as "GET",
            headers: { "content-type": "application/json" },
            body: chunks.length === 0 ? undefined : Buffer.concat(chunks),
        });
        response.writeHead(upstreamResponse.statusCode).end(await upstreamResponse.body.text());
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, close: () => server.close() };
}

When("a drain {string} is applied but another operator applies it first", async (name: string) => {
    const { control } = await runningSystem();
    const proxy = await startRacingProxy(
        control,
        () => putResource(control, `/v1/drains/${name}`, drainSpec("stoc-1-1")),
    );
    setResult(await runCommand(`drain ${name} backend-server/stoc/stoc-1-2 -s ${proxy.address}`));
    proxy.close();
});

Given("an entry {string} in a separate process that is suspended", async (name: string) => {
    const { basePort } = await runningSystem();
    const [callerPort, adminPort, peerPort] = await findFreePorts(3);
    const folder = mkdtempSync(join(tmpdir(), "hyssopfront-entry-"));
    const file = join(folder, "entry.toml");
    writeFileSync(
        file,
        [
            "clusterId = \"development\"",
            `[instance]\nname = "${name}"\naddress = "127.0.0.1"\navailabilityZone = "sibiu-1"`,
            `[entry]\ncallerPort = ${callerPort}\nadminPort = ${adminPort}\npeerPort = ${peerPort}`,
            "[[controlInstances]]\nname = \"control-1\"\naddress = \"127.0.0.1\"\navailabilityZone = \"sibiu-1\"",
            `peerPort = ${basePort + 101}\noperatorPort = ${basePort + 102}`,
        ].join("\n"),
    );
    const entry = await startProcess(["entry", file]);
    await entry.waitForLine(/^ready$/);
    rmSync(folder, { recursive: true, force: true });
    await entry.signal("SIGSTOP");
});

When("a drain {string} is applied with {string}", async (name: string, wait: string) => {
    const { control } = await runningSystem();
    const folder = mkdtempSync(join(tmpdir(), "hyssopfront-apply-"));
    const file = join(folder, "drain.json");
    writeFileSync(file, JSON.stringify({ resources: [{ kind: "Drain", name, spec: drainSpec("stoc-2-1") }] }));
    setResult(await runCommand(`apply -f ${file} ${wait} -s ${control}`));
    rmSync(folder, { recursive: true, force: true });
});

When("a watch is started without a revision and a drain {string} is applied", async (name: string) => {
    const { control } = await runningSystem();
    const watch = await startProcess(["watch", "-s", control]);
    await watch.waitForLine(/"type":"progress"/);
    await putResource(control, `/v1/drains/${name}`, drainSpec("stoc-1-1"));
    await watch.waitForLine(new RegExp(`"name":"${name}"`));
    watchOutput = watch.output;
});

Then("the watch prints the change of {string} and no earlier change", (name: string) => {
    const events = watchOutput.trim().split("\n").map(line => JSON.parse(line) as { type: string; name?: string });
    assert.deepEqual(events.filter(({ type }) => type !== "progress").map(event => event.name), [name]);
});
