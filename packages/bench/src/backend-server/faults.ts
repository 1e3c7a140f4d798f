/**
 * Faulty responses of the stand-in backend server. Each fault applies to one request that has already run.
 */
import type { ServerResponse } from "node:http";
import { Readable } from "node:stream";

export enum BackendServerFault {
    /** Declares the full content length, sends half of the body and closes the connection normally. */
    TruncatedResponse = "truncatedResponse",
    /** Sends half of a chunked response and resets the connection. */
    ResetMidResponse = "resetMidResponse",
    /** Sends half of a response that only the end of the connection delimits. */
    UndelimitedResponse = "undelimitedResponse",
    /** Runs the request and never responds; the connection stays open. */
    NoResponse = "noResponse",
    /** Responds after the fault delay of the stand-in. */
    DelayedResponse = "delayedResponse",
    /** Sends the headers at once and the body after the fault delay. */
    DelayedBody = "delayedBody",
    /** Sends a second response on the connection right after the complete response. */
    SurplusResponse = "surplusResponse",
    /** Sends the response to another request before the response to this one. */
    ReorderedResponse = "reorderedResponse",
    /** Sends bytes that are not an HTTP response after the complete response. */
    SurplusBytes = "surplusBytes",
    /** Resets the connection after the request ran, before the first byte of the response. */
    Reset = "reset",
}

export type PreparedResponse = {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
};

/** Body of responses to no request of the connection. No caller may receive it. */
export const FOREIGN_RESPONSE_BODY = "foreign answer";

const foreignResponse = (headers = "") =>
    `HTTP/1.1 200 OK\r\ncontent-length: ${FOREIGN_RESPONSE_BODY.length}\r\n${headers}\r\n${FOREIGN_RESPONSE_BODY}`;

/** Larger bodies are written in chunks of this size, with backpressure. */
const CHUNK_BYTES = 65_536;

/**
 * Sends the complete response.
 */
export function sendResponse(response: ServerResponse, prepared: PreparedResponse): void {
    response.writeHead(prepared.status, { ...prepared.headers, "content-length": prepared.body.length });
    if (prepared.body.length <= CHUNK_BYTES) {
        response.end(prepared.body);
        return;
    }
    const chunks = Array.from(
        { length: Math.ceil(prepared.body.length / CHUNK_BYTES) },
        (_, index) => prepared.body.subarray(index * CHUNK_BYTES, (index + 1) * CHUNK_BYTES),
    );
    Readable.from(chunks).pipe(response);
}

/**
 * Sends the response with the given fault.
 *
 * @param delay Waits for the fault delay of the stand-in.
 */
export async function sendFaultyResponse(
    fault: BackendServerFault,
    response: ServerResponse,
    prepared: PreparedResponse,
    delay: () => Promise<void>,
): Promise<void> {
    const socket = response.socket;
    const half = prepared.body.subarray(0, Math.floor(prepared.body.length / 2));
    switch (fault) {
        case BackendServerFault.TruncatedResponse:
            response.writeHead(prepared.status, { ...prepared.headers, "content-length": prepared.body.length });
            response.write(half, () => socket?.end());
            return;
        case BackendServerFault.ResetMidResponse:
            response.writeHead(prepared.status, { ...prepared.headers, "transfer-encoding": "chunked" });
            response.write(half, () => socket?.resetAndDestroy());
            return;
        case BackendServerFault.UndelimitedResponse:
            socket?.end(`HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${half.toString("latin1")}`);
            return;
        case BackendServerFault.NoResponse:
            return;
        case BackendServerFault.DelayedResponse:
            await delay();
            sendResponse(response, prepared);
            return;
        case BackendServerFault.DelayedBody:
            response.writeHead(prepared.status, { ...prepared.headers, "content-length": prepared.body.length });
            response.flushHeaders();
            await delay();
            response.end(prepared.body);
            return;
        case BackendServerFault.SurplusResponse:
            sendResponse(response, prepared);
            response.once("finish", () => socket?.write(foreignResponse()));
            return;
        case BackendServerFault.SurplusBytes:
            sendResponse(response, prepared);
            response.once("finish", () => socket?.write("surplus"));
            return;
        case BackendServerFault.ReorderedResponse:
            socket?.write(foreignResponse("hyssop-request-id: of-another-request\r\n"));
            sendResponse(response, prepared);
            return;
        case BackendServerFault.Reset:
            socket?.resetAndDestroy();
            return;
    }
}
