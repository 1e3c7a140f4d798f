/**
 * An entry of the gateway: takes callers' requests and forwards them to backend servers.
 */
import type { Clock, PeerIdentity } from "@hyssopfront/coordination";
import { randomUUID } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Item } from "../catalog/items.js";
import { errorFields, EventLevel, type EventLog } from "../event-log/event-log.js";
import type { FeedBatch } from "../feed/change-feed.js";
import { followFeeds } from "../feed/follow-feeds.js";
import { memberName } from "../formation/member-peers.js";
import { FeedPrefix } from "../gateway-control/messages.js";
import { GATEWAY_CLUSTER_ID } from "../gateway-control/start-gateway-control.js";
import type { TextMetrics } from "../metrics/text-metrics.js";
import type { EntryReport } from "../placement/entry-list.js";
import { type BackendRecord, backendRecordSchema } from "../registry/backend-record.js";
import { createRatioBudget, type RatioBudget } from "../routing/ratio-budget.js";
import { BodyTooLargeError } from "../routing/request-body.js";
import { createTimers } from "../routing/timers.js";
import { createBackendServers } from "./backend-servers.js";
import { createCallerAnswer } from "./caller-answer.js";
import { createCatalogView, type NamedRoute } from "./catalog-view.js";
import { createServerChooser } from "./choice/choose.js";
import { createServiceSplit } from "./choice/service-split.js";
import { forward, type ForwardTools } from "./forward.js";
import { type GatewayRequest, headerBytes, readGatewayRequest } from "./gateway-request.js";
import { measureLoopLag } from "./loop-lag.js";
import type { MessageHeaders } from "./message-headers.js";

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
/** Part of the allowed repeats that entries use; the rest covers differences between their windows. */
const BUDGET_SHARE = 0.7;
/** With this delay of the event loop, callers may have left before their requests are read, in milliseconds. */
const NOTICEABLE_LAG_MS = 50;
/** Delay of the event loop beyond which requests are refused, the least urgent first, in milliseconds. */
const REFUSING_LAG_MS = 300;
/** Further delay for each step of urgency, in milliseconds. */
const REFUSING_LAG_STEP_MS = 150;
/** Priorities are told apart up to this one; 0 is the most urgent. */
const LEAST_URGENT_PRIORITY = 2;
const OVERLOADED_RETRY_MS = 200;
/** Callers that are refused before the catalog is known come back after this time, in milliseconds. */
const NOT_READY_RETRY_MS = 300;

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
    readonly regionOf: (availabilityZone: string) => string;
    /** All regions with callers. */
    readonly regions: readonly string[];
    /** Port at which control instances listen for their peers. */
    readonly controlPeerPort: number;
    readonly seedAddresses: () => readonly string[];
    readonly names: MessageHeaders;
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
    const { clock, log, metrics, names } = options;
    const region = options.regionOf(options.availabilityZone);
    const catalog = createCatalogView();
    const timers = createTimers(clock);
    const lag = measureLoopLag(clock);
    const servers = createBackendServers({
        clock,
        random: options.random,
        regionOf: options.regionOf,
        onConnect: () => metrics.increment("gateway.connections_opened"),
    });
    const entryCounts = new Map<string, number>();
    const entryCount = () => Math.max(1, ...entryCounts.values());
    let isCatalogComplete = false;
    let isStopping = false;
    let openRequests = 0;

    const entry = (): EntryReport => ({
        name: options.name,
        callerAddress: `${options.address}:${options.callerPort}`,
        availabilityZone: options.availabilityZone,
        region,
        isReady: isReady(),
    });
    const isReady = () => isCatalogComplete && !isStopping;

    const mergeValue = (key: string, value: unknown, control: string) => {
        if (key.startsWith(FeedPrefix.Item)) {
            const item = value as Item;
            if (catalog.merge(item)) {
                const { kind, name, version } = item;
                log(EventLevel.Info, "item in force", { kind, name, version, isDropped: item.value === undefined });
            }
        }
        else if (key.startsWith(FeedPrefix.BackendServer)) {
            mergeRecord(backendRecordSchema.parse(value));
        }
        else if (key === FeedPrefix.EntryCount) {
            entryCounts.set(control, Number(value));
        }
        else if (key === FeedPrefix.Members) {
            members.set(control, value as readonly string[]);
        }
    };
    const mergeRecord = (record: BackendRecord) => {
        if (servers.merge(record)) {
            const { id, service, state, sequence, startedAt, coldMilliseconds } = record;
            log(EventLevel.Info, "backend server changed", {
                server: id,
                service,
                state,
                sequence,
                startedAt,
                coldMilliseconds,
            });
        }
    };
    const members = new Map<string, readonly string[]>();
    const controlNames = () => [
        ...new Set([
            ...options.seedAddresses().map(address => memberName(address, options.controlPeerPort)),
            ...[...members.values()].flat(),
        ]),
    ];
    const identity: PeerIdentity = {
        clusterId: GATEWAY_CLUSTER_ID,
        name: options.name,
        incarnation: randomUUID(),
        role: ENTRY_ROLE,
        availabilityZone: options.availabilityZone,
    };
    const feeds = followFeeds({
        clock,
        counters: metrics,
        log,
        self: identity,
        entry,
        onBatch: (batch: FeedBatch, control) => {
            batch.values.forEach(({ key, value }) => mergeValue(key, value, control));
            feeds.follow(controlNames());
            if (batch.isComplete && !isCatalogComplete) {
                isCatalogComplete = true;
                log(EventLevel.Info, "catalog complete", { control, items: catalog.items().length });
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
    const budgets = new Map<string, RatioBudget>();
    const retryBudget = (service: string) => {
        const known = budgets.get(service);
        if (known !== undefined) {
            return known;
        }
        const burst = Math.max(1, options.retrySlack * BUDGET_SHARE / entryCount());
        const budget = createRatioBudget(options.retryShare * BUDGET_SHARE, burst);
        budgets.set(service, budget);
        return budget;
    };
    const connectionLimit = (service: string) =>
        Math.max(1, Math.floor((catalog.policyOf(service)?.maximumConnections ?? Infinity) / entryCount()));
    const chooser = createServerChooser({
        clock,
        servers,
        region,
        regions: options.regions,
        hash: options.hash,
        policyOf: catalog.policyOf,
        isEvacuated: catalog.isEvacuated,
        evacuationGeneration: catalog.evacuationGeneration,
        entryCount,
    });
    const tools: ForwardTools = {
        clock,
        counters: metrics,
        log,
        timers,
        names,
        servers,
        chooser,
        connectionLimit,
        retryBudget,
    };

    const serve = async (message: IncomingMessage, response: ServerResponse) => {
        const delay = lag.milliseconds();
        const isBehind = delay > NOTICEABLE_LAG_MS;
        // A request that waited to be read has used up that much of its time.
        const startedAt = clock.monotonicMilliseconds() - (isBehind ? delay : 0);
        const id = String(message.headers[names.requestId] ?? "");
        const caller = createCallerAnswer(response, message.method ?? "GET", id, names, () => isStopping);
        const answer = (status: number, reason: string, retryAfterMilliseconds?: number) => {
            log(EventLevel.Warning, "request answered", { request: id, status, reason, path: message.url });
            caller.answer({ status, retryAfterMilliseconds });
        };
        if (!isCatalogComplete) {
            answer(503, "the catalog is not known yet", NOT_READY_RETRY_MS);
            return;
        }
        if (headerBytes(message) > catalog.limits().maximumHeaderBytes) {
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
                caller.cut();
            }
            return;
        }
        const path = request.path.split("?", 1)[0] as string;
        const named = catalog.findRoute(request.host, path);
        if (named === undefined) {
            answer(404, "no route");
            return;
        }
        if (isBehind) {
            const urgency = LEAST_URGENT_PRIORITY - Math.min(LEAST_URGENT_PRIORITY, named.route.priority);
            if (delay > REFUSING_LAG_MS + urgency * REFUSING_LAG_STEP_MS) {
                answer(503, "the entry is overloaded", OVERLOADED_RETRY_MS);
                return;
            }
            await lag.readConnections();
        }
        const service = nextService(named);
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
            });
        }
    };
    const handle = (message: IncomingMessage, response: ServerResponse) => {
        openRequests += 1;
        response.once("close", () => {
            openRequests -= 1;
        });
        serve(message, response).catch((error: unknown) => {
            log(EventLevel.Error, "request failed in the entry", errorFields(error));
            response.destroy();
        });
    };
    const server = createServer({ maxHeaderSize: PARSER_HEADER_BYTES, noDelay: true, requestTimeout: 0 });
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
            while (openRequests > 0 && clock.monotonicMilliseconds() < endsAt) {
                server.closeIdleConnections();
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
