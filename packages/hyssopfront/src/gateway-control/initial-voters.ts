/**
 * Stores the voters of a bootstrapped group on disk. An instance that is killed before it has synced the first log
 * entry must restart as one of these voters, although it is then configured to join an existing group.
 */
import {
    createFolder,
    type FileSystem,
    readChecked,
    replaceFile,
    StorageError,
    StorageStep,
} from "@hyssopfront/coordination";
import { join } from "node:path";

const FILE_NAME = "first-voters";

/**
 * Returns the stored voters, or stores and returns the given ones. An empty list is not stored.
 *
 * @param fileSystem File system of the folder.
 * @param folder Data folder of the instance.
 * @param voters Names of the voters, or an empty array when the group already exists.
 * @returns Names of the initial voters.
 * @throws StorageError when the file cannot be read or written, or is corrupted.
 */
export async function loadOrStoreInitialVoters(
    fileSystem: FileSystem,
    folder: string,
    voters: readonly string[],
): Promise<readonly string[]> {
    const path = join(folder, FILE_NAME);
    try {
        await createFolder(fileSystem, folder);
        const stored = await readChecked(fileSystem, path, StorageStep.Open);
        if (stored !== undefined) {
            return JSON.parse(stored.toString("utf8")) as string[];
        }
        if (voters.length > 0) {
            await replaceFile(fileSystem, path, Buffer.from(JSON.stringify(voters)));
        }
        return voters;
    }
    catch (error) {
        if (error instanceof StorageError) {
            throw error;
        }
        const problem = `The list of the first voters failed: ${String(error)}.`;
        throw new StorageError(StorageStep.Open, path, problem, "Check the disk and the data folder.", error);
    }
}
