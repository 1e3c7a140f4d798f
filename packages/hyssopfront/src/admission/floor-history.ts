/**
 * Quota floors that an entry may hold without having reported them. They can stem from any configuration since all
 * entries were last known to have applied the newest one.
 */
import type { ConfigurationView } from "../configuration/configuration-view.js";
import type { AvailabilityZoneSpec } from "../resources/resource.js";
import { type Budget, BudgetUnit } from "./admission.js";
import { deriveBudgets, deriveSlotsBudget, getFloor } from "./budgets.js";

/**
 * Limits the memory of a control instance that is a follower for days, because only the leader removes old versions. A
 * floor is counted too low only if its entry stays disconnected during more changes of limits or entries than this, and
 * the leader changes afterwards.
 */
const MAXIMUM_VERSIONS = 256;

type Version = { readonly view: ConfigurationView; readonly budgets: ReadonlyMap<string, Budget> };

export type FloorHistory = {
    /** Adds the next configuration. */
    apply(view: ConfigurationView): void;
    /** Removes all configurations except the newest one. */
    removeOldVersions(): void;
    /** Returns a budget in the newest configuration, or `undefined` when it is not declared. */
    getBudget(key: string): Budget | undefined;
    /** Returns the floor of an entry in the newest configuration. */
    getFloor(entry: string, budget: Budget, availabilityZone?: string): number;
    /** Returns the largest floor of an entry in any configuration of the history. */
    getLargestFloor(entry: string, key: string, availabilityZone?: string): number;
};

/** Creates a history that contains only the initial configuration. */
export function createFloorHistory(initial: ConfigurationView): FloorHistory {
    let versions: Version[] = [toVersion(initial)];
    let cache = new Map<string, number>();
    const newest = () => versions.at(-1) as Version;
    const budgetIn = ({ view, budgets }: Version, key: string) => budgets.get(key) ?? deriveSlotsBudget(view, key);

    const floorIn = (version: Version, entry: string, key: string, availabilityZone?: string) => {
        const budget = budgetIn(version, key);
        return budget === undefined ? 0 : getFloor(version.view, entry, budget, availabilityZone);
    };

    /** Caches floors until the next change, because the floor of slots requires a hash for each entry. */
    const cached = (name: string, compute: () => number) => {
        const cached = cache.get(name);
        if (cached !== undefined) {
            return cached;
        }
        const value = compute();
        cache.set(name, value);
        return value;
    };

    return {
        apply: view => {
            const version = toVersion(view);
            cache = new Map();
            versions = computeFingerprint(version) === computeFingerprint(newest())
                ? [...versions.slice(0, -1), version]
                : [...versions, version].slice(-MAXIMUM_VERSIONS);
        },
        removeOldVersions: () => {
            if (versions.length > 1) {
                versions = versions.slice(-1);
                cache = new Map();
            }
        },
        getBudget: key => budgetIn(newest(), key),
        getFloor: (entry, budget, availabilityZone) =>
            budget.unit === BudgetUnit.Concurrent
                ? cached(
                    `${entry}|${budget.key}|${availabilityZone}`,
                    () => getFloor(newest().view, entry, budget, availabilityZone),
                )
                : getFloor(newest().view, entry, budget),
        getLargestFloor: (entry, key, availabilityZone) =>
            cached(
                `largest|${entry}|${key}|${availabilityZone}`,
                () => Math.max(...versions.map(version => floorIn(version, entry, key, availabilityZone))),
            ),
    };
}

/** Keeps only the data that floors depend on. Client blocks would keep old lookup tables in memory. */
function toVersion(view: ConfigurationView): Version {
    const availabilityZones = new Map<string, AvailabilityZoneSpec>();
    view.availabilityZones.forEach(({ region }, name) => availabilityZones.set(name, { region, clientBlocks: [] }));
    const trimmed = { ...view, availabilityZones, regions: new Map(), shifts: new Map(), drains: new Map() };
    return { view: trimmed, budgets: deriveBudgets(view) };
}

function computeFingerprint({ view, budgets }: Version): string {
    return JSON.stringify([
        [...budgets.values()].map(({ key, limit }) => [key, limit]),
        [...view.services].map(([name, spec]) => [name, spec.slotsPerBackendServer]),
        [...view.entries.values()].map(({ name, availabilityZone }) => [name, availabilityZone]),
        [...view.availabilityZones].map(([name, { region }]) => [name, region]),
    ]);
}
