/**
 * Takes one request of a caller from its arrival to its answer.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { errorFields, EventLevel } from "../event-log/event-log.js";
import type { TextMetrics } from "../metrics/text-metrics.js";
import { BodyTooLargeError } from "../routing/request-body.js";
import type { AcceptQueue } from "./accept-queue.js";
import { createCallerResponse } from "./caller-response.js";
import type { CatalogView, NamedRoute } from "./catalog-view.js";
import type { EventLoopLag } from "./event-loop-lag.js";
import { forward, type ForwardDependencies } from "./forward.js";
import { countHeaderBytes, type GatewayRequest, readGatewayRequest } from "./gateway-request.js";

/** With this delay before a request is read, its caller may have left, in milliseconds. */
const NOTICEABLE_LAG_MS = 50;
/** Delay of the event loop beyond which requests are refused, the least urgent first, in milliseconds. */
const REFUSING_LAG_MS = 300;
/** Further delay for each step of urgency, in milliseconds. */
const REFUSING_LAG_STEP_MS = 150;
/** Priorities are told apart up to this one; 0 is the most urgent. */
const LEAST_URGENT_PRIORITY = 2;
/** Callers that an overloaded entry refuses come back after this time, in milliseconds. */
const OVERLOADED_RETRY_MS = 200;
/** Callers that are refused before the catalog is known come back after this time, in milliseconds. */
const NOT_READY_RETRY_MS = 300;

export type ServeDependencies = ForwardDependencies & {
    readonly metrics: TextMetrics;
    readonly eventLoopLag: EventLoopLag;
    readonly acceptQueue: AcceptQueue;
    readonly catalog: CatalogView;
    readonly isCatalogComplete: () => boolean;
    /** True while callers should connect elsewhere. */
    readonly isStopping: () => boolean;
    /** Service that gets the next request of a route. */
    readonly nextService: (route: NamedRoute) => string;
};

/** Delay of the event loop beyond which a request of this priority is refused, in milliseconds. */
const refusingLag = (priority: number) =>
    REFUSING_LAG_MS + (LEAST_URGENT_PRIORITY - Math.min(LEAST_URGENT_PRIORITY, priority)) * REFUSING_LAG_STEP_MS;

/** Serves one request; the answer has been handed to the connection when it resolves. */
export async function serveRequest(
    tools: ServeDependencies,
    message: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    const { catalog, clock, eventLoopLag: lag, log, metrics, headerNames: names } = tools;
    const delay = lag.milliseconds();
    const acceptWait = tools.acceptQueue.takeWaitMilliseconds(message.socket);
    const isBehind = delay > NOTICEABLE_LAG_MS;
    const mayHaveLeft = isBehind || acceptWait > NOTICEABLE_LAG_MS;
    // A request that waited to be read has used up that much of its time.
    const startedAt = clock.monotonicMilliseconds() - (isBehind ? delay : 0);
    const id = String(message.headers[names.requestId] ?? "");
    const caller = createCallerResponse(response, message.method ?? "GET", id, names, tools.isStopping);
    const answer = (status: number, reason: string, retryAfterMilliseconds?: number) => {
        log(EventLevel.Warning, "request answered", { request: id, status, reason, path: message.url });
        caller.sendLocalResponse({ status, retryAfterMilliseconds });
    };

    if (!tools.isCatalogComplete()) {
        answer(503, "the catalog is not known yet", NOT_READY_RETRY_MS);
        return;
    }
    if (countHeaderBytes(message) > catalog.limits().maximumHeaderBytes) {
        answer(431, "the headers are too large");
        return;
    }
    let request: GatewayRequest;
    try {
        request = await readGatewayRequest(message, names, catalog.limits());
    }
    catch (error) {
        if (error instanceof BodyTooLargeError) {
            answer(413, "the body is too large");
        }
        else {
            log(EventLevel.Info, "request not read", { request: id, ...errorFields(error) });
            caller.abort();
        }
        return;
    }
    const named = catalog.findRoute(request.host, request.path.split("?", 1)[0] as string);
    if (named === undefined) {
        answer(404, "no route");
        return;
    }
    if (isBehind && delay > refusingLag(named.route.priority)) {
        answer(503, "the entry is overloaded", OVERLOADED_RETRY_MS);
        return;
    }
    if (mayHaveLeft) {
        await lag.readPendingData();
    }

    const service = tools.nextService(named);
    const outcome = await forward(tools, request, named.route, service, startedAt, caller);
    const took = clock.monotonicMilliseconds() - startedAt;
    metrics.increment("gateway.requests", 1, { service, outcome });
    metrics.observe("gateway.request", took, { service, outcome });
    const hasFailed = response.statusCode >= 400 || !response.headersSent;
    if (hasFailed || took > named.route.latencyObjectiveMilliseconds) {
        log(hasFailed ? EventLevel.Warning : EventLevel.Info, "request ended", {
            request: id,
            route: named.name,
            version: named.version,
            service,
            outcome,
            status: response.headersSent ? response.statusCode : undefined,
            milliseconds: Math.round(took),
            objective: named.route.latencyObjectiveMilliseconds,
            delay: Math.round(delay),
            acceptWait: Math.round(acceptWait),
        });
    }
}
