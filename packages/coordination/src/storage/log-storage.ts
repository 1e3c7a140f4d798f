/**
 * Durable state of one replica of a Raft group: log, hard state and snapshot.
 */

/** A log entry. */
export type StoredEntry = { readonly index: number; readonly term: number; readonly payload: Uint8Array };

/** Current term of the replica and the replica that it voted for in that term. */
export type HardState = { readonly term: number; readonly votedFor: string | undefined };

/** Snapshot of the state machine; `index` and `term` are those of the last entry that it includes. */
export type StoredSnapshot = { readonly index: number; readonly term: number; readonly payload: Uint8Array };

/** Log, hard state and snapshot of one replica. After a failed write all later reads and writes fail. */
export type LogStorage = {
    /** Random id, generated when the storage is created; a replica whose data was deleted gets a new one. */
    readonly storeId: string;
    /** Index of the first entry in the log, or the index after the snapshot when the log is empty. */
    readonly firstIndex: number;
    /** Index of the last entry, or of the snapshot when the log is empty; 0 for a new storage. */
    readonly lastIndex: number;
    /** Term of the entry or snapshot at `lastIndex`; 0 for a new storage. */
    readonly lastTerm: number;
    readonly hardState: HardState;
    readonly snapshot: StoredSnapshot | undefined;
    /**
     * Appends consecutive entries; resolves after fsync. Concurrent calls share one fsync.
     *
     * @throws RangeError when the entries do not follow the last one.
     */
    append(entries: readonly StoredEntry[]): Promise<void>;
    /** Removes the entry at `index` and all later ones; resolves after fsync. */
    truncateFrom(index: number): Promise<void>;
    /**
     * Reads the entries in [from, to). Stops at the end of the log, and once it has at least one entry and the payloads
     * have at least `maximumBytes` bytes.
     *
     * @throws RangeError when an entry is no longer in the log.
     */
    read(from: number, to: number, maximumBytes?: number): Promise<readonly StoredEntry[]>;
    /** Term of the entry or snapshot at `index`; undefined when the storage has neither. */
    termAt(index: number): number | undefined;
    /** Replaces the hard state; resolves once it is durable. */
    saveHardState(state: HardState): Promise<void>;
    /** Stores a snapshot and removes the log segments that it covers, or the whole log with `discardLog`. */
    saveSnapshot(snapshot: StoredSnapshot, discardLog?: boolean): Promise<void>;
    /** Waits for pending writes and reads, then closes the files. */
    close(): Promise<void>;
};
