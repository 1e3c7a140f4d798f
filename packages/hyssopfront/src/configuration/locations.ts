/**
 * Looks up regions and availability zones in a configuration view.
 */
import type { Location } from "../resources/resource.js";
import type { ConfigurationView } from "./configuration-view.js";

/** @returns Region of an availability zone, or undefined when the zone is not declared. */
export const getRegion = (view: ConfigurationView, availabilityZone: string): string | undefined =>
    view.availabilityZones.get(availabilityZone)?.region;

/** @returns True when the availability zone is in the region, or is the availability zone, that the location names. */
export function isInLocation(view: ConfigurationView, availabilityZone: string, location: Location): boolean {
    return "region" in location
        ? getRegion(view, availabilityZone) === location.region
        : location.availabilityZone === availabilityZone;
}
