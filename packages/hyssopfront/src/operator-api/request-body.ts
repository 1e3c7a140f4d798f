/**
 * Reads JSON request bodies and limits their size.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { ApiError } from "./responses.js";

/** Fits the largest spec with its envelope. */
export const MAXIMUM_BODY_BYTES = 3 * 1024 * 1024 + 64 * 1024;
/** Limit of the bodies of all connections together. More are rejected until some requests have completed. */
export const MAXIMUM_BUFFERED_BYTES = 64 * 1024 * 1024;

/** Reads request bodies; all calls share one limit on buffered bytes. */
export type BodyReader = {
    /**
     * Reads the body of a request. Its bytes count as buffered until the response is closed, because the change keeps
     * them in memory until then.
     *
     * @returns The parsed JSON.
     * @throws ApiError 400, 413, 415 or 503.
     */
    readJson(request: IncomingMessage, response: ServerResponse): Promise<unknown>;
};

/** Creates a reader. The limits are in bytes, of one body and of all buffered bodies together. */
export function createBodyReader(
    limits: { maximumBodyBytes?: number; maximumBufferedBytes?: number } = {},
): BodyReader {
    const maximumBodyBytes = limits.maximumBodyBytes ?? MAXIMUM_BODY_BYTES;
    const maximumBufferedBytes = limits.maximumBufferedBytes ?? MAXIMUM_BUFFERED_BYTES;
    let bufferedBytes = 0;

    const readJson = async (request: IncomingMessage, response: ServerResponse) => {
        checkContentType(request);
        if (Number(request.headers["content-length"] ?? 0) > maximumBodyBytes) {
            throw tooLarge(maximumBodyBytes);
        }
        const chunks: Buffer[] = [];
        let bytes = 0;
        response.once("close", () => {
            bufferedBytes -= bytes;
        });
        // Destroying the request would close the connection before the error is sent.
        for await (const chunk of request.iterator({ destroyOnReturn: false })) {
            const buffer = chunk as Buffer;
            bytes += buffer.length;
            bufferedBytes += buffer.length;
            if (bytes > maximumBodyBytes) {
                throw tooLarge(maximumBodyBytes);
            }
            if (bufferedBytes > maximumBufferedBytes) {
                throw new ApiError(503, "busy", "Too many large changes are in progress.", {}, {
                    "Retry-After": "1",
                    "Connection": "close",
                });
            }
            chunks.push(buffer);
        }
        return parseJson(Buffer.concat(chunks));
    };

    return { readJson };
}

const tooLarge = (maximumBytes: number) =>
    new ApiError(413, "tooLarge", `The body is larger than ${maximumBytes} bytes.`, {}, { "Connection": "close" });

function checkContentType(request: IncomingMessage): void {
    const [mediaType = "", ...parameters] = (request.headers["content-type"] ?? "").toLowerCase().split(";");
    const charset = parameters.map(text => text.trim()).find(text => text.startsWith("charset="));
    if (mediaType.trim() !== "application/json" || ![undefined, "charset=utf-8"].includes(charset)) {
        throw new ApiError(415, "contentType", "Use the content type application/json in UTF-8.");
    }
    if (request.headers["content-encoding"] !== undefined) {
        throw new ApiError(415, "contentEncoding", "Send the body without a content encoding.");
    }
}

function parseJson(body: Buffer): unknown {
    try {
        return JSON.parse(new TextDecoder("utf-8", { fatal: true }).decode(body));
    }
    catch (error) {
        throw new ApiError(400, "malformedJson", `The body is not JSON: ${(error as Error).message}.`);
    }
}
