import type { Clock } from "./clock.js";

/** Thrown when work did not finish in time. */
export class DeadlineError extends Error {
    override readonly name = "DeadlineError";
}

/** Abort reason of the sleep once the work has finished. A constant, because a default reason costs a stack trace. */
const WORK_FINISHED = new Error("The work has finished.");

/**
 * Waits for a promise with a timeout. The work itself is not cancelled, which is left to the caller.
 *
 * @param milliseconds Longest wait.
 * @param work Promise to wait for.
 * @param message Message of the DeadlineError.
 * @throws DeadlineError when the time has passed first.
 */
export async function withDeadline<T>(
    clock: Clock,
    milliseconds: number,
    work: Promise<T>,
    message = `The deadline of ${milliseconds} ms has passed.`,
): Promise<T> {
    const finished = new AbortController();
    const expiry = clock.sleep(milliseconds, finished.signal).then(() => {
        throw new DeadlineError(message);
    });
    // When the work finishes first, the abort rejects the sleep and nothing else handles that rejection.
    expiry.catch(() => undefined);
    try {
        return await Promise.race([work, expiry]);
    }
    finally {
        finished.abort(WORK_FINISHED);
    }
}
