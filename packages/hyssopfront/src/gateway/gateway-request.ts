/**
 * Reads and validates a caller's request.
 */
import type { IncomingMessage } from "node:http";
import type { CallerLimits } from "../catalog/items.js";
import { CREDENTIALS_HEADER } from "../client-accounts/authenticate.js";
import { selectRequestHeaders } from "../routing/headers.js";
import { BodyTooLargeError, bufferOrStreamBody, streamBody, type StreamedBody } from "../routing/request-body.js";
import { type BodyMemoryReservation, NoBodyMemoryError } from "./body-memory.js";
import type { HeaderNames } from "./header-names.js";

/** Largest body that is buffered, in bytes, so that the request can be retried; longer ones are streamed. */
const MAXIMUM_BUFFERED_BODY_BYTES = 1024 * 1024;
/**
 * Largest body that is buffered without a reservation, in bytes. One for each of the 4,100 descriptors of the smallest
 * instances takes 16 MiB.
 */
const MAXIMUM_UNRESERVED_BODY_BYTES = 4 * 1024;

/** A request of a caller. */
export type GatewayRequest = {
    readonly id: string;
    readonly method: string;
    readonly path: string;
    readonly host: string;
    /** Alternating names and values, without the headers that the gateway sets itself. */
    readonly headers: readonly string[];
    readonly affinityKey: string | undefined;
    /** Milliseconds from the arrival for which the caller waits; undefined if it states none. */
    readonly callerTimeoutMilliseconds: number | undefined;
    readonly body: Buffer | StreamedBody | undefined;
    /** Reserves the memory of the bodies of the request and its response. */
    readonly memory: BodyMemoryReservation;
};

function findCookie(cookies: string | undefined, name: string): string | undefined {
    return cookies?.split(";").map(cookie => cookie.trim()).find(cookie => cookie.startsWith(`${name}=`))
        ?.slice(name.length + 1);
}

function hasBody(message: IncomingMessage): boolean {
    return message.headers["transfer-encoding"] !== undefined || Number(message.headers["content-length"] ?? 0) > 0;
}

/** Size of the headers as received, in bytes. */
export function countHeaderBytes(message: IncomingMessage): number {
    return message.rawHeaders.reduce((sum, text) => sum + text.length + 2, message.url?.length ?? 0);
}

/** Host and path that select the route of a request. */
export type RequestTarget = { readonly host: string; readonly path: string };

/** Returns the host without its port, and the path without its query. */
export function readTarget(message: IncomingMessage): RequestTarget {
    return {
        host: (message.headers.host ?? "").toLowerCase().replace(/:\d+$/, ""),
        path: (message.url ?? "/").split("?", 1)[0] as string,
    };
}

/** Who sends a request, if the deployment has client accounts. */
export type RequestIdentity = {
    /** Name of the client account; undefined for an anonymous request. */
    readonly accountName: string | undefined;
};

/** Omits hop-by-hop headers and those that the gateway sets itself, such as the client account in place of its key. */
function selectForwardedHeaders(
    message: IncomingMessage,
    headerNames: HeaderNames,
    identity: RequestIdentity | undefined,
): string[] {
    const headers = selectRequestHeaders(message.rawHeaders, message.headers.connection);
    const overwritten = new Set([
        headerNames.deadline,
        headerNames.expectedBackendServer,
        "content-length",
        ...identity === undefined ? [] : [CREDENTIALS_HEADER, headerNames.clientAccount],
    ]);
    const accountHeader = identity?.accountName === undefined ? [] : [headerNames.clientAccount, identity.accountName];
    const forwarded = headers.flatMap((name, index) =>
        index % 2 === 0 && !overwritten.has(name) ? [name, headers[index + 1] as string] : []
    );
    return [...forwarded, ...accountHeader];
}

/**
 * Reads the body, or starts to stream one that is long or for which there is no memory.
 *
 * @throws BodyTooLargeError if the body exceeds the limit; NoBodyMemoryError if there is no memory, not even for
 * streaming it; the error of the connection if the caller closes it early.
 */
async function readBody(
    message: IncomingMessage,
    { maximumBodyBytes }: CallerLimits,
    memory: BodyMemoryReservation,
): Promise<Buffer | StreamedBody | undefined> {
    if (!hasBody(message)) {
        return undefined;
    }
    const contentLength = Number(message.headers["content-length"] ?? 0);
    if (contentLength > maximumBodyBytes) {
        throw new BodyTooLargeError(maximumBodyBytes);
    }
    // The length is reserved at once, because a body that is streamed from its beginning needs no memory.
    const isReserved = contentLength <= MAXIMUM_BUFFERED_BODY_BYTES && memory.tryReserve(contentLength);
    if (!isReserved && contentLength > MAXIMUM_UNRESERVED_BODY_BYTES) {
        reserveStream(memory);
        return streamBody(message, maximumBodyBytes);
    }
    // Chunked bodies have no known length.
    let bytes = 0;
    const body = await bufferOrStreamBody(message, maximumBodyBytes, chunkBytes => {
        bytes += chunkBytes;
        return bytes <= Math.max(contentLength, MAXIMUM_UNRESERVED_BODY_BYTES)
            || (bytes <= MAXIMUM_BUFFERED_BODY_BYTES && memory.tryReserve(chunkBytes));
    });
    if (!Buffer.isBuffer(body)) {
        reserveStream(memory);
    }
    return body;
}

function reserveStream(memory: BodyMemoryReservation): void {
    if (!memory.tryReserveStream()) {
        throw new NoBodyMemoryError();
    }
}

/** Returns why the body could not be read to its end, or undefined. The backend server is not to blame for that. */
export const bodyFailure = ({ body }: GatewayRequest): Error | undefined =>
    body === undefined || Buffer.isBuffer(body) ? undefined : body.failure;

/** Returns the status for a request whose dispatch has failed. */
export const failureStatus = (request: GatewayRequest): number =>
    bodyFailure(request) instanceof BodyTooLargeError ? 413 : 502;

/**
 * Reads a request with its body.
 *
 * @param memory Reserves the memory of the bodies of the request and its response.
 * @param identity Who sends the request; undefined if the deployment has no client accounts.
 * @throws BodyTooLargeError if the body exceeds the limit; NoBodyMemoryError if there is no memory for it; the error of
 * the connection if the caller closes it early.
 */
export async function readGatewayRequest(
    message: IncomingMessage,
    headerNames: HeaderNames,
    limits: CallerLimits,
    memory: BodyMemoryReservation,
    identity?: RequestIdentity,
): Promise<GatewayRequest> {
    const deadline = Number(message.headers[headerNames.deadline]);
    const contentLength = message.headers["content-length"];
    const body = await readBody(message, limits, memory);
    const headers = selectForwardedHeaders(message, headerNames, identity);
    if (body !== undefined && !Buffer.isBuffer(body) && contentLength !== undefined) {
        headers.push("content-length", contentLength);
    }
    return {
        id: String(message.headers[headerNames.requestId] ?? ""),
        method: message.method ?? "GET",
        path: message.url ?? "/",
        host: readTarget(message).host,
        headers,
        affinityKey: findCookie(message.headers.cookie, headerNames.affinityCookie),
        callerTimeoutMilliseconds: Number.isFinite(deadline) && deadline > 0 ? deadline : undefined,
        body,
        memory,
    };
}
