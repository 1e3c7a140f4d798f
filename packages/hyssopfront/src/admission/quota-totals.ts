/**
 * Sums over all entries that grants are cut from. They are kept for a short time, because with hundreds of entries
 * adding up anew for each grant takes several cores.
 */
import type { ConfigurationView } from "../configuration/configuration-view.js";
import { type Budget, BudgetUnit } from "./admission.js";
import type { FloorHistory } from "./floor-history.js";
import { computeMaxMinLevel, roundShares } from "./max-min.js";
import { isLeaseOutstanding, type QuotaSession, type QuotaSessions } from "./quota-sessions.js";

/** Part of what no one wants that is given as headroom; the rest waits for entries that become active. */
const SPARE_SHARE = 0.5;

export type QuotaTotalsOptions = {
    readonly sessions: QuotaSessions;
    readonly history: FloorHistory;
    readonly view: () => ConfigurationView;
    /** Longest time that units of a lease are counted. */
    readonly holdOf: (unit: BudgetUnit) => number;
    /** Availability zone of the backend server that a key is about. */
    readonly zoneOf: (key: string) => string | undefined;
    /** Time for which sums are kept, for each process that holds some of the budget. */
    readonly millisecondsPerHolder: number;
};

export type QuotaTotals = {
    /** True for the process that may hold the floors of a registered entry. */
    isRegistered(session: QuotaSession): boolean;
    /** Upper bound of what all other processes hold of a budget. */
    outstandingOfOthers(own: QuotaSession, budget: Budget, at: number): number;
    /** Fair portion of one process, its floor included, as if nothing had to be waited for. */
    fairPortion(own: QuotaSession, budget: Budget, at: number): number;
    /** Counts a change of what a process holds; needed after each change that adds to it. */
    recount(session: QuotaSession, key: string, at: number): void;
    /** Forgets all sums, or those of one budget, after changes that `recount` does not cover. */
    invalidate(key?: string): void;
};

type Plan = {
    /** What an active entry gets above its floor if it wants as much; Infinity when all wants fit. */
    readonly level: number;
    /** Headroom of each active entry when all wants fit. */
    readonly spare: number;
    /** Units above its floor that an idle entry keeps ready. */
    readonly standbys: ReadonlyMap<QuotaSession, number>;
    readonly portions: ReadonlyMap<QuotaSession, { readonly want: number; readonly portion: number }>;
};

type KeyTotals = {
    readonly expiresAt: number;
    /** Units that are counted for all processes. */
    sum: number;
    readonly plan: Plan;
};

/** Creates the sums, empty. */
export function createQuotaTotals(options: QuotaTotalsOptions): QuotaTotals {
    const { sessions, history, view, holdOf, zoneOf, millisecondsPerHolder } = options;
    const totalsByKey = new Map<string, KeyTotals>();

    const isRegistered = (session: QuotaSession) =>
        session.isCurrent && session.endedAt === undefined && view().entries.has(session.entry);

    const unreportedFloor = (entry: string, key: string) => history.largestFloorOf(entry, key, zoneOf(key));

    const outstandingOf = (session: QuotaSession, key: string, at: number) => {
        const holding = session.holdings.get(key);
        if (holding === undefined) {
            return 0;
        }
        const known = isRegistered(session) ? holding.floor : 0;
        // A report that may be older than this leadership says nothing of floors that the earlier leader gave since.
        const floor = isRegistered(session) && session.freshSince === undefined
            ? Math.max(known, unreportedFloor(session.entry, key))
            : known;
        return isLeaseOutstanding(session, holdOf(holding.unit), at) ? Math.max(holding.held, floor) : floor;
    };

    const countAll = (key: string, at: number) => {
        let sum = 0;
        sessions.holders(key).forEach(session => {
            const holding = session.holdings.get(key);
            if (holding !== undefined) {
                holding.counted = outstandingOf(session, key, at);
                sum += holding.counted;
            }
        });
        view().entries.forEach((_entry, name) => {
            const hasReported = sessions.current(name)?.holdings.has(key) ?? false;
            sum += hasReported ? 0 : unreportedFloor(name, key);
        });
        return sum;
    };

    const wantOf = (session: QuotaSession, budget: Budget) => {
        const wanted = session.holdings.get(budget.key)?.wanted ?? 0;
        return Math.max(0, wanted - history.floorOf(session.entry, budget, zoneOf(budget.key)));
    };

    const makePlan = (budget: Budget, at: number): Plan => {
        const { key, limit, unit } = budget;
        const floorOf = (name: string) => history.floorOf(name, budget, zoneOf(key));
        const isLive = (session: QuotaSession) => isLeaseOutstanding(session, holdOf(unit), at);
        // A cut-off entry may hold the floor of an older configuration; the others are about to take the new one over.
        const boundOf = (name: string) => {
            const session = sessions.current(name);
            const held = session === undefined || isLive(session) ? 0 : session.holdings.get(key)?.floor ?? 0;
            return Math.max(floorOf(name), held);
        };
        const floors = [...view().entries.keys()].reduce((sum, name) => sum + boundOf(name), 0);
        const candidates = [...sessions.holders(key)]
            .filter(session => isRegistered(session) && isLive(session))
            .sort((a, b) => a.entry < b.entry ? -1 : 1);
        const active = candidates.filter(session => (session.holdings.get(key)?.wanted ?? 0) > 0);
        const wants = active.map(session => wantOf(session, budget));
        const rest = Math.max(0, limit - floors);
        const level = computeMaxMinLevel(rest, wants);
        const spare = level === Infinity && active.length > 0
            ? (rest - wants.reduce((sum, want) => sum + want, 0)) * SPARE_SHARE / active.length
            : 0;
        const wholeSpare = unit === BudgetUnit.Concurrent ? Math.floor(spare) : spare;
        const unclaimed = level === Infinity
            ? rest - wants.reduce((sum, want) => sum + want, 0) - wholeSpare * active.length
            : 0;
        const shares = wants.map((want, index) =>
            floorOf(active[index]?.entry ?? "") + Math.min(want, level) + wholeSpare
        );
        // Whole requests must fit in each portion, because a fraction of a request cannot be used.
        const isRounded = level !== Infinity && unit !== BudgetUnit.BytesPerSecond;
        const portions = isRounded ? roundShares(shares) : shares;
        return {
            level,
            spare: wholeSpare,
            standbys: divideUnclaimed(unclaimed, key, candidates.filter(session => !active.includes(session))),
            portions: new Map(active.map((session, index) => {
                const floor = floorOf(session.entry);
                return [session, { want: wants[index] ?? 0, portion: Math.max(floor, portions[index] ?? 0) }];
            })),
        };
    };

    const totalsOf = (budget: Budget, at: number): KeyTotals => {
        const { key } = budget;
        const known = totalsByKey.get(key);
        if (known !== undefined && at < known.expiresAt) {
            return known;
        }
        const expiresAt = at + sessions.holders(key).size * millisecondsPerHolder;
        const totals = { expiresAt, sum: countAll(key, at), plan: makePlan(budget, at) };
        totalsByKey.set(key, totals);
        return totals;
    };

    return {
        isRegistered,
        outstandingOfOthers: (own, budget, at) =>
            totalsOf(budget, at).sum - (own.holdings.get(budget.key)?.counted ?? 0),
        fairPortion: (own, budget, at) => {
            const { level, spare, standbys, portions } = totalsOf(budget, at).plan;
            const floor = history.floorOf(own.entry, budget, zoneOf(budget.key));
            if ((own.holdings.get(budget.key)?.wanted ?? 0) === 0) {
                return floor + (standbys.get(own) ?? 0);
            }
            const want = wantOf(own, budget);
            const planned = portions.get(own);
            return planned?.want === want ? planned.portion : floor + Math.min(want, level) + spare;
        },
        recount: (session, key, at) => {
            const totals = totalsByKey.get(key);
            const holding = session.holdings.get(key);
            if (totals !== undefined && holding !== undefined) {
                const counted = outstandingOf(session, key, at);
                totals.sum += counted - holding.counted;
                holding.counted = counted;
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

/** Gives idle entries what they keep ready, in turn, until nothing is left. */
function divideUnclaimed(
    unclaimed: number,
    key: string,
    idle: readonly QuotaSession[],
): ReadonlyMap<QuotaSession, number> {
    const standbys = new Map<QuotaSession, number>();
    let rest = unclaimed;
    idle.forEach(session => {
        const units = Math.min(rest, session.holdings.get(key)?.standby ?? 0);
        if (units > 0) {
            standbys.set(session, units);
            rest -= units;
        }
    });
    return standbys;
}
