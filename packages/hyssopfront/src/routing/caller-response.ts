/**
 * The caller's side of an exchange. Forwards one response, or closes the connection if the response cannot be
 * completed.
 */
import type { ServerResponse } from "node:http";
import type { ResponseHead } from "./attempt.js";
import { selectResponseHeaders } from "./headers.js";
import { BACKEND_SERVER_HEADER, ENTRY_HEADER, OUTCOME_HEADER, RequestOutcome } from "./messages.js";

/** Forwards the response of a backend server to the caller. */
export type CallerResponse = {
    begin(head: ResponseHead, backendServer: string): void;
    /** @returns False when the caller cannot take more until `onWritable` is called. */
    write(chunk: Buffer, onWritable: () => void): boolean;
    end(): void;
    /** Closes the connection, so that the caller does not mistake a part of the response for a complete one. */
    abort(): void;
};

/** Discards a response that no caller waits for any longer. */
export const DISCARDING_RESPONSE: CallerResponse = {
    begin: () => undefined,
    write: () => true,
    end: () => undefined,
    abort: () => undefined,
};

/**
 * Wraps the Node.js response of one request.
 *
 * @param entry Name of this entry.
 * @param closesConnection Returns true while the entry drains, so that the caller connects to another entry.
 * @param onDisconnected Called when the caller closes the connection before the end of the response.
 */
export function createCallerResponse(
    response: ServerResponse,
    entry: string,
    closesConnection: () => boolean,
    onDisconnected: () => void,
): CallerResponse {
    let isDisconnected = response.destroyed;
    response.once("close", () => {
        if (!response.writableFinished) {
            isDisconnected = true;
            onDisconnected();
        }
    });
    response.on("error", () => undefined);
    return {
        begin: (head, backendServer) => {
            if (isDisconnected) {
                return;
            }
            const headers = selectResponseHeaders(head.headers);
            headers[OUTCOME_HEADER] = RequestOutcome.Run;
            headers[ENTRY_HEADER] = entry;
            headers[BACKEND_SERVER_HEADER] = backendServer;
            if (closesConnection()) {
                headers.connection = "close";
            }
            response.writeHead(head.status, headers);
        },
        write: (chunk, onWritable) => {
            if (isDisconnected || response.write(chunk)) {
                return true;
            }
            response.once("drain", onWritable);
            return false;
        },
        end: () => {
            if (!isDisconnected) {
                response.end();
            }
        },
        abort: () => {
            response.destroy();
        },
    };
}
