/**
 * Items that operators configure for the gateway. Routes, services, client accounts, limits and evacuations each have
 * their own version.
 */
import type { ClientAccount } from "../client-accounts/client-account.js";

/** Kinds of catalog items. */
export enum ItemKind {
    Route = "route",
    Service = "service",
    ClientAccount = "client-account",
    Limits = "limits",
    /** Whether an availability zone is evacuated, so that its backend servers receive no requests. */
    Evacuation = "evacuation",
}

/** Service of a route. `weight` is its proportion of the route's requests. */
export type WeightedService = { readonly service: string; readonly weight: number };

/** Route from a host and a path prefix to services. */
export type Route = {
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    /** True when a request may be executed more than once. */
    readonly isIdempotent: boolean;
    /** Maximum time that a caller waits for the response, in milliseconds. */
    readonly timeoutMilliseconds: number;
    /** Target time for a response, in milliseconds. */
    readonly latencyObjectiveMilliseconds: number;
    /** 0 is the highest priority. */
    readonly priority: number;
    /** At least one. Requests are split in proportion to the weights. */
    readonly services: readonly WeightedService[];
    /** Maximum number of backend servers that one request is sent to. */
    readonly maximumAttempts: number;
    /** True when a backend server responds faster for an object that it has processed recently. */
    readonly hasAffinity: boolean;
    /** True when requests need no API key although there are client accounts. Undefined in items of earlier releases. */
    readonly allowsAnonymous?: boolean;
    /** Regions that may serve the route; empty when all may. */
    readonly homeRegions: readonly string[];
};

/** Policy for the backend servers of a service. */
export type ServicePolicy = {
    readonly healthPath: string;
    /** Connections that one backend server accepts from all of its clients together. */
    readonly maximumConnections: number;
    /** Duration of the slow start of a backend server, in milliseconds. */
    readonly coldStartMilliseconds: number;
    /** Requests per second that all entries together may send to a backend server during its slow start. */
    readonly coldRequestsPerSecond: number;
};

/** Limits for the requests and connections of callers. */
export type CallerLimits = {
    readonly maximumHeaderBytes: number;
    readonly maximumBodyBytes: number;
    /** Time within which the headers of a request must be received, in milliseconds. */
    readonly headerTimeoutMilliseconds: number;
    /** Time after which an idle caller connection is closed, in milliseconds. */
    readonly idleTimeoutMilliseconds: number;
};

/** Content of an item, by its kind. */
export type ItemValue =
    | { readonly kind: ItemKind.Route; readonly route: Route }
    | { readonly kind: ItemKind.Service; readonly policy: ServicePolicy }
    | { readonly kind: ItemKind.ClientAccount; readonly account: ClientAccount }
    | { readonly kind: ItemKind.Limits; readonly limits: CallerLimits }
    | { readonly kind: ItemKind.Evacuation; readonly isActive: boolean };

/** One version of an item. `value` is undefined when the item is deleted. */
export type Item = {
    readonly kind: ItemKind;
    readonly name: string;
    readonly version: number;
    readonly value: ItemValue | undefined;
    /** Item as sent by the operator, as JSON, returned on reads. Undefined for deletions and evacuations. */
    readonly source: string | undefined;
};

/** Returns the key of an item, unique across all kinds. */
export const itemKey = (kind: ItemKind, name: string) => `${kind}/${name}`;
