/**
 * Pulls the announcements that another entry received directly.
 */
import { type Clock, prolongForClockRate, withDeadline } from "@hyssopfront/coordination";
import type { AnnouncementTable, BackendServerName } from "./announcement-table.js";
import type { Announcement } from "./announcement.js";
import {
    decodePullReply,
    type EncodedPullRequest,
    encodePullRequest,
    MAXIMUM_BACKEND_SERVERS,
    type PullAnnouncementsReply,
} from "./messages.js";

/**
 * Longest wait of one long poll. Renewals are returned at its end and all other changes immediately, so that a copy is
 * renewed well before it expires after 2 s and an idle pair of entries exchanges two polls a second.
 */
export const PULL_WAIT_MS = 500;
/**
 * Longest wait while all backend servers of the other entry also announce to this one. Its copies are then redundant
 * except for departures and new backend servers, which are returned immediately.
 */
export const REDUNDANT_PULL_WAIT_MS = 9_000;
/** Maximum age of a direct announcement that makes a copy redundant: two renewal intervals and some delay. */
const MAXIMUM_DIRECT_AGE_MS = 1_200;
const REDUNDANCY_CHECK_INTERVAL_MS = 250;
/** Time after the wait within which the reply must arrive. The copies in a later reply would have expired. */
const REPLY_MARGIN_MS = 1_000;
/** Minimum time between two polls, so that a burst of changes is pulled at once. */
const PULL_INTERVAL_MS = 50;
/** Delay after a failed poll, before jitter. */
const RETRY_DELAY_MS = 300;

/** Sends one pull to another entry. Resolves before the deadline with a reply that is not yet validated. */
export type PullCall = (entry: string, request: EncodedPullRequest, deadlineMilliseconds: number) => Promise<unknown>;

/** Dependencies of the pulls from one other entry. */
export type PullOptions = {
    readonly clock: Clock;
    readonly random: () => number;
    readonly table: AnnouncementTable;
    /** Name of the entry to pull from. */
    readonly entry: string;
    readonly pull: PullCall;
    /** Source name of the announcements that this entry received directly. */
    readonly directSource: string;
    /** Called after each failed poll. */
    readonly onFailure: () => void;
    /** Called for each copy or tombstone that was dropped because a limit was reached. */
    readonly onLimitReached: () => void;
    readonly signal: AbortSignal;
};

type KnownAnnouncement = { readonly service: string; readonly name: string; readonly announcement: Announcement };

/**
 * Pulls until the signal aborts.
 *
 * Copies expire relative to the time at which the poll was sent, while the responding entry measures ages up to the
 * arrival of the poll, which is later. A copy therefore expires before the original, however late the reply arrives,
 * and no clocks are compared.
 */
export async function pullAnnouncements(options: PullOptions): Promise<void> {
    const { clock, table, entry, signal } = options;
    const knownById = new Map<number, KnownAnnouncement>();
    let position: { epoch?: string; version: number } = { version: 0 };
    const aborted = new Promise<never>((_, reject) =>
        signal.addEventListener("abort", () => reject(signal.reason), { once: true })
    );
    aborted.catch(() => undefined);

    const storeCopy = ({ service, name, announcement }: KnownAnnouncement, receivedAt: number) => {
        if (!table.put(entry, service, name, { announcement, receivedAt })) {
            options.onLimitReached();
        }
    };

    /** Returns false when a renewal refers to an announcement that is not known here. */
    const applyReply = (reply: PullAnnouncementsReply, sentAt: number): boolean => {
        const repliedAt = clock.monotonicMilliseconds();
        reply.departures.forEach(({ service, name, incarnation, ageMilliseconds }) => {
            // A tombstone must not end too early, so its time starts with the reply.
            const createdAt = repliedAt - Math.max(ageMilliseconds, 0);
            if (!table.addTombstone(service, name, { incarnation, createdAt })) {
                options.onLimitReached();
            }
        });
        reply.announcements.forEach(({ id, service, name, announcement, ageMilliseconds }) => {
            const known = { service, name, announcement };
            knownById.set(id, known);
            storeCopy(known, sentAt - adjustForClockRate(ageMilliseconds));
        });
        const unknown = reply.renewals.filter(({ id, ageMilliseconds, freeSlots, load }) => {
            const known = knownById.get(id);
            if (known === undefined) {
                return true;
            }
            const renewed = { ...known, announcement: { ...known.announcement, freeSlots, load } };
            storeCopy(renewed, sentAt - adjustForClockRate(ageMilliseconds));
            return false;
        });
        return unknown.length === 0;
    };

    const pullOnce = async (waitMilliseconds: number, cancelled: Promise<never>) => {
        const sentAt = clock.monotonicMilliseconds();
        const request = encodePullRequest({ epoch: position.epoch, afterVersion: position.version, waitMilliseconds });
        const deadline = waitMilliseconds + REPLY_MARGIN_MS;
        const replyPromise = Promise.race([options.pull(entry, request, deadline), aborted, cancelled]);
        const reply = decodePullReply(await withDeadline(clock, deadline, replyPromise), position.epoch);
        if (reply.epoch !== position.epoch) {
            knownById.clear();
        }
        const isComplete = applyReply(reply, sentAt);
        position = isComplete ? { epoch: reply.epoch, version: reply.version } : { version: 0 };
        if (knownById.size > 2 * MAXIMUM_BACKEND_SERVERS) {
            // Ids of removed backend servers accumulate slowly. Starting over discards them.
            position = { version: 0 };
            knownById.clear();
        }
    };

    const isRedundant = (servers: readonly BackendServerName[]) =>
        servers.every(server => table.isFresh(options.directSource, server, MAXIMUM_DIRECT_AGE_MS));

    /** Rejects once one of the backend servers no longer announces to this entry. */
    const watchRedundancy = async (servers: readonly BackendServerName[], ended: AbortSignal): Promise<never> => {
        while (isRedundant(servers)) {
            await clock.sleep(REDUNDANCY_CHECK_INTERVAL_MS, ended);
        }
        throw new RedundancyLostError();
    };

    /** Polls with a long wait while the copies of the other entry are redundant. */
    const pullWhileRedundant = async (servers: readonly BackendServerName[]) => {
        const ending = new AbortController();
        const redundancyLost = watchRedundancy(servers, AbortSignal.any([ending.signal, signal]));
        redundancyLost.catch(() => undefined);
        try {
            await pullOnce(REDUNDANT_PULL_WAIT_MS, redundancyLost);
        }
        catch (error) {
            if (!(error instanceof RedundancyLostError)) {
                throw error;
            }
            // The other entry may still receive announcements. Its copy must arrive before the direct one expires.
            await pullOnce(0, aborted);
        }
        finally {
            ending.abort(POLL_ENDED);
        }
    };

    while (!signal.aborted) {
        try {
            const servers = table.listBySource(entry);
            await (position.epoch !== undefined && isRedundant(servers)
                ? pullWhileRedundant(servers)
                : pullOnce(PULL_WAIT_MS, aborted));
            await clock.sleep(PULL_INTERVAL_MS, signal).catch(() => undefined);
        }
        catch {
            if (!signal.aborted) {
                options.onFailure();
            }
            await clock.sleep(RETRY_DELAY_MS * (0.5 + options.random()), signal).catch(() => undefined);
        }
    }
}

/** Abort reason of a watch that is no longer needed. A constant: creating a default reason captures a stack trace. */
const POLL_ENDED = new Error("The poll has ended.");

class RedundancyLostError extends Error {
    override readonly name = "RedundancyLostError";
}

/** Converts an age from another clock to the longest time on this clock, or to the shortest one when it is negative. */
function adjustForClockRate(milliseconds: number): number {
    return milliseconds >= 0 ? prolongForClockRate(milliseconds) : milliseconds / prolongForClockRate(1);
}
