/**
 * All-or-nothing reservations in the budgets of one process. The caller provides the quota of each budget, so that the
 * leased quotas and the baselines share this code.
 */
import type { Clock } from "@hyssopfront/coordination";
import { type Admission, BudgetUnit, type Reservation } from "./admission.js";
import type { BudgetUsage } from "./budget-usage.js";

/** Equals the width of a bucket of the sliding window, because capacity becomes available as buckets expire. */
const CAPACITY_POLL_INTERVAL_MS = 10;
/** Absorbs rounding errors of quotas. Far below one unit. */
const ROUNDING_TOLERANCE = 1e-6;

export type Demand = { readonly key: string; readonly amount: number };

export type QuotaAdmissionOptions = {
    readonly clock: Clock;
    /** Returns the usage of a budget, or `undefined` for an unknown key. */
    readonly getUsage: (key: string) => BudgetUsage | undefined;
    /** Returns the quota of the process at a time, in units of the budget. */
    readonly getQuota: (usage: BudgetUsage, now: number) => number;
};

type UsageDemand = { readonly usage: BudgetUsage; readonly amount: number };

/**
 * Creates an admission that keeps the usage of each budget within its quota.
 *
 * @param options Clock, and the usage and quota of each budget.
 * @returns Admission for the request path.
 */
export function createQuotaAdmission(
    { clock, getUsage, getQuota }: QuotaAdmissionOptions,
): Admission {
    let waiters = 0;

    const availableCapacity = (usage: BudgetUsage, now: number) =>
        Math.max(0, getQuota(usage, now) - usage.used(now) + ROUNDING_TOLERANCE);

    const tryReserve = (demands: readonly Demand[]): Reservation | string => {
        const now = clock.monotonicMilliseconds();
        const resolved: UsageDemand[] = [];
        for (const { key, amount } of mergeByKey(demands)) {
            const usage = getUsage(key);
            if (usage === undefined) {
                return key;
            }
            resolved.push({ usage, amount });
        }
        const exhausted = resolved.filter(({ usage, amount }) => availableCapacity(usage, now) < amount);
        if (exhausted[0] !== undefined) {
            // Records the demand in each exhausted budget, so that one session renewal raises all their quotas.
            exhausted.forEach(({ usage, amount }) => usage.recordRejected(now, amount));
            return exhausted[0].usage.budget.key;
        }
        resolved.forEach(({ usage, amount }) => usage.acquire(now, amount));
        return createReservation(clock, resolved);
    };

    const available = (key: string) => {
        const usage = getUsage(key);
        if (usage === undefined) {
            return 0;
        }
        const capacity = availableCapacity(usage, clock.monotonicMilliseconds());
        return usage.budget.unit === BudgetUnit.BytesPerSecond ? capacity : Math.floor(capacity);
    };

    /** Acquires the bytes that fit now, at most an equal share of the capacity for each waiting request. */
    const acquirePart = (keys: readonly string[], bytes: number) => {
        const now = clock.monotonicMilliseconds();
        const usages = keys.map(getUsage).filter(usage => usage !== undefined);
        if (usages.length < keys.length) {
            return 0;
        }
        const capacity = Math.min(...usages.map(usage => availableCapacity(usage, now)));
        const part = Math.min(bytes, Math.floor(capacity / Math.max(1, waiters)));
        if (part > 0) {
            usages.forEach(usage => usage.acquire(now, part));
        }
        return part;
    };

    const waitForCapacity = async (keys: readonly string[], bytes: number, signal: AbortSignal) => {
        if (keys.length === 0) {
            return;
        }
        let remaining = bytes - acquirePart(keys, bytes);
        if (remaining <= 0) {
            return;
        }
        const adjustWaiting = (amount: number) => keys.forEach(key => getUsage(key)?.adjustWaiting(amount));
        waiters++;
        adjustWaiting(remaining);
        try {
            while (remaining > 0) {
                await clock.sleep(CAPACITY_POLL_INTERVAL_MS, signal);
                const part = acquirePart(keys, remaining);
                remaining -= part;
                adjustWaiting(-part);
            }
        }
        finally {
            waiters--;
            adjustWaiting(-remaining);
        }
    };

    const setQueuedDemand = (key: string, amount: number) =>
        getUsage(key)?.setQueuedDemand(clock.monotonicMilliseconds(), amount);

    const recordRejectedDemand = (demands: readonly Demand[]) =>
        demands.forEach(({ key, amount }) => getUsage(key)?.recordRejected(clock.monotonicMilliseconds(), amount));

    return {
        tryReserve,
        available,
        setQueuedDemand,
        recordRejectedDemand,
        waitForCapacity,
    };
}

function createReservation(clock: Clock, acquired: readonly UsageDemand[]): Reservation {
    let isHeld = true;
    return {
        release: () => {
            if (isHeld) {
                isHeld = false;
                const now = clock.monotonicMilliseconds();
                acquired.forEach(({ usage, amount }) => usage.release(now, amount));
            }
        },
    };
}

function mergeByKey(demands: readonly Demand[]): readonly Demand[] {
    const hasRepeatedKey = demands.some(({ key }, index) => demands.findIndex(other => other.key === key) !== index);
    if (!hasRepeatedKey) {
        return demands;
    }
    const sums = new Map<string, number>();
    demands.forEach(({ key, amount }) => sums.set(key, (sums.get(key) ?? 0) + amount));
    return [...sums].map(([key, amount]) => ({ key, amount }));
}
