/**
 * Runs writes one at a time, with group commit: appends that wait at the same time share one write and one fsync.
 */
import type { StoredEntry } from "./log-storage.js";
import type { StorageError } from "./storage-error.js";
import { StorageStep, toStorageError } from "./storage-error.js";

/** A batch ends once it has this many bytes, which limits the memory of one write. */
const MAXIMUM_BATCH_BYTES = 4 * 1024 * 1024;

/** An append, which has `entries`, or another write, which has `run`. */
type Task = {
    readonly step: StorageStep;
    readonly entries?: readonly StoredEntry[];
    readonly run?: () => Promise<void>;
    readonly resolve: () => void;
    readonly reject: (error: unknown) => void;
};

/** Queue of the writes to one data folder. */
export type WriteQueue = {
    /** First failure. Once it is set, all writes fail, because the state of the files is unknown. */
    readonly failure: StorageError | undefined;
    /** Appends entries, in one batch with other waiting appends. */
    append(entries: readonly StoredEntry[]): Promise<void>;
    /** Runs another write after all earlier ones; `step` is named in its error. */
    run(step: StorageStep, run: () => Promise<void>): Promise<void>;
};

/**
 * Creates an empty queue.
 *
 * @param folder Path that errors name.
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
        // Delays the first batch, so that all appends of one turn of the event loop share its fsync.
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
