/**
 * Public types of a replica, and the defaults of its options.
 */
import type { Stream } from "most";
import type { Clock } from "../clock/clock.js";
import { prolongForClockRate } from "../clock/clock.js";
import type { Counters } from "../counters/counters.js";
import { NO_COUNTERS } from "../counters/counters.js";
import type { LogStorage, StoredEntry } from "../storage/log-storage.js";
import type { Member, MembershipRequest } from "./membership.js";
import type { ConsensusReply, ConsensusRequest } from "./messages.js";

/** Role of a replica in its group. */
export enum ReplicaRole {
    Follower = "follower",
    Candidate = "candidate",
    Leader = "leader",
    /** Stopped by `stop` or by a failure. */
    Stopped = "stopped",
}

/** Options of a replica. Durations are in milliseconds, sizes in bytes. */
export type ReplicaOptions = {
    /** Id of the group, which every request contains; requests of other groups are rejected. */
    readonly groupId: string;
    /** Name of this replica, unique in the group. */
    readonly self: string;
    readonly clock: Clock;
    /** Returns uniform random numbers in [0, 1), which randomize the election timeout. */
    readonly random: () => number;
    /** Owned by the caller, which closes it after `stop`. */
    readonly storage: LogStorage;
    /**
     * Voters of a new group; ignored once the log contains a membership. Without store ids, the first election needs
     * the votes of all of them. A replica that joins an existing group passes an empty list.
     */
    readonly initialVoters: readonly { readonly name: string; readonly storeId?: string }[];
    /** Sends a request to a peer and resolves with its reply, or rejects by the deadline at the latest. */
    readonly call: (
        peer: string,
        message: ConsensusRequest,
        deadlineMilliseconds: number,
    ) => Promise<ConsensusReply>;
    /**
     * Applies a committed proposal; must be deterministic. On the leader, `propose` resolves with its result. An error
     * that it throws stops the replica.
     */
    readonly apply: (entry: StoredEntry) => unknown;
    /** Encodes the state after the latest applied entry. */
    readonly takeSnapshot: () => Uint8Array;
    /** Replaces the state with a snapshot that covers the log up to and including the index. */
    readonly restoreSnapshot: (payload: Uint8Array, index: number) => void;
    /** Bounds of the random election timeout. Default: 600 to 1,200 ms. */
    readonly electionTimeoutMilliseconds?: { readonly minimum: number; readonly maximum: number };
    /** Interval between heartbeats of the leader. Default: 100 ms. */
    readonly heartbeatMilliseconds?: number;
    /**
     * Duration of the leader lease, counted from the sending of the requests that a majority acknowledged. Extended for
     * clock drift, it must be less than the minimum election timeout. Default: 500 ms.
     */
    readonly leaderLeaseMilliseconds?: number;
    /** The leader transfers leadership to a voter with a higher preference than its own. Default: 0. */
    readonly leadershipPreference?: number;
    /** Number of applied entries after which the log is compacted into a snapshot. Default: 10,000. */
    readonly snapshotEveryEntries?: number;
    /** Maximum payload of one proposal. Default: 1 MiB. */
    readonly maximumPayloadBytes?: number;
    /** Maximum size of a snapshot that is accepted from a leader. Default: 512 MiB. */
    readonly maximumSnapshotBytes?: number;
    /** Size of the chunks in which a snapshot is sent. Default: 512 KiB. */
    readonly snapshotChunkBytes?: number;
    /** Maximum number of proposals on the leader that are appended, but not applied yet. Default: 4,096. */
    readonly maximumPendingProposals?: number;
    /** Maximum payload of these proposals in total. Default: 32 MiB. */
    readonly maximumPendingBytes?: number;
    /**
     * Whether the leader restores a voter that returns with an empty disk: as a learner first, and as a voter once it
     * has caught up. Default: true. Otherwise the application or an operator has to make these membership changes.
     */
    readonly rejoinsWipedVoters?: boolean;
    /** Default: no counters. */
    readonly counters?: Counters;
    /** Called when role, term, leader, membership or failure may have changed. */
    readonly onStateChange?: (status: ReplicaStatus) => void;
};

/** Status of a replica at one time. */
export type ReplicaStatus = {
    readonly role: ReplicaRole;
    readonly term: number;
    /** Name of the leader, if this replica knows it. */
    readonly leader: string | undefined;
    /** Id of the storage of this replica. */
    readonly storeId: string;
    /** Index of the first entry in the log. */
    readonly firstIndex: number;
    /** Index of the last entry in the log, even if it is uncommitted. */
    readonly lastIndex: number;
    readonly commitIndex: number;
    readonly appliedIndex: number;
    /** Members in effect, even if their membership is uncommitted. */
    readonly members: readonly Member[];
    /** On the leader: index of the last entry that each peer is known to hold durably, by name. */
    readonly matchIndex: Readonly<Record<string, number>>;
    /** On the leader: members whose replies contain another store id than the membership, such as after a wipe. */
    readonly replacedStores: readonly { readonly name: string; readonly storeId: string }[];
    /** Error that made the replica stop. */
    readonly failure: Error | undefined;
};

/** One member of a group that maintains a replicated log. */
export type Replica = {
    /** Starts to restore the stored state and then to take part in the group. A failure is in `status().failure`. */
    start(): void;
    /** Stops the replica and resolves once running operations have ended. */
    stop(): Promise<void>;
    /**
     * Handles a request of a peer.
     *
     * @param from Name of the peer.
     * @param message Request that `parseConsensusRequest` has validated.
     * @throws Error when the replica is not running, belongs to another group or cannot process the request.
     */
    handle(from: string, message: ConsensusRequest): Promise<ConsensusReply>;
    /**
     * Appends a proposal to the log.
     *
     * @returns The index of the entry and the result of `apply`, once the entry is committed and applied.
     * @throws NotLeaderError or ProposalRefusedError when it was definitely not appended.
     * @throws OutcomeUnknownError when it may still be committed.
     */
    propose(payload: Uint8Array): Promise<{ readonly index: number; readonly result: unknown }>;
    /**
     * Resolves with the read index once the local state includes everything that was committed at the time of the call,
     * so that a read of it is linearizable. A follower requests the read index from the leader.
     *
     * @throws NotLeaderError when no leader confirmed the read index in time.
     */
    readBarrier(): Promise<number>;
    /** Whether this replica holds the leader lease now, by the monotonic clock. */
    holdsLeaderLease(): boolean;
    /** Milliseconds since this replica first held the lease in its term; undefined when it does not hold the lease. */
    leadingForMilliseconds(): number | undefined;
    /** Milliseconds for which this replica has known no leader; 0 while it knows one and before it has started. */
    leaderlessForMilliseconds(): number;
    /**
     * On the leader: milliseconds since the latest request that the named member has acknowledged was sent, or since
     * this leader first sent it one; undefined on other replicas and for names that are no other member.
     */
    silentForMilliseconds(name: string): number | undefined;
    /**
     * Makes one membership change and resolves once it is committed and applied.
     *
     * @throws MembershipError when the change is not possible now.
     * @throws NotLeaderError, ProposalRefusedError or OutcomeUnknownError as `propose`.
     */
    changeMembership(change: MembershipRequest): Promise<void>;
    /**
     * Revokes the lease and transfers leadership to the given voter or, when omitted, to the most suitable one.
     *
     * @returns False when this replica is not the leader, or when the voter did not catch up or did not accept.
     */
    transferLeadership(target?: string): Promise<boolean>;
    /** Current status. */
    status(): ReplicaStatus;
    /** Emits the status whenever `onStateChange` is called. */
    readonly stateChanges: Stream<ReplicaStatus>;
};

/** Options with all defaults filled in. */
export type ResolvedOptions = Required<Omit<ReplicaOptions, "onStateChange">>;

/**
 * Fills in the defaults and checks that the leader lease ends before any follower may vote for another leader.
 *
 * @throws RangeError when it could end later.
 */
export function resolveOptions(options: ReplicaOptions): ResolvedOptions {
    const resolved = {
        ...options,
        electionTimeoutMilliseconds: options.electionTimeoutMilliseconds ?? { minimum: 600, maximum: 1_200 },
        heartbeatMilliseconds: options.heartbeatMilliseconds ?? 100,
        leaderLeaseMilliseconds: options.leaderLeaseMilliseconds ?? 500,
        leadershipPreference: options.leadershipPreference ?? 0,
        snapshotEveryEntries: options.snapshotEveryEntries ?? 10_000,
        maximumPayloadBytes: options.maximumPayloadBytes ?? 1024 * 1024,
        maximumSnapshotBytes: options.maximumSnapshotBytes ?? 512 * 1024 * 1024,
        snapshotChunkBytes: options.snapshotChunkBytes ?? 512 * 1024,
        maximumPendingProposals: options.maximumPendingProposals ?? 4_096,
        maximumPendingBytes: options.maximumPendingBytes ?? 32 * 1024 * 1024,
        rejoinsWipedVoters: options.rejoinsWipedVoters ?? true,
        counters: options.counters ?? NO_COUNTERS,
    };
    if (prolongForClockRate(resolved.leaderLeaseMilliseconds) >= resolved.electionTimeoutMilliseconds.minimum) {
        throw new RangeError("The leader lease must be shorter than the minimum election timeout.");
    }
    return resolved;
}
