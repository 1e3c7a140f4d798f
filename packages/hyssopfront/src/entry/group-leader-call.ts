/**
 * Finds the leader of a run-once group and calls it.
 */
import type { RunOnceGroupSettings } from "../settings/settings.js";

type Call = (instance: string, kind: string, payload: unknown, deadlineMilliseconds: number) => Promise<unknown>;

/**
 * Creates the function with which a run-once client calls the leader of a group.
 *
 * @param call Calls a control instance by name.
 * @returns A function that asks the voter that led last and, when it refuses or fails, moves to the next voter for the
 *     next call. It rejects with the failure; the caller decides whether to repeat.
 */
export function createGroupLeaderCall(groups: readonly RunOnceGroupSettings[], call: Call): (
    group: string,
    kind: string,
    payload: unknown,
    deadlineMilliseconds: number,
) => Promise<unknown> {
    const leaders = new Map(groups.map(group => [group.name, group.preferredLeader ?? group.voters[0]!]));
    const votersOf = new Map(groups.map(group => [group.name, group.voters]));

    const moveOn = (group: string, failed: string) => {
        // A call that ran at the same time may have moved on already.
        if (leaders.get(group) === failed) {
            const voters = votersOf.get(group) ?? [];
            leaders.set(group, voters[(voters.indexOf(failed) + 1) % voters.length]!);
        }
    };

    return async (group, kind, payload, deadlineMilliseconds) => {
        const instance = leaders.get(group);
        if (instance === undefined) {
            throw new Error(`There is no run-once group ${group} in the settings.`);
        }
        try {
            return await call(instance, kind, { group, ...(payload as object) }, deadlineMilliseconds);
        }
        catch (error) {
            moveOn(group, instance);
            throw error;
        }
    };
}
