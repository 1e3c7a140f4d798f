/**
 * Frames of peer connections.
 */
import { z } from "zod";

/** Peers with another protocol version are rejected in the handshake. */
export const PROTOCOL_VERSION = 1;

/** Type of a frame. Only the first frame of each side is a hello. */
export enum FrameType {
    Hello = "hello",
    Request = "request",
    Reply = "reply",
    Failure = "failure",
    Heartbeat = "heartbeat",
}

/** Id of the failure frame that rejects a handshake. The ids of requests start at 1. */
export const HANDSHAKE_FAILURE_ID = 0;
/** Longest hello frame. Limits the memory that a peer can occupy before its handshake is accepted. */
export const MAXIMUM_HELLO_BYTES = 4_096;
/** Longest deadline of a request: one day. Timers of Node.js overflow at 24.8 days. */
export const MAXIMUM_DEADLINE_MS = 86_400_000;

/** Longest kind of a request, field of an identity, or failure code, in characters. */
export const MAXIMUM_SHORT_TEXT_LENGTH = 256;

const shortText = z.string().max(MAXIMUM_SHORT_TEXT_LENGTH);

/** Schema of all frames. */
export const peerFrameSchema = z.discriminatedUnion("type", [
    z.object({
        type: z.literal(FrameType.Hello),
        protocolVersion: z.int(),
        clusterId: shortText,
        name: shortText,
        incarnation: shortText,
        role: shortText,
        availabilityZone: shortText,
    }),
    z.object({
        type: z.literal(FrameType.Request),
        id: z.int().positive(),
        kind: shortText,
        payload: z.unknown(),
        /** Milliseconds for which the caller will wait, counted by the receiver from the arrival of the frame. */
        deadlineMs: z.number().positive().max(MAXIMUM_DEADLINE_MS),
    }),
    z.object({ type: z.literal(FrameType.Reply), id: z.int().positive(), payload: z.unknown() }),
    z.object({
        type: z.literal(FrameType.Failure),
        id: z.int().nonnegative(),
        code: shortText,
        message: z.string().max(4_096),
    }),
    z.object({ type: z.literal(FrameType.Heartbeat) }),
]);
export type PeerFrame = z.infer<typeof peerFrameSchema>;
export type HelloFrame = Extract<PeerFrame, { type: FrameType.Hello }>;
export type RequestFrame = Extract<PeerFrame, { type: FrameType.Request }>;
