/**
 * Voters of a group's first start, kept on disk: an instance that is killed before the first entry of the log is synced
 * must come back as one of them, although it is told then that the group exists.
 */
import { NODE_FILE_SYSTEM, readChecked, replaceFile, StorageStep } from "@hyssopfront/coordination";
import { mkdir } from "node:fs/promises";
import { join } from "node:path";

const FILE_NAME = "first-voters";

/**
 * Returns the voters that were kept, or keeps the given ones if there are any.
 *
 * @throws Error when the folder cannot be read or written; StorageError when the file is damaged.
 */
export async function loadOrStoreInitialVoters(folder: string, voters: readonly string[]): Promise<readonly string[]> {
    const path = join(folder, FILE_NAME);
    await mkdir(folder, { recursive: true });
    const stored = await readChecked(NODE_FILE_SYSTEM, path, StorageStep.Open);
    if (stored !== undefined) {
        return JSON.parse(stored.toString("utf8")) as string[];
    }
    if (voters.length > 0) {
        await replaceFile(NODE_FILE_SYSTEM, path, Buffer.from(JSON.stringify(voters)));
    }
    return voters;
}
