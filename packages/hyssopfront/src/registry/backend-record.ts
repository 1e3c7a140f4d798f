/**
 * What a backend server last said of itself, and which of two statements is newer.
 */
import { z } from "zod";
import { slowStartQuotasSchema } from "../slow-start/slow-start-quotas.js";

export enum BackendServerState {
    Ready = "ready",
    Draining = "draining",
    /** It said that it leaves for good. */
    Left = "left",
    /** It has not been heard of for too long. */
    Lost = "lost",
}

/** What a backend server says of itself. */
export const backendAnnouncementSchema = z.object({
    id: z.string(),
    service: z.string(),
    address: z.string(),
    port: z.number().int(),
    availabilityZone: z.string(),
    /** Requests that it processes at a time. */
    slots: z.number(),
    state: z.enum(BackendServerState),
    /** How much longer it stays cold, in milliseconds from when the record is read. */
    coldMilliseconds: z.number(),
    /** Unix milliseconds of its start by its own clock; tells a restart under the same id. */
    startedAt: z.number(),
    /** Number of the statement since its start. */
    sequence: z.number(),
});

export type BackendAnnouncement = z.infer<typeof backendAnnouncementSchema>;

export const backendRecordSchema = backendAnnouncementSchema.extend({
    /** Entries that may use it while it is cold, as the control instance that took the statement in has divided it. */
    coldPortions: slowStartQuotasSchema,
});

export type BackendRecord = z.infer<typeof backendRecordSchema>;

/** Follows every statement of a start, because none is made after leaving. */
export const FINAL_SEQUENCE = Number.MAX_SAFE_INTEGER;

const hasLeft = (record: BackendRecord) => record.state === BackendServerState.Left;
/** Of equal statements, the one that was drawn from silence follows the one that was heard. */
const rankAtSequence = (record: BackendRecord) => record.state === BackendServerState.Lost ? 1 : 0;

/** True when `next` was made after `held` by the same backend server, or concludes from its silence after it. */
export function isNewerRecord(next: BackendRecord, current: BackendRecord | undefined): boolean {
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
