/**
 * Collects the chunks of a body.
 */
import { type BodyBuffer, createBodyBuffer } from "../gateway/dispatch/body-buffer.js";

/** Size from which a chunk is kept as it is, in bytes; the objects of a chunk take about 500 bytes. */
const LARGE_CHUNK_BYTES = 4 * 1024;
/** Size from which copied chunks make a chunk of their own, in bytes, so that long bodies are copied only once. */
const COPIED_CHUNK_BYTES = 64 * 1024;

/** Chunks of a body, of which small ones are copied into larger ones. */
export type BodyChunks = {
    append(chunk: Buffer): void;
    /** Returns the chunks. Nothing may be appended after that. */
    take(): Buffer[];
};

/** Creates an empty collection. */
export function createBodyChunks(): BodyChunks {
    const chunks: Buffer[] = [];
    let copied: BodyBuffer | undefined;
    const endCopied = () => {
        if (copied !== undefined) {
            chunks.push(copied.take());
            copied = undefined;
        }
    };
    return {
        append: chunk => {
            if (chunk.length >= LARGE_CHUNK_BYTES) {
                endCopied();
                chunks.push(chunk);
                return;
            }
            copied ??= createBodyBuffer();
            copied.append(chunk);
            if (copied.length >= COPIED_CHUNK_BYTES) {
                endCopied();
            }
        },
        take: () => {
            endCopied();
            return chunks;
        },
    };
}
