/**
 * Faults of the stand-in backend server, each inflicted on one request that has already run.
 */
import type { ServerResponse } from "node:http";
import { Readable } from "node:stream";

export enum BackendServerFault {
    /** Declares the whole length, sends half of it and ends the connection in order. */
    TruncatedResponse = "truncatedResponse",
    /** Sends half of a chunked answer and resets the connection. */
    ResetMidResponse = "resetMidResponse",
    /** Sends an answer that only the end of the connection delimits. */
    UndelimitedResponse = "undelimitedResponse",
    /** Runs the request and never answers; the connection stays open. */
    NoResponse = "noResponse",
    /** Answers after the extra delay of the stand-in. */
    DelayedResponse = "delayedResponse",
    /** Sends the headers, then the body after the extra delay. */
    DelayedBody = "delayedBody",
    /** Sends a second answer on the connection right after the whole answer. */
    SurplusResponse = "surplusResponse",
    /** Sends the answer to another request ahead of the own one. */
    ReorderedResponse = "reorderedResponse",
    /** Sends bytes that are no answer after the whole answer. */
    SurplusBytes = "surplusBytes",
    /** Resets the connection after the request ran, before any byte of the answer. */
    Reset = "reset",
}

export type PreparedResponse = {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
};

/** Body of answers that belong to no request of the connection; a caller must never see it. */
export const FOREIGN_RESPONSE_BODY = "foreign answer";

const foreignResponse = (headers = "") =>
    `HTTP/1.1 200 OK\r\ncontent-length: ${FOREIGN_RESPONSE_BODY.length}\r\n${headers}\r\n${FOREIGN_RESPONSE_BODY}`;

/** Larger bodies are written in pieces as the connection takes them. */
const PIECE_BYTES = 65_536;

/**
 * Sends the whole answer.
 */
export function sendResponse(response: ServerResponse, answer: PreparedResponse): void {
    response.writeHead(answer.status, { ...answer.headers, "content-length": answer.body.length });
    if (answer.body.length <= PIECE_BYTES) {
        response.end(answer.body);
        return;
    }
    const pieces = Array.from(
        { length: Math.ceil(answer.body.length / PIECE_BYTES) },
        (_, index) => answer.body.subarray(index * PIECE_BYTES, (index + 1) * PIECE_BYTES),
    );
    Readable.from(pieces).pipe(response);
}

/**
 * Answers with the fault.
 *
 * @param delay Waits the extra delay of the stand-in.
 */
export async function sendFaultyResponse(
    fault: BackendServerFault,
    response: ServerResponse,
    answer: PreparedResponse,
    delay: () => Promise<void>,
): Promise<void> {
    const socket = response.socket;
    const half = answer.body.subarray(0, Math.floor(answer.body.length / 2));
    switch (fault) {
        case BackendServerFault.TruncatedResponse:
            response.writeHead(answer.status, { ...answer.headers, "content-length": answer.body.length });
            response.write(half, () => socket?.end());
            return;
        case BackendServerFault.ResetMidResponse:
            response.writeHead(answer.status, { ...answer.headers, "transfer-encoding": "chunked" });
            response.write(half, () => socket?.resetAndDestroy());
            return;
        case BackendServerFault.UndelimitedResponse:
            socket?.end(`HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${half.toString("latin1")}`);
            return;
        case BackendServerFault.NoResponse:
            return;
        case BackendServerFault.DelayedResponse:
            await delay();
            sendResponse(response, answer);
            return;
        case BackendServerFault.DelayedBody:
            response.writeHead(answer.status, { ...answer.headers, "content-length": answer.body.length });
            response.flushHeaders();
            await delay();
            response.end(answer.body);
            return;
        case BackendServerFault.SurplusResponse:
            sendResponse(response, answer);
            response.once("finish", () => socket?.write(foreignResponse()));
            return;
        case BackendServerFault.SurplusBytes:
            sendResponse(response, answer);
            response.once("finish", () => socket?.write("surplus"));
            return;
        case BackendServerFault.ReorderedResponse:
            socket?.write(foreignResponse("hyssop-request-id: of-another-request\r\n"));
            sendResponse(response, answer);
            return;
        case BackendServerFault.Reset:
            socket?.resetAndDestroy();
            return;
    }
}
