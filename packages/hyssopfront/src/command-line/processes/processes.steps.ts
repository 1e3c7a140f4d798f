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
import { runningSystem, setReplacement, setResult } from "../world.steps.js";

const ROOT = resolve(import.meta.dirname, "../../../../..");
const BINARY = join(ROOT, "dist/hyssopfront");
const BODY_BYTES = 40;
const POLL_MS = 20;

let folder: string;
let portHolder: Server | undefined;
let answer: Promise<string>;
let exitCode: number | undefined;
let stopped: ProductProcess;

const makeFolder = () => {
    folder = mkdtempSync(join(tmpdir(), "hyssopfront-command-"));
    return folder;
};

After(() => {
    portHolder?.close();
    portHolder = undefined;
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

Given("broken settings of a control instance", () => {
    const file = join(makeFolder(), "broken.toml");
    const own = `[control]\npeerPort = 1\noperatorPort = 2\ndataFolder = "${join(folder, "data")}"`;
    writeFileSync(file, formatSettings(own, "localhost"));
    setReplacement("BROKEN", file);
    setReplacement("MISSING", join(folder, "missing.toml"));
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
    setReplacement("SETTINGS", file);
});

Given(/^the settings of an entry whose (\w+) is taken$/, async (taken: string) => {
    const ports = await findFreePorts(ENTRY_KEYS.length);
    const port = ports[ENTRY_KEYS.indexOf(taken)]!;
    portHolder = createServer();
    portHolder.listen(port, "127.0.0.1");
    await once(portHolder, "listening");
    const file = join(makeFolder(), "taken.toml");
    writeFileSync(file, formatSettings(formatEntryTable(ports)));
    setReplacement("SETTINGS", file);
});

Given("the built binary in an empty folder", () => {
    makeFolder();
    if (!existsSync(BINARY)) {
        execFileSync(process.execPath, [join(ROOT, "tools/build-binary.mjs")], { stdio: "ignore" });
    }
});

When("the binary is run with {string}", async (option: string) => {
    const own = join(folder, "empty");
    mkdirSync(own, { recursive: true });
    const env = { ...process.env, NODE_OPTIONS: "" };
    await new Promise<void>(resolveRun => {
        const child = execFile(BINARY, [option], { cwd: own, env }, (_error, output, errors) => {
            setResult({ code: child.exitCode ?? undefined, output, errors });
            resolveRun();
        });
    });
});

/** Waits until the state of the first entry is as wanted; the bound on steps ends the wait. */
async function waitForEntryState(admin: string, isWanted: (state: Record<string, unknown>) => boolean): Promise<void> {
    for (;;) {
        const { body } = await request(`http://${admin}/v1/status`);
        if (isWanted(await body.json() as Record<string, unknown>)) {
            return;
        }
        await delay(POLL_MS);
    }
}

Given("requests are served", async () => {
    const { entry } = await runningSystem();
    // An entry that has just started gets its portions of the slots after some renewals.
    for (let status = 0; status !== 200; await delay(POLL_MS)) {
        const answered = await request(`http://${entry}/stoc/search`);
        await answered.body.dump();
        status = answered.statusCode;
    }
});

When("SIGINT is sent while a request is in flight", async () => {
    const { admin, entry, process: system } = await runningSystem();
    const headers = { "content-length": BODY_BYTES };
    const sending = httpRequest(`http://${entry}/stoc/search`, { method: "GET", headers });
    answer = new Promise((resolveAnswer, reject) => {
        sending.once("error", reject);
        sending.once("response", response => {
            response.toArray().then(chunks => resolveAnswer(`${response.statusCode} ${chunks.join("")}`), reject);
        });
    });
    // The rest of the body follows after the signal, so the request is in flight when the stop begins.
    sending.write("x".repeat(BODY_BYTES - 1));
    await waitForEntryState(admin, ({ inFlight }) => inFlight === 1);
    const ended = system.signal("SIGINT");
    await waitForEntryState(admin, ({ isLeaving }) => isLeaving === true);
    sending.end("x");
    [stopped, exitCode] = [system, await ended];
});

Then("the request is answered in full and the process ends with code 0 and no error output", async () => {
    assert.match(await answer, /^200 \{.*"path":"\/search"\}\n$/);
    assert.deepEqual([exitCode, stopped.errorOutput], [0, ""]);
});
