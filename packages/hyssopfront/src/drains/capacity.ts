/**
 * Whether the places that remain can take the load of a drain's target.
 */
import type { AnnouncedBackendServer } from "../announcements/announcement.js";
import type { ConfigurationView } from "../configuration/configuration-view.js";
import { coversAvailabilityZone, coversBackendServer, describeTarget, type DrainTarget } from "./drain-target.js";

export type CapacityCheck = {
    readonly view: ConfigurationView;
    readonly target: DrainTarget;
    /** Targets that are drained already or are being drained, and so take no load. */
    readonly otherTargets: readonly DrainTarget[];
    readonly backendServers: (service: string) => readonly AnnouncedBackendServer[];
};

export type CapacityResult = { readonly hasCapacity: true } | { readonly hasCapacity: false; readonly reason: string };

/**
 * Compares, for each service, the slots in use on the target with the free slots of the backend servers that remain.
 * Load that has moved already is in use elsewhere and so is not counted twice.
 *
 * @returns The answer, with a reason that names the service and the numbers when there is no room.
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

/** Slots in use; a backend server that reports neither free slots nor load counts as full, so that no room is assumed. */
function usedSlots({ slots, freeSlots, load }: AnnouncedBackendServer): number {
    if (freeSlots !== undefined) {
        return Math.max(0, slots - freeSlots);
    }
    return Math.ceil(slots * (load ?? 1));
}
