/**
 * Follows the change feeds of all known control instances. Each value has a version, so it does not matter which
 * instance delivers it first, and an instance that is partitioned or behind does no harm.
 */
import { type Clock, type Counters, dialPeer, type PeerClient, type PeerIdentity } from "@hyssopfront/coordination";
import type { EntryReport } from "../entry-selection/connected-entries.js";
import { errorFields, EventLevel, type EventLog } from "../event-log/event-log.js";
import { parseMemberName } from "../formation/member-peers.js";
import { ControlRequestKind } from "../gateway-control/messages.js";
import { type FeedBatch, feedBatchSchema } from "./change-feed.js";

/** Maximum wait of one long poll, in milliseconds. Its reply shows that the instance is alive. */
const READ_WAIT_MS = 4_000;
/** Time added to the wait of a read for its deadline, in milliseconds. */
const READ_DEADLINE_MARGIN_MS = 2_000;
/** Pause after a failed read, in milliseconds. Dialing has its own backoff. */
const FAILURE_PAUSE_MS = 100;
/** Deadline of a report, in milliseconds. */
const REPORT_DEADLINE_MS = 1_000;

/** Follower of several feeds. */
export type FeedFollower = {
    /** Sets the control instances to follow. Feeds that are already followed continue. */
    follow(names: readonly string[]): void;
    /** Sends the current state of this entry to all connected control instances. */
    report(): Promise<void>;
    /** Stops following all feeds and closes their connections. */
    close(): Promise<void>;
};

type FollowedFeed = { readonly client: PeerClient; readonly stopping: AbortController };

/**
 * Creates a follower without feeds.
 *
 * @param options.entry Returns the current state of this entry.
 * @param options.onBatch Called with each batch and the name of the control instance that sent it.
 */
export function createFeedFollower(options: {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly log: EventLog;
    readonly self: PeerIdentity;
    readonly entry: () => EntryReport;
    readonly onBatch: (batch: FeedBatch, name: string) => void;
}): FeedFollower {
    const { clock, counters, log } = options;
    const followed = new Map<string, FollowedFeed>();

    const run = async (name: string, { client, stopping }: FollowedFeed) => {
        let position = { feedId: "", afterPosition: 0 };
        while (!stopping.signal.aborted) {
            try {
                const read = { ...position, waitMilliseconds: READ_WAIT_MS };
                const payload = { entry: options.entry(), read };
                const reply = await client.call(
                    ControlRequestKind.ReadFeed,
                    payload,
                    READ_WAIT_MS + READ_DEADLINE_MARGIN_MS,
                );
                const batch = feedBatchSchema.parse(reply);
                position = { feedId: batch.feedId, afterPosition: batch.position };
                options.onBatch(batch, name);
            }
            catch (error) {
                counters.increment("feeds.failed_reads", 1, { peer: name });
                if (client.isConnected) {
                    log(EventLevel.Warning, "reading the feed failed", { peer: name, ...errorFields(error) });
                }
                await clock.sleep(FAILURE_PAUSE_MS, stopping.signal).catch(() => undefined);
            }
        }
    };

    const start = (name: string) => {
        const client = dialPeer({
            clock,
            counters,
            self: options.self,
            ...parseMemberName(name),
            expectedName: name,
            onStateChange: (remote, reason) =>
                remote === undefined
                    ? log(EventLevel.Warning, "control instance disconnected", { peer: name, ...errorFields(reason) })
                    : log(EventLevel.Info, "control instance connected", { peer: name }),
        });
        const feed: FollowedFeed = { client, stopping: new AbortController() };
        followed.set(name, feed);
        void run(name, feed);
    };

    const stop = async (name: string) => {
        const feed = followed.get(name);
        followed.delete(name);
        feed?.stopping.abort(new Error("The control instance is no longer followed."));
        await feed?.client.close();
    };

    return {
        follow: names => {
            names.filter(name => !followed.has(name)).forEach(start);
            [...followed.keys()].filter(name => !names.includes(name)).forEach(name => void stop(name));
        },
        report: async () => {
            await Promise.all(
                [...followed].filter(([, { client }]) => client.isConnected).map(([name, { client }]) =>
                    client.call(ControlRequestKind.ReportEntry, options.entry(), REPORT_DEADLINE_MS).catch((
                        error: unknown,
                    ) => log(EventLevel.Warning, "sending the entry report failed", {
                        peer: name,
                        ...errorFields(error),
                    }))
                ),
            );
        },
        close: async () => {
            await Promise.all([...followed.keys()].map(stop));
        },
    };
}
