/**
 * Leased portions of shared limits, as the request path sees them.
 */

export enum BudgetUnit {
    RequestsPerSecond = "requestsPerSecond",
    BytesPerSecond = "bytesPerSecond",
    Concurrent = "concurrent",
}

/** A limit that all entries share. */
export type Budget = {
    /** Such as `shift/evening/requests`, `link/hame/itasuomi` or `slots/stoc/die-3`. */
    readonly key: string;
    readonly unit: BudgetUnit;
    /** Total over all entries: requests or bytes a second, or requests at the same time. */
    readonly limit: number;
};

/** Units taken from budgets; a concurrent unit is held until it is released. */
export type Reservation = {
    /** Gives concurrent units back. Calling it again does nothing. */
    release(): void;
};

export type Admission = {
    /**
     * Takes units from all of the budgets, or from none.
     *
     * @returns The reservation, or the key of the first budget without room.
     */
    tryReserve(demands: readonly { readonly key: string; readonly amount: number }[]): Reservation | string;
    /** Units that could be taken from the budget now; 0 for an unknown key. */
    available(key: string): number;
    /**
     * Replaces the number of units of the budget that requests wait for, so that the next renewal asks for them.
     *
     * @param amount Units beyond those in use; 0 when none wait any more.
     */
    setQueuedDemand(key: string, amount: number): void;
    /** Notes units that a request would have taken if another limit had room, so that the next renewal asks for them. */
    recordRejectedDemand(demands: readonly { readonly key: string; readonly amount: number }[]): void;
    /** Waits until bytes over a reservation fit in the budgets, at most until the signal aborts. */
    waitForCapacity(keys: readonly string[], bytes: number, signal: AbortSignal): Promise<void>;
};
