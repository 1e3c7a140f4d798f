/**
 * An entry of the gateway: takes callers' requests and forwards them to backend servers.
 */
import type { Clock, PeerIdentity } from "@hyssopfront/coordination";
import { randomUUID } from "node:crypto";
import { createServer, type Server } from "node:http";
import type { Socket } from "node:net";
import type { EntryReport } from "../entry-selection/connected-entries.js";
import { errorFields, EventLevel, type EventLog } from "../event-log/event-log.js";
import { createFeedFollower } from "../feed/follow-feeds.js";
import { memberName } from "../formation/member-peers.js";
import { GATEWAY_CLUSTER_ID } from "../gateway-control/messages.js";
import { rejectInvalidHeaders } from "../http/reject-invalid-headers.js";
import type { TextMetrics } from "../metrics/text-metrics.js";
import { createTimers } from "../routing/timers.js";
import { watchAcceptQueue } from "./accept-queue.js";
import { createBackendServers } from "./backend-servers.js";
import { createCatalogView, type NamedRoute } from "./catalog-view.js";
import { measureEventLoopLag } from "./event-loop-lag.js";
import { createFeedState } from "./feed-state.js";
import type { HeaderNames } from "./header-names.js";
import { createLoadBalancer } from "./load-balancing/load-balancer.js";
import { createServiceSplit } from "./load-balancing/service-split.js";
import { createRetryBudgets } from "./retries/retry-budgets.js";
import { type ServeDependencies, serveRequest } from "./serve-request.js";

/** Role that an entry tells its peers. */
const ENTRY_ROLE = "gateway-entry";
/** Largest headers that the parser takes; the operators' limit is checked on what it gives, in bytes. */
const PARSER_HEADER_BYTES = 128 * 1024;
/** Part of the allowed time in which a stopping entry still takes requests, as callers learn of the stop by and by. */
const TAKING_SHARE = 0.6;
/** Time left for the process to end within the allowed time for a stop, in milliseconds. */
const STOP_MARGIN_MS = 400;
/** Pause between two looks whether the requests of a stopping entry have ended, in milliseconds. */
const STOP_POLL_MS = 50;
/** A caller sends its request right after it has connected; a connection without one for this long is unused, in milliseconds. */
const UNUSED_CONNECTION_MS = 200;
/** Share of the connections that a backend server accepts which entries use together; the rest is for other callers. */
const CONNECTION_SHARE = 0.8;
export type GatewayOptions = {
    readonly clock: Clock;
    readonly metrics: TextMetrics;
    readonly log: EventLog;
    readonly random: () => number;
    /** Uniform hash of a text, 32 bits. */
    readonly hash: (text: string) => number;
    readonly name: string;
    readonly address: string;
    readonly callerPort: number;
    readonly availabilityZone: string;
    /** Processor capacity of this instance, in cores. */
    readonly cores: number;
    readonly regionOf: (availabilityZone: string) => string;
    /** All regions with callers. */
    readonly regions: readonly string[];
    /** Port at which control instances listen for their peers. */
    readonly controlPeerPort: number;
    readonly seedAddresses: () => readonly string[];
    readonly headerNames: HeaderNames;
    /** Repeats that a service may get, as a share of its requests. */
    readonly retryShare: number;
    /** Repeats that a service may get beyond the share, from all entries together. */
    readonly retrySlack: number;
    /** Time that a stop may take, in milliseconds. */
    readonly stopMilliseconds: number;
};

export type Gateway = {
    /** True when it can serve callers. */
    isReady(): boolean;
    /** Sends callers elsewhere, ends what is in flight and closes; resolves by the time allowed for a stop. */
    stop(): Promise<void>;
};

/** Starts an entry and resolves once it listens for callers. */
export async function startGateway(options: GatewayOptions): Promise<Gateway> {
    const { clock, log, metrics, headerNames: names } = options;
    const region = options.regionOf(options.availabilityZone);
    const catalog = createCatalogView();
    const timers = createTimers(clock);
    const lag = measureEventLoopLag(clock);
    const servers = createBackendServers({
        clock,
        random: options.random,
        regionOf: options.regionOf,
        onConnect: () => metrics.increment("gateway.connections_opened"),
    });
    const view = createFeedState({ log, catalog, servers });
    const { entryCount } = view;
    let isStopping = false;
    let openRequests = 0;

    const entry = (): EntryReport => ({
        name: options.name,
        callerAddress: `${options.address}:${options.callerPort}`,
        availabilityZone: options.availabilityZone,
        region,
        isReady: isReady(),
        cores: options.cores,
    });
    const isReady = () => view.isComplete && !isStopping;

    const controlNames = () => [
        ...new Set([
            ...options.seedAddresses().map(address => memberName(address, options.controlPeerPort)),
            ...view.controlInstanceNames(),
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
        entry,
        onBatch: (batch, control) => {
            const wasComplete = view.isComplete;
            view.apply(batch, control);
            feeds.follow(controlNames());
            if (view.isComplete && !wasComplete) {
                void feeds.report();
            }
            applyLimits();
        },
    });

    const splits = new Map<string, { readonly version: number; readonly next: () => string }>();
    const nextService = ({ name, version, route }: NamedRoute) => {
        const known = splits.get(name);
        if (known?.version === version) {
            return known.next();
        }
        const split = { version, next: createServiceSplit(route.services) };
        splits.set(name, split);
        return split.next();
    };
    const retryBudget = createRetryBudgets({ share: options.retryShare, slack: options.retrySlack, entryCount });
    const connectionLimit = (service: string) => {
        const maximum = catalog.policyOf(service)?.maximumConnections ?? Infinity;
        return Math.max(1, Math.floor(maximum * CONNECTION_SHARE / entryCount()));
    };
    const chooser = createLoadBalancer({
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
    const server = createServer({ maxHeaderSize: PARSER_HEADER_BYTES, noDelay: true, requestTimeout: 0 });
    const tools: ServeDependencies = {
        clock,
        counters: metrics,
        log,
        timers,
        headerNames: names,
        servers,
        loadBalancer: chooser,
        connectionLimit,
        retryBudget,
        metrics,
        eventLoopLag: lag,
        acceptQueue: watchAcceptQueue(server, {
            clock,
            counters: metrics,
            log,
            address: options.address,
            port: options.callerPort,
        }),
        catalog,
        isCatalogComplete: () => view.isComplete,
        isStopping: () => isStopping,
        nextService,
    };

    const handle = rejectInvalidHeaders(server, (message, response) => {
        openRequests += 1;
        newConnections.delete(message.socket);
        response.once("close", () => {
            openRequests -= 1;
        });
        serveRequest(tools, message, response).catch((error: unknown) => {
            log(EventLevel.Error, "request failed in the entry", errorFields(error));
            response.destroy();
        });
    });
    /** Connections without a request so far, with the monotonic milliseconds of their acceptance. */
    const newConnections = new Map<Socket, number>();
    server.on("connection", (connection: Socket) => {
        newConnections.set(connection, clock.monotonicMilliseconds());
        connection.once("close", () => newConnections.delete(connection));
    });
    const closeUnused = () => {
        server.closeIdleConnections();
        const oldest = clock.monotonicMilliseconds() - UNUSED_CONNECTION_MS;
        [...newConnections].filter(([, acceptedAt]) => acceptedAt < oldest).forEach(([one]) => one.destroy());
    };
    server.on("request", handle);
    server.on("checkExpectation", handle);
    const applyLimits = () => {
        const { idleTimeoutMilliseconds, headerTimeoutMilliseconds } = catalog.limits();
        server.keepAliveTimeout = idleTimeoutMilliseconds;
        server.headersTimeout = headerTimeoutMilliseconds;
    };
    await listen(server, options.address, options.callerPort);
    feeds.follow(controlNames());
    log(EventLevel.Info, "entry listens", { address: options.address, port: options.callerPort });

    return {
        isReady,
        stop: async () => {
            const startedAt = clock.monotonicMilliseconds();
            const endsAt = startedAt + options.stopMilliseconds - STOP_MARGIN_MS;
            isStopping = true;
            log(EventLevel.Info, "entry stops", { openRequests });
            await feeds.report();
            // Callers that have looked this entry up before still come.
            const takesUntil = startedAt + options.stopMilliseconds * TAKING_SHARE;
            await clock.sleep(Math.max(0, takesUntil - clock.monotonicMilliseconds()));
            server.close();
            // Requests of connections that were accepted last are still to be read.
            while (openRequests + newConnections.size > 0 && clock.monotonicMilliseconds() < endsAt) {
                closeUnused();
                await clock.sleep(STOP_POLL_MS);
            }
            log(EventLevel.Info, "entry stopped", { openRequests });
            await feeds.close();
            timers.close();
            lag.close();
            servers.close();
        },
    };
}

function listen(server: Server, address: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, address, () => {
            server.off("error", reject);
            resolve();
        });
    });
}
