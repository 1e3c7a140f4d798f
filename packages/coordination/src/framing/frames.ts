/**
 * Framing of messages on a byte stream: a 4-byte big-endian length, followed by one CBOR item that matches a schema.
 */
import { Decoder, Encoder } from "cbor-x";
import type { z } from "zod";
import { findCborFault } from "./cbor-scan.js";

/** Longest frame, without its length prefix. */
export const MAXIMUM_FRAME_BYTES = 4 * 1024 * 1024;

const LENGTH_BYTES = 4;

/** Reason why a frame is rejected. */
export enum FrameFault {
    TooLong = "tooLong",
    Malformed = "malformed",
    /** Well-formed CBOR that does not match the schema. */
    UnexpectedShape = "unexpectedShape",
}

/** Thrown when a frame cannot be encoded or decoded. After a decoding error the stream cannot be read any further. */
export class FrameError extends Error {
    override readonly name = "FrameError";

    constructor(readonly fault: FrameFault, message: string) {
        super(message);
    }
}

const encoder = new Encoder({ useRecords: false, tagUint8Array: false });
// Byte strings are copied, so that they do not keep the whole socket chunk in memory.
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true, copyBuffers: true } as object);

/**
 * Encodes one frame.
 *
 * @param value Plain data, without tags, dates, sets or big integers.
 * @param maximumBytes Limit of the frame in bytes, without its length prefix.
 * @returns The length prefix and the encoded value.
 * @throws FrameError when the frame is too long or the receiver would reject it.
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
    /** Adds the next chunk of the stream. */
    append(chunk: Buffer): void;
    /**
     * Removes and decodes the next complete frame.
     *
     * @returns The validated value, or undefined when more bytes are needed.
     * @throws FrameError when the frame is invalid; the decoder must not be used afterwards.
     */
    next(): T | undefined;
    /** Changes the length limit of the frames that are decoded from now on. */
    setMaximumBytes(maximumBytes: number): void;
};

/**
 * Creates a decoder for one direction of one stream.
 *
 * @param schema Validates each decoded value.
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
