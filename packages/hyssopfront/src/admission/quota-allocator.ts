/**
 * Quota allocator, which grants quotas of the budgets to the entries on the control leader.
 *
 * The quotas of all entries stay within each limit because the allocator counts, for each process of an entry, the
 * larger of the reported and the granted quota. It counts that amount until the process reports less or the lease has
 * expired on any possible clock.
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

/** Longest time that a request is assumed to hold a slot after its entry was disconnected. */
const LONGEST_REQUEST_MS = 10_000;
/** Caches the totals of 450 entries for about 0.2 s, less than half the renewal interval. */
const CACHE_MILLISECONDS_PER_HOLDER = 0.5;

export type QuotaAllocatorOptions = {
    readonly clock: Clock;
    readonly longestRequestMilliseconds?: number;
    /** Time for which the totals of a budget are cached, per process that holds a quota of it. */
    readonly cacheMillisecondsPerHolder?: number;
};

/** Fields of a session renewal that the quota allocator needs. */
export type QuotaRenewal = Pick<
    RenewSessionRequest,
    "entry" | "incarnation" | "appliedRevision" | "sentAt" | "demands"
>;

export type QuotaAllocator = {
    /**
     * Applies a configuration. Must also be called on followers, so that a new leader knows which floors entries may
     * hold.
     *
     * @param view Configuration that was applied.
     * @param isRestored True for a configuration from a snapshot, which does not show earlier removals of entries.
     */
    applyView(view: ConfigurationView, isRestored?: boolean): void;
    /**
     * Removes the sessions of an earlier leadership and starts a learning period. During this period, the allocator
     * only extends existing leases. It ends when every entry has reported or the leases of the earlier leader have
     * expired.
     *
     * @param term Unique term of this leadership, above 0.
     */
    startLeading(term: number): void;
    /** Processes the demands of an entry and grants quotas. Call it only while the leader lease is valid. */
    renew(renewal: QuotaRenewal): QuotaGrant[];
    /** Ends a session after a graceful stop, when its process no longer uses any quota. */
    endSession(entry: string, incarnation: string): void;
};

/**
 * Creates a quota allocator with an empty configuration that is not leading.
 *
 * @param options Clock of this control instance, and the longest time that a request holds a slot.
 * @returns The quota allocator of one control instance.
 */
export function createQuotaAllocator(options: QuotaAllocatorOptions): QuotaAllocator {
    const { clock, longestRequestMilliseconds = LONGEST_REQUEST_MS } = options;
    const { cacheMillisecondsPerHolder = CACHE_MILLISECONDS_PER_HOLDER } = options;
    const history = createFloorHistory(EMPTY_CONFIGURATION_VIEW);
    const sessions = createQuotaSessions();
    const zoneByKey = new Map<string, string>();
    let unitsWithKnownUsage = new Set<BudgetUnit>();
    let view = EMPTY_CONFIGURATION_VIEW;
    let term = 0;
    let leadingSince = Infinity;
    let lastRemovalAt = -Infinity;
    let lastCleanupAt = -Infinity;

    const now = () => clock.monotonicMilliseconds();
    const getMaximumUse = (unit: BudgetUnit) => maximumUseMilliseconds(unit, longestRequestMilliseconds);
    const totals = createQuotaTotals({
        sessions,
        history,
        view: () => view,
        getMaximumUse,
        getZone: key => zoneByKey.get(key),
        cacheMillisecondsPerHolder,
    });
    const { isRegistered } = totals;

    const hasReportFromEveryEntry = (unit: BudgetUnit, at: number) => {
        const confirmedAt = [...view.entries.keys()].map(name => sessions.current(name)?.confirmedAt ?? Infinity);
        // The previous incarnation of an entry may have used its quota until the new incarnation reported.
        return at >= Math.max(leadingSince, ...confirmedAt) + prolongForClockRate(LONGEST_WINDOW_MS)
            && at >= lastRemovalAt + getMaximumUse(unit);
    };

    const isUsageKnown = (unit: BudgetUnit, at: number) => {
        if (
            !unitsWithKnownUsage.has(unit) &&
            (at >= leadingSince + getMaximumUse(unit) || hasReportFromEveryEntry(unit, at))
        ) {
            unitsWithKnownUsage.add(unit);
        }
        return unitsWithKnownUsage.has(unit);
    };

    const grant = (session: QuotaSession, demand: QuotaDemand, at: number): QuotaGrant => {
        const { key } = demand;
        const budget = history.getBudget(key) ?? { key, unit: demand.unit, limit: 0 };
        const targetFloor = isRegistered(session) ? history.getFloor(session.entry, budget, zoneByKey.get(key)) : 0;
        if (!isUsageKnown(budget.unit, at)) {
            return { key, portion: isRegistered(session) ? demand.portion ?? 0 : 0 };
        }
        const targetQuota = isRegistered(session) ? totals.fairQuota(session, budget, at) : 0;
        const capacity = Math.min(targetQuota, budget.limit - totals.computeOutstandingOfOthers(session, budget, at));
        const quota = Math.max(0, budget.unit === BudgetUnit.Concurrent ? Math.floor(capacity + 1e-9) : capacity);
        const floor = Math.min(quota, targetFloor);
        const holding = session.holdings.get(key);
        if (holding !== undefined) {
            holding.held = Math.max(holding.held, quota);
            holding.floor = Math.max(holding.floor, floor);
            totals.recount(session, key, at);
        }
        return { key, portion: quota, floor, limit: budget.limit };
    };

    const cleanUp = (at: number) => {
        if (at < lastCleanupAt + LONGEST_WINDOW_MS) {
            return;
        }
        lastCleanupAt = at;
        [...sessions.all.values()]
            .filter(session => !isRegistered(session))
            .filter(session => !isLeaseOutstanding(session, getMaximumUse(BudgetUnit.Concurrent), at))
            .forEach(sessions.remove);
        sessions.all.forEach(sessions.removeUnused);
        totals.invalidate();
        zoneByKey.forEach((_zone, key) => sessions.holders(key).size === 0 && zoneByKey.delete(key));
        const hasAppliedAll = [...view.entries.keys()].map(sessions.current).every(session =>
            session?.confirmedAt !== undefined && session.appliedRevision >= view.revision
        );
        if (hasAppliedAll) {
            history.removeOldVersions();
        }
    };

    const renew = ({ entry, incarnation, appliedRevision, sentAt, demands }: QuotaRenewal) => {
        const at = now();
        const session = sessions.open(entry, incarnation, at);
        const sequence = sentAt ?? Math.max(0, session.sentAt) + 1;
        if (sequence <= session.sentAt || session.endedAt !== undefined) {
            return sequence === session.sentAt ? session.latestReply : [];
        }
        const isConfirmed = demands.some(({ key, held }) => key === ALLOCATOR_TERM_KEY && held === term);
        const budgetDemands = demands.filter(({ key }) => key !== ALLOCATOR_TERM_KEY);
        budgetDemands.forEach(({ key, availabilityZone }) => {
            if (availabilityZone !== undefined && zoneByKey.get(key) !== availabilityZone) {
                zoneByKey.set(key, availabilityZone);
                totals.invalidate(key);
            }
        });
        session.sentAt = sequence;
        session.reportedAt = at;
        session.appliedRevision = appliedRevision;
        session.confirmedAt ??= isConfirmed ? at : undefined;
        sessions.replaceHoldings(session, budgetDemands);
        if (isConfirmed) {
            sessions.promote(session);
        }
        cleanUp(at);
        session.holdings.forEach((_holding, key) => totals.recount(session, key, at));
        const grants = session.isCurrent ? budgetDemands.map(demand => grant(session, demand, at)) : [];
        session.latestReply = [{ key: ALLOCATOR_TERM_KEY, portion: term }, ...grants];
        return session.latestReply;
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
            unitsWithKnownUsage = new Set();
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
