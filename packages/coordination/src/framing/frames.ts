/**
 * Frames on a byte stream: a 4-byte big-endian length followed by one CBOR item that a schema accepts.
 */
import { Decoder, Encoder } from "cbor-x";
import type { z } from "zod";
import { findCborFault } from "./cbor-scan.js";

/** Longest frame, without its length prefix. */
export const MAXIMUM_FRAME_BYTES = 4 * 1024 * 1024;

const LENGTH_BYTES = 4;

export enum FrameFault {
    TooLong = "tooLong",
    Malformed = "malformed",
    /** Well-formed CBOR that the schema refuses. */
    UnexpectedShape = "unexpectedShape",
}

/** A frame that cannot be encoded or decoded. The stream that carried it cannot be read any further. */
export class FrameError extends Error {
    override readonly name = "FrameError";

    constructor(readonly fault: FrameFault, message: string) {
        super(message);
    }
}

const encoder = new Encoder({ useRecords: false, tagUint8Array: false });
// Copied byte strings do not keep the whole chunk of the socket in memory.
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true, copyBuffers: true } as object);

/**
 * Encodes one frame.
 *
 * @param value Plain data: no tags, dates, sets or big integers.
 * @param maximumBytes Limit of the frame in bytes, without its length prefix.
 * @returns The length prefix and the encoded value.
 * @throws FrameError when the frame is too long or the receiver would refuse it.
 */
export function encodeFrame(value: unknown, maximumBytes = MAXIMUM_FRAME_BYTES): Buffer {
    const encoded = encoder.encode(value);
    if (encoded.length > maximumBytes) {
        throw new FrameError(
            FrameFault.TooLong,
            `A frame of ${encoded.length} bytes exceeds the limit of ${maximumBytes} bytes.`,
        );
    }
    const fault = findCborFault(encoded);
    if (fault !== undefined) {
        throw new FrameError(FrameFault.Malformed, `The value cannot be sent in a frame. ${fault}`);
    }
    const frame = Buffer.allocUnsafe(LENGTH_BYTES + encoded.length);
    frame.writeUInt32BE(encoded.length, 0);
    encoded.copy(frame, LENGTH_BYTES);
    return frame;
}

/** Reassembles frames from the chunks of a stream. */
export type FrameDecoder<T> = {
    append(chunk: Buffer): void;
    /**
     * Takes the next complete frame.
     *
     * @returns The checked value, or undefined until more bytes are appended.
     * @throws FrameError when the frame is malformed; the decoder is then unusable.
     */
    next(): T | undefined;
    /** Changes the limit for frames that were not taken yet. */
    setMaximumBytes(maximumBytes: number): void;
};

/**
 * Creates a decoder for one direction of one stream.
 *
 * @param schema Checks each decoded value.
 * @param maximumBytes Limit of a frame in bytes, without its length prefix.
 */
export function createFrameDecoder<T>(schema: z.ZodType<T>, maximumBytes = MAXIMUM_FRAME_BYTES): FrameDecoder<T> {
    let chunks: Buffer[] = [];
    let available = 0;
    let limit = maximumBytes;

    const joinChunks = (): Buffer => {
        const joined = chunks.length === 1 ? chunks[0] as Buffer : Buffer.concat(chunks, available);
        chunks = [joined];
        return joined;
    };
    const peekLength = (): number | undefined => {
        if (available < LENGTH_BYTES) {
            return undefined;
        }
        const first = chunks[0] as Buffer;
        return (first.length >= LENGTH_BYTES ? first : joinChunks()).readUInt32BE(0);
    };

    return {
        append: chunk => {
            if (chunk.length > 0) {
                chunks.push(chunk);
                available += chunk.length;
            }
        },
        next: () => {
            const length = peekLength();
            if (length === undefined) {
                return undefined;
            }
            if (length > limit) {
                throw new FrameError(
                    FrameFault.TooLong,
                    `A frame of ${length} bytes exceeds the limit of ${limit} bytes.`,
                );
            }
            const end = LENGTH_BYTES + length;
            if (available < end) {
                return undefined;
            }
            const joined = joinChunks();
            chunks = joined.length === end ? [] : [joined.subarray(end)];
            available -= end;
            return decodeValue(schema, joined.subarray(LENGTH_BYTES, end));
        },
        setMaximumBytes: bytes => {
            limit = bytes;
        },
    };
}

function decodeValue<T>(schema: z.ZodType<T>, bytes: Buffer): T {
    const result = schema.safeParse(decodeCbor(bytes));
    if (!result.success) {
        const issue = result.error.issues[0];
        const detail = issue === undefined ? "" : `${issue.path.join(".")}: ${issue.message}`;
        throw new FrameError(FrameFault.UnexpectedShape, `A frame has an unexpected shape. ${detail}`);
    }
    return result.data;
}

function decodeCbor(bytes: Buffer): unknown {
    const fault = findCborFault(bytes);
    if (fault !== undefined) {
        throw new FrameError(FrameFault.Malformed, `A frame is not valid CBOR. ${fault}`);
    }
    try {
        return decoder.decode(bytes);
    }
    catch (error) {
        throw new FrameError(FrameFault.Malformed, `A frame is not valid CBOR. ${String(error)}`);
    }
}
