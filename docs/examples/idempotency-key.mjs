// Prints an idempotency key: a UUID of version 7, which begins with the time in milliseconds since 1970.
import { randomBytes } from "node:crypto";

const bytes = randomBytes(16);
bytes.writeUIntBE(Date.now(), 0, 6);
bytes[6] = 0x70 | bytes[6] & 0x0f;
bytes[8] = 0x80 | bytes[8] & 0x3f;
console.log(bytes.toString("hex").replace(/^(.{8})(.{4})(.{4})(.{4})(.{12})$/, "$1-$2-$3-$4-$5"));
