/**
 * Messages between replicas. Requests and replies are plain objects whose payloads are `Uint8Array`, so that the peers
 * layer can carry them as they are; the schemas check what arrives.
 */
import { z } from "zod";

export enum ConsensusMessageKind {
    Vote = "vote",
    Append = "append",
    Snapshot = "snapshot",
    Transfer = "transfer",
    ReadIndex = "readIndex",
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
    /** Asks whether a vote would be granted, without changing anything. */
    isPreVote: z.boolean(),
    /** The leader of the previous term gave up its lease for this candidate. */
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
    /** Length of the whole snapshot, in bytes. */
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
    /** Accepted: last index known to be equal to the leader's log and durable. Refused: index to continue from. */
    index: nonNegativeInteger,
    preference: z.number(),
});

const snapshotReply = z.object({
    kind: z.literal(ConsensusMessageKind.Snapshot),
    term: nonNegativeInteger,
    storeId: z.string(),
    /** Offset that the receiver expects next, in bytes. */
    nextOffset: nonNegativeInteger,
    isInstalled: z.boolean(),
});

const transferReply = z.object({ kind: z.literal(ConsensusMessageKind.Transfer), isAccepted: z.boolean() });

const readIndexReply = z.object({
    kind: z.literal(ConsensusMessageKind.ReadIndex),
    /** Undefined when the receiver does not lead. */
    index: nonNegativeInteger.optional(),
    leader: z.string().optional(),
});

const identifyReply = z.object({ kind: z.literal(ConsensusMessageKind.Identify), storeId: z.string() });

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
export type ConsensusRequest = z.infer<typeof consensusRequestSchema>;
export type VoteReply = z.infer<typeof voteReply>;
export type AppendReply = z.infer<typeof appendReply>;
export type SnapshotReply = z.infer<typeof snapshotReply>;
export type TransferReply = z.infer<typeof transferReply>;
export type ReadIndexReply = z.infer<typeof readIndexReply>;
export type ConsensusReply = z.infer<typeof consensusReplySchema>;

/**
 * Checks a received request.
 *
 * @throws ZodError when the payload is not a request of this protocol.
 */
export function parseConsensusRequest(payload: unknown): ConsensusRequest {
    return consensusRequestSchema.parse(payload);
}

/**
 * Checks a received reply.
 *
 * @throws ZodError when the payload is not a reply of this protocol.
 */
export function parseConsensusReply(payload: unknown): ConsensusReply {
    return consensusReplySchema.parse(payload);
}
