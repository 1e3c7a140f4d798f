/**
 * Record of the last announcement of a backend server, and the order of two records.
 */
import { isIPv4 } from "node:net";
import { z } from "zod";
import { slowStartQuotasSchema } from "../slow-start/slow-start-quotas.js";

/** Longest identifier or name in an announcement, in characters. */
const MAXIMUM_TEXT_LENGTH = 256;
const MAXIMUM_PORT = 65_535;
/** Most requests that a backend server may claim to process concurrently. One with more would attract most requests. */
const MAXIMUM_SLOTS = 10_000;
/** Longest slow start, in milliseconds: one hour. */
const MAXIMUM_COLD_MS = 3_600_000;
/** Latest start time: the year 2100, in Unix milliseconds. No later start could follow a larger one. */
const MAXIMUM_STARTED_AT = 4_102_444_800_000;
/** Highest sequence number of an announcement; at ten announcements a second, it lasts for years. */
const MAXIMUM_SEQUENCE = 2 ** 31 - 1;
/** Sequence number of a departure. It is higher than any other, because no announcement follows a departure. */
export const FINAL_SEQUENCE = Number.MAX_SAFE_INTEGER;

/** State of a backend server in its record. */
export enum BackendServerState {
    Ready = "ready",
    Draining = "draining",
    /** It announced its departure, which is final until it restarts. */
    Left = "left",
    /** Its announcements have timed out. */
    Lost = "lost",
}

const textSchema = z.string().max(MAXIMUM_TEXT_LENGTH);

/** Identifier of a backend server. */
export const backendIdSchema = textSchema.min(1);
/** Time of a start by the clock of the backend server, in Unix milliseconds. Distinguishes restarts under the same id. */
export const startedAtSchema = z.int().nonnegative().max(MAXIMUM_STARTED_AT);

/** Announcement that a backend server sends about itself. */
export const backendAnnouncementSchema = z.object({
    id: backendIdSchema,
    service: textSchema.min(1),
    address: z.string().refine(isIPv4, "The address is not an IPv4 address."),
    port: z.int().positive().max(MAXIMUM_PORT),
    availabilityZone: textSchema.min(1),
    /** Requests that it processes concurrently. */
    slots: z.int().positive().max(MAXIMUM_SLOTS),
    state: z.enum(BackendServerState),
    /** Remaining time of its slow start, in milliseconds from when the record is read. */
    coldMilliseconds: z.number().nonnegative().max(MAXIMUM_COLD_MS),
    startedAt: startedAtSchema,
    /** Sequence number of the announcement since its start. */
    sequence: z.int().nonnegative().max(MAXIMUM_SEQUENCE),
});

export type BackendAnnouncement = z.infer<typeof backendAnnouncementSchema>;

/** Departure of a backend server, of which nothing but its identifier and start may be known. */
const departureRecordSchema = backendAnnouncementSchema.extend({
    service: textSchema,
    address: textSchema,
    port: z.int().nonnegative().max(MAXIMUM_PORT),
    availabilityZone: textSchema,
    slots: z.int().nonnegative().max(MAXIMUM_SLOTS),
    state: z.literal(BackendServerState.Left),
    sequence: z.literal(FINAL_SEQUENCE),
    coldPortions: slowStartQuotasSchema,
});

const announcedRecordSchema = backendAnnouncementSchema.extend({
    /** Slow-start quotas that the control instance that received the announcement has allocated. */
    coldPortions: slowStartQuotasSchema,
});

/** Announcement or departure with the slow-start quotas. */
export const backendRecordSchema = z.union([announcedRecordSchema, departureRecordSchema]);

export type BackendRecord = z.infer<typeof backendRecordSchema>;

const hasLeft = (record: RecordVersion) => record.state === BackendServerState.Left;
/** At the same sequence number, a record that was marked as lost after a timeout follows the announced one. */
const rankAtSequence = (record: RecordVersion) => record.state === BackendServerState.Lost ? 1 : 0;

/** The part of a record that determines its order among the records of one backend server. */
export const recordVersionSchema = backendAnnouncementSchema.pick({ startedAt: true, state: true })
    .extend({ sequence: z.int().nonnegative() });

export type RecordVersion = z.infer<typeof recordVersionSchema>;

export const getRecordVersion = ({ startedAt, state, sequence }: BackendRecord): RecordVersion => ({
    startedAt,
    state,
    sequence,
});

/**
 * Determines whether a record supersedes another one of the same backend server.
 *
 * @param next Record that was received.
 * @param current Record that is held, or `undefined` when there is none.
 * @returns True when `next` is newer, or marks the backend server as lost after the announcement in `current`.
 */
export function isNewerRecord(next: RecordVersion, current: RecordVersion | undefined): boolean {
    if (current === undefined || next.startedAt !== current.startedAt) {
        return current === undefined || next.startedAt > current.startedAt;
    }
    if (hasLeft(current) || hasLeft(next)) {
        return hasLeft(next) && !hasLeft(current);
    }
    return next.sequence === current.sequence
        ? rankAtSequence(next) > rankAtSequence(current)
        : next.sequence > current.sequence;
}
