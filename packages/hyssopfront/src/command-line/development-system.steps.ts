/**
 * Shared steps of this folder. The development system and each command run in a process of their own.
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

/** Ports that `dev` listens on, relative to its base port. */
const DEVELOPMENT_PORT_OFFSETS = [1, 2, 3, 11, 12, 13, 101, 102, 201, 202, 203, 204];
const START_ATTEMPTS = 5;

/** The running development system. */
export type DevelopmentSystem = {
    readonly process: ProductProcess;
    readonly basePort: number;
    /** Addresses of the first instances, with ports. */
    readonly control: string;
    readonly entry: string;
    readonly admin: string;
};

/** Exit code and output of a command. */
export type RunResult = { readonly code: number | undefined; readonly output: string; readonly errors: string };

let system: DevelopmentSystem | undefined;
let result: RunResult;
const placeholderValues = new Map<string, string>();
const startedProcesses = new Set<ProductProcess>();

const toDevelopmentSystem = (basePort: number, process: ProductProcess): DevelopmentSystem => ({
    process,
    basePort,
    control: `127.0.0.1:${basePort + 102}`,
    entry: `127.0.0.1:${basePort + 1}`,
    admin: `127.0.0.1:${basePort + 2}`,
});

/** Starts `dev`. Retries with another base port in case another process has taken one of its ports in the meantime. */
async function startSystem(): Promise<DevelopmentSystem> {
    let errors = "";
    for (let attempt = 0; attempt < START_ATTEMPTS; attempt += 1) {
        const ports = new Set(await findFreePorts(DEVELOPMENT_PORT_OFFSETS.at(-1)! + 1));
        const basePort = [...ports][0]!;
        if (DEVELOPMENT_PORT_OFFSETS.every(offset => ports.has(basePort + offset))) {
            const process = await startProductProcess(["dev", "--base-port", String(basePort)]);
            const isReady = await process.waitForLine(/Ctrl-C stops/).then(() => true, () => false);
            if (isReady) {
                return toDevelopmentSystem(basePort, process);
            }
            errors = process.errorOutput;
        }
    }
    throw new Error(`The development system did not start: ${errors}`);
}

/** Returns the development system. The scenarios share it, because starting and stopping it takes seconds. */
export async function runningSystem(): Promise<DevelopmentSystem> {
    if (system === undefined || !system.process.isRunning) {
        system = await startSystem();
        placeholderValues.set("CONTROL", system.control);
        placeholderValues.set("ENTRY", system.entry);
        placeholderValues.set("ADMIN", system.admin);
    }
    return system;
}

/** Sets the value of a placeholder in commands, such as a port that is known only at run time. */
export function setPlaceholder(name: string, value: string): void {
    placeholderValues.set(name, value);
}

/** Starts the binary; the process is killed at the end of the scenario. */
export async function startProcess(commandArguments: readonly string[]): Promise<ProductProcess> {
    const process = await startProductProcess(commandArguments);
    startedProcesses.add(process);
    return process;
}

/** Runs a command and waits until it exits. */
export async function runCommand(text: string): Promise<RunResult> {
    const commandArguments = text.split(" ").filter(argument => argument !== "").map(argument =>
        placeholderValues.get(argument) ?? argument
    );
    const process = await startProcess(commandArguments);
    const code = await process.ended;
    return { code, output: process.output, errors: process.errorOutput };
}

/** Sets the result that the steps for the exit code and the output check. */
export function setResult(newResult: RunResult): void {
    result = newResult;
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
    /^the exit code is (\d) and the (error output|output) contains "(.*)"$/,
    (code: string, where: string, text: string) => {
        assert.deepEqual([result.code, result.errors], [Number(code), code === "0" ? "" : result.errors]);
        const printed = where === "output" ? result.output : result.output + result.errors;
        assert.ok(printed.includes(text), printed);
    },
);

Then("the error output contains {string}", (text: string) => {
    assert.ok(result.errors.includes(text), result.errors);
});

Then("the output contains {string}", (text: string) => {
    assert.ok(result.output.includes(text), result.output);
});
