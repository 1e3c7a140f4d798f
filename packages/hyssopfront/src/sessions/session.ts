/**
 * An entry's session with the control leader: registration, view lease and portions.
 */
import type { Clock, Counters } from "@hyssopfront/coordination";
import createDebug from "debug";
import {
    type EndSessionReply,
    endSessionReplySchema,
    EndSessionResult,
    PeerRequestKind,
    type QuotaDemand,
    type QuotaGrant,
    type RenewSessionReply,
    type RenewSessionRequest,
    RenewSessionResult,
    SESSION_RENEWAL_INTERVAL_MS,
} from "./messages.js";
import { decodeRenewalReply, encodeRenewal } from "./renewal-frames.js";

/** Time in which the leader must answer a renewal; a round trip between regions is far below. */
const CALL_DEADLINE_MS = 1_000;
/** Wait before another control instance is asked, when none is known to lead. */
const SEARCH_INTERVAL_MS = 100;
/** Time in which a stopping entry tries to end its session. */
const END_SESSION_MS = 3_000;

export type SessionOptions = {
    readonly clock: Clock;
    readonly counters: Counters;
    /** Names of the control instances, nearest first. */
    readonly controlInstances: readonly string[];
    readonly call: (instance: string, kind: string, payload: unknown, deadlineMilliseconds: number) => Promise<unknown>;
    /** Identity and state of the entry at this moment. */
    readonly describeEntry: () => Omit<RenewSessionRequest, "demands" | "sentAt">;
    readonly demands: () => QuotaDemand[];
    readonly applyGrants: (grants: readonly QuotaGrant[], sentAt: number) => void;
};

export type Session = {
    /** True while the entry may act on its view in full. */
    holdsViewLease(): boolean;
    /** Latest revision that the leader told. */
    knownRevision(): number;
    /** Resolves when the first renewal has succeeded. */
    readonly started: Promise<void>;
    /** Renews without waiting for the next turn, for instance after the entry began to leave. */
    renewNow(): void;
    /** Ends the renewals and the session; call it when the entry acts on nothing any more. */
    end(): Promise<void>;
};

const debug = createDebug("hyssopfront:session");

/** Starts the task that renews the session. */
export function startSession(options: SessionOptions): Session {
    const { clock, counters, controlInstances } = options;
    const stopping = new AbortController();
    let pauseController = new AbortController();
    let leaseEndsAt = -Infinity;
    let knownRevision = 0;
    let leader = controlInstances[0] ?? "";
    /** Instance that did not answer the last time it was asked. */
    let unresponsiveInstance: string | undefined;
    let hadLease = false;
    let lastRejection = "";
    let resolveStarted: () => void = () => undefined;
    const started = new Promise<void>(resolve => {
        resolveStarted = resolve;
    });

    const holdsViewLease = () => clock.monotonicMilliseconds() < leaseEndsAt;

    const recordLeaseState = () => {
        if (holdsViewLease() !== hadLease) {
            hadLease = !hadLease;
            counters.increment(hadLease ? "session.lease_gained" : "session.lease_lost");
            debug(hadLease ? "view lease held, leader %s" : "view lease lost, leader was %s", leader);
        }
        counters.gauge("session.view_lease", hadLease ? 1 : 0);
    };

    const selectNextInstance = () => {
        leader = controlInstances[(controlInstances.indexOf(leader) + 1) % controlInstances.length] ?? "";
    };

    /** Others name a leader that has just failed until they miss it; each call to it may last until its deadline. */
    const followLeaderHint = (hint: string | undefined) => {
        if (hint !== undefined && hint !== leader && hint !== unresponsiveInstance && controlInstances.includes(hint)) {
            leader = hint;
        }
        else {
            selectNextInstance();
        }
    };

    const applyReply = (reply: RenewSessionReply, sentAt: number): boolean => {
        if (reply.result === RenewSessionResult.Renewed) {
            // Counted from before the renewal was sent, so that this end of the lease comes before the leader's.
            leaseEndsAt = sentAt + reply.leaseMilliseconds;
            knownRevision = Math.max(knownRevision, reply.revision);
            options.applyGrants(reply.grants, sentAt);
            lastRejection = "";
            resolveStarted();
            return true;
        }
        if (reply.result === RenewSessionResult.Behind) {
            knownRevision = Math.max(knownRevision, reply.revision);
            counters.increment("session.behind");
            return false;
        }
        if (reply.result === RenewSessionResult.NotLeader) {
            followLeaderHint(reply.leader);
            return false;
        }
        counters.increment("session.name_in_use");
        if (reply.message !== lastRejection) {
            lastRejection = reply.message;
            debug("session refused by %s: %s", leader, reply.message);
        }
        return false;
    };

    const renew = async (): Promise<boolean> => {
        const sentAt = clock.monotonicMilliseconds();
        const request = { ...options.describeEntry(), sentAt, demands: options.demands() };
        try {
            const payload = await options.call(
                leader,
                PeerRequestKind.RenewSession,
                encodeRenewal(request),
                CALL_DEADLINE_MS,
            );
            if (unresponsiveInstance === leader) {
                unresponsiveInstance = undefined;
            }
            return applyReply(decodeRenewalReply(payload, request.demands), sentAt);
        }
        catch {
            counters.increment("session.renewal_failed");
            unresponsiveInstance = leader;
            selectNextInstance();
            return false;
        }
    };

    const run = async () => {
        while (!stopping.signal.aborted) {
            pauseController = new AbortController();
            const startedAt = clock.monotonicMilliseconds();
            const isRenewed = await renew();
            recordLeaseState();
            const elapsed = clock.monotonicMilliseconds() - startedAt;
            const pause = isRenewed ? Math.max(0, SESSION_RENEWAL_INTERVAL_MS - elapsed) : SEARCH_INTERVAL_MS;
            await clock.sleep(pause, AbortSignal.any([pauseController.signal, stopping.signal])).catch(() => undefined);
        }
    };

    const endSession = async (): Promise<void> => {
        const { entry, incarnation } = options.describeEntry();
        const giveUpAt = clock.monotonicMilliseconds() + END_SESSION_MS;
        while (clock.monotonicMilliseconds() < giveUpAt) {
            const reply = await options.call(
                leader,
                PeerRequestKind.EndSession,
                { entry, incarnation },
                CALL_DEADLINE_MS,
            )
                .then((payload): EndSessionReply => endSessionReplySchema.parse(payload))
                .catch(() => undefined);
            if (reply?.result === EndSessionResult.Ended) {
                return;
            }
            selectNextInstance();
            await clock.sleep(SEARCH_INTERVAL_MS);
        }
        counters.increment("session.end_failed");
    };

    const running = run();
    return {
        holdsViewLease,
        knownRevision: () => knownRevision,
        started,
        renewNow: () => pauseController.abort(new Error("A renewal is due now.")),
        end: async () => {
            stopping.abort(new Error("The session ends."));
            await running;
            leaseEndsAt = -Infinity;
            recordLeaseState();
            await endSession();
        },
    };
}
