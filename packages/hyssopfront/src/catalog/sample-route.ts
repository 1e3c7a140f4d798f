/**
 * Route for tests.
 */
import type { Route } from "./items.js";

export const SAMPLE_ROUTE: Route = {
    host: "gateway.example",
    pathPrefix: "/",
    isIdempotent: true,
    timeoutMilliseconds: 1_000,
    latencyObjectiveMilliseconds: 200,
    priority: 0,
    services: [{ service: "stoc", weight: 1 }],
    maximumAttempts: 2,
    hasAffinity: true,
    homeRegions: [],
};
