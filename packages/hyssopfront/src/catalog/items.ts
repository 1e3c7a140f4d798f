/**
 * What operators declare for the gateway: routes, services, limits and evacuations, each with a version of its own.
 */

export enum ItemKind {
    Route = "route",
    Service = "service",
    Limits = "limits",
    /** Whether the backend servers of an availability zone are to be left alone. */
    Evacuation = "evacuation",
}

export type WeightedService = { readonly service: string; readonly weight: number };

export type Route = {
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    /** True when a request may run more than once. */
    readonly isIdempotent: boolean;
    /** Longest time that a caller is kept waiting, in milliseconds. */
    readonly timeoutMilliseconds: number;
    /** Time within which an answer is worth most, in milliseconds. */
    readonly latencyObjectiveMilliseconds: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** At least one; requests are split in the proportions of the weights. */
    readonly services: readonly WeightedService[];
    /** Backend servers that one request may run on at most. */
    readonly maximumAttempts: number;
    /** True when a backend server answers faster for an object that it has handled recently. */
    readonly hasAffinity: boolean;
    /** Regions that may serve the route; empty when all may. */
    readonly homeRegions: readonly string[];
};

export type ServicePolicy = {
    readonly healthPath: string;
    /** Connections that one backend server accepts from all callers together. */
    readonly maximumConnections: number;
    /** How long a backend server stays cold after its start, in milliseconds. */
    readonly coldStartMilliseconds: number;
    /** Requests a second that a cold backend server bears from all entries together. */
    readonly coldRequestsPerSecond: number;
};

export type CallerLimits = {
    readonly maximumHeaderBytes: number;
    readonly maximumBodyBytes: number;
    /** Time in which the headers of a request must arrive, in milliseconds. */
    readonly headerTimeoutMilliseconds: number;
    /** Time after which an idle connection of a caller is closed, in milliseconds. */
    readonly idleTimeoutMilliseconds: number;
};

export type ItemValue =
    | { readonly kind: ItemKind.Route; readonly route: Route }
    | { readonly kind: ItemKind.Service; readonly policy: ServicePolicy }
    | { readonly kind: ItemKind.Limits; readonly limits: CallerLimits }
    | { readonly kind: ItemKind.Evacuation; readonly isActive: boolean };

/** One version of an item; `value` is undefined once the item is dropped, and `source` is what the operator sent. */
export type Item = {
    readonly kind: ItemKind;
    readonly name: string;
    readonly version: number;
    readonly value: ItemValue | undefined;
    /** The operator's own form of the item, read back unchanged; undefined for drops and evacuations. */
    readonly source: unknown;
};

export const itemKey = (kind: ItemKind, name: string) => `${kind}/${name}`;
