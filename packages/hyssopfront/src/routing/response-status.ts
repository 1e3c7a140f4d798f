/**
 * Decides which statuses of backend servers may reach a caller. `startAttempt` refuses every response, also a rejection,
 * whose status is not valid; the gateway refuses the others when the head of a response arrives, before anything of it is
 * buffered or streamed.
 */

/** Statuses that tell a caller that its request has not run and will not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** Returns true for the status of a response that precedes the final one. */
export const isInformationalStatus = (status: number): boolean => status >= 100 && status <= 199;

/** Returns true for a status that a final response may have. Node's parser reports `000` as 0, and also 600 to 999. */
export const isFinalStatus = (status: number): boolean => status >= 200 && status <= 599;

/** Returns true for a status that only a rejection may have, since it promises that the request has not run. */
export const promisesNotRun = (status: number): boolean => NOT_RUN_STATUSES.has(status);
