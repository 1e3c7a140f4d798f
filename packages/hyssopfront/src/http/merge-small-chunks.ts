/**
 * Merges the small chunks of a body before anything else sees them.
 */
import type { Clock } from "@hyssopfront/coordination";
import type { IncomingMessage } from "node:http";
import { createBodyBuffer } from "../gateway/dispatch/body-buffer.js";
import type { ParsingTurns } from "./parsing-turns.js";

/** Size from which a chunk is not copied, in bytes; the objects of a chunk take about 500 bytes. */
const LARGE_CHUNK_BYTES = 4 * 1024;
/** Merged bytes from which reading pauses. This is the high-water mark of Node's streams. */
const PAUSE_BYTES = 16 * 1024;
/** Chunks in one turn of the event loop from which a body is expensive to parse; 512 take about a millisecond. */
const EXPENSIVE_CHUNKS = 512;

/**
 * Makes a request deliver its body in chunks that are worth their objects. Node's parser adds one object of about 500
 * bytes to the stream for each chunk of the body, however small, and up to 11,000 for one read of the connection, even if
 * the stream is paused. Each part that was read in one turn of the event loop is delivered as one chunk in memory of its
 * own. Must be called before the body is read.
 *
 * @param turns Delay the bodies that are expensive to parse.
 * @param listener.onProgress Called when bytes of the body arrive.
 * @param listener.onEnd Called when the body has arrived completely, which may be long before anything reads its end.
 */
export function mergeSmallChunks(
    message: IncomingMessage,
    clock: Clock,
    turns: ParsingTurns,
    { onProgress, onEnd }: { readonly onProgress: () => void; readonly onEnd: () => void },
): void {
    const push = message.push.bind(message);
    let merged = createBodyBuffer();
    let chunks = 0;
    let startedAt = 0;
    let parsingMilliseconds = 0;
    let isScheduled = false;
    const deliver = () => {
        isScheduled = false;
        if (merged.length === 0) {
            return true;
        }
        const bytes = merged.take();
        merged = createBodyBuffer();
        chunks = 0;
        return message.destroyed || push(bytes);
    };
    const part = { milliseconds: () => parsingMilliseconds, deliver: () => void deliver() };
    const schedule = () => {
        if (isScheduled) {
            return;
        }
        isScheduled = true;
        startedAt = clock.monotonicMilliseconds();
        setImmediate(() => {
            if (chunks >= EXPENSIVE_CHUNKS) {
                turns.enqueue(part);
            }
            else {
                deliver();
            }
        });
    };
    // Node's parser hands each chunk and the end of the body to this method.
    message.push = (chunk: unknown) => {
        if (!Buffer.isBuffer(chunk)) {
            onEnd();
            deliver();
            return push(chunk);
        }
        onProgress();
        if (chunk.length >= LARGE_CHUNK_BYTES) {
            deliver();
            return push(chunk);
        }
        schedule();
        merged.append(chunk);
        chunks += 1;
        if (chunks % EXPENSIVE_CHUNKS === 0) {
            parsingMilliseconds = clock.monotonicMilliseconds() - startedAt;
        }
        return chunks < EXPENSIVE_CHUNKS && merged.length + message.readableLength < PAUSE_BYTES;
    };
}
