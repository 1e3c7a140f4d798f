/**
 * Why a shift could not move a request that was sampled for it.
 */
import { shiftRequestsKey } from "../admission/budgets.js";
import type { AnnouncedBackendServer } from "../announcements/announcement.js";
import { CircuitState } from "./circuit-breaker.js";
import type { SelectorOptions } from "./select-backend-server.js";

/** Cause of a blocked shift, and label of the counter `routing.shift_without_room`. */
export enum BlockedShiftCause {
    /** No backend server at the destination is usable. */
    NoBackendServer = "noBackendServer",
    /** The circuit breakers of all backend servers at the destination are open. */
    CircuitOpen = "circuitOpen",
    /** The quota of the entry for the cap of the shift is exhausted. */
    Cap = "cap",
    /** The quota of the entry for a link to or from the destination is exhausted. */
    Link = "link",
    /** The entry has no free slot on the backend servers at the destination. */
    Slots = "slots",
}

/**
 * Finds the cause after a search among the backend servers at the destination has failed.
 *
 * @param exhaustedKeys Keys of the budgets that the search found exhausted.
 */
export function findBlockedShiftCause(
    { admission, states }: Pick<SelectorOptions, "admission" | "states">,
    shift: string,
    destination: readonly AnnouncedBackendServer[],
    exhaustedKeys: ReadonlySet<string>,
): BlockedShiftCause {
    if (destination.length === 0) {
        return BlockedShiftCause.NoBackendServer;
    }
    if (destination.every(server => states.getOrCreate(server).circuitBreaker.state !== CircuitState.Closed)) {
        return BlockedShiftCause.CircuitOpen;
    }
    const hasExhausted = (prefix: string) => [...exhaustedKeys].some(key => key.startsWith(prefix));
    if (hasExhausted(`shift/${shift}/`) || admission.available(shiftRequestsKey(shift)) < 1) {
        return BlockedShiftCause.Cap;
    }
    return hasExhausted("link/") ? BlockedShiftCause.Link : BlockedShiftCause.Slots;
}
