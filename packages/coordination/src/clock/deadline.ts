import type { Clock } from "./clock.js";

/** Work that did not finish in time. */
export class DeadlineError extends Error {
    override readonly name = "DeadlineError";
}

/** Abort reason of a sleep that nobody waits for; a constant, because a default reason costs a stack trace. */
const WORK_FINISHED = new Error("The work has finished.");

/**
 * Waits for a promise, at most for a time. The work itself goes on; the caller ends it where that is needed.
 *
 * @param milliseconds Longest wait.
 * @param work Settles with the result.
 * @param message Text of the DeadlineError.
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
    // When the work wins, the sleep is rejected by the abort and nothing waits for it any more.
    expiry.catch(() => undefined);
    try {
        return await Promise.race([work, expiry]);
    }
    finally {
        finished.abort(WORK_FINISHED);
    }
}
