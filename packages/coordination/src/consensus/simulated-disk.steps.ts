/**
 * In-memory log storage for simulations. Writes become durable after a delay on the simulated clock; a loss of power
 * loses a random number of the latest writes that are not durable yet, while a kill keeps them visible.
 */
import type { Clock } from "../clock/clock.js";
import type { HardState, LogStorage, StoredEntry, StoredSnapshot } from "../storage/log-storage.js";
import { StorageError, StorageStep } from "../storage/storage-error.js";

/** Durable content of a simulated disk. */
export type SimulatedDisk = {
    readonly storeId: string;
    entries: StoredEntry[];
    hardState: HardState;
    snapshot: StoredSnapshot | undefined;
    /** Writes of a killed process, which the next one sees although they are not durable. */
    unsynced: ((content: DiskContent) => void)[];
    /** When set, writes fail with this error message. */
    fault?: string;
    /** When set, writes do not end. */
    isHanging?: boolean;
};

type DiskContent = Pick<SimulatedDisk, "entries" | "hardState" | "snapshot">;

/** Creates an empty disk. */
export function createSimulatedDisk(storeId: string): SimulatedDisk {
    return { storeId, entries: [], hardState: { term: 0, votedFor: undefined }, snapshot: undefined, unsynced: [] };
}

/**
 * Opens a log storage on a disk, which syncs what it finds. Its `crash` is a loss of power, which applies a random
 * number of the pending writes to the disk, in order, and loses the others. Its `kill` leaves all of them visible. The
 * storage is unusable afterwards.
 */
export function openSimulatedStorage(
    disk: SimulatedDisk,
    clock: Clock,
    random: () => number,
): LogStorage & { crash(): void; kill(): void } {
    disk.unsynced.splice(0).forEach(write => write(disk));
    const view: DiskContent = { ...disk, entries: [...disk.entries] };
    const queue: { readonly write: (content: DiskContent) => void; readonly done: (error?: Error) => void }[] = [];
    let isWriting = false;
    let isCrashed = false;

    const firstIndex = () => view.entries[0]?.index ?? (view.snapshot?.index ?? 0) + 1;
    const lastIndex = () => view.entries.at(-1)?.index ?? view.snapshot?.index ?? 0;
    const termAt = (index: number) =>
        index === view.snapshot?.index
            ? view.snapshot.term
            : index === 0
            ? 0
            : view.entries[index - firstIndex()]?.term;

    const flush = async () => {
        isWriting = true;
        while (queue.length > 0) {
            const batch = queue.slice();
            await clock.sleep(1 + 4 * random());
            while (disk.isHanging === true && !isCrashed) {
                await clock.sleep(10);
            }
            if (isCrashed) {
                return;
            }
            queue.splice(0, batch.length).forEach(({ write, done }) => {
                if (disk.fault === undefined) {
                    write(disk);
                }
                done(
                    disk.fault === undefined
                        ? undefined
                        : new StorageError(StorageStep.Append, "simulated", disk.fault, "Free space."),
                );
            });
        }
        isWriting = false;
    };

    const submit = (write: (content: DiskContent) => void) =>
        new Promise<void>((resolve, reject) => {
            if (isCrashed) {
                return;
            }
            write(view);
            queue.push({ write, done: error => error === undefined ? resolve() : reject(error) });
            if (!isWriting) {
                void flush();
            }
        });

    return {
        storeId: disk.storeId,
        get firstIndex() {
            return firstIndex();
        },
        get lastIndex() {
            return lastIndex();
        },
        get lastTerm() {
            return termAt(lastIndex()) ?? 0;
        },
        get hardState() {
            return view.hardState;
        },
        get snapshot() {
            return view.snapshot;
        },
        append: entries => {
            if (entries.some((entry, position) => entry.index !== lastIndex() + 1 + position)) {
                return Promise.reject(new RangeError(`Entry ${entries[0]!.index} does not follow ${lastIndex()}.`));
            }
            return submit(content => {
                content.entries = [...content.entries, ...entries];
            });
        },
        truncateFrom: index =>
            submit(content => {
                content.entries = content.entries.filter(entry => entry.index < index);
            }),
        read: async (from, to, maximumBytes = Infinity) => {
            if (from < firstIndex()) {
                throw new RangeError(`Entry ${from} has been compacted.`);
            }
            let bytes = 0;
            return view.entries.slice(from - firstIndex(), to - firstIndex()).filter(entry => {
                const isIncluded = bytes < maximumBytes;
                bytes += entry.payload.length;
                return isIncluded;
            });
        },
        termAt,
        saveHardState: state =>
            submit(content => {
                content.hardState = state;
            }),
        saveSnapshot: (snapshot, discardLog) =>
            submit(content => {
                content.snapshot = snapshot;
                content.entries = discardLog ? [] : content.entries.filter(entry => entry.index > snapshot.index);
            }),
        close: () => Promise.resolve(),
        crash: () => {
            if (isCrashed) {
                return;
            }
            isCrashed = true;
            const survivingWrites = Math.floor(random() * (queue.length + 1));
            queue.slice(0, survivingWrites).forEach(({ write }) => write(disk));
        },
        kill: () => {
            if (!isCrashed) {
                isCrashed = true;
                disk.unsynced.push(...queue.map(({ write }) => write));
            }
        },
    };
}
