/**
 * Runs fault-injecting proxies on a thread of their own. On the thread that generates load and runs the stand-ins, a
 * busy machine delayed the bytes of all connections by seconds, so that replicas lost their quorum without an injected
 * fault.
 */
import { build } from "esbuild";
import { resolve } from "node:path";
import { Worker } from "node:worker_threads";
import type { FaultProxy, ProxyFaults } from "./fault-proxy.js";

export enum ProxyCommandKind {
    Open = "open",
    SetFaults = "setFaults",
    SetFaultsOfClient = "setFaultsOfClient",
    Close = "close",
}

type OpenOptions = {
    readonly targetPort: number;
    readonly port?: number;
    readonly clientNames?: readonly string[];
    /** Faults from the first connection on. */
    readonly faults: Partial<ProxyFaults>;
};

/** Command to the thread; `id` identifies the proxy. */
export type ProxyCommand =
    & { readonly id: number }
    & (
        | { readonly kind: ProxyCommandKind.Open } & OpenOptions
        | { readonly kind: ProxyCommandKind.SetFaults; readonly changes: Partial<ProxyFaults> }
        | {
            readonly kind: ProxyCommandKind.SetFaultsOfClient;
            readonly client: string;
            readonly changes: Partial<ProxyFaults>;
        }
        | { readonly kind: ProxyCommandKind.Close }
    );

export type ProxyThreadData = {
    /** Its only element is the number of commands that the thread has executed. */
    readonly executedCommands: Int32Array;
};

type OpenResult = { readonly id: number; readonly port: number } | { readonly id: number; readonly error: Error };

/** Controls a proxy on the thread. Its changes take effect asynchronously; see `ProxyThread.waitUntilApplied`. */
export type FaultProxyHandle = Pick<FaultProxy, "port" | "setFaults" | "setFaultsOfClient" | "close">;

export type ProxyThread = {
    /** Starts a proxy; see `startFaultProxy`. */
    open(options: OpenOptions): Promise<FaultProxyHandle>;
    /** Blocks the calling thread until all previous changes of faults are in effect. */
    waitUntilApplied(): void;
    /** Ends the thread and all its connections. */
    close(): Promise<void>;
};

/** Time limit of one wait for the thread; a thread that exceeds it has failed. */
const COMMAND_TIMEOUT_MS = 10_000;

let program: Promise<string> | undefined;

/** Bundles the program of the thread once per process, because a thread does not inherit the TypeScript loader. */
function bundleThread(): Promise<string> {
    program ??= build({
        entryPoints: [resolve(import.meta.dirname, "proxy-thread-main.ts")],
        bundle: true,
        write: false,
        platform: "node",
        target: "node20",
        format: "cjs",
        conditions: ["source"],
        external: ["cbor-extract"],
        logLevel: "error",
    }).then(({ outputFiles }) => outputFiles[0]!.text);
    return program;
}

/** Starts a thread without proxies. */
export async function startProxyThread(): Promise<ProxyThread> {
    const executedCommands = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
    const workerData: ProxyThreadData = { executedCommands };
    const worker = new Worker(await bundleThread(), { eval: true, execArgv: [], workerData });
    const pendingOpens = new Map<number, (result: OpenResult) => void>();
    let failure: Error | undefined;
    let sentCommands = 0;
    let lastId = 0;

    worker.on("message", (result: OpenResult) => {
        pendingOpens.get(result.id)?.(result);
        pendingOpens.delete(result.id);
    });
    worker.on("error", (error: Error) => {
        failure = error;
        pendingOpens.forEach((resolveOpen, id) => resolveOpen({ id, error }));
    });

    const sendCommand = (command: ProxyCommand) => {
        sentCommands += 1;
        worker.postMessage(command);
    };

    const open = async (options: OpenOptions): Promise<FaultProxyHandle> => {
        lastId += 1;
        const id = lastId;
        const result = await new Promise<OpenResult>(resolveOpen => {
            pendingOpens.set(id, resolveOpen);
            sendCommand({ kind: ProxyCommandKind.Open, id, ...options });
        });
        if ("error" in result) {
            throw result.error;
        }
        return {
            port: result.port,
            setFaults: changes => sendCommand({ kind: ProxyCommandKind.SetFaults, id, changes }),
            setFaultsOfClient: (client, changes) =>
                sendCommand({ kind: ProxyCommandKind.SetFaultsOfClient, id, client, changes }),
            close: async () => sendCommand({ kind: ProxyCommandKind.Close, id }),
        };
    };

    return {
        open,
        waitUntilApplied: () => {
            for (
                let executed = Atomics.load(executedCommands, 0);
                executed < sentCommands;
                executed = Atomics.load(executedCommands, 0)
            ) {
                if (
                    failure !== undefined ||
                    Atomics.wait(executedCommands, 0, executed, COMMAND_TIMEOUT_MS) === "timed-out"
                ) {
                    throw new Error("The proxy thread does not execute its commands.", { cause: failure });
                }
            }
        },
        close: async () => {
            await worker.terminate();
        },
    };
}
