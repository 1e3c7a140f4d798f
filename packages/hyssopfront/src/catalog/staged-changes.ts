/**
 * Parts of changes that are too long for one command of the log. They take effect together, once all are there.
 */
import type { Item } from "./items.js";

/**
 * Maximum number of changes of which parts are kept. Operators have at most eight changes in progress; a change that was
 * given up is dropped when that many others have been submitted since.
 */
const MAXIMUM_STAGED_CHANGES = 8;

/** Part of a change. */
export type ChangePart = {
    /** Identifies the content of the change, so that all who submit it add to the same parts. */
    readonly changeId: string;
    /** From 0 to `partCount` - 1. */
    readonly part: number;
    readonly partCount: number;
    readonly items: readonly Item[];
};

/** Parts of the changes that are not complete. */
export type StagedChanges = {
    /** Keeps a part. Returns the items of the whole change once it is complete, and forgets its parts. */
    add(part: ChangePart): readonly Item[] | undefined;
    /** Returns the numbers of the parts that are kept of a change. */
    findParts(changeId: string): ReadonlySet<number>;
    /** Returns all parts, those of the change that was added to last at the end. */
    list(): readonly ChangePart[];
};

/** Creates the store with parts that `list` has returned. */
export function createStagedChanges(initial: readonly ChangePart[]): StagedChanges {
    const changes = new Map<string, Map<number, ChangePart>>();

    const keep = (added: ChangePart) => {
        const { changeId } = added;
        const parts = changes.get(changeId) ?? new Map<number, ChangePart>();
        parts.set(added.part, added);
        changes.delete(changeId);
        changes.set(changeId, parts);
        [...changes.keys()].slice(0, -MAXIMUM_STAGED_CHANGES).forEach(oldest => changes.delete(oldest));
        return parts;
    };
    initial.forEach(keep);

    return {
        add: added => {
            const parts = keep(added);
            if (parts.size < added.partCount) {
                return undefined;
            }
            changes.delete(added.changeId);
            return [...parts.values()].sort((a, b) => a.part - b.part).flatMap(({ items }) => items);
        },
        findParts: changeId => new Set(changes.get(changeId)?.keys()),
        list: () => [...changes.values()].flatMap(parts => [...parts.values()]),
    };
}
