/**
 * Admission without leases, to measure the leased portions against.
 */
import type { Clock } from "@hyssopfront/coordination";
import type { ConfigurationSource } from "../../configuration/configuration-view.js";
import { type Admission, type Budget, BudgetUnit } from "../admission.js";
import { type BudgetUsage, createBudgetUsage } from "../budget-usage.js";
import { deriveBudgets, deriveSlotsBudget, hashText } from "../budgets.js";
import { createQuotaAdmission } from "../quota-admission.js";

export type FixedQuotasOptions = { readonly clock: Clock; readonly configuration: ConfigurationSource };

/**
 * Every entry uses an equal share of each limit: never too much, but a busy entry cannot use what others leave.
 *
 * @param options Clock, configuration and name of the entry.
 */
export function createStaticQuotas(options: FixedQuotasOptions & { readonly entry?: string }): Admission {
    return createFixedQuotas(options, ({ key, unit, limit }) => {
        const entries = [...options.configuration.view().entries.keys()];
        const count = Math.max(1, entries.length);
        const turn = (Math.max(0, entries.indexOf(options.entry ?? "")) + hashText(key)) % count;
        return unit === BudgetUnit.Concurrent ? countAssignedUnits(limit, turn, count) : limit / count;
    });
}

/** A backend server has fewer slots than there are entries, so its slots are dealt out whole, in turn. */
const countAssignedUnits = (units: number, turn: number, entries: number) =>
    Math.floor((units - turn - 1) / entries) + 1;

/**
 * Every entry uses each limit as if it were alone: nothing is left unused, but together the entries exceed the limit.
 *
 * @param options Clock and configuration of the entry.
 */
export function createUncoordinatedLimits(options: FixedQuotasOptions): Admission {
    return createFixedQuotas(options, ({ limit }) => limit);
}

function createFixedQuotas(
    { clock, configuration }: FixedQuotasOptions,
    portionOf: (budget: Budget) => number,
): Admission {
    const accounts = new Map<string, BudgetUsage>();
    const accountOf = (key: string) => {
        const known = accounts.get(key);
        if (known !== undefined) {
            return known;
        }
        const view = configuration.view();
        const budget = deriveBudgets(view).get(key) ?? deriveSlotsBudget(view, key);
        if (budget === undefined) {
            return undefined;
        }
        const account = createBudgetUsage(budget);
        accounts.set(key, account);
        return account;
    };
    return createQuotaAdmission({ clock, accountOf, portionOf: ({ budget }) => portionOf(budget) });
}
