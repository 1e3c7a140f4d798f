/**
 * Splits the requests of a route among its services in the proportions of their weights.
 */
import type { WeightedService } from "../../catalog/items.js";

/**
 * Creates a split that follows the weights as closely as whole requests allow (smooth weighted round robin), so that
 * the shares are right after a few requests.
 *
 * @returns A function that gives the service of the next request.
 */
export function createServiceSplit(services: readonly WeightedService[]): () => string {
    const total = services.reduce((sum, { weight }) => sum + weight, 0);
    const credits = services.map(({ service, weight }) => ({ service, weight, credit: 0 }));
    return () => {
        credits.forEach(one => {
            one.credit += one.weight;
        });
        const next = credits.reduce((best, one) => one.credit > best.credit ? one : best);
        next.credit -= total;
        return next.service;
    };
}
