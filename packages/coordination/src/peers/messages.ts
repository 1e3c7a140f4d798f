/**
 * Frames of peer connections.
 */
import { z } from "zod";

/** Peers with another protocol version are refused in the handshake. */
export const PROTOCOL_VERSION = 1;

export enum FrameType {
    Hello = "hello",
    Request = "request",
    Reply = "reply",
    Failure = "failure",
    Heartbeat = "heartbeat",
}

/** Id of the failure that refuses a handshake; requests count from 1. */
export const HANDSHAKE_FAILURE_ID = 0;
/** Bounds hello frames, so that a peer that was not accepted yet cannot fill the memory. */
export const MAXIMUM_HELLO_BYTES = 4_096;
/** Longest time that a request may stay open: one day. Timers of Node overflow at 24.8 days. */
export const MAXIMUM_DEADLINE_MS = 86_400_000;

/** Longest kind of request, in characters. */
export const MAXIMUM_KIND_LENGTH = 256;

const shortText = z.string().max(MAXIMUM_KIND_LENGTH);

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
        /** Milliseconds that the caller still waits, counted by the receiver from the arrival. */
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
