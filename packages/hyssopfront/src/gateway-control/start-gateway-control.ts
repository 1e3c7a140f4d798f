/**
 * Control instance of the gateway, with the replicated catalog, the registry of backend servers and the change feed
 * that entries follow.
 */
import { listenForPeers, type PeerIdentity, routePeerRequests } from "@hyssopfront/coordination";
import { randomUUID } from "node:crypto";
import { CommandKind } from "../catalog/catalog-state.js";
import type { Departure } from "../catalog/departures.js";
import { type Item, itemKey, ItemKind } from "../catalog/items.js";
import { createKnownEntries } from "../client-accounts/quotas/entry-reach.js";
import { createQuotaLeaseHandler } from "../client-accounts/quotas/serve-quota-leases.js";
import {
    createConnectedEntries,
    entryReportSchema,
    rankSlowStartEntries,
    selectEntriesForCaller,
} from "../entry-selection/connected-entries.js";
import { createHomeRegionIndex } from "../entry-selection/home-regions.js";
import { errorFields, EventLevel } from "../event-log/event-log.js";
import { createChangeFeed, feedValuesRequestSchema } from "../feed/change-feed.js";
import { createFeedServer } from "../feed/serve-feed.js";
import { createFormation, JOIN_REQUEST_KIND, LEAVE_REQUEST_KIND } from "../formation/formation.js";
import { createMemberPeers, memberName } from "../formation/member-peers.js";
import {
    type BackendAnnouncement,
    type BackendRecord,
    BackendServerState,
    getRecordVersion,
} from "../registry/backend-record.js";
import { createRegistry } from "../registry/registry.js";
import { allocateSlowStartQuotas } from "../slow-start/slow-start-quotas.js";
import { createCallsInProgress } from "./calls-in-progress.js";
import { createCatalogGroup } from "./catalog-group.js";
import { catchUpWithCatalog } from "./catch-up.js";
import { type EvacuationOrder, submitEvacuation } from "./evacuation-orders.js";
import type { GatewayControl, GatewayControlOptions } from "./gateway-control.js";
import { createMemberConnectivity } from "./member-connectivity.js";
import {
    ControlRequestKind,
    FeedKey,
    GATEWAY_CLUSTER_ID,
    proposeRequestSchema,
    readFeedRequestSchema,
} from "./messages.js";
import { createPacedQueue } from "./paced-queue.js";
import { createRecordReplication } from "./record-replication.js";
import { submitChange } from "./submit-change.js";

/** Role that a control instance sends in the handshake with its peers. */
const CONTROL_ROLE = "gateway-control";
/** Deadline for storing a departure, in milliseconds. The backend server waits 1 s for the acknowledgement. */
const DEPARTURE_DEADLINE_MS = 800;
/** Interval of the check for lost backend servers, in milliseconds. */
const EXPIRY_INTERVAL_MS = 500;
/** Backend servers are only expired after this many heartbeat intervals of connectivity to all control instances. */
const FULL_CONNECTIVITY_HEARTBEATS = 4;

/** Time for calls in progress after a stop has transferred the leadership, in milliseconds. A change takes less. */
const STOP_CALLS_MS = 1_000;

/** Starts a control instance. Resolves once it listens for its peers; the port also guards its data folder. */
export async function startGatewayControl(options: GatewayControlOptions): Promise<GatewayControl> {
    const { clock, counters, log } = options;
    const self = memberName(options.address, options.peerPort);
    const incarnation = randomUUID();
    const identity: PeerIdentity = {
        clusterId: GATEWAY_CLUSTER_ID,
        name: self,
        incarnation,
        role: CONTROL_ROLE,
        availabilityZone: options.availabilityZone,
    };
    const stopping = new AbortController();
    const { signal } = stopping;
    const seeds = () => options.seedAddresses().map(address => memberName(address, options.peerPort));
    const feed = createChangeFeed({ clock, feedId: incarnation });
    const feedServer = createFeedServer(feed);
    let members: readonly string[] = [];

    const peers = createMemberPeers({
        clock,
        counters,
        self: identity,
        onConnected: name => {
            log(EventLevel.Info, "control instance connected", { peer: name });
            replication.pullRecords(name).catch((error: unknown) =>
                log(EventLevel.Warning, "pulling records failed", { peer: name, ...errorFields(error) })
            );
        },
        onDisconnected: (name, reason) =>
            log(EventLevel.Warning, "control instance disconnected", { peer: name, ...errorFields(reason) }),
    });
    const registry = createRegistry({
        clock,
        heartbeatMilliseconds: options.heartbeatMilliseconds,
        onChange: (id, read) => {
            const record = read();
            const { service, state, sequence, startedAt } = record ?? {};
            log(EventLevel.Info, "backend server changed", { server: id, service, state, sequence, startedAt });
            feed.set(FeedKey.BackendServer + id, read, record === undefined ? undefined : getRecordVersion(record));
        },
    });
    const others = () => members.filter(name => name !== self);
    const replication = createRecordReplication({
        clock,
        log,
        peers,
        registry,
        others,
        isMember: () => members.length > 0,
    });
    const entries = createConnectedEntries({
        clock,
        onChange: names => {
            const present = entries.list();
            names.forEach(name => {
                const isReady = present.find(entry => entry.name === name)?.isReady;
                log(EventLevel.Info, "entry changed", { entry: name, isPresent: isReady !== undefined, isReady });
            });
            feed.set(FeedKey.EntryCount, () => present.length);
            knownEntries.update(present);
        },
    });
    const knownEntries = createKnownEntries(clock);
    const changedItems = createPacedQueue<Item>(clock, item => {
        const { kind, name, version } = item;
        log(EventLevel.Info, "item changed", { kind, name, version, isDropped: item.value === undefined });
        feed.set(FeedKey.Item + itemKey(kind, name), () => ({ ...item, source: undefined }), version);
    });
    const catalog = createCatalogGroup({
        clock,
        counters,
        log,
        random: options.random,
        self,
        clusterId: GATEWAY_CLUSTER_ID,
        dataFolder: options.dataFolder,
        initialVoters: options.isFirstStart && seeds().includes(self) ? seeds() : [],
        peers,
        isGrowing: () => formation.isGrowing(),
        observer: {
            onItems: items => {
                homeRegions.invalidate();
                changedItems.add(items);
            },
            onDepartures: departures =>
                departures.forEach(({ id, startedAt }) => {
                    const record = registry.createDepartureRecord(id, startedAt);
                    if (record !== undefined) {
                        registry.merge(record);
                    }
                }),
        },
        onStatus: status => {
            formation.handleStatus(status);
            const names = status.members.map(member => member.name);
            if (names.length > 0 && names.join() !== members.join()) {
                members = names;
                feed.set(FeedKey.Members, () => names);
            }
        },
    });
    const leaseTokens = createQuotaLeaseHandler({
        clock,
        replica: catalog.replica,
        findQuota: name => {
            const value = catalog.find(ItemKind.ClientAccount, name)?.value;
            return value?.kind === ItemKind.ClientAccount ? value.account.quota : undefined;
        },
        knownEntries,
    });
    const homeRegions = createHomeRegionIndex(catalog.items);
    const formation = createFormation({
        clock,
        self,
        replica: catalog.replica,
        peers,
        seeds,
        voterCount: options.voterCount,
        onChange: (change, error) =>
            log(error === undefined ? EventLevel.Info : EventLevel.Warning, "membership change", {
                kind: change.kind,
                member: change.name,
                ...error === undefined ? {} : errorFields(error),
            }),
    });

    const allocateQuotas = ({ id, service, availabilityZone, coldMilliseconds }: BackendAnnouncement) => {
        const current = registry.findSlowStartQuotas(id);
        if (coldMilliseconds === 0) {
            return current;
        }
        const value = catalog.find(ItemKind.Service, service)?.value;
        return allocateSlowStartQuotas({
            current,
            requestsPerSecond: value?.kind === ItemKind.Service ? value.policy.coldRequestsPerSecond : 0,
            candidates: rankSlowStartEntries(entries.list(), options.getRegion(availabilityZone), options.random),
        });
    };

    const mergeAndReplicate = async (record: BackendRecord, requiresMajority: boolean) => {
        const isChange = registry.merge(record);
        if (!isChange && !requiresMajority) {
            replication.enqueue(record);
            return true;
        }
        const replicated = replication.replicate(record);
        return !requiresMajority || await replicated;
    };

    /** Stores a departure in the log of the group, so that it outlasts a restart of all control instances. */
    const storeDeparture = async (departure: Departure) => {
        try {
            await catalog.submit({ kind: CommandKind.Depart, departure }, DEPARTURE_DEADLINE_MS);
            return true;
        }
        catch (error) {
            log(EventLevel.Warning, "departure not stored", { server: departure.id, ...errorFields(error) });
            return false;
        }
    };

    const readFeed = async (payload: unknown, requestSignal: AbortSignal) => {
        const { entry, read } = readFeedRequestSchema.parse(payload);
        const disconnect = entries.connect(entry);
        return feedServer.read(read, requestSignal).finally(disconnect);
    };

    const listener = await listenForPeers({
        clock,
        counters,
        address: options.address,
        port: options.peerPort,
        addressWait: options.addressWait,
        self: identity,
        handle: routePeerRequests({
            [ControlRequestKind.Consensus]: (from, payload) => catalog.handleConsensus(from.name, payload),
            [ControlRequestKind.Propose]: async (_from, payload) =>
                catalog.proposeLocally(proposeRequestSchema.parse(payload).command),
            [ControlRequestKind.ReplicateRecords]: async (_from, payload) => {
                replication.mergeRecords(payload);
                return {};
            },
            [ControlRequestKind.PullRecords]: async () => ({ records: registry.records() }),
            [ControlRequestKind.ReadFeed]: (_from, payload, requestSignal) => readFeed(payload, requestSignal),
            [ControlRequestKind.ReadFeedValues]: async (_from, payload) =>
                feedServer.readValues(feedValuesRequestSchema.parse(payload).keys),
            [ControlRequestKind.ReportEntry]: async (_from, payload) => {
                entries.update(entryReportSchema.parse(payload));
                return {};
            },
            [ControlRequestKind.LeaseTokens]: async (_from, payload) => leaseTokens(payload),
            [JOIN_REQUEST_KIND]: async from => formation.handleJoin(from.name),
            [LEAVE_REQUEST_KIND]: async from => {
                log(EventLevel.Info, "control instance leaves", { peer: from.name });
                formation.handleLeave(from.name);
                return {};
            },
        }),
    });

    const connectivity = createMemberConnectivity(clock);
    const expireRecords = async () => {
        while (!signal.aborted) {
            await clock.sleep(EXPIRY_INTERVAL_MS, signal).catch(() => undefined);
            connectivity.update(others(), new Set(peers.connected()));
            if (
                connectivity.fullyConnectedMilliseconds() > options.heartbeatMilliseconds * FULL_CONNECTIVITY_HEARTBEATS
            ) {
                registry.expire().forEach(({ service }) => counters.increment("registry.lost", 1, { service }));
            }
            // Removes entries whose connections are lost.
            entries.list();
        }
    };
    const tasks = [
        catalog.run(signal),
        formation.run(signal),
        replication.run(signal),
        expireRecords(),
        catchUpWithCatalog({ clock, log, catalog, feed, announced: changedItems.waitUntilHandled }, signal),
    ];

    const { rejectAtStop, waitUntilEnded } = createCallsInProgress(clock, signal);
    return {
        receiveAnnouncement: rejectAtStop((announcement: BackendAnnouncement) =>
            mergeAndReplicate(
                { ...announcement, coldPortions: allocateQuotas(announcement) },
                announcement.state === BackendServerState.Draining,
            )
        ),
        receiveDeparture: rejectAtStop(async (id: string, startedAt: number | undefined) => {
            const record = registry.createDepartureRecord(id, startedAt);
            if (record === undefined) {
                return true;
            }
            const [isReplicated, isStored] = await Promise.all([
                mergeAndReplicate(record, true),
                storeDeparture({ id, startedAt: record.startedAt }),
            ]);
            return isReplicated && isStored;
        }),
        changeItems: rejectAtStop((items: readonly Item[], deadlineMilliseconds: number) =>
            submitChange({ clock, catalog }, items, deadlineMilliseconds)
        ),
        setEvacuation: rejectAtStop((order: EvacuationOrder, deadlineMilliseconds: number) =>
            submitEvacuation({ clock, catalog }, order, deadlineMilliseconds)
        ),
        readItems: rejectAtStop(async (deadlineMilliseconds: number) => {
            await catalog.catchUp(deadlineMilliseconds);
            return catalog.items().filter(item => item.value !== undefined && item.kind !== ItemKind.Evacuation);
        }),
        findEntries: (host, callerRegion) =>
            selectEntriesForCaller(entries.list(), {
                callerRegion,
                homeRegions: homeRegions.find(host),
                regions: options.regions.length,
                random: options.random,
            }),
        voters: () =>
            (catalog.replica()?.status().members ?? []).filter(({ isVoter }) => isVoter).map(({ name }) => name),
        stop: async () => {
            await catalog.replica()?.transferLeadership();
            await waitUntilEnded(STOP_CALLS_MS);
            // Afterwards, because an instance that is no longer a member cannot complete reads.
            log(EventLevel.Info, "leaving the control group", { receivedBy: await formation.leave() });
            stopping.abort(new Error("The control instance stops."));
            await Promise.all(tasks);
            await Promise.all([listener.close(), peers.close()]);
        },
    };
}
