/**
 * Record of the last announcement of a backend server, and the order of two records.
 */
import { z } from "zod";
import { slowStartQuotasSchema } from "../slow-start/slow-start-quotas.js";

/** State of a backend server in its record. */
export enum BackendServerState {
    Ready = "ready",
    Draining = "draining",
    /** It announced its departure, which is final until it restarts. */
    Left = "left",
    /** Its announcements have timed out. */
    Lost = "lost",
}

/** Announcement that a backend server sends about itself. */
export const backendAnnouncementSchema = z.object({
    id: z.string(),
    service: z.string(),
    address: z.string(),
    port: z.number().int(),
    availabilityZone: z.string(),
    /** Requests that it processes concurrently. */
    slots: z.number(),
    state: z.enum(BackendServerState),
    /** Remaining time of its slow start, in milliseconds from when the record is read. */
    coldMilliseconds: z.number(),
    /** Time of its start by its own clock, in Unix milliseconds. Distinguishes restarts under the same id. */
    startedAt: z.number(),
    /** Sequence number of the announcement since its start. */
    sequence: z.number(),
});

export type BackendAnnouncement = z.infer<typeof backendAnnouncementSchema>;

/** Announcement with the slow-start quotas. */
export const backendRecordSchema = backendAnnouncementSchema.extend({
    /** Slow-start quotas that the control instance that received the announcement has allocated. */
    coldPortions: slowStartQuotasSchema,
});

export type BackendRecord = z.infer<typeof backendRecordSchema>;

/** Sequence number of a departure. It is higher than any other, because no announcement follows a departure. */
export const FINAL_SEQUENCE = Number.MAX_SAFE_INTEGER;

const hasLeft = (record: RecordVersion) => record.state === BackendServerState.Left;
/** At the same sequence number, a record that was marked as lost after a timeout follows the announced one. */
const rankAtSequence = (record: RecordVersion) => record.state === BackendServerState.Lost ? 1 : 0;

/** The part of a record that determines its order among the records of one backend server. */
export const recordVersionSchema = backendAnnouncementSchema.pick({ startedAt: true, state: true, sequence: true });

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
