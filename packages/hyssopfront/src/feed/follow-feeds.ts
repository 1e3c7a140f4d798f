/**
 * Follows the change feeds of all known control instances. Each value has a version, so it does not matter which
 * instance delivers it first, and an instance that is partitioned or behind does no harm.
 *
 * The nearest connected instance delivers the values. The others send only versions, and an instance is asked for a value
 * only if the nearest one has not delivered it in time, so that a change crosses to this entry once.
 */
import { type Clock, type Counters, dialPeer, type PeerClient, type PeerIdentity } from "@hyssopfront/coordination";
import type { EntryReport } from "../entry-selection/connected-entries.js";
import { errorFields, EventLevel, type EventLog } from "../event-log/event-log.js";
import { parseMemberName } from "../formation/member-peers.js";
import { ControlRequestKind } from "../gateway-control/messages.js";
import type { FeedBatch, FeedValue } from "./change-feed.js";
import { decodeBatch, decodeValues } from "./serve-feed.js";

/** Maximum wait of one long poll, in milliseconds. Its reply shows that the instance is alive. */
const READ_WAIT_MS = 4_000;
/** Time added to the wait of a read for its deadline, in milliseconds. */
const READ_DEADLINE_MARGIN_MS = 2_000;
/** Pause after a failed read, in milliseconds. Dialing has its own backoff. */
const FAILURE_PAUSE_MS = 100;
/** Deadline of a report, in milliseconds. */
const REPORT_DEADLINE_MS = 1_000;
/** Pause between two reads of values, in milliseconds, which collects changes into one reply. */
const VALUES_PAUSE_MS = 50;
/**
 * Time from the reply of a read of versions to the next read, in milliseconds, waits for the nearest instance included. A
 * control instance lists an entry without an open read for 1,500 ms.
 */
const VERSIONS_PAUSE_MS = 800;
/** Time for the nearest instance to deliver values whose versions are known, in milliseconds. */
const DELIVERY_GRACE_MS = 500;
/** Longest wait for the nearest instance while it still delivers, as a multiple of `DELIVERY_GRACE_MS`. */
const MAXIMUM_DELIVERY_WAITS = 20;

/** Follower of several feeds. */
export type FeedFollower = {
    /** Sets the control instances to follow. Feeds that are already followed continue. */
    follow(names: readonly string[]): void;
    /** Sends the current state of this entry to all connected control instances. */
    report(): Promise<void>;
    /** Names of the connected control instances, the nearest first. */
    connected(): readonly string[];
    /**
     * Calls one of the followed control instances on the connection of its feed.
     *
     * @throws Error if the instance is not followed, otherwise as `PeerClient.call`.
     */
    call(name: string, kind: string, payload: unknown, deadlineMilliseconds: number): Promise<unknown>;
    /** Stops following all feeds and closes their connections. */
    close(): Promise<void>;
};

type FollowedFeed = { readonly name: string; readonly client: PeerClient; readonly stopping: AbortController };

/**
 * Creates a follower without feeds.
 *
 * @param options.entry Returns the current state of this entry.
 * @param options.getDistance Rates how far away an instance is; values are read from the connected one with the least.
 * @param options.isMissing Returns true for a version that is newer than the known value.
 * @param options.onBatch Called with each batch and the name of the control instance that sent it.
 */
export function createFeedFollower(options: {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly log: EventLog;
    readonly self: PeerIdentity;
    readonly entry: () => EntryReport;
    readonly getDistance: (instance: PeerIdentity) => number;
    readonly isMissing: (feedValue: FeedValue) => boolean;
    readonly onBatch: (batch: FeedBatch, name: string) => void;
}): FeedFollower {
    const { clock, counters, log } = options;
    const followed = new Map<string, FollowedFeed>();

    const distanceOf = ({ client: { remote } }: FollowedFeed) =>
        remote === undefined ? Infinity : options.getDistance(remote);
    const findNearest = (): FollowedFeed | undefined =>
        [...followed.values()].reduce<{ feed?: FollowedFeed; distance: number }>((nearest, feed) => {
            const distance = distanceOf(feed);
            return distance < nearest.distance ? { feed, distance } : nearest;
        }, { distance: Infinity }).feed;

    const reportTo = async ({ name, client }: FollowedFeed) => {
        await client.call(ControlRequestKind.ReportEntry, options.entry(), REPORT_DEADLINE_MS).catch((
            error: unknown,
        ) => log(EventLevel.Warning, "sending the entry report failed", { peer: name, ...errorFields(error) }));
    };

    /** Gives the nearest instance time to deliver missing values. Returns those that are still missing. */
    const waitForDelivery = async (feed: FollowedFeed, versions: readonly FeedValue[]) => {
        let missing = versions.filter(options.isMissing);
        for (let waits = 0; missing.length > 0 && waits < MAXIMUM_DELIVERY_WAITS; waits += 1) {
            const nearest = findNearest();
            if (nearest === undefined || nearest === feed) {
                break;
            }
            if (waits > 0) {
                // No read is open meanwhile, so the instance would otherwise consider this entry disconnected.
                await reportTo(feed);
            }
            await clock.sleep(DELIVERY_GRACE_MS, feed.stopping.signal);
            const remaining = missing.filter(options.isMissing);
            if (remaining.length === missing.length) {
                break;
            }
            missing = remaining;
        }
        return missing;
    };

    const fetchValues = async (feed: FollowedFeed, missing: readonly FeedValue[]) => {
        const values: FeedValue[] = [];
        let keys = missing.map(({ key }) => key);
        while (keys.length > 0) {
            const reply = await feed.client.call(
                ControlRequestKind.ReadFeedValues,
                { keys },
                READ_DEADLINE_MARGIN_MS,
            );
            const read = decodeValues(reply);
            values.push(...read.values);
            // At least one key is removed, so that a faulty reply cannot repeat the request forever.
            keys = keys.slice(Math.max(1, read.keyCount));
        }
        counters.increment("feeds.fetched_values", values.length, { peer: feed.name });
        return values;
    };

    const read = async (feed: FollowedFeed, position: { readonly feedId: string; readonly afterPosition: number }) => {
        const versionsOnly = findNearest() !== feed;
        const reply = await feed.client.call(
            ControlRequestKind.ReadFeed,
            { entry: options.entry(), read: { ...position, waitMilliseconds: READ_WAIT_MS, versionsOnly } },
            READ_WAIT_MS + READ_DEADLINE_MARGIN_MS,
        );
        const repliedAt = clock.monotonicMilliseconds();
        const batch = decodeBatch(reply);
        const fetched = versionsOnly ? await fetchValues(feed, await waitForDelivery(feed, batch.values)) : [];
        options.onBatch({ ...batch, values: [...batch.values, ...fetched] }, feed.name);
        const pause = versionsOnly ? repliedAt + VERSIONS_PAUSE_MS - clock.monotonicMilliseconds() : VALUES_PAUSE_MS;
        await clock.sleep(Math.max(0, pause), feed.stopping.signal);
        return { feedId: batch.feedId, afterPosition: batch.position };
    };

    const run = async (feed: FollowedFeed) => {
        const { name, client, stopping } = feed;
        let position = { feedId: "", afterPosition: 0 };
        while (!stopping.signal.aborted) {
            try {
                position = await read(feed, position);
            }
            catch (error) {
                if (stopping.signal.aborted) {
                    return;
                }
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
        const feed: FollowedFeed = { name, client, stopping: new AbortController() };
        followed.set(name, feed);
        void run(feed);
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
            await Promise.all([...followed.values()].filter(({ client }) => client.isConnected).map(reportTo));
        },
        connected: () =>
            [...followed.values()]
                .filter(({ client }) => client.isConnected)
                .sort((first, second) => distanceOf(first) - distanceOf(second))
                .map(({ name }) => name),
        call: async (name, kind, payload, deadlineMilliseconds) => {
            const feed = followed.get(name);
            if (feed === undefined) {
                throw new Error(`The control instance ${name} is not followed.`);
            }
            return feed.client.call(kind, payload, deadlineMilliseconds);
        },
        close: async () => {
            await Promise.all([...followed.keys()].map(stop));
        },
    };
}
