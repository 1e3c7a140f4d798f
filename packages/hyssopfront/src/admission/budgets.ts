/**
 * Budgets of a configuration view, and the quota floors of the entries.
 */
import type { ConfigurationView } from "../configuration/configuration-view.js";
import { getRegion } from "../configuration/locations.js";
import { type Budget, BudgetUnit } from "./admission.js";

/** Share of each rate limit that is divided equally into quota floors. */
export const FLOOR_SHARE = 0.1;
const BITS_PER_BYTE = 8;

export const shiftRequestsKey = (shift: string) => `shift/${shift}/requests`;
export const shiftBytesKey = (shift: string) => `shift/${shift}/bytes`;
export const linkKey = (from: string, to: string) => `link/${from}/${to}`;
export const slotsKey = (service: string, backendServer: string) => `slots/${service}/${backendServer}`;
export const connectionsKey = (service: string, backendServer: string) => `connections/${service}/${backendServer}`;

/**
 * Derives the budgets for the caps of shifts and for links between regions. A link that only one of its two regions
 * declares has the same capacity in both directions.
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
 * Derives the budget for the slots of a backend server.
 *
 * @param view Configuration of one revision.
 * @param key Key of the budget.
 * @returns The budget, or `undefined` when the key is of another kind or the service is not declared.
 */
export function deriveSlotsBudget(view: ConfigurationView, key: string): Budget | undefined {
    const [kind, service] = key.split("/");
    const spec = kind === "slots" ? view.services.get(service ?? "") : undefined;
    return spec && { key, unit: BudgetUnit.Concurrent, limit: spec.slotsPerBackendServer };
}

/**
 * Computes the number of connections that each entry can open to one backend server.
 *
 * @param view Configuration of one revision.
 * @param service Name of the service.
 * @returns At least 1 connection, or 0 for a service that is not declared.
 */
export function connectionShare(view: ConfigurationView, service: string): number {
    const limit = view.services.get(service)?.connectionsPerBackendServer ?? 0;
    return limit === 0 ? 0 : Math.max(1, Math.floor(limit / Math.max(1, view.entries.size)));
}

/**
 * Computes the quota floor of an entry: the units of a budget that the entry can use without a lease.
 *
 * @param view Configuration of one revision.
 * @param entry Name of the entry.
 * @param budget Budget of a rate or of slots.
 * @param availabilityZone Availability zone of the backend server. Only needed for slots.
 * @returns Units of the floor, or 0 for an entry that is not registered.
 */
export function getFloor(view: ConfigurationView, entry: string, budget: Budget, availabilityZone?: string): number {
    if (!view.entries.has(entry)) {
        return 0;
    }
    if (budget.unit !== BudgetUnit.Concurrent) {
        const share = budget.limit * FLOOR_SHARE / view.entries.size;
        // No entry can use a fraction of a request, and the fractions in all floors would reduce the usable limit.
        return budget.unit === BudgetUnit.RequestsPerSecond ? Math.floor(share) : share;
    }
    return findFloorHolder(view, budget.key, availabilityZone) === entry ? Math.floor(budget.limit / 2) : 0;
}

/**
 * Finds the entry that holds the quota floor of a backend server's slots. It is chosen by rendezvous hashing among the
 * entries in the backend server's region, so that an added or removed entry changes only its own floors.
 *
 * @param view Configuration of one revision.
 * @param key Key of the slots budget.
 * @param availabilityZone Availability zone of the backend server.
 * @returns Name of the entry, or `undefined` when the region is unknown or has no entry.
 */
export function findFloorHolder(view: ConfigurationView, key: string, availabilityZone?: string): string | undefined {
    const region = availabilityZone === undefined ? undefined : getRegion(view, availabilityZone);
    if (region === undefined) {
        return undefined;
    }
    const candidates = [...view.entries.values()].filter(entry => getRegion(view, entry.availabilityZone) === region);
    return candidates.map(({ name }) => ({ name, score: hashText(`${key}|${name}`) }))
        .sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1))[0]?.name;
}

/**
 * Computes a 32-bit hash of a text with FNV-1a and the finalizer of MurmurHash3. FNV-1a alone yields similar high bits
 * for texts with a common prefix.
 */
export function hashText(text: string): number {
    let hash = 0x811c9dc5;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
    }
    hash = Math.imul(hash ^ hash >>> 16, 0x85ebca6b);
    hash = Math.imul(hash ^ hash >>> 13, 0xc2b2ae35);
    return (hash ^ hash >>> 16) >>> 0;
}
