/**
 * Computes the order in which callers of an availability zone should prefer the entries.
 */
import { hashText } from "../admission/budgets.js";
import type { ConfigurationView, RegisteredEntry } from "../configuration/configuration-view.js";
import { getRegion } from "../configuration/locations.js";
import type { YieldIfNeeded } from "./block-list.js";

/** An entry with the values that lookups need. */
export type OrderedEntry = {
    readonly entry: RegisteredEntry;
    /** Hash of the name, for rendezvous hashing. */
    readonly hash: number;
    /** Share of callers that no longer use the entry, 0 to 1. Lookups refresh it at intervals. */
    drainedShare: number;
};

/** Entries that callers prefer equally. */
export type EntryTier = readonly OrderedEntry[];

/** Tiers of entries for each service and availability zone. */
export type EntryOrder = {
    readonly entries: readonly OrderedEntry[];
    /** Returns the tiers in order of preference, or undefined for a service that is not declared. */
    tiers(service: string, availabilityZone: string): readonly EntryTier[] | undefined;
};

/**
 * Computes the order of entries for each service and caller availability zone. Entries in the caller's zone come first,
 * then those in its region, then those in other regions by descending capacity of the link to the region. Within a
 * region, availability zones in which the service has backend servers come first.
 *
 * Services in the same availability zones share one order, so that memory does not grow with the number of services.
 *
 * @param view Configuration that declares the services, zones, links and entries.
 * @param yieldIfNeeded Called between steps, so that a large configuration does not delay lookups.
 */
export async function computeEntryOrder(
    view: ConfigurationView,
    yieldIfNeeded: YieldIfNeeded,
): Promise<EntryOrder> {
    const entriesByZone = groupByZone(view);
    // The empty name stands for callers in no declared zone.
    const callerZones = view.availabilityZones.size === 0 ? [] : [...view.availabilityZones.keys(), ""];
    const ordersByZones = new Map<string, Map<string, readonly EntryTier[]>>();
    const ordersByService = new Map<string, Map<string, readonly EntryTier[]>>();
    for (const [service, { availabilityZones }] of view.services) {
        const zoneKey = [...availabilityZones].sort().join(",");
        const existing = ordersByZones.get(zoneKey);
        const order = existing ?? new Map<string, readonly EntryTier[]>();
        ordersByZones.set(zoneKey, order);
        ordersByService.set(service, order);
        for (const zone of existing === undefined ? callerZones : []) {
            order.set(zone, computeTiers(view, entriesByZone, new Set(availabilityZones), zone));
            await yieldIfNeeded();
        }
    }
    return {
        entries: [...entriesByZone.values()].flat(),
        tiers: (service, zone) => {
            const order = ordersByService.get(service);
            return order && (order.get(zone) ?? order.get("") ?? []);
        },
    };
}

function groupByZone(view: ConfigurationView): Map<string, OrderedEntry[]> {
    const groups = new Map<string, OrderedEntry[]>();
    view.entries.forEach(entry => {
        const group = groups.get(entry.availabilityZone) ?? [];
        groups.set(entry.availabilityZone, group);
        group.push({ entry, hash: hashText(entry.name), drainedShare: 0 });
    });
    return groups;
}

function computeTiers(
    view: ConfigurationView,
    entriesByZone: ReadonlyMap<string, OrderedEntry[]>,
    serviceZones: ReadonlySet<string>,
    callerZone: string,
): readonly EntryTier[] {
    const callerRegion = getRegion(view, callerZone);
    const computeRank = (zone: string) => {
        const region = getRegion(view, zone) ?? "";
        const serviceRank = serviceZones.has(zone) ? 0 : 1;
        if (zone === callerZone) {
            return [0, 0, 0];
        }
        return region === callerRegion
            ? [1, serviceRank, 0]
            : [2, -findLinkCapacity(view, callerRegion, region), serviceRank];
    };
    const tiers = new Map<string, { readonly rank: readonly number[]; readonly entries: OrderedEntry[] }>();
    entriesByZone.forEach((entries, zone) => {
        const rank = computeRank(zone);
        const tier = tiers.get(rank.join("/")) ?? { rank, entries: [] };
        tier.entries.push(...entries);
        tiers.set(rank.join("/"), tier);
    });
    return [...tiers.values()].sort((a, b) => compareRanks(a.rank, b.rank)).map(({ entries }) => entries);
}

function compareRanks(first: readonly number[], second: readonly number[]): number {
    const index = first.findIndex((value, position) => value !== second[position]);
    return index < 0 ? 0 : (first[index] ?? 0) - (second[index] ?? 0);
}

/** Returns the declared capacity of the link between two regions in bits per second, or 0 when there is none. */
function findLinkCapacity(view: ConfigurationView, from: string | undefined, to: string): number {
    if (from === undefined) {
        return 0;
    }
    const declared = view.regions.get(from)?.links.find(link => link.to === to)
        ?? view.regions.get(to)?.links.find(link => link.to === from);
    return declared?.bitsPerSecond ?? 0;
}
