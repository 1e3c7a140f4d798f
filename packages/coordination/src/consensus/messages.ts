/**
 * Messages between replicas. Requests and replies are plain objects with payloads of type `Uint8Array`, which the peer
 * connections encode unchanged. The schemas validate received messages.
 */
import { z } from "zod";

/** Kind of a request and of its reply. */
export enum ConsensusMessageKind {
    Vote = "vote",
    Append = "append",
    Snapshot = "snapshot",
    /** Requests the receiver to campaign at once (TimeoutNow in Raft). */
    Transfer = "transfer",
    ReadIndex = "readIndex",
    /** Requests the store id of the receiver. */
    Identify = "identify",
}

const bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array, "Expected bytes.");
const nonNegativeInteger = z.int().nonnegative();
const entry = z.object({ index: nonNegativeInteger, term: nonNegativeInteger, payload: bytes });

const voteRequest = z.object({
    kind: z.literal(ConsensusMessageKind.Vote),
    groupId: z.string(),
    term: nonNegativeInteger,
    candidate: z.string(),
    candidateStoreId: z.string(),
    lastIndex: nonNegativeInteger,
    lastTerm: nonNegativeInteger,
    /** Whether this is a pre-vote, which does not change the term or vote of the receiver. */
    isPreVote: z.boolean(),
    /** Whether the leader of the previous term revoked its lease to transfer leadership to this candidate. */
    isTransfer: z.boolean(),
});

const appendRequest = z.object({
    kind: z.literal(ConsensusMessageKind.Append),
    groupId: z.string(),
    term: nonNegativeInteger,
    leader: z.string(),
    previousIndex: nonNegativeInteger,
    previousTerm: nonNegativeInteger,
    commitIndex: nonNegativeInteger,
    entries: z.array(entry),
});

const snapshotRequest = z.object({
    kind: z.literal(ConsensusMessageKind.Snapshot),
    groupId: z.string(),
    term: nonNegativeInteger,
    leader: z.string(),
    index: nonNegativeInteger,
    snapshotTerm: nonNegativeInteger,
    /** Offset of the chunk in the snapshot, in bytes. */
    offset: nonNegativeInteger,
    /** Size of the whole snapshot, in bytes. */
    total: nonNegativeInteger,
    chunk: bytes,
});

const transferRequest = z.object({
    kind: z.literal(ConsensusMessageKind.Transfer),
    groupId: z.string(),
    term: nonNegativeInteger,
    leader: z.string(),
});

const readIndexRequest = z.object({ kind: z.literal(ConsensusMessageKind.ReadIndex), groupId: z.string() });
const identifyRequest = z.object({ kind: z.literal(ConsensusMessageKind.Identify), groupId: z.string() });

/** Schema of all requests. */
export const consensusRequestSchema = z.discriminatedUnion("kind", [
    voteRequest,
    appendRequest,
    snapshotRequest,
    transferRequest,
    readIndexRequest,
    identifyRequest,
]);

const voteReply = z.object({
    kind: z.literal(ConsensusMessageKind.Vote),
    term: nonNegativeInteger,
    storeId: z.string(),
    isGranted: z.boolean(),
});

const appendReply = z.object({
    kind: z.literal(ConsensusMessageKind.Append),
    term: nonNegativeInteger,
    storeId: z.string(),
    isAccepted: z.boolean(),
    /** If accepted: last index that is durable and matches the leader's log. If rejected: index to continue from. */
    index: nonNegativeInteger,
    /** Leadership preference of the receiver. */
    preference: z.number(),
});

const snapshotReply = z.object({
    kind: z.literal(ConsensusMessageKind.Snapshot),
    term: nonNegativeInteger,
    storeId: z.string(),
    /** Offset of the chunk that the receiver expects next, in bytes. */
    nextOffset: nonNegativeInteger,
    isInstalled: z.boolean(),
});

const transferReply = z.object({ kind: z.literal(ConsensusMessageKind.Transfer), isAccepted: z.boolean() });

const readIndexReply = z.object({
    kind: z.literal(ConsensusMessageKind.ReadIndex),
    /** Undefined when the receiver is not the leader or could not confirm its leadership. */
    index: nonNegativeInteger.optional(),
    leader: z.string().optional(),
});

const identifyReply = z.object({ kind: z.literal(ConsensusMessageKind.Identify), storeId: z.string() });

/** Schema of all replies. */
export const consensusReplySchema = z.discriminatedUnion("kind", [
    voteReply,
    appendReply,
    snapshotReply,
    transferReply,
    readIndexReply,
    identifyReply,
]);

export type VoteRequest = z.infer<typeof voteRequest>;
export type AppendRequest = z.infer<typeof appendRequest>;
export type SnapshotRequest = z.infer<typeof snapshotRequest>;
export type TransferRequest = z.infer<typeof transferRequest>;
/** Request of any kind. */
export type ConsensusRequest = z.infer<typeof consensusRequestSchema>;
export type VoteReply = z.infer<typeof voteReply>;
export type AppendReply = z.infer<typeof appendReply>;
export type SnapshotReply = z.infer<typeof snapshotReply>;
export type TransferReply = z.infer<typeof transferReply>;
export type ReadIndexReply = z.infer<typeof readIndexReply>;
/** Reply of any kind; its kind is that of the request. */
export type ConsensusReply = z.infer<typeof consensusReplySchema>;

/**
 * Validates a received request.
 *
 * @throws ZodError when the payload is not a valid request.
 */
export function parseConsensusRequest(payload: unknown): ConsensusRequest {
    return consensusRequestSchema.parse(payload);
}

/**
 * Validates a received reply.
 *
 * @throws ZodError when the payload is not a valid reply.
 */
export function parseConsensusReply(payload: unknown): ConsensusReply {
    return consensusReplySchema.parse(payload);
}
