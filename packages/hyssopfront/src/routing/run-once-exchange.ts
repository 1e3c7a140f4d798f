/**
 * Run-once requests: a record is begun before the dispatch and finished after the answer was read whole.
 */
import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { checkKey, KeyCheck } from "../run-once/idempotency-key.js";
import {
    BeginResult,
    FinishKind,
    type FinishOutcome,
    IN_PROGRESS_GRACE_MS,
    MAXIMUM_RUN_ONCE_BODY_BYTES,
    MAXIMUM_STORED_ANSWER_BYTES,
    type StoredAnswer,
} from "../run-once/messages.js";
import { type BeginAnswer, type RunOnceAttempt, type RunOnceClient, UNAVAILABLE } from "../run-once/run-once-client.js";
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

const KEY_CHECK_RESPONSES: Readonly<Record<Exclude<KeyCheck, KeyCheck.Valid>, LocalResponse>> = {
    [KeyCheck.Malformed]: notRunResponse(422, FailureReason.KeyInvalid, "Idempotency-Key must be a UUID of version 7."),
    [KeyCheck.TooOld]: notRunResponse(422, FailureReason.KeyTooOld, "The key is older than 24 hours."),
    [KeyCheck.InFuture]: notRunResponse(
        422,
        FailureReason.KeyInFuture,
        "The key is more than 5 minutes in the future.",
    ),
};

type BeginFailure = Exclude<BeginAnswer["result"], BeginResult.Started | BeginResult.Completed>;

const BEGIN_FAILURE_RESPONSES: Readonly<Record<BeginFailure, LocalResponse>> = {
    // An earlier attempt with the key may be running, so it is not certain that the request was not run.
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
    [BeginResult.KeyTooOld]: KEY_CHECK_RESPONSES[KeyCheck.TooOld],
    [BeginResult.KeyInFuture]: KEY_CHECK_RESPONSES[KeyCheck.InFuture],
    [BeginResult.Full]: notRunResponse(503, FailureReason.RunOnceUnavailable, "The record group has no room."),
    [UNAVAILABLE]: notRunResponse(
        503,
        FailureReason.RunOnceUnavailable,
        "The record group of the key did not answer. This attempt was not run; an earlier one may have been.",
    ),
};

/** Collects an answer up to the size that is stored. */
function createResponseRecorder(): {
    observer: ResponseObserver;
    take(backendServer: string): StoredAnswer | undefined;
} {
    let status = 0;
    let headers: StoredAnswer["headers"] = {};
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
                if (bytes <= MAXIMUM_STORED_ANSWER_BYTES) {
                    chunks.push(chunk);
                }
                else {
                    chunks = [];
                }
            },
        },
        take: backendServer =>
            bytes <= MAXIMUM_STORED_ANSWER_BYTES
                ? { status, headers, body: Buffer.concat(chunks), backendServer }
                : undefined,
    };
}

function sendReplayedResponse(response: ServerResponse, entry: string, storedResponse: StoredAnswer): void {
    response.writeHead(storedResponse.status, {
        ...storedResponse.headers,
        "content-length": storedResponse.body.length,
        [OUTCOME_HEADER]: RequestOutcome.Replayed,
        [ENTRY_HEADER]: entry,
        [BACKEND_SERVER_HEADER]: storedResponse.backendServer,
    });
    response.end(storedResponse.body);
}

/** Hash of all that makes two requests the same. */
const hashRequest = ({ method, path }: InspectedRequest, body: Buffer) =>
    createHash("sha256").update(`${method} ${path}\n`).update(body).digest("base64url");

function toFinishOutcome(
    result: ExchangeResult,
    takeStoredResponse: (backendServer: string) => StoredAnswer | undefined,
): FinishOutcome {
    if (result.end === ExchangeEnd.NoResponse && result.response.outcome === RequestOutcome.NotRun) {
        return { kind: FinishKind.Refused };
    }
    const storedResponse = result.end === ExchangeEnd.Completed ? takeStoredResponse(result.backendServer) : undefined;
    return storedResponse === undefined
        ? { kind: FinishKind.Unknown }
        : { kind: FinishKind.Completed, answer: storedResponse };
}

/** A not-run answer waits this long for the key to become free, so that a resend at once is not told `in progress`. */
const KEY_RELEASE_WAIT_MS = 1_000;
/**
 * A request that waited for room for this long gives its key up once another attempt wants it, so that a copy at an entry
 * with room can run. Shorter waits are not worth a call to the group.
 */
export const MINIMUM_KEY_HOLD_MS = 100;

/** One request on its way to a backend server. */
export type PreparedExchange = {
    /** Takes room, waiting for it when there is none; called at most once. */
    admit(cancelSignal?: AbortSignal): AdmissionResult | Promise<AdmissionResult>;
    /**
     * Dispatches with the room that was taken, or tells why there is none; called at most once.
     *
     * @param lateAnswer For run-once requests: what happens when the deadline passes after the dispatch.
     */
    run(
        admissionResult: AdmissionResult,
        observer?: ResponseObserver,
        lateResponsePolicy?: LateResponsePolicy,
    ): Promise<ExchangeResult>;
};

/** Ends well before the record counts as unknown, so that the answer is recorded before a resend is told so. */
const LATE_RESPONSE_WAIT_MS = IN_PROGRESS_GRACE_MS / 2;

export type RunOnceContext = {
    readonly client: RunOnceClient;
    readonly entry: string;
    /** Wall-clock time in milliseconds. */
    readonly wallTime: () => number;
    readonly remainingMilliseconds: () => number;
    readonly sleep: (milliseconds: number) => Promise<void>;
    readonly respond: (localResponse: LocalResponse) => void;
    /** Called at most once. */
    readonly prepare: (body: Buffer) => PreparedExchange;
};

/**
 * Serves one run-once request to its end, also when the caller has gone.
 */
export async function serveRunOnce(
    request: IncomingMessage,
    response: ServerResponse,
    inspected: InspectedRequest,
    context: RunOnceContext,
): Promise<void> {
    const key = (inspected.idempotencyKey ?? "").toLowerCase();
    const keyCheck = checkKey(key, context.wallTime());
    if (keyCheck !== KeyCheck.Valid) {
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

/** Takes room for the attempt, and stops waiting for it when another attempt wants the key. */
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
    const finished = context.client.finish(attempt, toFinishOutcome(result, recorder.take));
    if (result.end === ExchangeEnd.NoResponse && !hasResponded) {
        await Promise.race([finished, context.sleep(KEY_RELEASE_WAIT_MS)]);
        context.respond(result.response);
    }
}

/** @returns The body, or undefined when the request has been answered or its caller has gone. */
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
