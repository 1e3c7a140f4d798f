/**
 * Handles one request of a caller from its arrival to its response.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Route } from "../catalog/items.js";
import { authenticate, CREDENTIALS_HEADER } from "../client-accounts/authenticate.js";
import { type ClientAccount, intersectHomeRegions } from "../client-accounts/client-account.js";
import { errorFields, EventLevel } from "../event-log/event-log.js";
import { readPendingData } from "../http/read-pending-data.js";
import { RefusalReason } from "../http/refusals.js";
import type { UnfinishedBodies } from "../http/unfinished-bodies.js";
import type { PrometheusMetrics } from "../metrics/prometheus-metrics.js";
import { BodyTooLargeError } from "../routing/request-body.js";
import type { AcceptQueue } from "./accept-queue.js";
import { type BodyMemory, type BodyMemoryReservation, NoBodyMemoryError, releaseWhenSent } from "./body-memory.js";
import { createCallerResponse } from "./caller-response.js";
import type { CatalogView, NamedRoute } from "./catalog-view.js";
import type { EventLoopLag } from "./event-loop-lag.js";
import { forward, type ForwardDependencies } from "./forward.js";
import {
    countHeaderBytes,
    type GatewayRequest,
    readGatewayRequest,
    readTarget,
    type RequestIdentity,
} from "./gateway-request.js";

/** Wait of an unread request beyond which its caller may have disconnected, in milliseconds. */
const NOTICEABLE_LAG_MS = 50;
/** Event loop lag beyond which requests of the lowest priority are rejected, in milliseconds. */
const REJECTION_LAG_MS = 300;
/** Lag that each higher priority tolerates in addition, in milliseconds. */
const REJECTION_LAG_STEP_MS = 150;
/** Requests of this and any lower priority are treated alike; 0 is the highest priority. */
const LOWEST_PRIORITY = 2;
/** Time after which callers that an overloaded entry has rejected should retry, in milliseconds. */
const OVERLOADED_RETRY_MS = 200;
/** Time after which callers that were rejected before the catalog was complete should retry, in milliseconds. */
const NOT_READY_RETRY_MS = 300;
/** Time after which callers for whose bodies there is no memory should retry, in milliseconds. */
const NO_MEMORY_RETRY_MS = 1_000;
/** Time after which callers that no region may serve should retry, in milliseconds. */
const NO_REGION_RETRY_MS = 1_000;

/** What serving requests needs from its entry. */
export type ServeDependencies = ForwardDependencies & {
    readonly metrics: PrometheusMetrics;
    readonly eventLoopLag: EventLoopLag;
    readonly acceptQueue: AcceptQueue;
    readonly catalog: CatalogView;
    readonly bodyMemory: BodyMemory;
    readonly unfinishedBodies: UnfinishedBodies;
    readonly isCatalogComplete: () => boolean;
    /** Whether more than one request is in progress on the connection of a caller. */
    readonly isPipelining: (connection: Socket) => boolean;
    /** Selects the service of the next request of a route. */
    readonly nextService: (route: NamedRoute) => string;
};

/** Event loop lag beyond which a request of this priority is rejected, in milliseconds. */
const rejectionLag = (priority: number) =>
    REJECTION_LAG_MS + (LOWEST_PRIORITY - Math.min(LOWEST_PRIORITY, priority)) * REJECTION_LAG_STEP_MS;

/** Applies the priority and home regions of an account to a route; undefined if no region may serve the request. */
function applyAccount(route: Route, account: ClientAccount | undefined): Route | undefined {
    if (account === undefined) {
        return route;
    }
    const homeRegions = intersectHomeRegions(route.homeRegions, account.homeRegions);
    return homeRegions && { ...route, homeRegions, priority: account.priority ?? route.priority };
}

/** Serves one request. Resolves when the response has been handed to the connection or the connection is closed. */
export async function serveRequest(
    dependencies: ServeDependencies,
    message: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    const reservation = dependencies.bodyMemory.createReservation();
    try {
        await serveWithMemory(dependencies, message, response, reservation);
    }
    finally {
        releaseWhenSent(reservation, message, response);
    }
}

async function serveWithMemory(
    dependencies: ServeDependencies,
    message: IncomingMessage,
    response: ServerResponse,
    reservation: BodyMemoryReservation,
): Promise<void> {
    const { catalog, clock, eventLoopLag, log, metrics, headerNames } = dependencies;
    const lagMilliseconds = eventLoopLag.milliseconds();
    const acceptWait = dependencies.acceptQueue.takeWait(message.socket);
    const isLagging = lagMilliseconds > NOTICEABLE_LAG_MS;
    const mayHaveDisconnected = isLagging || acceptWait.milliseconds > NOTICEABLE_LAG_MS;
    // The time that a request has waited to be read counts towards its deadline.
    const startedAt = clock.monotonicMilliseconds() - (isLagging ? lagMilliseconds : 0);
    const id = String(message.headers[headerNames.requestId] ?? "");
    // Callers should connect to other entries once the stop has begun. A connection that is closed while its caller still
    // sends is reset, and the response may be lost. Responses to pipelined requests follow on the same connection.
    const closesConnection = () =>
        dependencies.currentStop() !== undefined && message.complete && !dependencies.isPipelining(message.socket);
    const caller = createCallerResponse(response, message.method ?? "GET", id, headerNames, closesConnection);
    const respond = (status: number, reason: string, retryAfterMilliseconds?: number) => {
        log(EventLevel.Warning, "local response sent", { request: id, status, reason, path: message.url });
        caller.sendLocalResponse({ status, retryAfterMilliseconds });
    };

    if (!dependencies.isCatalogComplete() || catalog.isEmpty) {
        respond(503, "the catalog is not complete yet", NOT_READY_RETRY_MS);
        return;
    }
    if (acceptWait.isTooLong) {
        respond(503, "the connection waited too long to be accepted", OVERLOADED_RETRY_MS);
        return;
    }
    if (countHeaderBytes(message) > catalog.limits().maximumHeaderBytes) {
        respond(431, "the headers are too large");
        return;
    }
    const target = readTarget(message);
    const requestedRoute = catalog.findRoute(target.host, target.path);
    const account = authenticate(
        catalog.accounts,
        message.headers[CREDENTIALS_HEADER],
        requestedRoute?.route.allowsAnonymous ?? false,
    );
    if (typeof account === "string") {
        if (requestedRoute === undefined) {
            respond(404, "no route matches");
            return;
        }
        metrics.increment("gateway.unauthenticated_requests", 1, { reason: account });
        respond(401, account);
        return;
    }
    const identity: RequestIdentity | undefined = catalog.accounts.isEmpty ? undefined : { accountName: account?.name };
    let request: GatewayRequest;
    try {
        request = await readGatewayRequest(message, headerNames, catalog.limits(), reservation, identity);
    }
    catch (error) {
        if (error instanceof BodyTooLargeError) {
            respond(413, "the body is too large");
        }
        else if (error instanceof NoBodyMemoryError) {
            dependencies.unfinishedBodies.closeStalled();
            dependencies.unfinishedBodies.report(RefusalReason.NoMemory);
            respond(503, "there is no memory for the body", NO_MEMORY_RETRY_MS);
        }
        else {
            log(EventLevel.Info, "request not read", { request: id, ...errorFields(error) });
            caller.abort();
        }
        return;
    }
    const namedRoute = catalog.findRoute(target.host, target.path);
    if (namedRoute === undefined) {
        respond(404, "no route matches");
        return;
    }
    const route = applyAccount(namedRoute.route, account);
    if (route === undefined) {
        respond(503, "no region may serve both the route and the account", NO_REGION_RETRY_MS);
        return;
    }
    if (isLagging && lagMilliseconds > rejectionLag(route.priority)) {
        respond(503, "the entry is overloaded", OVERLOADED_RETRY_MS);
        return;
    }
    if (mayHaveDisconnected) {
        await readPendingData();
    }

    const service = dependencies.nextService(namedRoute);
    const outcome = await forward(dependencies, request, route, service, startedAt, caller);
    const elapsed = clock.monotonicMilliseconds() - startedAt;
    metrics.increment("gateway.requests", 1, { service, outcome });
    metrics.observe("gateway.request", elapsed, { service, outcome });
    if (account !== undefined) {
        metrics.increment("gateway.account_requests", 1, { account: account.name, outcome });
    }
    const hasFailed = response.statusCode >= 400 || !response.headersSent;
    if (hasFailed || elapsed > route.latencyObjectiveMilliseconds) {
        log(hasFailed ? EventLevel.Warning : EventLevel.Info, "request ended", {
            request: id,
            route: namedRoute.name,
            version: namedRoute.version,
            service,
            account: account?.name,
            outcome,
            status: response.headersSent ? response.statusCode : undefined,
            milliseconds: Math.round(elapsed),
            objective: route.latencyObjectiveMilliseconds,
            delay: Math.round(lagMilliseconds),
            acceptWait: Math.round(acceptWait.milliseconds),
        });
    }
}
