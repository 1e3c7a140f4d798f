/**
 * Baselines without leases, which benchmarks compare with the leased quotas.
 */
import type { Clock } from "@hyssopfront/coordination";
import type { ConfigurationSource } from "../../configuration/configuration-view.js";
import { type Admission, type Budget, BudgetUnit } from "../admission.js";
import { type BudgetUsage, createBudgetUsage } from "../budget-usage.js";
import { deriveBudgets, deriveSlotsBudget, hashText } from "../budgets.js";
import { createQuotaAdmission } from "../quota-admission.js";

export type FixedQuotasOptions = { readonly clock: Clock; readonly configuration: ConfigurationSource };

/**
 * Creates an admission that divides each limit equally among the entries. The limit is never exceeded, but a busy entry
 * cannot use the idle quota of the others.
 *
 * @param options Clock, configuration and name of the entry.
 * @returns Admission of one entry.
 */
export function createStaticQuotas(options: FixedQuotasOptions & { readonly entry?: string }): Admission {
    return createFixedQuotas(options, ({ key, unit, limit }) => {
        const entries = [...options.configuration.view().entries.keys()];
        const count = Math.max(1, entries.length);
        const position = (Math.max(0, entries.indexOf(options.entry ?? "")) + hashText(key)) % count;
        return unit === BudgetUnit.Concurrent ? countAssignedUnits(limit, position, count) : limit / count;
    });
}

/** Divides whole units round robin, because a backend server can have fewer slots than there are entries. */
const countAssignedUnits = (units: number, position: number, entries: number) =>
    Math.floor((units - position - 1) / entries) + 1;

/**
 * Creates an admission that gives each entry the whole limit. No capacity stays idle, but together the entries can exceed
 * the limit.
 *
 * @param options Clock and configuration.
 * @returns Admission of one entry.
 */
export function createUncoordinatedLimits(options: FixedQuotasOptions): Admission {
    return createFixedQuotas(options, ({ limit }) => limit);
}

function createFixedQuotas(
    { clock, configuration }: FixedQuotasOptions,
    getQuota: (budget: Budget) => number,
): Admission {
    const usages = new Map<string, BudgetUsage>();
    const getUsage = (key: string) => {
        const existing = usages.get(key);
        if (existing !== undefined) {
            return existing;
        }
        const view = configuration.view();
        const budget = deriveBudgets(view).get(key) ?? deriveSlotsBudget(view, key);
        if (budget === undefined) {
            return undefined;
        }
        const usage = createBudgetUsage(budget);
        usages.set(key, usage);
        return usage;
    };
    return createQuotaAdmission({ clock, getUsage, getQuota: ({ budget }) => getQuota(budget) });
}
