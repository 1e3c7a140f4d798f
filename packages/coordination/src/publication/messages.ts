/**
 * Requests and replies between a publication and its followers.
 */
import { z } from "zod";

/** Longest key of an item, in characters. */
export const MAXIMUM_KEY_LENGTH = 512;
/** Longest wait of a long poll. */
export const MAXIMUM_WAIT_MS = 60_000;

/** Schema of `PublishedItem`. */
export const publishedItemSchema = z.object({
    key: z.string().max(MAXIMUM_KEY_LENGTH),
    /** Revision of the last change to the item. */
    revision: z.int().nonnegative(),
    /** Undefined when the item was deleted. */
    value: z.unknown(),
});
/** Value of a key in a publication. */
export type PublishedItem = z.infer<typeof publishedItemSchema>;

/** Schema of `SnapshotCursor`. */
export const snapshotCursorSchema = z.object({
    revision: z.int().nonnegative(),
    position: z.int().nonnegative(),
});
/** Position in a snapshot from which its next chunk is read. */
export type SnapshotCursor = z.infer<typeof snapshotCursorSchema>;

/** Schema of `PublicationReadRequest`. */
export const publicationReadRequestSchema = z.object({
    /** Revision up to which the reader holds all changes. */
    afterRevision: z.int().nonnegative(),
    /** Longest wait for a change. */
    waitMilliseconds: z.number().nonnegative().max(MAXIMUM_WAIT_MS),
    /** Position from which a snapshot is continued. */
    cursor: snapshotCursorSchema.optional(),
});
/** Request to read a publication, as a long poll. */
export type PublicationReadRequest = z.infer<typeof publicationReadRequestSchema>;

/** Content of a batch that is sent to a reader. */
export enum BatchKind {
    /** All changes after one revision up to another. */
    Delta = "delta",
    /** Part of the full state at one revision. */
    Snapshot = "snapshot",
}

/** Schema of `PublicationBatch`. */
export const publicationBatchSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal(BatchKind.Delta),
        afterRevision: z.int().nonnegative(),
        /** Revision of the reader after it applied the items; below `afterRevision` when the publication is behind. */
        revision: z.int().nonnegative(),
        /** In ascending order of their revisions. */
        items: z.array(publishedItemSchema),
    }),
    z.object({
        kind: z.literal(BatchKind.Snapshot),
        revision: z.int().nonnegative(),
        /** Number of items in the chunks before this one. */
        position: z.int().nonnegative(),
        items: z.array(publishedItemSchema),
        isLast: z.boolean(),
    }),
]);
/** Reply to a read: a delta, or a chunk of a snapshot. */
export type PublicationBatch = z.infer<typeof publicationBatchSchema>;
export type DeltaBatch = Extract<PublicationBatch, { kind: BatchKind.Delta }>;
export type SnapshotBatch = Extract<PublicationBatch, { kind: BatchKind.Snapshot }>;
