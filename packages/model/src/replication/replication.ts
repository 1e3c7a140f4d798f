/**
 * Specification of Raft leader election, log replication, commit and membership changes.
 *
 * Messages are never removed, and a receiver may process any of them at any time or never. This covers message loss,
 * duplication, reordering and network partitions. The log of the leader of a term is stored once, since all appends that
 * it sends are parts of it. A write is volatile until it is synced, and a crash reverts to the synced state. Replies are
 * sent only after their write is synced.
 *
 * Three reductions keep the state space small without hiding any behavior:
 * - A follower or candidate sends nothing before its sync, so its write, sync and reply are one step. Only a leader,
 *   which sends entries before its own sync, has a separate step for the sync.
 * - An entry counts as committed as soon as a majority has synced and acknowledged it, whether or not the leader has
 *   received the acknowledgements. This is the earliest possible time and therefore the strictest check.
 * - States that differ only in a renumbering of equivalent replicas are one state.
 */
import type { Specification, Step } from "../explorer/explore.js";
import { encodeReplication, listSymmetries } from "./encode-replication.js";
import {
    type Entry,
    type PersistentState,
    type Replica,
    type ReplicationBounds,
    ReplicationDefect,
    type ReplicationState,
    type Reply,
    Role,
    type TermState,
} from "./replication-state.js";

const replaceAt = <T>(values: readonly T[], index: number, value: T): T[] =>
    values.map((old, position) => position === index ? value : old);

const countBits = (mask: number) => mask.toString(2).split("").filter(bit => bit === "1").length;

const isMajority = (mask: number, voters: number) => 2 * countBits(mask & voters) > countBits(voters);

const getLastTerm = (log: readonly Entry[]) => log.at(-1)?.[0] ?? 0;

/**
 * Creates the specification.
 *
 * @param defect Defect to include; `None` for the protocol as implemented.
 */
export function specifyReplication(
    bounds: ReplicationBounds,
    defect: ReplicationDefect,
): Specification<ReplicationState> {
    const initialPersistentState: PersistentState = { term: 0, vote: -1, log: [] };
    const replicas = Array.from({ length: bounds.replicas }, (_, index) => index);
    const symmetries = listSymmetries(bounds).filter(permutation =>
        (bounds.candidateOfTerm ?? []).every(candidate => candidate < 0 || permutation[candidate] === candidate)
    );
    const initial: ReplicationState = {
        replicas: replicas.map(() => ({
            ...initialPersistentState,
            role: Role.Follower,
            durable: initialPersistentState,
            isWiped: false,
        })),
        terms: Array.from({ length: bounds.terms + 1 }, () => ({
            candidacies: replicas.map(() => undefined),
            leaders: [],
            log: [],
            matchIndexes: replicas.map(() => 0),
            commitIndex: 0,
        })),
        committed: [],
        proposals: bounds.proposals,
        crashes: bounds.crashes,
        wipes: bounds.wipes,
        membershipChanges: bounds.membershipChanges,
        hasConflictingCommit: false,
    };

    /** Bit mask of the voters according to the latest membership change in a log, whether or not it is committed. */
    const getVoters = (log: readonly Entry[]) => log.findLast(entry => entry[1] !== 0)?.[1] ?? bounds.initialVoters;

    const updateReplica = (state: ReplicationState, index: number, change: Partial<Replica>): ReplicationState => ({
        ...state,
        replicas: replaceAt(state.replicas, index, { ...state.replicas[index]!, ...change }),
    });

    const updateTerm = (state: ReplicationState, term: number, change: Partial<TermState>): ReplicationState => ({
        ...state,
        terms: replaceAt(state.terms, term, { ...state.terms[term]!, ...change }),
    });

    const deliverReply = (state: ReplicationState, from: number, reply: Reply): ReplicationState => {
        const termState = state.terms[reply.term]!;
        if (reply.kind === "grant") {
            const candidacy = termState.candidacies[reply.candidate]!;
            const granted = { ...candidacy, grants: candidacy.grants | (1 << from) };
            return updateTerm(state, reply.term, {
                candidacies: replaceAt(termState.candidacies, reply.candidate, granted),
            });
        }
        const match = Math.max(termState.matchIndexes[from]!, reply.index);
        return advanceCommit(
            updateTerm(state, reply.term, { matchIndexes: replaceAt(termState.matchIndexes, from, match) }),
            reply.term,
        );
    };

    const advanceCommit = (state: ReplicationState, term: number): ReplicationState => {
        const { log, matchIndexes, commitIndex } = state.terms[term]!;
        const voters = getVoters(log);
        const quorumIndex = 1 + log.findLastIndex((entry, position) => {
            const matched = matchIndexes.reduce(
                (mask, match, other) => match > position ? mask | (1 << other) : mask,
                0,
            );
            const isCounted = entry[0] === term || defect === ReplicationDefect.CommitOfEarlierTerm;
            return isCounted && isMajority(matched, voters);
        });
        if (quorumIndex <= commitIndex) {
            return state;
        }
        const prefix = log.slice(0, quorumIndex);
        const hasConflict = prefix.some((entry, at) => {
            const committedEntry = state.committed[at];
            return committedEntry !== undefined && (committedEntry[0] !== entry[0] || committedEntry[1] !== entry[1]);
        });
        return {
            ...updateTerm(state, term, { commitIndex: quorumIndex }),
            committed: prefix.length > state.committed.length ? prefix : state.committed,
            hasConflictingCommit: state.hasConflictingCommit || hasConflict,
        };
    };

    const isSentBeforeSync = (reply: Reply) =>
        reply.kind === "grant"
            ? defect === ReplicationDefect.VoteNotSynced
            : defect === ReplicationDefect.AppendNotSynced;

    /** Writes the state of a replica, syncs it and replies. With a defect, the reply is sent before the sync. */
    const write = (
        state: ReplicationState,
        index: number,
        change: Partial<Replica>,
        reply: Reply,
    ): ReplicationState => {
        const written = updateReplica(state, index, change);
        const { term, vote, log } = written.replicas[index]!;
        const isSynced = state.crashes === 0 || !isSentBeforeSync(reply);
        return deliverReply(
            isSynced ? updateReplica(written, index, { durable: { term, vote, log } }) : written,
            index,
            reply,
        );
    };

    const hasUnsyncedWrites = ({ term, vote, log, durable }: Replica) =>
        term !== durable.term || vote !== durable.vote || log.length !== durable.log.length ||
        log.some((entry, at) => entry[0] !== durable.log[at]![0]);

    const sync = (state: ReplicationState, index: number): Step<ReplicationState>[] => {
        const replica = state.replicas[index]!;
        if (!hasUnsyncedWrites(replica)) {
            return [];
        }
        const durable = { term: replica.term, vote: replica.vote, log: replica.log };
        const synced = updateReplica(state, index, { durable });
        const isLeader = replica.role === Role.Leader;
        const reply: Reply = { kind: "match", term: replica.term, index: replica.log.length };
        return [{ label: `${index} syncs`, state: isLeader ? deliverReply(synced, index, reply) : synced }];
    };

    const crash = (state: ReplicationState, index: number): Step<ReplicationState>[] => {
        if (state.crashes === 0) {
            return [];
        }
        const durable = state.replicas[index]!.durable;
        const crashed = updateReplica(state, index, { ...durable, role: Role.Follower });
        return [{ label: `${index} crashes and restarts`, state: { ...crashed, crashes: state.crashes - 1 } }];
    };

    const wipe = (state: ReplicationState, index: number): Step<ReplicationState>[] => {
        if (state.wipes === 0 || state.replicas[index]!.isWiped) {
            return [];
        }
        const change = {
            ...initialPersistentState,
            durable: initialPersistentState,
            role: Role.Follower,
            isWiped: true,
        };
        return [{
            label: `${index} loses its disk and restarts`,
            state: { ...updateReplica(state, index, change), wipes: state.wipes - 1 },
        }];
    };

    const campaign = (state: ReplicationState, index: number): Step<ReplicationState>[] => {
        const replica = state.replicas[index]!;
        const { candidateOfTerm } = bounds;
        const term = candidateOfTerm === undefined
            ? replica.term + 1
            : candidateOfTerm.findIndex((candidate, at) => at > replica.term && candidate === index);
        const isVoter = (getVoters(replica.log) & (1 << index)) !== 0;
        // A leader may campaign too: check quorum makes it a follower when it has no contact with a majority.
        if (term <= replica.term || term > bounds.terms || !isVoter) {
            return [];
        }
        const termState = state.terms[term]!;
        if (termState.candidacies[index] !== undefined) {
            return [];
        }
        const candidacy = { lastTerm: getLastTerm(replica.log), lastIndex: replica.log.length, grants: 0 };
        const withCandidacy = updateTerm(state, term, {
            candidacies: replaceAt(termState.candidacies, index, candidacy),
        });
        const change = { term, vote: index, role: Role.Candidate };
        const reply: Reply = { kind: "grant", term, candidate: index };
        return [{ label: `${index} campaigns in term ${term}`, state: write(withCandidacy, index, change, reply) }];
    };

    const vote = (state: ReplicationState, index: number): Step<ReplicationState>[] => {
        const voter = state.replicas[index]!;
        return state.terms.flatMap((termState, term) =>
            termState.candidacies.flatMap((candidacy, candidate) => {
                const mayVote = term > voter.term || (term === voter.term && voter.vote === -1);
                if (candidacy === undefined || candidate === index || !mayVote) {
                    return [];
                }
                const lastTerm = getLastTerm(voter.log);
                const isUpToDate = candidacy.lastTerm > lastTerm ||
                    (candidacy.lastTerm === lastTerm && candidacy.lastIndex >= voter.log.length);
                if (!isUpToDate) {
                    return [];
                }
                const change = { term, vote: candidate, role: Role.Follower };
                const reply: Reply = { kind: "grant", term, candidate };
                return [{
                    label: `${index} votes for ${candidate} in term ${term}`,
                    state: write(state, index, change, reply),
                }];
            })
        );
    };

    const becomeLeader = (state: ReplicationState, index: number): Step<ReplicationState>[] => {
        const replica = state.replicas[index]!;
        const termState = state.terms[replica.term]!;
        const grants = termState.candidacies[index]?.grants ?? 0;
        if (replica.role !== Role.Candidate || !isMajority(grants, getVoters(replica.log))) {
            return [];
        }
        const log: Entry[] = [...replica.log, [replica.term, 0]];
        const elected = updateTerm(state, replica.term, {
            leaders: [...termState.leaders, index],
            log: termState.leaders.length === 0 ? log : termState.log,
        });
        return [{
            label: `${index} becomes the leader of term ${replica.term}`,
            state: writeAsLeader(updateReplica(elected, index, { role: Role.Leader }), index, log),
        }];
    };

    const appendAsLeader = (state: ReplicationState, index: number, voters: number): ReplicationState => {
        const replica = state.replicas[index]!;
        const log: Entry[] = [...replica.log, [replica.term, voters]];
        return writeAsLeader(updateTerm(state, replica.term, { log }), index, log);
    };

    /** Writes the log of a leader, which may send the new entries before it syncs them. */
    const writeAsLeader = (state: ReplicationState, index: number, log: readonly Entry[]): ReplicationState => {
        const reply: Reply = { kind: "match", term: state.replicas[index]!.term, index: log.length };
        return state.crashes === 0 || isSentBeforeSync(reply)
            ? write(state, index, { log }, reply)
            : updateReplica(state, index, { log });
    };

    const propose = (state: ReplicationState, index: number): Step<ReplicationState>[] => {
        if (state.proposals === 0 || state.replicas[index]!.role !== Role.Leader) {
            return [];
        }
        const proposed = { ...appendAsLeader(state, index, 0), proposals: state.proposals - 1 };
        return [{ label: `${index} appends a proposal`, state: proposed }];
    };

    const changeMembership = (state: ReplicationState, index: number): Step<ReplicationState>[] => {
        const replica = state.replicas[index]!;
        if (state.membershipChanges === 0 || replica.role !== Role.Leader) {
            return [];
        }
        const commitIndex = state.terms[replica.term]!.commitIndex;
        const lastChange = replica.log.findLastIndex(entry => entry[1] !== 0) + 1;
        const hasOwnTermCommit = commitIndex > 0 && replica.log[commitIndex - 1]![0] === replica.term;
        const mayChange = hasOwnTermCommit &&
            (lastChange <= commitIndex || defect === ReplicationDefect.TwoChangesAtOnce);
        if (!mayChange) {
            return [];
        }
        const voters = getVoters(replica.log);
        return replicas
            .map(other => voters ^ (1 << other))
            .filter(changed => changed !== 0)
            .map(changed => ({
                label: `${index} changes the voters to ${changed.toString(2)}`,
                state: { ...appendAsLeader(state, index, changed), membershipChanges: state.membershipChanges - 1 },
            }));
    };

    const receiveAppend = (state: ReplicationState, index: number): Step<ReplicationState>[] => {
        const replica = state.replicas[index]!;
        return state.terms.flatMap((termState, term) => {
            if (term < replica.term || termState.leaders.length === 0 || termState.leaders.includes(index)) {
                return [];
            }
            // The consistency check of an append succeeds at the end of the common prefix with the leader's log.
            const firstDifference = termState.log.findIndex((entry, at) => replica.log[at]?.[0] !== entry[0]);
            const prefix = firstDifference === -1 ? termState.log.length : firstDifference;
            const length = Math.min(termState.log.length, prefix + 1);
            const log = prefix === length && replica.log.length > length
                ? replica.log
                : termState.log.slice(0, length);
            const change = {
                term,
                vote: term > replica.term ? -1 : replica.vote,
                role: Role.Follower,
                log,
            };
            const reply: Reply = { kind: "match", term, index: length };
            const isAlreadyAcknowledged = term === replica.term && log === replica.log &&
                termState.matchIndexes[index]! >= length;
            return isAlreadyAcknowledged ? [] : [{
                label: `${index} receives the log of term ${term} up to ${length}`,
                state: write(state, index, change, reply),
            }];
        });
    };

    /** A wiped voter has a new store id: it receives the log as a learner but never votes or counts for a majority. */
    const isExcluded = (replica: Replica) => replica.isWiped && defect !== ReplicationDefect.WipedVoterVotes;

    return {
        name: `replication (${defect})`,
        initial,
        next: state =>
            replicas.flatMap(index => {
                if (isExcluded(state.replicas[index]!)) {
                    return [];
                }
                return [campaign, vote, becomeLeader, propose, changeMembership, receiveAppend, sync, crash, wipe]
                    .flatMap(action => action(state, index));
            }),
        findViolation: state => {
            if (state.terms.some(termState => termState.leaders.length > 1)) {
                return "two leaders in one term";
            }
            if (state.hasConflictingCommit) {
                return "a committed entry was replaced";
            }
            return undefined;
        },
        encode: state =>
            symmetries
                .map(permutation => encodeReplication(state, permutation))
                .reduce((smallest, code) => code < smallest ? code : smallest),
    };
}
