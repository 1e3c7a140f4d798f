/**
 * Header names for tests, unlike those of any deployment.
 */
import type { HeaderNames } from "./header-names.js";

export const SAMPLE_HEADER_NAMES: HeaderNames = {
    requestId: "test-request-id",
    deadline: "test-deadline",
    affinityCookie: "test-object",
    clientAccount: "test-account",
    responseSignature: "test-signature",
    expectedBackendServer: "test-expected",
    notExecuted: "test-not-run",
    load: "test-load",
    retryAfter: "retry-after",
    leaving: "test-leaving",
};
