/**
 * Messages with which entries pull announcements from each other.
 */
import { z } from "zod";
import { nameSchema } from "../resources/resource.js";
import { announcementSchema } from "./announcement.js";

/** Maximum number of backend servers that announce to one entry. Bounds the memory of announcements. */
export const MAXIMUM_BACKEND_SERVERS = 4_096;
/** Maximum number of tombstones at one entry. Each backend server may restart a few times within their lifetime. */
export const MAXIMUM_TOMBSTONES = 4 * MAXIMUM_BACKEND_SERVERS;

/**
 * Milliseconds from the receipt of an announcement to the arrival of the poll at the responding entry. Negative when
 * the announcement was received while the poll waited. Integers take a third of the bytes of floating-point numbers.
 */
const ageSchema = z.int();
const epochSchema = z.string().max(64);

/** A long poll for the changes after a version. */
export type PullAnnouncementsRequest = {
    /** Epoch of the responding entry to which `afterVersion` belongs. Undefined requests everything. */
    readonly epoch: string | undefined;
    readonly afterVersion: number;
    /** Longest time for which the responding entry waits for an urgent change. */
    readonly waitMilliseconds: number;
};

/** An announcement that the responding entry received directly. */
const pulledAnnouncementSchema = z.object({
    service: nameSchema,
    name: nameSchema,
    /** Identifies the announcement in later renewals. */
    id: z.int(),
    announcement: announcementSchema,
    ageMilliseconds: ageSchema,
});
export type PulledAnnouncement = z.infer<typeof pulledAnnouncementSchema>;

/** A renewal that changed only free slots and load. */
export type PulledRenewal = {
    readonly id: number;
    readonly ageMilliseconds: number;
    readonly freeSlots: number | undefined;
    /** 0 to 1, rounded to two decimals. */
    readonly load: number | undefined;
};

const pulledDepartureSchema = z.object({
    service: nameSchema,
    name: nameSchema,
    incarnation: z.string().max(64),
    ageMilliseconds: ageSchema,
});
/** Records that an incarnation of a backend server left. */
export type PulledDeparture = z.infer<typeof pulledDepartureSchema>;

/** The changes after the version of a request. */
export type PullAnnouncementsReply = {
    /** Changes when the responding entry restarts. */
    readonly epoch: string;
    readonly version: number;
    /** Announcements whose content changed after the requested version. */
    readonly announcements: readonly PulledAnnouncement[];
    readonly renewals: readonly PulledRenewal[];
    readonly departures: readonly PulledDeparture[];
};

// Requests, replies and renewals are encoded as tuples: each pair of entries polls twice a second, and field names made
// up most of the bytes of a poll. A later version may append elements.
const encodedRequestSchema = z.tuple(
    [epochSchema.or(z.undefined()), z.int().nonnegative(), z.number().nonnegative().max(10_000)],
    z.unknown(),
);
const encodedRenewalSchema = z.tuple(
    [z.int(), ageSchema, z.int().nonnegative().or(z.undefined()), z.int().min(0).max(100).or(z.undefined())],
    z.unknown(),
);
const encodedReplySchema = z.tuple([
    /** Undefined when the epoch equals that of the request. */
    epochSchema.or(z.undefined()),
    z.int().nonnegative(),
    z.array(encodedRenewalSchema).max(MAXIMUM_BACKEND_SERVERS),
    z.array(pulledAnnouncementSchema).max(MAXIMUM_BACKEND_SERVERS),
    z.array(pulledDepartureSchema).max(MAXIMUM_TOMBSTONES),
], z.unknown());
/** A request as the tuple that is sent. */
export type EncodedPullRequest = z.infer<typeof encodedRequestSchema>;
/** A reply as the tuple that is sent. */
export type EncodedPullReply = z.infer<typeof encodedReplySchema>;

/** Encodes a request for the wire. */
export const encodePullRequest = (request: PullAnnouncementsRequest): EncodedPullRequest => [
    request.epoch,
    request.afterVersion,
    request.waitMilliseconds,
];

/**
 * Validates and decodes a request.
 *
 * @throws ZodError when the payload is not a request.
 */
export function decodePullRequest(payload: unknown): PullAnnouncementsRequest {
    const [epoch, afterVersion, waitMilliseconds] = encodedRequestSchema.parse(payload);
    return { epoch, afterVersion, waitMilliseconds };
}

/**
 * Encodes a reply for the wire.
 *
 * @param knownEpoch Epoch of the request, which is omitted from the reply when it is the same.
 */
export const encodePullReply = (reply: PullAnnouncementsReply, knownEpoch: string | undefined): EncodedPullReply => [
    reply.epoch === knownEpoch ? undefined : reply.epoch,
    reply.version,
    reply.renewals.map(({ id, ageMilliseconds, freeSlots, load }) => [
        id,
        ageMilliseconds,
        freeSlots,
        load === undefined ? undefined : Math.round(load * 100),
    ]),
    [...reply.announcements],
    [...reply.departures],
];

/**
 * Validates and decodes a reply.
 *
 * @param knownEpoch Epoch of the request to which the payload replies.
 * @throws ZodError when the payload is not a reply.
 * @throws Error when neither the payload nor the request contains an epoch.
 */
export function decodePullReply(payload: unknown, knownEpoch: string | undefined): PullAnnouncementsReply {
    const [replyEpoch, version, renewals, announcements, departures] = encodedReplySchema.parse(payload);
    const epoch = replyEpoch ?? knownEpoch;
    if (epoch === undefined) {
        throw new Error("The reply to an initial pull contains no epoch.");
    }
    return {
        epoch,
        version,
        announcements,
        renewals: renewals.map(([id, ageMilliseconds, freeSlots, percent]) => ({
            id,
            ageMilliseconds,
            freeSlots,
            load: percent === undefined ? undefined : percent / 100,
        })),
        departures,
    };
}
