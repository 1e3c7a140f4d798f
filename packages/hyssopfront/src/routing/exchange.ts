/**
 * Forwards one request to backend servers: dispatches it, retries and hedges it within the budgets, and passes the
 * response on to the caller.
 */
import { RequestClass } from "../resources/resource.js";
import { type Attempt, type AttemptFailure, NATIVE_RESPONSE_RULES, startAttempt } from "./attempt.js";
import { type CallerResponse, DISCARDING_RESPONSE } from "./caller-response.js";
import {
    type Exchange,
    type ExchangeDependencies,
    ExchangeEnd,
    type ExchangePlan,
    type ExchangeResult,
    type LateResponsePolicy,
    type ResponseObserver,
} from "./exchange-plan.js";
import type { LocalResponse } from "./local-response.js";
import {
    DEADLINE_HEADER,
    FailureReason,
    REQUEST_HEADER_BYTES_ESTIMATE,
    REQUEST_ID_HEADER,
    RequestOutcome,
} from "./messages.js";
import { BodyTooLargeError } from "./request-body.js";
import {
    releaseSelection,
    reservedRequestBytes,
    type Selection,
    SELECTION_FAILURE_RESPONSES,
    type SelectionFailure,
} from "./select-backend-server.js";
import { AdmissionFailure } from "./waiting/request-queue.js";

type ActiveAttempt = {
    readonly selection: Selection;
    readonly startedAt: number;
    readonly finish: () => void;
    attempt: Attempt | undefined;
};

/**
 * A reused connection counts as unresponsive after this time without a response, or after four times the 95th
 * percentile of the latency if that is longer.
 */
export const UNRESPONSIVE_AFTER_MS = 500;
const UNRESPONSIVE_LATENCY_FACTOR = 4;
/**
 * A backend server that stops at the deadline may fail slightly before it, because the deadline is sent in whole
 * milliseconds. Failures within this margin count as a passed deadline.
 */
const DEADLINE_MARGIN_MS = 5;
const MINIMUM_HEDGE_DELAY_MS = 5;
const DEADLINE_RESPONSE = [504, FailureReason.DeadlinePassed, "The deadline passed before an answer came."] as const;

/**
 * Starts an exchange. The first dispatch happens before this function returns.
 *
 * @param callerResponse Receives the response of a backend server. A local response is returned in the result instead.
 * @param admissionResult The selection for the first dispatch, or why the request was not admitted.
 * @param observer Receives the response too.
 * @param lateResponsePolicy For run-once requests: what happens when the deadline passes after the dispatch.
 */
export function startExchange(
    dependencies: ExchangeDependencies,
    plan: ExchangePlan,
    callerResponse: CallerResponse,
    admissionResult: Selection | SelectionFailure | AdmissionFailure,
    observer?: ResponseObserver,
    lateResponsePolicy?: LateResponsePolicy,
): Exchange {
    const { clock, counters, states } = dependencies;
    const { request } = plan;
    const isIdempotent = request.requestClass === RequestClass.Idempotent;
    const streamedBody = plan.body !== undefined && "chunks" in plan.body ? plan.body : undefined;
    const excluded = new Set<string>();
    const activeAttempts = new Set<ActiveAttempt>();
    /** Created only when bytes have to wait for capacity, because it costs more than the rest of an exchange. */
    let pacingController: AbortController | undefined;
    let caller = callerResponse;
    let respondingAttempt: ActiveAttempt | undefined;
    let mayHaveRun = false;
    let isSettled = false;
    let stopTimer = () => {};
    let resolveResult: (result: ExchangeResult) => void = () => undefined;
    const result = new Promise<ExchangeResult>(resolve => {
        resolveResult = resolve;
    });

    const settle = (value: ExchangeResult) => {
        if (isSettled) {
            return;
        }
        isSettled = true;
        stopTimer();
        pacingController?.abort();
        [...activeAttempts].forEach(cancel);
        resolveResult(value);
    };
    const getPacingSignal = () => {
        pacingController ??= new AbortController();
        return pacingController.signal;
    };
    const cancel = (activeAttempt: ActiveAttempt) => {
        activeAttempt.attempt?.cancel();
        activeAttempt.finish();
    };
    const createLocalResponse = (
        status: number,
        reason: FailureReason,
        message: string,
        backendServer?: string,
    ): LocalResponse => {
        mayHaveRun ||= [...activeAttempts].some(activeAttempt => activeAttempt.attempt?.wasWritten() === true);
        const outcome = mayHaveRun ? RequestOutcome.Unknown : RequestOutcome.NotRun;
        return { status, outcome, reason, message, backendServer };
    };
    const respondLocally = (...args: Parameters<typeof createLocalResponse>) =>
        settle({ end: ExchangeEnd.NoResponse, response: createLocalResponse(...args) });
    const truncateResponse = () => {
        counters.increment("routing.cut_short", 1, { service: request.service });
        caller.abort();
        settle({ end: ExchangeEnd.Truncated });
    };

    const startAnotherAttempt = (): SelectionFailure | undefined => {
        const selection = dependencies.select({
            request,
            origin: plan.origin,
            shiftSample: plan.shiftSample,
            excluded,
        });
        if (typeof selection === "string") {
            return selection;
        }
        excluded.add(selection.backendServer.name);
        dispatch(selection);
        return undefined;
    };

    const dispatch = (selection: Selection) => {
        const { state, connection, backendServer } = selection;
        const startedAt = clock.monotonicMilliseconds();
        const requestId = dependencies.nextRequestId();
        let isFinished = false;
        state.inFlight += 1;
        const activeAttempt: ActiveAttempt = {
            selection,
            startedAt,
            attempt: undefined,
            finish: () => {
                if (!isFinished) {
                    isFinished = true;
                    activeAttempts.delete(activeAttempt);
                    state.inFlight -= 1;
                    state.lastUsedAt = clock.monotonicMilliseconds();
                    selection.reservation.release();
                    dependencies.onCapacityAvailable();
                }
            },
        };
        activeAttempts.add(activeAttempt);
        const remaining = Math.max(1, Math.floor(plan.deadlineAt - startedAt));
        let responseBytes = 0;
        if (streamedBody !== undefined) {
            streamedBody.waitForCapacity = createRequestPacer(selection);
        }
        activeAttempt.attempt = startAttempt(connection, {
            method: request.method,
            path: request.path,
            headers: [...plan.headers, DEADLINE_HEADER, String(remaining), REQUEST_ID_HEADER, requestId],
            body: streamedBody?.chunks ?? plan.body as Buffer | undefined,
            requestId,
            responseRules: NATIVE_RESPONSE_RULES,
            // A backend server that returned a request id once must return it in every response.
            expectsRequestId: () => state.returnsRequestIds,
            onRequestIdReturned: () => {
                state.returnsRequestIds = true;
            },
            checkBeforeWriting: () => {
                if (clock.monotonicMilliseconds() >= plan.deadlineAt) {
                    return FailureReason.DeadlinePassed;
                }
                return dependencies.announcements.isUsable(backendServer) ? undefined : FailureReason.NoBackendServer;
            },
        }, {
            onHead: head => {
                const milliseconds = clock.monotonicMilliseconds() - startedAt;
                states.recordResponse(state, milliseconds, plan.latencyEstimate.median);
                plan.latencyEstimate.record(milliseconds);
                respondingAttempt = activeAttempt;
                [...activeAttempts].filter(other => other !== activeAttempt).forEach(cancel);
                scheduleNextStep();
                observer?.onHead(head);
                caller.begin(head, backendServer.name);
            },
            onData: chunk => {
                responseBytes += chunk.length;
                observer?.onData(chunk);
                const resume = () => activeAttempt.attempt?.resume();
                const pacedBytes = selection.responseByteKeys.length > 0
                    ? responseBytes - request.specification.answerBytesEstimate
                    : 0;
                if (pacedBytes <= 0) {
                    return caller.write(chunk, resume);
                }
                dependencies.admission.waitForCapacity(
                    selection.responseByteKeys,
                    Math.min(pacedBytes, chunk.length),
                    getPacingSignal(),
                )
                    .then(() => caller.write(chunk, resume) && resume(), () => undefined);
                return false;
            },
            onEnd: () => {
                activeAttempt.finish();
                caller.end();
                settle({ end: ExchangeEnd.Completed, backendServer: backendServer.name });
            },
            onRejected: () => {
                activeAttempt.finish();
                states.recordRejection(state);
                retryOrRespond(503, FailureReason.Rejected, "The backend server refused the request.");
            },
            onFailure: failure => {
                activeAttempt.finish();
                onFailure(activeAttempt, failure);
            },
        }, {
            release: () => state.connectionPool.release(connection),
            discard: () => state.connectionPool.discard(connection),
        });
        if (isSettled) {
            cancel(activeAttempt);
        }
    };

    /** Creates a function that makes request bytes beyond the reservation of the dispatch wait for capacity. */
    const createRequestPacer = (selection: Selection) => {
        let reservedBytes = reservedRequestBytes(request) - REQUEST_HEADER_BYTES_ESTIMATE;
        return async (bytes: number) => {
            const pacedBytes = Math.min(bytes, bytes - reservedBytes);
            reservedBytes = Math.max(0, reservedBytes - bytes);
            if (pacedBytes > 0 && selection.requestByteKeys.length > 0) {
                await dependencies.admission.waitForCapacity(selection.requestByteKeys, pacedBytes, getPacingSignal());
            }
        };
    };

    const onFailure = (activeAttempt: ActiveAttempt, failure: AttemptFailure) => {
        if (isSettled) {
            return;
        }
        const { reason, message } = failure;
        const bodyFailure = streamedBody?.failure;
        const isAtDeadline = clock.monotonicMilliseconds() >= plan.deadlineAt - DEADLINE_MARGIN_MS;
        const isBackendFault = bodyFailure === undefined && !isAtDeadline &&
            (reason === FailureReason.BackendServerFailed ||
                reason === FailureReason.BackendServerUnreachable || reason === FailureReason.BadResponse);
        if (isBackendFault) {
            counters.increment("routing.failed_attempts", 1, { service: request.service, reason });
            states.recordFailure(activeAttempt.selection.state);
            if (reason === FailureReason.BadResponse) {
                activeAttempt.selection.state.connectionPool.disableReuse();
            }
        }
        if (activeAttempt === respondingAttempt) {
            truncateResponse();
            return;
        }
        mayHaveRun ||= failure.wasWritten;
        if (bodyFailure instanceof BodyTooLargeError) {
            respondLocally(413, FailureReason.BodyTooLarge, bodyFailure.message);
        }
        else if (reason === FailureReason.BadRequest) {
            respondLocally(400, reason, message);
        }
        else if (isAtDeadline || reason === FailureReason.DeadlinePassed) {
            respondLocally(...DEADLINE_RESPONSE);
        }
        else {
            retryOrRespond(503, reason, message, activeAttempt.selection.backendServer.name);
        }
    };

    /** Retries the request if possible. Otherwise responds with the status, or with 502 if the request may have run. */
    const retryOrRespond = (status: number, reason: FailureReason, message: string, backendServer?: string) => {
        if (isSettled || activeAttempts.size > 0) {
            return;
        }
        const isReplayable = streamedBody?.isConsumed !== true && (isIdempotent || !mayHaveRun);
        if (isReplayable && clock.monotonicMilliseconds() < plan.deadlineAt && dependencies.retryBudget.tryWithdraw()) {
            counters.increment("routing.retries", 1, { service: request.service });
            if (startAnotherAttempt() === undefined) {
                return;
            }
        }
        respondLocally(mayHaveRun ? 502 : status, reason, message, backendServer);
    };

    const endAtDeadline = () => {
        if (respondingAttempt !== undefined) {
            truncateResponse();
            return;
        }
        respondLocally(...DEADLINE_RESPONSE);
    };

    /** Continues a dispatched request without its caller, so that its response can still be stored in its record. */
    const detachCaller = ({ waitMilliseconds, respondToCaller }: LateResponsePolicy) => {
        if (respondingAttempt === undefined) {
            respondToCaller(createLocalResponse(...DEADLINE_RESPONSE));
        }
        else {
            caller.abort();
        }
        caller = DISCARDING_RESPONSE;
        respondingAttempt?.attempt?.resume();
        finalStep = { at: plan.deadlineAt + waitMilliseconds, run: endAtDeadline };
    };

    const onDeadline = () => {
        counters.increment("routing.deadline_passed", 1, { service: request.service });
        if (respondingAttempt === undefined) {
            recordUnresponsiveAttempts();
        }
        const wasDispatched = [...activeAttempts].some(activeAttempt => activeAttempt.attempt?.wasWritten() === true);
        if (lateResponsePolicy !== undefined && wasDispatched) {
            detachCaller(lateResponsePolicy);
        }
        else {
            endAtDeadline();
        }
    };

    const recordUnresponsiveAttempts = () =>
        [...activeAttempts].filter(activeAttempt =>
            clock.monotonicMilliseconds() - activeAttempt.startedAt >= unresponsiveMilliseconds
        )
            .forEach(activeAttempt => states.recordFailure(activeAttempt.selection.state));

    const hedge = () => {
        const canHedge = isIdempotent && request.allowsHedging && streamedBody === undefined &&
            activeAttempts.size === 1;
        if (canHedge && dependencies.hedgeBudget.tryWithdraw()) {
            counters.increment("routing.hedges", 1, { service: request.service });
            startAnotherAttempt();
        }
    };

    /**
     * Handles attempts on reused connections that got no response. The idle connections to the same backend servers may
     * be dead too and are closed. An idempotent request is retried once on any backend server, where it gets a new
     * connection. The unresponsive attempts continue, because they may only be slow.
     */
    const onUnresponsive = () => {
        const unresponsive = [...activeAttempts].filter(activeAttempt =>
            activeAttempt.selection.connection.isReused && activeAttempt.attempt?.wasWritten() === true
        );
        unresponsive.forEach(activeAttempt => {
            counters.increment("routing.silent_connections", 1, { service: request.service });
            activeAttempt.selection.state.connectionPool.closeIdle();
        });
        if (
            unresponsive.length > 0 && isIdempotent && streamedBody === undefined &&
            dependencies.retryBudget.tryWithdraw()
        ) {
            counters.increment("routing.retries", 1, { service: request.service });
            excluded.clear();
            startAnotherAttempt();
        }
    };

    const startedAt = clock.monotonicMilliseconds();
    const { percentile95 } = plan.latencyEstimate;
    const unresponsiveMilliseconds = Math.max(UNRESPONSIVE_AFTER_MS, UNRESPONSIVE_LATENCY_FACTOR * (percentile95 ?? 0));
    const timerSteps = [
        ...(percentile95 === undefined || !isIdempotent
            ? []
            : [{ at: startedAt + Math.max(MINIMUM_HEDGE_DELAY_MS, percentile95), run: hedge }]),
        { at: startedAt + unresponsiveMilliseconds, run: onUnresponsive },
    ];
    let finalStep = { at: plan.deadlineAt, run: onDeadline };
    /** Starts the timer of the next step. Once a response has begun, only the final step remains. */
    const scheduleNextStep = () => {
        stopTimer();
        if (isSettled) {
            return;
        }
        const step = respondingAttempt === undefined ? timerSteps.shift() : undefined;
        const next = step === undefined || step.at >= finalStep.at ? finalStep : step;
        stopTimer = dependencies.timers.start(next.at, () => {
            next.run();
            scheduleNextStep();
        });
    };

    const onCallerDisconnected = () => {
        // A run-once request continues, so that a resend receives the stored response.
        if (isIdempotent) {
            settle({ end: ExchangeEnd.CallerDisconnected });
        }
    };

    dependencies.retryBudget.deposit();
    dependencies.hedgeBudget.deposit();
    if (typeof admissionResult !== "string" && startedAt < plan.deadlineAt) {
        excluded.add(admissionResult.backendServer.name);
        dispatch(admissionResult);
        scheduleNextStep();
    }
    else if (typeof admissionResult !== "string" || admissionResult === AdmissionFailure.DeadlinePassed) {
        if (typeof admissionResult !== "string") {
            releaseSelection(admissionResult);
            dependencies.onCapacityAvailable();
        }
        respondLocally(504, FailureReason.DeadlinePassed, "The deadline passed before the request was dispatched.");
    }
    else if (admissionResult === AdmissionFailure.QueueFull) {
        respondLocally(429, FailureReason.QueueFull, "Too many requests of this tenant and class wait for room.");
    }
    else if (admissionResult === AdmissionFailure.CallerDisconnected) {
        // A run-once request that was not dispatched must not be recorded with an unknown outcome.
        respondLocally(503, FailureReason.NoCapacity, "The caller left before the request was dispatched.");
    }
    else if (admissionResult === AdmissionFailure.WaitCancelled) {
        respondLocally(
            503,
            FailureReason.NoCapacity,
            "No backend server has room, and a copy of the request asks elsewhere.",
        );
    }
    else {
        const { reason, message } = SELECTION_FAILURE_RESPONSES[admissionResult];
        respondLocally(503, reason, `${message} The service is ${request.service}.`);
    }
    return { result, onCallerDisconnected };
}
