/**
 * Bodies of callers' requests, which are buffered or streamed, with a size limit.
 */
import type { IncomingMessage } from "node:http";
import { createBodyChunks } from "./body-chunks.js";

/** Thrown when a body is larger than allowed. */
export class BodyTooLargeError extends Error {
    readonly step = "read the body";
    constructor(readonly limitBytes: number) {
        super(`The body is larger than ${limitBytes} bytes.`);
    }
}

/**
 * Reads a complete body into memory.
 *
 * @throws BodyTooLargeError if the body is larger than the limit.
 * @throws Error if the connection fails or the caller closes it before the end of the body.
 */
export function readWholeBody(request: IncomingMessage, limitBytes: number): Promise<Buffer> {
    return bufferOrStreamBody(request, limitBytes, () => true) as Promise<Buffer>;
}

/** A body that is forwarded while it is read. */
export type StreamedBody = {
    readonly chunks: AsyncIterable<Uint8Array>;
    /** True once the first chunk was requested. After that the body cannot be sent again. */
    isConsumed: boolean;
    /** Why the body could not be read completely. Such a failure is not attributed to the backend server. */
    failure: Error | undefined;
    /** Delays a chunk until the budgets have capacity for it. Set by each dispatch. */
    waitForCapacity: (bytes: number) => Promise<void>;
};

/**
 * Reads a complete body into memory, or as much as may be buffered, and streams the others.
 *
 * @param mayBuffer Called with the size of each chunk; returns false if the body must be streamed from this chunk on.
 * @throws BodyTooLargeError if the body is larger than the limit.
 * @throws Error if the connection fails or the caller closes it before the end of the body.
 */
export function bufferOrStreamBody(
    request: IncomingMessage,
    limitBytes: number,
    mayBuffer: (bytes: number) => boolean,
): Promise<Buffer | StreamedBody> {
    return new Promise((resolve, reject) => {
        const chunks = createBodyChunks();
        let bytes = 0;
        const collect = (chunk: Buffer) => {
            bytes += chunk.length;
            chunks.append(chunk);
            if (bytes > limitBytes) {
                request.off("data", collect);
                request.pause();
                reject(new BodyTooLargeError(limitBytes));
            }
            else if (!mayBuffer(chunk.length)) {
                request.off("data", collect);
                request.pause();
                resolve(streamBody(request, limitBytes, chunks.take()));
            }
        };
        request.on("data", collect);
        request.on("end", () => {
            const all = chunks.take();
            resolve(all.length === 1 ? all[0] as Buffer : Buffer.concat(all));
        });
        request.on("error", reject);
        request.on("close", () => {
            if (!request.complete) {
                reject(new Error("The caller closed the connection before the body ended."));
            }
        });
    });
}

/**
 * Streams a body. Chunks are read from the caller only as fast as the connection to the backend server accepts them.
 *
 * @param first Chunks that were read before.
 */
export function streamBody(
    request: IncomingMessage,
    limitBytes: number,
    first: readonly Buffer[] = [],
): StreamedBody {
    const body: StreamedBody = {
        chunks: { [Symbol.asyncIterator]: () => readChunks(request, limitBytes, first, body) },
        isConsumed: false,
        failure: undefined,
        waitForCapacity: () => Promise.resolve(),
    };
    return body;
}

/**
 * Reads the chunks of a body. This function is not nested in `streamBody`, because V8 creates a hidden class in the old
 * generation for each generator function. The hidden class would keep everything that the function refers to in memory
 * until the next full garbage collection.
 */
async function* readChunks(
    request: IncomingMessage,
    limitBytes: number,
    first: readonly Buffer[],
    body: StreamedBody,
): AsyncGenerator<Uint8Array> {
    body.isConsumed = true;
    let bytes = 0;
    try {
        for (const chunk of first) {
            bytes += chunk.length;
            await body.waitForCapacity(chunk.length);
            yield chunk;
        }
        for await (const chunk of request.iterator({ destroyOnReturn: false })) {
            bytes += (chunk as Buffer).length;
            if (bytes > limitBytes) {
                throw new BodyTooLargeError(limitBytes);
            }
            await body.waitForCapacity((chunk as Buffer).length);
            yield chunk as Buffer;
        }
        if (!request.complete) {
            throw new Error("The caller closed the connection before the body ended.");
        }
    }
    catch (error) {
        body.failure = error instanceof Error ? error : new Error(String(error));
        throw error;
    }
}
