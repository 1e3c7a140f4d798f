/**
 * Header names, outcomes, reasons and limits of the request path, as defined in section 3.11 of the design page.
 */

/** Whether the request of a caller was run, as sent in `Hyssop-Outcome`. */
export enum RequestOutcome {
    Run = "run",
    NotRun = "not-run",
    Unknown = "unknown",
    Replayed = "replayed",
}

/** Why the entry sent a local response, as sent in `Hyssop-Reason`. */
export enum FailureReason {
    BadRequest = "bad-request",
    BadFraming = "bad-framing",
    HeadersTooLarge = "headers-too-large",
    BodyTooLarge = "body-too-large",
    RequestTimeout = "request-timeout",
    UnknownService = "unknown-service",
    KeyReused = "key-reused",
    KeyInvalid = "key-invalid",
    KeyTooOld = "key-too-old",
    KeyInFuture = "key-in-future",
    KeyInProgress = "key-in-progress",
    /** An earlier request with this key has an unknown outcome. */
    KeyOutcomeUnknown = "key-outcome-unknown",
    RunOnceUnavailable = "run-once-unavailable",
    /** Too many requests of the tenant and class are queued. */
    QueueFull = "limit",
    NoBackendServer = "no-backend-server",
    NoCapacity = "no-room",
    /** The circuit breakers of all backend servers are open. */
    CircuitOpen = "circuit-open",
    Rejected = "refused",
    BackendServerUnreachable = "backend-server-unreachable",
    BackendServerFailed = "backend-server-failed",
    /** The response was not delimited, or did not carry the id of the request. */
    BadResponse = "bad-answer",
    DeadlinePassed = "deadline-passed",
}

export const OUTCOME_HEADER = "hyssop-outcome";
export const REASON_HEADER = "hyssop-reason";
export const ENTRY_HEADER = "hyssop-entry";
export const BACKEND_SERVER_HEADER = "hyssop-backend-server";
export const TENANT_HEADER = "hyssop-tenant";
export const DEADLINE_HEADER = "hyssop-deadline-ms";
/** Request header. The value `off` disables hedging for the request. */
export const HEDGE_HEADER = "hyssop-hedge";
/** A backend server sends the value `true` with status 503 if it rejected the request without running it. */
export const REJECTED_HEADER = "hyssop-refused";
export const IDEMPOTENCY_KEY_HEADER = "idempotency-key";
/**
 * Sent with each dispatched request. A backend server may return the id in its response. Once it has returned an id, it
 * must return the id of the request in every response. A response with another id is not delivered to the caller.
 */
export const REQUEST_ID_HEADER = "hyssop-request-id";

export const DEFAULT_TENANT = "default";
export const DEFAULT_DEADLINE_MS = 10_000;
export const MAXIMUM_DEADLINE_MS = 600_000;
export const MAXIMUM_HEADER_BYTES = 16_384;
/** Largest body of an idempotent request, which is streamed and not buffered. */
export const MAXIMUM_BODY_BYTES = 256 * 1_024 * 1_024;
/** Bodies up to this size are buffered before the dispatch, so that the request can be retried and hedged. */
export const REPLAYABLE_BODY_BYTES = 65_536;
/** Bytes that are charged to the budgets of links and shifts for the request line and headers of a request. */
export const REQUEST_HEADER_BYTES_ESTIMATE = 512;
