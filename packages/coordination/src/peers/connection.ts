/**
 * One established socket between two peers: ordered frames, heartbeats, inactivity detection and flow control.
 */
import type { Socket } from "node:net";
import type { Clock } from "../clock/clock.js";
import type { Counters } from "../counters/counters.js";
import { createFrameDecoder, encodeFrame, FrameError, MAXIMUM_FRAME_BYTES } from "../framing/frames.js";
import { FrameType, MAXIMUM_HELLO_BYTES, type PeerFrame, peerFrameSchema } from "./messages.js";

/** A heartbeat is sent when no other frame was sent for this long. */
export const HEARTBEAT_INTERVAL_MS = 500;
/**
 * Time after which a connection is dropped when no byte arrives or a pending write makes no progress. With 1,500 ms,
 * connections would be dropped during a full garbage collection.
 */
export const INACTIVITY_TIMEOUT_MS = 2_000;
/** Bytes that may be buffered for a slow receiver: two frames of maximum length and smaller ones around them. */
export const MAXIMUM_OUTGOING_BYTES = 3 * MAXIMUM_FRAME_BYTES;

/**
 * Bytes that are written to the socket at once. A long frame is written in parts, because the completion of each write is
 * the only sign that a slow receiver still reads.
 */
const WRITE_BYTES = 32 * 1024;

/** Time within which the queued frames must have been sent when a connection is closed gracefully. */
const GRACEFUL_CLOSE_TIMEOUT_MS = 1_000;

/** Thrown when the outgoing buffer has no space for a frame. */
export class OutgoingBufferFullError extends Error {
    override readonly name = "OutgoingBufferFullError";
}

/** Options of `createConnection`. */
export type ConnectionOptions = {
    readonly clock: Clock;
    readonly counters: Counters;
    /** A heartbeat is sent when no other frame was sent for this long. */
    readonly heartbeatMilliseconds: number;
    /** Longest time without a received byte, or without progress of a pending write. */
    readonly inactivityTimeoutMilliseconds: number;
    /** Bytes that may be buffered for a slow receiver. */
    readonly maximumOutgoingBytes: number;
};

/** One established connection to a peer. */
export type Connection = {
    /** Aborts when the connection is lost. The abort reason is the error that caused it. */
    readonly lost: AbortSignal;
    /** Monotonic time in milliseconds at which the last byte arrived. */
    readonly lastReceivedAt: number;
    /**
     * Queues one frame.
     *
     * @throws FrameError when the frame cannot be encoded, OutgoingBufferFullError when the receiver is too slow, or
     *     the reason why the connection was lost. In each case no byte of the frame was sent.
     */
    send(frame: PeerFrame): void;
    /** Frames in order of arrival, without heartbeats. Throws the reason when the connection is lost. */
    frames(): AsyncGenerator<PeerFrame, void, void>;
    /** Raises the frame limit to MAXIMUM_FRAME_BYTES; until then only frames up to MAXIMUM_HELLO_BYTES are accepted. */
    acceptLongFrames(): void;
    /** Sends heartbeats and drops the connection when it is inactive. Resolves when the connection is lost. */
    keepAlive(): Promise<void>;
    /** Closes the connection immediately. Queued frames may not be sent, unless `end` was called before. */
    drop(reason: Error): void;
    /** Closes the connection after the queued frames were sent. */
    end(reason: Error): void;
};

/**
 * Wraps a connected socket and takes ownership of it.
 *
 * @param socket Connected plain or TLS socket.
 */
export function createConnection(socket: Socket, options: ConnectionOptions): Connection {
    const { clock, counters } = options;
    const lostController = new AbortController();
    const decoder = createFrameDecoder(peerFrameSchema, MAXIMUM_HELLO_BYTES);
    let lastReceivedAt = clock.monotonicMilliseconds();
    let lastSentAt = lastReceivedAt;
    let lastProgressAt = lastReceivedAt;
    /** Frames that have not been handed to the socket yet, the first of them perhaps in part. */
    const outgoing: Buffer[] = [];
    /** Bytes of `outgoing` and of the current write. */
    let outgoingBytes = 0;
    let isWriting = false;
    let isEnded = false;

    const markLost = (reason: Error) => {
        if (!lostController.signal.aborted) {
            lostController.abort(reason);
        }
    };
    const drop = (reason: Error) => {
        markLost(reason);
        if (!isEnded) {
            socket.destroy();
        }
    };
    const end = (reason: Error) => {
        markLost(reason);
        isEnded = true;
        outgoing.splice(0).forEach(bytes => socket.write(bytes));
        socket.setTimeout(GRACEFUL_CLOSE_TIMEOUT_MS, () => socket.destroy());
        socket.destroySoon();
    };
    socket.setNoDelay(true);
    socket.on("error", markLost);
    socket.on("close", () => markLost(new Error("The connection was closed.")));

    /** Takes a part of the first frame if it is long, otherwise as many frames as fit into one write. */
    const takeWrite = (): Buffer => {
        const [first] = outgoing;
        if (first !== undefined && first.length > WRITE_BYTES) {
            outgoing[0] = first.subarray(WRITE_BYTES);
            return first.subarray(0, WRITE_BYTES);
        }
        let bytes = 0;
        const beyond = outgoing.findIndex(frame => {
            bytes += frame.length;
            return bytes > WRITE_BYTES;
        });
        return Buffer.concat(outgoing.splice(0, beyond < 0 ? outgoing.length : beyond));
    };
    const writeNext = () => {
        if (isWriting || outgoing.length === 0 || lostController.signal.aborted) {
            return;
        }
        isWriting = true;
        const bytes = takeWrite();
        socket.write(bytes, () => {
            isWriting = false;
            outgoingBytes -= bytes.length;
            lastProgressAt = clock.monotonicMilliseconds();
            writeNext();
        });
    };

    const send = (frame: PeerFrame) => {
        lostController.signal.throwIfAborted();
        const encoded = encodeFrame(frame);
        if (outgoingBytes + encoded.length > options.maximumOutgoingBytes) {
            counters.increment("peers.outgoing_buffer_full");
            throw new OutgoingBufferFullError("The outgoing buffer is full.");
        }
        const now = clock.monotonicMilliseconds();
        if (outgoingBytes === 0) {
            lastProgressAt = now;
        }
        lastSentAt = now;
        outgoing.push(encoded);
        outgoingBytes += encoded.length;
        writeNext();
        counters.increment("peers.bytes_sent", encoded.length);
    };

    const frames = async function*(): AsyncGenerator<PeerFrame, void, void> {
        try {
            for await (const chunk of socket as AsyncIterable<Buffer>) {
                counters.increment("peers.bytes_received", chunk.length);
                lastReceivedAt = clock.monotonicMilliseconds();
                decoder.append(chunk);
                for (let frame = decoder.next(); frame !== undefined; frame = decoder.next()) {
                    if (frame.type !== FrameType.Heartbeat) {
                        yield frame;
                    }
                }
            }
        }
        catch (error) {
            if (error instanceof FrameError) {
                counters.increment("peers.malformed_frames", 1, { fault: error.fault });
            }
            drop(error as Error);
        }
        drop(new Error("The connection was ended by the peer."));
        lostController.signal.throwIfAborted();
    };

    const findInactivity = (): string | undefined => {
        const now = clock.monotonicMilliseconds();
        if (now - lastReceivedAt >= options.inactivityTimeoutMilliseconds) {
            return "received nothing";
        }
        return outgoingBytes > 0 && now - lastProgressAt >= options.inactivityTimeoutMilliseconds
            ? "sent nothing"
            : undefined;
    };

    const keepAlive = async () => {
        for (;;) {
            const now = clock.monotonicMilliseconds();
            const untilHeartbeat = lastSentAt + options.heartbeatMilliseconds - now;
            const untilInactivityCheck = lastReceivedAt + options.inactivityTimeoutMilliseconds - now;
            await clock.sleep(Math.max(Math.min(untilHeartbeat, untilInactivityCheck), 1), lostController.signal);
            if (findInactivity() !== undefined) {
                // After a pause of this process, frames that wait in the kernel are read before the second check.
                await new Promise(resolve => setImmediate(resolve));
                const inactivity = findInactivity();
                if (inactivity !== undefined) {
                    counters.increment("peers.silent_connections");
                    throw new Error(`The connection ${inactivity} for ${options.inactivityTimeoutMilliseconds} ms.`);
                }
            }
            if (clock.monotonicMilliseconds() - lastSentAt >= options.heartbeatMilliseconds) {
                send({ type: FrameType.Heartbeat });
            }
        }
    };

    return {
        lost: lostController.signal,
        get lastReceivedAt() {
            return lastReceivedAt;
        },
        send,
        frames,
        acceptLongFrames: () => decoder.setMaximumBytes(MAXIMUM_FRAME_BYTES),
        keepAlive: () => keepAlive().catch((error: unknown) => drop(error as Error)),
        drop,
        end,
    };
}
