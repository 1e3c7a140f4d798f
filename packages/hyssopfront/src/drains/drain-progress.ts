/**
 * Requests in flight on the target of a drain, for the status of the drain.
 */
import type { ConfigurationView } from "../configuration/configuration-view.js";
import { coversBackendServer, describeTarget, type DrainTarget, type LocatedBackendServer } from "./drain-target.js";

/** Number of requests that one entry has in flight on one backend server. */
export type InFlightReport = LocatedBackendServer & { readonly entry: string; readonly inFlight: number };

export type DrainProgress = {
    /** Requests in flight on the target, over all entries. */
    readonly inFlight: number;
    /** True when every registered entry has reported and none has a request in flight on the target. */
    readonly isDrained: boolean;
    /** Text for operators. It names an entry that delays the drain. */
    readonly message: string;
};

/**
 * Computes the progress of a drain.
 *
 * @param view Current configuration.
 * @param target Target of the drain.
 * @param reports Newest reports of the entries.
 * @param reportingEntries Names of the entries that have reported in their current session.
 * @returns Requests in flight on the target, and a message.
 */
export function computeDrainProgress(
    view: ConfigurationView,
    target: DrainTarget,
    reports: readonly InFlightReport[],
    reportingEntries: ReadonlySet<string>,
): DrainProgress {
    const onTarget = reports.filter(report => report.inFlight > 0 && coversBackendServer(view, target, report));
    const inFlight = onTarget.reduce((sum, report) => sum + report.inFlight, 0);
    const missing = [...view.entries.keys()].filter(name => !reportingEntries.has(name));
    if (inFlight > 0) {
        const busiest = onTarget.reduce((most, report) => report.inFlight > most.inFlight ? report : most);
        return {
            inFlight,
            isDrained: false,
            message: `${inFlight} requests are in flight on ${describeTarget(target)}, most of them from entry `
                + `${busiest.entry}.`,
        };
    }
    if (missing.length > 0) {
        return { inFlight, isDrained: false, message: `Entry ${missing[0]} has not reported.` };
    }
    return { inFlight, isDrained: true, message: `No request is in flight on ${describeTarget(target)}.` };
}
