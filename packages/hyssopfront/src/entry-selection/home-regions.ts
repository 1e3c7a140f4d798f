/**
 * Regions to which the routes of a host are bound.
 */
import { type Item, ItemKind } from "../catalog/items.js";

export type HomeRegionIndex = {
    /** Regions that some route of the host is bound to; empty when none is. */
    find(host: string): readonly string[];
    /** Makes the next question look at the items again. */
    invalidate(): void;
};

/** Answers from an index, since every look-up asks. */
export function createHomeRegionIndex(items: () => readonly Item[]): HomeRegionIndex {
    let byHost: Map<string, readonly string[]> | undefined;
    const buildIndex = () => {
        const indexed = new Map<string, readonly string[]>();
        items().forEach(({ value }) => {
            if (value?.kind === ItemKind.Route && value.route.homeRegions.length > 0) {
                const { host, homeRegions } = value.route;
                indexed.set(host, [...indexed.get(host) ?? [], ...homeRegions]);
            }
        });
        return indexed;
    };
    return {
        find: host => {
            byHost ??= buildIndex();
            return byHost.get(host) ?? [];
        },
        invalidate: () => {
            byHost = undefined;
        },
    };
}
