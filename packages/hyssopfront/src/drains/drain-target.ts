/**
 * Availability zones, regions and backend servers that the target of a drain covers.
 */
import type { ConfigurationView } from "../configuration/configuration-view.js";
import { isInLocation } from "../configuration/locations.js";
import type { DrainSpec, Location } from "../resources/resource.js";

/** A backend server, an availability zone or a region. */
export type DrainTarget = DrainSpec["target"];

/** Fields of a backend server that decide whether a drain covers it. */
export type LocatedBackendServer = {
    readonly service: string;
    readonly name: string;
    readonly availabilityZone: string;
};

/** Returns true when the target is the availability zone or its region. */
export function coversAvailabilityZone(
    view: ConfigurationView,
    target: DrainTarget,
    availabilityZone: string,
): boolean {
    return !("backendServer" in target) && isInLocation(view, availabilityZone, target);
}

/** Returns true when the target is the backend server, its availability zone or its region. */
export function coversBackendServer(
    view: ConfigurationView,
    target: DrainTarget,
    { service, name, availabilityZone }: LocatedBackendServer,
): boolean {
    if ("backendServer" in target) {
        return target.backendServer.service === service && target.backendServer.name === name;
    }
    return coversAvailabilityZone(view, target, availabilityZone);
}

/**
 * Returns true when the target covers the whole location. The drain of one availability zone does not cover its region.
 */
export function coversLocation(view: ConfigurationView, target: DrainTarget, location: Location): boolean {
    if ("availabilityZone" in location) {
        return coversAvailabilityZone(view, target, location.availabilityZone);
    }
    return "region" in target && target.region === location.region;
}

/** Describes a target in messages for operators. */
export function describeTarget(target: DrainTarget): string {
    if ("backendServer" in target) {
        return `backend server ${target.backendServer.name} of service ${target.backendServer.service}`;
    }
    return "region" in target ? `region ${target.region}` : `availability zone ${target.availabilityZone}`;
}
