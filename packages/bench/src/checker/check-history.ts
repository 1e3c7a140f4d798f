/**
 * Runs all checks of a history.
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
 * Finds all violations of the invariants.
 *
 * @returns The violations; empty for a correct history.
 */
export function checkHistory(history: History): readonly Violation[] {
    return CHECKS.flatMap(check => check(history));
}
