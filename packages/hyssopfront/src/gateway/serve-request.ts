/**
 * Handles one request of a caller from its arrival to its response.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Route } from "../catalog/items.js";
import { authenticate, CREDENTIALS_HEADER } from "../client-accounts/authenticate.js";
import { type ClientAccount, intersectHomeRegions } from "../client-accounts/client-account.js";
import { type AccountQuotas, isAdmitted } from "../client-accounts/quotas/account-quotas.js";
import { type QuotaDecision, QuotaOutcome } from "../client-accounts/quotas/account-state.js";
import { errorFields, EventLevel } from "../event-log/event-log.js";
import { readPendingData } from "../http/read-pending-data.js";
import { RefusalReason } from "../http/refusals.js";
import type { UnfinishedBodies } from "../http/unfinished-bodies.js";
import type { PrometheusMetrics } from "../metrics/prometheus-metrics.js";
import { BodyTooLargeError } from "../routing/request-body.js";
import type { AcceptQueue } from "./accept-queue.js";
import { type BodyMemory, type BodyMemoryReservation, NoBodyMemoryError } from "./body-memory.js";
import { createCallerResponse } from "./caller-response.js";
import type { CatalogView, NamedRoute } from "./catalog-view.js";
import type { EventLoopLag } from "./event-loop-lag.js";
import { forward, type ForwardDependencies, ForwardOutcome } from "./forward.js";
import {
    countHeaderBytes,
    type GatewayRequest,
    readGatewayRequest,
    readTarget,
    type RequestIdentity,
} from "./gateway-request.js";
import type { UnreadResponses } from "./unread-responses.js";

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
    readonly accountQuotas: AccountQuotas;
    readonly bodyMemory: BodyMemory;
    readonly unreadResponses: UnreadResponses;
    readonly unfinishedBodies: UnfinishedBodies;
    readonly isCatalogComplete: () => boolean;
    /** Whether more than one request is in progress on the connection of a caller. */
    readonly isPipelining: (connection: Socket) => boolean;
    /** Drops the requests behind this one on its connection, as its response closes the connection. */
    readonly dropRequestsBehind: (message: IncomingMessage) => void;
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

/** Outcomes of requests that were certainly not run. */
const NOT_RUN_OUTCOMES = new Set([
    ForwardOutcome.Rejected,
    ForwardOutcome.Throttled,
    ForwardOutcome.Stopping,
    ForwardOutcome.NoBackendServer,
]);

/**
 * Takes a token of the quota of an account. Undefined without a quota, for which not even a promise is created.
 */
const acquireToken = (quotas: AccountQuotas, account: ClientAccount | undefined): Promise<QuotaDecision> | undefined =>
    account?.quota === undefined ? undefined : quotas.acquire(account);

/**
 * Returns the bytes of a request once its response is closed, which also happens to a response that waits for earlier
 * ones when its connection is closed. A listener on the connection would remain for each pipelined request.
 */
function releaseWhenClosed(reservation: BodyMemoryReservation, response: ServerResponse): void {
    if (response.writableFinished || response.destroyed) {
        reservation.release();
        return;
    }
    response.once("close", reservation.release);
}

/**
 * Serves one request. Resolves when the response has been handed to the connection or the connection is closed.
 *
 * @param waitedMilliseconds Time that the request has waited for earlier ones on its connection, in milliseconds.
 */
export async function serveRequest(
    dependencies: ServeDependencies,
    message: IncomingMessage,
    response: ServerResponse,
    waitedMilliseconds = 0,
): Promise<void> {
    const reservation = dependencies.bodyMemory.createReservation();
    try {
        await serveWithMemory(dependencies, message, response, waitedMilliseconds, reservation);
    }
    finally {
        releaseWhenClosed(reservation, response);
    }
}

async function serveWithMemory(
    dependencies: ServeDependencies,
    message: IncomingMessage,
    response: ServerResponse,
    waitedMilliseconds: number,
    reservation: BodyMemoryReservation,
): Promise<void> {
    const { catalog, clock, eventLoopLag, log, metrics, headerNames } = dependencies;
    const lagMilliseconds = eventLoopLag.milliseconds();
    const acceptWait = dependencies.acceptQueue.takeWait(message.socket);
    const isLagging = lagMilliseconds > NOTICEABLE_LAG_MS;
    const mayHaveDisconnected = isLagging || acceptWait.milliseconds > NOTICEABLE_LAG_MS;
    // The time that a request has waited to be read, or for others, counts towards its deadline.
    const startedAt = clock.monotonicMilliseconds() - (isLagging ? lagMilliseconds : 0) - waitedMilliseconds;
    const id = String(message.headers[headerNames.requestId] ?? "");
    // Callers should connect to other entries once the stop has begun. A connection that is closed while its caller still
    // sends is reset, and the response may be lost. Responses to pipelined requests follow on the same connection.
    const closesConnection = () =>
        dependencies.currentStop() !== undefined && message.complete && !dependencies.isPipelining(message.socket);
    const caller = createCallerResponse(response, message, headerNames, {
        shouldClose: closesConnection,
        onClosing: () => dependencies.dropRequestsBehind(message),
    }, dependencies.unreadResponses);
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
    // Without accounts the route is looked up only once, when the body has been read.
    const requestedRoute = catalog.accounts.isEmpty ? undefined : catalog.findRoute(target.host, target.path);
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

    const acquiring = acquireToken(dependencies.accountQuotas, account);
    const quotaDecision = acquiring && await acquiring;
    if (quotaDecision !== undefined && !isAdmitted(quotaDecision)) {
        const { retryAfterMilliseconds } = quotaDecision;
        const status = quotaDecision.outcome === QuotaOutcome.Exhausted ? 429 : 503;
        // Only the change of the state of the account is logged, because these responses are as many as the excess requests.
        caller.sendLocalResponse({ status, retryAfterMilliseconds });
        return;
    }

    const service = dependencies.nextService(namedRoute);
    const handedOver = await forward(dependencies, request, route, service, startedAt, caller, account?.name);
    const wasNotRun = NOT_RUN_OUTCOMES.has(handedOver) ||
        (handedOver === ForwardOutcome.TimedOut && response.statusCode === 503);
    if (account !== undefined && quotaDecision !== undefined && wasNotRun) {
        dependencies.accountQuotas.refund(account.name, quotaDecision);
    }
    const elapsed = clock.monotonicMilliseconds() - startedAt;
    const record = (outcome: ForwardOutcome) => {
        metrics.increment("gateway.requests", 1, { service, outcome });
        metrics.observe("gateway.request", elapsed, { service, outcome });
        if (account !== undefined) {
            metrics.increment("gateway.account_requests", 1, { account: account.name, outcome });
        }
        const hasFailed = response.statusCode >= 400 || !response.headersSent || outcome !== handedOver;
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
    };
    recordOnceSent(dependencies, message, response, handedOver, record);
}

/** Records the outcome once it is known whether the caller's connection has taken the whole response. */
function recordOnceSent(
    { unreadResponses }: ServeDependencies,
    { socket }: IncomingMessage,
    response: ServerResponse,
    handedOver: ForwardOutcome,
    record: (outcome: ForwardOutcome) => void,
): void {
    const findOutcome = (isSent: boolean) => {
        if (unreadResponses.wasCutOff(socket) && !isSent) {
            return ForwardOutcome.CallerStalled;
        }
        return handedOver === ForwardOutcome.Completed && !isSent ? ForwardOutcome.CallerDisconnected : handedOver;
    };
    if (response.writableFinished || response.closed || handedOver === ForwardOutcome.CallerDisconnected) {
        record(findOutcome(response.writableFinished));
        return;
    }
    let isSent = false;
    response.once("finish", () => {
        isSent = true;
    });
    response.once("close", () => record(findOutcome(isSent)));
}
