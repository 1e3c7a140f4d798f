/**
 * Calls the leader of a run-once group.
 */
import type { RunOnceGroupSettings } from "../settings/settings.js";

type CallInstance = (
    instance: string,
    kind: string,
    payload: unknown,
    deadlineMilliseconds: number,
) => Promise<unknown>;

/**
 * Creates the function with which the run-once client calls the leader of a group.
 *
 * @param groups Run-once groups of the settings.
 * @param call Calls a control instance by name.
 * @returns A function that calls the voter assumed to be the leader, at first the preferred leader or the first voter.
 *     When a call fails, its promise rejects with the same error, and the next call goes to the next voter.
 */
export function createGroupLeaderCall(groups: readonly RunOnceGroupSettings[], call: CallInstance): (
    group: string,
    kind: string,
    payload: unknown,
    deadlineMilliseconds: number,
) => Promise<unknown> {
    const assumedLeaders = new Map(groups.map(group => [group.name, group.preferredLeader ?? group.voters[0]!]));
    const votersByGroup = new Map(groups.map(group => [group.name, group.voters]));

    const tryNextVoter = (group: string, failed: string) => {
        // A concurrent call may have selected the next voter already.
        if (assumedLeaders.get(group) === failed) {
            const voters = votersByGroup.get(group) ?? [];
            assumedLeaders.set(group, voters[(voters.indexOf(failed) + 1) % voters.length]!);
        }
    };

    return async (group, kind, payload, deadlineMilliseconds) => {
        const instance = assumedLeaders.get(group);
        if (instance === undefined) {
            throw new Error(`There is no run-once group ${group} in the settings.`);
        }
        try {
            return await call(instance, kind, { group, ...(payload as object) }, deadlineMilliseconds);
        }
        catch (error) {
            tryNextVoter(group, instance);
            throw error;
        }
    };
}
