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
const KEPT_ADVANCES = 256;
const KEPT_PENDING = 1_000;
/** Incarnations that ended or were replaced; their late messages are refused. */
const KEPT_ENDED_INCARNATIONS = 1_000;

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
    refuse(request: RenewSessionRequest): string | undefined;
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
    const removing = new Set<string>();
    /** Entries registered at the election that have not reported since. */
    let unheard = new Map<string, EntryRegistration>();
    let unheardUntil = 0;
    let term = 0;
    let inForceRevision = 0;
    /** A lease is given at this revision or a later one only. */
    let requiredRevision = 0;
    let advances: { revision: number; at: number }[] = [];
    let forgottenRevision = 0;
    let pending: { revision: number; since: number }[] = [];

    const now = () => clock.monotonicMilliseconds();
    const isLive = (session: Session | undefined): session is Session =>
        session !== undefined && session.leaseEndsAt > now();

    const endIncarnation = (entry: string, incarnation: string) => {
        endedIncarnations.add(`${entry}/${incarnation}`);
        if (endedIncarnations.size > KEPT_ENDED_INCARNATIONS) {
            const [oldest] = endedIncarnations;
            endedIncarnations.delete(oldest as string);
        }
    };

    const holders = (): LeaseHolder[] => {
        const at = now();
        const live = [...sessions].filter(([, session]) => isLive(session)).map(([entry, session]) => ({
            entry,
            appliedRevision: session.appliedRevision,
            leaseMilliseconds: session.leaseEndsAt - at,
        }));
        const silent = at >= unheardUntil ? [] : [...unheard.keys()].map(entry => ({
            entry,
            appliedRevision: undefined,
            leaseMilliseconds: unheardUntil - at,
        }));
        return [...live, ...silent];
    };

    const advance = () => {
        const configurationRevision = options.configurationRevision();
        if (configurationRevision === inForceRevision) {
            return;
        }
        const last = pending.at(-1)?.revision ?? inForceRevision;
        if (configurationRevision > last && pending.length < KEPT_PENDING) {
            pending.push({ revision: configurationRevision, since: now() });
        }
        const applied = holders().map(holder => holder.appliedRevision ?? 0);
        const reached = applied.reduce((lowest, revision) => Math.min(lowest, revision), configurationRevision);
        if (reached > inForceRevision) {
            inForceRevision = reached;
            requiredRevision = Math.max(requiredRevision, reached);
            advances.push({ revision: reached, at: clock.wallTime().getTime() });
            if (advances.length > KEPT_ADVANCES) {
                forgottenRevision = advances.shift()?.revision ?? 0;
            }
            pending = pending.filter(({ revision }) => revision > reached);
        }
    };

    const findNameConflict = ({ entry, incarnation, address, peerPort }: RenewSessionRequest) => {
        if (endedIncarnations.has(`${entry}/${incarnation}`)) {
            return `Incarnation ${incarnation} of entry ${entry} has ended or was replaced.`;
        }
        const session = sessions.get(entry);
        const silent = now() < unheardUntil ? unheard.get(entry) : undefined;
        const holder = isLive(session) ? session : silent;
        // A process that holds the same port proves that the earlier one has ended; at another address it does not.
        return holder !== undefined && (holder.address !== address || holder.peerPort !== peerPort)
            ? `Entry ${entry} holds a session at ${holder.address}:${holder.peerPort}.`
            : undefined;
    };

    const renew = (request: RenewSessionRequest): RenewDecision => {
        const { entry, incarnation, address, peerPort } = request;
        const known = sessions.get(entry);
        if (known !== undefined && known.incarnation !== incarnation) {
            endIncarnation(entry, known.incarnation);
        }
        const isSame = known?.incarnation === incarnation;
        // Renewals of one process may overtake each other; its revision never goes back.
        const appliedRevision = Math.max(request.appliedRevision, isSame ? known.appliedRevision : 0);
        advance();
        if (appliedRevision < requiredRevision || removing.has(entry)) {
            if (isSame) {
                known.appliedRevision = appliedRevision;
            }
            return { isGranted: false, revision: requiredRevision };
        }
        unheard.delete(entry);
        const leaseEndsAt = now() + prolongForClockRate(SESSION_LEASE_MS);
        sessions.set(entry, { incarnation, address, peerPort, appliedRevision, leaseEndsAt });
        advance();
        return { isGranted: true };
    };

    return {
        get term() {
            return term;
        },
        startLeading: (newTerm, electedAt, configurationRevision) => {
            term = newTerm;
            sessions.clear();
            removing.clear();
            unheard = new Map(options.registeredEntries().map(entry => [entry.name, entry]));
            unheardUntil = electedAt + prolongForClockRate(SESSION_LEASE_MS);
            inForceRevision = 0;
            requiredRevision = configurationRevision;
            advances = [];
            forgottenRevision = 0;
            pending = [];
        },
        refuse: findNameConflict,
        renew,
        end: (entry, incarnation) => {
            if (sessions.get(entry)?.incarnation !== incarnation) {
                return false;
            }
            sessions.delete(entry);
            endIncarnation(entry, incarnation);
            return true;
        },
        hasEnded: (entry, incarnation) => endedIncarnations.has(`${entry}/${incarnation}`),
        beginRemoval: entry => {
            const isSilent = now() < unheardUntil && unheard.has(entry);
            if (isSilent || isLive(sessions.get(entry))) {
                return false;
            }
            sessions.delete(entry);
            removing.add(entry);
            return true;
        },
        finishRemoval: entry => {
            removing.delete(entry);
        },
        status: () => {
            advance();
            const configurationRevision = options.configurationRevision();
            const at = now();
            return {
                leader: options.self,
                term,
                revision: inForceRevision,
                configurationRevision,
                advances: [...advances],
                forgottenRevision,
                pending: pending.map(({ revision, since }) => ({ revision, waitingMilliseconds: at - since })),
                holders: holders().filter(holder => (holder.appliedRevision ?? 0) < configurationRevision),
            };
        },
    };
}
