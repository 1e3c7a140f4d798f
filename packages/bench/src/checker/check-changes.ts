/**
 * Checks the acknowledged changes of operators against later reads and against the revisions that entries used.
 */
import { isDeepStrictEqual } from "node:util";
import { type ChangeRecord, type EntryRecord, type History, type Violation, ViolationKind } from "./history.js";

type AcknowledgedChange = ChangeRecord & { readonly revision: number };

const isAcknowledged = (change: ChangeRecord): change is AcknowledgedChange =>
    change.status !== undefined && change.status < 300 && change.revision !== undefined;

/** Finds request ids that were applied twice, and different changes that both succeeded from the same revision. */
export function checkAcknowledgedChanges({ changes }: History): readonly Violation[] {
    const acknowledged = changes.filter(isAcknowledged);
    const firstById = new Map<string, AcknowledgedChange>();
    const firstByExpectedRevision = new Map<string, AcknowledgedChange>();
    return acknowledged.flatMap((change): readonly Violation[] => {
        const firstWithId = firstById.get(change.requestId) ?? change;
        firstById.set(change.requestId, firstWithId);
        const base = `${change.object} from revision ${change.expectedRevision}`;
        const firstFromRevision = firstByExpectedRevision.get(base) ?? change;
        firstByExpectedRevision.set(base, firstFromRevision);
        if (firstWithId.revision !== change.revision) {
            const message = `${change.requestId} got the revisions ${firstWithId.revision} and ${change.revision}.`;
            return [{ kind: ViolationKind.ChangeAppliedTwice, message }];
        }
        if (
            firstFromRevision.requestId !== change.requestId && !isDeepStrictEqual(firstFromRevision.spec, change.spec)
        ) {
            const message = `${firstFromRevision.requestId} and ${change.requestId} both succeeded on ${base}.`;
            return [{ kind: ViolationKind.ConflictingChanges, message }];
        }
        return [];
    });
}

/**
 * Finds fresh reads that miss a change which was acknowledged before the read was sent, and reads with another spec
 * than the one that was acknowledged at their revision. Every changed object must be read after the last acknowledged
 * change; a change that such a final read misses counts as lost.
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
    const violatingReads = reads.flatMap((read): readonly Violation[] => {
        const changesOfObject = acknowledged.filter(change => change.object === read.object);
        const latest = changesOfObject
            .filter(change => change.respondedAt <= read.sentAt)
            .reduce<AcknowledgedChange | undefined>(
                (found, change) => found === undefined || change.revision > found.revision ? change : found,
                undefined,
            );
        const isFinal = read.sentAt >= lastAcknowledgedAt;
        const location = `${read.object} read at ${read.instance}`;
        // A deleted object has no revision, so its reads report revision 0.
        const isDeleted = read.revision === 0 &&
            changes.some(change =>
                change.object === read.object && change.spec === undefined && change.sentAt <= read.respondedAt
            );
        if (latest !== undefined && read.revision < latest.revision && !isDeleted) {
            return [{
                kind: isFinal ? ViolationKind.ChangeMissing : ViolationKind.StaleRead,
                message: `${location} has revision ${read.revision}; ${latest.revision} was acknowledged before.`,
            }];
        }
        const acknowledgedChange = changesOfObject.find(change => change.revision === read.revision);
        if (acknowledgedChange !== undefined && !isDeepStrictEqual(acknowledgedChange.spec, read.spec)) {
            return [{
                kind: ViolationKind.ChangeReverted,
                message: `${location} has another spec at revision ${read.revision} than the acknowledged one.`,
            }];
        }
        return [];
    });
    return [...unread, ...violatingReads];
}

/**
 * Finds entries with a view lease that used an older revision after a newer one was reported as in force, and entries
 * that returned to an older revision.
 */
export function checkInForce({ reads, entries }: History): readonly Violation[] {
    const inForce = reads.filter(read => read.isInForce);
    const entriesWithLease = entries.filter(entry => entry.holdsViewLease);
    const tooEarly = inForce.flatMap(read => {
        const violatingEntry = entriesWithLease.find(entry =>
            entry.sentAt >= read.respondedAt && entry.revision < read.revision
        );
        return violatingEntry === undefined ? [] : [{
            kind: ViolationKind.InForceTooEarly,
            message:
                `${read.object} was reported in force at revision ${read.revision}, but later ${violatingEntry.entry} `
                + `used ${violatingEntry.revision}.`,
        }];
    });
    const latest = new Map<string, EntryRecord>();
    const decreased = entriesWithLease.flatMap(entry => {
        const before = latest.get(entry.entry);
        if (before !== undefined && entry.revision < before.revision) {
            const message = `${entry.entry} returned from revision ${before.revision} to ${entry.revision}.`;
            return [{ kind: ViolationKind.EntryRevisionDecreased, message }];
        }
        latest.set(entry.entry, entry);
        return [];
    });
    return [...tooEarly, ...decreased];
}
