/**
 * Budgets for sending requests again, one for each service; their sum over all entries keeps the operators' bound.
 */
import { createRatioBudget, type RatioBudget } from "../../routing/ratio-budget.js";

/** Part of the allowed repeats that entries use; the rest covers differences between their windows. */
const BUDGET_SHARE = 0.7;

/** Repeats that an entry may send before it has had requests; few, as it does not know yet how many share the slack. */
const REPEATS_AT_START = 5;

/**
 * Creates the budgets. A budget starts nearly empty and is filled by requests, and what it may save is an even part of the
 * slack by the entries that are there now.
 *
 * @param options.share Repeats that a service may get, as a share of its requests.
 * @param options.slack Repeats that a service may get beyond the share, from all entries together.
 * @param options.entryCount Entries that share the slack, this one included, as it is now.
 * @returns A function that gives the budget of a service.
 */
export function createRetryBudgets(options: {
    readonly share: number;
    readonly slack: number;
    readonly entryCount: () => number;
}): (service: string) => RatioBudget {
    const budgets = new Map<string, RatioBudget>();
    const burst = () => Math.max(1, options.slack * BUDGET_SHARE / options.entryCount());
    return service => {
        const budget = budgets.get(service)
            ?? createRatioBudget(options.share * BUDGET_SHARE, burst, Math.min(REPEATS_AT_START, burst()));
        budgets.set(service, budget);
        return budget;
    };
}
