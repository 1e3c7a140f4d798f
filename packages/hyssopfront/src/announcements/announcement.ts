/**
 * Announcements: what a backend server reports about itself, and how other modules read it.
 */
import { isIP } from "node:net";
import { z } from "zod";
import { nameSchema } from "../resources/resource.js";

/** Lifetime of an announcement without renewal. Bounds how long a backend server gets new requests after it left. */
export const ANNOUNCEMENT_LIFETIME_MS = 2_000;
/** Interval at which backend servers are asked to renew their announcements. */
export const ANNOUNCEMENT_RENEWAL_MS = 500;

export const announcementSchema = z.strictObject({
    address: z.string().refine(text => isIP(text) !== 0, "Use an IP address."),
    port: z.int().min(1).max(65_535),
    availabilityZone: nameSchema,
    /** Differs for each start of the backend server. */
    incarnation: z.string().min(1).max(64),
    /** Number of requests that the backend server processes at once. */
    slots: z.int().positive().max(100_000),
    freeSlots: z.int().nonnegative().max(100_000).optional(),
    /** Utilization of the backend server, 0 to 1. */
    load: z.number().min(0).max(1).optional(),
    leaving: z.boolean().default(false),
});
/** A validated announcement. */
export type Announcement = z.infer<typeof announcementSchema>;

/** A backend server as its latest announcement describes it. */
export type AnnouncedBackendServer = Announcement & {
    readonly service: string;
    readonly name: string;
    /** Time on this entry's monotonic clock, in milliseconds, at which the announcement expires. */
    readonly validUntil: number;
    /** True when this entry received an announcement from the backend server directly. */
    readonly isDirect: boolean;
};

/** Source of the announcements that are valid now. Excludes backend servers that are leaving or have expired. */
export type AnnouncementSource = {
    /** Returns the backend servers of a service that may be used now. */
    backendServers(service: string): readonly AnnouncedBackendServer[];
    /** False when the server has since left, expired or announced another incarnation. Called before each dispatch. */
    isUsable(backendServer: AnnouncedBackendServer): boolean;
};
