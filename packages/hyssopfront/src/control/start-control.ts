/**
 * Starts a control instance: its replicas, peer connections, entry sessions and the operator API.
 */
import {
    type Clock,
    type Counters,
    listenForPeers,
    NO_COUNTERS,
    PeerFailureCode,
    type PeerIdentity,
    PeerRequestError,
    type PeerRequestHandler,
    type Replica,
    routePeerRequests,
    servePublication,
} from "@hyssopfront/coordination";
import { randomUUID } from "node:crypto";
import { createQuotaAllocator } from "../admission/quota-allocator.js";
import { readToken } from "../operator-api/authorization.js";
import { startOperatorApi } from "../operator-api/start-operator-api.js";
import { endSessionRequestSchema, PeerRequestKind, PeerRole } from "../sessions/messages.js";
import { decodeRenewal, encodeRenewalReply } from "../sessions/renewal-encoding.js";
import { createChangeRouter } from "./change-router.js";
import { dialControlPeers } from "./control-peers.js";
import type { ControlSettings, RunOnceGroupSettings } from "./control-settings.js";
import { createGroupHost, type GroupHost, type StateMachine } from "./group-host.js";
import { createLeader, type Leader } from "./leader.js";
import { createMainGroup, type MainGroup } from "./main-group.js";
import { repairMembership } from "./membership-repair.js";
import { proposeRequestSchema } from "./messages.js";
import { createOperatorApiBackend } from "./operator-api-backend.js";
import { createSessionTable } from "./session-table.js";

const MAIN_GROUP_ID = "main";
const RUN_ONCE_KINDS = [
    PeerRequestKind.BeginRunOnce,
    PeerRequestKind.FinishRunOnce,
    PeerRequestKind.ReportIncarnation,
    PeerRequestKind.AwaitContention,
];
/** Interval at which the revision in force is updated while this instance leads, in milliseconds. */
const SUPERVISION_INTERVAL_MS = 100;

/** State machine of a run-once group, and the handler of requests from entries to the group. */
export type RunOnceStateMachine = StateMachine & {
    /** Handles one request of an entry. Commands are committed through `replica`. */
    handle(replica: Replica, kind: string, from: PeerIdentity, payload: unknown, signal: AbortSignal): Promise<unknown>;
};

/** Options that the calling program sets, in addition to the settings file. */
export type ControlOptions = {
    readonly counters?: Counters;
    /** Random numbers from 0 to below 1, for election timeouts. */
    readonly random?: () => number;
    /** Creates the state machine of a run-once group that this instance votes in. Without it no such group opens. */
    readonly createRunOnceStateMachine?: (group: RunOnceGroupSettings) => RunOnceStateMachine;
    /** Number of applied log entries after which the main group takes a snapshot. */
    readonly snapshotEveryEntries?: number;
    /** Size of the main group's log segments, in bytes. A snapshot drops whole segments only. */
    readonly segmentBytes?: number;
    /** Called when a replica or a background task has failed; the process should then exit. */
    readonly onFailure?: (error: Error) => void;
};

/** A running control instance. */
export type Control = {
    readonly peerPort: number;
    readonly operatorPort: number;
    /** Completes the requests in progress, transfers leadership and closes all connections and files. */
    stop(): Promise<void>;
};

/**
 * Starts a control instance.
 *
 * @throws StorageError when the data folder cannot be used.
 * @throws Error when a port is in use or a setting is invalid.
 */
export async function startControl(
    settings: ControlSettings,
    clock: Clock,
    options: ControlOptions = {},
): Promise<Control> {
    const { clusterId, instance, control, controlInstances, tls } = settings;
    const counters = options.counters ?? NO_COUNTERS;
    const token = await readToken(settings.operators?.tokenFile);
    const self: PeerIdentity = {
        clusterId,
        name: instance.name,
        incarnation: randomUUID(),
        role: PeerRole.Control,
        availabilityZone: instance.availabilityZone,
    };
    const quotaAllocator = createQuotaAllocator({ clock });
    const mainGroup = createMainGroup({ clock, counters, onViewChange: quotaAllocator.applyView });
    const peers = dialControlPeers({ clock, counters, self, instances: controlInstances, tls });
    const host = createGroupHost({
        clock,
        counters,
        random: options.random ?? Math.random,
        self: self.name,
        clusterId,
        dataFolder: control.dataFolder,
        peers,
    });
    const stopping = new AbortController();
    const closeFunctions: (() => Promise<void>)[] = [() => peers.close(), () => host.close()];
    try {
        const { replica, runOnceGroups } = await openGroups(settings, options, host, mainGroup);
        const sessionTable = createSessionTable({
            clock,
            self: self.name,
            registeredEntries: mainGroup.state.entries,
            configurationRevision: () => mainGroup.state.configurationRevision,
        });
        const leader = createLeader({
            clock,
            counters,
            replica,
            mainGroup,
            sessionTable,
            quotaAllocator,
        });
        const router = createChangeRouter({ clock, counters, self: self.name, replica, leader, peers });
        const listener = await listenForPeers({
            clock,
            counters,
            self,
            tls,
            address: instance.address,
            port: control.peerPort,
            handle: createPeerHandler(settings, host, mainGroup, leader, runOnceGroups),
        });
        closeFunctions.push(() => listener.close());
        host.replicas().forEach(hosted => hosted.start());
        const api = await startOperatorApi({
            clock,
            counters,
            token,
            address: instance.address,
            port: control.operatorPort,
            backend: createOperatorApiBackend({
                clock,
                self: self.name,
                mainGroup,
                replicas: host.replicas,
                router,
                connectedPeers: peers.connected,
            }),
        });
        const tasks = [
            superviseLeadership(clock, leader, stopping.signal),
            ...repairGroups(settings, clock, counters, host, stopping.signal),
        ].map(task => task.catch((error: Error) => options.onFailure?.(error)));
        return {
            peerPort: listener.port,
            operatorPort: api.port,
            stop: createStop(async () => {
                await api.stop();
                await host.transferLeadership();
                stopping.abort(new Error("The control instance stops."));
                await Promise.all(tasks);
                await closeAll(closeFunctions);
            }),
        };
    }
    catch (error) {
        stopping.abort(error);
        await closeAll(closeFunctions);
        throw error;
    }
}

async function closeAll(closeFunctions: readonly (() => Promise<void>)[]): Promise<void> {
    for (const close of [...closeFunctions].reverse()) {
        await close();
    }
}

/** Creates a stop function that runs `run` on its first call and returns the same promise on each later one. */
function createStop(run: () => Promise<void>): () => Promise<void> {
    let stopped: Promise<void> | undefined;
    return () => {
        stopped ??= run();
        return stopped;
    };
}

type RunOnceGroups = ReadonlyMap<string, { readonly stateMachine: RunOnceStateMachine; readonly replica: Replica }>;

const runOnceGroupId = (name: string) => `run-once-${name}`;

/** Opens the replicas of the main group and of the run-once groups that this instance votes in. */
async function openGroups(
    settings: ControlSettings,
    options: ControlOptions,
    host: GroupHost,
    mainGroup: MainGroup,
): Promise<{ replica: Replica; runOnceGroups: RunOnceGroups }> {
    const self = settings.instance.name;
    const reportFailure = ({ failure }: { failure: Error | undefined }) => {
        if (failure !== undefined) {
            options.onFailure?.(failure);
        }
    };
    const replica = await host.open({
        groupId: MAIN_GROUP_ID,
        voters: settings.controlInstances.map(({ name }) => name),
        snapshotEveryEntries: options.snapshotEveryEntries,
        segmentBytes: options.segmentBytes,
        onStateChange: reportFailure,
        stateMachine: {
            apply: entry => mainGroup.apply(entry.index, entry.payload),
            takeSnapshot: mainGroup.takeSnapshot,
            restoreSnapshot: mainGroup.restoreSnapshot,
        },
    });
    const runOnceGroups = new Map<string, { stateMachine: RunOnceStateMachine; replica: Replica }>();
    const { createRunOnceStateMachine } = options;
    const groups = createRunOnceStateMachine === undefined ? [] : settings.runOnceGroups ?? [];
    for (const group of groups.filter(({ voters }) => voters.includes(self))) {
        const stateMachine = createRunOnceStateMachine?.(group) as RunOnceStateMachine;
        const groupReplica = await host.open({
            groupId: runOnceGroupId(group.name),
            voters: group.voters,
            leadershipPreference: group.preferredLeader === self ? 1 : 0,
            onStateChange: reportFailure,
            stateMachine,
        });
        runOnceGroups.set(group.name, { stateMachine, replica: groupReplica });
    }
    return { replica, runOnceGroups };
}

type Handler = (from: PeerIdentity, payload: unknown, signal: AbortSignal) => Promise<unknown>;

function createPeerHandler(
    settings: ControlSettings,
    host: GroupHost,
    mainGroup: MainGroup,
    leader: Leader,
    runOnceGroups: RunOnceGroups,
): PeerRequestHandler {
    const controlNames = new Set(settings.controlInstances.map(({ name }) => name));
    const requireRole =
        (isAllowed: (from: PeerIdentity) => boolean, handler: Handler): Handler => async (from, payload, signal) => {
            if (!isAllowed(from)) {
                throw new PeerRequestError("forbidden", `${from.name} may not send this kind of request.`);
            }
            return handler(from, payload, signal);
        };
    const fromControl = (handler: Handler) =>
        requireRole(from => from.role === PeerRole.Control && controlNames.has(from.name), handler);
    const fromEntry = (handler: Handler) => requireRole(from => from.role === PeerRole.Entry, handler);
    const requireOwnName = (from: PeerIdentity, name: string) => {
        if (from.name !== name) {
            throw new PeerRequestError("forbidden", `${from.name} cannot hold a session of ${name}.`);
        }
    };
    const runOnceHandler = (kind: PeerRequestKind) =>
        fromEntry((from, payload, signal) => {
            const name = (payload as { group?: unknown } | undefined)?.group;
            const group = runOnceGroups.get(String(name));
            if (group === undefined) {
                throw new PeerRequestError(
                    PeerFailureCode.UnknownKind,
                    `No run-once group ${String(name)} is here.`,
                );
            }
            return group.stateMachine.handle(group.replica, kind, from, payload, signal);
        });

    return routePeerRequests({
        [PeerRequestKind.Consensus]: fromControl((from, payload) => host.handle(from.name, payload)),
        [PeerRequestKind.Propose]: fromControl((_from, payload) => leader.propose(proposeRequestSchema.parse(payload))),
        [PeerRequestKind.ReadBarrier]: fromControl(async () => ({ inForce: await leader.inForceStatus() })),
        [PeerRequestKind.ReadConfiguration]: servePublication(mainGroup.publication),
        [PeerRequestKind.RenewSession]: fromEntry(async (from, payload) => {
            const request = decodeRenewal(payload);
            requireOwnName(from, request.entry);
            return encodeRenewalReply(await leader.renewSession(request), request.demands);
        }),
        [PeerRequestKind.EndSession]: fromEntry((from, payload) => {
            const request = endSessionRequestSchema.parse(payload);
            requireOwnName(from, request.entry);
            return leader.endSession(request);
        }),
        ...Object.fromEntries(RUN_ONCE_KINDS.map(kind => [kind, runOnceHandler(kind)])),
    });
}

/** Prepares a new term soon after an election, and records when revisions come in force. */
async function superviseLeadership(clock: Clock, leader: Leader, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
        await leader.inForceStatus();
        await clock.sleep(SUPERVISION_INTERVAL_MS, signal).catch(() => undefined);
    }
}

function repairGroups(
    settings: ControlSettings,
    clock: Clock,
    counters: Counters,
    host: GroupHost,
    signal: AbortSignal,
): Promise<void>[] {
    const votersByGroup = new Map(
        (settings.runOnceGroups ?? []).map(({ name, voters }) => [runOnceGroupId(name), voters]),
    );
    const mainVoters = settings.controlInstances.map(({ name }) => name);
    return [...host.replicas()].map(([groupId, replica]) =>
        repairMembership({ clock, counters, replica, voters: votersByGroup.get(groupId) ?? mainVoters, signal })
    );
}
