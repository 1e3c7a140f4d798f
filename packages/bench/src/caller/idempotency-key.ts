/**
 * Idempotency keys as callers generate them.
 */
import { randomBytes } from "node:crypto";

/**
 * Generates a UUID of version 7.
 *
 * @param time Timestamp of the key in milliseconds since the Unix epoch.
 */
export function makeIdempotencyKey(time = Date.now()): string {
    const bytes = randomBytes(16);
    bytes.writeUIntBE(time, 0, 6);
    bytes[6] = 0x70 | (bytes.readUInt8(6) & 0x0f);
    bytes[8] = 0x80 | (bytes.readUInt8(8) & 0x3f);
    const hex = bytes.toString("hex");
    return [hex.slice(0, 8), hex.slice(8, 12), hex.slice(12, 16), hex.slice(16, 20), hex.slice(20)].join("-");
}
