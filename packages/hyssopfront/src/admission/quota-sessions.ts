/**
 * What the control leader knows each entry's process to hold, and for how long it must count it.
 */
import { prolongForClockRate } from "@hyssopfront/coordination";
import { type QuotaDemand, type QuotaGrant, SESSION_LEASE_MS } from "../sessions/messages.js";
import { BudgetUnit } from "./admission.js";
import { LONGEST_WINDOW_MS } from "./sliding-window.js";

/** What one process holds of one budget, at most. */
export type QuotaHolding = {
    readonly unit: BudgetUnit;
    readonly wanted: number;
    /** Units to be held while no process wants them. */
    readonly standby: number;
    /** Units counted until the next report or the end of the lease. */
    held: number;
    /** Units counted after the lease has ended. */
    floor: number;
    /** Units that the current sum over all processes contains for this one. */
    counted: number;
};

/** One process (incarnation) of an entry. */
export type QuotaSession = {
    readonly entry: string;
    readonly incarnation: string;
    /** The entry's own time of its newest renewal. */
    sentAt: number;
    /** The grantor's time when that renewal arrived. */
    reportedAt: number;
    appliedRevision: number;
    /** Time since which reports are known to be sent to this grantor; undefined before. */
    freshSince: number | undefined;
    /** True for the one session of its entry that gets portions. */
    isCurrent: boolean;
    /** Counts the sessions, in the order in which they were opened. */
    readonly number: number;
    /** Set by a graceful end, after which the process uses nothing. */
    endedAt: number | undefined;
    /** Answer to the newest renewal, for its duplicates. */
    reply: QuotaGrant[];
    readonly holdings: Map<string, QuotaHolding>;
};

export type QuotaSessions = {
    readonly all: ReadonlyMap<string, QuotaSession>;
    /** Session of the newest incarnation of an entry. */
    current(entry: string): QuotaSession | undefined;
    /** Finds or opens the session of an incarnation; the first of an entry becomes its current session. */
    open(entry: string, incarnation: string, now: number): QuotaSession;
    /**
     * Makes the session the entry's current one when it is newer. To be called once a report is known to be fresh, so
     * that a late message of an incarnation that has ended does not displace its successor.
     */
    promote(session: QuotaSession): void;
    holders(key: string): ReadonlySet<QuotaSession>;
    /** Replaces what a session holds by what it reported. */
    report(session: QuotaSession, demands: readonly QuotaDemand[]): void;
    /** Forgets budgets of slots that the session neither holds nor wants, as backend servers come and go. */
    forgetUnused(session: QuotaSession): void;
    remove(session: QuotaSession): void;
    clear(): void;
};

const NO_SESSIONS: ReadonlySet<QuotaSession> = new Set();

/** Creates the table of sessions, empty. */
export function createQuotaSessions(): QuotaSessions {
    const all = new Map<string, QuotaSession>();
    const currentByEntry = new Map<string, QuotaSession>();
    const holdersByKey = new Map<string, Set<QuotaSession>>();
    let opened = 0;

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
        const known = all.get(id);
        if (known !== undefined) {
            return known;
        }
        const session: QuotaSession = {
            entry,
            incarnation,
            sentAt: -Infinity,
            reportedAt: now,
            appliedRevision: 0,
            freshSince: undefined,
            isCurrent: !currentByEntry.has(entry),
            number: ++opened,
            endedAt: undefined,
            reply: [],
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
        if (current === undefined || current.number < session.number) {
            if (current !== undefined) {
                current.isCurrent = false;
            }
            session.isCurrent = true;
            currentByEntry.set(session.entry, session);
        }
    };

    const report = (session: QuotaSession, demands: readonly QuotaDemand[]) => {
        const reported = new Set(demands.map(({ key }) => key));
        // A budget that is not reported is held up to the floor that the grantor knows of, and not wanted.
        session.holdings.forEach((holding, key) => {
            if (!reported.has(key)) {
                session.holdings.set(key, { ...holding, wanted: 0, standby: 0, held: holding.floor });
            }
        });
        demands.forEach(({ key, unit, wanted, standby = 0, held, floor = 0 }) => {
            const counted = session.holdings.get(key)?.counted ?? 0;
            session.holdings.set(key, { unit, wanted, standby, held, floor, counted });
            addHolder(key, session);
        });
    };

    const forgetUnused = (session: QuotaSession) => {
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
        report,
        forgetUnused,
        remove,
        clear: () => [...all.values()].forEach(remove),
    };
}

/**
 * Longest time, by the grantor's clock, for which units of an expired lease may still be in use: the lease itself, then
 * the window of a rate or the longest request that holds a slot.
 */
export function maximumUseMilliseconds(unit: BudgetUnit, longestRequestMilliseconds: number): number {
    const tail = unit === BudgetUnit.Concurrent ? longestRequestMilliseconds : LONGEST_WINDOW_MS;
    return prolongForClockRate(SESSION_LEASE_MS + tail);
}

/** True while what the session held beyond its floor must be counted. */
export function isLeaseOutstanding(session: QuotaSession, hold: number, now: number): boolean {
    const isInWindow = session.endedAt === undefined
        || now < session.endedAt + prolongForClockRate(LONGEST_WINDOW_MS);
    return isInWindow && now < session.reportedAt + hold;
}
