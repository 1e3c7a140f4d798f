/**
 * Progress of a drain for its status, from what the entries report.
 */
import type { ConfigurationView } from "../configuration/configuration-view.js";
import { coversBackendServer, describeTarget, type DrainTarget, type LocatedBackendServer } from "./drain-target.js";

/** Requests that one entry has in flight on one backend server. */
export type InFlightReport = LocatedBackendServer & { readonly entry: string; readonly inFlight: number };

export type DrainProgress = {
    readonly inFlight: number;
    /** True when every registered entry has reported and none has a request in flight on the target. */
    readonly isDrained: boolean;
    /** Names the entry that holds the drain up. */
    readonly message: string;
};

/**
 * Sums up the requests in flight on the target of a drain.
 *
 * @param reports Newest reports of the entries.
 * @param reportingEntries Entries whose reports are not older than their session.
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
