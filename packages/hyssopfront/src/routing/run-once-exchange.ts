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

const notRun = (status: number, reason: FailureReason, message: string): LocalResponse => ({
    status,
    outcome: RequestOutcome.NotRun,
    reason,
    message,
});
const unknown = (status: number, reason: FailureReason, message: string): LocalResponse => ({
    ...notRun(status, reason, message),
    outcome: RequestOutcome.Unknown,
});

const KEY_ANSWERS: Readonly<Record<Exclude<KeyCheck, KeyCheck.Valid>, LocalResponse>> = {
    [KeyCheck.Malformed]: notRun(422, FailureReason.KeyInvalid, "Idempotency-Key must be a UUID of version 7."),
    [KeyCheck.TooOld]: notRun(422, FailureReason.KeyTooOld, "The key is older than 24 hours."),
    [KeyCheck.InFuture]: notRun(422, FailureReason.KeyInFuture, "The key is more than 5 minutes in the future."),
};

type RefusedBegin = Exclude<BeginAnswer["result"], BeginResult.Started | BeginResult.Completed>;

const BEGIN_ANSWERS: Readonly<Record<RefusedBegin, LocalResponse>> = {
    // An earlier attempt with the key may be running, so it is not certain that the request was not run.
    [BeginResult.InProgress]: unknown(425, FailureReason.KeyInProgress, "A request with this key is in progress."),
    [BeginResult.Unknown]: unknown(
        502,
        FailureReason.KeyOutcomeUnknown,
        "An earlier request with this key may have been run; it is not run again.",
    ),
    [BeginResult.BodyMismatch]: notRun(409, FailureReason.KeyReused, "The key was used with another request."),
    [BeginResult.KeyTooOld]: KEY_ANSWERS[KeyCheck.TooOld],
    [BeginResult.KeyInFuture]: KEY_ANSWERS[KeyCheck.InFuture],
    [BeginResult.Full]: notRun(503, FailureReason.RunOnceUnavailable, "The record group has no room."),
    [UNAVAILABLE]: notRun(
        503,
        FailureReason.RunOnceUnavailable,
        "The record group of the key did not answer. This attempt was not run; an earlier one may have been.",
    ),
};

/** Collects an answer up to the size that is stored. */
function createRecorder(): { observer: ResponseObserver; take(backendServer: string): StoredAnswer | undefined } {
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

function sendReplay(response: ServerResponse, entry: string, answer: StoredAnswer): void {
    response.writeHead(answer.status, {
        ...answer.headers,
        "content-length": answer.body.length,
        [OUTCOME_HEADER]: RequestOutcome.Replayed,
        [ENTRY_HEADER]: entry,
        [BACKEND_SERVER_HEADER]: answer.backendServer,
    });
    response.end(answer.body);
}

/** Hash of all that makes two requests the same. */
const hashRequest = ({ method, path }: InspectedRequest, body: Buffer) =>
    createHash("sha256").update(`${method} ${path}\n`).update(body).digest("base64url");

function outcomeOf(
    result: ExchangeResult,
    takeAnswer: (backendServer: string) => StoredAnswer | undefined,
): FinishOutcome {
    if (result.end === ExchangeEnd.NoResponse && result.response.outcome === RequestOutcome.NotRun) {
        return { kind: FinishKind.Refused };
    }
    const answer = result.end === ExchangeEnd.Completed ? takeAnswer(result.backendServer) : undefined;
    return answer === undefined ? { kind: FinishKind.Unknown } : { kind: FinishKind.Completed, answer };
}

/** A not-run answer waits this long for the key to become free, so that a resend at once is not told `in progress`. */
const FREE_KEY_MS = 1_000;
/**
 * A request that waited for room for this long gives its key up once another attempt wants it, so that a copy at an entry
 * with room can run. Shorter waits are not worth a call to the group.
 */
export const MINIMUM_KEY_HOLD_MS = 100;

/** One request on its way to a backend server. */
export type PreparedExchange = {
    /** Takes room, waiting for it when there is none; called at most once. */
    admit(stop?: AbortSignal): AdmissionResult | Promise<AdmissionResult>;
    /**
     * Dispatches with the room that was taken, or tells why there is none; called at most once.
     *
     * @param lateAnswer For run-once requests: what happens when the deadline passes after the dispatch.
     */
    run(
        admitted: AdmissionResult,
        observer?: ResponseObserver,
        lateAnswer?: LateResponsePolicy,
    ): Promise<ExchangeResult>;
};

/** Ends well before the record counts as unknown, so that the answer is recorded before a resend is told so. */
const LATE_ANSWER_MS = IN_PROGRESS_GRACE_MS / 2;

export type RunOnceContext = {
    readonly client: RunOnceClient;
    readonly entry: string;
    /** Wall-clock time in milliseconds. */
    readonly wallTime: () => number;
    readonly remainingMilliseconds: () => number;
    readonly sleep: (milliseconds: number) => Promise<void>;
    readonly respond: (own: LocalResponse) => void;
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
    serving: RunOnceContext,
): Promise<void> {
    const key = (inspected.idempotencyKey ?? "").toLowerCase();
    const check = checkKey(key, serving.wallTime());
    if (check !== KeyCheck.Valid) {
        serving.respond(KEY_ANSWERS[check]);
        return;
    }
    const body = await readBody(request, serving);
    if (body === undefined) {
        return;
    }
    const begun = await serving.client.begin({
        tenant: inspected.tenant,
        service: inspected.service,
        key,
        bodyHash: hashRequest(inspected, body),
        deadlineMilliseconds: Math.max(0, serving.remainingMilliseconds()),
    });
    if (begun.result === BeginResult.Completed) {
        if (!response.destroyed) {
            sendReplay(response, serving.entry, begun.answer);
        }
        return;
    }
    if (begun.result !== BeginResult.Started) {
        serving.respond(BEGIN_ANSWERS[begun.result]);
        return;
    }
    await dispatchStarted(serving, begun.attempt, serving.prepare(body));
}

/** Takes room for the attempt, and stops waiting for it when another attempt wants the key. */
async function admitAttempt(
    serving: RunOnceContext,
    attempt: RunOnceAttempt,
    prepared: PreparedExchange,
): Promise<AdmissionResult> {
    const stop = new AbortController();
    const admission = prepared.admit(stop.signal);
    if (!(admission instanceof Promise)) {
        return admission;
    }
    const isAdmitted = await Promise.race([
        admission.then(() => true),
        serving.sleep(MINIMUM_KEY_HOLD_MS).then(() => false),
    ]);
    if (!isAdmitted) {
        void serving.client.awaitContention(attempt, MAXIMUM_WAIT_MS - MINIMUM_KEY_HOLD_MS)
            .then(isContended => isContended && stop.abort(WAIT_CANCELLED));
    }
    return admission;
}

async function dispatchStarted(
    serving: RunOnceContext,
    attempt: RunOnceAttempt,
    prepared: PreparedExchange,
): Promise<void> {
    const recorder = createRecorder();
    let isTold = false;
    const respondToCaller = (own: LocalResponse) => {
        isTold = true;
        serving.respond(own);
    };
    const lateAnswer = { waitMilliseconds: LATE_ANSWER_MS, respondToCaller };
    const admitted = await admitAttempt(serving, attempt, prepared);
    const result = await prepared.run(admitted, recorder.observer, lateAnswer);
    const finished = serving.client.finish(attempt, outcomeOf(result, recorder.take));
    if (result.end === ExchangeEnd.NoResponse && !isTold) {
        await Promise.race([finished, serving.sleep(FREE_KEY_MS)]);
        serving.respond(result.response);
    }
}

/** @returns The body, or undefined when the request has been answered or its caller has gone. */
async function readBody(request: IncomingMessage, serving: RunOnceContext): Promise<Buffer | undefined> {
    const tooLarge: LocalResponse = {
        ...notRun(
            413,
            FailureReason.BodyTooLarge,
            `The body of a run-once request is larger than ${MAXIMUM_RUN_ONCE_BODY_BYTES} bytes.`,
        ),
        closesConnection: true,
    };
    if (Number(request.headers["content-length"] ?? 0) > MAXIMUM_RUN_ONCE_BODY_BYTES) {
        serving.respond(tooLarge);
        return undefined;
    }
    try {
        return await readWholeBody(request, MAXIMUM_RUN_ONCE_BODY_BYTES);
    }
    catch (error) {
        if (error instanceof BodyTooLargeError) {
            serving.respond(tooLarge);
        }
        return undefined;
    }
}
