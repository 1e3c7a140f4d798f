/**
 * Announcements of backend servers: receives them directly or pulls them from other entries, and lists the backend
 * servers that may be used.
 */
import { type Clock, type Counters, NO_COUNTERS } from "@hyssopfront/coordination";
import { createAnnouncementLog } from "./announcement-log.js";
import { createAnnouncementTable } from "./announcement-table.js";
import {
    type AnnouncedBackendServer,
    type Announcement,
    ANNOUNCEMENT_RENEWAL_MS,
    type AnnouncementSource,
} from "./announcement.js";
import {
    decodePullRequest,
    type EncodedPullReply,
    encodePullReply,
    MAXIMUM_BACKEND_SERVERS,
    MAXIMUM_TOMBSTONES,
} from "./messages.js";
import { pullAnnouncements, type PullCall } from "./pull-announcements.js";

/** Source name of announcements that this entry received directly. No entry can have this name. */
const DIRECT = "";
const TICK_INTERVAL_MS = 250;
const TICKS_PER_SWEEP = 4;
/** A tick that is late by this much or more means that the process was suspended. */
const SUSPENSION_THRESHOLD_MS = 1_000;
/**
 * Time after a suspension in which announcements are rejected, because they may have been buffered in the kernel since
 * before the backend server left. The next renewal arrives within 500 ms.
 */
const RESUME_REJECTION_MS = 250;

/** Abort reason of a wait that ends early. A constant, because creating a default reason captures a stack trace. */
const WAKE_REASON = new Error("The announcements have changed.");

/** JSON body of the response to an announcement. */
export type AnnouncementResponse = { readonly draining: boolean; readonly renewWithinMs: number };

/** Thrown when this entry does not accept an announcement. The backend server may announce to another entry. */
export class AnnouncementRejectedError extends Error {
    override readonly name = "AnnouncementRejectedError";
}

/** Dependencies and limits of the announcements of one entry. */
export type AnnouncementsOptions = {
    readonly clock: Clock;
    readonly counters?: Counters;
    /** Returns uniform numbers in [0, 1), for the jitter of retries. */
    readonly random?: () => number;
    /** Differs for each start of this entry. Short, because each pull contains it. */
    readonly epoch: string;
    /** True when the backend server is to leave because a declared drain is in force. */
    readonly isDraining: (service: string, name: string, announcement: Announcement) => boolean;
    /** Sends pulls to other entries. Without it, nothing is pulled. */
    readonly pull?: PullCall;
    /** Maximum number of backend servers that may announce to one entry. */
    readonly maximumBackendServers?: number;
};

/** The announcements that one entry knows. */
export type Announcements = AnnouncementSource & {
    /**
     * Accepts an announcement of a backend server.
     *
     * @param receivedAt Time on the monotonic clock, in milliseconds, from which the lifetime is measured.
     * @throws AnnouncementRejectedError when a limit is reached or this process was suspended until just before.
     */
    announce(service: string, name: string, body: Announcement, receivedAt?: number): AnnouncementResponse;
    /**
     * Ends the use of an incarnation immediately. The backend server is used again when a new incarnation announces
     * itself.
     *
     * @param incarnation Undefined means the incarnation that is in use.
     * @returns False when no incarnation was given and none is in use.
     * @throws AnnouncementRejectedError when the limit of tombstones is reached.
     */
    leave(service: string, name: string, incarnation: string | undefined): boolean;
    /**
     * Responds to a pull of another entry, after waiting for urgent changes if the request allows it.
     *
     * @throws ZodError when the payload is not a request.
     */
    handlePull(payload: unknown, signal: AbortSignal): Promise<EncodedPullReply>;
    /** Sets the names of the entries to pull from. Pulls from all others end. */
    setOtherEntries(names: readonly string[]): void;
    /** Ends all pulls and waits. Resolves when the tasks have ended. */
    stop(): Promise<void>;
};

/** Creates the announcements of one entry and starts their background tasks. */
export function createAnnouncements(options: AnnouncementsOptions): Announcements {
    const { clock, pull } = options;
    const counters = options.counters ?? NO_COUNTERS;
    const random = options.random ?? Math.random;
    const now = () => clock.monotonicMilliseconds();
    const table = createAnnouncementTable(now, DIRECT, {
        backendServers: options.maximumBackendServers ?? MAXIMUM_BACKEND_SERVERS,
        tombstones: MAXIMUM_TOMBSTONES,
    });
    const log = createAnnouncementLog(now);
    const stopping = new AbortController();
    const pulls = new Map<string, AbortController>();
    const tasks = new Set<Promise<void>>();
    const waitingPolls = new Set<() => void>();
    let resumedAt = -Infinity;

    const trackTask = (task: Promise<void>) => {
        const tracked = task.finally(() => tasks.delete(tracked));
        tasks.add(tracked);
    };
    const wakePolls = () => {
        const polls = [...waitingPolls];
        waitingPolls.clear();
        polls.forEach(wake => wake());
    };
    const createRejection = (reason: string, message: string) => {
        counters.increment("announcements.refused", 1, { reason });
        return new AnnouncementRejectedError(message);
    };

    const recordDeparture = (service: string, name: string, incarnation: string, receivedAt: number) => {
        const isNew = !table.hasTombstone(service, name, incarnation);
        if (!table.addTombstone(service, name, { incarnation, createdAt: receivedAt })) {
            throw createRejection("tooManyLeaving", "Too many backend servers are leaving.");
        }
        log.recordDeparture(service, name, incarnation, receivedAt);
        if (isNew) {
            counters.increment("announcements.left");
            wakePolls();
        }
    };

    const announce = (service: string, name: string, body: Announcement, receivedAt = now()): AnnouncementResponse => {
        const response = { draining: options.isDraining(service, name, body), renewWithinMs: ANNOUNCEMENT_RENEWAL_MS };
        counters.increment("announcements.received");
        if (body.leaving) {
            recordDeparture(service, name, body.incarnation, receivedAt);
            // A drained backend server repeats that it is leaving. This response tells it when the drain has ended.
            return response;
        }
        if (now() < resumedAt + RESUME_REJECTION_MS) {
            throw createRejection(
                "resumed",
                "This entry was stopped until now and does not know how old announcements are.",
            );
        }
        if (table.hasTombstone(service, name, body.incarnation)) {
            return { ...response, draining: true };
        }
        if (!table.put(DIRECT, service, name, { announcement: body, receivedAt })) {
            throw createRejection("tooMany", "Too many backend servers announce to this entry.");
        }
        const previousUrgentVersion = log.urgentVersion;
        log.recordAnnouncement(service, name, body, receivedAt);
        if (log.urgentVersion !== previousUrgentVersion) {
            wakePolls();
        }
        return response;
    };

    const leave = (service: string, name: string, incarnation: string | undefined): boolean => {
        const leaving = incarnation ?? table.findIncarnation(service, name);
        if (leaving === undefined) {
            return false;
        }
        recordDeparture(service, name, leaving, now());
        return true;
    };

    const waitForUrgentChange = async (milliseconds: number, signal: AbortSignal) => {
        const wakeController = new AbortController();
        const wake = () => wakeController.abort(WAKE_REASON);
        waitingPolls.add(wake);
        signal.addEventListener("abort", wake, { once: true });
        await clock.sleep(milliseconds, wakeController.signal).catch(() => undefined);
        signal.removeEventListener("abort", wake);
        waitingPolls.delete(wake);
        signal.throwIfAborted();
    };

    const handlePull = async (payload: unknown, signal: AbortSignal): Promise<EncodedPullReply> => {
        const polledAt = now();
        const request = decodePullRequest(payload);
        signal.throwIfAborted();
        const isSameEpoch = request.epoch === options.epoch;
        if (isSameEpoch && log.urgentVersion <= request.afterVersion) {
            await waitForUrgentChange(request.waitMilliseconds, signal);
        }
        const after = isSameEpoch ? request.afterVersion : 0;
        return encodePullReply({ epoch: options.epoch, ...log.readChangesAfter(after, polledAt) }, request.epoch);
    };

    const setOtherEntries = (names: readonly string[]) => {
        if (pull === undefined || stopping.signal.aborted) {
            return;
        }
        pulls.forEach((controller, entry) => {
            if (!names.includes(entry)) {
                controller.abort(new Error("The entry was removed."));
                pulls.delete(entry);
            }
        });
        names.filter(entry => entry !== DIRECT && !pulls.has(entry)).forEach(entry => {
            const controller = new AbortController();
            pulls.set(entry, controller);
            trackTask(pullAnnouncements({
                clock,
                random,
                table,
                entry,
                pull,
                directSource: DIRECT,
                onFailure: () => counters.increment("announcements.pull_failures"),
                onLimitReached: () => counters.increment("announcements.pulled_over_limit"),
                signal: controller.signal,
            }));
        });
    };

    const tick = async () => {
        for (let ticks = 1; !stopping.signal.aborted; ticks += 1) {
            const sleepStartedAt = now();
            await clock.sleep(TICK_INTERVAL_MS, stopping.signal).catch(() => undefined);
            if (now() - sleepStartedAt >= TICK_INTERVAL_MS + SUSPENSION_THRESHOLD_MS) {
                counters.increment("announcements.pauses");
                resumedAt = now();
            }
            if (ticks % TICKS_PER_SWEEP === 0) {
                table.sweep();
                log.sweep();
            }
        }
    };
    trackTask(tick());

    return {
        backendServers: service => table.list(service),
        isUsable: (backendServer: AnnouncedBackendServer) =>
            table.findIncarnation(backendServer.service, backendServer.name) === backendServer.incarnation,
        announce,
        leave,
        handlePull,
        setOtherEntries,
        stop: async () => {
            const reason = new Error("The announcements were stopped.");
            stopping.abort(reason);
            pulls.forEach(controller => controller.abort(reason));
            wakePolls();
            await Promise.all(tasks);
        },
    };
}
