/**
 * The request path of an entry, from the request of a caller on the HTTP server of Node.js to its response.
 */
import { type Clock, type Counters, NO_COUNTERS } from "@hyssopfront/coordination";
import createDebug from "debug";
import { randomBytes } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import type { Admission } from "../admission/admission.js";
import type { AnnouncedBackendServer, AnnouncementSource } from "../announcements/announcement.js";
import type { ConfigurationSource, ConfigurationView } from "../configuration/configuration-view.js";
import { RequestClass } from "../resources/resource.js";
import type { RunOnceClient } from "../run-once/run-once-client.js";
import type { InFlightOnBackendServer } from "../sessions/messages.js";
import { createBackendStates } from "./backend-state.js";
import { createCallerResponse } from "./caller-response.js";
import { rejectUnparsableRequest } from "./caller-server.js";
import { type ExchangeDependencies, ExchangeEnd, type ExchangePlan } from "./exchange-plan.js";
import { startExchange } from "./exchange.js";
import { selectRequestHeaders } from "./headers.js";
import { type InspectedRequest, inspectRequest } from "./inspect-request.js";
import { createLatencyEstimate, type LatencyEstimate } from "./latency-estimate.js";
import { type LoadBalancingPolicy, powerOfTwoChoices } from "./load-balancing-policy.js";
import { type LocalResponse, sendLocalResponse } from "./local-response.js";
import {
    DEFAULT_DEADLINE_MS,
    FailureReason,
    MAXIMUM_BODY_BYTES,
    REPLAYABLE_BODY_BYTES,
    RequestOutcome,
} from "./messages.js";
import { startProbeIfDue } from "./probe.js";
import { createRatioBudget } from "./ratio-budget.js";
import { readWholeBody, streamBody, type StreamedBody } from "./request-body.js";
import { type PreparedExchange, serveRunOnce } from "./run-once-exchange.js";
import { createBackendServerSelector, type SelectorOptions } from "./select-backend-server.js";
import { isOutsideDrains } from "./shifts-and-drains.js";
import { createTimers } from "./timers.js";
import { createRequestQueue } from "./waiting/request-queue.js";

/** Options of the request handler. */
export type RequestHandlerOptions = {
    /** Name and availability zone of this entry. */
    readonly entry: { readonly name: string; readonly availabilityZone: string };
    readonly clock: Clock;
    readonly configuration: ConfigurationSource;
    readonly announcements: AnnouncementSource;
    readonly admission: Admission;
    readonly counters?: Counters;
    /** Returns numbers that are uniform in [0, 1). Default: `Math.random`. */
    readonly random?: () => number;
    /** Default: power of two choices. */
    readonly policy?: LoadBalancingPolicy;
    /**
     * Returns false for backend servers that must not get new requests. Default: those that a declared drain covers.
     */
    readonly acceptsNewRequests?: (backendServer: AnnouncedBackendServer, view: ConfigurationView) => boolean;
    /** Returns the availability zone that a request originates in. Default: that of the entry. */
    readonly locateCaller?: (request: IncomingMessage) => string;
    /** Called after each complete response of a backend server with the time since the arrival of the request. */
    readonly recordLatency?: (tenant: string, requestClass: RequestClass, milliseconds: number) => void;
    /** Maximum number of queued requests of one tenant and request class. */
    readonly maximumQueueLength?: number;
    /** Client for the records of run-once requests. Without it, run-once requests are rejected. */
    readonly runOnce?: RunOnceClient;
    /** Requests a session renewal before it is due, so that queued requests obtain quotas sooner. */
    readonly requestSessionRenewal?: () => void;
    readonly defaultDeadlineMilliseconds?: number;
    readonly maximumBodyBytes?: number;
};

/** Handles the requests of callers. */
export type RequestHandler = {
    (request: IncomingMessage, response: ServerResponse): Promise<void>;
    /** Handles the `clientError` event of the server: responds to a request that could not be parsed. */
    handleClientError(error: Error & { code?: string }, socket: Duplex): void;
    /**
     * From now on, closes the connections of callers after their responses, so that callers connect to another entry.
     * Resolves when no request is in flight and the outcomes of run-once requests are recorded.
     */
    drain(): Promise<void>;
    /** Dispatches queued requests. Must be called when quotas were granted. */
    onGrants(): void;
    /** Requests whose response has not ended. */
    readonly inFlight: number;
    /** Returns the backend servers with requests in flight. */
    inFlightOnBackendServers(): readonly InFlightOnBackendServer[];
    /** Queued requests, which are also counted as in flight. */
    readonly queued: number;
    /** Closes the connections to backend servers and stops all timers. Must be called after `drain`. */
    close(): void;
};

const debug = createDebug("hyssopfront:routing");

const NONE_EXCLUDED: ReadonlySet<string> = new Set();
/** Abort reason. It is a constant because a default reason would capture a stack trace for each abort. */
const CALLER_DISCONNECTED = new Error("The caller closed its connection.");

/** Share of the requests that may be retried. */
const RETRY_RATIO = 0.1;
/** Share of the requests that may be hedged. */
const HEDGE_RATIO = 0.05;
/** Retries, and hedges, that are allowed beyond their share of the requests. */
const RATIO_BUDGET_BURST = 10;

/**
 * Creates the request handler for `createCallerServer`.
 */
export function createRequestHandler(options: RequestHandlerOptions): RequestHandler {
    const { clock, entry } = options;
    const counters = options.counters ?? NO_COUNTERS;
    const random = options.random ?? Math.random;
    const states = createBackendStates(clock, random, counters);
    const timers = createTimers(clock);
    const selectorOptions: SelectorOptions = {
        availabilityZone: entry.availabilityZone,
        configuration: options.configuration,
        announcements: options.announcements,
        admission: options.admission,
        clock,
        random,
        counters,
        states,
        policy: options.policy ?? powerOfTwoChoices,
        acceptsNewRequests: options.acceptsNewRequests ?? ((server, view) => isOutsideDrains(view, server)),
        startProbe: (backendServer, state) => startProbeIfDue(clock, timers, counters, backendServer, state),
    };
    const select = createBackendServerSelector(selectorOptions);
    const requestQueue = createRequestQueue({
        ...selectorOptions,
        entry: entry.name,
        timers,
        select,
        maximumQueueLength: options.maximumQueueLength,
        requestSessionRenewal: options.requestSessionRenewal ?? (() => undefined),
    });
    const dependencies: ExchangeDependencies = {
        clock,
        timers,
        counters,
        admission: options.admission,
        announcements: options.announcements,
        states,
        select,
        onCapacityAvailable: requestQueue.onCapacityAvailable,
        retryBudget: createRatioBudget(RETRY_RATIO, () => RATIO_BUDGET_BURST),
        hedgeBudget: createRatioBudget(HEDGE_RATIO, () => RATIO_BUDGET_BURST),
        nextRequestId: createRequestIds(),
    };
    const latencyEstimates = new Map<string, LatencyEstimate>();
    const openResponses = new Map<Duplex, number>();
    let inFlight = 0;
    let isDraining = false;
    let drainWaiters: (() => void)[] = [];

    const onRequestFinished = () => {
        inFlight -= 1;
        if (inFlight === 0) {
            drainWaiters.forEach(resolve => resolve());
            drainWaiters = [];
        }
    };

    /** Counts the open responses of each connection, which decide how a request that cannot be parsed is rejected. */
    const trackResponse = (socket: Duplex, response: ServerResponse) => {
        openResponses.set(socket, (openResponses.get(socket) ?? 0) + 1);
        response.once("close", () => {
            const remaining = (openResponses.get(socket) ?? 1) - 1;
            if (remaining === 0) {
                openResponses.delete(socket);
            }
            else {
                openResponses.set(socket, remaining);
            }
        });
    };

    const respondLocally = (response: ServerResponse, localResponse: LocalResponse) => {
        counters.increment("routing.own_answers", 1, { reason: localResponse.reason, outcome: localResponse.outcome });
        if (!response.headersSent && !response.destroyed) {
            sendLocalResponse(
                response,
                entry.name,
                isDraining ? { ...localResponse, closesConnection: true } : localResponse,
            );
        }
    };

    const getLatencyEstimate = (request: InspectedRequest) => {
        const key = `${request.service}/${request.requestClass}`;
        const existing = latencyEstimates.get(key);
        if (existing !== undefined) {
            return existing;
        }
        const created = createLatencyEstimate();
        latencyEstimates.set(key, created);
        return created;
    };

    const readBody = (
        request: IncomingMessage,
        inspected: InspectedRequest,
    ): Promise<Buffer> | StreamedBody | undefined => {
        if (inspected.contentLength === 0) {
            return undefined;
        }
        if (inspected.contentLength !== undefined && inspected.contentLength <= REPLAYABLE_BODY_BYTES) {
            return readWholeBody(request, REPLAYABLE_BODY_BYTES);
        }
        return streamBody(request, options.maximumBodyBytes ?? MAXIMUM_BODY_BYTES);
    };

    const prepare = (
        request: IncomingMessage,
        response: ServerResponse,
        inspected: InspectedRequest,
        body: Buffer | StreamedBody | undefined,
        startedAt: number,
    ): PreparedExchange => {
        const plan: ExchangePlan = {
            request: inspected,
            origin: options.locateCaller?.(request) ?? entry.availabilityZone,
            shiftSample: random(),
            headers: selectRequestHeaders(request.rawHeaders, request.headers.connection),
            body,
            deadlineAt: startedAt + inspected.deadlineMilliseconds,
            latencyEstimate: getLatencyEstimate(inspected),
        };
        return {
            admit: cancelSignal =>
                requestQueue.admit(
                    { request: inspected, origin: plan.origin, shiftSample: plan.shiftSample, excluded: NONE_EXCLUDED },
                    plan.deadlineAt,
                    () =>
                        cancelSignal === undefined
                            ? signalOnDisconnect(response)
                            : AbortSignal.any([signalOnDisconnect(response), cancelSignal]),
                ),
            run: async (admissionResult, observer, lateResponsePolicy) => {
                const callerResponse = createCallerResponse(
                    response,
                    entry.name,
                    () => isDraining,
                    () => exchange.onCallerDisconnected(),
                );
                const exchange = startExchange(
                    dependencies,
                    plan,
                    callerResponse,
                    admissionResult,
                    observer,
                    lateResponsePolicy,
                );
                const result = await exchange.result;
                if (result.end === ExchangeEnd.Completed) {
                    const milliseconds = clock.monotonicMilliseconds() - startedAt;
                    options.recordLatency?.(inspected.tenant, inspected.requestClass, milliseconds);
                }
                return result;
            },
        };
    };

    const serveIdempotent = async (
        request: IncomingMessage,
        response: ServerResponse,
        inspected: InspectedRequest,
        startedAt: number,
    ): Promise<void> => {
        const pendingBody = readBody(request, inspected);
        let body: Buffer | StreamedBody | undefined;
        try {
            body = pendingBody instanceof Promise ? await pendingBody : pendingBody;
        }
        catch {
            // The caller closed its connection, so no response can be sent.
            response.destroy();
            return;
        }
        const prepared = prepare(request, response, inspected, body, startedAt);
        const admission = prepared.admit();
        const result = await prepared.run(admission instanceof Promise ? await admission : admission);
        if (result.end === ExchangeEnd.NoResponse) {
            respondLocally(response, result.response);
        }
    };

    const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        const startedAt = clock.monotonicMilliseconds();
        const inspected = inspectRequest(request, options.configuration.view(), {
            defaultDeadlineMilliseconds: options.defaultDeadlineMilliseconds ?? DEFAULT_DEADLINE_MS,
            maximumBodyBytes: options.maximumBodyBytes ?? MAXIMUM_BODY_BYTES,
        });
        if ("status" in inspected) {
            respondLocally(response, { ...inspected, outcome: RequestOutcome.NotRun, closesConnection: true });
            return;
        }
        if (inspected.requestClass === RequestClass.Idempotent) {
            await serveIdempotent(request, response, inspected, startedAt);
            return;
        }
        if (options.runOnce === undefined) {
            respondLocally(response, {
                status: 503,
                outcome: RequestOutcome.NotRun,
                reason: FailureReason.RunOnceUnavailable,
                message: "This entry serves no run-once requests.",
            });
            return;
        }
        await serveRunOnce(request, response, inspected, {
            client: options.runOnce,
            entry: entry.name,
            wallTime: () => clock.wallTime().getTime(),
            remainingMilliseconds: () => startedAt + inspected.deadlineMilliseconds - clock.monotonicMilliseconds(),
            sleep: milliseconds => clock.sleep(milliseconds),
            respond: localResponse => respondLocally(response, localResponse),
            prepare: body => prepare(request, response, { ...inspected, contentLength: body.length }, body, startedAt),
        });
    };

    const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        inFlight += 1;
        trackResponse(request.socket, response);
        const closed = new Promise<void>(resolve => response.once("close", resolve));
        try {
            await serve(request, response);
            await closed;
        }
        catch (error) {
            // After an internal error, the caller must not mistake a part of a response for a complete one.
            counters.increment("routing.internal_errors");
            debug("request failed with an internal error, closing the connection of its caller: %O", error);
            response.destroy();
        }
        finally {
            onRequestFinished();
        }
    };

    return Object.defineProperties(handle, {
        handleClientError: {
            value: (error: Error & { code?: string }, socket: Duplex) =>
                rejectUnparsableRequest(error, socket, entry.name, counters, (openResponses.get(socket) ?? 0) > 0),
        },
        drain: {
            value: async () => {
                isDraining = true;
                if (inFlight > 0) {
                    await new Promise<void>(resolve => drainWaiters.push(resolve));
                }
                await options.runOnce?.waitUntilIdle();
            },
        },
        onGrants: { value: requestQueue.onGrants },
        inFlight: { get: () => inFlight },
        inFlightOnBackendServers: {
            value: () =>
                states.all()
                    .filter(state => state.inFlight > 0)
                    .map(({ service, name, availabilityZone, inFlight: count }) => ({
                        service,
                        name,
                        availabilityZone,
                        inFlight: count,
                    })),
        },
        queued: { get: () => requestQueue.length },
        close: {
            value: () => {
                states.close();
                timers.close();
            },
        },
    }) as RequestHandler;
}

/** Returns a signal that aborts when the caller closes its connection. */
function signalOnDisconnect(response: ServerResponse): AbortSignal {
    const controller = new AbortController();
    if (response.destroyed) {
        controller.abort(CALLER_DISCONNECTED);
    }
    response.once("close", () => controller.abort(CALLER_DISCONNECTED));
    return controller.signal;
}

/** Creates a function that returns ids unique across all entries: a random prefix of this process and a number. */
function createRequestIds(): () => string {
    const prefix = randomBytes(9).toString("base64url");
    let lastNumber = 0;
    return () => {
        lastNumber += 1;
        return `${prefix}-${lastNumber}`;
    };
}
