/**
 * Specification of the leader lease under clock skew.
 *
 * Each replica has its own clock. Clocks advance in any order and differ by at most `maximumSkew`, so the duration of
 * one interval differs between two clocks by up to twice that. A suspended process is a replica that takes no step while
 * its clock advances. A leader sends heartbeats all the time; each may arrive at any later time or never.
 */
import type { Specification, Step } from "../explorer/explore.js";

/** Deliberate implementation defects. Exploring the specification with one of them must find a violation. */
export enum LeaseDefect {
    None = "none",
    /** A voter votes for a new leader although it had contact with one within the minimum election timeout. */
    NoVoteFencing = "noVoteFencing",
    /** A voter votes immediately after a restart, although it may have had contact with a leader just before. */
    RestartForgetsLeader = "restartForgetsLeader",
    /** The lease counts from the arrival of an acknowledgement instead of from the sending of its heartbeat. */
    LeaseFromAcknowledgement = "leaseFromAcknowledgement",
    /** The lease is as long as the minimum election timeout, without a margin for clock skew. */
    NoClockSkewMargin = "noRoomForSkew",
}

/** Size of the state space. Times are in ticks of a clock. */
export type LeaseBounds = {
    /** Number of replicas, all of which are voters. */
    readonly replicas: number;
    /** Time at which each clock stops. */
    readonly horizon: number;
    readonly maximumSkew: number;
    readonly leaseLength: number;
    /** Minimum election timeout. */
    readonly electionTimeout: number;
    /** Maximum number of restarts of all replicas together. */
    readonly restarts: number;
};

type Leader = {
    readonly replica: number;
    /** Clock of the leader when it was elected. */
    readonly since: number;
    /** For each replica, the leader's time from which its latest acknowledgement counts; -1 before the first. */
    readonly acknowledged: readonly number[];
    /** True once the leader has restarted, which ends its leadership. */
    readonly hasResigned: boolean;
};

export type LeaseState = {
    readonly clocks: readonly number[];
    /** Clock of each replica at its last contact with a leader; a restart counts as contact. */
    readonly lastLeaderContacts: readonly number[];
    /** Term of each replica: 0 or 1. */
    readonly terms: readonly number[];
    /** Leader of each term. Replica 0 leads term 0 from the start. */
    readonly leaders: readonly (Leader | undefined)[];
    /** Candidate of term 1, and the bit mask of the replicas that have voted for it. */
    readonly candidacy: readonly [candidate: number, voters: number] | undefined;
    /** Restarts that are still possible. */
    readonly restarts: number;
};

/** Last contact of a replica that has had none; earlier than any election timeout. */
const NEVER = -1_000;
const SECOND_TERM = 1;

const replaceAt = <T>(values: readonly T[], index: number, value: T): T[] =>
    values.map((old, position) => position === index ? value : old);

/**
 * Creates the specification.
 *
 * @param defect Defect to include; `None` for the protocol as implemented. Defects verify the check itself: exploring
 * a specification with one must find a violation.
 */
export function specifyLease(bounds: LeaseBounds, defect: LeaseDefect): Specification<LeaseState> {
    const replicas = Array.from({ length: bounds.replicas }, (_, index) => index);
    const majority = Math.floor(bounds.replicas / 2) + 1;
    const leaseLength = defect === LeaseDefect.NoClockSkewMargin ? bounds.electionTimeout : bounds.leaseLength;
    const noAcknowledgements = replicas.map(() => -1);
    const initial: LeaseState = {
        clocks: replicas.map(() => 0),
        lastLeaderContacts: replicas.map(() => 0),
        terms: replicas.map(() => 0),
        leaders: [{ replica: 0, since: 0, acknowledged: noAcknowledgements, hasResigned: false }, undefined],
        candidacy: undefined,
        restarts: bounds.restarts,
    };

    const holdsLease = (state: LeaseState, leader: Leader): boolean => {
        const now = state.clocks[leader.replica]!;
        const quorumAcknowledgedAt = leader.acknowledged
            .map((time, replica) => replica === leader.replica ? now : time)
            .sort((one, other) => other - one)[majority - 1]!;
        return !leader.hasResigned && quorumAcknowledgedAt >= leader.since && now < quorumAcknowledgedAt + leaseLength;
    };

    const tick = (state: LeaseState, replica: number): Step<LeaseState>[] => {
        const now = state.clocks[replica]! + 1;
        const isWithinBounds = now <= bounds.horizon && now - Math.min(...state.clocks) <= bounds.maximumSkew;
        const clocks = replaceAt(state.clocks, replica, now);
        return isWithinBounds ? [{ label: `clock ${replica} advances to ${now}`, state: { ...state, clocks } }] : [];
    };

    const receiveHeartbeat = (state: LeaseState, replica: number): Step<LeaseState>[] =>
        state.leaders.flatMap((leader, term) => {
            const isIgnored = leader === undefined || leader.replica === replica || leader.hasResigned ||
                term < state.terms[replica]!;
            if (isIgnored) {
                return [];
            }
            const now = state.clocks[leader.replica]!;
            const sendTimes = Array.from({ length: now - leader.since + 1 }, (_, offset) => leader.since + offset);
            return sendTimes.map(sentAt => {
                const latest = Math.max(leader.acknowledged[replica]!, sentAt);
                const acknowledged = replaceAt(leader.acknowledged, replica, latest);
                return {
                    label:
                        `${replica} receives the heartbeat of leader ${leader.replica} in term ${term}, sent at ${sentAt}`,
                    state: {
                        ...state,
                        terms: replaceAt(state.terms, replica, term),
                        lastLeaderContacts: replaceAt(state.lastLeaderContacts, replica, state.clocks[replica]!),
                        leaders: replaceAt(state.leaders, term, { ...leader, acknowledged }),
                    },
                };
            });
        });

    /** Possible only with the defect: an acknowledgement arrives late, and the lease counts from its arrival. */
    const receiveLateAcknowledgement = (state: LeaseState, replica: number): Step<LeaseState>[] =>
        state.leaders.flatMap((leader, term) => {
            const isPossible = defect === LeaseDefect.LeaseFromAcknowledgement && leader !== undefined &&
                leader.replica !== replica && leader.acknowledged[replica]! >= 0;
            if (!isPossible) {
                return [];
            }
            const acknowledged = replaceAt(leader.acknowledged, replica, state.clocks[leader.replica]!);
            const leaders = replaceAt(state.leaders, term, { ...leader, acknowledged });
            return [{ label: `an acknowledgement of ${replica} arrives late`, state: { ...state, leaders } }];
        });

    const mayVote = (state: LeaseState, replica: number) =>
        defect === LeaseDefect.NoVoteFencing ||
        state.clocks[replica]! - state.lastLeaderContacts[replica]! >= bounds.electionTimeout;

    const vote = (state: LeaseState, replica: number): Step<LeaseState>[] => {
        const isLeader = state.leaders[0]?.replica === replica;
        if (state.terms[replica] === SECOND_TERM || isLeader || !mayVote(state, replica)) {
            return [];
        }
        const [candidate, voters] = state.candidacy ?? [replica, 0];
        const voterMask = voters | (1 << replica);
        const votes = replicas.filter(voter => (voterMask & (1 << voter)) !== 0).length;
        const isElected = votes >= majority && state.leaders[SECOND_TERM] === undefined;
        const electedLeader: Leader = {
            replica: candidate,
            since: state.clocks[candidate]!,
            acknowledged: noAcknowledgements,
            hasResigned: false,
        };
        return [{
            label: `${replica} votes for ${candidate}`,
            state: {
                ...state,
                terms: replaceAt(state.terms, replica, SECOND_TERM),
                candidacy: [candidate, voterMask],
                leaders: isElected ? replaceAt(state.leaders, SECOND_TERM, electedLeader) : state.leaders,
            },
        }];
    };

    const restart = (state: LeaseState, replica: number): Step<LeaseState>[] => {
        if (state.restarts === 0) {
            return [];
        }
        const contact = defect === LeaseDefect.RestartForgetsLeader ? NEVER : state.clocks[replica]!;
        const resign = (leader: Leader | undefined) =>
            leader?.replica === replica ? { ...leader, hasResigned: true } : leader;
        return [{
            label: `${replica} restarts`,
            state: {
                ...state,
                restarts: state.restarts - 1,
                lastLeaderContacts: replaceAt(state.lastLeaderContacts, replica, contact),
                leaders: state.leaders.map(resign),
            },
        }];
    };

    return {
        name: `lease (${defect})`,
        initial,
        next: state =>
            replicas.flatMap(replica =>
                [tick, receiveHeartbeat, receiveLateAcknowledgement, vote, restart].flatMap(action =>
                    action(state, replica)
                )
            ),
        findViolation: state =>
            state.leaders.filter(leader => leader !== undefined && holdsLease(state, leader)).length > 1
                ? "two leaders hold a lease"
                : undefined,
        encode: state => JSON.stringify(state),
    };
}
