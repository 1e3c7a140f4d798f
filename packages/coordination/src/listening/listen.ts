/**
 * Opens listening sockets.
 */
import type { Server } from "node:net";

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

/** Options of `listen`. */
export type ListenOptions = {
    /** What the server listens for, such as "peers". */
    readonly listener: string;
    readonly address: string;
    /** Port to listen on; 0 selects any free port. */
    readonly port: number;
};

/**
 * Resolves once the server listens.
 *
 * @throws ListenError when the server cannot listen.
 */
export async function listen(server: Server, { listener, address, port }: ListenOptions): Promise<void> {
    await new Promise<void>((resolve, reject) => {
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
