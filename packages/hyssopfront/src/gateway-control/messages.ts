/**
 * Requests between control instances, and from entries to control instances.
 */
import { z } from "zod";
import { entryReportSchema } from "../entry-selection/connected-entries.js";
import { feedReadRequestSchema } from "../feed/change-feed.js";
import { backendRecordSchema } from "../registry/backend-record.js";

/** All instances of one deployment; other systems on the same addresses are refused in the handshake. */
export const GATEWAY_CLUSTER_ID = "hyssopfront-gateway";

export enum ControlRequestKind {
    Consensus = "consensus",
    /** Passes a catalog command to the leader. */
    Propose = "catalog.propose",
    /** Passes records of backend servers on to another control instance. */
    ShareRecords = "registry.share",
    /** Asks for all records of a control instance. */
    PullRecords = "registry.pull",
    /** Long poll of an entry for changes; keeps the entry listed. */
    ReadFeed = "feed.read",
    /** Tells at once that the state of an entry has changed. */
    ReportEntry = "entry.report",
}

export const recordsSchema = z.object({ records: z.array(backendRecordSchema) });
export const proposeRequestSchema = z.object({ command: z.instanceof(Uint8Array) });
export const proposeReplySchema = z.object({ error: z.string().optional() });
export const readFeedRequestSchema = z.object({ entry: entryReportSchema, read: feedReadRequestSchema });

/** Keys of a feed; items have the keys of the catalog under a prefix of their own. */
export enum FeedKey {
    Item = "item/",
    BackendServer = "server/",
    /** Names of the control instances. */
    Members = "members",
    /** Number of entries in contact with this control instance. */
    EntryCount = "entry-count",
}
