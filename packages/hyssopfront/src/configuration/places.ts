/**
 * Looks up regions and availability zones in a configuration view.
 */
import type { Location } from "../resources/resource.js";
import type { ConfigurationView } from "./configuration-view.js";

/** @returns Region of an availability zone, or undefined when the zone is not declared. */
export const regionOf = (view: ConfigurationView, availabilityZone: string): string | undefined =>
    view.availabilityZones.get(availabilityZone)?.region;

/** @returns True when the availability zone is in the region, or is the availability zone, that the place names. */
export function isInPlace(view: ConfigurationView, availabilityZone: string, place: Location): boolean {
    return "region" in place
        ? regionOf(view, availabilityZone) === place.region
        : place.availabilityZone === availabilityZone;
}
