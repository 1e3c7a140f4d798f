/**
 * Session of an entry with the control leader. It registers the entry and leases its configuration view and its quotas.
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
import { decodeRenewalReply, encodeRenewal } from "./renewal-encoding.js";

/** Timeout of a call to a control instance. A round trip between regions takes far less. */
const CALL_TIMEOUT_MS = 1_000;
/** Delay between two calls while the leader is unknown. */
const LEADER_SEARCH_INTERVAL_MS = 100;
/** Time for which a stopping entry tries to end its session. */
const END_SESSION_TIMEOUT_MS = 3_000;

export type SessionOptions = {
    readonly clock: Clock;
    readonly counters: Counters;
    /** Names of the control instances in the order of their distance, the nearest first. */
    readonly controlInstances: readonly string[];
    /** Calls a control instance. Rejects when the deadline passes or the connection fails. */
    readonly call: (instance: string, kind: string, payload: unknown, deadlineMilliseconds: number) => Promise<unknown>;
    /** Returns the identity and the current state of the entry. */
    readonly describeEntry: () => Omit<RenewSessionRequest, "demands" | "sentAt">;
    /** Returns the demands for the next renewal. */
    readonly collectDemands: () => QuotaDemand[];
    /** Applies the grants in the reply to the renewal that was sent at the given time. */
    readonly applyGrants: (grants: readonly QuotaGrant[], sentAt: number) => void;
};

export type Session = {
    /** Returns true while the entry may rely on its configuration view. */
    holdsViewLease(): boolean;
    /** Returns the latest revision that the leader has reported. */
    knownRevision(): number;
    /** Resolves when the first renewal has succeeded. */
    readonly started: Promise<void>;
    /** Renews immediately, for example when the entry starts to leave. */
    renewNow(): void;
    /** Stops the renewals and ends the session. Call it when the entry serves no more requests. */
    end(): Promise<void>;
};

const debug = createDebug("hyssopfront:session");

/**
 * Starts the task that renews the session until it ends.
 *
 * @param options Clock, control instances, and callbacks for the state of the entry.
 * @returns The session, which holds no lease until the first renewal succeeds.
 */
export function startSession(options: SessionOptions): Session {
    const { clock, counters, controlInstances } = options;
    const stopping = new AbortController();
    let pauseController = new AbortController();
    let leaseEndsAt = -Infinity;
    let knownRevision = 0;
    let leader = controlInstances[0] ?? "";
    /** Instance whose last call failed. */
    let unresponsiveInstance: string | undefined;
    let hasRecordedLease = false;
    let lastRejection = "";
    let resolveStarted: () => void = () => undefined;
    const started = new Promise<void>(resolve => {
        resolveStarted = resolve;
    });

    const holdsViewLease = () => clock.monotonicMilliseconds() < leaseEndsAt;

    const recordLeaseState = () => {
        if (holdsViewLease() !== hasRecordedLease) {
            hasRecordedLease = !hasRecordedLease;
            counters.increment(hasRecordedLease ? "session.lease_gained" : "session.lease_lost");
            debug(
                hasRecordedLease ? "view lease gained from leader %s" : "view lease lost, last leader was %s",
                leader,
            );
        }
        counters.gauge("session.view_lease", hasRecordedLease ? 1 : 0);
    };

    const selectNextInstance = () => {
        leader = controlInstances[(controlInstances.indexOf(leader) + 1) % controlInstances.length] ?? "";
    };

    /**
     * Ignores hints to an instance that did not respond. The other instances name a failed leader until they detect the
     * failure, and each call to it would wait for the timeout.
     */
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
            // The lease starts before the renewal is sent, so that it expires here before it expires at the leader.
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
            debug("session rejected by %s: %s", leader, reply.message);
        }
        return false;
    };

    const renew = async (): Promise<boolean> => {
        const sentAt = clock.monotonicMilliseconds();
        const request = { ...options.describeEntry(), sentAt, demands: options.collectDemands() };
        try {
            const payload = await options.call(
                leader,
                PeerRequestKind.RenewSession,
                encodeRenewal(request),
                CALL_TIMEOUT_MS,
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
            const pause = isRenewed ? Math.max(0, SESSION_RENEWAL_INTERVAL_MS - elapsed) : LEADER_SEARCH_INTERVAL_MS;
            await clock.sleep(pause, AbortSignal.any([pauseController.signal, stopping.signal])).catch(() => undefined);
        }
    };

    const endSession = async (): Promise<void> => {
        const { entry, incarnation } = options.describeEntry();
        const deadlineAt = clock.monotonicMilliseconds() + END_SESSION_TIMEOUT_MS;
        while (clock.monotonicMilliseconds() < deadlineAt) {
            const reply = await options.call(
                leader,
                PeerRequestKind.EndSession,
                { entry, incarnation },
                CALL_TIMEOUT_MS,
            )
                .then((payload): EndSessionReply => endSessionReplySchema.parse(payload))
                .catch(() => undefined);
            if (reply?.result === EndSessionResult.Ended) {
                return;
            }
            selectNextInstance();
            await clock.sleep(LEADER_SEARCH_INTERVAL_MS);
        }
        counters.increment("session.end_failed");
    };

    const running = run();
    return {
        holdsViewLease,
        knownRevision: () => knownRevision,
        started,
        renewNow: () => pauseController.abort(new Error("An immediate renewal was requested.")),
        end: async () => {
            stopping.abort(new Error("The session is ending."));
            await running;
            leaseEndsAt = -Infinity;
            recordLeaseState();
            await endSession();
        },
    };
}
