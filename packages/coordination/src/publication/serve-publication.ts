/**
 * Serves the reads of followers.
 */
import { type PublicationBatch, publicationReadRequestSchema } from "./messages.js";
import type { Publication } from "./publication.js";

/**
 * Creates a handler for the reads of followers, for use with `routePeerRequests`.
 *
 * @param publication Publication to serve. A follower passes its own to relay it.
 * @returns A function that validates the payload and is rejected when it is not a PublicationReadRequest.
 */
export function servePublication(
    publication: Publication,
): (from: unknown, payload: unknown, signal: AbortSignal) => Promise<PublicationBatch> {
    return async (_from, payload, signal) => {
        const request = publicationReadRequestSchema.parse(payload);
        return publication.read(request.afterRevision, request.waitMilliseconds, signal, request.cursor);
    };
}
