/**
 * Budgets that follow from a configuration view, the floors of the entries, and the home entries of backend servers.
 */
import type { ConfigurationView } from "../configuration/configuration-view.js";
import { regionOf } from "../configuration/places.js";
import { type Budget, BudgetUnit } from "./admission.js";

/** Share of a rate that is split evenly into floors. */
export const FLOOR_SHARE = 0.1;
const BITS_PER_BYTE = 8;

export const shiftRequestsKey = (shift: string) => `shift/${shift}/requests`;
export const shiftBytesKey = (shift: string) => `shift/${shift}/bytes`;
export const linkKey = (from: string, to: string) => `link/${from}/${to}`;
export const slotsKey = (service: string, backendServer: string) => `slots/${service}/${backendServer}`;
export const connectionsKey = (service: string, backendServer: string) => `connections/${service}/${backendServer}`;

/**
 * Derives the budgets that the view itself declares: caps of shifts and links. A link that only one of its two regions
 * declares has the same capacity in the other direction.
 *
 * @param view Configuration of one revision.
 * @returns Budgets by key.
 */
export function deriveBudgets(view: ConfigurationView): Map<string, Budget> {
    const budgets = new Map<string, Budget>();
    const add = (key: string, unit: BudgetUnit, limit: number) => budgets.set(key, { key, unit, limit });
    view.shifts.forEach(({ cap }, name) => {
        add(shiftRequestsKey(name), BudgetUnit.RequestsPerSecond, cap.requestsPerSecond);
        add(shiftBytesKey(name), BudgetUnit.BytesPerSecond, cap.bytesPerSecond);
    });
    view.regions.forEach(({ links }, from) =>
        links.forEach(({ to, bitsPerSecond }) => {
            add(linkKey(from, to), BudgetUnit.BytesPerSecond, bitsPerSecond / BITS_PER_BYTE);
            const isDeclaredBack = view.regions.get(to)?.links.some(link => link.to === from) ?? false;
            if (!isDeclaredBack) {
                add(linkKey(to, from), BudgetUnit.BytesPerSecond, bitsPerSecond / BITS_PER_BYTE);
            }
        })
    );
    return budgets;
}

/**
 * Derives the budget of a key that names a backend server.
 *
 * @returns The budget, or undefined when the key is not one of slots or the service is not declared.
 */
export function deriveSlotsBudget(view: ConfigurationView, key: string): Budget | undefined {
    const [kind, service] = key.split("/");
    const spec = kind === "slots" ? view.services.get(service ?? "") : undefined;
    return spec && { key, unit: BudgetUnit.Concurrent, limit: spec.slotsPerBackendServer };
}

/**
 * Share of the connections to one backend server that each entry may open.
 *
 * @returns Whole connections, at least 1; 0 for a service that is not declared.
 */
export function connectionShare(view: ConfigurationView, service: string): number {
    const limit = view.services.get(service)?.connectionsPerBackendServer ?? 0;
    return limit === 0 ? 0 : Math.max(1, Math.floor(limit / Math.max(1, view.entries.size)));
}

/**
 * Units of a budget that the entry holds without a lease while it is registered.
 *
 * @param availabilityZone Availability zone of the backend server, for slots.
 * @returns Units of the floor; 0 for an entry that is not registered.
 */
export function floorOf(view: ConfigurationView, entry: string, budget: Budget, availabilityZone?: string): number {
    if (!view.entries.has(entry)) {
        return 0;
    }
    if (budget.unit !== BudgetUnit.Concurrent) {
        const share = budget.limit * FLOOR_SHARE / view.entries.size;
        // A part of a request cannot be used, and on the floors of all entries it would be lost to those that need it.
        return budget.unit === BudgetUnit.RequestsPerSecond ? Math.floor(share) : share;
    }
    return findFloorHolder(view, budget.key, availabilityZone) === entry ? Math.floor(budget.limit / 2) : 0;
}

/**
 * Entry that holds the floor of a backend server's slots: the one with the highest hash among the entries of the
 * backend server's region, so that an entry that comes or goes moves only its own homes.
 *
 * @returns Name of the entry; undefined when the region is not known or has no entry.
 */
export function findFloorHolder(view: ConfigurationView, key: string, availabilityZone?: string): string | undefined {
    const region = availabilityZone === undefined ? undefined : regionOf(view, availabilityZone);
    if (region === undefined) {
        return undefined;
    }
    const candidates = [...view.entries.values()].filter(entry => regionOf(view, entry.availabilityZone) === region);
    return candidates.map(({ name }) => ({ name, score: hashText(`${key}|${name}`) }))
        .sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1))[0]?.name;
}

/** FNV-1a with a final mix, because FNV alone leaves the high bits of texts with a common prefix alike. */
export function hashText(text: string): number {
    let hash = 0x811c9dc5;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
    }
    hash = Math.imul(hash ^ hash >>> 16, 0x85ebca6b);
    hash = Math.imul(hash ^ hash >>> 13, 0xc2b2ae35);
    return (hash ^ hash >>> 16) >>> 0;
}
