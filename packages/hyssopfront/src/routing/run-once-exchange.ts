/**
 * Run-once requests. A record is begun before the dispatch, and finished after the response was read completely.
 */
import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { checkKey, KeyValidity } from "../run-once/idempotency-key.js";
import {
    type AttemptOutcome,
    AttemptOutcomeKind,
    BeginResult,
    IN_PROGRESS_GRACE_MS,
    MAXIMUM_RUN_ONCE_BODY_BYTES,
    MAXIMUM_STORED_RESPONSE_BYTES,
    type StoredResponse,
} from "../run-once/messages.js";
import {
    type BeginOutcome,
    GROUP_UNAVAILABLE,
    type RunOnceAttempt,
    type RunOnceClient,
} from "../run-once/run-once-client.js";
import { ExchangeEnd, type ExchangeResult, type LateResponsePolicy, type ResponseObserver } from "./exchange-plan.js";
import { selectResponseHeaders } from "./headers.js";
import type { InspectedRequest } from "./inspect-request.js";
import type { LocalResponse } from "./local-response.js";
import { BACKEND_SERVER_HEADER, ENTRY_HEADER, FailureReason, OUTCOME_HEADER, RequestOutcome } from "./messages.js";
import { BodyTooLargeError, readWholeBody } from "./request-body.js";
import { type AdmissionResult, MAXIMUM_WAIT_MS, WAIT_CANCELLED } from "./waiting/request-queue.js";

const notRunResponse = (status: number, reason: FailureReason, message: string): LocalResponse => ({
    status,
    outcome: RequestOutcome.NotRun,
    reason,
    message,
});
const unknownResponse = (status: number, reason: FailureReason, message: string): LocalResponse => ({
    ...notRunResponse(status, reason, message),
    outcome: RequestOutcome.Unknown,
});

const KEY_CHECK_RESPONSES: Readonly<Record<Exclude<KeyValidity, KeyValidity.Valid>, LocalResponse>> = {
    [KeyValidity.Malformed]: notRunResponse(
        422,
        FailureReason.KeyInvalid,
        "Idempotency-Key must be a UUID of version 7.",
    ),
    [KeyValidity.TooOld]: notRunResponse(422, FailureReason.KeyTooOld, "The key is older than 24 hours."),
    [KeyValidity.InFuture]: notRunResponse(
        422,
        FailureReason.KeyInFuture,
        "The key is more than 5 minutes in the future.",
    ),
};

type BeginFailure = Exclude<BeginOutcome["result"], BeginResult.Started | BeginResult.Completed>;

const BEGIN_FAILURE_RESPONSES: Readonly<Record<BeginFailure, LocalResponse>> = {
    // An earlier attempt with the same key may be running, so the request may have been run.
    [BeginResult.InProgress]: unknownResponse(
        425,
        FailureReason.KeyInProgress,
        "A request with this key is in progress.",
    ),
    [BeginResult.Unknown]: unknownResponse(
        502,
        FailureReason.KeyOutcomeUnknown,
        "An earlier request with this key may have been run; it is not run again.",
    ),
    [BeginResult.BodyMismatch]: notRunResponse(409, FailureReason.KeyReused, "The key was used with another request."),
    [BeginResult.KeyTooOld]: KEY_CHECK_RESPONSES[KeyValidity.TooOld],
    [BeginResult.KeyInFuture]: KEY_CHECK_RESPONSES[KeyValidity.InFuture],
    [BeginResult.Full]: notRunResponse(503, FailureReason.RunOnceUnavailable, "The record group has no room."),
    [GROUP_UNAVAILABLE]: notRunResponse(
        503,
        FailureReason.RunOnceUnavailable,
        "The record group of the key did not answer. This attempt was not run; an earlier one may have been.",
    ),
};

/**
 * Creates an observer that collects a response up to the size limit of stored responses.
 *
 * @returns The observer, and a function that returns the response to store, or undefined if it was too large.
 */
function createResponseRecorder(): {
    observer: ResponseObserver;
    toStoredResponse(backendServer: string): StoredResponse | undefined;
} {
    let status = 0;
    let headers: StoredResponse["headers"] = {};
    let bytes = 0;
    let chunks: Buffer[] = [];
    return {
        observer: {
            onHead: head => {
                status = head.status;
                headers = selectResponseHeaders(head.headers);
                bytes = JSON.stringify(headers).length;
            },
            onData: chunk => {
                bytes += chunk.length;
                if (bytes <= MAXIMUM_STORED_RESPONSE_BYTES) {
                    chunks.push(chunk);
                }
                else {
                    chunks = [];
                }
            },
        },
        toStoredResponse: backendServer =>
            bytes <= MAXIMUM_STORED_RESPONSE_BYTES
                ? { status, headers, body: Buffer.concat(chunks), backendServer }
                : undefined,
    };
}

function sendReplayedResponse(response: ServerResponse, entry: string, storedResponse: StoredResponse): void {
    response.writeHead(storedResponse.status, {
        ...storedResponse.headers,
        "content-length": storedResponse.body.length,
        [OUTCOME_HEADER]: RequestOutcome.Replayed,
        [ENTRY_HEADER]: entry,
        [BACKEND_SERVER_HEADER]: storedResponse.backendServer,
    });
    response.end(storedResponse.body);
}

/** Hashes the method, path and body. Requests with the same key must have the same hash. */
const hashRequest = ({ method, path }: InspectedRequest, body: Buffer) =>
    createHash("sha256").update(`${method} ${path}\n`).update(body).digest("base64url");

function toAttemptOutcome(
    result: ExchangeResult,
    takeStoredResponse: (backendServer: string) => StoredResponse | undefined,
): AttemptOutcome {
    if (result.end === ExchangeEnd.NoResponse && result.response.outcome === RequestOutcome.NotRun) {
        return { kind: AttemptOutcomeKind.Rejected };
    }
    const storedResponse = result.end === ExchangeEnd.Completed ? takeStoredResponse(result.backendServer) : undefined;
    return storedResponse === undefined
        ? { kind: AttemptOutcomeKind.Unknown }
        : { kind: AttemptOutcomeKind.Completed, answer: storedResponse };
}

/**
 * A not-run response is delayed by up to this time until the record is finished. Otherwise an immediate resend could be
 * rejected because the key is still in progress.
 */
const KEY_RELEASE_WAIT_MS = 1_000;
/**
 * A request that has waited this long for capacity releases its key once another attempt uses the key, so that a copy
 * of the request at an entry with capacity can run. Shorter waits do not justify a call to the record group.
 */
export const MINIMUM_KEY_HOLD_MS = 100;

/** A request that is ready to be admitted and dispatched. */
export type PreparedExchange = {
    /**
     * Selects a backend server and reserves capacity, or waits for capacity. Must be called at most once.
     *
     * @param cancelSignal Ends the wait.
     */
    admit(cancelSignal?: AbortSignal): AdmissionResult | Promise<AdmissionResult>;
    /**
     * Dispatches the request with its selection, or returns a local response if it was not admitted. Must be called at
     * most once.
     *
     * @param admissionResult Result of `admit`.
     * @param observer Receives the response too.
     * @param lateResponsePolicy For run-once requests: what happens when the deadline passes after the dispatch.
     */
    run(
        admissionResult: AdmissionResult,
        observer?: ResponseObserver,
        lateResponsePolicy?: LateResponsePolicy,
    ): Promise<ExchangeResult>;
};

/**
 * Wait for a response after the deadline. It ends well before the outcome in the record counts as unknown, so that the
 * response is recorded before a resend is told that the outcome is unknown.
 */
const LATE_RESPONSE_WAIT_MS = IN_PROGRESS_GRACE_MS / 2;

/** What the handling of one run-once request needs. */
export type RunOnceContext = {
    readonly client: RunOnceClient;
    /** Name of this entry. */
    readonly entry: string;
    /** Wall-clock time in milliseconds. */
    readonly wallTime: () => number;
    /** Returns the time until the deadline of the request. */
    readonly remainingMilliseconds: () => number;
    readonly sleep: (milliseconds: number) => Promise<void>;
    readonly respond: (localResponse: LocalResponse) => void;
    /** Prepares the exchange. Called at most once. */
    readonly prepare: (body: Buffer) => PreparedExchange;
};

/**
 * Serves one run-once request until its outcome is recorded, even if the caller disconnects.
 */
export async function serveRunOnce(
    request: IncomingMessage,
    response: ServerResponse,
    inspected: InspectedRequest,
    context: RunOnceContext,
): Promise<void> {
    const key = (inspected.idempotencyKey ?? "").toLowerCase();
    const keyCheck = checkKey(key, context.wallTime());
    if (keyCheck !== KeyValidity.Valid) {
        context.respond(KEY_CHECK_RESPONSES[keyCheck]);
        return;
    }
    const body = await readBody(request, context);
    if (body === undefined) {
        return;
    }
    const beginResult = await context.client.begin({
        tenant: inspected.tenant,
        service: inspected.service,
        key,
        bodyHash: hashRequest(inspected, body),
        deadlineMilliseconds: Math.max(0, context.remainingMilliseconds()),
    });
    if (beginResult.result === BeginResult.Completed) {
        if (!response.destroyed) {
            sendReplayedResponse(response, context.entry, beginResult.answer);
        }
        return;
    }
    if (beginResult.result !== BeginResult.Started) {
        context.respond(BEGIN_FAILURE_RESPONSES[beginResult.result]);
        return;
    }
    await dispatchStarted(context, beginResult.attempt, context.prepare(body));
}

/** Admits the attempt. Stops waiting for capacity when another attempt uses the key. */
async function admitAttempt(
    context: RunOnceContext,
    attempt: RunOnceAttempt,
    prepared: PreparedExchange,
): Promise<AdmissionResult> {
    const cancelController = new AbortController();
    const admission = prepared.admit(cancelController.signal);
    if (!(admission instanceof Promise)) {
        return admission;
    }
    const isAdmitted = await Promise.race([
        admission.then(() => true),
        context.sleep(MINIMUM_KEY_HOLD_MS).then(() => false),
    ]);
    if (!isAdmitted) {
        void context.client.awaitContention(attempt, MAXIMUM_WAIT_MS - MINIMUM_KEY_HOLD_MS)
            .then(isContended => isContended && cancelController.abort(WAIT_CANCELLED));
    }
    return admission;
}

async function dispatchStarted(
    context: RunOnceContext,
    attempt: RunOnceAttempt,
    prepared: PreparedExchange,
): Promise<void> {
    const recorder = createResponseRecorder();
    let hasResponded = false;
    const respondToCaller = (localResponse: LocalResponse) => {
        hasResponded = true;
        context.respond(localResponse);
    };
    const lateResponsePolicy = { waitMilliseconds: LATE_RESPONSE_WAIT_MS, respondToCaller };
    const admissionResult = await admitAttempt(context, attempt, prepared);
    const result = await prepared.run(admissionResult, recorder.observer, lateResponsePolicy);
    const finished = context.client.finish(attempt, toAttemptOutcome(result, recorder.toStoredResponse));
    if (result.end === ExchangeEnd.NoResponse && !hasResponded) {
        await Promise.race([finished, context.sleep(KEY_RELEASE_WAIT_MS)]);
        context.respond(result.response);
    }
}

/**
 * Reads the body of a run-once request.
 *
 * @returns The body, or undefined if a local response was sent or the caller disconnected.
 */
async function readBody(request: IncomingMessage, context: RunOnceContext): Promise<Buffer | undefined> {
    const tooLarge: LocalResponse = {
        ...notRunResponse(
            413,
            FailureReason.BodyTooLarge,
            `The body of a run-once request is larger than ${MAXIMUM_RUN_ONCE_BODY_BYTES} bytes.`,
        ),
        closesConnection: true,
    };
    if (Number(request.headers["content-length"] ?? 0) > MAXIMUM_RUN_ONCE_BODY_BYTES) {
        context.respond(tooLarge);
        return undefined;
    }
    try {
        return await readWholeBody(request, MAXIMUM_RUN_ONCE_BODY_BYTES);
    }
    catch (error) {
        if (error instanceof BodyTooLargeError) {
            context.respond(tooLarge);
        }
        return undefined;
    }
}
