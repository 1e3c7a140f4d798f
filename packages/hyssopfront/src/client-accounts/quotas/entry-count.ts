/**
 * Number of entries by which an entry divides a quota for its local share.
 */

/** Time for which a larger number of entries is remembered, in milliseconds. */
const MEMORY_MS = 60_000;

/** Largest recent number of entries. */
export type EntryCountPeak = {
    /**
     * Records the current number of entries.
     *
     * @param mayFall False while no leader replies: the other entries may then only be out of reach.
     * @param now Monotonic milliseconds.
     */
    record(count: number, mayFall: boolean, now: number): void;
    /** Returns the largest number of the last minute, at least 1. */
    value(): number;
};

/** Creates a record without entries. */
export function createEntryCountPeak(): EntryCountPeak {
    let peak = 1;
    let recordedAt = -Infinity;
    return {
        record: (count, mayFall, now) => {
            if (count >= peak || (mayFall && now > recordedAt + MEMORY_MS)) {
                peak = Math.max(1, count);
                recordedAt = now;
            }
        },
        value: () => peak,
    };
}
