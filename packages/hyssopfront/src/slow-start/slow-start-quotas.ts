/**
 * Divides the requests that a cold backend server bears among entries.
 *
 * The control instance that takes in an announcement names the entries that may use the backend server while it is cold,
 * and the division travels with the record. All others send nothing, so the sum holds for any number of entries, for
 * entries that are cut off, and while entries start or end.
 */
import { z } from "zod";

/** Requests that an entry may send in each second while the backend server is cold, by the name of the entry. */
export const slowStartQuotasSchema = z.record(z.string(), z.number().int().positive());

export type SlowStartQuotas = z.infer<typeof slowStartQuotasSchema>;

const sumQuotas = (quotas: SlowStartQuotas) => Object.values(quotas).reduce((sum, quota) => sum + quota, 0);

/** Whole requests of each second; at least one, as a backend server without any never warms up. */
const toWholeRequests = (requestsPerSecond: number) => Math.max(1, Math.floor(requestsPerSecond));

/**
 * Divides the requests among as many entries as can have a whole one. The division that is held stays in force while all
 * its entries may have requests and its sum is right, so that entries do not take turns without need.
 *
 * @param options.held Division in force.
 * @param options.requestsPerSecond What the backend server bears while it is cold.
 * @param options.candidates Names of the entries that may be chosen, the preferred ones first.
 * @returns The new division; empty without candidates.
 */
export function allocateSlowStartQuotas(options: {
    readonly current: SlowStartQuotas;
    readonly requestsPerSecond: number;
    readonly candidates: readonly string[];
}): SlowStartQuotas {
    const { current: held, candidates } = options;
    const total = toWholeRequests(options.requestsPerSecond);
    if (sumQuotas(held) === total && Object.keys(held).every(name => candidates.includes(name))) {
        return held;
    }
    const selected = candidates.slice(0, total);
    return Object.fromEntries(selected.map((name, index) => [
        name,
        Math.floor(total / selected.length) + (index < total % selected.length ? 1 : 0),
    ]));
}
