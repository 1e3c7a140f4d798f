/**
 * Forwards changes and fresh reads to the current leader, which may be this instance.
 */
import { type Clock, type Counters, PeerError, type Replica } from "@hyssopfront/coordination";
import { ChangeOutcomeUnknownError, NoLeaderError } from "../operator-api/messages.js";
import type { CommandResponse } from "../resources/messages.js";
import { PeerRequestKind } from "../sessions/messages.js";
import type { ControlPeers } from "./control-peers.js";
import type { InForceStatus } from "./in-force.js";
import { type Leader, PROPOSE_DEADLINE_MS } from "./leader.js";
import {
    ProposeOutcome,
    type ProposeReply,
    proposeReplySchema,
    type ProposeRequest,
    readBarrierReplySchema,
} from "./messages.js";

/** Time limit of a change, in milliseconds. It outlasts a failover of 3 s, so that operators do not notice one. */
export const CHANGE_DEADLINE_MS = 5_000;
/** Time limit of a fresh read, in milliseconds. */
export const READ_DEADLINE_MS = 5_000;
const RETRY_PAUSE_MS = 50;
/** A failover takes less than 3 s. If no leader is known for longer, this instance is cut off or the quorum is lost. */
const LEADERLESS_LIMIT_MS = 3_000;
/** A call between two regions takes 40 ms. An unresponsive connection must not use up the whole deadline. */
const STATUS_CALL_TIMEOUT_MS = 1_000;

/** Sends changes and fresh reads to the leader and retries them during a failover. */
export type ChangeRouter = {
    /**
     * Commits a change or the removal of an entry. A request with an unknown outcome is sent again, which is safe
     * because a change has a request id.
     *
     * @throws NoLeaderError when the request had no effect for certain.
     * @throws ChangeOutcomeUnknownError when the request may have taken effect.
     */
    propose(request: ProposeRequest): Promise<CommandResponse>;
    /**
     * Waits until this instance has applied every change acknowledged before the call, and queries the leader for the
     * revision in force.
     *
     * @param deadlineMilliseconds Time limit of the retries.
     * @throws NoLeaderError when no leader responds in time, or none has been known for longer than a failover takes.
     */
    readBarrier(deadlineMilliseconds?: number): Promise<InForceStatus>;
};

/** Creates a router that uses the local leader operations when this instance leads, and peer calls otherwise. */
export function createChangeRouter(options: {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly self: string;
    readonly replica: Replica;
    readonly leader: Leader;
    readonly peers: ControlPeers;
}): ChangeRouter {
    const { clock, counters, self, replica, leader, peers } = options;
    const now = () => clock.monotonicMilliseconds();

    const forward = async (
        target: string,
        request: ProposeRequest,
        deadlineMilliseconds: number,
    ): Promise<ProposeReply> => {
        try {
            const reply = await peers.call(target, PeerRequestKind.Propose, request, deadlineMilliseconds);
            return proposeReplySchema.parse(reply);
        }
        catch (error) {
            return error instanceof PeerError && error.isCertainlyNotRun
                ? { outcome: ProposeOutcome.NotLeader }
                : { outcome: ProposeOutcome.Unknown, message: (error as Error).message };
        }
    };

    /**
     * Pauses before the next attempt.
     *
     * @returns False when a retry is pointless: the deadline has passed, or no leader has been known for longer than
     * a failover takes, and the operator should try another instance.
     */
    const pauseBeforeRetry = async (deadline: number): Promise<boolean> => {
        if (replica.leaderlessForMilliseconds() >= LEADERLESS_LIMIT_MS) {
            return false;
        }
        await clock.sleep(RETRY_PAUSE_MS);
        return now() < deadline;
    };

    const proposeOnce = async (request: ProposeRequest, remainingMilliseconds: number): Promise<ProposeReply> => {
        const target = replica.status().leader;
        if (target === undefined) {
            return { outcome: ProposeOutcome.NotLeader };
        }
        return target === self
            ? leader.propose(request)
            : forward(target, request, Math.min(remainingMilliseconds, PROPOSE_DEADLINE_MS));
    };

    const propose = async (request: ProposeRequest): Promise<CommandResponse> => {
        const deadline = now() + CHANGE_DEADLINE_MS;
        let unknownReason: string | undefined;
        do {
            const reply = await proposeOnce(request, deadline - now());
            if (reply.outcome === ProposeOutcome.Completed) {
                return reply.answer;
            }
            if (reply.outcome === ProposeOutcome.Rejected && unknownReason === undefined) {
                throw new NoLeaderError(reply.message);
            }
            if (reply.outcome === ProposeOutcome.Unknown) {
                unknownReason = reply.message;
                counters.increment("control.changes_retried");
            }
        }
        while (await pauseBeforeRetry(deadline));
        if (unknownReason !== undefined) {
            throw new ChangeOutcomeUnknownError(`The outcome of the change is unknown: ${unknownReason}`);
        }
        throw new NoLeaderError("No leader accepted the change in time.");
    };

    const fetchInForceStatus = async (): Promise<InForceStatus | undefined> => {
        const target = replica.status().leader;
        if (target === undefined) {
            return undefined;
        }
        if (target === self) {
            return leader.inForceStatus();
        }
        const reply = await peers.call(target, PeerRequestKind.ReadBarrier, {}, STATUS_CALL_TIMEOUT_MS).catch(() =>
            undefined
        );
        const parsed = readBarrierReplySchema.safeParse(reply);
        return parsed.success ? parsed.data.inForce : undefined;
    };

    const readBarrier = async (deadlineMilliseconds = READ_DEADLINE_MS): Promise<InForceStatus> => {
        const deadline = now() + deadlineMilliseconds;
        do {
            const [inForce, isCaughtUp] = await Promise.all([
                fetchInForceStatus(),
                replica.readBarrier().then(() => true, () => false),
            ]);
            if (inForce !== undefined && isCaughtUp) {
                return inForce;
            }
        }
        while (await pauseBeforeRetry(deadline));
        throw new NoLeaderError(
            "No leader confirmed the state in time. Use fresh=false to read what this instance has.",
        );
    };

    return { propose, readBarrier };
}
