/**
 * Local responses, which the entry makes itself.
 */
import { type ServerResponse, STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import {
    BACKEND_SERVER_HEADER,
    ENTRY_HEADER,
    type FailureReason,
    OUTCOME_HEADER,
    REASON_HEADER,
    type RequestOutcome,
} from "./messages.js";

/** A response that the entry makes itself. */
export type LocalResponse = {
    readonly status: number;
    readonly outcome: RequestOutcome;
    readonly reason: FailureReason;
    /** One sentence for the operator of the caller. */
    readonly message: string;
    readonly backendServer?: string;
    /** True if the connection must be closed after the response. */
    readonly closesConnection?: boolean;
};

const createBody = (localResponse: LocalResponse) =>
    JSON.stringify({ reason: localResponse.reason, outcome: localResponse.outcome, message: localResponse.message });

const createHeaders = (localResponse: LocalResponse, entry: string, body: string): Record<string, string | number> => ({
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
    [OUTCOME_HEADER]: localResponse.outcome,
    [REASON_HEADER]: localResponse.reason,
    [ENTRY_HEADER]: entry,
    ...(localResponse.backendServer === undefined ? {} : { [BACKEND_SERVER_HEADER]: localResponse.backendServer }),
    ...(localResponse.closesConnection === true ? { connection: "close" } : {}),
});

/** Sends a local response. The headers must not have been sent yet. */
export function sendLocalResponse(response: ServerResponse, entry: string, localResponse: LocalResponse): void {
    const body = createBody(localResponse);
    response.writeHead(localResponse.status, createHeaders(localResponse, entry, body));
    response.end(body);
}

/** Sends a local response on a socket whose request could not be parsed, and closes the socket. */
export function sendLocalResponseOnSocket(socket: Socket, entry: string, localResponse: LocalResponse): void {
    const body = createBody(localResponse);
    const headers = createHeaders({ ...localResponse, closesConnection: true }, entry, body);
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    socket.end(`HTTP/1.1 ${localResponse.status} ${STATUS_CODES[localResponse.status]}\r\n${lines}\r\n${body}`);
}
