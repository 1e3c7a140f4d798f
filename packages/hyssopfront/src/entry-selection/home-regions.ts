/**
 * Index of the regions that the routes of a host are restricted to.
 */
import { type Item, ItemKind } from "../catalog/items.js";

/** Home regions by host. */
export type HomeRegionIndex = {
    /** Returns each region that routes of the host are restricted to, or an empty array when none is restricted. */
    find(host: string): readonly string[];
    /** Discards the index, so that the next `find` rebuilds it from the items. */
    invalidate(): void;
};

/** Creates an index, because every entry lookup needs the home regions of its host. */
export function createHomeRegionIndex(items: () => readonly Item[]): HomeRegionIndex {
    let byHost: Map<string, readonly string[]> | undefined;
    const buildIndex = () => {
        // Sets, because thousands of routes of one host have the same few regions.
        const indexed = new Map<string, Set<string>>();
        items().forEach(({ value }) => {
            if (value?.kind === ItemKind.Route && value.route.homeRegions.length > 0) {
                const { host, homeRegions } = value.route;
                const regions = indexed.get(host) ?? new Set();
                homeRegions.forEach(region => regions.add(region));
                indexed.set(host, regions);
            }
        });
        return new Map([...indexed].map(([host, regions]) => [host, [...regions]]));
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
