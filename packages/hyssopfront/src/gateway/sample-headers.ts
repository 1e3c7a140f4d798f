/**
 * Header names of no platform, for tests.
 */
import type { MessageHeaders } from "./message-headers.js";

export const SAMPLE_HEADERS: MessageHeaders = {
    requestId: "test-request-id",
    deadline: "test-deadline",
    affinityCookie: "test-object",
    answerSignature: "test-signature",
    expectedBackendServer: "test-expected",
    notRun: "test-not-run",
    load: "test-load",
    retryAfter: "retry-after",
};
