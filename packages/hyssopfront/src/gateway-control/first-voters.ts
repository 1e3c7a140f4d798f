/**
 * Voters of a group's first start, kept on disk: an instance that is killed before the first entry of the log is synced
 * must come back as one of them, although it is told then that the group exists.
 */
import { mkdir, open, readFile, rename } from "node:fs/promises";
import { join } from "node:path";

const FILE_NAME = "first-voters.json";

async function writeSynced(path: string, text: string): Promise<void> {
    const file = await open(path, "w");
    try {
        await file.writeFile(text);
        await file.sync();
    }
    finally {
        await file.close();
    }
}

async function syncFolder(folder: string): Promise<void> {
    const handle = await open(folder, "r");
    try {
        await handle.sync();
    }
    finally {
        await handle.close();
    }
}

/**
 * Returns the voters that were kept, or keeps the given ones if there are any.
 *
 * @throws Error when the folder cannot be read or written.
 */
export async function rememberFirstVoters(folder: string, voters: readonly string[]): Promise<readonly string[]> {
    const path = join(folder, FILE_NAME);
    await mkdir(folder, { recursive: true });
    try {
        return JSON.parse(await readFile(path, "utf8")) as string[];
    }
    catch (error) {
        if ((error as NodeJS.ErrnoException).code !== "ENOENT") {
            throw error;
        }
    }
    if (voters.length > 0) {
        await writeSynced(`${path}.new`, JSON.stringify(voters));
        await rename(`${path}.new`, path);
        await syncFolder(folder);
    }
    return voters;
}
