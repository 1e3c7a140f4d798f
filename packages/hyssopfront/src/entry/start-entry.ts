/**
 * The entry daemon: wires the slices that answer callers and backend servers, and stops them gracefully.
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
import { createHistograms, MeasuredClass } from "../metrics/histograms.js";
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

/** Time for one read of the configuration beyond its own wait. */
const READ_MARGIN_MS = 2_000;
/** Time that a stopping entry lets the other entries learn of its leaving before it counts the time to live. */
const LEAVING_NOTICE_MS = 1_000;

export type Entry = {
    readonly callerPort: number;
    readonly adminPort: number;
    readonly peerPort: number;
    /** Resolves when the entry has its first session and configuration, and serves. */
    readonly ready: Promise<void>;
    /** Leaves gracefully: cached lookup answers keep working for their time to live, and no request is cut. */
    stop(): Promise<void>;
};

const debug = createDebug("hyssopfront:entry");

const MEASURED_CLASSES: Readonly<Record<RequestClass, MeasuredClass>> = {
    [RequestClass.Idempotent]: MeasuredClass.Idempotent,
    [RequestClass.RunOnce]: MeasuredClass.RunOnce,
};
const LOOKUP_TENANT = "all";
/** 32 bits of the incarnation's UUID tell two starts of one entry apart. */
const EPOCH_CHARACTERS = 8;

/** Control instances with those of the own availability zone first. */
const nearestFirst = (settings: Settings) =>
    [...settings.controlInstances]
        .sort((one, other) =>
            Number(other.availabilityZone === settings.instance.availabilityZone) -
            Number(one.availabilityZone === settings.instance.availabilityZone)
        )
        .map(({ name }) => name);

/**
 * Starts an entry.
 *
 * @param settings Checked settings with the table `entry`.
 * @throws Error when a port is in use or a file cannot be read.
 */
export async function startEntry(settings: Settings, clock: Clock): Promise<Entry> {
    const { clusterId, instance, entry, tls } = settings;
    if (entry === undefined) {
        throw new Error("The settings have no table entry.");
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
    // The follower and the view lease need the session, which in turn needs them.
    const holder: { session?: Session } = {};
    const stopping = new AbortController();
    let isLeaving = false;

    const followed = followConfiguration({
        clock,
        counters: metrics,
        upstreams: view => chooseUpstreams(view, self.name, instance.availabilityZone, nearestFirst(settings)),
        read: (upstream, request) =>
            (entryPeers.names().includes(upstream) ? entryPeers : controlPeers).call(
                upstream,
                PeerRequestKind.ReadConfiguration,
                request,
                request.waitMilliseconds + READ_MARGIN_MS,
            ),
        latestKnownRevision: () => holder.session?.knownRevision() ?? 0,
    });
    const configuration: ConfigurationSource = {
        view: followed.view,
        onChange: followed.onChange,
        holdsViewLease: () => holder.session?.holdsViewLease() ?? false,
    };
    const announcements = createAnnouncements({
        clock,
        counters: metrics,
        epoch: self.incarnation.slice(0, EPOCH_CHARACTERS),
        isDraining: (service, name, { availabilityZone }) =>
            drains.backendServerShare({ service, name, availabilityZone }) >= 1,
        pull: (name, request, deadlineMilliseconds) =>
            entryPeers.call(name, PeerRequestKind.PullAnnouncements, request, deadlineMilliseconds),
    });
    const drains = createDrainTracker({ clock, configuration, announcements });
    const admission = createEntryAdmission({ clock, entry: self.name, configuration, announcements });
    const steering = createEntrySelection({
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
        acceptsNewWork: (backendServer: AnnouncedBackendServer) =>
            Math.random() >= drains.backendServerShare(backendServer),
        requestQuotaRenewal: () => holder.session?.renewNow(),
        recordLatency: (tenant, requestClass, milliseconds) =>
            histograms.record(tenant, MEASURED_CLASSES[requestClass], milliseconds),
    });

    const stopFollowingPeers = configuration.onChange(view => {
        entryPeers.applyView(view);
        announcements.setOtherEntries(entryPeers.names());
    });
    const callerServer = createCallerServer(
        withRoutes(handler, [
            measured(
                clock,
                milliseconds => histograms.record(LOOKUP_TENANT, MeasuredClass.LookUp, milliseconds),
                createLookupRoute(steering),
            ),
            createAnnouncementRoutes({ clock, announcements }),
        ]),
    );
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
            [PeerRequestKind.ReadConfiguration]: servePublication(followed.publication),
        }),
    });
    const describeDrains = () => {
        const names = [...followed.view().drains.keys()];
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
    const startedSession = startSession({
        clock,
        counters: metrics,
        controlInstances: nearestFirst(settings),
        call: controlPeers.call,
        describeEntry: () => ({
            entry: self.name,
            incarnation: self.incarnation,
            address: instance.address,
            callerPort: entry.advertisedCallerPort ?? callerPort,
            peerPort: entry.advertisedPeerPort ?? peerListener.port,
            availabilityZone: instance.availabilityZone,
            isLeaving,
            appliedRevision: followed.view().revision,
            ...describeDrains(),
        }),
        demands: admission.demands,
        applyGrants: (grants, sentAt) => {
            admission.applyGrants(grants, sentAt);
            handler.onGrants();
        },
    });
    holder.session = startedSession;
    void startedSession.started.then(() => runOnce?.reportIncarnation(stopping.signal));

    const describeState = () => ({
        name: self.name,
        incarnation: self.incarnation,
        availabilityZone: self.availabilityZone,
        revision: followed.view().revision,
        knownRevision: startedSession.knownRevision(),
        holdsViewLease: startedSession.holdsViewLease(),
        isLeaving,
        inFlight: handler.inFlight,
        upstream: followed.upstream(),
        backendServers: Object.fromEntries(
            [...followed.view().services.keys()].map(service => [
                service,
                announcements.backendServers(service).map(backendServer => ({
                    ...backendServer,
                    floorSlots: admission.heldFloorOf(slotsKey(service, backendServer.name)),
                })),
            ]),
        ),
        drains: Object.fromEntries([...followed.view().drains.keys()].map(name => [name, drains.state(name)])),
    });
    const adminServer = await startAdminServer({
        address: instance.address,
        port: entry.adminPort,
        token,
        routes: {
            "/v1/status": describeState,
            "/v1/metrics": metrics.values,
            "/v1/histograms": () => ({ histograms: histograms.summaries() }),
        },
    });
    debug("started, callers at %s:%d", instance.address, callerPort);

    const longestTimeToLiveMilliseconds = () =>
        1_000 * Math.max(0, ...[...followed.view().services.values()].map(service => service.timeToLiveSeconds));

    const leave = async () => {
        isLeaving = true;
        stopping.abort();
        debug("leaving, %d requests in flight", handler.inFlight);
        startedSession.renewNow();
        await clock.sleep(LEAVING_NOTICE_MS + longestTimeToLiveMilliseconds());
        await handler.drain();
        const closed = closeServer(callerServer);
        await runOnce?.waitUntilIdle();
        await closed;
        await startedSession.end();
        stopFollowingPeers();
        handler.close();
        drains.close();
        steering.close();
        admission.close();
        await announcements.stop();
        await followed.stop();
        await Promise.all([peerListener.close(), entryPeers.close(), controlPeers.close(), closeServer(adminServer)]);
        await metrics.close();
        debug("stopped");
    };
    let stopped: Promise<void> | undefined;
    return {
        callerPort,
        adminPort: (adminServer.address() as AddressInfo).port,
        peerPort: peerListener.port,
        ready: startedSession.started.then(() => steering.waitForUpdate()),
        stop: () => {
            stopped ??= leave();
            return stopped;
        },
    };
}

type Route = (request: IncomingMessage, response: ServerResponse) => Promise<boolean>;

/** Puts routes before the request path; a route tells whether the path was its own. */
function withRoutes(handler: RequestHandler, routes: readonly Route[]) {
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

function measured(clock: Clock, record: (milliseconds: number) => void, route: Route): Route {
    return async (request, response) => {
        const startedAt = clock.monotonicMilliseconds();
        const isOwn = await route(request, response);
        if (isOwn) {
            record(clock.monotonicMilliseconds() - startedAt);
        }
        return isOwn;
    };
}

async function listen(server: Server, address: string, port: number): Promise<void> {
    server.listen(port, address);
    await once(server, "listening");
}

function closeServer(server: Server): Promise<void> {
    return new Promise(resolve => {
        server.close(() => resolve());
        server.closeIdleConnections();
    });
}
