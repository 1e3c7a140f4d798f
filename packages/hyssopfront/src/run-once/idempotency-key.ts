/**
 * Idempotency keys: UUIDs of version 7, which contain the time at which they were created.
 */
import { CLOCK_TOLERANCE_MS, KEY_RETENTION_MS } from "./messages.js";

/** Result of checking an idempotency key. */
export enum KeyValidity {
    Valid = "valid",
    Malformed = "malformed",
    TooOld = "tooOld",
    InFuture = "inFuture",
}

const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** Creation time of a key, in milliseconds since 1970. */
export const readKeyTimestamp = (key: string): number => Number.parseInt(key.slice(0, 8) + key.slice(9, 13), 16);

/**
 * Checks the syntax and the age of a key.
 *
 * @param now Wall-clock time in milliseconds since 1970.
 * @param retentionMilliseconds Maximum age of a valid key.
 */
export function checkKey(key: string, now: number, retentionMilliseconds = KEY_RETENTION_MS): KeyValidity {
    if (!UUID_V7.test(key)) {
        return KeyValidity.Malformed;
    }
    const age = now - readKeyTimestamp(key);
    if (age > retentionMilliseconds) {
        return KeyValidity.TooOld;
    }
    return age < -CLOCK_TOLERANCE_MS ? KeyValidity.InFuture : KeyValidity.Valid;
}
