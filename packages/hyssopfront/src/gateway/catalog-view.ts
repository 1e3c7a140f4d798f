/**
 * The catalog as an entry sees it: the highest version of each item that any control instance has told.
 */
import { type CallerLimits, type Item, itemKey, ItemKind, type Route, type ServicePolicy } from "../catalog/items.js";

/** Limits in force until the operators' arrive: generous, since callers that keep to the real ones must not be cut. */
export const DEFAULT_LIMITS: CallerLimits = {
    maximumHeaderBytes: 16_384,
    maximumBodyBytes: 64 * 1024 * 1024,
    headerTimeoutMilliseconds: 10_000,
    idleTimeoutMilliseconds: 60_000,
};

export type NamedRoute = { readonly name: string; readonly version: number; readonly route: Route };

export type CatalogView = {
    /** @returns True when the item was newer than the one held. */
    merge(item: Item): boolean;
    /** Route with the longest prefix of the path among those of the host. */
    findRoute(host: string, path: string): NamedRoute | undefined;
    policyOf(service: string): ServicePolicy | undefined;
    limits(): CallerLimits;
    isEvacuated(availabilityZone: string): boolean;
    /** Changes whenever an evacuation begins or ends. */
    evacuationGeneration(): number;
    items(): readonly Item[];
};

/** Creates an empty view. */
export function createCatalogView(): CatalogView {
    const items = new Map<string, Item>();
    /** Routes of each host, those with longer prefixes first. */
    let routesByHost = new Map<string, readonly NamedRoute[]>();
    let isIndexCurrent = true;
    let limits = DEFAULT_LIMITS;
    let evacuationGeneration = 0;

    const indexRoutes = () => {
        const routes = [...items.values()].flatMap(({ name, version, value }) =>
            value?.kind === ItemKind.Route ? [{ name, version, route: value.route }] : []
        );
        routes.sort((a, b) => b.route.pathPrefix.length - a.route.pathPrefix.length);
        routesByHost = new Map();
        routes.forEach(named => {
            routesByHost.set(named.route.host, [...routesByHost.get(named.route.host) ?? [], named]);
        });
        isIndexCurrent = true;
    };
    const valueOf = (kind: ItemKind, name: string) => items.get(itemKey(kind, name))?.value;

    return {
        merge: item => {
            const key = itemKey(item.kind, item.name);
            if (item.version <= (items.get(key)?.version ?? -Infinity)) {
                return false;
            }
            items.set(key, item);
            isIndexCurrent &&= item.kind !== ItemKind.Route;
            evacuationGeneration += item.kind === ItemKind.Evacuation ? 1 : 0;
            if (item.kind === ItemKind.Limits) {
                limits = item.value?.kind === ItemKind.Limits ? item.value.limits : DEFAULT_LIMITS;
            }
            return true;
        },
        findRoute: (host, path) => {
            if (!isIndexCurrent) {
                indexRoutes();
            }
            return routesByHost.get(host)?.find(({ route }) => path.startsWith(route.pathPrefix));
        },
        policyOf: service => {
            const value = valueOf(ItemKind.Service, service);
            return value?.kind === ItemKind.Service ? value.policy : undefined;
        },
        limits: () => limits,
        isEvacuated: availabilityZone => {
            const value = valueOf(ItemKind.Evacuation, availabilityZone);
            return value?.kind === ItemKind.Evacuation && value.isActive;
        },
        evacuationGeneration: () => evacuationGeneration,
        items: () => [...items.values()],
    };
}
