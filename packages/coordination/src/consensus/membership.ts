/**
 * Membership of the group. A member is identified by its name and the id of its store: a replica whose disk was wiped
 * is not the member that voted before.
 */
import { z } from "zod";
import { MembershipError } from "./errors.js";

/** Kind of a membership change. */
export enum MembershipChange {
    /** Adds a non-voting member, or replaces a member of the same name that has another store. */
    AddLearner = "addLearner",
    /** Makes a learner that has caught up a voter. */
    Promote = "promote",
    /** Removes a voter or learner. */
    Remove = "remove",
}

const memberSchema = z.object({
    name: z.string(),
    /** Undefined only in a new group, until its first leader has learned it. */
    storeId: z.string().optional(),
    isVoter: z.boolean(),
    /** True for a learner that was a voter before its disk was wiped; the leader promotes it once it has caught up. */
    isReturning: z.boolean().optional(),
});

/** A voter or learner of the group; stored in the log and in snapshots. */
export type Member = z.infer<typeof memberSchema>;

/** A membership and the index of its log entry, from which on it is in effect; index 0 is the bootstrap membership. */
export type MembershipRecord = { readonly index: number; readonly members: readonly Member[] };

/** A requested change of one member. */
export type MembershipRequest = {
    readonly kind: MembershipChange;
    readonly name: string;
    /** Store id of an added learner; requested from the learner when omitted. */
    readonly storeId?: string;
    /** Whether the leader promotes an added learner as soon as it has caught up. */
    readonly isReturning?: boolean;
};

/** Encodes members as JSON for the log and for snapshots. */
export function encodeMembers(members: readonly Member[]): Uint8Array {
    return Buffer.from(JSON.stringify(members));
}

/**
 * Decodes members from JSON.
 *
 * @throws SyntaxError or ZodError when the bytes are not encoded members.
 */
export function decodeMembers(bytes: Uint8Array): readonly Member[] {
    return z.array(memberSchema).parse(JSON.parse(Buffer.from(bytes).toString()));
}

/** Members that vote. */
export function votersOf(members: readonly Member[]): readonly Member[] {
    return members.filter(member => member.isVoter);
}

/** Whether the replica with this name and store is a voter. A member without a known store id matches by name. */
export function isVoter(members: readonly Member[], name: string, storeId: string): boolean {
    return members.some(member => member.isVoter && member.name === name && (member.storeId ?? storeId) === storeId);
}

/**
 * Number of votes that win an election. While the store ids are unknown, all voters must grant their vote: a voter
 * whose disk was wiped cannot be distinguished from a new one then, so a majority would not be safe.
 */
export function votesNeeded(members: readonly Member[]): number {
    const voters = votersOf(members);
    return voters.some(voter => voter.storeId === undefined) ? voters.length : Math.floor(voters.length / 2) + 1;
}

/** Largest value that a majority of the voters has reached; -Infinity without voters. */
export function majorityValue(members: readonly Member[], valueOf: (voter: Member) => number): number {
    const values = votersOf(members).map(valueOf).sort((a, b) => b - a);
    return values[Math.floor(values.length / 2)] ?? -Infinity;
}

/**
 * Returns the members after one membership change.
 *
 * @param storeId Store id of an added learner; ignored for other changes.
 * @throws MembershipError when the change does not apply to the current members.
 */
export function applyMembershipChange(
    members: readonly Member[],
    change: MembershipRequest,
    storeId: string,
): readonly Member[] {
    const current = members.find(member => member.name === change.name);
    const others = members.filter(member => member.name !== change.name);
    if (change.kind === MembershipChange.AddLearner) {
        if (current !== undefined && current.storeId === storeId) {
            throw new MembershipError("change", change.name, `${change.name} is already a member with this store.`);
        }
        if (votersOf(others).length === 0) {
            throw new MembershipError("change", change.name, "The last voter cannot be replaced.");
        }
        return [...others, { name: change.name, storeId, isVoter: false, isReturning: change.isReturning }];
    }
    if (current === undefined) {
        throw new MembershipError("change", change.name, `${change.name} is not a member.`);
    }
    if (change.kind === MembershipChange.Remove) {
        if (votersOf(others).length === 0) {
            throw new MembershipError("change", change.name, "The last voter cannot be removed.");
        }
        return others;
    }
    if (current.isVoter) {
        throw new MembershipError("change", change.name, `${change.name} is already a voter.`);
    }
    return [...others, { name: current.name, storeId: current.storeId, isVoter: true }];
}
