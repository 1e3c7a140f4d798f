/**
 * Errors of the log storage, with the step that failed, the path and advice for the operator.
 */

/** Operation, or file of the data folder, at which the storage failed. */
export enum StorageStep {
    Lock = "lock",
    Identity = "identity",
    Vote = "vote",
    Snapshot = "snapshot",
    Open = "open",
    Append = "append",
    Truncate = "truncate",
    Read = "read",
    Close = "close",
}

/** A failure of the storage. After a failed write all later writes to the same storage fail as well. */
export class StorageError extends Error {
    /**
     * @param step Operation, or file of the data folder, that failed.
     * @param path Path of the file or folder.
     * @param problem What is wrong, as a full sentence.
     * @param advice What the operator can do, as a full sentence.
     * @param cause Underlying error of the file system, if any.
     */
    public constructor(
        public readonly step: StorageStep,
        public readonly path: string,
        problem: string,
        public readonly advice: string,
        cause?: unknown,
    ) {
        super(`${problem} ${advice} (step ${step}, path ${path})`, { cause });
        this.name = "StorageError";
    }
}

const ADVICE_BY_CODE: Readonly<Record<string, string>> = {
    ENOSPC: "The disk is full: free space on it, then restart the process.",
    EDQUOT: "The disk quota is used up: raise it or free space, then restart the process.",
    EROFS: "The file system is read-only: check the disk and mount it writable, then restart the process.",
    EACCES: "Give the process read and write permission to the data folder.",
    EPERM: "Give the process read and write permission to the data folder.",
    EIO: "The disk reports errors: replace it, then let the replica join again with an empty folder.",
};

/** Converts an error of the file system to a StorageError; returns a StorageError unchanged. */
export function toStorageError(step: StorageStep, path: string, error: unknown): StorageError {
    if (error instanceof StorageError) {
        return error;
    }
    const code = (error as NodeJS.ErrnoException | undefined)?.code ?? "";
    const advice = ADVICE_BY_CODE[code] ?? "Check the disk and the data folder, then restart the process.";
    const message = error instanceof Error ? error.message : String(error);
    return new StorageError(step, path, `The storage failed: ${message}.`, advice, error);
}

/** Creates the error for a file that is corrupt, missing, or out of sequence in the log. */
export function corruptionError(step: StorageStep, path: string, problem: string): StorageError {
    return new StorageError(
        step,
        path,
        problem,
        "Move the data folder away and let the replica join again as a learner with an empty folder.",
    );
}
