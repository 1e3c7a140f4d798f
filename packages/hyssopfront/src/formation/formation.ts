/**
 * Forms one group of control instances from a few seed addresses, and keeps its membership as instances come and go.
 */
import {
    type Clock,
    MembershipChange,
    type MembershipRequest,
    type Replica,
    ReplicaRole,
    type ReplicaStatus,
} from "@hyssopfront/coordination";
import type { MemberPeers } from "./member-peers.js";

/** Pause between two rounds of joining and membership repair, in milliseconds. */
const ROUND_INTERVAL_MS = 250;
/** Time after which an instance without a leader asks whether it still belongs to the group, in milliseconds. */
const LEADERLESS_TIMEOUT_MS = 1_500;
/** A voter that does not answer for this long may be replaced; longer than a restart of a process, in milliseconds. */
const MEMBER_TIMEOUT_MS = 3_000;
/** A joining instance asks every round; one that has not asked for this long is gone, in milliseconds. */
const JOIN_REQUEST_LIFETIME_MS = 2_000;
/** Longest wait for the answer to a join request, in milliseconds. */
const JOIN_DEADLINE_MS = 500;

export const JOIN_REQUEST_KIND = "formation.join";

export type Formation = {
    /** Answers a join request of the named instance; tells it which instances it knows. */
    handleJoin(name: string): { readonly leader: string | undefined; readonly members: readonly string[] };
    /** Runs until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
};

export type FormationOptions = {
    readonly clock: Clock;
    readonly self: string;
    /** Undefined while the storage of this instance cannot be used. */
    readonly replica: () => Replica | undefined;
    readonly peers: MemberPeers;
    /** Names of the instances at the seed addresses, as the settings have them now. */
    readonly seeds: () => readonly string[];
    /** Voters that bear the loss of as many disks as the deployment must bear. */
    readonly voterCount: number;
    readonly onChange: (change: MembershipRequest, error: Error | undefined) => void;
};

/** Voters that must exist for a majority to outlive the loss of `losses` of them. */
export const requiredVoterCount = (losses: number) => 2 * losses + 1;

/** Creates the formation of one instance. */
export function createFormation(options: FormationOptions): Formation {
    const { clock, self, peers } = options;
    const joinRequests = new Map<string, number>();
    const reachedAt = new Map<string, number>();
    let learnedMembers: readonly string[] = [];

    const membersOf = (status: ReplicaStatus | undefined) => status?.members.map(member => member.name) ?? [];
    const listContacts = (status: ReplicaStatus | undefined) =>
        [...new Set([...options.seeds(), ...membersOf(status), ...learnedMembers])].filter(name => name !== self);

    const updateReachable = () => {
        const now = clock.monotonicMilliseconds();
        peers.connected().forEach(name => reachedAt.set(name, now));
    };
    const isUnreachable = (name: string) => {
        const now = clock.monotonicMilliseconds();
        // An instance that was never reached counts from the first look at it.
        const since = reachedAt.get(name) ?? now;
        reachedAt.set(name, since);
        return name !== self && now - since >= MEMBER_TIMEOUT_MS;
    };

    /** The next change that the leader makes, or undefined when the membership is as it should be. */
    const findChange = ({ members }: ReplicaStatus): MembershipRequest | undefined => {
        const now = clock.monotonicMilliseconds();
        const isKnown = (name: string) => members.some(member => member.name === name);
        const voters = members.filter(member => member.isVoter);
        const unreachableVoter = voters.find(({ name }) => isUnreachable(name));
        if (unreachableVoter !== undefined && voters.length > options.voterCount) {
            return { kind: MembershipChange.Remove, name: unreachableVoter.name };
        }
        const joiner = [...joinRequests].find(([name, at]) => !isKnown(name) && now - at < JOIN_REQUEST_LIFETIME_MS);
        if (joiner !== undefined) {
            return { kind: MembershipChange.AddLearner, name: joiner[0] };
        }
        const connected = new Set(peers.connected());
        const learner = members.find(member => !member.isVoter && connected.has(member.name));
        if (learner !== undefined && (voters.length < options.voterCount || unreachableVoter !== undefined)) {
            return { kind: MembershipChange.Promote, name: learner.name };
        }
        const unreachableLearner = members.find(member => !member.isVoter && isUnreachable(member.name));
        return unreachableLearner === undefined
            ? undefined
            : { kind: MembershipChange.Remove, name: unreachableLearner.name };
    };

    const repairMembership = async (replica: Replica, status: ReplicaStatus) => {
        const change = findChange(status);
        if (change === undefined) {
            return;
        }
        try {
            await replica.changeMembership(change);
            joinRequests.delete(change.name);
            options.onChange(change, undefined);
        }
        catch (error) {
            // Not caught up yet, not reachable or no longer the leader: the next round looks again.
            options.onChange(change, error as Error);
        }
    };

    const requestToJoin = async (status: ReplicaStatus | undefined) => {
        await Promise.all(
            listContacts(status).map(async name => {
                // A contact that does not answer is asked again in the next round; peers count failed dials.
                const reply = await peers.call(name, JOIN_REQUEST_KIND, {}, JOIN_DEADLINE_MS).catch(() => undefined);
                const { members } = (reply ?? { members: [] }) as { readonly members: readonly string[] };
                if (members.length > 0) {
                    learnedMembers = members;
                }
            }),
        );
    };

    const runRound = async () => {
        const replica = options.replica();
        const status = replica?.status();
        peers.maintainConnections(listContacts(status).concat([...joinRequests.keys()]));
        updateReachable();
        if (replica === undefined || status === undefined) {
            return;
        }
        const isMember = membersOf(status).includes(self);
        if (!isMember || replica.leaderlessForMilliseconds() > LEADERLESS_TIMEOUT_MS) {
            await requestToJoin(status);
        }
        else if (status.role === ReplicaRole.Leader && replica.holdsLeaderLease()) {
            await repairMembership(replica, status);
        }
    };

    return {
        handleJoin: name => {
            joinRequests.set(name, clock.monotonicMilliseconds());
            const status = options.replica()?.status();
            return { leader: status?.leader, members: membersOf(status) };
        },
        run: async signal => {
            while (!signal.aborted) {
                await runRound();
                await clock.sleep(ROUND_INTERVAL_MS, signal).catch(() => undefined);
            }
        },
    };
}
