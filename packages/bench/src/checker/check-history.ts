/**
 * Checks a whole history.
 */
import { checkAcknowledgedChanges, checkInForce, checkReads } from "./check-changes.js";
import { checkCaps, checkDepartures, checkResponses, checkRunOnceKeys } from "./check-requests.js";
import type { History, Violation } from "./history.js";

const CHECKS = [
    checkRunOnceKeys,
    checkResponses,
    checkCaps,
    checkDepartures,
    checkAcknowledgedChanges,
    checkReads,
    checkInForce,
];

/**
 * Finds all that breaks an invariant.
 *
 * @returns Violations; none for a correct history.
 */
export function checkHistory(history: History): readonly Violation[] {
    return CHECKS.flatMap(check => check(history));
}
