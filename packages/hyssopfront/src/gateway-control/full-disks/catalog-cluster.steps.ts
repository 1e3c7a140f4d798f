/**
 * Group of catalog replicas in one process, on real files and with connections in memory that tests can cut.
 */
import { createSystemClock, NO_COUNTERS, ReplicaRole, withDeadline } from "@hyssopfront/coordination";
import { getEventListeners } from "node:events";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Item } from "../../catalog/items.js";
import { EventLevel, type EventLog } from "../../event-log/event-log.js";
import { createFormation, JOIN_REQUEST_KIND, LEAVE_REQUEST_KIND } from "../../formation/formation.js";
import type { MemberPeers } from "../../formation/member-peers.js";
import { type CatalogGroup, createCatalogGroup } from "../catalog-group.js";
import { ControlRequestKind, GATEWAY_CLUSTER_ID, proposeRequestSchema } from "../messages.js";
import { createFailingDisk, type FailingDisk } from "./failing-disk.steps.js";

export const clock = createSystemClock();

/** Time without a message after which a connection ends, in milliseconds, as between the peers. */
const SILENT_CONNECTION_MS = 2_000;

/** Log line of an instance. */
export type LogLine = { readonly level: EventLevel; readonly event: string; readonly fields: Record<string, unknown> };

/** Instance of the group. */
export type Instance = {
    readonly name: string;
    readonly folder: string;
    readonly disk: FailingDisk;
    readonly catalog: CatalogGroup;
    readonly lines: LogLine[];
    /** Items that the instance was told of as changed. */
    readonly observed: Item[];
    readonly countAbortListeners: () => number;
    /** Names to which this instance maintained connections last. */
    readonly contacts: () => readonly string[];
    /** Ends the instance as a kill does. */
    readonly stop: () => Promise<void>;
    /** Ends the instance as a planned stop does: it hands over the leadership and asks to be replaced. */
    readonly leave: () => Promise<void>;
};

/** Group of instances. */
export type CatalogCluster = {
    readonly instances: Map<string, Instance>;
    /** Starts an instance, with the disk and folder of an earlier one of the same name. */
    start(name: string, isFirstStart: boolean, disk?: FailingDisk): Instance;
    /** Cuts or restores all connections of an instance. */
    setCut(name: string, isCut: boolean): void;
    /** Lets an instance fall silent for good, as when it loses power: its connections only end after a timeout. */
    silence(name: string): void;
    /** Returns the leader that a majority follows, or undefined when there is none. */
    leader(): Instance | undefined;
    end(): Promise<void>;
};

/** Creates a group without running instances. */
export function createCatalogCluster(options: {
    readonly seeds: readonly string[];
    readonly voterCount: number;
    readonly segmentBytes: number;
    readonly snapshotEveryEntries: number;
}): CatalogCluster {
    const folder = mkdtempSync(join(tmpdir(), "full-disks-"));
    const instances = new Map<string, Instance>();
    const handlers = new Map<string, (from: string, kind: string, payload: unknown) => Promise<unknown>>();
    const cut = new Set<string>();
    const silentSince = new Map<string, number>();
    /** The first seeds, and running instances in place of those that have stopped. */
    const listSeeds = () => {
        const running = [...instances.keys()];
        const replaced = options.seeds.filter(name => !instances.has(name));
        const added = running.filter(name => !options.seeds.includes(name)).slice(0, replaced.length);
        return [...options.seeds.filter(name => instances.has(name)), ...added];
    };
    const isReachable = (from: string, to: string) => handlers.has(to) && !cut.has(from) && !cut.has(to);
    const isConnected = (from: string, to: string) => {
        const silentAt = Math.min(...[from, to].map(name => silentSince.get(name) ?? Infinity));
        return isReachable(from, to) && clock.monotonicMilliseconds() < silentAt + SILENT_CONNECTION_MS;
    };

    const start = (
        name: string,
        isFirstStart: boolean,
        disk = createFailingDisk(),
    ) => {
        const lines: LogLine[] = [];
        const observed: Item[] = [];
        const log: EventLog = (level, event, fields) => void lines.push({ level, event, fields: { ...fields } });
        let contacts: readonly string[] = [];
        const peers: MemberPeers = {
            call: async (to, kind, payload, deadline) => {
                await clock.sleep(1);
                const handle = handlers.get(to);
                if (handle === undefined || !isReachable(name, to)) {
                    throw new Error(`${to} is unreachable.`);
                }
                const isSilent = silentSince.has(name) || silentSince.has(to);
                return withDeadline(clock, deadline, isSilent ? new Promise(() => {}) : handle(name, kind, payload));
            },
            maintainConnections: names => {
                contacts = names;
            },
            connected: () => contacts.filter(contact => isConnected(name, contact)),
            close: () => Promise.resolve(),
        };
        const stopping = new AbortController();
        const catalog = createCatalogGroup({
            clock,
            counters: NO_COUNTERS,
            log,
            random: Math.random,
            self: name,
            clusterId: GATEWAY_CLUSTER_ID,
            dataFolder: join(folder, name),
            fileSystem: disk.fileSystem,
            segmentBytes: options.segmentBytes,
            snapshotEveryEntries: options.snapshotEveryEntries,
            initialVoters: isFirstStart && options.seeds.includes(name) ? options.seeds : [],
            peers,
            isGrowing: () => formation.isGrowing(),
            observer: { onItems: items => void observed.push(...items), onDepartures: () => undefined },
            onStatus: status => formation.handleStatus(status),
        });
        const formation = createFormation({
            clock,
            self: name,
            replica: catalog.replica,
            peers,
            seeds: listSeeds,
            voterCount: options.voterCount,
            onChange: (change, error) => log(EventLevel.Info, "membership change", { ...change, error }),
        });
        handlers.set(name, async (from, kind, payload) => {
            switch (kind) {
                case ControlRequestKind.Consensus:
                    return catalog.handleConsensus(from, payload);
                case ControlRequestKind.Propose:
                    return catalog.proposeLocally(proposeRequestSchema.parse(payload).command);
                case JOIN_REQUEST_KIND:
                    return formation.handleJoin(from);
                case LEAVE_REQUEST_KIND:
                    return formation.handleLeave(from);
                default:
                    throw new Error(`The request ${kind} is not known.`);
            }
        });
        const tasks = [catalog.run(stopping.signal), formation.run(stopping.signal)];
        const kill = async () => {
            handlers.delete(name);
            instances.delete(name);
            stopping.abort();
            await Promise.all(tasks);
        };
        const instance: Instance = {
            name,
            folder: join(folder, name),
            disk,
            catalog,
            lines,
            observed,
            countAbortListeners: () => getEventListeners(stopping.signal, "abort").length,
            contacts: () => contacts,
            stop: kill,
            leave: async () => {
                await catalog.replica()?.transferLeadership();
                await formation.leave();
                await kill();
            },
        };
        instances.set(name, instance);
        return instance;
    };

    return {
        instances,
        start,
        setCut: (name, isCut) => void (isCut ? cut.add(name) : cut.delete(name)),
        silence: name => void silentSince.set(name, clock.monotonicMilliseconds()),
        leader: () => {
            const statuses = [...instances.values()].map(({ catalog }) => catalog.replica()?.status());
            return [...instances.values()].find(({ name, catalog }) =>
                !cut.has(name) && !silentSince.has(name)
                && catalog.replica()?.status().role === ReplicaRole.Leader
                && catalog.replica()?.holdsLeaderLease() === true
                && statuses.filter(status => status?.leader === name).length > instances.size / 2
            );
        },
        end: async () => {
            await Promise.all([...instances.values()].map(instance => {
                instance.disk.free();
                return instance.stop();
            }));
            rmSync(folder, { recursive: true, force: true });
        },
    };
}
