/**
 * Files of a data folder other than the log: identity, vote and snapshot.
 */
import { randomUUID } from "node:crypto";
import { join } from "node:path";
import { z } from "zod";
import type { FileSystem } from "./file-system.js";
import { readChecked, replaceFile, TEMPORARY_SUFFIX } from "./file-system.js";
import type { HardState, StoredSnapshot } from "./log-storage.js";
import { segmentFirstIndex } from "./segment.js";
import { corruptionError, StorageError, StorageStep } from "./storage-error.js";

const IDENTITY_FILE = "identity";
const VOTE_FILE = "vote";
export const SNAPSHOT_FILE = "snapshot";
const SNAPSHOT_HEADER_BYTES = 16;

const identitySchema = z.object({ clusterId: z.string(), replicaId: z.string(), storeId: z.string() });
const hardStateSchema = z.object({ term: z.int().nonnegative(), votedFor: z.string().optional() });

/**
 * Loads the identity of a data folder, or creates one when the folder is empty.
 *
 * @returns The store id.
 * @throws StorageError when the folder belongs to another cluster or replica, or has a log or snapshot but no identity.
 */
export async function loadOrCreateIdentity(
    fileSystem: FileSystem,
    folder: string,
    clusterId: string,
    replicaId: string,
): Promise<string> {
    const path = join(folder, IDENTITY_FILE);
    const bytes = await readChecked(fileSystem, path, StorageStep.Identity);
    if (bytes === undefined) {
        const names = await fileSystem.readdir(folder);
        if (names.some(name => segmentFirstIndex(name) !== undefined || name === SNAPSHOT_FILE)) {
            throw corruptionError(StorageStep.Identity, path, "The folder contains a log but no identity file.");
        }
        const storeId = randomUUID();
        // The vote file is created first, so that a folder with an identity file always has a vote file.
        await saveVote(fileSystem, folder, { term: 0, votedFor: undefined });
        await replaceFile(fileSystem, path, Buffer.from(JSON.stringify({ clusterId, replicaId, storeId })));
        return storeId;
    }
    const identity = identitySchema.parse(JSON.parse(bytes.toString()));
    if (identity.clusterId !== clusterId || identity.replicaId !== replicaId) {
        throw new StorageError(
            StorageStep.Identity,
            path,
            `The folder belongs to replica ${identity.replicaId} of cluster ${identity.clusterId}, `
                + `not to replica ${replicaId} of cluster ${clusterId}.`,
            "Correct the data folder or the cluster id in the settings.",
        );
    }
    return identity.storeId;
}

/**
 * Loads the current term and vote.
 *
 * @throws StorageError when the vote file is missing or corrupt.
 */
export async function loadVote(fileSystem: FileSystem, folder: string): Promise<HardState> {
    const path = join(folder, VOTE_FILE);
    const bytes = await readChecked(fileSystem, path, StorageStep.Vote);
    if (bytes === undefined) {
        throw corruptionError(StorageStep.Vote, path, "The vote file is missing.");
    }
    const { term, votedFor } = hardStateSchema.parse(JSON.parse(bytes.toString()));
    return { term, votedFor };
}

/** Replaces the vote file; resolves once the term and vote are durable. */
export async function saveVote(fileSystem: FileSystem, folder: string, state: HardState): Promise<void> {
    await replaceFile(fileSystem, join(folder, VOTE_FILE), Buffer.from(JSON.stringify(state)));
}

/** Encodes a snapshot as a 16-byte header, with index and term, and the payload. */
export function encodeSnapshot(snapshot: StoredSnapshot): readonly Uint8Array[] {
    const header = Buffer.alloc(SNAPSHOT_HEADER_BYTES);
    header.writeDoubleLE(snapshot.index, 0);
    header.writeDoubleLE(snapshot.term, 8);
    return [header, snapshot.payload];
}

/**
 * Loads the snapshot.
 *
 * @returns The snapshot; undefined when there is none.
 * @throws StorageError when the file is corrupt.
 */
export async function loadSnapshot(fileSystem: FileSystem, folder: string): Promise<StoredSnapshot | undefined> {
    const bytes = await readChecked(fileSystem, join(folder, SNAPSHOT_FILE), StorageStep.Snapshot);
    if (bytes === undefined) {
        return undefined;
    }
    return {
        index: bytes.readDoubleLE(0),
        term: bytes.readDoubleLE(8),
        payload: bytes.subarray(SNAPSHOT_HEADER_BYTES),
    };
}

/** Deletes the temporary files of interrupted file replacements. */
export async function removeTemporaryFiles(fileSystem: FileSystem, folder: string): Promise<void> {
    const names = await fileSystem.readdir(folder);
    await Promise.all(
        names.filter(name => name.endsWith(TEMPORARY_SUFFIX)).map(name => fileSystem.unlink(join(folder, name))),
    );
}
