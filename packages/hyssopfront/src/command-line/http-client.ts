/**
 * HTTP client of the commands, which tries the given servers in turn until one responds.
 */
import { randomUUID } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { ChangeResult } from "../resources/messages.js";
import { CommandError, ExitCode } from "./exit-code.js";

const REQUEST_TIMEOUT_MS = 5_000;
/** Time for which a request is retried, with the same request id, while no leader responds. A failover takes 3 s. */
const RETRY_TIMEOUT_MS = 15_000;
const RETRY_INTERVAL_MS = 250;

/** Response of a server; `body` is an empty object when the response had no body. */
export type ApiResponse = { readonly status: number; readonly body: Record<string, unknown>; readonly server: string };

/** Request to a server; `body` is sent as JSON. */
export type ApiRequest = {
    readonly method: "GET" | "PUT" | "DELETE";
    readonly path: string;
    readonly body?: unknown;
    readonly headers?: Readonly<Record<string, string>>;
};

/** Client of the API of one or more equivalent servers. */
export type ApiClient = {
    /**
     * Sends a request. Retries keep the request id, so that a change is applied only once.
     *
     * @returns The first response with a status other than 503 and 504.
     * @throws CommandError with `Unreachable` when no server responded within 15 s.
     */
    send(apiRequest: ApiRequest): Promise<ApiResponse>;
    /**
     * Sends a request as `send` does.
     *
     * @throws CommandError also when the status of the response is 400 or above.
     */
    sendChecked(apiRequest: ApiRequest): Promise<ApiResponse>;
};

/** Options of `createApiClient`. */
export type ApiClientOptions = {
    /** Addresses with ports, in order of preference. */
    readonly servers: readonly string[];
    /** Bearer token of the operators. */
    readonly token?: string;
};

/** Creates a client for the operator API or for the admin port or caller port of an entry. */
export function createApiClient(options: ApiClientOptions): ApiClient {
    const sendTo = async (server: string, apiRequest: ApiRequest, requestId: string): Promise<ApiResponse> => {
        const httpResponse = await request(`http://${server}${apiRequest.path}`, {
            method: apiRequest.method,
            headers: {
                "request-id": requestId,
                ...options.token === undefined ? {} : { authorization: `Bearer ${options.token}` },
                ...apiRequest.body === undefined ? {} : { "content-type": "application/json" },
                ...apiRequest.headers,
            },
            ...apiRequest.body === undefined ? {} : { body: JSON.stringify(apiRequest.body) },
            headersTimeout: REQUEST_TIMEOUT_MS,
            bodyTimeout: REQUEST_TIMEOUT_MS,
        });
        const text = await httpResponse.body.text();
        return { status: httpResponse.statusCode, body: parseBody(text, server), server };
    };

    const send = async (apiRequest: ApiRequest): Promise<ApiResponse> => {
        const requestId = randomUUID();
        const deadline = Date.now() + RETRY_TIMEOUT_MS;
        let failure = "";
        for (;;) {
            for (const server of options.servers) {
                try {
                    const response = await sendTo(server, apiRequest, requestId);
                    if (response.status !== 503 && response.status !== 504) {
                        return response;
                    }
                    failure = `${server}: ${describeFailure(response)}`;
                }
                catch (error) {
                    failure = `${server}: ${(error as Error).message}`;
                }
            }
            if (Date.now() + RETRY_INTERVAL_MS > deadline) {
                throw new CommandError(
                    ExitCode.Unreachable,
                    `${apiRequest.method} ${apiRequest.path}`,
                    options.servers.join(", "),
                    `No server answered within ${RETRY_TIMEOUT_MS / 1_000} s. Last failure: ${failure}`,
                );
            }
            await delay(RETRY_INTERVAL_MS);
        }
    };

    return {
        send,
        sendChecked: async apiRequest => {
            const response = await send(apiRequest);
            if (response.status >= 400) {
                throw new CommandError(
                    exitCodeFor(response),
                    `${apiRequest.method} ${apiRequest.path}`,
                    response.server,
                    describeFailure(response),
                );
            }
            return response;
        },
    };
}

/** Exit code for an error response. A 409 is not always a conflict: a resource that is in use has this status too. */
export function exitCodeFor(response: ApiResponse): ExitCode {
    const conflict: string = ChangeResult.Conflict;
    return response.body.error === conflict ? ExitCode.Conflict : ExitCode.Rejected;
}

function parseBody(text: string, server: string): Record<string, unknown> {
    if (text === "") {
        return {};
    }
    try {
        return JSON.parse(text) as Record<string, unknown>;
    }
    catch {
        throw new Error(`${server} sent a response that is not JSON.`);
    }
}

function describeFailure(response: ApiResponse): string {
    const field = typeof response.body.field === "string" && response.body.field !== ""
        ? `${response.body.field}: `
        : "";
    const message = typeof response.body.message === "string" ? response.body.message : "No reason was given.";
    return `${response.status} ${field}${message}`;
}
