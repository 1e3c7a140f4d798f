/**
 * First answers of changes by request id, so that a resend gets the answer that was lost.
 */
import type { CommandResponse } from "./messages.js";

export const MINIMUM_RETAINED_RESPONSES = 10_000;
export const RESPONSE_RETENTION_MS = 24 * 60 * 60 * 1_000;
/** Bounds the memory at about 500 bytes an answer; the design size makes 310 changes a day. */
export const MAXIMUM_STORED_RESPONSES = 100_000;

export type StoredResponse = {
    readonly requestId: string;
    readonly fingerprint: string;
    /** Wall-clock milliseconds of the proposal. */
    readonly at: number;
    readonly answer: CommandResponse;
};

export type ResponseStore = {
    get(requestId: string): StoredResponse | undefined;
    /** Drops what may be forgotten at `now`; false when a further answer would exceed the bound. */
    makeRoom(now: number): boolean;
    add(stored: StoredResponse): void;
    all(): readonly StoredResponse[];
    restore(answers: readonly StoredResponse[]): void;
};

/** Creates an empty store. It depends only on its calls, so it is equal on all replicas. */
export function createResponseStore(limits: { maximum?: number; retained?: number } = {}): ResponseStore {
    const maximum = limits.maximum ?? MAXIMUM_STORED_RESPONSES;
    const retained = limits.retained ?? MINIMUM_RETAINED_RESPONSES;
    const answers = new Map<string, StoredResponse>();

    const makeRoom = (now: number) => {
        for (const [requestId, stored] of answers) {
            if (answers.size < retained || stored.at + RESPONSE_RETENTION_MS > now) {
                break;
            }
            answers.delete(requestId);
        }
        return answers.size < maximum;
    };

    return {
        get: requestId => answers.get(requestId),
        makeRoom,
        add: stored => {
            answers.set(stored.requestId, stored);
        },
        all: () => [...answers.values()],
        restore: restored => {
            answers.clear();
            restored.forEach(stored => answers.set(stored.requestId, stored));
        },
    };
}
