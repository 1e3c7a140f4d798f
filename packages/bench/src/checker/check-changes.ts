/**
 * Checks of what operators were acknowledged against what was read afterwards and what entries acted on.
 */
import { isDeepStrictEqual } from "node:util";
import { type ChangeRecord, type EntryRecord, type History, type Violation, ViolationKind } from "./history.js";

type Acknowledged = ChangeRecord & { readonly revision: number };

const isAcknowledged = (change: ChangeRecord): change is Acknowledged =>
    change.status !== undefined && change.status < 300 && change.revision !== undefined;

/** Finds request ids that were applied twice and changes that both won from the same revision. */
export function checkAcknowledgedChanges({ changes }: History): readonly Violation[] {
    const acknowledged = changes.filter(isAcknowledged);
    const firstById = new Map<string, Acknowledged>();
    const firstByBase = new Map<string, Acknowledged>();
    return acknowledged.flatMap((change): readonly Violation[] => {
        const sameId = firstById.get(change.requestId) ?? change;
        firstById.set(change.requestId, sameId);
        const base = `${change.object} from revision ${change.expectedRevision}`;
        const sameBase = firstByBase.get(base) ?? change;
        firstByBase.set(base, sameBase);
        if (sameId.revision !== change.revision) {
            const message = `${change.requestId} got the revisions ${sameId.revision} and ${change.revision}.`;
            return [{ kind: ViolationKind.ChangeAppliedTwice, message }];
        }
        if (sameBase.requestId !== change.requestId && !isDeepStrictEqual(sameBase.spec, change.spec)) {
            const message = `${sameBase.requestId} and ${change.requestId} both changed ${base}.`;
            return [{ kind: ViolationKind.ConflictingChanges, message }];
        }
        return [];
    });
}

/**
 * Finds fresh reads that miss a change acknowledged before they were asked, or show another spec at its revision, and
 * objects that were read after the last change of all as older than it.
 */
export function checkReads({ changes, reads }: History): readonly Violation[] {
    const acknowledged = changes.filter(isAcknowledged);
    const lastAcknowledgedAt = Math.max(-Infinity, ...acknowledged.map(change => change.respondedAt));
    const wasRead = new Set(reads.filter(read => read.sentAt >= lastAcknowledgedAt).map(read => read.object));
    const unread = [...new Set(acknowledged.map(change => change.object))]
        .filter(object => !wasRead.has(object))
        .map(object => ({
            kind: ViolationKind.ChangeMissing,
            message: `${object} was not read after the last acknowledged change.`,
        }));
    const wrong = reads.flatMap((read): readonly Violation[] => {
        const changesOfObject = acknowledged.filter(change => change.object === read.object);
        const latest = changesOfObject
            .filter(change => change.respondedAt <= read.sentAt)
            .reduce<Acknowledged | undefined>(
                (found, change) => found === undefined || change.revision > found.revision ? change : found,
                undefined,
            );
        const isFinal = read.sentAt >= lastAcknowledgedAt;
        const where = `${read.object} read at ${read.instance}`;
        // A delete leaves no revision to read.
        const isGone = read.revision === 0 &&
            changes.some(change =>
                change.object === read.object && change.spec === undefined && change.sentAt <= read.respondedAt
            );
        if (latest !== undefined && read.revision < latest.revision && !isGone) {
            return [{
                kind: isFinal ? ViolationKind.ChangeMissing : ViolationKind.StaleRead,
                message: `${where} has revision ${read.revision}; ${latest.revision} was acknowledged before.`,
            }];
        }
        const same = changesOfObject.find(change => change.revision === read.revision);
        if (same !== undefined && !isDeepStrictEqual(same.spec, read.spec)) {
            return [{
                kind: ViolationKind.ChangeReverted,
                message: `${where} has another spec at revision ${read.revision} than was acknowledged.`,
            }];
        }
        return [];
    });
    return [...unread, ...wrong];
}

/** Finds entries that acted on an older revision after the revision was told to be in force, or that went back. */
export function checkInForce({ reads, entries }: History): readonly Violation[] {
    const inForce = reads.filter(read => read.isInForce);
    const acting = entries.filter(entry => entry.holdsViewLease);
    const tooEarly = inForce.flatMap(read => {
        const late = acting.find(entry => entry.sentAt >= read.respondedAt && entry.revision < read.revision);
        return late === undefined ? [] : [{
            kind: ViolationKind.InForceTooEarly,
            message: `${read.object} was told in force at revision ${read.revision}, after which ${late.entry} `
                + `acted on ${late.revision}.`,
        }];
    });
    const highest = new Map<string, EntryRecord>();
    const wentBack = acting.flatMap(entry => {
        const before = highest.get(entry.entry);
        if (before !== undefined && entry.revision < before.revision) {
            const message = `${entry.entry} went back from revision ${before.revision} to ${entry.revision}.`;
            return [{ kind: ViolationKind.EntryRevisionDecreased, message }];
        }
        highest.set(entry.entry, entry);
        return [];
    });
    return [...tooEarly, ...wentBack];
}
