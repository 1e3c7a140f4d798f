/**
 * Request handler of the operator API: routes, authorization and error responses.
 */
import type { Clock, Counters } from "@hyssopfront/coordination";
import type { IncomingMessage, ServerResponse } from "node:http";
import { ChangeResult } from "../resources/messages.js";
import { COLLECTION_NAMES, nameSchema, ResourceKind } from "../resources/resource.js";
import { createAuthorization } from "./authorization.js";
import {
    createDeleteCommand,
    createPutCommand,
    readRequestId,
    type ResourceId,
    toHttpResponse,
} from "./change-requests.js";
import { ChangeOutcomeUnknownError, NoLeaderError, type OperatorApiBackend } from "./messages.js";
import { type BodyReader, createBodyReader } from "./request-body.js";
import { ApiError, sendError, sendJson, writeChunk } from "./responses.js";
import { streamWatch } from "./watch.js";

/** Dependencies and limits of the request handler. */
export type OperatorApiOptions = {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly backend: OperatorApiBackend;
    /** Bearer token of operators; without it all requests are authorized. */
    readonly token?: string;
    readonly maximumBodyBytes?: number;
    /** Limit of the bodies of all changes in progress together. */
    readonly maximumBufferedBytes?: number;
    readonly maximumWatches?: number;
    readonly watchProgressIntervalMilliseconds?: number;
    readonly slowReaderTimeoutMilliseconds?: number;
    /** Aborts at a graceful stop and ends the watches. */
    readonly stopping: AbortSignal;
};

const MAXIMUM_WATCHES = 256;

const KINDS_BY_COLLECTION = new Map(Object.values(ResourceKind).map(kind => [COLLECTION_NAMES[kind], kind]));

type Route = { readonly path: readonly string[]; readonly query: URLSearchParams };

const parseRoute = (request: IncomingMessage): Route => {
    const [path = "", query = ""] = (request.url ?? "").split("?", 2);
    return { path: path.split("/").slice(1), query: new URLSearchParams(query) };
};

const notFound = () => new ApiError(404, "notFound", "There is nothing at this path.");

const methodNotAllowed = (allowed: string) =>
    new ApiError(405, "methodNotAllowed", `Use one of the methods ${allowed}.`, {}, { "Allow": allowed });

const parseName = (name: string) => {
    const parsed = nameSchema.safeParse(name);
    if (!parsed.success) {
        throw new ApiError(422, "invalid", parsed.error.issues[0]?.message ?? "The name is not valid.", {
            field: "name",
        });
    }
    return parsed.data;
};

/** Converts any error of a request into the error that the operator receives. */
const toApiError = (error: unknown, requestId: string | undefined): ApiError => {
    if (error instanceof ApiError) {
        return error;
    }
    if (error instanceof NoLeaderError) {
        return new ApiError(503, "noLeader", error.message, {}, { "Retry-After": String(error.retryAfterSeconds) });
    }
    if (error instanceof ChangeOutcomeUnknownError) {
        const message = `${error.message} Resend the change with the same Request-Id to learn its outcome.`;
        return new ApiError(504, "outcomeUnknown", message, { requestId });
    }
    return new ApiError(500, "internal", "The request failed inside this instance.");
};

/**
 * Creates the handler of all requests.
 *
 * @returns A function that sends the response to one request and never rejects.
 */
export function createOperatorApiHandler(
    options: OperatorApiOptions,
): (request: IncomingMessage, response: ServerResponse) => Promise<void> {
    const { backend, clock, counters } = options;
    const authorize = createAuthorization(options.token);
    const bodyReader: BodyReader = createBodyReader(options);
    let openWatches = 0;

    const propose = async (request: IncomingMessage, response: ServerResponse, resourceId: ResourceId) => {
        const requestId = readRequestId(request);
        response.setHeader("Request-Id", requestId);
        const proposedAt = clock.wallTime().getTime();
        const command = request.method === "PUT"
            ? createPutCommand(request, requestId, resourceId, await bodyReader.readJson(request, response), proposedAt)
            : createDeleteCommand(request, requestId, resourceId, proposedAt);
        const { statusCode, body } = toHttpResponse(command, await backend.propose(command));
        sendJson(response, statusCode, body, { "ETag": `"${body.revision}"` });
    };

    const readResource = async ({ kind, name }: ResourceId, isFresh: boolean, response: ServerResponse) => {
        const { items } = await backend.read(kind, name, isFresh);
        const [item] = items;
        if (item === undefined) {
            throw new ApiError(404, "notFound", `The ${kind} ${name} does not exist.`);
        }
        sendJson(response, 200, item, { "ETag": `"${item.revision}"` });
    };

    const listResources = async (kind: ResourceKind, isFresh: boolean, response: ServerResponse) => {
        const { revision, items } = await backend.read(kind, undefined, isFresh);
        response.writeHead(200, { "Content-Type": "application/json", "Cache-Control": "no-store" });
        // Resources are encoded one by one. Encoding a long list at once would block the event loop and delay heartbeats.
        await writeChunk(response, `{"revision":${revision},"items":[`, options.slowReaderTimeoutMilliseconds);
        for (const [index, item] of items.entries()) {
            const separator = index === 0 ? "" : ",";
            await writeChunk(response, separator + JSON.stringify(item), options.slowReaderTimeoutMilliseconds);
            if (index % 64 === 63) {
                await new Promise(resolve => setImmediate(resolve));
            }
        }
        response.end("]}\n");
    };

    const watch = async (query: URLSearchParams, response: ServerResponse) => {
        const from = query.get("fromRevision") ?? "0";
        if (!/^\d{1,15}$/.test(from)) {
            throw new ApiError(400, "fromRevision", "fromRevision must be a revision, such as 12.");
        }
        if (openWatches >= (options.maximumWatches ?? MAXIMUM_WATCHES)) {
            counters.increment("operator_api.watches_refused");
            throw new ApiError(503, "busy", "Too many watches are open.", {}, { "Retry-After": "5" });
        }
        const disconnected = new AbortController();
        response.once("close", () => disconnected.abort(new Error("The client disconnected.")));
        openWatches += 1;
        try {
            await streamWatch(backend, response, {
                afterRevision: Number(from),
                progressIntervalMilliseconds: options.watchProgressIntervalMilliseconds,
                slowReaderTimeoutMilliseconds: options.slowReaderTimeoutMilliseconds,
                signal: AbortSignal.any([disconnected.signal, options.stopping]),
            });
        }
        catch (error) {
            if (!response.headersSent) {
                throw error;
            }
            counters.increment(disconnected.signal.aborted ? "operator_api.readers_left" : "operator_api.slow_readers");
            response.destroy();
        }
        finally {
            openWatches -= 1;
        }
    };

    const removeEntry = async (name: string, response: ServerResponse) => {
        const removal = await backend.removeEntry?.(parseName(name));
        if (removal === undefined || removal.result === ChangeResult.NotFound) {
            throw new ApiError(404, "notFound", `The entry ${name} is not registered.`);
        }
        if (removal.result !== ChangeResult.Deleted) {
            throw new ApiError(409, removal.result, removal.message ?? "The entry cannot be removed.");
        }
        sendJson(response, 200, { kind: "Entry", name, revision: removal.revision, result: removal.result });
    };

    const routeResource = async (request: IncomingMessage, response: ServerResponse, route: Route) => {
        const [, collection = "", name] = route.path;
        const kind = KINDS_BY_COLLECTION.get(collection);
        if (kind === undefined) {
            throw notFound();
        }
        const isFresh = route.query.get("fresh") !== "false";
        if (name === undefined) {
            if (request.method !== "GET") {
                throw methodNotAllowed("GET");
            }
            return listResources(kind, isFresh, response);
        }
        const resourceId = { kind, name: parseName(name) };
        switch (request.method) {
            case "GET":
                return readResource(resourceId, isFresh, response);
            case "PUT":
            case "DELETE":
                return propose(request, response, resourceId);
            default:
                throw methodNotAllowed("GET, PUT, DELETE");
        }
    };

    const route = async (request: IncomingMessage, response: ServerResponse) => {
        authorize(request);
        const parsed = parseRoute(request);
        const [version, collection, name] = parsed.path;
        if (version !== "v1" || parsed.path.length < 2 || parsed.path.length > 3) {
            throw notFound();
        }
        if (collection === "entries" && name !== undefined) {
            if (request.method !== "DELETE") {
                throw methodNotAllowed("DELETE");
            }
            return removeEntry(name, response);
        }
        if (name === undefined && (collection === "watch" || collection === "status")) {
            if (request.method !== "GET") {
                throw methodNotAllowed("GET");
            }
            return collection === "watch"
                ? watch(parsed.query, response)
                : sendJson(response, 200, await backend.status());
        }
        return routeResource(request, response, parsed);
    };

    return async (request, response) => {
        try {
            await route(request, response);
        }
        catch (error) {
            const apiError = toApiError(error, response.getHeader("Request-Id") as string | undefined);
            counters.increment("operator_api.errors", 1, { code: apiError.code });
            if (!request.complete && !response.headersSent) {
                // The rest of the body of a rejected request is not read, so the connection cannot be reused.
                response.setHeader("Connection", "close");
            }
            sendError(response, apiError);
        }
    };
}
