/**
 * Linearizable reads: the leader confirms a read index, and the reading replica waits until it is applied.
 */
import type { ReplicaContext } from "./context.js";
import * as contexts from "./context.js";
import { NotLeaderError } from "./errors.js";
import { holdsLease, quorumAcknowledgedAt } from "./leadership.js";
import { ConsensusMessageKind } from "./messages.js";
import { waitUntil } from "./waiting.js";

/**
 * Returns the commit index after this replica has confirmed its leadership by its lease or by a majority.
 *
 * @throws NotLeaderError when leadership was not confirmed in time.
 */
export async function confirmReadIndex(context: ReplicaContext): Promise<number> {
    const { leadership } = context;
    const startedAt = contexts.now(context);
    if (leadership === undefined || context.commitIndex < leadership.termStartIndex) {
        throw new NotLeaderError("readBarrier", context.leader === context.self ? undefined : context.leader);
    }
    const index = context.commitIndex;
    if (holdsLease(context)) {
        return index;
    }
    leadership.peers.forEach(peer => peer.wakeHeartbeat.notify());
    const isConfirmed = await waitUntil(
        context.clock,
        () => quorumAcknowledgedAt(context, leadership) > startedAt,
        leadership.acknowledged,
        leadership.ended.signal,
        context.options.electionTimeoutMilliseconds.maximum,
    );
    if (!isConfirmed || !contexts.isCurrent(context, leadership) || leadership.isLeaseRevoked) {
        throw new NotLeaderError("readBarrier", undefined);
    }
    return index;
}

/**
 * Resolves with the read index once everything that was committed at the time of the call is applied to the local
 * state.
 *
 * @throws NotLeaderError when no leader confirmed the read index, or when it was not applied in time.
 */
export async function readBarrier(context: ReplicaContext): Promise<number> {
    const index = await requestReadIndex(context);
    const isApplied = await waitUntil(
        context.clock,
        () => context.appliedIndex >= index,
        context.applied,
        context.stopped.signal,
        context.options.electionTimeoutMilliseconds.maximum,
    );
    if (!isApplied) {
        throw new NotLeaderError("readBarrier", context.leader);
    }
    return index;
}

/** Determines the read index on the leader, or requests it from there. */
async function requestReadIndex(context: ReplicaContext): Promise<number> {
    const { leader } = context;
    if (context.leadership !== undefined || leader === undefined) {
        return confirmReadIndex(context);
    }
    const request = { kind: ConsensusMessageKind.ReadIndex, groupId: context.options.groupId } as const;
    const deadline = context.options.electionTimeoutMilliseconds.maximum;
    const reply = await context.options.call(leader, request, deadline).catch(() => undefined);
    if (reply?.kind !== ConsensusMessageKind.ReadIndex || reply.index === undefined) {
        throw new NotLeaderError("readBarrier", undefined);
    }
    return reply.index;
}
