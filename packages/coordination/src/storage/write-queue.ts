/**
 * Runs writes one after another and lets appends that wait together share one write and one fsync.
 */
import type { StoredEntry } from "./log-storage.js";
import type { StorageError } from "./storage-error.js";
import { StorageStep, toStorageError } from "./storage-error.js";

/** Bounds the memory of one write; a batch ends once it holds this many bytes. */
const MAXIMUM_BATCH_BYTES = 4 * 1024 * 1024;

type Task = {
    readonly step: StorageStep;
    readonly entries?: readonly StoredEntry[];
    readonly run?: () => Promise<void>;
    readonly resolve: () => void;
    readonly reject: (error: unknown) => void;
};

export type WriteQueue = {
    /** First failure; once set, nothing is written any more, because the state of the files is not known. */
    readonly failure: StorageError | undefined;
    append(entries: readonly StoredEntry[]): Promise<void>;
    run(step: StorageStep, run: () => Promise<void>): Promise<void>;
};

/**
 * @param folder Named in errors.
 * @param writeBatch Writes and syncs a batch of entries.
 */
export function createWriteQueue(
    folder: string,
    writeBatch: (entries: readonly StoredEntry[]) => Promise<void>,
): WriteQueue {
    const tasks: Task[] = [];
    let isRunning = false;
    let failure: StorageError | undefined;

    const takeNextBatch = (): readonly Task[] => {
        const batch: Task[] = [];
        let bytes = 0;
        while (tasks[0] !== undefined && (batch.length === 0 || tasks[0].entries !== undefined)) {
            const task = tasks.shift()!;
            batch.push(task);
            bytes += (task.entries ?? []).reduce((sum, entry) => sum + entry.payload.length, 0);
            if (task.entries === undefined || bytes >= MAXIMUM_BATCH_BYTES) {
                break;
            }
        }
        return batch;
    };

    const processTasks = async () => {
        isRunning = true;
        // Appends that are made in one turn of the event loop share the first sync too.
        await new Promise(resolve => setImmediate(resolve));
        while (tasks.length > 0) {
            const batch = takeNextBatch();
            try {
                if (failure !== undefined) {
                    throw failure;
                }
                await (batch[0]!.run?.() ?? writeBatch(batch.flatMap(task => task.entries ?? [])));
                batch.forEach(task => task.resolve());
            }
            catch (error) {
                const storageError = toStorageError(batch[0]!.step, folder, error);
                failure ??= storageError;
                batch.forEach(task => task.reject(storageError));
            }
        }
        isRunning = false;
    };

    const enqueue = (task: Omit<Task, "resolve" | "reject">) =>
        new Promise<void>((resolve, reject) => {
            tasks.push({ ...task, resolve, reject });
            if (!isRunning) {
                void processTasks();
            }
        });

    return {
        get failure() {
            return failure;
        },
        append: entries => enqueue({ step: StorageStep.Append, entries }),
        run: (step, run) => enqueue({ step, run }),
    };
}
