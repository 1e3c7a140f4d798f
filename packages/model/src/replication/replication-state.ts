/**
 * State of the replication specification, its bounds, and the defects that exploring it must find.
 */

/** Deliberate implementation defects. Exploring the specification with one of them must find a violation. */
export enum ReplicationDefect {
    None = "none",
    /** A vote is granted before it is durable. */
    VoteNotSynced = "voteNotSynced",
    /** An append is acknowledged before it is durable. */
    AppendNotSynced = "appendNotSynced",
    /** A second membership change starts before the first has committed. */
    TwoChangesAtOnce = "twoChangesAtOnce",
    /** A replica that has lost its disk still counts as the voter that it was. */
    WipedVoterVotes = "wipedVoterVotes",
    /** The leader commits an entry of an earlier term by counting replicas. */
    CommitOfEarlierTerm = "commitOfEarlierTerm",
}

/** Size of the state space; the maximum numbers are for all replicas together. */
export type ReplicationBounds = {
    readonly replicas: number;
    /** Bit mask of the voters at the start. */
    readonly initialVoters: number;
    /** Highest term that a candidate may campaign in. */
    readonly terms: number;
    /** Maximum number of proposals. */
    readonly proposals: number;
    /** Maximum number of crashes, after which a replica restarts with its durable state. */
    readonly crashes: number;
    /** Maximum number of lost disks, after which a replica restarts with an empty one. */
    readonly wipes: number;
    readonly membershipChanges: number;
    /**
     * The only replica that may campaign in each term; index 0 is not used. Narrows the search when a counterexample
     * is long.
     */
    readonly candidateOfTerm?: readonly number[];
};

/** Log entry. `voters` is the bit mask of the new voters in a membership change and 0 in any other entry. */
export type Entry = readonly [term: number, voters: number];

/** State that a replica writes to disk. `vote` is the replica voted for in the term, or -1. */
export type PersistentState = { readonly term: number; readonly vote: number; readonly log: readonly Entry[] };

/** Reply to a vote request (`grant`) or to an append (`match`, with the last index up to which the logs are equal). */
export type Reply =
    | { readonly kind: "grant"; readonly term: number; readonly candidate: number }
    | { readonly kind: "match"; readonly term: number; readonly index: number };

export enum Role {
    Follower,
    Candidate,
    Leader,
}

/** A replica, with its persistent state as last written, synced or not. */
export type Replica = PersistentState & {
    readonly role: Role;
    /** State as last synced, which a crash reverts to. */
    readonly durable: PersistentState;
    /** True once the replica has lost its disk. */
    readonly isWiped: boolean;
};

/**
 * A candidacy in a term: the end of the candidate's log, and the bit mask of the replicas that granted their votes. A
 * candidate that crashes does not campaign again in that term.
 */
export type Candidacy = { readonly lastTerm: number; readonly lastIndex: number; readonly grants: number };

/** Messages sent in one term, and the leader's view of it. */
export type TermState = {
    /** Candidacy of each replica. */
    readonly candidacies: readonly (Candidacy | undefined)[];
    /** Elected leaders; more than one is a violation. */
    readonly leaders: readonly number[];
    /** Log of the leader, from which all its appends are taken. */
    readonly log: readonly Entry[];
    /** Index up to which each replica has acknowledged the log. */
    readonly matchIndexes: readonly number[];
    readonly commitIndex: number;
};

export type ReplicationState = {
    readonly replicas: readonly Replica[];
    /** State of each term, by its number. Term 0 has no leader. */
    readonly terms: readonly TermState[];
    /** All entries that were ever committed, by index. */
    readonly committed: readonly Entry[];
    /** The numbers of proposals, crashes, wipes and membership changes are those that are still possible. */
    readonly proposals: number;
    readonly crashes: number;
    readonly wipes: number;
    readonly membershipChanges: number;
    /** True once leaders have committed different entries at the same index. */
    readonly hasConflictingCommit: boolean;
};
