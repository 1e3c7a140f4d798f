/**
 * JSON answers and errors of the operators' API.
 */
import { once } from "node:events";
import type { ServerResponse } from "node:http";

/** An error that is sent to the operator as it is. */
export class ApiError extends Error {
    override readonly name = "ApiError";

    /**
     * @param code Stable word for programs, such as `notFound`.
     * @param details Further members of the body, such as `field` and `current`.
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

/** Sends one JSON document. */
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

/** Sends an error, or cuts the connection when an answer has already begun. */
export function sendError(response: ServerResponse, error: ApiError): void {
    if (response.headersSent) {
        response.destroy();
        return;
    }
    const { statusCode, code, message, details, headers } = error;
    sendJson(response, statusCode, { error: code, message, ...details }, headers);
}

/** A reader that takes nothing for this long is disconnected, so that it holds no memory. */
export const SLOW_READER_TIMEOUT_MS = 10_000;

/**
 * Writes a part of an answer and waits while the reader is behind.
 *
 * @throws Error when the reader is gone or takes nothing for too long.
 */
export async function writeChunk(
    response: ServerResponse,
    text: string,
    slowReaderTimeoutMilliseconds = SLOW_READER_TIMEOUT_MS,
): Promise<void> {
    if (response.destroyed) {
        throw new Error("The reader is gone.");
    }
    if (response.write(text)) {
        return;
    }
    const limit = AbortSignal.timeout(slowReaderTimeoutMilliseconds);
    const closed = new AbortController();
    const onClose = () => closed.abort(new Error("The reader is gone."));
    response.once("close", onClose);
    try {
        await once(response, "drain", { signal: AbortSignal.any([limit, closed.signal]) });
    }
    finally {
        response.removeListener("close", onClose);
    }
}
