import { After, Given, Then, When } from "@cucumber/cucumber";
import { findFreePorts } from "@hyssopfront/bench/deployment/free-ports.ts";
import type { ProductProcess } from "@hyssopfront/bench/deployment/product-process.ts";
import assert from "node:assert/strict";
import { execFile, execFileSync } from "node:child_process";
import { once } from "node:events";
import { existsSync, mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { request as httpRequest } from "node:http";
import { createServer, type Server } from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { runningSystem, setPlaceholder, setResult } from "../development-system.steps.js";

const ROOT = resolve(import.meta.dirname, "../../../../..");
const BINARY = join(ROOT, "dist/hyssopfront");
const BODY_BYTES = 40;
const POLL_MS = 20;

let folder: string;
let serverOnPort: Server | undefined;
let inFlightResponse: Promise<string>;
let exitCode: number | undefined;
let stoppedSystem: ProductProcess;

const makeFolder = () => {
    folder = mkdtempSync(join(tmpdir(), "hyssopfront-command-"));
    return folder;
};

After(() => {
    serverOnPort?.close();
    serverOnPort = undefined;
    if (folder !== undefined) {
        rmSync(folder, { recursive: true, force: true });
    }
});

const formatSettings = (roleTable: string, address = "127.0.0.1") =>
    [
        "clusterId = \"development\"",
        `[instance]\nname = "control-1"\naddress = "${address}"\navailabilityZone = "sibiu-1"`,
        roleTable,
        "[[controlInstances]]\nname = \"control-1\"\naddress = \"127.0.0.1\"\navailabilityZone = \"sibiu-1\"",
        "peerPort = 1\noperatorPort = 2",
    ].join("\n");

Given("invalid settings of a control instance", () => {
    const file = join(makeFolder(), "broken.toml");
    const roleTable = `[control]\npeerPort = 1\noperatorPort = 2\ndataFolder = "${join(folder, "data")}"`;
    writeFileSync(file, formatSettings(roleTable, "localhost"));
    setPlaceholder("BROKEN", file);
    setPlaceholder("MISSING", join(folder, "missing.toml"));
});

Then("no data folder was created", () => {
    assert.ok(!existsSync(join(folder, "data")));
});

const ENTRY_KEYS = ["callerPort", "adminPort", "peerPort"];

const formatEntryTable = (ports: readonly number[]) =>
    ["[entry]", ...ENTRY_KEYS.map((key, index) => `${key} = ${ports[index]}`)].join("\n");

Given("the settings of an entry whose token is {string}", async (token: string) => {
    const tokenFile = join(makeFolder(), "token");
    writeFileSync(tokenFile, `${token}\n`);
    const file = join(folder, "token.toml");
    const ports = await findFreePorts(ENTRY_KEYS.length);
    writeFileSync(file, formatSettings(`${formatEntryTable(ports)}\n[operators]\ntokenFile = "${tokenFile}"`));
    setPlaceholder("SETTINGS", file);
});

Given(/^the settings of an entry whose (\w+) is in use$/, async (portKey: string) => {
    const ports = await findFreePorts(ENTRY_KEYS.length);
    const port = ports[ENTRY_KEYS.indexOf(portKey)]!;
    serverOnPort = createServer();
    serverOnPort.listen(port, "127.0.0.1");
    await once(serverOnPort, "listening");
    const file = join(makeFolder(), "taken.toml");
    writeFileSync(file, formatSettings(formatEntryTable(ports)));
    setPlaceholder("SETTINGS", file);
});

Given("the built binary in an empty folder", () => {
    makeFolder();
    if (!existsSync(BINARY)) {
        execFileSync(process.execPath, [join(ROOT, "tools/build-binary.mjs")], { stdio: "ignore" });
    }
});

When("the binary is run with {string}", async (option: string) => {
    const emptyFolder = join(folder, "empty");
    mkdirSync(emptyFolder, { recursive: true });
    const env = { ...process.env, NODE_OPTIONS: "" };
    await new Promise<void>(resolveRun => {
        const child = execFile(BINARY, [option], { cwd: emptyFolder, env }, (_error, output, errors) => {
            setResult({ code: child.exitCode ?? undefined, output, errors });
            resolveRun();
        });
    });
});

/** Waits until the status of the first entry satisfies a condition; fails by the timeout of the step. */
async function waitForEntryState(
    admin: string,
    isSatisfied: (state: Record<string, unknown>) => boolean,
): Promise<void> {
    for (;;) {
        const { body } = await request(`http://${admin}/v1/status`);
        if (isSatisfied(await body.json() as Record<string, unknown>)) {
            return;
        }
        await delay(POLL_MS);
    }
}

Given("the entry serves requests", async () => {
    const { entry } = await runningSystem();
    // An entry that has just started gets its slot quotas only after some renewals.
    for (let status = 0; status !== 200; await delay(POLL_MS)) {
        const response = await request(`http://${entry}/stoc/search`);
        await response.body.dump();
        status = response.statusCode;
    }
});

const sendSignals = async (signals: readonly ("SIGINT" | "SIGTERM")[]) => {
    const { admin, entry, process: system } = await runningSystem();
    const headers = { "content-length": BODY_BYTES };
    const sending = httpRequest(`http://${entry}/stoc/search`, { method: "GET", headers });
    inFlightResponse = new Promise((resolveResponse, reject) => {
        sending.once("error", reject);
        sending.once("response", response => {
            response.toArray().then(chunks => resolveResponse(`${response.statusCode} ${chunks.join("")}`), reject);
        });
    });
    // The last byte of the body is sent after the signal, so the request is in flight when the shutdown begins.
    sending.write("x".repeat(BODY_BYTES - 1));
    await waitForEntryState(admin, ({ inFlight }) => inFlight === 1);
    const [firstSignal, ...laterSignals] = signals;
    const ended = system.signal(firstSignal!);
    await waitForEntryState(admin, ({ isLeaving }) => isLeaving === true);
    laterSignals.forEach(signal => void system.signal(signal));
    await waitForEntryState(admin, ({ isLeaving }) => isLeaving === true);
    sending.end("x");
    [stoppedSystem, exitCode] = [system, await ended];
};

When("SIGINT is sent while a request is in flight", () => sendSignals(["SIGINT"]));

When("SIGTERM is sent twice while a request is in flight", () => sendSignals(["SIGTERM", "SIGTERM"]));

Then("the response is complete and the process exits with code 0 and no error output", async () => {
    assert.match(await inFlightResponse, /^200 \{.*"path":"\/search"\}\n$/);
    assert.deepEqual([exitCode, stoppedSystem.errorOutput], [0, ""]);
});
