/**
 * Sessions of entries at the leader, and the revision in force that follows from them.
 *
 * A revision is in force when each entry that may hold a view lease has applied it. An entry without a lease gets one only
 * at that revision or a later one, so what was reported in force stays so.
 */
import { type Clock, prolongForClockRate } from "@hyssopfront/coordination";
import type { EntryRegistration } from "../resources/messages.js";
import { type RenewSessionRequest, SESSION_LEASE_MS } from "../sessions/messages.js";
import type { InForceStatus, LeaseHolder } from "./in-force.js";

/** Times of the latest advances that are kept for `lastTransitionTime`. */
const MAXIMUM_ADVANCES = 256;
const MAXIMUM_PENDING_REVISIONS = 1_000;
/** Incarnations that ended or were replaced; their late messages are refused. */
const MAXIMUM_ENDED_INCARNATIONS = 1_000;

type Session = {
    readonly incarnation: string;
    readonly address: string;
    readonly peerPort: number;
    appliedRevision: number;
    /** Leader's monotonic time at which the lease has certainly ended. */
    leaseEndsAt: number;
};

export type RenewDecision =
    | { readonly isGranted: true }
    /** The entry must first apply the revision. */
    | { readonly isGranted: false; readonly revision: number };

export type SessionTable = {
    /** Term of the leadership that the ledger is for; 0 before the first. */
    readonly term: number;
    /**
     * Forgets the sessions of an earlier leadership. Each registered entry counts as holding a lease until it reports or
     * the leases of the earlier leader have ended.
     *
     * @param electedAt Monotonic time at which this leader first held its lease.
     * @param configurationRevision Latest change committed by earlier leaders; any of them may have been reported in force.
     */
    startLeading(term: number, electedAt: number, configurationRevision: number): void;
    /** Why the request's process may not use its name now; undefined when it may. */
    findNameConflict(request: RenewSessionRequest): string | undefined;
    /** Grants or refuses a lease. To be called while the leader lease is valid and the entry is registered. */
    renew(request: RenewSessionRequest): RenewDecision;
    /** Ends the session of a process that acts on nothing any more. False when the incarnation holds no session. */
    end(entry: string, incarnation: string): boolean;
    /** True when the incarnation is known to have ended or to have been replaced. */
    hasEnded(entry: string, incarnation: string): boolean;
    /** Blocks new leases of an entry that holds none, until `finishRemoval`. False while it may hold one. */
    beginRemoval(entry: string): boolean;
    finishRemoval(entry: string): void;
    /** Recomputes the revision in force. To be answered to operators only while the leader lease is valid. */
    status(): InForceStatus;
};

export type SessionTableOptions = {
    readonly clock: Clock;
    readonly self: string;
    /** Entries in the replicated state. */
    readonly registeredEntries: () => readonly EntryRegistration[];
    /** Revision of the latest committed change. */
    readonly configurationRevision: () => number;
};

/** Creates a ledger that leads nothing. */
export function createSessionTable(options: SessionTableOptions): SessionTable {
    const { clock } = options;
    const sessions = new Map<string, Session>();
    const endedIncarnations = new Set<string>();
    const entriesInRemoval = new Set<string>();
    /** Entries registered at the election that have not reported since. */
    let unreportedEntries = new Map<string, EntryRegistration>();
    let previousLeasesEndAt = 0;
    let term = 0;
    let inForceRevision = 0;
    /** A lease is given at this revision or a later one only. */
    let requiredRevision = 0;
    let advances: { revision: number; at: number }[] = [];
    let forgottenRevision = 0;
    let pending: { revision: number; since: number }[] = [];

    const now = () => clock.monotonicMilliseconds();
    const hasValidLease = (session: Session | undefined): session is Session =>
        session !== undefined && session.leaseEndsAt > now();

    const recordEndedIncarnation = (entry: string, incarnation: string) => {
        endedIncarnations.add(`${entry}/${incarnation}`);
        if (endedIncarnations.size > MAXIMUM_ENDED_INCARNATIONS) {
            const [oldest] = endedIncarnations;
            endedIncarnations.delete(oldest as string);
        }
    };

    const listLeaseHolders = (): LeaseHolder[] => {
        const currentTime = now();
        const reported = [...sessions].filter(([, session]) => hasValidLease(session)).map(([entry, session]) => ({
            entry,
            appliedRevision: session.appliedRevision,
            leaseMilliseconds: session.leaseEndsAt - currentTime,
        }));
        const unreported = currentTime >= previousLeasesEndAt ? [] : [...unreportedEntries.keys()].map(entry => ({
            entry,
            appliedRevision: undefined,
            leaseMilliseconds: previousLeasesEndAt - currentTime,
        }));
        return [...reported, ...unreported];
    };

    const updateInForceRevision = () => {
        const configurationRevision = options.configurationRevision();
        if (configurationRevision === inForceRevision) {
            return;
        }
        const lastPendingRevision = pending.at(-1)?.revision ?? inForceRevision;
        if (configurationRevision > lastPendingRevision && pending.length < MAXIMUM_PENDING_REVISIONS) {
            pending.push({ revision: configurationRevision, since: now() });
        }
        const appliedRevisions = listLeaseHolders().map(holder => holder.appliedRevision ?? 0);
        const lowestApplied = appliedRevisions.reduce(
            (lowest, revision) => Math.min(lowest, revision),
            configurationRevision,
        );
        if (lowestApplied > inForceRevision) {
            inForceRevision = lowestApplied;
            requiredRevision = Math.max(requiredRevision, lowestApplied);
            advances.push({ revision: lowestApplied, at: clock.wallTime().getTime() });
            if (advances.length > MAXIMUM_ADVANCES) {
                forgottenRevision = advances.shift()?.revision ?? 0;
            }
            pending = pending.filter(({ revision }) => revision > lowestApplied);
        }
    };

    const findNameConflict = ({ entry, incarnation, address, peerPort }: RenewSessionRequest) => {
        if (endedIncarnations.has(`${entry}/${incarnation}`)) {
            return `Incarnation ${incarnation} of entry ${entry} has ended or was replaced.`;
        }
        const session = sessions.get(entry);
        const unreportedEntry = now() < previousLeasesEndAt ? unreportedEntries.get(entry) : undefined;
        const holder = hasValidLease(session) ? session : unreportedEntry;
        // A process that holds the same port proves that the earlier one has ended; at another address it does not.
        return holder !== undefined && (holder.address !== address || holder.peerPort !== peerPort)
            ? `Entry ${entry} holds a session at ${holder.address}:${holder.peerPort}.`
            : undefined;
    };

    const renew = (request: RenewSessionRequest): RenewDecision => {
        const { entry, incarnation, address, peerPort } = request;
        const previous = sessions.get(entry);
        if (previous !== undefined && previous.incarnation !== incarnation) {
            recordEndedIncarnation(entry, previous.incarnation);
        }
        const isSameIncarnation = previous?.incarnation === incarnation;
        // Renewals of one process may overtake each other; its revision never goes back.
        const appliedRevision = Math.max(request.appliedRevision, isSameIncarnation ? previous.appliedRevision : 0);
        updateInForceRevision();
        if (appliedRevision < requiredRevision || entriesInRemoval.has(entry)) {
            if (isSameIncarnation) {
                previous.appliedRevision = appliedRevision;
            }
            return { isGranted: false, revision: requiredRevision };
        }
        unreportedEntries.delete(entry);
        const leaseEndsAt = now() + prolongForClockRate(SESSION_LEASE_MS);
        sessions.set(entry, { incarnation, address, peerPort, appliedRevision, leaseEndsAt });
        updateInForceRevision();
        return { isGranted: true };
    };

    return {
        get term() {
            return term;
        },
        startLeading: (newTerm, electedAt, configurationRevision) => {
            term = newTerm;
            sessions.clear();
            entriesInRemoval.clear();
            unreportedEntries = new Map(options.registeredEntries().map(entry => [entry.name, entry]));
            previousLeasesEndAt = electedAt + prolongForClockRate(SESSION_LEASE_MS);
            inForceRevision = 0;
            requiredRevision = configurationRevision;
            advances = [];
            forgottenRevision = 0;
            pending = [];
        },
        findNameConflict,
        renew,
        end: (entry, incarnation) => {
            if (sessions.get(entry)?.incarnation !== incarnation) {
                return false;
            }
            sessions.delete(entry);
            recordEndedIncarnation(entry, incarnation);
            return true;
        },
        hasEnded: (entry, incarnation) => endedIncarnations.has(`${entry}/${incarnation}`),
        beginRemoval: entry => {
            const isUnreported = now() < previousLeasesEndAt && unreportedEntries.has(entry);
            if (isUnreported || hasValidLease(sessions.get(entry))) {
                return false;
            }
            sessions.delete(entry);
            entriesInRemoval.add(entry);
            return true;
        },
        finishRemoval: entry => {
            entriesInRemoval.delete(entry);
        },
        status: () => {
            updateInForceRevision();
            const configurationRevision = options.configurationRevision();
            const currentTime = now();
            return {
                leader: options.self,
                term,
                revision: inForceRevision,
                configurationRevision,
                advances: [...advances],
                forgottenRevision,
                pending: pending.map(({ revision, since }) => ({ revision, waitingMilliseconds: currentTime - since })),
                holders: listLeaseHolders().filter(holder => (holder.appliedRevision ?? 0) < configurationRevision),
            };
        },
    };
}
