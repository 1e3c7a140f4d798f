/**
 * Versioned encoding of the resource state.
 */
import { decode, encode } from "cbor-x";
import type { EntryRegistration } from "./messages.js";
import type { Resource } from "./resource.js";
import type { StoredResponse } from "./response-store.js";

const SNAPSHOT_FORMAT = "hyssopfront.resources";
export const SNAPSHOT_VERSION = 1;

/** A declared object with what the state keeps about it. */
export type ResourceRecord = {
    readonly resource: Resource;
    /** Size of the spec as JSON. */
    readonly bytes: number;
    /** Wall-clock milliseconds of the proposal of the last change. */
    readonly acceptedAt: number;
};

export type EntryRecord = { readonly entry: EntryRegistration; readonly revision: number };

export type ResourceSnapshot = {
    readonly revision: number;
    readonly configurationRevision: number;
    readonly stateTime: number;
    readonly records: readonly ResourceRecord[];
    readonly entries: readonly EntryRecord[];
    readonly answers: readonly StoredResponse[];
};

/** A snapshot that this version cannot read. */
export class SnapshotFormatError extends Error {
    readonly step = "restore snapshot";
    override readonly name = "SnapshotFormatError";
}

/** Encodes a snapshot. */
export function encodeSnapshot(snapshot: ResourceSnapshot): Uint8Array {
    // A later version that only adds fields keeps `readableFrom`, so that this one still reads its snapshots.
    return encode({ format: SNAPSHOT_FORMAT, version: SNAPSHOT_VERSION, readableFrom: SNAPSHOT_VERSION, ...snapshot });
}

/**
 * Decodes a snapshot of this version, or of a later one that this version can read.
 *
 * @throws SnapshotFormatError for all others.
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
