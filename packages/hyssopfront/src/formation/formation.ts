/**
 * Forms one consensus group of control instances from a few seed addresses, and maintains its membership as instances
 * join and leave.
 */
import {
    type Clock,
    type Member,
    MembershipChange,
    type MembershipRequest,
    type Replica,
    ReplicaRole,
    type ReplicaStatus,
} from "@hyssopfront/coordination";
import type { MemberPeers } from "./member-peers.js";

/** Interval between two rounds of joining and membership repair, in milliseconds. */
const ROUND_INTERVAL_MS = 250;
/** Time without a leader after which an instance asks to join, as it may have been removed, in milliseconds. */
const LEADERLESS_TIMEOUT_MS = 1_500;
/** Time after which a silent member may be removed, in milliseconds. Longer than the restart of a process. */
const MEMBER_TIMEOUT_MS = 3_000;
/**
 * Time after which a silent voter is replaced by a learner that has caught up, in milliseconds. The successor of a lost
 * instance must count in its place 4 s after its start, of which its start and an election take up to 2.5 s. A voter that
 * only paused becomes a learner, so that no voter is missing either way.
 */
const REPLACED_VOTER_TIMEOUT_MS = 1_000;
/**
 * Time after which requests to join or leave expire, in milliseconds. A joining instance repeats its request every
 * round, and one that has left is silent by then.
 */
const REQUEST_LIFETIME_MS = 2_000;
/** Deadline of a request to join or leave, in milliseconds. */
const REQUEST_DEADLINE_MS = 500;

/**
 * Time for which a new leader expects further instances to ask to join, in milliseconds. The instances start together,
 * but on a busy machine one takes seconds longer than another.
 */
const JOINING_GRACE_MS = 1_500;
/**
 * Longest time for which changes wait until the group has its voters, in milliseconds. Callers arrive 10 s after the
 * first start, and an instance whose disk hangs must not hold up the others until then.
 */
const MAXIMUM_GROWTH_MS = 5_000;

/** Kind of the peer request with which an instance asks to join the group. */
export const JOIN_REQUEST_KIND = "formation.join";
/** Kind of the peer request with which an instance that stops asks to be replaced. */
export const LEAVE_REQUEST_KIND = "formation.leave";

/** Membership maintenance on one control instance. */
export type Formation = {
    /** Handles a join request of the named instance. Returns the known leader and members. */
    handleJoin(name: string): { readonly leader: string | undefined; readonly members: readonly string[] };
    /** Handles the notice that the named instance is about to stop. */
    handleLeave(name: string): void;
    /** Handles a status of the replica. Expects each one, as the storage may close at any time. */
    handleStatus(status: ReplicaStatus): void;
    /**
     * Asks the other instances to let a learner that has caught up take the place of this one, which is about to stop,
     * and no longer joins the group. Without such a learner this instance stays a voter until it is back.
     *
     * @returns The names of the instances that have received the request.
     */
    leave(): Promise<readonly string[]>;
    /**
     * Returns true on the leader of a group that is still being formed: more voters are needed, and instances that can
     * become voters are known or expected. A change that is stored meanwhile would be lost with fewer disks than the
     * deployment must tolerate.
     */
    isGrowing(): boolean;
    /** Runs until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
};

/** Dependencies and settings of the formation. */
export type FormationOptions = {
    readonly clock: Clock;
    readonly self: string;
    /** Returns the replica, or `undefined` while the storage of this instance is not open. */
    readonly replica: () => Replica | undefined;
    readonly peers: MemberPeers;
    /** Returns the names of the instances at the seed addresses in the current settings. */
    readonly seeds: () => readonly string[];
    /** Target number of voters, from the number of lost disks that the deployment must tolerate. */
    readonly voterCount: number;
    /** Called after each attempted membership change, with its error if it failed. */
    readonly onChange: (change: MembershipRequest, error: Error | undefined) => void;
};

/** Returns the number of voters of which a majority survives the given number of losses. */
export const requiredVoterCount = (losses: number) => 2 * losses + 1;

/** Creates the formation of one instance. */
export function createFormation(options: FormationOptions): Formation {
    const { clock, self, peers } = options;
    const joinRequests = new Map<string, number>();
    /** Monotonic time of the latest notice of each instance that it is about to stop, in milliseconds. */
    const leaveRequests = new Map<string, number>();
    let isLeaving = false;
    let reportedMembers: readonly string[] = [];
    /** Members when this instance last had a leader. It stays connected to them while its storage is not open. */
    let knownMembers: readonly string[] = [];

    const listMembers = (status: ReplicaStatus | undefined) => status?.members.map(member => member.name) ?? [];
    const listContacts = (status: ReplicaStatus | undefined) =>
        [...new Set([...options.seeds(), ...listMembers(status), ...knownMembers, ...reportedMembers])]
            .filter(name => name !== self);

    const findJoiner = (members: ReplicaStatus["members"]) => {
        const now = clock.monotonicMilliseconds();
        const isKnown = (name: string) => members.some(member => member.name === name);
        return [...joinRequests].find(([name, at]) => !isKnown(name) && now - at < REQUEST_LIFETIME_MS)?.[0];
    };
    const isAboutToStop = ({ name }: Member) =>
        clock.monotonicMilliseconds() - (leaveRequests.get(name) ?? -Infinity) < REQUEST_LIFETIME_MS;
    /** Milliseconds for which another member has not responded to this leader. */
    const silenceOf = (replica: Replica, { name }: Member) => replica.silentForMilliseconds(name) ?? 0;
    const isReplaceable = (replica: Replica, member: Member) =>
        isAboutToStop(member) || silenceOf(replica, member) >= REPLACED_VOTER_TIMEOUT_MS;
    /** Returns the learner that stays, responds and lacks the fewest entries. */
    const findLearner = (replica: Replica) => {
        const { members, matchIndex } = replica.status();
        return members
            .filter(member => !member.isVoter && !isReplaceable(replica, member))
            .sort((a, b) => (matchIndex[b.name] ?? 0) - (matchIndex[a.name] ?? 0))[0];
    };
    /** Returns the voter to replace: one that is about to stop, otherwise the one that has been silent for longest. */
    const findLostVoter = (replica: Replica, voters: readonly Member[]) => {
        const lost = voters.filter(voter => isReplaceable(replica, voter));
        return lost.find(isAboutToStop) ?? lost.sort((a, b) => silenceOf(replica, b) - silenceOf(replica, a))[0];
    };

    /** Returns the next membership change for the leader to make, or `undefined` when none is needed. */
    const findChange = (replica: Replica): MembershipRequest | undefined => {
        const { members } = replica.status();
        const voters = members.filter(member => member.isVoter);
        const surplus = voters.length - options.voterCount;
        const lostVoter = findLostVoter(replica, voters);
        // One voter too many is the successor of the lost one, so that none is missing after the removal.
        const isRemovable = lostVoter !== undefined
            && (surplus === 1 || (surplus > 1 && silenceOf(replica, lostVoter) >= MEMBER_TIMEOUT_MS));
        if (isRemovable) {
            return { kind: MembershipChange.Remove, name: lostVoter.name };
        }
        const joiner = findJoiner(members);
        if (joiner !== undefined) {
            return { kind: MembershipChange.AddLearner, name: joiner };
        }
        const learner = findLearner(replica);
        if (learner !== undefined && (surplus < 0 || (surplus === 0 && lostVoter !== undefined))) {
            return { kind: MembershipChange.Promote, name: learner.name };
        }
        const lostLearner = members.find(member => !member.isVoter && silenceOf(replica, member) >= MEMBER_TIMEOUT_MS);
        return lostLearner === undefined ? undefined : { kind: MembershipChange.Remove, name: lostLearner.name };
    };

    /** Makes the changes that are needed, one after another, until none is left or one fails. */
    const repairMembership = async (replica: Replica): Promise<void> => {
        const change = replica.holdsLeaderLease() ? findChange(replica) : undefined;
        if (change === undefined) {
            return;
        }
        try {
            await replica.changeMembership(change);
        }
        catch (error) {
            // The learner is not caught up, a member is unreachable or leadership is lost. The next round retries.
            options.onChange(change, error as Error);
            return;
        }
        joinRequests.delete(change.name);
        options.onChange(change, undefined);
        await repairMembership(replica);
    };

    const requestToJoin = async (status: ReplicaStatus | undefined) => {
        await Promise.all(
            listContacts(status).map(async name => {
                // A contact that does not reply is called again in the next round. The client counts failed dials.
                const reply = await peers.call(name, JOIN_REQUEST_KIND, {}, REQUEST_DEADLINE_MS).catch(() => undefined);
                const { members } = (reply ?? { members: [] }) as { readonly members: readonly string[] };
                if (members.length > 0) {
                    reportedMembers = members;
                }
            }),
        );
    };

    const runRound = async () => {
        const replica = options.replica();
        const status = replica?.status();
        peers.maintainConnections(listContacts(status).concat([...joinRequests.keys()]));
        if (replica === undefined || status === undefined) {
            return;
        }
        if (isLeaving) {
            return;
        }
        const isMember = listMembers(status).includes(self);
        if (!isMember || replica.leaderlessForMilliseconds() > LEADERLESS_TIMEOUT_MS) {
            await requestToJoin(status);
        }
        else if (status.role === ReplicaRole.Leader) {
            await repairMembership(replica);
        }
    };

    return {
        handleLeave: name => void leaveRequests.set(name, clock.monotonicMilliseconds()),
        handleStatus: status => {
            knownMembers = status.leader === undefined ? knownMembers : listMembers(status);
        },
        leave: async () => {
            isLeaving = true;
            const contacts = listContacts(options.replica()?.status());
            const replies = await Promise.all(
                contacts.map(name =>
                    peers.call(name, LEAVE_REQUEST_KIND, {}, REQUEST_DEADLINE_MS).then(() => name, () => undefined)
                ),
            );
            return replies.filter(name => name !== undefined);
        },
        handleJoin: name => {
            leaveRequests.delete(name);
            joinRequests.set(name, clock.monotonicMilliseconds());
            const status = options.replica()?.status();
            return { leader: status?.leader, members: listMembers(status) };
        },
        isGrowing: () => {
            const replica = options.replica();
            const leadingFor = replica?.leadingForMilliseconds();
            if (replica === undefined || leadingFor === undefined || leadingFor >= MAXIMUM_GROWTH_MS) {
                return false;
            }
            const { members } = replica.status();
            // A voter that lost its disk is replaced while the others still are a majority of the full group.
            const count = members.filter(({ isVoter, isReturning }) => isVoter || isReturning === true).length;
            const isCandidateKnown = findJoiner(members) !== undefined || findLearner(replica) !== undefined;
            return count < options.voterCount && (isCandidateKnown || leadingFor < JOINING_GRACE_MS);
        },
        run: async signal => {
            while (!signal.aborted) {
                await runRound();
                await clock.sleep(ROUND_INTERVAL_MS, signal).catch(() => undefined);
            }
        },
    };
}
