/**
 * Encoding of log entries and snapshots, which contain the payloads of the embedding application and the records of the
 * consensus layer itself.
 */
import type { Member } from "./membership.js";
import { decodeMembers, encodeMembers } from "./membership.js";

/** Type of a log entry, stored in the first byte of its payload. */
export enum EntryType {
    /** Appended by a new leader, which can determine what is committed only by an entry of its own term. */
    NoOp = 0,
    /** A proposal of the embedding application. */
    Command = 1,
    /** A new membership of the group. */
    Membership = 2,
}

/** Layout: entry type (1 byte), content. */
export function encodeEntry(type: EntryType, payload: Uint8Array = new Uint8Array()): Uint8Array {
    const bytes = new Uint8Array(payload.length + 1);
    bytes[0] = type;
    bytes.set(payload, 1);
    return bytes;
}

/** Type of an encoded entry. */
export function entryType(bytes: Uint8Array): EntryType {
    return bytes[0] ?? EntryType.NoOp;
}

/** Content of an encoded entry, without its type. */
export function entryContent(bytes: Uint8Array): Uint8Array {
    return bytes.subarray(1);
}

/** Layout: length of the members in bytes (4 bytes, little-endian), members, state of the embedding application. */
export function encodeSnapshotPayload(members: readonly Member[], state: Uint8Array): Uint8Array {
    const encodedMembers = encodeMembers(members);
    const bytes = Buffer.alloc(4 + encodedMembers.length + state.length);
    bytes.writeUInt32LE(encodedMembers.length);
    bytes.set(encodedMembers, 4);
    bytes.set(state, 4 + encodedMembers.length);
    return bytes;
}

/** Decodes the payload of a snapshot; the inverse of `encodeSnapshotPayload`. */
export function decodeSnapshotPayload(
    payload: Uint8Array,
): { readonly members: readonly Member[]; readonly state: Uint8Array } {
    const bytes = Buffer.from(payload.buffer, payload.byteOffset, payload.byteLength);
    const end = 4 + bytes.readUInt32LE(0);
    return { members: decodeMembers(bytes.subarray(4, end)), state: bytes.subarray(end) };
}
