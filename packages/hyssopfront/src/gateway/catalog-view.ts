/**
 * The catalog as an entry sees it: the highest version of each item that any control instance has published.
 */
import { type CallerLimits, type Item, itemKey, ItemKind, type Route, type ServicePolicy } from "../catalog/items.js";
import { type AccountIndex, createAccountIndex } from "../client-accounts/account-index.js";

/**
 * Limits that apply until the limits of the operators arrive. They are generous, because a request that complies with
 * the operators' limits must not be rejected.
 */
export const DEFAULT_LIMITS: CallerLimits = {
    maximumHeaderBytes: 16_384,
    maximumBodyBytes: 64 * 1024 * 1024,
    headerTimeoutMilliseconds: 10_000,
    idleTimeoutMilliseconds: 60_000,
};

/** A route with its name and version in the catalog. */
export type NamedRoute = { readonly name: string; readonly version: number; readonly route: Route };

/** The current catalog of an entry. */
export type CatalogView = {
    /** Version of the known item with this key, or -Infinity if there is none. */
    getVersion(key: string): number;
    /** @returns True if the item is newer than the known one and was applied. */
    merge(item: Item): boolean;
    /** Route of the host with the longest prefix of the path; undefined if none matches. */
    findRoute(host: string, path: string): NamedRoute | undefined;
    getPolicy(service: string): ServicePolicy | undefined;
    limits(): CallerLimits;
    readonly accounts: AccountIndex;
    isEvacuated(availabilityZone: string): boolean;
    /** Changes whenever an evacuation begins or ends. */
    evacuationGeneration(): number;
    items(): readonly Item[];
    /** True before the first item. */
    readonly isEmpty: boolean;
};

/** Routes of one host by prefix, and the lengths of the prefixes, longest first, which are listed when they are needed. */
type HostRoutes = {
    readonly byPrefix: Map<string, readonly NamedRoute[]>;
    prefixLengths: readonly number[] | undefined;
};

/** Lists the different lengths of texts, longest first. */
const listLengths = (texts: readonly string[]) => [...new Set(texts.map(({ length }) => length))].sort((a, b) => b - a);

/** Creates an empty catalog with the default limits. */
export function createCatalogView(): CatalogView {
    const items = new Map<string, Item>();
    const routesByHost = new Map<string, HostRoutes>();
    const accounts = createAccountIndex();
    let limits = DEFAULT_LIMITS;
    let evacuationGeneration = 0;

    const removeRoute = (name: string, { host, pathPrefix }: Route) => {
        const routes = routesByHost.get(host);
        const others = routes?.byPrefix.get(pathPrefix)?.filter(namedRoute => namedRoute.name !== name) ?? [];
        if (routes === undefined) {
            return;
        }
        if (others.length > 0) {
            routes.byPrefix.set(pathPrefix, others);
            return;
        }
        routes.byPrefix.delete(pathPrefix);
        routes.prefixLengths = undefined;
        if (routes.byPrefix.size === 0) {
            routesByHost.delete(host);
        }
    };
    const addRoute = (namedRoute: NamedRoute) => {
        const { host, pathPrefix } = namedRoute.route;
        const routes = routesByHost.get(host) ?? { byPrefix: new Map(), prefixLengths: undefined };
        routes.byPrefix.set(pathPrefix, [...routes.byPrefix.get(pathPrefix) ?? [], namedRoute]);
        routes.prefixLengths = undefined;
        routesByHost.set(host, routes);
    };
    const getValue = (kind: ItemKind, name: string) => items.get(itemKey(kind, name))?.value;

    const getVersion = (key: string) => items.get(key)?.version ?? -Infinity;

    return {
        getVersion,
        merge: item => {
            const key = itemKey(item.kind, item.name);
            if (item.version <= getVersion(key)) {
                return false;
            }
            const previous = items.get(key)?.value;
            items.set(key, item);
            if (previous?.kind === ItemKind.Route) {
                removeRoute(item.name, previous.route);
            }
            if (item.value?.kind === ItemKind.Route) {
                addRoute({ name: item.name, version: item.version, route: item.value.route });
            }
            evacuationGeneration += item.kind === ItemKind.Evacuation ? 1 : 0;
            if (item.kind === ItemKind.ClientAccount) {
                accounts.set(
                    item.name,
                    item.value?.kind === ItemKind.ClientAccount ? item.value.account : undefined,
                );
            }
            if (item.kind === ItemKind.Limits) {
                limits = item.value?.kind === ItemKind.Limits ? item.value.limits : DEFAULT_LIMITS;
            }
            return true;
        },
        findRoute: (host, path) => {
            const routes = routesByHost.get(host);
            if (routes === undefined) {
                return undefined;
            }
            routes.prefixLengths ??= listLengths([...routes.byPrefix.keys()]);
            return routes.prefixLengths.map(length => routes.byPrefix.get(path.slice(0, length))?.[0])
                .find(namedRoute => namedRoute !== undefined);
        },
        getPolicy: service => {
            const value = getValue(ItemKind.Service, service);
            return value?.kind === ItemKind.Service ? value.policy : undefined;
        },
        limits: () => limits,
        accounts,
        isEvacuated: availabilityZone => {
            const value = getValue(ItemKind.Evacuation, availabilityZone);
            return value?.kind === ItemKind.Evacuation && value.isActive;
        },
        evacuationGeneration: () => evacuationGeneration,
        items: () => [...items.values()],
        get isEmpty() {
            return items.size === 0;
        },
    };
}
