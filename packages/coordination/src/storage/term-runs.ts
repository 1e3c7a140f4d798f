/**
 * Terms of the log entries, run-length encoded because the term changes rarely.
 */

/** The term of each log entry, by index. */
export type TermRuns = {
    /** Term of the entry at an index that is in the log. */
    at(index: number): number;
    /** Adds the entry after the last one. */
    add(index: number, term: number): void;
    /** Removes the entry at `index` and all later ones. */
    truncateFrom(index: number): void;
    /** Removes all entries. */
    clear(): void;
};

/** Creates an empty list of terms. */
export function createTermRuns(): TermRuns {
    let runs: { readonly from: number; readonly term: number }[] = [];
    return {
        at: index => runs.findLast(run => run.from <= index)?.term ?? 0,
        add: (index, term) => {
            if (runs.at(-1)?.term !== term) {
                runs.push({ from: index, term });
            }
        },
        truncateFrom: index => {
            runs = runs.filter(run => run.from < index);
        },
        clear: () => {
            runs = [];
        },
    };
}
