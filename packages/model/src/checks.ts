/**
 * The checks to run: each specification without a defect within bounds, and with each defect that must be found.
 */
import type { Specification } from "./explorer/explore.js";
import { type LeaseBounds, LeaseDefect, specifyLease } from "./lease/lease.js";
import { ReplacementDefect, specifyReplacement } from "./replacement/replacement.js";
import { type ReplicationBounds, ReplicationDefect } from "./replication/replication-state.js";
import { specifyReplication } from "./replication/replication.js";
import { RunOnceDefect, specifyRunOnce } from "./run-once/run-once.js";

/** A specification to explore and the expected result. */
export type Check = {
    readonly name: string;
    readonly specification: Specification<unknown>;
    /** True when a violation must be found, false when every reachable state must be visited without finding one. */
    readonly hasDefect: boolean;
    /** True when the check takes too long for CI. */
    readonly isLong: boolean;
};

/** Number of states at which an exploration stops without being exhaustive. */
export const MAXIMUM_STATES = 1_500_000;

const ELECTION: ReplicationBounds = {
    replicas: 3,
    initialVoters: 0b111,
    terms: 2,
    proposals: 1,
    crashes: 1,
    wipes: 0,
    membershipChanges: 0,
};
const THREE_TERMS: ReplicationBounds = { ...ELECTION, terms: 3, crashes: 0 };
const DISK_LOSS: ReplicationBounds = { ...ELECTION, crashes: 0, wipes: 1 };
const MEMBERSHIP: ReplicationBounds = {
    ...ELECTION,
    replicas: 4,
    proposals: 0,
    crashes: 0,
    membershipChanges: 1,
};
const SMALL_MEMBERSHIP: ReplicationBounds = { ...MEMBERSHIP, replicas: 3, initialVoters: 0b011, membershipChanges: 2 };
/** Replicas 0 and 1 lead alternately, which is necessary for an entry of an earlier term to be replaced. */
const ALTERNATING: ReplicationBounds = {
    ...ELECTION,
    terms: 4,
    proposals: 0,
    crashes: 0,
    candidateOfTerm: [-1, 0, 1, 0, 1],
};
const LEASE: LeaseBounds = {
    replicas: 3,
    horizon: 6,
    maximumSkew: 1,
    leaseLength: 2,
    electionTimeout: 4,
    restarts: 1,
};
const RUN_ONCE_ATTEMPTS = 3;
const REPLACEMENT_PROPOSALS = 1;

const createCheck = <State>(
    name: string,
    specification: Specification<State>,
    hasDefect: boolean,
    isLong = false,
): Check => ({ name, specification: specification as Specification<unknown>, hasDefect, isLong });

const createReplicationCheck = (name: string, bounds: ReplicationBounds, defect: ReplicationDefect, isLong = false) =>
    createCheck(name, specifyReplication(bounds, defect), defect !== ReplicationDefect.None, isLong);

/** All checks. Of each specification, the shortest explorations come first. */
export const CHECKS: readonly Check[] = [
    createReplicationCheck("election and commit with a crash", ELECTION, ReplicationDefect.None),
    createReplicationCheck("a vote that is not synced", ELECTION, ReplicationDefect.VoteNotSynced),
    createReplicationCheck("an append that is not synced", ELECTION, ReplicationDefect.AppendNotSynced),
    createReplicationCheck("four terms with alternating leaders", ALTERNATING, ReplicationDefect.None),
    createReplicationCheck("commit of an earlier term", ALTERNATING, ReplicationDefect.CommitOfEarlierTerm),
    createReplicationCheck("a lost disk", DISK_LOSS, ReplicationDefect.None),
    createReplicationCheck("a wiped voter that votes", DISK_LOSS, ReplicationDefect.WipedVoterVotes),
    createReplicationCheck("membership changes among three", SMALL_MEMBERSHIP, ReplicationDefect.None),
    createReplicationCheck(
        "two changes at once",
        { ...MEMBERSHIP, membershipChanges: 2 },
        ReplicationDefect.TwoChangesAtOnce,
    ),
    createReplicationCheck("membership change among four", MEMBERSHIP, ReplicationDefect.None, true),
    createReplicationCheck("election and commit over three terms", THREE_TERMS, ReplicationDefect.None, true),
    ...Object.values(LeaseDefect).map(defect =>
        createCheck(`leader lease: ${defect}`, specifyLease(LEASE, defect), defect !== LeaseDefect.None)
    ),
    createCheck(
        "leader lease over a longer time",
        specifyLease({ ...LEASE, horizon: 7 }, LeaseDefect.None),
        false,
        true,
    ),
    ...Object.values(ReplacementDefect).map(defect =>
        createCheck(
            `replacement of a voter: ${defect}`,
            specifyReplacement(defect, REPLACEMENT_PROPOSALS),
            defect !== ReplacementDefect.None,
        )
    ),
    ...Object.values(RunOnceDefect).map(defect =>
        createCheck(`run-once: ${defect}`, specifyRunOnce(RUN_ONCE_ATTEMPTS, defect), defect !== RunOnceDefect.None)
    ),
];
