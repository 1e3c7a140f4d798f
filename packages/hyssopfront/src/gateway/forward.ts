/**
 * Brings one request to an answer: sends it to a backend server, and to another one where it may run again.
 */
import type { Clock, Counters } from "@hyssopfront/coordination";
import type { Route } from "../catalog/items.js";
import { EventLevel, type EventLog } from "../event-log/event-log.js";
import type { RatioBudget } from "../routing/ratio-budget.js";
import type { Timers } from "../routing/timers.js";
import type { BackendServer, BackendServers } from "./backend-servers.js";
import type { CallerResponse } from "./caller-response.js";
import { type Dispatch, dispatch, DispatchOutcome, type DispatchResult } from "./dispatch.js";
import type { GatewayRequest } from "./gateway-request.js";
import type { HeaderNames } from "./header-names.js";
import { estimateLoad, type LoadBalancer, NoServer } from "./load-balancing/load-balancer.js";

/** Sends of one request beyond its allowed runs, after refusals. */
const EXTRA_SENDS = 2;
/** Part of the remaining time after which a caller that was refused should come back; callers honor up to a third. */
const RETRY_AFTER_SHARE = 0.15;
const LONGEST_RETRY_AFTER_MS = 400;
/** A request waits for the first one of its object for at most this many times the objective of its route. */
const LONGEST_WAIT_FOR_FIRST = 2;
/** With less than this left, another backend server could not answer in time, in milliseconds. */
const SHORTEST_ATTEMPT_MS = 30;

export type ForwardDependencies = {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly log: EventLog;
    readonly timers: Timers;
    readonly headerNames: HeaderNames;
    readonly servers: BackendServers;
    readonly loadBalancer: LoadBalancer;
    /** Connections that this entry may open to one backend server of a service. */
    readonly connectionLimit: (service: string) => number;
    readonly retryBudget: (service: string) => RatioBudget;
};

export enum ForwardOutcome {
    Completed = "answered",
    CallerDisconnected = "caller-gone",
    TimedOut = "timed-out",
    Rejected = "refused",
    NoServer = "no-server",
    Failed = "failed",
    Truncated = "cut-short",
}

enum CancelReason {
    Deadline = "deadline",
    CallerDisconnected = "caller-gone",
}

/** Everything that is decided about one request on its way. */
type ForwardState = {
    readonly excluded: Set<string>;
    /** Sends that may have led to a run. */
    runs: number;
    sends: number;
    stop: CancelReason | undefined;
    current: Dispatch | undefined;
};

const isServerFailure = (status: number) => status >= 500;

function noteHealth(tools: ForwardDependencies, server: BackendServer, result: DispatchResult): void {
    const { log } = tools;
    const { id } = server.record;
    switch (result.outcome) {
        case DispatchOutcome.NotSent:
            server.health.eject();
            log(EventLevel.Warning, "backend server unreachable", { server: id, reason: result.message });
            break;
        case DispatchOutcome.Replaced:
            tools.servers.markReplaced(server);
            log(EventLevel.Warning, "backend server replaced", { server: id });
            break;
        case DispatchOutcome.Failed:
        case DispatchOutcome.Truncated:
            if (server.health.recordFailure()) {
                log(EventLevel.Warning, "backend server ejected", { server: id, reason: result.message });
            }
            break;
        case DispatchOutcome.Completed:
            if (result.head !== undefined && isServerFailure(result.head.status) && server.health.recordFailure()) {
                log(EventLevel.Warning, "backend server ejected", { server: id, status: result.head.status });
            }
            break;
        default:
            break;
    }
}

/** Counts a request to a cold backend server; each leaves a line, since the bound on them is shared by all entries. */
function noteColdSend(
    { clock, counters, log }: ForwardDependencies,
    server: BackendServer,
    request: GatewayRequest,
): void {
    const coldMilliseconds = server.coldUntil - clock.monotonicMilliseconds();
    if (coldMilliseconds <= 0) {
        return;
    }
    const { id, service, startedAt, sequence } = server.record;
    server.coldRequests.increment();
    counters.increment("gateway.cold_requests", 1, { service });
    log(EventLevel.Info, "cold backend server used", {
        request: request.id,
        service,
        server: id,
        startedAt,
        sequence,
        coldMilliseconds: Math.round(coldMilliseconds),
        sentInWindow: server.coldRequests.count(),
    });
}

/**
 * Forwards a request and answers its caller.
 *
 * @param startedAt Monotonic milliseconds of the arrival of the request.
 */
export async function forward(
    tools: ForwardDependencies,
    request: GatewayRequest,
    route: Route,
    service: string,
    startedAt: number,
    caller: CallerResponse,
): Promise<ForwardOutcome> {
    const { clock, log } = tools;
    const endsAt = startedAt + Math.min(route.timeoutMilliseconds, request.callerTimeoutMilliseconds ?? Infinity);
    const journey: ForwardState = { excluded: new Set(), runs: 0, sends: 0, stop: undefined, current: undefined };
    const budget = tools.retryBudget(service);
    const canRepeat = request.body === undefined || Buffer.isBuffer(request.body);

    const stop = (reason: CancelReason) => {
        journey.stop ??= reason;
        journey.current?.cancel();
    };
    const remaining = () => endsAt - clock.monotonicMilliseconds();
    const refuse = (outcome: ForwardOutcome) => {
        const retryAfterMilliseconds = Math.min(LONGEST_RETRY_AFTER_MS, Math.max(0, remaining()) * RETRY_AFTER_SHARE);
        caller.sendLocalResponse({ status: 503, retryAfterMilliseconds });
        return outcome;
    };
    const endEarly = () => {
        if (journey.stop === CancelReason.CallerDisconnected) {
            return ForwardOutcome.CallerDisconnected;
        }
        if (journey.runs === 0) {
            return refuse(ForwardOutcome.TimedOut);
        }
        caller.sendLocalResponse({ status: 504 });
        return ForwardOutcome.TimedOut;
    };
    const mayRepeat = () =>
        canRepeat && journey.runs < route.maximumAttempts && journey.sends < route.maximumAttempts + EXTRA_SENDS
        && remaining() > SHORTEST_ATTEMPT_MS && journey.stop === undefined;

    /** Resolves when the first request of the object has ended, or after a while. */
    const waitForFirst = async (first: Promise<void>) => {
        const waitMilliseconds = Math.min(remaining(), route.latencyObjectiveMilliseconds * LONGEST_WAIT_FOR_FIRST);
        await new Promise<void>(resolve => {
            const cancel = tools.timers.start(clock.monotonicMilliseconds() + waitMilliseconds, resolve);
            void first.then(() => {
                cancel();
                resolve();
            });
        });
    };

    const send = async (server: BackendServer) => {
        journey.sends += 1;
        journey.current = dispatch({
            clock,
            server,
            request,
            names: tools.headerNames,
            connectionLimit: tools.connectionLimit(service),
            endsAt,
            sink: caller.sink,
        });
        const result = await journey.current.result;
        const isCertainlyNotRun =
            [DispatchOutcome.Rejected, DispatchOutcome.Replaced, DispatchOutcome.NotSent].includes(result.outcome)
            || (result.outcome === DispatchOutcome.Cancelled && !journey.current.wasSent());
        journey.runs += isCertainlyNotRun ? 0 : 1;
        journey.current = undefined;
        noteHealth(tools, server, result);
        return result;
    };

    const cancelDeadline = tools.timers.start(endsAt, () => stop(CancelReason.Deadline));
    caller.onDisconnect = () => stop(CancelReason.CallerDisconnected);
    budget.deposit();
    const { affinityKey } = request;
    let hasWaited = !route.hasAffinity || affinityKey === undefined;
    try {
        for (;;) {
            if (caller.isDisconnected) {
                return ForwardOutcome.CallerDisconnected;
            }
            if (journey.stop !== undefined || remaining() <= 0) {
                return endEarly();
            }
            const choice = {
                service,
                affinityKey: request.affinityKey ?? request.id,
                homeRegions: route.homeRegions,
                excluded: journey.excluded,
            };
            const server = tools.loadBalancer.chooseServer(choice);
            if (server === NoServer.NoneAvailable || server === NoServer.NoCapacity) {
                log(EventLevel.Warning, "no backend server", {
                    request: request.id,
                    service,
                    reason: server,
                    ...tools.loadBalancer.summarizeCapacity(choice),
                });
                if (journey.runs > 0) {
                    caller.sendLocalResponse({ status: 502 });
                    return ForwardOutcome.Failed;
                }
                return refuse(journey.sends > 0 ? ForwardOutcome.Rejected : ForwardOutcome.NoServer);
            }
            const first = hasWaited ? undefined : server.warmUp.waitForFirstRequest(affinityKey ?? "");
            if (first !== undefined) {
                hasWaited = true;
                await waitForFirst(first);
                continue;
            }
            noteColdSend(tools, server, request);
            const isFirst = affinityKey !== undefined && !server.warmUp.isWarm(affinityKey);
            const noteEnd = affinityKey === undefined ? undefined : server.warmUp.startRequest(affinityKey);
            const sentAt = clock.monotonicMilliseconds();
            const load = estimateLoad(server, sentAt);
            const result = await send(server);
            noteEnd?.(result.outcome === DispatchOutcome.Completed && (result.head?.status ?? 0) < 300);
            const { head, body, outcome: end } = result;
            const isFailedRun = end === DispatchOutcome.Failed
                || (end === DispatchOutcome.Completed && isServerFailure(head?.status ?? 0));
            const isRepeatable = (isFailedRun && route.isIdempotent)
                || end === DispatchOutcome.Rejected || end === DispatchOutcome.Replaced ||
                end === DispatchOutcome.NotSent;
            const took = clock.monotonicMilliseconds() - sentAt;
            if (end !== DispatchOutcome.Completed || isFailedRun || took > route.latencyObjectiveMilliseconds) {
                log(EventLevel.Info, "attempt ended", {
                    request: request.id,
                    service,
                    server: server.record.id,
                    end,
                    status: head?.status,
                    reason: result.message,
                    milliseconds: Math.round(took),
                    isFirst,
                    load: Math.round(load),
                    slots: server.record.slots,
                    remaining: Math.round(remaining()),
                });
            }
            if (isRepeatable && mayRepeat() && budget.tryWithdraw()) {
                journey.excluded.add(server.record.id);
                tools.counters.increment("gateway.repeats", 1, { service });
                continue;
            }
            switch (end) {
                case DispatchOutcome.Completed:
                    caller.send(head as NonNullable<typeof head>, body ?? Buffer.alloc(0));
                    return ForwardOutcome.Completed;
                case DispatchOutcome.Streamed:
                    return ForwardOutcome.Completed;
                case DispatchOutcome.Truncated:
                    caller.abort();
                    return ForwardOutcome.Truncated;
                case DispatchOutcome.Failed:
                    caller.sendLocalResponse({ status: 502 });
                    return ForwardOutcome.Failed;
                case DispatchOutcome.Cancelled:
                    return endEarly();
                default:
                    if (journey.runs > 0) {
                        caller.sendLocalResponse({ status: 502 });
                        return ForwardOutcome.Failed;
                    }
                    return refuse(ForwardOutcome.Rejected);
            }
        }
    }
    finally {
        cancelDeadline();
    }
}
