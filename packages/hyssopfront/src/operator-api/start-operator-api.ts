/**
 * Starts and stops the HTTP server of the operator API.
 */
import { createServer, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { readBeforeIdleClose } from "../http/read-before-idle-close.js";
import { rejectInvalidHeaders } from "../http/reject-invalid-headers.js";
import { prepareServerStop } from "../http/stop-server.js";
import { createOperatorApiHandler, type OperatorApiOptions } from "./operator-api.js";

/** Options of the request handler and of its HTTP server. */
export type StartOperatorApiOptions = Omit<OperatorApiOptions, "stopping"> & {
    /** Address to listen on. Ignored without a token: the server then listens on 127.0.0.1 only. */
    readonly address: string;
    readonly port: number;
    /** Time within which a request must be received completely. */
    readonly requestTimeoutMilliseconds?: number;
    readonly maximumHeaderBytes?: number;
    readonly maximumConnections?: number;
    /** Time that a stop waits for requests in progress before it closes their connections. */
    readonly stopTimeoutMilliseconds?: number;
};

/** A running server of the operator API. */
export type OperatorApiServer = {
    readonly port: number;
    /** Ends the watches, waits for the requests in progress, and closes the port. */
    stop(): Promise<void>;
};

const CLIENT_ERRORS: Readonly<Record<string, readonly [status: string, code: string, message: string]>> = {
    HPE_HEADER_OVERFLOW: ["431 Request Header Fields Too Large", "headersTooLarge", "The headers are too large."],
    ERR_HTTP_REQUEST_TIMEOUT: ["408 Request Timeout", "slowRequest", "The request did not arrive in time."],
};
const OTHER_CLIENT_ERROR = ["400 Bad Request", "malformedRequest", "The request is not HTTP/1.1."] as const;

/** Starts the operator API. Rejects when the server cannot listen, for instance because the address is in use. */
export async function startOperatorApi(options: StartOperatorApiOptions): Promise<OperatorApiServer> {
    const stopping = new AbortController();
    const handle = createOperatorApiHandler({ ...options, stopping: stopping.signal });
    const requestTimeoutMilliseconds = options.requestTimeoutMilliseconds ?? 30_000;
    const server = createServer({
        maxHeaderSize: options.maximumHeaderBytes ?? 16 * 1024,
        headersTimeout: requestTimeoutMilliseconds,
        requestTimeout: requestTimeoutMilliseconds,
        connectionsCheckingInterval: Math.min(1_000, requestTimeoutMilliseconds / 2),
        keepAliveTimeout: 60_000,
    });
    readBeforeIdleClose(server);
    server.maxConnections = options.maximumConnections ?? 512;
    server.on(
        "request",
        rejectInvalidHeaders(server, (request, response) => void handle(request, response)),
    );
    const stopServer = prepareServerStop(server, options.clock);
    server.on("drop", () => options.counters.increment("operator_api.connections_refused"));
    server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
        const [status, code, message] = CLIENT_ERRORS[error.code ?? ""] ?? OTHER_CLIENT_ERROR;
        options.counters.increment("operator_api.errors", 1, { code });
        if (!socket.writable || error.code === "ECONNRESET") {
            socket.destroy();
            return;
        }
        const body = `${JSON.stringify({ error: code, message })}\n`;
        socket.end(
            `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Type: application/json\r\n`
                + `Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
            () => socket.destroy(),
        );
    });
    const address = options.token === undefined ? "127.0.0.1" : options.address;
    await listen(server, address, options.port);
    return {
        port: (server.address() as AddressInfo).port,
        stop: async () => {
            if (!stopping.signal.aborted) {
                stopping.abort(new Error("The API is stopping."));
                await stopServer(options.stopTimeoutMilliseconds ?? 5_000);
            }
        },
    };
}

function listen(server: Server, address: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, address, () => {
            server.removeListener("error", reject);
            resolve();
        });
    });
}
