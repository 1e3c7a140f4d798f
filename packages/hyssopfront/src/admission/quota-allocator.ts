/**
 * Grants portions of the budgets to the entries, on the control leader.
 *
 * The sum of what all entries may use is kept within each limit by counting, for each process of an entry, the larger of
 * what it reported and what it was granted since. That amount is counted until the process reports less or its lease
 * has certainly ended.
 */
import { type Clock, prolongForClockRate } from "@hyssopfront/coordination";
import { type ConfigurationView, EMPTY_CONFIGURATION_VIEW } from "../configuration/configuration-view.js";
import type { QuotaDemand, QuotaGrant, RenewSessionRequest } from "../sessions/messages.js";
import { BudgetUnit } from "./admission.js";
import { ALLOCATOR_TERM_KEY } from "./entry-admission.js";
import { createFloorHistory } from "./floor-history.js";
import {
    createQuotaSessions,
    isLeaseOutstanding,
    maximumUseMilliseconds,
    type QuotaSession,
} from "./quota-sessions.js";
import { createQuotaTotals } from "./quota-totals.js";
import { LONGEST_WINDOW_MS } from "./sliding-window.js";

/** Longest time for which a request is assumed to hold a slot after its entry was cut off. */
const LONGEST_REQUEST_MS = 10_000;
/** Sums over 450 entries are kept for about 0.2 s then, less than half the time between two renewals. */
const MILLISECONDS_PER_HOLDER = 0.5;

export type QuotaAllocatorOptions = {
    readonly clock: Clock;
    readonly longestRequestMilliseconds?: number;
    /** Time for which sums over the entries are kept, for each process that holds some of a budget. */
    readonly millisecondsPerHolder?: number;
};

/** What the grantor needs of a renewal. */
export type QuotaRenewal = Pick<
    RenewSessionRequest,
    "entry" | "incarnation" | "appliedRevision" | "sentAt" | "demands"
>;

export type QuotaAllocator = {
    /**
     * Takes each applied configuration in, on followers too, so that a new leader knows which floors may be held.
     *
     * @param isRestored True for a configuration from a snapshot, which hides the removals of entries before it.
     */
    applyView(view: ConfigurationView, isRestored?: boolean): void;
    /**
     * Forgets the sessions of an earlier leadership. Nothing new is granted until every entry has reported or the leases
     * of the earlier leader have ended.
     *
     * @param term Term of this leadership, above 0; no other leadership has the same.
     */
    startLeading(term: number): void;
    /** Counts what the entry reports and grants portions. Call it only while the leader lease is valid. */
    renew(renewal: QuotaRenewal): QuotaGrant[];
    /** Ends a session whose process will use nothing more, after a graceful stop. */
    endSession(entry: string, incarnation: string): void;
};

/**
 * Creates a grantor that knows of no configuration and does not lead.
 *
 * @param options Clock of this control instance, and the longest time that a request holds a slot.
 */
export function createQuotaAllocator(options: QuotaAllocatorOptions): QuotaAllocator {
    const { clock, longestRequestMilliseconds = LONGEST_REQUEST_MS } = options;
    const { millisecondsPerHolder = MILLISECONDS_PER_HOLDER } = options;
    const history = createFloorHistory(EMPTY_CONFIGURATION_VIEW);
    const sessions = createQuotaSessions();
    const zoneByKey = new Map<string, string>();
    let settledUnits = new Set<BudgetUnit>();
    let view = EMPTY_CONFIGURATION_VIEW;
    let term = 0;
    let leadingSince = Infinity;
    let lastRemovalAt = -Infinity;
    let lastCleanupAt = -Infinity;

    const now = () => clock.monotonicMilliseconds();
    const holdOf = (unit: BudgetUnit) => maximumUseMilliseconds(unit, longestRequestMilliseconds);
    const totals = createQuotaTotals({
        sessions,
        history,
        view: () => view,
        holdOf,
        zoneOf: key => zoneByKey.get(key),
        millisecondsPerHolder,
    });
    const { isRegistered } = totals;

    const hasHeardAll = (unit: BudgetUnit, at: number) => {
        const freshSince = [...view.entries.keys()].map(name => sessions.current(name)?.freshSince ?? Infinity);
        // An incarnation that ended before its successor reported may have used its portion until then.
        return at >= Math.max(leadingSince, ...freshSince) + prolongForClockRate(LONGEST_WINDOW_MS)
            && at >= lastRemovalAt + holdOf(unit);
    };

    const isSettled = (unit: BudgetUnit, at: number) => {
        if (!settledUnits.has(unit) && (at >= leadingSince + holdOf(unit) || hasHeardAll(unit, at))) {
            settledUnits.add(unit);
        }
        return settledUnits.has(unit);
    };

    const grant = (session: QuotaSession, demand: QuotaDemand, at: number): QuotaGrant => {
        const { key } = demand;
        const budget = history.budgetOf(key) ?? { key, unit: demand.unit, limit: 0 };
        const floorTarget = isRegistered(session) ? history.floorOf(session.entry, budget, zoneByKey.get(key)) : 0;
        if (!isSettled(budget.unit, at)) {
            return { key, portion: isRegistered(session) ? demand.portion ?? 0 : 0 };
        }
        const target = isRegistered(session) ? totals.fairPortion(session, budget, at) : 0;
        const room = Math.min(target, budget.limit - totals.outstandingOfOthers(session, budget, at));
        const portion = Math.max(0, budget.unit === BudgetUnit.Concurrent ? Math.floor(room + 1e-9) : room);
        const floor = Math.min(portion, floorTarget);
        const holding = session.holdings.get(key);
        if (holding !== undefined) {
            holding.held = Math.max(holding.held, portion);
            holding.floor = Math.max(holding.floor, floor);
            totals.recount(session, key, at);
        }
        return { key, portion, floor, limit: budget.limit };
    };

    const cleanUp = (at: number) => {
        if (at < lastCleanupAt + LONGEST_WINDOW_MS) {
            return;
        }
        lastCleanupAt = at;
        [...sessions.all.values()]
            .filter(session => !isRegistered(session))
            .filter(session => !isLeaseOutstanding(session, holdOf(BudgetUnit.Concurrent), at))
            .forEach(sessions.remove);
        sessions.all.forEach(sessions.forgetUnused);
        totals.invalidate();
        zoneByKey.forEach((_zone, key) => sessions.holders(key).size === 0 && zoneByKey.delete(key));
        const hasAppliedAll = [...view.entries.keys()].map(sessions.current).every(session =>
            session?.freshSince !== undefined && session.appliedRevision >= view.revision
        );
        if (hasAppliedAll) {
            history.forgetOld();
        }
    };

    const renew = ({ entry, incarnation, appliedRevision, sentAt, demands }: QuotaRenewal) => {
        const at = now();
        const session = sessions.open(entry, incarnation, at);
        const order = sentAt ?? Math.max(0, session.sentAt) + 1;
        if (order <= session.sentAt || session.endedAt !== undefined) {
            return order === session.sentAt ? session.reply : [];
        }
        const isFresh = demands.some(({ key, held }) => key === ALLOCATOR_TERM_KEY && held === term);
        const budgetDemands = demands.filter(({ key }) => key !== ALLOCATOR_TERM_KEY);
        budgetDemands.forEach(({ key, availabilityZone }) => {
            if (availabilityZone !== undefined && zoneByKey.get(key) !== availabilityZone) {
                zoneByKey.set(key, availabilityZone);
                totals.invalidate(key);
            }
        });
        session.sentAt = order;
        session.reportedAt = at;
        session.appliedRevision = appliedRevision;
        session.freshSince ??= isFresh ? at : undefined;
        sessions.report(session, budgetDemands);
        if (isFresh) {
            sessions.promote(session);
        }
        cleanUp(at);
        session.holdings.forEach((_holding, key) => totals.recount(session, key, at));
        const grants = session.isCurrent ? budgetDemands.map(demand => grant(session, demand, at)) : [];
        session.reply = [{ key: ALLOCATOR_TERM_KEY, portion: term }, ...grants];
        return session.reply;
    };

    return {
        applyView: (changed, isRestored = false) => {
            if (isRestored || [...view.entries.keys()].some(name => !changed.entries.has(name))) {
                lastRemovalAt = now();
            }
            view = changed;
            history.apply(changed);
            totals.invalidate();
        },
        startLeading: newTerm => {
            term = newTerm;
            leadingSince = now();
            settledUnits = new Set();
            sessions.clear();
            totals.invalidate();
        },
        renew,
        endSession: (entry, incarnation) => {
            const session = sessions.all.get(`${entry}/${incarnation}`);
            if (session !== undefined) {
                session.endedAt ??= now();
            }
        },
    };
}
