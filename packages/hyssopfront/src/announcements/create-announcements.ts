/**
 * Announcements of backend servers: received directly, pulled from other entries, and read by the request path.
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
    encodePullReply,
    MAXIMUM_BACKEND_SERVERS,
    MAXIMUM_LEAVING_MARKS,
    type PullReplyFrame,
} from "./messages.js";
import { pullAnnouncements, type PullCall } from "./pull-announcements.js";

/** Source name of announcements that this entry received itself; no entry can have it. */
const DIRECT = "";
const TICK_MS = 250;
const SWEEP_TICKS = 4;
/** A tick that comes this much too late means that the process was stopped. */
const PAUSE_MS = 1_000;
/**
 * Time after a pause in which announcements are refused: they may have waited in the kernel since before the backend
 * server left. The next renewal comes within 500 ms.
 */
const CATCH_UP_MS = 250;

/** Abort reason of a wait that ends early; a constant, because a default reason costs a stack trace. */
const WOKEN = new Error("The announcements have changed.");

export type AnnouncementAnswer = { readonly draining: boolean; readonly renewWithinMs: number };

/** An announcement that this entry does not take; the backend server may announce to another entry. */
export class AnnouncementRefusedError extends Error {
    override readonly name = "AnnouncementRefusedError";
}

export type AnnouncementsOptions = {
    readonly clock: Clock;
    readonly counters?: Counters;
    /** Uniform in [0, 1), for the jitter of retries. */
    readonly random?: () => number;
    /** Differs for each start of this entry; short, as each pull carries it. */
    readonly epoch: string;
    /** Tells a backend server to withdraw because a declared drain is in force. */
    readonly isDraining: (service: string, name: string, announcement: Announcement) => boolean;
    /** Without it nothing is pulled. */
    readonly pull?: PullCall;
    readonly maximumBackendServers?: number;
};

export type Announcements = AnnouncementSource & {
    /**
     * Takes an announcement of a backend server.
     *
     * @param receivedAt Monotonic milliseconds from which the expiry counts.
     * @throws AnnouncementRefusedError when a limit is reached or this process was stopped until now.
     */
    announce(service: string, name: string, body: Announcement, receivedAt?: number): AnnouncementAnswer;
    /**
     * Ends the use of an incarnation at once, until a new incarnation announces itself.
     *
     * @param incarnation Undefined means the incarnation that is known now.
     * @returns False when no incarnation was given and none is known.
     * @throws AnnouncementRefusedError when the limit of leaving backend servers is reached.
     */
    leave(service: string, name: string, incarnation: string | undefined): boolean;
    /** Answers a pull of another entry; the payload is checked. */
    handlePull(payload: unknown, signal: AbortSignal): Promise<PullReplyFrame>;
    /** Names of the entries to pull from; pulls from others end. */
    setOtherEntries(names: readonly string[]): void;
    stop(): Promise<void>;
};

/** Creates the announcements of one entry and starts their tasks. */
export function createAnnouncements(options: AnnouncementsOptions): Announcements {
    const { clock, pull } = options;
    const counters = options.counters ?? NO_COUNTERS;
    const random = options.random ?? Math.random;
    const now = () => clock.monotonicMilliseconds();
    const table = createAnnouncementTable(now, DIRECT, {
        backendServers: options.maximumBackendServers ?? MAXIMUM_BACKEND_SERVERS,
        leavingMarks: MAXIMUM_LEAVING_MARKS,
    });
    const log = createAnnouncementLog(now);
    const stopping = new AbortController();
    const pulls = new Map<string, AbortController>();
    const tasks = new Set<Promise<void>>();
    const waiting = new Set<() => void>();
    let resumedAt = -Infinity;

    const start = (task: Promise<void>) => {
        const tracked = task.finally(() => tasks.delete(tracked));
        tasks.add(tracked);
    };
    const wakePolls = () => {
        const polls = [...waiting];
        waiting.clear();
        polls.forEach(wake => wake());
    };
    const refuse = (reason: string, message: string) => {
        counters.increment("announcements.refused", 1, { reason });
        return new AnnouncementRefusedError(message);
    };

    const leaveAt = (service: string, name: string, incarnation: string, receivedAt: number) => {
        const isNew = !table.isMarked(service, name, incarnation);
        if (!table.mark(service, name, { incarnation, markedAt: receivedAt })) {
            throw refuse("tooManyLeaving", "Too many backend servers are leaving.");
        }
        log.leave(service, name, incarnation, receivedAt);
        if (isNew) {
            counters.increment("announcements.left");
            wakePolls();
        }
    };

    const announce = (service: string, name: string, body: Announcement, receivedAt = now()): AnnouncementAnswer => {
        const answer = { draining: options.isDraining(service, name, body), renewWithinMs: ANNOUNCEMENT_RENEWAL_MS };
        counters.increment("announcements.received");
        if (body.leaving) {
            leaveAt(service, name, body.incarnation, receivedAt);
            // A drained backend server repeats that it leaves, and learns here when its drain has ended.
            return answer;
        }
        if (now() < resumedAt + CATCH_UP_MS) {
            throw refuse("resumed", "This entry was stopped until now and does not know how old announcements are.");
        }
        if (table.isMarked(service, name, body.incarnation)) {
            return { ...answer, draining: true };
        }
        if (!table.put(DIRECT, service, name, { announcement: body, receivedAt })) {
            throw refuse("tooMany", "Too many backend servers announce to this entry.");
        }
        const urgentBefore = log.urgentVersion;
        log.renew(service, name, body, receivedAt);
        if (log.urgentVersion !== urgentBefore) {
            wakePolls();
        }
        return answer;
    };

    const leave = (service: string, name: string, incarnation: string | undefined): boolean => {
        const leaving = incarnation ?? table.incarnationOf(service, name);
        if (leaving === undefined) {
            return false;
        }
        leaveAt(service, name, leaving, now());
        return true;
    };

    const waitForUrgentChange = async (milliseconds: number, signal: AbortSignal) => {
        const woken = new AbortController();
        const wake = () => woken.abort(WOKEN);
        waiting.add(wake);
        signal.addEventListener("abort", wake, { once: true });
        await clock.sleep(milliseconds, woken.signal).catch(() => undefined);
        signal.removeEventListener("abort", wake);
        waiting.delete(wake);
        signal.throwIfAborted();
    };

    const answerPull = async (payload: unknown, signal: AbortSignal): Promise<PullReplyFrame> => {
        const polledAt = now();
        const request = decodePullRequest(payload);
        signal.throwIfAborted();
        const isContinued = request.epoch === options.epoch;
        if (isContinued && log.urgentVersion <= request.afterVersion) {
            await waitForUrgentChange(request.waitMilliseconds, signal);
        }
        const after = isContinued ? request.afterVersion : 0;
        return encodePullReply({ epoch: options.epoch, ...log.readAfter(after, polledAt) }, request.epoch);
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
            start(pullAnnouncements({
                clock,
                random,
                table,
                entry,
                pull,
                directSource: DIRECT,
                onFailure: () => counters.increment("announcements.pull_failures"),
                onOverflow: () => counters.increment("announcements.pulled_over_limit"),
                signal: controller.signal,
            }));
        });
    };

    const tick = async () => {
        for (let ticks = 1; !stopping.signal.aborted; ticks += 1) {
            const sleptAt = now();
            await clock.sleep(TICK_MS, stopping.signal).catch(() => undefined);
            if (now() - sleptAt >= TICK_MS + PAUSE_MS) {
                counters.increment("announcements.pauses");
                resumedAt = now();
            }
            if (ticks % SWEEP_TICKS === 0) {
                table.sweep();
                log.sweep();
            }
        }
    };
    start(tick());

    return {
        backendServers: service => table.list(service),
        isUsable: (backendServer: AnnouncedBackendServer) =>
            table.incarnationOf(backendServer.service, backendServer.name) === backendServer.incarnation,
        announce,
        leave,
        handlePull: answerPull,
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
