/**
 * Retry budgets, one for each service, whose sum over all entries stays within the bound that operators have
 * configured.
 */
import { createRatioBudget, type RatioBudget } from "../../routing/ratio-budget.js";

/** Part of the allowed retries that entries use; the rest covers differences between their time windows. */
const BUDGET_SHARE = 0.7;

/**
 * Retries that an entry may send before its first requests; few, as it does not know yet how many entries share the
 * slack.
 */
const INITIAL_RETRIES = 5;

/**
 * Creates the budgets. A budget starts nearly empty and is filled by requests; its burst is the slack divided by the
 * current number of entries.
 *
 * @param options.share Retries that a service may get, as a share of its requests.
 * @param options.slack Retries that a service may get beyond the share, from all entries together.
 * @param options.entryCount Current number of entries that share the slack, this one included.
 * @returns A function that returns the budget of a service.
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
            ?? createRatioBudget(options.share * BUDGET_SHARE, burst, Math.min(INITIAL_RETRIES, burst()));
        budgets.set(service, budget);
        return budget;
    };
}
