/**
 * Sessions of entries at the leader, and the revision in force that is computed from them.
 *
 * An entry relies on its view of the configuration only while it holds a view lease. A revision is in force when each
 * entry that may hold such a lease has applied it. An entry without a lease is granted one only at that revision or
 * a later one, so a revision that was reported in force stays in force.
 */
import { type Clock, prolongForClockRate } from "@hyssopfront/coordination";
import type { EntryRegistration } from "../resources/messages.js";
import { type RenewSessionRequest, SESSION_LEASE_MS } from "../sessions/messages.js";
import type { InForceStatus, LeaseHolder } from "./in-force.js";

/** Changes of the revision in force whose times are kept for `lastTransitionTime`. */
const MAXIMUM_ADVANCES = 256;
/** Revisions not yet in force whose waiting times are tracked. */
const MAXIMUM_PENDING_REVISIONS = 1_000;
/** Ended or replaced incarnations that are remembered, so that their late messages are rejected. */
const MAXIMUM_ENDED_INCARNATIONS = 1_000;

type Session = {
    readonly incarnation: string;
    readonly address: string;
    readonly peerPort: number;
    appliedRevision: number;
    /** Monotonic time of the leader after which the lease has ended, even if the entry's clock runs slower. */
    leaseEndsAt: number;
};

/** Whether a lease was granted. */
export type RenewDecision =
    | { readonly isGranted: true }
    /** The entry has to apply the revision first. */
    | { readonly isGranted: false; readonly revision: number };

/** Entry sessions of one term of leadership. */
export type SessionTable = {
    /** Term that the sessions belong to; 0 before the first election of this instance. */
    readonly term: number;
    /**
     * Starts a new term and drops the sessions of an earlier one. Each registered entry counts as a lease holder until
     * it reports or until the leases that the previous leader granted have ended.
     *
     * @param electedAt Monotonic time in milliseconds at which this leader first held its leader lease.
     * @param configurationRevision Latest revision committed by earlier leaders, which may have reported it in force.
     */
    startLeading(term: number, electedAt: number, configurationRevision: number): void;
    /** @returns Why the process that sends the request cannot use its name now, or undefined when it can. */
    findNameConflict(request: RenewSessionRequest): string | undefined;
    /** Grants or denies a lease. The leader lease must be valid, and the entry registered, at the time of the call. */
    renew(request: RenewSessionRequest): RenewDecision;
    /**
     * Ends the session of a process that no longer serves requests.
     *
     * @returns False when the incarnation has no session.
     */
    end(entry: string, incarnation: string): boolean;
    /** @returns True when the incarnation is known to have ended or to have been replaced. */
    hasEnded(entry: string, incarnation: string): boolean;
    /**
     * Blocks new leases of an entry until `finishRemoval` is called.
     *
     * @returns False, and blocks nothing, while the entry may hold a lease.
     */
    beginRemoval(entry: string): boolean;
    finishRemoval(entry: string): void;
    /** Recomputes the revision in force. The result may be reported only while the leader lease is valid. */
    status(): InForceStatus;
};

/** Dependencies of {@link createSessionTable}. */
export type SessionTableOptions = {
    readonly clock: Clock;
    /** Name of this control instance. */
    readonly self: string;
    /** Entries registered in the replicated state. */
    readonly registeredEntries: () => readonly EntryRegistration[];
    /** Revision of the latest committed change. */
    readonly configurationRevision: () => number;
};

/** Creates a session table without sessions, for an instance that does not lead yet. */
export function createSessionTable(options: SessionTableOptions): SessionTable {
    const { clock } = options;
    const sessions = new Map<string, Session>();
    const endedIncarnations = new Set<string>();
    const entriesInRemoval = new Set<string>();
    /** Entries that were registered when this leader was elected and have not reported to it yet. */
    let unreportedEntries = new Map<string, EntryRegistration>();
    let previousLeasesEndAt = 0;
    let term = 0;
    let inForceRevision = 0;
    /** A lease is granted only to an entry that has applied this revision or a later one. */
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
        // A process that listens at the same address and port proves that the earlier one has ended. One that listens
        // elsewhere does not.
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
        // Renewals of one process may arrive out of order, but the revision that it has applied never decreases.
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
