/**
 * Standby slots: slots leased by an idle entry, so that its next request does not wait for a session renewal.
 */
import type { AnnouncedBackendServer } from "../announcements/announcement.js";
import type { ConfigurationView } from "../configuration/configuration-view.js";
import { getRegion } from "../configuration/locations.js";
import { hashText, slotsKey } from "./budgets.js";

/** Standby slots for each service. More would delay the entries that need them. */
export const STANDBY_SLOTS_PER_SERVICE = 2;

/**
 * Chooses the backend servers of one service on which the entry requests one standby slot each. Backend servers in the
 * entry's availability zone come first, then those in its region. The entry requests none when its quota floors already
 * contain enough slots.
 *
 * @param view Current configuration.
 * @param entry Name of the entry.
 * @param backendServers Announced backend servers of the service.
 * @param getFloor Returns the quota floor of the entry for a budget key.
 * @returns Budget keys of the chosen backend servers.
 */
export function chooseStandbySlots(
    view: ConfigurationView,
    entry: string,
    backendServers: readonly AnnouncedBackendServer[],
    getFloor: (key: string) => number,
): readonly string[] {
    const ownZone = view.entries.get(entry)?.availabilityZone ?? "";
    const ownRegion = getRegion(view, ownZone);
    const candidates = backendServers
        .filter(({ availabilityZone }) => ownRegion !== undefined && getRegion(view, availabilityZone) === ownRegion)
        .map(({ service, name, availabilityZone }) => {
            const key = slotsKey(service, name);
            // The hash gives each entry a different order, so that they do not all request the same slots.
            return { key, distance: availabilityZone === ownZone ? 0 : 1, order: hashText(`${entry}|${key}`) };
        });
    const missing = STANDBY_SLOTS_PER_SERVICE - candidates.reduce((sum, { key }) => sum + getFloor(key), 0);
    if (missing <= 0) {
        return [];
    }
    return candidates.filter(({ key }) => getFloor(key) === 0)
        .sort((one, other) => one.distance - other.distance || one.order - other.order)
        .slice(0, Math.ceil(missing))
        .map(({ key }) => key);
}
