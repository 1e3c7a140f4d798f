/**
 * Slots that an entry keeps ready while it is idle, so that the first request after a pause need not wait for a renewal.
 */
import type { AnnouncedBackendServer } from "../announcements/announcement.js";
import type { ConfigurationView } from "../configuration/configuration-view.js";
import { regionOf } from "../configuration/places.js";
import { hashText, slotsKey } from "./budgets.js";

/** Slots of each service that an idle entry keeps ready; more would only delay the entries that need them. */
export const STANDBY_SLOTS = 2;

/**
 * Chooses backend servers of one service of which the entry asks for one slot each: of its own availability zone, then
 * of its own region. An entry whose floors are enough asks for none.
 *
 * @param floorOf Units of a key that the entry holds without a lease.
 * @returns Keys of slots.
 */
export function chooseStandbySlots(
    view: ConfigurationView,
    entry: string,
    backendServers: readonly AnnouncedBackendServer[],
    floorOf: (key: string) => number,
): readonly string[] {
    const ownZone = view.entries.get(entry)?.availabilityZone ?? "";
    const ownRegion = regionOf(view, ownZone);
    const near = backendServers
        .filter(({ availabilityZone }) => ownRegion !== undefined && regionOf(view, availabilityZone) === ownRegion)
        .map(({ service, name, availabilityZone }) => {
            const key = slotsKey(service, name);
            // Entries differ in the order, so that they do not all ask for the same few slots.
            return { key, distance: availabilityZone === ownZone ? 0 : 1, order: hashText(`${entry}|${key}`) };
        });
    const missing = STANDBY_SLOTS - near.reduce((sum, { key }) => sum + floorOf(key), 0);
    if (missing <= 0) {
        return [];
    }
    return near.filter(({ key }) => floorOf(key) === 0)
        .sort((one, other) => one.distance - other.distance || one.order - other.order)
        .slice(0, Math.ceil(missing))
        .map(({ key }) => key);
}
