/**
 * Checks whether the backend servers and entries outside the target of a drain have capacity for its load.
 */
import type { AnnouncedBackendServer } from "../announcements/announcement.js";
import type { ConfigurationView } from "../configuration/configuration-view.js";
import { coversAvailabilityZone, coversBackendServer, describeTarget, type DrainTarget } from "./drain-target.js";

/** Input of a capacity check. */
export type CapacityCheck = {
    readonly view: ConfigurationView;
    readonly target: DrainTarget;
    /** Targets of other drains that have started. Their free slots are not counted. */
    readonly otherTargets: readonly DrainTarget[];
    /** Returns the announced backend servers of a service. */
    readonly backendServers: (service: string) => readonly AnnouncedBackendServer[];
};

/** Result of a capacity check. The reason is shown to operators. */
export type CapacityResult = { readonly hasCapacity: true } | { readonly hasCapacity: false; readonly reason: string };

/**
 * Compares, for each service, the slots in use on the target with the free slots of the remaining backend servers. Load
 * that has already moved uses slots outside the target, so it is not counted twice.
 *
 * @param check Target, configuration and announced backend servers.
 * @returns The result, with a reason when the capacity is insufficient.
 */
export function checkCapacity(check: CapacityCheck): CapacityResult {
    const { view, target, otherTargets, backendServers } = check;
    if (!hasRemainingEntry(check)) {
        return {
            hasCapacity: false,
            reason: `No entry would remain in service after the drain of ${describeTarget(target)}.`,
        };
    }
    for (const service of view.services.keys()) {
        const servers = backendServers(service);
        const drained = servers.filter(server => coversBackendServer(view, target, server));
        const remaining = servers.filter(server =>
            ![target, ...otherTargets].some(other => coversBackendServer(view, other, server))
        );
        const needed = drained.reduce((sum, server) => sum + usedSlots(server), 0);
        const free = remaining.reduce((sum, server) => sum + server.slots - usedSlots(server), 0);
        if (needed > free) {
            return {
                hasCapacity: false,
                reason: `Service ${service} uses ${needed} slots on ${describeTarget(target)}, and the backend servers `
                    + `that remain have ${free} free.`,
            };
        }
    }
    return { hasCapacity: true };
}

function hasRemainingEntry({ view, target, otherTargets }: CapacityCheck): boolean {
    if ("backendServer" in target || view.entries.size === 0) {
        return true;
    }
    return [...view.entries.values()].some(({ availabilityZone, isLeaving }) =>
        !isLeaving
        && ![target, ...otherTargets].some(other => coversAvailabilityZone(view, other, availabilityZone))
    );
}

/** Returns the slots in use. A backend server that reports neither free slots nor load is assumed to be full. */
function usedSlots({ slots, freeSlots, load }: AnnouncedBackendServer): number {
    if (freeSlots !== undefined) {
        return Math.max(0, slots - freeSlots);
    }
    return Math.ceil(slots * (load ?? 1));
}
