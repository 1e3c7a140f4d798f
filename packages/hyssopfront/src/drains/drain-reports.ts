/**
 * Reports of the entries on the declared drains, and the status computed from them on the control leader.
 */
import type { ConfigurationView } from "../configuration/configuration-view.js";
import type { DrainReport, InFlightOnBackendServer } from "../sessions/messages.js";
import { DrainPhase } from "./drain-phase.js";
import { computeDrainProgress } from "./drain-progress.js";

/** State of all declared drains on one entry, and its requests in flight on drained backend servers. */
export type EntryDrainReport = {
    readonly drains: readonly DrainReport[];
    readonly inFlight: readonly InFlightOnBackendServer[];
};

/** Status of one drain over all entries. */
export type DrainSummary = {
    readonly name: string;
    readonly isDrained: boolean;
    /** Machine-readable reason, such as `Refused` or `RequestsInFlight`. */
    readonly reason: string;
    /** Text for operators. It names an entry that delays the drain. */
    readonly message: string;
};

export type DrainReports = {
    /** Replaces the previous report of the entry. */
    record(entry: string, report: EntryDrainReport): void;
    /** Removes the report of an entry when its registration is removed. */
    remove(entry: string): void;
    /**
     * Removes all reports. Must be called when a leadership starts, because reports to earlier leaders are outdated.
     */
    clear(): void;
    /** Summarizes each declared drain. A target is not drained until every registered entry has reported. */
    summarize(view: ConfigurationView): readonly DrainSummary[];
};

const percentage = (share: number) => `${Math.floor(100 * share)}%`;

/** Creates empty reports. */
export function createDrainReports(): DrainReports {
    const reports = new Map<string, EntryDrainReport>();

    const summarizeOne = (view: ConfigurationView, name: string): DrainSummary => {
        const states = [...view.entries.keys()].flatMap(entry => {
            const state = reports.get(entry)?.drains.find(drain => drain.name === name);
            return state === undefined ? [] : [{ entry, ...state }];
        });
        const blocked = states.find(({ phase }) => phase === DrainPhase.Rejected || phase === DrainPhase.Paused);
        if (blocked !== undefined) {
            const reason = blocked.phase === DrainPhase.Rejected ? "Refused" : "Paused";
            return {
                name,
                isDrained: false,
                reason,
                message: `Entry ${blocked.entry}: ${blocked.reason ?? "no reason given"}`,
            };
        }
        const missing = [...view.entries.keys()].find(entry => !states.some(state => state.entry === entry));
        if (missing !== undefined) {
            return { name, isDrained: false, reason: "NotReported", message: `Entry ${missing} has not reported.` };
        }
        const slowest = states.find(({ phase }) => phase !== DrainPhase.Complete);
        if (slowest !== undefined) {
            const message = `${percentage(slowest.share)} of the load has moved away on entry ${slowest.entry}.`;
            return { name, isDrained: false, reason: slowest.isOverdue ? "Overdue" : "Running", message };
        }
        const { target } = view.drains.get(name)!;
        const inFlight = [...reports].flatMap(([entry, report]) =>
            view.entries.has(entry) ? report.inFlight.map(one => ({ entry, ...one })) : []
        );
        const { isDrained, message } = computeDrainProgress(view, target, inFlight, new Set(reports.keys()));
        return { name, isDrained, reason: isDrained ? "NoRequestInFlight" : "RequestsInFlight", message };
    };

    return {
        record: (entry, report) => {
            reports.set(entry, report);
        },
        remove: entry => {
            reports.delete(entry);
        },
        clear: () => reports.clear(),
        summarize: view => [...view.drains.keys()].map(name => summarizeOne(view, name)),
    };
}
