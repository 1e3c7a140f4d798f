/**
 * Bodies of callers' requests: read whole, or streamed with a size limit.
 */
import type { IncomingMessage } from "node:http";

/** The body is larger than allowed. */
export class BodyTooLargeError extends Error {
    readonly step = "read the body";
    constructor(readonly limitBytes: number) {
        super(`The body is larger than ${limitBytes} bytes.`);
    }
}

/**
 * Reads a body whole.
 *
 * @throws BodyTooLargeError over the limit; the error of the connection when the caller ends it early.
 */
export function readWholeBody(request: IncomingMessage, limitBytes: number): Promise<Buffer> {
    return new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        request.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            if (bytes > limitBytes) {
                request.pause();
                reject(new BodyTooLargeError(limitBytes));
                return;
            }
            chunks.push(chunk);
        });
        request.on("end", () => resolve(chunks.length === 1 ? chunks[0] as Buffer : Buffer.concat(chunks)));
        request.on("error", reject);
        request.on("close", () => {
            if (!request.complete) {
                reject(new Error("The caller closed the connection before the body ended."));
            }
        });
    });
}

export type StreamedBody = {
    readonly chunks: AsyncIterable<Uint8Array>;
    /** True once a chunk was asked for; the body cannot be sent again then. */
    isConsumed: boolean;
    /** Why the body could not be read to its end; not the fault of the backend server. */
    failure: Error | undefined;
    /** Delays a chunk until the shared limits have room for it; set with each dispatch. */
    waitForCapacity: (bytes: number) => Promise<void>;
};

/**
 * Streams a body; its chunks are read only when the backend server's connection takes them.
 */
export function streamBody(request: IncomingMessage, limitBytes: number): StreamedBody {
    const body: StreamedBody = {
        chunks: { [Symbol.asyncIterator]: () => readChunks(request, limitBytes, body) },
        isConsumed: false,
        failure: undefined,
        waitForCapacity: () => Promise.resolve(),
    };
    return body;
}

/**
 * Not nested in `streamBody`: V8 makes a hidden class for each generator function, in the old generation, which holds
 * what the function refers to until the next full collection.
 */
async function* readChunks(
    request: IncomingMessage,
    limitBytes: number,
    body: StreamedBody,
): AsyncGenerator<Uint8Array> {
    body.isConsumed = true;
    let bytes = 0;
    try {
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
