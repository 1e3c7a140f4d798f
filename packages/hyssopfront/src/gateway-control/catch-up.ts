/**
 * Waits at the start of a control instance until it has all commands that were acknowledged before.
 */
import type { Clock } from "@hyssopfront/coordination";
import { errorFields, EventLevel, type EventLog } from "../event-log/event-log.js";
import type { ChangeFeed } from "../feed/change-feed.js";
import { rejectOnAbort } from "./calls-in-progress.js";
import type { CatalogGroup } from "./catalog-group.js";

/** Pause before an instance retries to catch up with the commands acknowledged before its start, in milliseconds. */
const CATCH_UP_RETRY_PAUSE_MS = 200;
/** Deadline of one attempt to catch up, in milliseconds. */
const CATCH_UP_DEADLINE_MS = 2_000;

/** Marks the feed as complete once the catalog is, and retries until then or until the signal aborts. */
export async function catchUpWithCatalog(
    { clock, log, catalog, feed, announced }: {
        readonly clock: Clock;
        readonly log: EventLog;
        readonly catalog: CatalogGroup;
        readonly feed: ChangeFeed;
        /** Resolves once the feed has all items that the catalog has now. */
        readonly announced: () => Promise<void>;
    },
    signal: AbortSignal,
): Promise<void> {
    while (!signal.aborted && !feed.isComplete) {
        try {
            await rejectOnAbort(signal, () => catalog.catchUp(CATCH_UP_DEADLINE_MS));
            await rejectOnAbort(signal, announced);
            feed.markComplete();
            log(EventLevel.Info, "catalog complete", { items: catalog.items().length });
        }
        catch (error) {
            log(EventLevel.Warning, "catching up with the catalog failed", errorFields(error));
            await clock.sleep(CATCH_UP_RETRY_PAUSE_MS, signal).catch(() => undefined);
        }
    }
}
