/**
 * Quotas that the control leader counts for each process of an entry, and how long it counts them.
 */
import { prolongForClockRate } from "@hyssopfront/coordination";
import { type QuotaDemand, type QuotaGrant, SESSION_LEASE_MS } from "../sessions/messages.js";
import { BudgetUnit } from "./admission.js";
import { LONGEST_WINDOW_MS } from "./sliding-window.js";

/** Upper bound of the quota that one process holds of one budget. */
export type QuotaHolding = {
    readonly unit: BudgetUnit;
    readonly wanted: number;
    /** Units requested while the entry is idle. They are granted only when no process has demand for them. */
    readonly standby: number;
    /** Units counted until the next report or the expiry of the lease. */
    held: number;
    /** Units counted after the lease has expired. */
    floor: number;
    /** Units of this process in the cached total of all processes. */
    countedInTotal: number;
};

/** Session of one process (incarnation) of an entry. */
export type QuotaSession = {
    readonly entry: string;
    readonly incarnation: string;
    /** Time of the latest renewal on the entry's clock. */
    sentAt: number;
    /** Time on the allocator's clock when that renewal arrived. */
    reportedAt: number;
    appliedRevision: number;
    /** Time of the first report known to be sent during this leadership, or `undefined` before it. */
    confirmedAt: number | undefined;
    /** True for the only session of the entry that receives quotas. */
    isCurrent: boolean;
    /** Increases with each opened session. */
    readonly sequenceNumber: number;
    /** Time of the graceful end of the session, after which the process uses no quota. */
    endedAt: number | undefined;
    /** Reply to the latest renewal, sent again for duplicates of that renewal. */
    latestReply: QuotaGrant[];
    readonly holdings: Map<string, QuotaHolding>;
};

export type QuotaSessions = {
    readonly all: ReadonlyMap<string, QuotaSession>;
    /** Returns the session of the newest incarnation of an entry. */
    current(entry: string): QuotaSession | undefined;
    /** Finds or opens the session of an incarnation. The first session of an entry becomes its current session. */
    open(entry: string, incarnation: string, now: number): QuotaSession;
    /**
     * Makes the session the current one of its entry when it is newer. Call it only when a report of the session is
     * known to be sent during this leadership, so that a late message of an ended incarnation does not replace its
     * successor.
     */
    promote(session: QuotaSession): void;
    /** Returns the sessions that hold a quota of a budget. */
    holders(key: string): ReadonlySet<QuotaSession>;
    /** Replaces the holdings of a session with those it reported. */
    replaceHoldings(session: QuotaSession, demands: readonly QuotaDemand[]): void;
    /** Removes holdings of slots without quota and demand, so that they do not accumulate as backend servers change. */
    removeUnused(session: QuotaSession): void;
    remove(session: QuotaSession): void;
    clear(): void;
};

const NO_SESSIONS: ReadonlySet<QuotaSession> = new Set();

/** Creates an empty table of sessions. */
export function createQuotaSessions(): QuotaSessions {
    const all = new Map<string, QuotaSession>();
    const currentByEntry = new Map<string, QuotaSession>();
    const holdersByKey = new Map<string, Set<QuotaSession>>();
    let openedCount = 0;

    const addHolder = (key: string, session: QuotaSession) => {
        const holders = holdersByKey.get(key);
        if (holders === undefined) {
            holdersByKey.set(key, new Set([session]));
            return;
        }
        holders.add(session);
    };

    const removeHolder = (key: string, session: QuotaSession) => {
        const holders = holdersByKey.get(key);
        holders?.delete(session);
        if (holders?.size === 0) {
            holdersByKey.delete(key);
        }
    };

    const open = (entry: string, incarnation: string, now: number) => {
        const id = `${entry}/${incarnation}`;
        const existing = all.get(id);
        if (existing !== undefined) {
            return existing;
        }
        const session: QuotaSession = {
            entry,
            incarnation,
            sentAt: -Infinity,
            reportedAt: now,
            appliedRevision: 0,
            confirmedAt: undefined,
            isCurrent: !currentByEntry.has(entry),
            sequenceNumber: ++openedCount,
            endedAt: undefined,
            latestReply: [],
            holdings: new Map(),
        };
        all.set(id, session);
        if (session.isCurrent) {
            currentByEntry.set(entry, session);
        }
        return session;
    };

    const promote = (session: QuotaSession) => {
        const current = currentByEntry.get(session.entry);
        if (current === undefined || current.sequenceNumber < session.sequenceNumber) {
            if (current !== undefined) {
                current.isCurrent = false;
            }
            session.isCurrent = true;
            currentByEntry.set(session.entry, session);
        }
    };

    const replaceHoldings = (session: QuotaSession, demands: readonly QuotaDemand[]) => {
        const reported = new Set(demands.map(({ key }) => key));
        // A demand that is not reported means that the process holds at most its known floor and has no demand.
        session.holdings.forEach((holding, key) => {
            if (!reported.has(key)) {
                session.holdings.set(key, { ...holding, wanted: 0, standby: 0, held: holding.floor });
            }
        });
        demands.forEach(({ key, unit, wanted, standby = 0, held, floor = 0 }) => {
            const counted = session.holdings.get(key)?.countedInTotal ?? 0;
            session.holdings.set(key, { unit, wanted, standby, held, floor, countedInTotal: counted });
            addHolder(key, session);
        });
    };

    const removeUnused = (session: QuotaSession) => {
        session.holdings.forEach(({ unit, wanted, standby, held, floor }, key) => {
            if (unit === BudgetUnit.Concurrent && wanted + standby + held + floor === 0) {
                session.holdings.delete(key);
                removeHolder(key, session);
            }
        });
    };

    const remove = (session: QuotaSession) => {
        session.holdings.forEach((_holding, key) => removeHolder(key, session));
        all.delete(`${session.entry}/${session.incarnation}`);
        if (currentByEntry.get(session.entry) === session) {
            currentByEntry.delete(session.entry);
        }
    };

    return {
        all,
        current: entry => currentByEntry.get(entry),
        open,
        promote,
        holders: key => holdersByKey.get(key) ?? NO_SESSIONS,
        replaceHoldings,
        removeUnused,
        remove,
        clear: () => [...all.values()].forEach(remove),
    };
}

/**
 * Computes how long leased units may be in use after a renewal, by the allocator's clock: the lease, followed by the
 * window of a rate or by the longest request that holds a slot.
 *
 * @param unit Unit of the budget.
 * @param longestRequestMilliseconds Longest time that a request holds a slot.
 * @returns Time in milliseconds.
 */
export function maximumUseMilliseconds(unit: BudgetUnit, longestRequestMilliseconds: number): number {
    const useAfterExpiry = unit === BudgetUnit.Concurrent ? longestRequestMilliseconds : LONGEST_WINDOW_MS;
    return prolongForClockRate(SESSION_LEASE_MS + useAfterExpiry);
}

/** Returns true while the leased units of a session, which exceed its floor, must be counted. */
export function isLeaseOutstanding(session: QuotaSession, maximumUse: number, now: number): boolean {
    const isInWindow = session.endedAt === undefined
        || now < session.endedAt + prolongForClockRate(LONGEST_WINDOW_MS);
    return isInWindow && now < session.reportedAt + maximumUse;
}
