/**
 * The development system and the commands that the scenarios of this folder run, as processes of their own.
 */
import { After, AfterAll, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import { findFreePorts } from "@hyssopfront/bench/deployment/free-ports.ts";
import { type ProductProcess, startProductProcess } from "@hyssopfront/bench/deployment/product-process.ts";
import assert from "node:assert/strict";
import { resolve } from "node:path";

setDefaultTimeout(60_000);

// Help and errors are compared as plain text.
process.env.FORCE_COLOR = "0";
process.chdir(resolve(import.meta.dirname, "../../../.."));

/** Offsets of the ports that `dev` takes, from its base port. */
const DEVELOPMENT_PORT_OFFSETS = [1, 2, 3, 11, 12, 13, 101, 102, 201, 202, 203, 204];
const START_ATTEMPTS = 5;

export type System = {
    readonly process: ProductProcess;
    readonly basePort: number;
    /** Addresses with ports. */
    readonly control: string;
    readonly entry: string;
    readonly admin: string;
};

export type RunResult = { readonly code: number | undefined; readonly output: string; readonly errors: string };

let system: System | undefined;
let result: RunResult;
const replacements = new Map<string, string>();
const startedProcesses = new Set<ProductProcess>();

const toSystem = (basePort: number, process: ProductProcess): System => ({
    process,
    basePort,
    control: `127.0.0.1:${basePort + 102}`,
    entry: `127.0.0.1:${basePort + 1}`,
    admin: `127.0.0.1:${basePort + 2}`,
});

/** Starts `dev`; another process may take one of its ports first, and it is then started elsewhere. */
async function startSystem(): Promise<System> {
    let errors = "";
    for (let attempt = 0; attempt < START_ATTEMPTS; attempt += 1) {
        const ports = new Set(await findFreePorts(DEVELOPMENT_PORT_OFFSETS.at(-1)! + 1));
        const basePort = [...ports][0]!;
        if (DEVELOPMENT_PORT_OFFSETS.every(offset => ports.has(basePort + offset))) {
            const process = await startProductProcess(["dev", "--base-port", String(basePort)]);
            const isReady = await process.waitForLine(/Ctrl-C stops/).then(() => true, () => false);
            if (isReady) {
                return toSystem(basePort, process);
            }
            errors = process.errorOutput;
        }
    }
    throw new Error(`The development system did not start: ${errors}`);
}

/** The running system, which the scenarios share since its start and stop take seconds. */
export async function runningSystem(): Promise<System> {
    if (system === undefined || !system.process.isRunning) {
        system = await startSystem();
        replacements.set("CONTROL", system.control);
        replacements.set("ENTRY", system.entry);
        replacements.set("ADMIN", system.admin);
    }
    return system;
}

/** Lets commands name something that is known only when they run. */
export function setReplacement(name: string, value: string): void {
    replacements.set(name, value);
}

/** Starts a process that ends with its scenario at the latest. */
export async function startProcess(words: readonly string[]): Promise<ProductProcess> {
    const process = await startProductProcess(words);
    startedProcesses.add(process);
    return process;
}

/** Runs one command to its end. */
export async function runCommand(text: string): Promise<RunResult> {
    const words = text.split(" ").filter(word => word !== "").map(word => replacements.get(word) ?? word);
    const process = await startProcess(words);
    const code = await process.ended;
    return { code, output: process.output, errors: process.errorOutput };
}

/** Sets what the steps about the exit code and the output check. */
export function setResult(changed: RunResult): void {
    result = changed;
}

After(async () => {
    await Promise.all([...startedProcesses].map(process => process.signal("SIGKILL")));
    startedProcesses.clear();
});

AfterAll(async () => {
    await system?.process.signal("SIGKILL");
});

Given("a running development system", async () => {
    await runningSystem();
});

When("{string} is run", async (command: string) => {
    setResult(await runCommand(command));
});

Then(
    /^the exit code is (\d) and the (error output|output) holds "(.*)"$/,
    (code: string, where: string, text: string) => {
        assert.deepEqual([result.code, result.errors], [Number(code), code === "0" ? "" : result.errors]);
        const printed = where === "output" ? result.output : result.output + result.errors;
        assert.ok(printed.includes(text), printed);
    },
);

Then("the error output holds {string}", (text: string) => {
    assert.ok(result.errors.includes(text), result.errors);
});

Then("the output holds {string}", (text: string) => {
    assert.ok(result.output.includes(text), result.output);
});
