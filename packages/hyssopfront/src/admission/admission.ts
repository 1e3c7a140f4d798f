/**
 * Interface through which the request path reserves units of shared limits.
 */

/** Unit of a budget. Concurrent units stay in use until they are released. The other units are rates. */
export enum BudgetUnit {
    RequestsPerSecond = "requestsPerSecond",
    BytesPerSecond = "bytesPerSecond",
    Concurrent = "concurrent",
}

/** A limit that applies to all entries together. Each entry uses up to its quota of it. */
export type Budget = {
    /** For example `shift/evening/requests`, `link/hame/itasuomi` or `slots/stoc/die-3`. */
    readonly key: string;
    readonly unit: BudgetUnit;
    /** Total over all entries in requests per second, bytes per second or concurrent requests. */
    readonly limit: number;
};

/** Units acquired from budgets. Concurrent units stay in use until they are released. */
export type Reservation = {
    /** Releases the concurrent units. Further calls have no effect. */
    release(): void;
};

export type Admission = {
    /**
     * Acquires units from all of the budgets, or from none.
     *
     * @param demands Units to acquire from each budget.
     * @returns The reservation, or the key of the first budget without enough capacity.
     */
    tryReserve(demands: readonly { readonly key: string; readonly amount: number }[]): Reservation | string;
    /** Returns the units that can be acquired from the budget now, or 0 for an unknown key. */
    available(key: string): number;
    /**
     * Sets the units of a budget that queued requests need. The next session renewal requests them.
     *
     * @param key Key of the budget.
     * @param amount Units in addition to those in use, or 0 when no request is queued.
     */
    setQueuedDemand(key: string, amount: number): void;
    /**
     * Records the units that a request would have acquired if another budget had had enough capacity. The next session
     * renewal requests them.
     */
    recordRejectedDemand(demands: readonly { readonly key: string; readonly amount: number }[]): void;
    /** Acquires bytes that exceed a reservation, and waits until the budgets have capacity or the signal aborts. */
    waitForCapacity(keys: readonly string[], bytes: number, signal: AbortSignal): Promise<void>;
};
