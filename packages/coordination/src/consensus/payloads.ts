/**
 * What the log and the snapshots store: the payloads of the library user together with the group's own records.
 */
import type { Member } from "./membership.js";
import { decodeMembers, encodeMembers } from "./membership.js";

export enum EntryType {
    /** Appended by each new leader, because only an entry of its own term proves what is committed. */
    NoOp = 0,
    Command = 1,
    Membership = 2,
}

export function encodeEntry(type: EntryType, payload: Uint8Array = new Uint8Array()): Uint8Array {
    const bytes = new Uint8Array(payload.length + 1);
    bytes[0] = type;
    bytes.set(payload, 1);
    return bytes;
}

export function entryType(bytes: Uint8Array): EntryType {
    return bytes[0] ?? EntryType.NoOp;
}

export function entryContent(bytes: Uint8Array): Uint8Array {
    return bytes.subarray(1);
}

/** Layout: length of the members (4 bytes), members, state of the library user. */
export function encodeSnapshotPayload(members: readonly Member[], state: Uint8Array): Uint8Array {
    const encodedMembers = encodeMembers(members);
    const bytes = Buffer.alloc(4 + encodedMembers.length + state.length);
    bytes.writeUInt32LE(encodedMembers.length);
    bytes.set(encodedMembers, 4);
    bytes.set(state, 4 + encodedMembers.length);
    return bytes;
}

export function decodeSnapshotPayload(
    payload: Uint8Array,
): { readonly members: readonly Member[]; readonly state: Uint8Array } {
    const bytes = Buffer.from(payload.buffer, payload.byteOffset, payload.byteLength);
    const end = 4 + bytes.readUInt32LE(0);
    return { members: decodeMembers(bytes.subarray(4, end)), state: bytes.subarray(end) };
}
