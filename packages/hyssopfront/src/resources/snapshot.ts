/**
 * Versioned encoding of snapshots of the resource state.
 */
import { decode, encode } from "cbor-x";
import type { EntryRegistration } from "./messages.js";
import type { Resource } from "./resource.js";
import type { StoredResponse } from "./response-store.js";

const SNAPSHOT_FORMAT = "hyssopfront.resources";
export const SNAPSHOT_VERSION = 1;

/** A declared resource with its metadata. */
export type ResourceRecord = {
    readonly resource: Resource;
    /** Size of the spec as JSON. */
    readonly bytes: number;
    /** Wall-clock milliseconds of the proposal of the last change. */
    readonly acceptedAt: number;
};

/** A registered entry and the revision of its last registration. */
export type EntryRecord = { readonly entry: EntryRegistration; readonly revision: number };

/** Contents of a snapshot; the names of the fields are those of the encoding. */
export type ResourceSnapshot = {
    readonly revision: number;
    readonly configurationRevision: number;
    readonly stateTime: number;
    readonly records: readonly ResourceRecord[];
    readonly entries: readonly EntryRecord[];
    readonly answers: readonly StoredResponse[];
};

/** The snapshot cannot be read by this version. */
export class SnapshotFormatError extends Error {
    readonly step = "restore snapshot";
    override readonly name = "SnapshotFormatError";
}

/** Encodes a snapshot. */
export function encodeSnapshot(snapshot: ResourceSnapshot): Uint8Array {
    // A later version that only adds fields does not raise `readableFrom`, so that this version can read its snapshots.
    return encode({ format: SNAPSHOT_FORMAT, version: SNAPSHOT_VERSION, readableFrom: SNAPSHOT_VERSION, ...snapshot });
}

/**
 * Decodes a snapshot of this version, or of a later one that this version can read.
 *
 * @throws SnapshotFormatError for any other payload.
 */
export function decodeSnapshot(payload: Uint8Array): ResourceSnapshot {
    const decoded = decodeObject(payload);
    if (decoded.format !== SNAPSHOT_FORMAT) {
        throw new SnapshotFormatError("The snapshot is not one of the resource state.");
    }
    const { version, readableFrom } = decoded;
    if (typeof version !== "number" || version < SNAPSHOT_VERSION) {
        throw new SnapshotFormatError(
            `The snapshot has version ${String(version)}; this program reads version ${SNAPSHOT_VERSION}.`,
        );
    }
    if (typeof readableFrom !== "number" || readableFrom > SNAPSHOT_VERSION) {
        throw new SnapshotFormatError(
            `The snapshot has version ${version} and needs a program that reads version ${String(readableFrom)}; `
                + `this program reads version ${SNAPSHOT_VERSION}.`,
        );
    }
    const isComplete = ["revision", "configurationRevision", "stateTime"].every(key => typeof decoded[key] === "number")
        && ["records", "entries", "answers"].every(key => Array.isArray(decoded[key]));
    if (!isComplete) {
        throw new SnapshotFormatError("The snapshot lacks a part of the resource state.");
    }
    return decoded as unknown as ResourceSnapshot;
}

function decodeObject(payload: Uint8Array): Record<string, unknown> {
    try {
        return (decode(payload) ?? {}) as Record<string, unknown>;
    }
    catch (error) {
        throw new SnapshotFormatError("The snapshot is not CBOR.", { cause: error });
    }
}
