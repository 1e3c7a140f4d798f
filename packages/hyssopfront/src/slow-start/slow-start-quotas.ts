/**
 * Divides the request rate of a backend server in slow start into quotas of entries.
 *
 * The control instance that receives an announcement selects the entries that may use the backend server during its
 * slow start, and the quotas are part of the replicated record. All other entries send nothing, so the limit holds for
 * any number of entries, for partitioned entries, and while entries start or stop.
 */
import { z } from "zod";

/** Requests per second that each entry may send to the backend server during its slow start, by entry name. */
export const slowStartQuotasSchema = z.record(z.string(), z.number().int().positive());

/** Quotas of entries in requests per second, by entry name. */
export type SlowStartQuotas = z.infer<typeof slowStartQuotasSchema>;

const sumQuotas = (quotas: SlowStartQuotas) => Object.values(quotas).reduce((sum, quota) => sum + quota, 0);

/** Largest request rate that is divided, in requests per second; a service without a limit has an infinite one. */
const MAXIMUM_REQUESTS_PER_SECOND = 1_000_000;

/** Rounds down to whole requests, at least one, because a backend server without requests never warms up. */
const toWholeRequests = (requestsPerSecond: number) =>
    Math.max(1, Math.floor(Math.min(MAXIMUM_REQUESTS_PER_SECOND, requestsPerSecond)));

/**
 * Divides the request rate among as many entries as can have at least one request per second. The current quotas are
 * kept while all of their entries are candidates and their sum is equal to the rate, because two entries can both use
 * their quotas within one second when a quota moves from one to the other.
 *
 * @param options.current Current quotas.
 * @param options.requestsPerSecond Requests per second that the backend server can process during its slow start.
 * @param options.candidates Names of the entries that may be selected, in order of preference.
 * @returns The new quotas, or an empty object without candidates.
 */
export function allocateSlowStartQuotas(options: {
    readonly current: SlowStartQuotas;
    readonly requestsPerSecond: number;
    readonly candidates: readonly string[];
}): SlowStartQuotas {
    const { current, candidates } = options;
    const total = toWholeRequests(options.requestsPerSecond);
    if (sumQuotas(current) === total && Object.keys(current).every(name => candidates.includes(name))) {
        return current;
    }
    const selected = candidates.slice(0, total);
    return Object.fromEntries(selected.map((name, index) => [
        name,
        Math.floor(total / selected.length) + (index < total % selected.length ? 1 : 0),
    ]));
}
