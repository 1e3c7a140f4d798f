/**
 * Encoding of log records and segment headers.
 *
 * A record is a 32-byte header followed by the payload. The header contains a magic number, a CRC-32 of everything that
 * follows the checksum, the payload length, the batch start, the index and the term. The checksum is seeded with the
 * store id, so that a record of another store inside a payload is never mistaken for a record of this log.
 *
 * The batch start is the offset in the segment at which the write that contains the record began. A write begins only
 * after all earlier bytes have been synced, so a valid record proves that all bytes before its batch start were once
 * durable.
 */
import { crc32 } from "node:zlib";
import type { StoredEntry } from "./log-storage.js";

export const RECORD_HEADER_BYTES = 32;
export const SEGMENT_HEADER_BYTES = 20;

const RECORD_MAGIC = Buffer.from([0xd7, 0x4c, 0x9e, 0x52]);
const SEGMENT_MAGIC = Buffer.from("HYSLOG1\n", "latin1");

/** A valid record. */
export type DecodedRecord = {
    readonly index: number;
    readonly term: number;
    /** Offset in the segment at which the write that contains the record began. */
    readonly batchStart: number;
    readonly payload: Uint8Array;
    /** Offset in the decoded buffer of the first byte after the record. */
    readonly end: number;
};

/** Initial value of the checksums of all records and segment headers of a store. */
export function checksumSeed(storeId: string): number {
    return crc32(storeId);
}

/** Size of the encoded record of an entry, in bytes. */
export function recordLength(entry: StoredEntry): number {
    return RECORD_HEADER_BYTES + entry.payload.length;
}

/** Encodes one record into `target` at `offset`. */
export function encodeRecord(
    target: Buffer,
    offset: number,
    entry: StoredEntry,
    batchStart: number,
    seed: number,
): void {
    RECORD_MAGIC.copy(target, offset);
    target.writeUInt32LE(entry.payload.length, offset + 8);
    target.writeUInt32LE(batchStart, offset + 12);
    target.writeDoubleLE(entry.index, offset + 16);
    target.writeDoubleLE(entry.term, offset + 24);
    target.set(entry.payload, offset + RECORD_HEADER_BYTES);
    target.writeUInt32LE(crc32(target.subarray(offset + 8, offset + recordLength(entry)), seed), offset + 4);
}

/** Decodes the record at an offset; undefined when there is no complete and valid record. */
export function decodeRecord(bytes: Buffer, offset: number, seed: number): DecodedRecord | undefined {
    if (offset + RECORD_HEADER_BYTES > bytes.length || bytes.compare(RECORD_MAGIC, 0, 4, offset, offset + 4) !== 0) {
        return undefined;
    }
    const end = offset + RECORD_HEADER_BYTES + bytes.readUInt32LE(offset + 8);
    if (end > bytes.length || crc32(bytes.subarray(offset + 8, end), seed) !== bytes.readUInt32LE(offset + 4)) {
        return undefined;
    }
    return {
        index: bytes.readDoubleLE(offset + 16),
        term: bytes.readDoubleLE(offset + 24),
        batchStart: bytes.readUInt32LE(offset + 12),
        payload: bytes.subarray(offset + RECORD_HEADER_BYTES, end),
        end,
    };
}

/**
 * Whether the bytes at `brokenOffset` had been durable, which is the case when a later valid record was written after a
 * sync that covered them. Otherwise the bytes belong to the last, incomplete write.
 */
export function wasDurable(bytes: Buffer, brokenOffset: number, seed: number): boolean {
    for (
        let candidateOffset = bytes.indexOf(RECORD_MAGIC, brokenOffset + 1);
        candidateOffset !== -1;
        candidateOffset = bytes.indexOf(RECORD_MAGIC, candidateOffset + 1)
    ) {
        const record = decodeRecord(bytes, candidateOffset, seed);
        if (record !== undefined && record.batchStart > brokenOffset) {
            return true;
        }
    }
    return false;
}

/** Encodes the header of a segment: magic number, first index and checksum. */
export function encodeSegmentHeader(firstIndex: number, seed: number): Buffer {
    const header = Buffer.alloc(SEGMENT_HEADER_BYTES);
    SEGMENT_MAGIC.copy(header);
    header.writeDoubleLE(firstIndex, 8);
    header.writeUInt32LE(crc32(header.subarray(0, 16), seed), 16);
    return header;
}

/** Decodes the first index from a segment header; undefined when the header is incomplete or corrupt. */
export function decodeSegmentHeader(bytes: Buffer, seed: number): number | undefined {
    if (bytes.length < SEGMENT_HEADER_BYTES || crc32(bytes.subarray(0, 16), seed) !== bytes.readUInt32LE(16)) {
        return undefined;
    }
    return bytes.readDoubleLE(8);
}
