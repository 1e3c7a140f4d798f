/**
 * Totals over all entries from which grants are computed. The totals are cached for a short time, because computing
 * them for each grant of hundreds of entries takes several cores.
 */
import type { ConfigurationView } from "../configuration/configuration-view.js";
import { type Budget, BudgetUnit } from "./admission.js";
import type { FloorHistory } from "./floor-history.js";
import { computeMaxMinLevel, roundShares } from "./max-min.js";
import { isLeaseOutstanding, type QuotaSession, type QuotaSessions } from "./quota-sessions.js";

/** Share of the surplus that active entries receive as headroom. The rest is left for entries that become active. */
const HEADROOM_SHARE = 0.5;

export type QuotaTotalsOptions = {
    readonly sessions: QuotaSessions;
    readonly history: FloorHistory;
    readonly view: () => ConfigurationView;
    /** Returns how long leased units are counted after a renewal, in milliseconds. */
    readonly getMaximumUse: (unit: BudgetUnit) => number;
    /** Returns the availability zone of the backend server in a budget key. */
    readonly getZone: (key: string) => string | undefined;
    /** Time for which the totals of a budget are cached, per process that holds a quota of it. */
    readonly cacheMillisecondsPerHolder: number;
};

export type QuotaTotals = {
    /** Returns true for the process that may hold the floors of a registered entry. */
    isRegistered(session: QuotaSession): boolean;
    /** Returns an upper bound of the quotas that all other processes hold of a budget. */
    computeOutstandingOfOthers(own: QuotaSession, budget: Budget, at: number): number;
    /**
     * Returns the fair quota of one process, including its floor, regardless of outstanding quotas of other processes.
     */
    fairQuota(own: QuotaSession, budget: Budget, at: number): number;
    /** Updates the total of a budget. Must be called after each change that raises a holding. */
    recount(session: QuotaSession, key: string, at: number): void;
    /** Discards the cached totals of all budgets or of one, after changes that `recount` does not cover. */
    invalidate(key?: string): void;
};

type FairAllocation = {
    /** Maximum quota above the floor for an active entry, or `Infinity` when all demands fit. */
    readonly level: number;
    /** Units that each active entry receives in addition when all demands fit. */
    readonly headroom: number;
    /** Standby units of the idle entries, in addition to their floors. */
    readonly standbys: ReadonlyMap<QuotaSession, number>;
    /** Demand above the floor, and computed quota including the floor, of each active entry. */
    readonly quotas: ReadonlyMap<QuotaSession, { readonly demand: number; readonly quota: number }>;
};

type KeyTotals = {
    readonly expiresAt: number;
    /** Units counted for all processes. */
    sum: number;
    readonly allocation: FairAllocation;
};

/** Creates an empty cache of totals. */
export function createQuotaTotals(options: QuotaTotalsOptions): QuotaTotals {
    const { sessions, history, view, getMaximumUse, getZone, cacheMillisecondsPerHolder } = options;
    const totalsByKey = new Map<string, KeyTotals>();

    const isRegistered = (session: QuotaSession) =>
        session.isCurrent && session.endedAt === undefined && view().entries.has(session.entry);

    const unreportedFloor = (entry: string, key: string) => history.getLargestFloor(entry, key, getZone(key));

    const computeOutstanding = (session: QuotaSession, key: string, at: number) => {
        const holding = session.holdings.get(key);
        if (holding === undefined) {
            return 0;
        }
        const knownFloor = isRegistered(session) ? holding.floor : 0;
        // A report from before this leadership may lack floors that the earlier leader granted after it.
        const floor = isRegistered(session) && session.confirmedAt === undefined
            ? Math.max(knownFloor, unreportedFloor(session.entry, key))
            : knownFloor;
        return isLeaseOutstanding(session, getMaximumUse(holding.unit), at) ? Math.max(holding.held, floor) : floor;
    };

    const countAll = (key: string, at: number) => {
        let sum = 0;
        sessions.holders(key).forEach(session => {
            const holding = session.holdings.get(key);
            if (holding !== undefined) {
                holding.countedInTotal = computeOutstanding(session, key, at);
                sum += holding.countedInTotal;
            }
        });
        view().entries.forEach((_entry, name) => {
            const hasReported = sessions.current(name)?.holdings.has(key) ?? false;
            sum += hasReported ? 0 : unreportedFloor(name, key);
        });
        return sum;
    };

    const demandAboveFloor = (session: QuotaSession, budget: Budget) => {
        const wanted = session.holdings.get(budget.key)?.wanted ?? 0;
        return Math.max(0, wanted - history.getFloor(session.entry, budget, getZone(budget.key)));
    };

    const computeAllocation = (budget: Budget, at: number): FairAllocation => {
        const { key, limit, unit } = budget;
        const getFloor = (name: string) => history.getFloor(name, budget, getZone(key));
        const hasOutstandingLease = (session: QuotaSession) => isLeaseOutstanding(session, getMaximumUse(unit), at);
        // A disconnected entry may hold the floor of an older configuration. Connected entries soon apply the new one.
        const reservedFloor = (name: string) => {
            const session = sessions.current(name);
            const held = session === undefined || hasOutstandingLease(session)
                ? 0
                : session.holdings.get(key)?.floor ?? 0;
            return Math.max(getFloor(name), held);
        };
        const floors = [...view().entries.keys()].reduce((sum, name) => sum + reservedFloor(name), 0);
        const candidates = [...sessions.holders(key)]
            .filter(session => isRegistered(session) && hasOutstandingLease(session))
            .sort((a, b) => a.entry < b.entry ? -1 : 1);
        const active = candidates.filter(session => (session.holdings.get(key)?.wanted ?? 0) > 0);
        const demands = active.map(session => demandAboveFloor(session, budget));
        const distributable = Math.max(0, limit - floors);
        const level = computeMaxMinLevel(distributable, demands);
        const headroom = level === Infinity && active.length > 0
            ? (distributable - demands.reduce((sum, demand) => sum + demand, 0)) * HEADROOM_SHARE / active.length
            : 0;
        const wholeHeadroom = unit === BudgetUnit.Concurrent ? Math.floor(headroom) : headroom;
        const undistributed = level === Infinity
            ? distributable - demands.reduce((sum, demand) => sum + demand, 0) - wholeHeadroom * active.length
            : 0;
        const shares = demands.map((demand, index) =>
            getFloor(active[index]?.entry ?? "") + Math.min(demand, level) + wholeHeadroom
        );
        // Each quota must contain whole units, because an entry cannot use a fraction of a request.
        const isRounded = level !== Infinity && unit !== BudgetUnit.BytesPerSecond;
        const quotas = isRounded ? roundShares(shares) : shares;
        return {
            level,
            headroom: wholeHeadroom,
            standbys: distributeStandby(undistributed, key, candidates.filter(session => !active.includes(session))),
            quotas: new Map(active.map((session, index) => {
                const floor = getFloor(session.entry);
                return [session, { demand: demands[index] ?? 0, quota: Math.max(floor, quotas[index] ?? 0) }];
            })),
        };
    };

    const getTotals = (budget: Budget, at: number): KeyTotals => {
        const { key } = budget;
        const cached = totalsByKey.get(key);
        if (cached !== undefined && at < cached.expiresAt) {
            return cached;
        }
        const expiresAt = at + sessions.holders(key).size * cacheMillisecondsPerHolder;
        const totals = { expiresAt, sum: countAll(key, at), allocation: computeAllocation(budget, at) };
        totalsByKey.set(key, totals);
        return totals;
    };

    return {
        isRegistered,
        computeOutstandingOfOthers: (own, budget, at) =>
            getTotals(budget, at).sum - (own.holdings.get(budget.key)?.countedInTotal ?? 0),
        fairQuota: (own, budget, at) => {
            const { level, headroom, standbys, quotas } = getTotals(budget, at).allocation;
            const floor = history.getFloor(own.entry, budget, getZone(budget.key));
            if ((own.holdings.get(budget.key)?.wanted ?? 0) === 0) {
                return floor + (standbys.get(own) ?? 0);
            }
            const demand = demandAboveFloor(own, budget);
            const planned = quotas.get(own);
            return planned?.demand === demand ? planned.quota : floor + Math.min(demand, level) + headroom;
        },
        recount: (session, key, at) => {
            const totals = totalsByKey.get(key);
            const holding = session.holdings.get(key);
            if (totals !== undefined && holding !== undefined) {
                const counted = computeOutstanding(session, key, at);
                totals.sum += counted - holding.countedInTotal;
                holding.countedInTotal = counted;
            }
        },
        invalidate: key => {
            if (key === undefined) {
                totalsByKey.clear();
                return;
            }
            totalsByKey.delete(key);
        },
    };
}

/** Grants idle entries their standby units, one entry after another, until no units are left. */
function distributeStandby(
    undistributed: number,
    key: string,
    idle: readonly QuotaSession[],
): ReadonlyMap<QuotaSession, number> {
    const standbys = new Map<QuotaSession, number>();
    let remaining = undistributed;
    idle.forEach(session => {
        const units = Math.min(remaining, session.holdings.get(key)?.standby ?? 0);
        if (units > 0) {
            standbys.set(session, units);
            remaining -= units;
        }
    });
    return standbys;
}
