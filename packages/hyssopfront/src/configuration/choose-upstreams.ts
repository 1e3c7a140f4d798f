/**
 * From whom an entry reads the configuration: control instances where entries are few, relays where they are many.
 */
import type { ConfigurationView } from "./configuration-view.js";

/** Entries of an availability zone up to which all of them read from control instances. */
export const MAXIMUM_DIRECT_ENTRIES_PER_ZONE = 4;
/** Entries of a larger availability zone that read from control instances and serve the others. */
export const RELAYS_PER_ZONE = 2;

/**
 * Lists the upstreams of an entry, first choice first. Control instances are always among them, so that a relay that is
 * cut off or gone is left.
 *
 * @param view Current view, which names the other entries.
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
    // Followers spread over the relays by their place in the list.
    const first = names.indexOf(self) % relays.length;
    return [...relays.slice(first), ...relays.slice(0, first), ...controlInstances];
}
