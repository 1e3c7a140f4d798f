/**
 * Runs an entry of the gateway, which accepts callers' requests and forwards them to backend servers.
 */
import { type AddressWait, type Clock, listen, type PeerIdentity } from "@hyssopfront/coordination";
import { randomUUID } from "node:crypto";
import { createServer } from "node:http";
import { createAccountQuotas } from "../client-accounts/quotas/account-quotas.js";
import { createLeaderCalls } from "../client-accounts/quotas/leader-calls.js";
import { DEFAULT_QUOTA_TOLERANCE, type QuotaTolerance } from "../client-accounts/quotas/local-share.js";
import type { EntryReport } from "../entry-selection/connected-entries.js";
import { errorFields, EventLevel, type EventLog } from "../event-log/event-log.js";
import { createFeedFollower } from "../feed/follow-feeds.js";
import { memberName } from "../formation/member-peers.js";
import { GATEWAY_CLUSTER_ID } from "../gateway-control/messages.js";
import { trackCallerConnections } from "../http/caller-connections.js";
import { discardRest } from "../http/discard-rest.js";
import { type ConnectionLimit, limitConnections } from "../http/limit-connections.js";
import { createPipelines, type PipelineLimits } from "../http/pipelines.js";
import { readBeforeIdleClose } from "../http/read-before-idle-close.js";
import { rejectInvalidHeaders } from "../http/reject-invalid-headers.js";
import { reportAcceptErrors } from "../http/report-accept-errors.js";
import { createUnfinishedBodies } from "../http/unfinished-bodies.js";
import type { PrometheusMetrics } from "../metrics/prometheus-metrics.js";
import { createTimers } from "../routing/timers.js";
import { watchAcceptQueue } from "./accept-queue.js";
import { createBackendServers } from "./backend-servers.js";
import { createInstanceBodyMemory } from "./body-memory.js";
import { createCatalogView, type NamedRoute } from "./catalog-view.js";
import { measureEventLoopLag } from "./event-loop-lag.js";
import { createFeedState } from "./feed-state.js";
import type { HeaderNames } from "./header-names.js";
import { createLoadBalancer } from "./load-balancing/load-balancer.js";
import { createOverloadThrottles } from "./load-balancing/overload-throttle.js";
import { createServiceSplit } from "./load-balancing/service-split.js";
import { createPriorityAdmission } from "./priority-admission/priority-admission.js";
import { createRetryBudgets } from "./retries/retry-budgets.js";
import { type ServeDependencies, serveRequest } from "./serve-request.js";
import type { EntryStop } from "./stop-admission.js";
import { createUnreadResponses, type UnreadResponseLimits } from "./unread-responses.js";

/** Role of an entry in the handshake with its peers. */
const ENTRY_ROLE = "gateway-entry";
/** Largest headers that Node's parser accepts, in bytes; the limit of the operators is checked after parsing. */
const PARSER_HEADER_BYTES = 128 * 1024;
/**
 * Share of the shutdown time during which connections are still accepted, as callers learn of the stop with a delay.
 */
const ACCEPTING_SHARE = 0.6;
/** Part of the shutdown time that is reserved for the exit of the process, in milliseconds. */
const STOP_MARGIN_MS = 400;
/** Interval at which a stopping entry checks whether its requests have ended, in milliseconds. */
const STOP_POLL_INTERVAL_MS = 50;
/** Longest time of a timer of Node.js, in milliseconds; a longer one would fire at once. */
const MAXIMUM_TIMER_MS = 2 ** 31 - 1;
/** Share of the connections of a backend server that all entries use together; the rest is left to other clients. */
const CONNECTION_SHARE = 0.8;

/** Dependencies and settings of an entry. */
export type GatewayOptions = {
    readonly clock: Clock;
    readonly metrics: PrometheusMetrics;
    readonly log: EventLog;
    readonly random: () => number;
    /** Uniform 32-bit hash of a string. */
    readonly hash: (text: string) => number;
    readonly name: string;
    readonly address: string;
    readonly callerPort: number;
    /** How to wait for the port while it is in use. Default: the start fails at once. */
    readonly addressWait?: AddressWait;
    readonly availabilityZone: string;
    /** CPU capacity of this instance, in cores. */
    readonly cores: number;
    /** Memory of this instance, in bytes; undefined if it is not known. */
    readonly memoryBytes?: number | undefined;
    /** Limit of the connections that the servers of this process accept. Default: there is none. */
    readonly connectionLimit?: ConnectionLimit;
    readonly getRegion: (availabilityZone: string) => string;
    /** All regions with callers. */
    readonly regions: readonly string[];
    /** Port at which control instances listen for peers. */
    readonly controlPeerPort: number;
    readonly seedAddresses: () => readonly string[];
    readonly headerNames: HeaderNames;
    /** Retries that a service may get, as a share of its requests. */
    readonly retryShare: number;
    /** Retries that a service may get beyond the share, from all entries together. */
    readonly retrySlack: number;
    /** Requests of an account that may be run beyond its quota. Default: `DEFAULT_QUOTA_TOLERANCE`. */
    readonly quotaTolerance?: QuotaTolerance;
    /** Admits requests by priority and account where the capacity of a service is scarce. Default: false. */
    readonly priorityAdmission?: boolean;
    /** Maximum duration of a graceful stop, in milliseconds. */
    readonly stopMilliseconds: number;
    /** Limits on pipelined requests. Default: those of `createPipelines`. */
    readonly pipelineLimits?: Partial<PipelineLimits>;
    /** Limits on responses that callers have not read. Default: those of `createUnreadResponses`. */
    readonly unreadResponseLimits?: Partial<UnreadResponseLimits>;
};

/** A running entry. */
export type Gateway = {
    /** True while it can serve callers. */
    isReady(): boolean;
    /** Number of callers' requests whose responses have not been sent completely. */
    openRequests(): number;
    /** Bytes of responses that callers have not read. */
    unreadResponseBytes(): number;
    /**
     * Drains the entry and closes it: sends callers to other entries and waits for in-flight requests. Resolves within
     * `stopMilliseconds`, even if requests are still in flight.
     *
     * @param elapsedMilliseconds How long ago the stop was requested, in milliseconds, which counts towards its duration.
     */
    stop(elapsedMilliseconds?: number): Promise<void>;
};

/**
 * Starts an entry and resolves once it listens for callers.
 *
 * @throws ListenError when it cannot listen at the address and port; the reason of the abort when the wait for them is
 * ended.
 */
export async function startGateway(options: GatewayOptions): Promise<Gateway> {
    const { clock, log, metrics, headerNames } = options;
    const region = options.getRegion(options.availabilityZone);
    const catalog = createCatalogView();
    const timers = createTimers(clock);
    const eventLoopLag = measureEventLoopLag(clock);
    const servers = createBackendServers({
        clock,
        random: options.random,
        getRegion: options.getRegion,
        onConnect: () => metrics.increment("gateway.connections_opened"),
    });
    const feedState = createFeedState({ log, counters: metrics, catalog, servers });
    const { entryCount } = feedState;
    let currentStop: EntryStop | undefined;

    const createEntryReport = (): EntryReport => ({
        name: options.name,
        callerAddress: `${options.address}:${options.callerPort}`,
        availabilityZone: options.availabilityZone,
        region,
        isReady: isReady(),
        cores: options.cores,
    });
    const isReady = () => feedState.isComplete && currentStop === undefined;

    const controlNames = () => [
        ...new Set([
            ...options.seedAddresses().map(address => memberName(address, options.controlPeerPort)),
            ...feedState.controlInstanceNames(),
        ]),
    ];
    const identity: PeerIdentity = {
        clusterId: GATEWAY_CLUSTER_ID,
        name: options.name,
        incarnation: randomUUID(),
        role: ENTRY_ROLE,
        availabilityZone: options.availabilityZone,
    };
    const feeds = createFeedFollower({
        clock,
        counters: metrics,
        log,
        self: identity,
        entry: createEntryReport,
        getDistance: createInstanceDistance(options),
        isMissing: feedState.isMissing,
        onBatch: (batch, controlInstance) => {
            const wasComplete = feedState.isComplete;
            feedState.apply(batch, controlInstance);
            accountQuotas.recordEntryCount();
            feeds.follow(controlNames());
            if (feedState.isComplete && !wasComplete) {
                void feeds.report();
            }
            applyLimits();
        },
    });

    const accountQuotas = createAccountQuotas({
        clock,
        timers,
        counters: metrics,
        log,
        random: options.random,
        entry: options.name,
        entryCount,
        tolerance: options.quotaTolerance ?? DEFAULT_QUOTA_TOLERANCE,
        leaderCalls: createLeaderCalls(clock, feeds),
    });

    const serviceSplits = new Map<string, { readonly version: number; readonly next: () => string }>();
    const nextService = ({ name, version, route }: NamedRoute) => {
        const current = serviceSplits.get(name);
        if (current?.version === version) {
            return current.next();
        }
        const split = { version, next: createServiceSplit(route.services) };
        serviceSplits.set(name, split);
        return split.next();
    };
    const retryBudget = createRetryBudgets({ share: options.retryShare, slack: options.retrySlack, entryCount });
    const connectionLimit = (service: string) => {
        const maximum = catalog.getPolicy(service)?.maximumConnections ?? Infinity;
        return Math.max(1, Math.floor(maximum * CONNECTION_SHARE / entryCount()));
    };
    const loadBalancer = createLoadBalancer({
        clock,
        servers,
        region,
        regions: options.regions,
        hash: options.hash,
        entryName: options.name,
        connectionLimit,
        isEvacuated: catalog.isEvacuated,
        evacuationGeneration: catalog.evacuationGeneration,
    });
    const server = createServer({
        maxHeaderSize: PARSER_HEADER_BYTES,
        noDelay: true,
        requestTimeout: 0,
        requireHostHeader: false,
    });
    readBeforeIdleClose(server);
    const unfinishedBodies = createUnfinishedBodies({ clock, counters: metrics, log, listener: "callers" });
    if (options.connectionLimit !== undefined) {
        limitConnections(server, options.connectionLimit, unfinishedBodies);
    }
    const connections = trackCallerConnections(server, clock);
    const pipelines = createPipelines(server, { clock, counters: metrics, log, limits: options.pipelineLimits });
    const unreadResponses = createUnreadResponses({
        clock,
        counters: metrics,
        log,
        timers,
        limits: options.unreadResponseLimits,
    });
    const dependencies: ServeDependencies = {
        clock,
        counters: metrics,
        log,
        timers,
        random: options.random,
        headerNames,
        servers,
        loadBalancer,
        priorityAdmission: options.priorityAdmission
            ? createPriorityAdmission({
                clock,
                counters: metrics,
                log,
                random: options.random,
                loadBalancer,
                entryCount,
            })
            : undefined,
        connectionLimit,
        retryBudget,
        overloadThrottle: createOverloadThrottles(clock, options.random),
        metrics,
        eventLoopLag,
        acceptQueue: watchAcceptQueue(server, {
            clock,
            counters: metrics,
            log,
            address: options.address,
            port: options.callerPort,
        }),
        catalog,
        accountQuotas,
        bodyMemory: createInstanceBodyMemory(options.memoryBytes),
        unreadResponses,
        unfinishedBodies,
        isCatalogComplete: () => feedState.isComplete,
        isPipelining: connection => connections.isPipelining(connection),
        dropRequestsBehind: pipelines.dropRequestsBehind,
        currentStop: () => currentStop,
        nextService,
    };

    const handleRequest = rejectInvalidHeaders(
        server,
        (message, response) =>
            pipelines.start(message, response, waitedMilliseconds => {
                unfinishedBodies.watch(message);
                connections.startRequest(message, response);
                response.once("finish", () => discardRest(message));
                serveRequest(dependencies, message, response, waitedMilliseconds).catch((error: unknown) => {
                    log(EventLevel.Error, "request failed with an internal error", {
                        request: String(message.headers[headerNames.requestId] ?? ""),
                        ...errorFields(error),
                    });
                    response.destroy();
                });
            }),
    );
    server.on("request", handleRequest);
    server.on("checkExpectation", handleRequest);
    const applyLimits = () => {
        const { idleTimeoutMilliseconds, headerTimeoutMilliseconds } = catalog.limits();
        server.keepAliveTimeout = Math.min(MAXIMUM_TIMER_MS, idleTimeoutMilliseconds);
        server.headersTimeout = Math.min(MAXIMUM_TIMER_MS, headerTimeoutMilliseconds);
    };
    await listen(server, {
        listener: "callers",
        address: options.address,
        port: options.callerPort,
        wait: options.addressWait,
    });
    reportAcceptErrors(server, { clock, counters: metrics, log, listener: "callers" });
    feeds.follow(controlNames());
    log(EventLevel.Info, "entry listening", { address: options.address, port: options.callerPort });

    return {
        isReady,
        openRequests: connections.openRequests,
        unreadResponseBytes: unreadResponses.bytes,
        stop: async (elapsedMilliseconds = 0) => {
            const startedAt = clock.monotonicMilliseconds() - elapsedMilliseconds;
            const servesUntil = startedAt + options.stopMilliseconds - STOP_MARGIN_MS;
            currentStop = { startedAt, servesUntil };
            log(EventLevel.Info, "entry stopping", { openRequests: connections.openRequests() });
            await feeds.report();
            // Callers that looked up this entry before the report still connect.
            const acceptsUntil = startedAt + options.stopMilliseconds * ACCEPTING_SHARE;
            await clock.sleep(Math.max(0, acceptsUntil - clock.monotonicMilliseconds()));
            await connections.stopAccepting(servesUntil);
            // A request that is read on an open connection after this loop would end with the process.
            await connections.closeUnused();
            while (connections.count() > 0 && clock.monotonicMilliseconds() < servesUntil) {
                await clock.sleep(STOP_POLL_INTERVAL_MS);
                await connections.closeUnused();
            }
            log(EventLevel.Info, "entry stopped", { openRequests: connections.openRequests() });
            await feeds.close();
            timers.close();
            eventLoopLag.close();
            unfinishedBodies.close();
            servers.close();
        },
    };
}

/**
 * Creates a function that rates the distance of a control instance: first by place, then by a hash that differs between
 * entries, so that each instance serves about the same number of entries.
 */
function createInstanceDistance(
    { availabilityZone, getRegion, hash, name }: Pick<
        GatewayOptions,
        "availabilityZone" | "getRegion" | "hash" | "name"
    >,
): (instance: PeerIdentity) => number {
    const HASH_RANGE = 2 ** 32;
    return instance => {
        const zoneDistance = instance.availabilityZone === availabilityZone ? 0 : 1;
        const regionDistance = getRegion(instance.availabilityZone) === getRegion(availabilityZone) ? 0 : 1;
        return zoneDistance + regionDistance + hash(`${name} ${instance.name}`) / HASH_RANGE;
    };
}
