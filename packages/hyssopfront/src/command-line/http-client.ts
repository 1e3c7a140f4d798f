/**
 * HTTP client of the commands: asks the given servers in turn until one answers.
 */
import { randomUUID } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { ChangeResult } from "../resources/messages.js";
import { CommandError, ExitCode } from "./exit-code.js";

const REQUEST_TIMEOUT_MS = 5_000;
/** Time in which a change is resent, with the same request id, while no leader answers. Covers a fail-over of 3 s. */
const RESEND_PERIOD_MS = 15_000;
const RESEND_INTERVAL_MS = 250;

export type ApiResponse = { readonly status: number; readonly body: Record<string, unknown>; readonly server: string };

export type ApiRequest = {
    readonly method: "GET" | "PUT" | "DELETE";
    readonly path: string;
    readonly body?: unknown;
    readonly headers?: Readonly<Record<string, string>>;
};

export type ApiClient = {
    /**
     * Sends one request; a change keeps its request id over all resends, so that it is applied once.
     *
     * @throws CommandError with `Unreachable` when no server answered in time.
     */
    send(apiRequest: ApiRequest): Promise<ApiResponse>;
    /** As `send`, and refuses answers that are not successful with the exit code of their kind. */
    sendChecked(apiRequest: ApiRequest): Promise<ApiResponse>;
};

export type ApiClientOptions = {
    /** Addresses with ports, in order of preference. */
    readonly servers: readonly string[];
    readonly readToken?: string;
};

/** Creates a client of the operators' API or of an entry's admin address. */
export function createApiClient(options: ApiClientOptions): ApiClient {
    const sendTo = async (server: string, apiRequest: ApiRequest, requestId: string): Promise<ApiResponse> => {
        const response = await request(`http://${server}${apiRequest.path}`, {
            method: apiRequest.method,
            headers: {
                "request-id": requestId,
                ...options.readToken === undefined ? {} : { authorization: `Bearer ${options.readToken}` },
                ...apiRequest.body === undefined ? {} : { "content-type": "application/json" },
                ...apiRequest.headers,
            },
            ...apiRequest.body === undefined ? {} : { body: JSON.stringify(apiRequest.body) },
            headersTimeout: REQUEST_TIMEOUT_MS,
            bodyTimeout: REQUEST_TIMEOUT_MS,
        });
        const text = await response.body.text();
        return { status: response.statusCode, body: parseBody(text, server), server };
    };

    const send = async (apiRequest: ApiRequest): Promise<ApiResponse> => {
        const requestId = randomUUID();
        const end = Date.now() + RESEND_PERIOD_MS;
        let failure = "";
        for (;;) {
            for (const server of options.servers) {
                try {
                    const answer = await sendTo(server, apiRequest, requestId);
                    if (answer.status !== 503 && answer.status !== 504) {
                        return answer;
                    }
                    failure = `${server}: ${describeFailure(answer)}`;
                }
                catch (error) {
                    failure = `${server}: ${(error as Error).message}`;
                }
            }
            if (Date.now() + RESEND_INTERVAL_MS > end) {
                throw new CommandError(
                    ExitCode.Unreachable,
                    `${apiRequest.method} ${apiRequest.path}`,
                    options.servers.join(", "),
                    `No server answered within ${RESEND_PERIOD_MS / 1_000} s. Last failure: ${failure}`,
                );
            }
            await delay(RESEND_INTERVAL_MS);
        }
    };

    return {
        send,
        sendChecked: async apiRequest => {
            const answer = await send(apiRequest);
            if (answer.status >= 400) {
                throw new CommandError(
                    exitCodeFor(answer),
                    `${apiRequest.method} ${apiRequest.path}`,
                    answer.server,
                    describeFailure(answer),
                );
            }
            return answer;
        },
    };
}

/** Exit code for an answer that is not successful. Not each 409 is a lost race: an object in use is one too. */
export function exitCodeFor(answer: ApiResponse): ExitCode {
    const conflict: string = ChangeResult.Conflict;
    return answer.body.error === conflict ? ExitCode.Conflict : ExitCode.Rejected;
}

function parseBody(text: string, server: string): Record<string, unknown> {
    if (text === "") {
        return {};
    }
    try {
        return JSON.parse(text) as Record<string, unknown>;
    }
    catch {
        throw new Error(`${server} answered with something other than JSON.`);
    }
}

function describeFailure(answer: ApiResponse): string {
    const field = typeof answer.body.field === "string" && answer.body.field !== "" ? `${answer.body.field}: ` : "";
    const message = typeof answer.body.message === "string" ? answer.body.message : "No reason was given.";
    return `${answer.status} ${field}${message}`;
}
