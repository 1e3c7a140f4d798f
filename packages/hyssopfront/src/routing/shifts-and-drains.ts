/**
 * Queries of the shifts and drains in a configuration view for the selection of a backend server.
 */
import type { AnnouncedBackendServer } from "../announcements/announcement.js";
import type { ConfigurationView } from "../configuration/configuration-view.js";
import { isInLocation } from "../configuration/locations.js";
import { coversBackendServer } from "../drains/drain-target.js";
import type { ShiftSpec } from "../resources/resource.js";

/** A shift and its name. */
export type NamedShift = { readonly name: string; readonly specification: ShiftSpec };

/** Returns the shifts of a service that apply to requests from an availability zone, sorted by name. */
export function findShifts(view: ConfigurationView, service: string, origin: string): readonly NamedShift[] {
    if (view.shifts.size === 0) {
        return [];
    }
    return [...view.shifts]
        .filter(([, shift]) => shift.service === service && isInLocation(view, origin, shift.from))
        .map(([name, specification]) => ({ name, specification }))
        .sort((left, right) => left.name < right.name ? -1 : 1);
}

/**
 * Chooses the shift that moves a request. Each shift gets its percentage of all requests.
 *
 * @param sample Uniform in [0, 1).
 * @returns The shift, or undefined if no shift moves the request.
 */
export function sampleShift(shifts: readonly NamedShift[], sample: number): NamedShift | undefined {
    let remaining = sample * 100;
    return shifts.find(shift => {
        remaining -= shift.specification.percent;
        return remaining < 0;
    });
}

/** Returns true if no declared drain names the backend server, its availability zone or its region. */
export function isOutsideDrains(view: ConfigurationView, backendServer: AnnouncedBackendServer): boolean {
    return view.drains.size === 0
        || [...view.drains.values()].every(({ target }) => !coversBackendServer(view, target, backendServer));
}
