/**
 * Collects the body of a response.
 */

/** Bytes of a body in memory of their own. */
export type BodyBuffer = {
    /** Copies the bytes: a chunk is a view of all bytes that were read with it, which it would keep in memory. */
    append(chunk: Buffer): void;
    /** Returns the bytes. Nothing may be appended after that. */
    take(): Buffer;
    readonly length: number;
};

/** Creates an empty buffer. */
export function createBodyBuffer(): BodyBuffer {
    let bytes = Buffer.alloc(0);
    let length = 0;
    return {
        append: chunk => {
            if (length + chunk.length > bytes.length) {
                const larger = Buffer.allocUnsafe(Math.max(bytes.length * 2, length + chunk.length));
                bytes.copy(larger, 0, 0, length);
                bytes = larger;
            }
            chunk.copy(bytes, length);
            length += chunk.length;
        },
        take: () => bytes.subarray(0, length),
        get length() {
            return length;
        },
    };
}
