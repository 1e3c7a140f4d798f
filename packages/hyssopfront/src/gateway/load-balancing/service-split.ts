/**
 * Splits the requests of a route among its services in proportion to their weights.
 */
import type { WeightedService } from "../../catalog/items.js";

/**
 * Creates a traffic split by smooth weighted round robin, which matches the weights after only a few requests.
 *
 * @returns A function that returns the service of the next request.
 */
export function createServiceSplit(services: readonly WeightedService[]): () => string {
    // Relative to the largest weight, because the sum of very large weights is infinite.
    const largest = Math.max(...services.map(({ weight }) => weight));
    const credits = services.map(({ service, weight }) => ({ service, weight: weight / largest, credit: 0 }));
    const total = credits.reduce((sum, { weight }) => sum + weight, 0);
    return () => {
        credits.forEach(candidate => {
            candidate.credit += candidate.weight;
        });
        const next = credits.reduce((best, candidate) => candidate.credit > best.credit ? candidate : best);
        next.credit -= total;
        return next.service;
    };
}
