/**
 * Entry daemon: creates and connects the components that serve callers and backend servers, and stops them gracefully.
 */
import {
    type Clock,
    listenForPeers,
    type PeerIdentity,
    routePeerRequests,
    servePublication,
} from "@hyssopfront/coordination";
import createDebug from "debug";
import { randomUUID } from "node:crypto";
import { once } from "node:events";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { slotsKey } from "../admission/budgets.js";
import { createEntryAdmission } from "../admission/entry-admission.js";
import { createAnnouncementRoutes } from "../announcements/announcement-routes.js";
import type { AnnouncedBackendServer } from "../announcements/announcement.js";
import { createAnnouncements } from "../announcements/create-announcements.js";
import { chooseUpstreams } from "../configuration/choose-upstreams.js";
import type { ConfigurationSource } from "../configuration/configuration-view.js";
import { followConfiguration } from "../configuration/follow-configuration.js";
import { dialControlPeers } from "../control/control-peers.js";
import { createDrainTracker } from "../drains/drain-tracker.js";
import { prepareServerStop } from "../http/stop-server.js";
import { createHistograms, LatencyClass } from "../metrics/histograms.js";
import { createMetrics } from "../metrics/metrics.js";
import { readToken } from "../operator-api/authorization.js";
import { RequestClass } from "../resources/resource.js";
import { createCallerServer } from "../routing/caller-server.js";
import { createRequestHandler, type RequestHandler } from "../routing/request-handler.js";
import { createRunOnceClient } from "../run-once/run-once-client.js";
import { PeerRequestKind, PeerRole } from "../sessions/messages.js";
import { type Session, startSession } from "../sessions/session.js";
import type { Settings } from "../settings/settings.js";
import { createEntrySelection } from "../steering/entry-selection.js";
import { createLookupRoute } from "../steering/lookup-route.js";
import { startAdminServer } from "./admin-server.js";
import { createEntryPeers } from "./entry-peers.js";
import { createGroupLeaderCall } from "./group-leader-call.js";

/** Added to the wait of a configuration read to get the deadline of the call. */
const CONFIGURATION_READ_MARGIN_MS = 2_000;
/** Time for the other entries to learn that this entry is leaving, before the time to live of lookup results starts. */
const LEAVING_PROPAGATION_MS = 1_000;

/** A running entry. */
export type Entry = {
    readonly callerPort: number;
    readonly adminPort: number;
    readonly peerPort: number;
    /** Resolves when the entry has its first session and configuration and serves requests. */
    readonly ready: Promise<void>;
    /**
     * Stops the entry gracefully: it serves until the time to live of cached lookup results has passed, and it
     * completes the requests in flight.
     */
    stop(): Promise<void>;
};

const debug = createDebug("hyssopfront:entry");

const HISTOGRAM_CLASSES: Readonly<Record<RequestClass, LatencyClass>> = {
    [RequestClass.Idempotent]: LatencyClass.Idempotent,
    [RequestClass.RunOnce]: LatencyClass.RunOnce,
};
/** Lookups name no tenant, so their latencies are recorded under this one. */
const LOOKUP_TENANT = "all";
/** In hexadecimal digits: 32 bits of the incarnation's UUID distinguish two starts of the same entry. */
const EPOCH_LENGTH = 8;

/** Names of the control instances, those in the entry's own availability zone first. */
const controlInstancesByProximity = (settings: Settings) =>
    [...settings.controlInstances]
        .sort((one, other) =>
            Number(other.availabilityZone === settings.instance.availabilityZone) -
            Number(one.availabilityZone === settings.instance.availabilityZone)
        )
        .map(({ name }) => name);

/**
 * Starts an entry.
 *
 * @param settings Validated settings with the table `entry`.
 * @returns The entry, once its servers listen.
 * @throws Error when the settings have no table `entry`, a port is in use or a file cannot be read.
 */
export async function startEntry(settings: Settings, clock: Clock): Promise<Entry> {
    const { clusterId, instance, entry, tls } = settings;
    if (entry === undefined) {
        throw new Error("The settings have no table \"entry\".");
    }
    const metrics = createMetrics({ prefix: "hyssopfront.entry.", statsd: settings.statsd });
    const histograms = createHistograms();
    const token = await readToken(settings.operators.tokenFile);
    const self: PeerIdentity = {
        clusterId,
        name: instance.name,
        incarnation: randomUUID(),
        role: PeerRole.Entry,
        availabilityZone: instance.availabilityZone,
    };
    const controlPeers = dialControlPeers({
        clock,
        counters: metrics,
        self,
        instances: settings.controlInstances,
        tls,
    });
    const entryPeers = createEntryPeers({ clock, counters: metrics, self, tls });
    // The session depends on components that call it. They are created first, and the session is set once it exists.
    const sessionHolder: { session?: Session } = {};
    const stopping = new AbortController();
    let isLeaving = false;

    const configurationFollower = followConfiguration({
        clock,
        counters: metrics,
        upstreams: view =>
            chooseUpstreams(view, self.name, instance.availabilityZone, controlInstancesByProximity(settings)),
        read: (upstream, request) =>
            (entryPeers.names().includes(upstream) ? entryPeers : controlPeers).call(
                upstream,
                PeerRequestKind.ReadConfiguration,
                request,
                request.waitMilliseconds + CONFIGURATION_READ_MARGIN_MS,
            ),
        latestKnownRevision: () => sessionHolder.session?.knownRevision() ?? 0,
    });
    const configuration: ConfigurationSource = {
        view: configurationFollower.view,
        onChange: configurationFollower.onChange,
        holdsViewLease: () => sessionHolder.session?.holdsViewLease() ?? false,
    };
    const announcements = createAnnouncements({
        clock,
        counters: metrics,
        epoch: self.incarnation.slice(0, EPOCH_LENGTH),
        isDraining: (service, name, { availabilityZone }) =>
            drains.backendServerShare({ service, name, availabilityZone }) >= 1,
        pull: (name, request, deadlineMilliseconds) =>
            entryPeers.call(name, PeerRequestKind.PullAnnouncements, request, deadlineMilliseconds),
    });
    const drains = createDrainTracker({ clock, configuration, announcements });
    const admission = createEntryAdmission({ clock, entry: self.name, configuration, announcements });
    const entrySelection = createEntrySelection({
        clock,
        configuration,
        drains,
        availabilityZone: instance.availabilityZone,
    });
    const runOnce = settings.runOnceGroups.length === 0 ? undefined : createRunOnceClient({
        groups: settings.runOnceGroups.map(({ name }) => name),
        call: createGroupLeaderCall(settings.runOnceGroups, controlPeers.call),
        clock,
        entry: self.name,
        incarnation: self.incarnation,
        counters: metrics,
    });
    const handler = createRequestHandler({
        entry: self,
        clock,
        configuration,
        announcements,
        admission,
        counters: metrics,
        runOnce,
        acceptsNewRequests: (backendServer: AnnouncedBackendServer) =>
            Math.random() >= drains.backendServerShare(backendServer),
        requestSessionRenewal: () => sessionHolder.session?.renewNow(),
        recordLatency: (tenant, requestClass, milliseconds) =>
            histograms.record(tenant, HISTOGRAM_CLASSES[requestClass], milliseconds),
    });

    const unsubscribePeers = configuration.onChange(view => {
        entryPeers.applyView(view);
        announcements.setOtherEntries(entryPeers.names());
    });
    const callerServer = createCallerServer(
        prependRoutes(handler, [
            measureLatency(
                clock,
                milliseconds => histograms.record(LOOKUP_TENANT, LatencyClass.Lookup, milliseconds),
                createLookupRoute(entrySelection),
            ),
            createAnnouncementRoutes({ clock, announcements }),
        ]),
    );
    const stopCallerServer = prepareServerStop(callerServer, clock);
    await listen(callerServer, instance.address, entry.callerPort);
    const peerListener = await listenForPeers({
        clock,
        counters: metrics,
        self,
        tls,
        address: instance.address,
        port: entry.peerPort,
        handle: routePeerRequests({
            [PeerRequestKind.PullAnnouncements]: (_from, payload, signal) => announcements.handlePull(payload, signal),
            [PeerRequestKind.ReadConfiguration]: servePublication(configurationFollower.publication),
        }),
    });
    const describeDrains = () => {
        const names = [...configurationFollower.view().drains.keys()];
        if (names.length === 0) {
            return {};
        }
        return {
            drains: names.flatMap(name => {
                const state = drains.state(name);
                return state === undefined ? [] : [{ name, ...state }];
            }),
            inFlightOnDrained: handler.inFlightOnBackendServers()
                .filter(backendServer => drains.backendServerShare(backendServer) > 0),
        };
    };
    const callerPort = (callerServer.address() as AddressInfo).port;
    const session = startSession({
        clock,
        counters: metrics,
        controlInstances: controlInstancesByProximity(settings),
        call: controlPeers.call,
        describeEntry: () => ({
            entry: self.name,
            incarnation: self.incarnation,
            address: instance.address,
            callerPort: entry.advertisedCallerPort ?? callerPort,
            peerPort: entry.advertisedPeerPort ?? peerListener.port,
            availabilityZone: instance.availabilityZone,
            isLeaving,
            appliedRevision: configurationFollower.view().revision,
            ...describeDrains(),
        }),
        collectDemands: admission.collectDemands,
        applyGrants: (grants, sentAt) => {
            admission.applyGrants(grants, sentAt);
            handler.onGrants();
        },
    });
    sessionHolder.session = session;
    void session.started.then(() => runOnce?.reportIncarnation(stopping.signal));

    const describeStatus = () => ({
        name: self.name,
        incarnation: self.incarnation,
        availabilityZone: self.availabilityZone,
        revision: configurationFollower.view().revision,
        knownRevision: session.knownRevision(),
        holdsViewLease: session.holdsViewLease(),
        isLeaving,
        inFlight: handler.inFlight,
        upstream: configurationFollower.upstream(),
        backendServers: Object.fromEntries(
            [...configurationFollower.view().services.keys()].map(service => [
                service,
                announcements.backendServers(service).map(backendServer => ({
                    ...backendServer,
                    floorSlots: admission.getHeldFloor(slotsKey(service, backendServer.name)),
                })),
            ]),
        ),
        drains: Object.fromEntries(
            [...configurationFollower.view().drains.keys()].map(name => [name, drains.state(name)]),
        ),
    });
    const adminServer = await startAdminServer({
        address: instance.address,
        port: entry.adminPort,
        token,
        routes: {
            "/v1/status": describeStatus,
            "/v1/metrics": metrics.values,
            "/v1/histograms": () => ({ histograms: histograms.summaries() }),
        },
    });
    const stopAdminServer = prepareServerStop(adminServer, clock);
    debug("entry started, listening for callers on %s:%d", instance.address, callerPort);

    const longestTimeToLiveMilliseconds = () =>
        1_000 *
        Math.max(
            0,
            ...[...configurationFollower.view().services.values()].map(service => service.timeToLiveSeconds),
        );

    const stopGracefully = async () => {
        isLeaving = true;
        stopping.abort();
        debug("entry is leaving with %d requests in flight", handler.inFlight);
        session.renewNow();
        await clock.sleep(LEAVING_PROPAGATION_MS + longestTimeToLiveMilliseconds());
        await handler.drain();
        const closed = stopCallerServer();
        await runOnce?.waitUntilIdle();
        await closed;
        await session.end();
        unsubscribePeers();
        handler.close();
        drains.close();
        entrySelection.close();
        admission.close();
        await announcements.stop();
        await configurationFollower.stop();
        await Promise.all([peerListener.close(), entryPeers.close(), controlPeers.close(), stopAdminServer()]);
        await metrics.close();
        debug("entry stopped");
    };
    let stopPromise: Promise<void> | undefined;
    return {
        callerPort,
        adminPort: (adminServer.address() as AddressInfo).port,
        peerPort: peerListener.port,
        ready: session.started.then(() => entrySelection.waitForUpdate()),
        stop: () => {
            stopPromise ??= stopGracefully();
            return stopPromise;
        },
    };
}

/** Resolves with whether the route has handled the request. */
type Route = (request: IncomingMessage, response: ServerResponse) => Promise<boolean>;

/** Serves requests with the first route that handles them, and all others with the request handler. */
function prependRoutes(handler: RequestHandler, routes: readonly Route[]) {
    const handle = async (request: IncomingMessage, response: ServerResponse) => {
        if (request.url?.startsWith("/v1/") === true) {
            for (const route of routes) {
                if (await route(request, response)) {
                    return;
                }
            }
        }
        await handler(request, response);
    };
    return Object.assign(handle, { handleClientError: handler.handleClientError });
}

/** Records the latency of the requests that the route handles. */
function measureLatency(clock: Clock, record: (milliseconds: number) => void, route: Route): Route {
    return async (request, response) => {
        const startedAt = clock.monotonicMilliseconds();
        const isHandled = await route(request, response);
        if (isHandled) {
            record(clock.monotonicMilliseconds() - startedAt);
        }
        return isHandled;
    };
}

async function listen(server: Server, address: string, port: number): Promise<void> {
    server.listen(port, address);
    await once(server, "listening");
}
