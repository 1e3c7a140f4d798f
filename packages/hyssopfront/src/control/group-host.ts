/**
 * Hosts the replicas of the consensus groups that this instance belongs to, with their storage.
 */
import {
    type Clock,
    type ConsensusReply,
    type Counters,
    createReplica,
    type LogStorage,
    openLogStorage,
    parseConsensusReply,
    parseConsensusRequest,
    type Replica,
    ReplicaRole,
    type ReplicaStatus,
    type StoredEntry,
} from "@hyssopfront/coordination";
import createDebug from "debug";
import { join } from "node:path";
import { MAXIMUM_SPEC_BYTES } from "../resources/resource-state.js";
import { PeerRequestKind } from "../sessions/messages.js";
import type { ControlPeers } from "./control-peers.js";

/** Fits a command with the largest spec. An append message that exceeds its limit by one payload still fits a frame. */
const MAXIMUM_PAYLOAD_BYTES = MAXIMUM_SPEC_BYTES + 16 * 1024;
/** How long a stopping leader waits for another instance to lead, in milliseconds. */
const LEADERSHIP_TRANSFER_TIMEOUT_MS = 2_000;

/** Deterministic replicated state of a group. */
export type StateMachine = {
    apply(entry: StoredEntry): unknown;
    takeSnapshot(): Uint8Array;
    restoreSnapshot(payload: Uint8Array, index: number): void;
};

/** Options of one replica. */
export type GroupOptions = {
    readonly groupId: string;
    /** Names of the control instances that vote when the group is created. */
    readonly voters: readonly string[];
    /** The leader hands leadership over to the healthy voter with the highest preference. Default 0. */
    readonly leadershipPreference?: number;
    /** Number of applied log entries after which a snapshot is taken. */
    readonly snapshotEveryEntries?: number;
    /** Size of a log segment in bytes, after which a new one is started. A snapshot drops whole segments only. */
    readonly segmentBytes?: number;
    readonly stateMachine: StateMachine;
    readonly onStateChange?: (status: ReplicaStatus) => void;
};

/** The replicas of this instance. */
export type GroupHost = {
    /** Opens the storage of a group and creates its replica, which the caller starts. */
    open(options: GroupOptions): Promise<Replica>;
    /** Handles a consensus request for any of the groups. */
    handle(from: string, payload: unknown): Promise<ConsensusReply>;
    /** @returns Replicas by group id. */
    replicas(): ReadonlyMap<string, Replica>;
    /** Transfers the leadership of the groups that this instance leads, so that they need not wait for an election. */
    transferLeadership(): Promise<void>;
    /** Stops the replicas and closes their storage. */
    close(): Promise<void>;
};

type HostedGroup = { readonly replica: Replica; readonly storage: LogStorage };

const debug = createDebug("hyssopfront:control");

/** Logs each change of the role, the term or the leader of a replica. */
function createStateLogger(groupId: string): (status: ReplicaStatus) => void {
    let lastLine = "";
    return ({ role, term, leader }) => {
        const line = `${groupId}: ${role} of term ${term}, leader ${leader ?? "unknown"}`;
        if (line !== lastLine) {
            lastLine = line;
            debug(line);
        }
    };
}

/** Creates a host without groups. */
export function createGroupHost(options: {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly random: () => number;
    readonly self: string;
    readonly clusterId: string;
    readonly dataFolder: string;
    readonly peers: ControlPeers;
}): GroupHost {
    const { clock, counters, random, self, clusterId, dataFolder, peers } = options;
    const groups = new Map<string, HostedGroup>();

    const open = async (group: GroupOptions) => {
        const { groupId, voters, stateMachine } = group;
        const storage = await openLogStorage({
            folder: join(dataFolder, groupId),
            clusterId,
            replicaId: `${groupId}/${self}`,
            segmentBytes: group.segmentBytes,
            counters,
        });
        const logState = createStateLogger(groupId);
        const replica = createReplica({
            groupId,
            self,
            clock,
            random,
            storage,
            counters,
            initialVoters: voters.map(name => ({ name })),
            leadershipPreference: group.leadershipPreference,
            snapshotEveryEntries: group.snapshotEveryEntries,
            maximumPayloadBytes: MAXIMUM_PAYLOAD_BYTES,
            call: async (peer, message, deadlineMilliseconds) =>
                parseConsensusReply(await peers.call(peer, PeerRequestKind.Consensus, message, deadlineMilliseconds)),
            apply: stateMachine.apply,
            takeSnapshot: stateMachine.takeSnapshot,
            restoreSnapshot: stateMachine.restoreSnapshot,
            onStateChange: status => {
                logState(status);
                group.onStateChange?.(status);
            },
        });
        groups.set(groupId, { replica, storage });
        return replica;
    };

    const transferGroupLeadership = async ({ replica }: HostedGroup) => {
        const { role, members, matchIndex } = replica.status();
        if (role !== ReplicaRole.Leader) {
            return;
        }
        const connected = new Set(peers.connected());
        const candidates = members.filter(member => member.isVoter && connected.has(member.name))
            .sort((a, b) => (matchIndex[b.name] ?? 0) - (matchIndex[a.name] ?? 0));
        for (const { name } of candidates) {
            if (await replica.transferLeadership(name)) {
                break;
            }
        }
        // The election may need the vote of this instance, so it keeps running until another instance leads.
        const deadline = clock.monotonicMilliseconds() + LEADERSHIP_TRANSFER_TIMEOUT_MS;
        const hasNoSuccessor = () => [undefined, self].includes(replica.status().leader);
        while (candidates.length > 0 && hasNoSuccessor() && clock.monotonicMilliseconds() < deadline) {
            await clock.sleep(20);
        }
    };

    return {
        open,
        handle: (from, payload) => {
            const message = parseConsensusRequest(payload);
            const group = groups.get(message.groupId);
            return group === undefined
                ? Promise.reject(new Error(`This instance has no replica of the group ${message.groupId}.`))
                : group.replica.handle(from, message);
        },
        replicas: () => new Map([...groups].map(([groupId, { replica }]) => [groupId, replica])),
        transferLeadership: async () => {
            await Promise.all([...groups.values()].map(transferGroupLeadership));
        },
        close: async () => {
            await Promise.all([...groups.values()].map(async ({ replica, storage }) => {
                await replica.stop();
                await storage.close();
            }));
        },
    };
}
