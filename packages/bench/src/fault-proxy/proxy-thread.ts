/**
 * Fault-injecting proxies on a thread of their own. On the thread of a load and its stand-ins, a busy machine delayed the
 * bytes of all connections by seconds, so that replicas lost their quorum although no fault was injected.
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
    /** Its only element counts the orders that were carried out. */
    readonly executedCommands: Int32Array;
};

type Opened = { readonly id: number; readonly port: number } | { readonly id: number; readonly error: Error };

export type FaultProxyHandle = Pick<FaultProxy, "port" | "setFaults" | "setFaultsOfClient" | "close">;

export type ProxyThread = {
    /** Starts a proxy; see `startFaultProxy`. */
    open(options: OpenOptions): Promise<FaultProxyHandle>;
    /** Blocks until all changes of faults so far are in effect. */
    waitUntilApplied(): void;
    /** Ends the thread and with it all connections. */
    close(): Promise<void>;
};

/** Bounds one wait for the thread, which then has failed. */
const SETTLE_MS = 10_000;

let program: Promise<string> | undefined;

/** Bundles the body of the thread once for this process: a thread does not take over the loader of TypeScript. */
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
    const carriedOut = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
    const workerData: ProxyThreadData = { executedCommands: carriedOut };
    const worker = new Worker(await bundleThread(), { eval: true, execArgv: [], workerData });
    const opening = new Map<number, (opened: Opened) => void>();
    let failure: Error | undefined;
    let ordered = 0;
    let lastId = 0;

    worker.on("message", (opened: Opened) => {
        opening.get(opened.id)?.(opened);
        opening.delete(opened.id);
    });
    worker.on("error", (error: Error) => {
        failure = error;
        opening.forEach((resolveOpened, id) => resolveOpened({ id, error }));
    });

    const order = (next: ProxyCommand) => {
        ordered += 1;
        worker.postMessage(next);
    };

    const open = async (options: OpenOptions): Promise<FaultProxyHandle> => {
        lastId += 1;
        const id = lastId;
        const opened = await new Promise<Opened>(resolveOpened => {
            opening.set(id, resolveOpened);
            order({ kind: ProxyCommandKind.Open, id, ...options });
        });
        if ("error" in opened) {
            throw opened.error;
        }
        return {
            port: opened.port,
            setFaults: changes => order({ kind: ProxyCommandKind.SetFaults, id, changes }),
            setFaultsOfClient: (client, changes) =>
                order({ kind: ProxyCommandKind.SetFaultsOfClient, id, client, changes }),
            close: async () => order({ kind: ProxyCommandKind.Close, id }),
        };
    };

    return {
        open,
        waitUntilApplied: () => {
            for (let seen = Atomics.load(carriedOut, 0); seen < ordered; seen = Atomics.load(carriedOut, 0)) {
                if (failure !== undefined || Atomics.wait(carriedOut, 0, seen, SETTLE_MS) === "timed-out") {
                    throw new Error("The thread of the proxies does not carry out its orders.", { cause: failure });
                }
            }
        },
        close: async () => {
            await worker.terminate();
        },
    };
}
