/**
 * JSON and error responses of the operator API.
 */
import { once } from "node:events";
import type { ServerResponse } from "node:http";

/** An error that is sent to the operator as is. */
export class ApiError extends Error {
    override readonly name = "ApiError";

    /**
     * @param code Stable, machine-readable code, such as `notFound`.
     * @param details Further fields of the body, such as `field` and `current`.
     */
    constructor(
        readonly statusCode: number,
        readonly code: string,
        message: string,
        readonly details: Readonly<Record<string, unknown>> = {},
        readonly headers: Readonly<Record<string, string>> = {},
    ) {
        super(message);
    }
}

/** Sends a complete JSON response. */
export function sendJson(
    response: ServerResponse,
    statusCode: number,
    body: unknown,
    headers: Readonly<Record<string, string>> = {},
): void {
    const encoded = Buffer.from(`${JSON.stringify(body)}\n`);
    response.writeHead(statusCode, {
        "Content-Type": "application/json",
        "Content-Length": encoded.length,
        "Cache-Control": "no-store",
        ...headers,
    });
    response.end(encoded);
}

/** Sends an error response, or closes the connection when the headers of a response have already been sent. */
export function sendError(response: ServerResponse, error: ApiError): void {
    if (response.headersSent) {
        response.destroy();
        return;
    }
    const { statusCode, code, message, details, headers } = error;
    sendJson(response, statusCode, { error: code, message, ...details }, headers);
}

/** A client that reads nothing for this long is disconnected, which frees the memory of its response. */
export const SLOW_READER_TIMEOUT_MS = 10_000;

/**
 * Writes a chunk of a response and waits while the write buffer is full.
 *
 * @throws Error when the client has disconnected or reads nothing until the timeout.
 */
export async function writeChunk(
    response: ServerResponse,
    text: string,
    slowReaderTimeoutMilliseconds = SLOW_READER_TIMEOUT_MS,
): Promise<void> {
    if (response.destroyed) {
        throw new Error("The client disconnected.");
    }
    if (response.write(text)) {
        return;
    }
    const timeout = AbortSignal.timeout(slowReaderTimeoutMilliseconds);
    const closed = new AbortController();
    const onClose = () => closed.abort(new Error("The client disconnected."));
    response.once("close", onClose);
    try {
        await once(response, "drain", { signal: AbortSignal.any([timeout, closed.signal]) });
    }
    finally {
        response.removeListener("close", onClose);
    }
}
