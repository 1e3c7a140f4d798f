/**
 * Why a shift does not move a request that it drew.
 */
import { shiftRequestsKey } from "../admission/budgets.js";
import type { AnnouncedBackendServer } from "../announcements/announcement.js";
import { CircuitState } from "./circuit-breaker.js";
import type { SelectorOptions } from "./select-backend-server.js";

/** Label of the counter `routing.shift_without_room`. */
export enum BlockedShiftCause {
    /** No backend server at the destination is usable. */
    NoBackendServer = "noBackendServer",
    CircuitOpen = "circuitOpen",
    /** The entry's portion of the cap is used up. */
    Cap = "cap",
    /** The entry's portion of a link on the way is used up. */
    Link = "link",
    /** The entry has no free slot of the backend servers at the destination. */
    Slots = "slots",
}

/**
 * Finds the cause after a search among the backend servers at the destination.
 *
 * @param lacking Keys of the budgets that the search found without room.
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
