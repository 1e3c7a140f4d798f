/**
 * Answers that the entry makes itself.
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

export type LocalResponse = {
    readonly status: number;
    readonly outcome: RequestOutcome;
    readonly reason: FailureReason;
    /** One sentence for the caller's operator. */
    readonly message: string;
    readonly backendServer?: string;
    /** True when the connection cannot be used for a further request. */
    readonly closesConnection?: boolean;
};

const bodyOf = (answer: LocalResponse) =>
    JSON.stringify({ reason: answer.reason, outcome: answer.outcome, message: answer.message });

const headersOf = (answer: LocalResponse, entry: string, body: string): Record<string, string | number> => ({
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
    [OUTCOME_HEADER]: answer.outcome,
    [REASON_HEADER]: answer.reason,
    [ENTRY_HEADER]: entry,
    ...(answer.backendServer === undefined ? {} : { [BACKEND_SERVER_HEADER]: answer.backendServer }),
    ...(answer.closesConnection === true ? { connection: "close" } : {}),
});

/** Sends the answer on a response that has not begun. */
export function sendLocalResponse(response: ServerResponse, entry: string, answer: LocalResponse): void {
    const body = bodyOf(answer);
    response.writeHead(answer.status, headersOf(answer, entry, body));
    response.end(body);
}

/** Sends the answer on a socket whose request could not be parsed, and closes it. */
export function sendLocalResponseOnSocket(socket: Socket, entry: string, answer: LocalResponse): void {
    const body = bodyOf(answer);
    const headers = headersOf({ ...answer, closesConnection: true }, entry, body);
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    socket.end(`HTTP/1.1 ${answer.status} ${STATUS_CODES[answer.status]}\r\n${lines}\r\n${body}`);
}
