/**
 * All-or-nothing reservations over the accounts of one process. What the process may use of each budget comes from
 * outside, so that leased portions and the baselines share this code.
 */
import type { Clock } from "@hyssopfront/coordination";
import { type Admission, BudgetUnit, type Reservation } from "./admission.js";
import type { BudgetUsage } from "./budget-usage.js";

/** Interval at which a wait for room looks again; the width of a bucket. */
const ROOM_POLL_MS = 10;
/** Absorbs rounding errors of portions; far below one unit. */
const ROUNDING = 1e-6;

export type Demand = { readonly key: string; readonly amount: number };

export type QuotaAdmissionOptions = {
    readonly clock: Clock;
    /** Account of a key; undefined for an unknown key. */
    readonly accountOf: (key: string) => BudgetUsage | undefined;
    /** Units that the process may use of the account's budget at this time. */
    readonly portionOf: (account: BudgetUsage, now: number) => number;
};

type AccountDemand = { readonly account: BudgetUsage; readonly amount: number };

/**
 * Creates the request path's view of a set of accounts.
 *
 * @returns An admission that never takes more than the portions allow.
 */
export function createQuotaAdmission({ clock, accountOf, portionOf }: QuotaAdmissionOptions): Admission {
    let waiters = 0;

    const roomOf = (account: BudgetUsage, now: number) =>
        Math.max(0, portionOf(account, now) - account.used(now) + ROUNDING);

    const tryReserve = (demands: readonly Demand[]): Reservation | string => {
        const now = clock.monotonicMilliseconds();
        const known: AccountDemand[] = [];
        for (const { key, amount } of mergeByKey(demands)) {
            const account = accountOf(key);
            if (account === undefined) {
                return key;
            }
            known.push({ account, amount });
        }
        const lacking = known.filter(({ account, amount }) => roomOf(account, now) < amount);
        if (lacking[0] !== undefined) {
            // Every lacking budget learns of the demand, so that portions of all of them grow in one renewal.
            lacking.forEach(({ account, amount }) => account.recordRejected(now, amount));
            return lacking[0].account.budget.key;
        }
        known.forEach(({ account, amount }) => account.acquire(now, amount));
        return createReservation(clock, known);
    };

    const available = (key: string) => {
        const account = accountOf(key);
        if (account === undefined) {
            return 0;
        }
        const room = roomOf(account, clock.monotonicMilliseconds());
        return account.budget.unit === BudgetUnit.BytesPerSecond ? room : Math.floor(room);
    };

    /** Takes the part of the bytes that fits now, at most an equal share among those that wait. */
    const takePart = (keys: readonly string[], bytes: number) => {
        const now = clock.monotonicMilliseconds();
        const accounts = keys.map(accountOf).filter(account => account !== undefined);
        if (accounts.length < keys.length) {
            return 0;
        }
        const room = Math.min(...accounts.map(account => roomOf(account, now)));
        const part = Math.min(bytes, Math.floor(room / Math.max(1, waiters)));
        if (part > 0) {
            accounts.forEach(account => account.acquire(now, part));
        }
        return part;
    };

    const waitForRoom = async (keys: readonly string[], bytes: number, signal: AbortSignal) => {
        if (keys.length === 0) {
            return;
        }
        let remaining = bytes - takePart(keys, bytes);
        if (remaining <= 0) {
            return;
        }
        const changeWaiting = (amount: number) => keys.forEach(key => accountOf(key)?.adjustWaiting(amount));
        waiters++;
        changeWaiting(remaining);
        try {
            while (remaining > 0) {
                await clock.sleep(ROOM_POLL_MS, signal);
                const part = takePart(keys, remaining);
                remaining -= part;
                changeWaiting(-part);
            }
        }
        finally {
            waiters--;
            changeWaiting(-remaining);
        }
    };

    const noteDemand = (key: string, amount: number) =>
        accountOf(key)?.setQueuedDemand(clock.monotonicMilliseconds(), amount);

    const noteRefused = (demands: readonly Demand[]) =>
        demands.forEach(({ key, amount }) => accountOf(key)?.recordRejected(clock.monotonicMilliseconds(), amount));

    return {
        tryReserve,
        available,
        setQueuedDemand: noteDemand,
        recordRejectedDemand: noteRefused,
        waitForCapacity: waitForRoom,
    };
}

function createReservation(clock: Clock, taken: readonly AccountDemand[]): Reservation {
    let isHeld = true;
    return {
        release: () => {
            if (isHeld) {
                isHeld = false;
                const now = clock.monotonicMilliseconds();
                taken.forEach(({ account, amount }) => account.release(now, amount));
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
