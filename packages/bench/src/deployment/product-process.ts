/**
 * One process of the product, run from a bundle of the current source.
 */
import { build } from "esbuild";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { appendFileSync, rmSync } from "node:fs";
import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { createInterface } from "node:readline";

const ROOT = resolve(import.meta.dirname, "../../../..");
const SOURCE = resolve(ROOT, "packages/hyssopfront/src/main.ts");

/** Running child processes. They are killed when this process exits early. */
const children = new Set<ChildProcess>();
process.once("exit", () => children.forEach(child => child.kill("SIGKILL")));

let bundle: Promise<string> | undefined;

/** Bundles the current source as the binary is bundled, once per process, so that child processes start quickly. */
export function bundleProduct(): Promise<string> {
    bundle ??= (async () => {
        const outfile = join(await mkdtemp(join(tmpdir(), "hyssopfront-bundle-")), "hyssopfront.cjs");
        await build({
            entryPoints: [SOURCE],
            outfile,
            bundle: true,
            platform: "node",
            target: "node20",
            format: "cjs",
            conditions: ["source"],
            external: ["unix-dgram", "cbor-extract"],
            logLevel: "error",
        });
        process.once("exit", () => rmSync(dirname(outfile), { recursive: true, force: true }));
        return outfile;
    })();
    return bundle;
}

export type ProcessSignal = "SIGKILL" | "SIGTERM" | "SIGINT" | "SIGSTOP" | "SIGCONT";

export type ProductProcess = {
    readonly processId: number;
    readonly isRunning: boolean;
    /** Standard output up to now. */
    readonly output: string;
    /** Resolves with the exit code once the process has ended and its output is complete. */
    readonly ended: Promise<number | undefined>;
    /** Standard error up to now. */
    readonly errorOutput: string;
    /** Resolves when a line of the standard output matches; rejects when the process ends before. */
    waitForLine(pattern: RegExp): Promise<void>;
    /** Sends a signal; if it ends the process, waits for the end and resolves with the exit code. */
    signal(signal: ProcessSignal): Promise<number | undefined>;
};

export type ProductProcessOptions = {
    /** Value of the `DEBUG` variable, which selects debug lines for the standard error; none by default. */
    readonly debugFilter?: string;
    /** File to append the standard error to. */
    readonly errorFile?: string;
};

/** Starts `hyssopfront <argumentsOfCommand>`. */
export async function startProductProcess(
    commandArguments: readonly string[],
    { debugFilter = "", errorFile }: ProductProcessOptions = {},
): Promise<ProductProcess> {
    const child: ChildProcess = spawn(process.execPath, [await bundleProduct(), ...commandArguments], {
        stdio: ["ignore", "pipe", "pipe"],
        // The child must not inherit the options of the test runner.
        env: { ...process.env, NODE_OPTIONS: "", DEBUG: debugFilter },
    });
    children.add(child);
    child.once("exit", () => children.delete(child));
    const lines: string[] = [];
    let errors = "";
    const wakeCallbacks = new Set<() => void>();
    createInterface({ input: child.stdout! }).on("line", line => {
        lines.push(line);
        wakeCallbacks.forEach(wake => wake());
    });
    child.stderr!.on("data", data => {
        errors += String(data);
        if (errorFile !== undefined) {
            appendFileSync(errorFile, String(data));
        }
    });
    const ended = once(child, "close").then(([code]) => code as number | undefined);
    child.once("exit", () => wakeCallbacks.forEach(wake => wake()));
    const isRunning = () => typeof child.exitCode !== "number" && typeof child.signalCode !== "string";

    return {
        processId: child.pid!,
        get isRunning() {
            return isRunning();
        },
        get output() {
            return lines.map(line => `${line}\n`).join("");
        },
        ended,
        get errorOutput() {
            return errors;
        },
        waitForLine: async pattern => {
            while (!lines.some(line => pattern.test(line))) {
                if (!isRunning()) {
                    throw new Error(`The process ended before it printed ${String(pattern)}: ${errors}`);
                }
                await new Promise<void>(resolveWake => {
                    const wake = () => {
                        wakeCallbacks.delete(wake);
                        resolveWake();
                    };
                    wakeCallbacks.add(wake);
                });
            }
        },
        signal: async signal => {
            if (!isRunning()) {
                return undefined;
            }
            const exited = once(child, "exit");
            child.kill(signal);
            if (signal === "SIGSTOP" || signal === "SIGCONT") {
                return undefined;
            }
            const [code] = await exited as [number | undefined];
            return code;
        },
    };
}
