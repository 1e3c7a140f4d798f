/**
 * The caller's side of an exchange: passes one answer on, or cuts the connection when it cannot be completed.
 */
import type { ServerResponse } from "node:http";
import type { ResponseHead } from "./attempt.js";
import { selectResponseHeaders } from "./headers.js";
import { BACKEND_SERVER_HEADER, ENTRY_HEADER, OUTCOME_HEADER, RequestOutcome } from "./messages.js";

export type CallerResponse = {
    begin(head: ResponseHead, backendServer: string): void;
    /** @returns False when the caller cannot take more until `onWritable` is called. */
    write(chunk: Buffer, onWritable: () => void): boolean;
    end(): void;
    /** Closes the connection, so that the caller cannot take what it got for a whole answer. */
    abort(): void;
};

/** Takes the place of a caller that no longer waits for the answer. */
export const DISCARDING_RESPONSE: CallerResponse = {
    begin: () => undefined,
    write: () => true,
    end: () => undefined,
    abort: () => undefined,
};

/**
 * Wraps the response of one request.
 *
 * @param closesConnection True while the entry drains, so that the caller connects elsewhere.
 * @param onGone Called when the caller closes the connection before the answer ended.
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
