/**
 * Opens listening sockets, and waits for addresses that are not available for a moment.
 */
import type { Server } from "node:net";
import type { Clock } from "../clock/clock.js";

/** A server cannot listen. The properties are part of the log line of a failed start. */
export class ListenError extends Error {
    /** Code of the system, such as `EADDRINUSE`. */
    readonly code: string | undefined;
    constructor(
        /** What the server listens for. */
        readonly listener: string,
        readonly address: string,
        readonly port: number,
        cause: unknown,
    ) {
        super(
            `Cannot listen for ${listener} at ${address}:${port}: ${cause instanceof Error ? cause.message : cause}`,
            { cause },
        );
        this.name = "ListenError";
        this.code = (cause as NodeJS.ErrnoException | undefined)?.code;
    }
}

/**
 * Codes of failures that end without a change of the settings: the port is used by a process that still stops or by a
 * connection, the address is not assigned to the machine yet, or the machine has no descriptor or memory left.
 */
const PASSING_CODES: ReadonlySet<string | undefined> = new Set([
    "EADDRINUSE",
    "EADDRNOTAVAIL",
    "EMFILE",
    "ENFILE",
    "ENOBUFS",
    "ENOMEM",
]);
/** Pause between two attempts to listen, in milliseconds. The time without service is longer by this at most. */
const RETRY_PAUSE_MS = 50;
/** Interval at which a refusal that lasts is reported again, in milliseconds. */
const REPORT_INTERVAL_MS = 10_000;

/** How to wait for an address that is not available. */
export type AddressWait = {
    readonly clock: Clock;
    /** Time after which a refusal is final, in milliseconds; Infinity for a process that must not end by itself. */
    readonly maximumMilliseconds: number;
    /** Ends the wait; `listen` then rejects with the reason of the abort. */
    readonly signal?: AbortSignal;
    /** Called for the first refusal, and every 10 s while the address stays unavailable. */
    readonly onRefused?: (error: ListenError, waitedMilliseconds: number) => void;
    /** Called once the server listens after a refusal. */
    readonly onListening?: (options: ListenOptions, waitedMilliseconds: number) => void;
};

/** Options of `listen`. */
export type ListenOptions = {
    /** What the server listens for, such as "peers". */
    readonly listener: string;
    readonly address: string;
    /** Port to listen on; 0 selects any free port. */
    readonly port: number;
    /** Default: the first refusal is final. */
    readonly wait?: AddressWait;
};

/**
 * Resolves once the server listens.
 *
 * @throws ListenError when the server cannot listen, and the failure does not pass or the wait for it is over; the
 * reason of the abort when the signal of the wait aborts before.
 */
export async function listen(server: Server, options: ListenOptions): Promise<void> {
    const { wait } = options;
    if (wait === undefined) {
        return listenOnce(server, options);
    }
    const { clock } = wait;
    const startedAt = clock.monotonicMilliseconds();
    let reportedAt = -Infinity;
    for (;;) {
        wait.signal?.throwIfAborted();
        try {
            await listenOnce(server, options);
            if (reportedAt !== -Infinity) {
                wait.onListening?.(options, clock.monotonicMilliseconds() - startedAt);
            }
            return;
        }
        catch (error) {
            const now = clock.monotonicMilliseconds();
            const isPassing = error instanceof ListenError && PASSING_CODES.has(error.code);
            if (!isPassing || now - startedAt >= wait.maximumMilliseconds) {
                throw error;
            }
            if (now - reportedAt >= REPORT_INTERVAL_MS) {
                reportedAt = now;
                wait.onRefused?.(error, now - startedAt);
            }
        }
        await clock.sleep(RETRY_PAUSE_MS, wait.signal);
    }
}

function listenOnce(server: Server, { listener, address, port }: ListenOptions): Promise<void> {
    return new Promise<void>((resolve, reject) => {
        const onError = (error: unknown) => {
            server.off("listening", onListening);
            reject(error);
        };
        const onListening = () => {
            server.off("error", onError);
            resolve();
        };
        server.once("error", onError);
        server.once("listening", onListening);
        server.listen(port, address);
    }).catch((error: unknown) => {
        throw new ListenError(listener, address, port, error);
    });
}
