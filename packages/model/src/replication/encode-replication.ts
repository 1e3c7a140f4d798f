/**
 * Keys of states for symmetry reduction: states that differ only in a renumbering of equivalent replicas are one state.
 */
import type { Entry, ReplicationBounds, ReplicationState } from "./replication-state.js";

/** A renumbering of the replicas: replica `i` becomes replica `permutation[i]`. */
export type Permutation = readonly number[];

/** Lists the renumberings of the replicas that keep the set of initial voters. */
export function listSymmetries(bounds: ReplicationBounds): Permutation[] {
    const replicas = Array.from({ length: bounds.replicas }, (_, index) => index);
    const extend = (prefix: readonly number[]): Permutation[] =>
        prefix.length === replicas.length
            ? [prefix]
            : replicas.filter(number => !prefix.includes(number)).flatMap(number => extend([...prefix, number]));
    const isVoter = (number: number) => (bounds.initialVoters & (1 << number)) !== 0;
    return extend([]).filter(permutation => permutation.every((target, source) => isVoter(target) === isVoter(source)));
}

/** Encodes a state with its replicas renumbered. */
export function encodeReplication(state: ReplicationState, permutation: Permutation): string {
    const renumber = (number: number) => number < 0 ? number : permutation[number]!;
    const renumberMask = (mask: number) =>
        permutation.reduce(
            (result, target, source) => (mask & (1 << source)) === 0 ? result : result | (1 << target),
            0,
        );
    const reorder = <T>(values: readonly T[]): T[] => {
        const result: T[] = [];
        values.forEach((value, index) => {
            result[permutation[index]!] = value;
        });
        return result;
    };
    const encodeLog = (log: readonly Entry[]) =>
        log.reduce((text, [term, voters]) => `${text}${term}.${renumberMask(voters)},`, "");
    const replicas = reorder(state.replicas).map(({ term, vote, role, log, durable, isWiped }) =>
        `${term};${renumber(vote)};${role};${encodeLog(log)};${isWiped ? 1 : 0};` +
        (log === durable.log && term === durable.term && vote === durable.vote
            ? ""
            : `${durable.term};${renumber(durable.vote)};${encodeLog(durable.log)}`)
    );
    const terms = state.terms.map(termState => {
        const candidacies = reorder(termState.candidacies).map(candidacy =>
            candidacy === undefined
                ? "-"
                : `${candidacy.lastTerm}.${candidacy.lastIndex}.${renumberMask(candidacy.grants)}`
        );
        return `${candidacies};${termState.leaders.map(renumber)};${encodeLog(termState.log)};${
            reorder(termState.matchIndexes)
        }`;
    });
    const counts =
        `${state.proposals};${state.crashes};${state.wipes};${state.membershipChanges};${state.hasConflictingCommit}`;
    return `${replicas.join("|")}|${terms.join("|")}|${encodeLog(state.committed)}|${counts}`;
}
