/**
 * Peer requests between control instances, and from entries to control instances.
 */
import { z } from "zod";
import { entryReportSchema } from "../entry-selection/connected-entries.js";
import { feedReadRequestSchema } from "../feed/change-feed.js";
import { type BackendRecord, backendRecordSchema } from "../registry/backend-record.js";

/** Identifies this product in the handshake, which rejects other systems on the same addresses. */
export const GATEWAY_CLUSTER_ID = "hyssopfront-gateway";

/** Kinds of peer requests that a control instance handles. */
export enum ControlRequestKind {
    /** Message of the consensus protocol. */
    Consensus = "consensus",
    /** Forwards a catalog command to the leader. */
    Propose = "catalog.propose",
    /** Replicates records of backend servers to another control instance. */
    ReplicateRecords = "registry.share",
    /** Reads all records of a control instance. */
    PullRecords = "registry.pull",
    /** Long poll of an entry for changes. While it is open, the entry counts as connected. */
    ReadFeed = "feed.read",
    /** Reads the current values of keys of the feed. */
    ReadFeedValues = "feed.values",
    /** Requests tokens for the quotas of client accounts from the control leader, and returns unused ones. */
    LeaseTokens = "quota.lease",
    /** Reports a change in the state of an entry without waiting for its next poll. */
    ReportEntry = "entry.report",
}

const recordsSchema = z.object({ records: z.array(z.unknown()) });

/**
 * Parses replicated records of backend servers one by one, so that an invalid one does not keep the others from being
 * merged.
 *
 * @param onInvalid Called for each record that is left out.
 * @throws ZodError if the message has no list of records.
 */
export function parseRecords(payload: unknown, onInvalid: (error: Error) => void): readonly BackendRecord[] {
    return recordsSchema.parse(payload).records.flatMap(value => {
        const { success, data, error } = backendRecordSchema.safeParse(value);
        if (!success) {
            onInvalid(error);
        }
        return success ? [data] : [];
    });
}

/** Encoded catalog command. */
export const proposeRequestSchema = z.object({ command: z.instanceof(Uint8Array) });
/** Result of a catalog command. Without `error`, the command was accepted. */
export const proposeReplySchema = z.object({
    error: z.string().optional(),
    isSuperseded: z.boolean().optional(),
    isIncomplete: z.boolean().optional(),
});
/** Read of a feed, with the current state of the entry that reads it. */
export const readFeedRequestSchema = z.object({ entry: entryReportSchema, read: feedReadRequestSchema });

/** Keys in a change feed. `Item` and `BackendServer` are prefixes of item keys and backend server identifiers. */
export enum FeedKey {
    Item = "item/",
    BackendServer = "server/",
    /** Names of the control instances. */
    Members = "members",
    /** Number of entries connected to this control instance. */
    EntryCount = "entry-count",
}
