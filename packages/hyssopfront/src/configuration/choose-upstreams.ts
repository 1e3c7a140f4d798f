/**
 * Chooses the upstreams from which an entry reads the configuration: the control instances in an availability zone with
 * few entries, and relays in one with many.
 */
import type { ConfigurationView } from "./configuration-view.js";

/** Up to this number of entries in an availability zone, all of them read from control instances. */
export const MAXIMUM_DIRECT_ENTRIES_PER_ZONE = 4;
/** Number of entries in a larger availability zone that read from control instances and relay to the others. */
export const RELAYS_PER_ZONE = 2;

/**
 * Lists the upstreams of an entry in order of preference. Control instances are always included, so that the entry can
 * switch away from a relay that is cut off or has stopped.
 *
 * @param view Current view, which lists the other entries.
 * @param self Name of this entry.
 * @param availabilityZone Availability zone of this entry.
 * @param controlInstances Names of the control instances, nearest first.
 */
export function chooseUpstreams(
    view: ConfigurationView,
    self: string,
    availabilityZone: string,
    controlInstances: readonly string[],
): readonly string[] {
    const names = [...view.entries.values()]
        .filter(entry => entry.availabilityZone === availabilityZone && !entry.isLeaving)
        .map(({ name }) => name)
        .sort();
    const relays = names.length > MAXIMUM_DIRECT_ENTRIES_PER_ZONE ? names.slice(0, RELAYS_PER_ZONE) : [];
    if (relays.length === 0 || relays.includes(self)) {
        return controlInstances;
    }
    // The remaining entries are spread over the relays by their index in the list.
    const first = names.indexOf(self) % relays.length;
    return [...relays.slice(first), ...relays.slice(0, first), ...controlInstances];
}
