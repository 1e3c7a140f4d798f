/**
 * Follows the feeds of all control instances that are known. Each value carries a version, so it does not matter which
 * instance tells it first, and an instance that is cut off or behind does no harm.
 */
import { type Clock, type Counters, dialPeer, type PeerClient, type PeerIdentity } from "@hyssopfront/coordination";
import type { EntryReport } from "../entry-selection/connected-entries.js";
import { errorFields, EventLevel, type EventLog } from "../event-log/event-log.js";
import { parseMemberName } from "../formation/member-peers.js";
import { ControlRequestKind } from "../gateway-control/messages.js";
import { type FeedBatch, feedBatchSchema } from "./change-feed.js";

/** Longest wait of one read, in milliseconds; its answer shows that the instance is alive. */
const READ_WAIT_MS = 4_000;
/** Allowance for a read beyond its wait, in milliseconds. */
const READ_DEADLINE_MARGIN_MS = 2_000;
/** Pause after a failed read, in milliseconds; dials have a back-off of their own. */
const FAILURE_PAUSE_MS = 100;
/** Longest wait for the answer to a report, in milliseconds. */
const REPORT_DEADLINE_MS = 1_000;

export type FeedFollower = {
    /** Sets the control instances to follow; instances that are followed already go on. */
    follow(names: readonly string[]): void;
    /** Tells all control instances the state of this entry now. */
    report(): Promise<void>;
    close(): Promise<void>;
};

type FollowedFeed = { readonly client: PeerClient; readonly stopping: AbortController };

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
                    log(EventLevel.Warning, "feed not read", { peer: name, ...errorFields(error) });
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
                    ? log(EventLevel.Warning, "control instance lost", { peer: name, ...errorFields(reason) })
                    : log(EventLevel.Info, "control instance reached", { peer: name }),
        });
        const feed: FollowedFeed = { client, stopping: new AbortController() };
        followed.set(name, feed);
        void run(name, feed);
    };

    const stop = async (name: string) => {
        const one = followed.get(name);
        followed.delete(name);
        one?.stopping.abort(new Error("The control instance is not followed any more."));
        await one?.client.close();
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
                    ) => log(EventLevel.Warning, "report not delivered", { peer: name, ...errorFields(error) }))
                ),
            );
        },
        close: async () => {
            await Promise.all([...followed.keys()].map(stop));
        },
    };
}
