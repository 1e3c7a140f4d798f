/**
 * Who belongs to the group. A member is a name together with the id of its store: a replica whose disk was wiped is
 * another member than the one that voted before.
 */
import { z } from "zod";
import { MembershipError } from "./errors.js";

export enum MembershipChange {
    /** Adds a member without a vote, or replaces a member of this name that has another store. */
    AddLearner = "addLearner",
    /** Gives a learner that has caught up a vote. */
    Promote = "promote",
    Remove = "remove",
}

const memberSchema = z.object({
    name: z.string(),
    /** Undefined only until the first leader of a new group has learned it. */
    storeId: z.string().optional(),
    isVoter: z.boolean(),
    /** A learner that was a voter before its disk was wiped; the leader promotes it once it has caught up. */
    isReturning: z.boolean().optional(),
});

export type Member = z.infer<typeof memberSchema>;

/** A membership and the log index from which on it is in force; index 0 is the bootstrap membership. */
export type MembershipRecord = { readonly index: number; readonly members: readonly Member[] };

export type MembershipRequest = {
    readonly kind: MembershipChange;
    readonly name: string;
    /** Store of an added learner; asked from the learner when it is left out. */
    readonly storeId?: string;
    /** For an added learner: promote it as soon as it has caught up. */
    readonly isReturning?: boolean;
};

export function encodeMembers(members: readonly Member[]): Uint8Array {
    return Buffer.from(JSON.stringify(members));
}

export function decodeMembers(bytes: Uint8Array): readonly Member[] {
    return z.array(memberSchema).parse(JSON.parse(Buffer.from(bytes).toString()));
}

export function votersOf(members: readonly Member[]): readonly Member[] {
    return members.filter(member => member.isVoter);
}

export function isVoter(members: readonly Member[], name: string, storeId: string): boolean {
    return members.some(member => member.isVoter && member.name === name && (member.storeId ?? storeId) === storeId);
}

/**
 * Votes needed to be elected. While the store ids are not known, all voters must agree: a voter whose disk was wiped
 * cannot be told from a new one then, so no majority of them would be safe to count.
 */
export function votesNeeded(members: readonly Member[]): number {
    const voters = votersOf(members);
    return voters.some(voter => voter.storeId === undefined) ? voters.length : Math.floor(voters.length / 2) + 1;
}

/** Largest value that a majority of the voters has reached. */
export function majorityValue(members: readonly Member[], valueOf: (voter: Member) => number): number {
    const values = votersOf(members).map(valueOf).sort((a, b) => b - a);
    return values[Math.floor(values.length / 2)] ?? -Infinity;
}

/**
 * Applies one change.
 *
 * @throws MembershipError when the change does not fit the members.
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
