/**
 * Resources that operators declare, and the schemas that validate them.
 */
import { isIP } from "node:net";
import { z } from "zod";

/** Kinds of resources. */
export enum ResourceKind {
    Region = "Region",
    AvailabilityZone = "AvailabilityZone",
    Service = "Service",
    Shift = "Shift",
    Drain = "Drain",
}

/** Path segment of each kind in the operator API. */
export const COLLECTION_NAMES: Readonly<Record<ResourceKind, string>> = {
    [ResourceKind.Region]: "regions",
    [ResourceKind.AvailabilityZone]: "availability-zones",
    [ResourceKind.Service]: "services",
    [ResourceKind.Shift]: "shifts",
    [ResourceKind.Drain]: "drains",
};

/** How often a request may be sent to backend servers. */
export enum RequestClass {
    /** Any number of times, so it can be retried. */
    Idempotent = "idempotent",
    /** At most once. */
    RunOnce = "runOnce",
}

export const MAXIMUM_NAME_LENGTH = 63;
export const MAXIMUM_RESOURCES_PER_KIND = 10_000;
/** Maximum number of client blocks of one availability zone. 780,000 blocks over 26 availability zones stay well below this limit. */
export const MAXIMUM_CLIENT_BLOCKS = 100_000;

/** Name of a resource, an instance, a tenant or a backend server. */
export const nameSchema = z.string().max(MAXIMUM_NAME_LENGTH)
    .regex(/^[a-z0-9]([a-z0-9-]*[a-z0-9])?$/, "Use lower case letters, digits and inner hyphens.");

const clientBlockSchema = z.string().refine(isClientBlock, "Use an IPv4 or IPv6 block such as 10.1.0.0/16.");

function isClientBlock(text: string): boolean {
    const [address, length, ...rest] = text.split("/");
    const version = isIP(address ?? "");
    if (version === 0 || length === undefined || rest.length > 0 || !/^\d{1,3}$/.test(length)) {
        return false;
    }
    return Number(length) <= (version === 4 ? 32 : 128);
}

const locationSchema = z.union([
    z.strictObject({ region: nameSchema }),
    z.strictObject({ availabilityZone: nameSchema }),
]);
/** A region or an availability zone, by name. */
export type Location = z.infer<typeof locationSchema>;

export const regionSpecSchema = z.strictObject({
    links: z.array(z.strictObject({ to: nameSchema, bitsPerSecond: z.number().positive() })).max(64).default([]),
});
/** Spec of a region: its links to other regions. */
export type RegionSpec = z.infer<typeof regionSpecSchema>;

export const availabilityZoneSpecSchema = z.strictObject({
    region: nameSchema,
    clientBlocks: z.array(clientBlockSchema).max(MAXIMUM_CLIENT_BLOCKS).default([]),
});
/** Spec of an availability zone: its region and the address blocks of its clients. */
export type AvailabilityZoneSpec = z.infer<typeof availabilityZoneSpecSchema>;

export const serviceSpecSchema = z.strictObject({
    availabilityZones: z.array(nameSchema).min(1).max(256),
    /** Maximum number of requests in flight to one backend server from all entries together. */
    slotsPerBackendServer: z.int().positive().max(100_000),
    /** Maximum number of connections to one backend server, which is divided equally among the entries. */
    connectionsPerBackendServer: z.int().positive().max(100_000).default(330),
    /** Rules for the class of a request, of which the first that matches applies. */
    classes: z.array(z.strictObject({
        method: z.string().regex(/^[A-Z]+$/).optional(),
        pathPrefix: z.string().startsWith("/").default("/"),
        class: z.enum(RequestClass),
    })).max(64).default([]),
    /** Class of requests that no rule matches. Without it, GET and HEAD are idempotent and all others run-once. */
    defaultClass: z.enum(RequestClass).optional(),
    /** Expected size of a response, in bytes. Reserved in budgets before the actual size is known. */
    answerBytesEstimate: z.int().positive().default(8_192),
    /** Time for which a client may reuse the response to a lookup. */
    timeToLiveSeconds: z.int().positive().max(3_600).default(5),
});
/** Spec of a service: its availability zones, the limits per backend server and the classes of its requests. */
export type ServiceSpec = z.infer<typeof serviceSpecSchema>;

export const shiftSpecSchema = z.strictObject({
    service: nameSchema,
    from: locationSchema,
    to: locationSchema,
    /** Percentage of the requests from the location `from` that are shifted. */
    percent: z.number().min(0).max(100),
    /** Maximum load that all entries together may shift. */
    cap: z.strictObject({
        requestsPerSecond: z.number().nonnegative(),
        bytesPerSecond: z.number().nonnegative(),
    }),
});
/** Spec of a shift, which moves a part of a service's load from one location to another up to a cap. */
export type ShiftSpec = z.infer<typeof shiftSpecSchema>;

export const drainSpecSchema = z.strictObject({
    target: z.union([
        z.strictObject({ backendServer: z.strictObject({ service: nameSchema, name: nameSchema }) }),
        z.strictObject({ availabilityZone: nameSchema }),
        z.strictObject({ region: nameSchema }),
    ]),
    /** Time over which the load of the target is moved away. */
    paceSeconds: z.number().nonnegative().max(86_400).default(10),
    /** Time after which the drain is reported as overdue if it is not complete. */
    deadlineSeconds: z.number().positive().max(86_400).optional(),
});
/** Spec of a drain, which moves all load away from a backend server, an availability zone or a region. */
export type DrainSpec = z.infer<typeof drainSpecSchema>;

/** Type of the spec of each kind. */
export type SpecByKind = {
    [ResourceKind.Region]: RegionSpec;
    [ResourceKind.AvailabilityZone]: AvailabilityZoneSpec;
    [ResourceKind.Service]: ServiceSpec;
    [ResourceKind.Shift]: ShiftSpec;
    [ResourceKind.Drain]: DrainSpec;
};

/** Schema of the spec of each kind. */
export const SPEC_SCHEMAS = {
    [ResourceKind.Region]: regionSpecSchema,
    [ResourceKind.AvailabilityZone]: availabilityZoneSpecSchema,
    [ResourceKind.Service]: serviceSpecSchema,
    [ResourceKind.Shift]: shiftSpecSchema,
    [ResourceKind.Drain]: drainSpecSchema,
} as const;

/** A declared resource, without its status. */
export type Resource<K extends ResourceKind = ResourceKind> = {
    readonly kind: K;
    readonly name: string;
    /** Number of changes of `spec`, starting at 1. */
    readonly generation: number;
    /** Revision of the last change of the resource. */
    readonly revision: number;
    readonly spec: SpecByKind[K];
};
