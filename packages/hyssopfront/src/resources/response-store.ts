/**
 * Stores the first response to each change by request id, so that a retry after a lost response gets the same one.
 */
import type { CommandResponse } from "./messages.js";

/** Number of responses that are kept regardless of their age. */
export const MINIMUM_RETAINED_RESPONSES = 10_000;
/** Minimum age at which a response may be evicted. */
export const RESPONSE_RETENTION_MS = 24 * 60 * 60 * 1_000;
/** Limits memory, at about 500 bytes per response. A deployment of the target size makes 310 changes a day. */
export const MAXIMUM_STORED_RESPONSES = 100_000;

/** The response to a change, with the request that it belongs to. Encoded in snapshots with these field names. */
export type StoredResponse = {
    readonly requestId: string;
    readonly fingerprint: string;
    /** Wall-clock milliseconds of the proposal. */
    readonly at: number;
    readonly answer: CommandResponse;
};

/** Responses by request id, in the order of their changes. */
export type ResponseStore = {
    get(requestId: string): StoredResponse | undefined;
    /**
     * Evicts the responses that have expired.
     *
     * @param now Wall-clock milliseconds.
     * @returns False when the store is full and must not take another response.
     */
    evictExpired(now: number): boolean;
    add(stored: StoredResponse): void;
    all(): readonly StoredResponse[];
    /** Replaces the contents. */
    restore(responses: readonly StoredResponse[]): void;
};

/**
 * Creates an empty store. It depends only on its calls, so it is equal on all replicas.
 *
 * @param limits.maximum Number of responses that fit.
 * @param limits.retained Number of responses that are kept regardless of their age.
 */
export function createResponseStore(limits: { maximum?: number; retained?: number } = {}): ResponseStore {
    const maximum = limits.maximum ?? MAXIMUM_STORED_RESPONSES;
    const retained = limits.retained ?? MINIMUM_RETAINED_RESPONSES;
    const responses = new Map<string, StoredResponse>();

    const evictExpired = (now: number) => {
        for (const [requestId, stored] of responses) {
            if (responses.size < retained || stored.at + RESPONSE_RETENTION_MS > now) {
                break;
            }
            responses.delete(requestId);
        }
        return responses.size < maximum;
    };

    return {
        get: requestId => responses.get(requestId),
        evictExpired,
        add: stored => {
            responses.set(stored.requestId, stored);
        },
        all: () => [...responses.values()],
        restore: restored => {
            responses.clear();
            restored.forEach(stored => responses.set(stored.requestId, stored));
        },
    };
}
