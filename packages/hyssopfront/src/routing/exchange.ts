/**
 * Brings one request to an answer: dispatches it, retries and hedges within their budgets, and passes the answer on.
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
    readonly choice: Selection;
    readonly startedAt: number;
    readonly finish: () => void;
    attempt: Attempt | undefined;
};

/** A connection that carried answers before is suspected silent after this time, or four times the usual if longer. */
export const UNRESPONSIVE_AFTER_MS = 500;
const UNRESPONSIVE_LATENCY_FACTOR = 4;
/** A backend server that gives up at the deadline may do so a little earlier, as it is told whole milliseconds. */
const DEADLINE_MARGIN_MS = 5;
const SMALLEST_HEDGE_DELAY_MS = 5;
const DEADLINE_ANSWER = [504, FailureReason.DeadlinePassed, "The deadline passed before an answer came."] as const;

/**
 * Starts the exchange; the first dispatch happens before this returns.
 *
 * @param admitted What was chosen for the first dispatch, or why there is none.
 * @param observer Hears the answer too.
 * @param lateAnswer For run-once requests: what happens when the deadline passes after the dispatch.
 */
export function startExchange(
    tools: ExchangeDependencies,
    plan: ExchangePlan,
    callerResponse: CallerResponse,
    admitted: Selection | SelectionFailure | AdmissionFailure,
    observer?: ResponseObserver,
    lateAnswer?: LateResponsePolicy,
): Exchange {
    const { clock, counters, states } = tools;
    const { request } = plan;
    const isIdempotent = request.requestClass === RequestClass.Idempotent;
    const streamed = plan.body !== undefined && "chunks" in plan.body ? plan.body : undefined;
    const excluded = new Set<string>();
    const active = new Set<ActiveAttempt>();
    /** Made only when bytes have to wait for room, as it costs more than the rest of an exchange. */
    let pacing: AbortController | undefined;
    let caller = callerResponse;
    let winner: ActiveAttempt | undefined;
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
        pacing?.abort();
        [...active].forEach(cancel);
        resolveResult(value);
    };
    const pacingSignal = () => {
        pacing ??= new AbortController();
        return pacing.signal;
    };
    const cancel = (one: ActiveAttempt) => {
        one.attempt?.cancel();
        one.finish();
    };
    const makeAnswer = (
        status: number,
        reason: FailureReason,
        message: string,
        backendServer?: string,
    ): LocalResponse => {
        mayHaveRun ||= [...active].some(one => one.attempt?.wasWritten() === true);
        const outcome = mayHaveRun ? RequestOutcome.Unknown : RequestOutcome.NotRun;
        return { status, outcome, reason, message, backendServer };
    };
    const answerItself = (...parts: Parameters<typeof makeAnswer>) =>
        settle({ end: ExchangeEnd.NoResponse, response: makeAnswer(...parts) });
    const cutShort = () => {
        counters.increment("routing.cut_short", 1, { service: request.service });
        caller.abort();
        settle({ end: ExchangeEnd.Truncated });
    };

    const launch = (): SelectionFailure | undefined => {
        const choice = tools.select({ request, origin: plan.origin, shiftSample: plan.shiftSample, excluded });
        if (typeof choice === "string") {
            return choice;
        }
        excluded.add(choice.backendServer.name);
        dispatch(choice);
        return undefined;
    };

    const dispatch = (choice: Selection) => {
        const { state, connection, backendServer } = choice;
        const startedAt = clock.monotonicMilliseconds();
        const requestId = tools.nextRequestId();
        let isFinished = false;
        state.inFlight += 1;
        const one: ActiveAttempt = {
            choice,
            startedAt,
            attempt: undefined,
            finish: () => {
                if (!isFinished) {
                    isFinished = true;
                    active.delete(one);
                    state.inFlight -= 1;
                    state.lastUsedAt = clock.monotonicMilliseconds();
                    choice.reservation.release();
                    tools.onCapacityAvailable();
                }
            },
        };
        active.add(one);
        const remaining = Math.max(1, Math.floor(plan.deadlineAt - startedAt));
        let answerBytes = 0;
        if (streamed !== undefined) {
            streamed.waitForCapacity = paceRequest(choice);
        }
        one.attempt = startAttempt(connection, {
            method: request.method,
            path: request.path,
            headers: [...plan.headers, DEADLINE_HEADER, String(remaining), REQUEST_ID_HEADER, requestId],
            body: streamed?.chunks ?? plan.body as Buffer | undefined,
            requestId,
            responseRules: NATIVE_RESPONSE_RULES,
            // An id that was returned once must be returned in every answer.
            expectsRequestId: () => state.returnsRequestIds,
            onRequestIdReturned: () => {
                state.returnsRequestIds = true;
            },
            checkBeforeWriting: () => {
                if (clock.monotonicMilliseconds() >= plan.deadlineAt) {
                    return FailureReason.DeadlinePassed;
                }
                return tools.announcements.isUsable(backendServer) ? undefined : FailureReason.NoBackendServer;
            },
        }, {
            onHead: head => {
                const milliseconds = clock.monotonicMilliseconds() - startedAt;
                states.recordResponse(state, milliseconds, plan.latencyEstimate.median);
                plan.latencyEstimate.record(milliseconds);
                winner = one;
                [...active].filter(other => other !== one).forEach(cancel);
                armTimer();
                observer?.onHead(head);
                caller.begin(head, backendServer.name);
            },
            onData: chunk => {
                answerBytes += chunk.length;
                observer?.onData(chunk);
                const resume = () => one.attempt?.resume();
                const paced = choice.responseByteKeys.length > 0
                    ? answerBytes - request.specification.answerBytesEstimate
                    : 0;
                if (paced <= 0) {
                    return caller.write(chunk, resume);
                }
                tools.admission.waitForCapacity(choice.responseByteKeys, Math.min(paced, chunk.length), pacingSignal())
                    .then(() => caller.write(chunk, resume) && resume(), () => undefined);
                return false;
            },
            onEnd: () => {
                one.finish();
                caller.end();
                settle({ end: ExchangeEnd.Completed, backendServer: backendServer.name });
            },
            onRejected: () => {
                one.finish();
                states.recordRejection(state);
                tryAgain(503, FailureReason.Rejected, "The backend server refused the request.");
            },
            onFailure: failure => {
                one.finish();
                onFailure(one, failure);
            },
        }, {
            release: () => state.connectionPool.release(connection),
            discard: () => state.connectionPool.discard(connection),
        });
        if (isSettled) {
            cancel(one);
        }
    };

    /** Lets the bytes over the reservation of the dispatch wait for room. */
    const paceRequest = (choice: Selection) => {
        let unpaced = reservedRequestBytes(request) - REQUEST_HEADER_BYTES_ESTIMATE;
        return async (bytes: number) => {
            const paced = Math.min(bytes, bytes - unpaced);
            unpaced = Math.max(0, unpaced - bytes);
            if (paced > 0 && choice.requestByteKeys.length > 0) {
                await tools.admission.waitForCapacity(choice.requestByteKeys, paced, pacingSignal());
            }
        };
    };

    const onFailure = (one: ActiveAttempt, failure: AttemptFailure) => {
        if (isSettled) {
            return;
        }
        const { reason, message } = failure;
        const bodyFailure = streamed?.failure;
        const isAtDeadline = clock.monotonicMilliseconds() >= plan.deadlineAt - DEADLINE_MARGIN_MS;
        const isBackendFault = bodyFailure === undefined && !isAtDeadline &&
            (reason === FailureReason.BackendServerFailed ||
                reason === FailureReason.BackendServerUnreachable || reason === FailureReason.BadResponse);
        if (isBackendFault) {
            counters.increment("routing.failed_attempts", 1, { service: request.service, reason });
            states.recordFailure(one.choice.state);
            if (reason === FailureReason.BadResponse) {
                one.choice.state.connectionPool.disableReuse();
            }
        }
        if (one === winner) {
            cutShort();
            return;
        }
        mayHaveRun ||= failure.wasWritten;
        if (bodyFailure instanceof BodyTooLargeError) {
            answerItself(413, FailureReason.BodyTooLarge, bodyFailure.message);
        }
        else if (reason === FailureReason.BadRequest) {
            answerItself(400, reason, message);
        }
        else if (isAtDeadline || reason === FailureReason.DeadlinePassed) {
            answerItself(...DEADLINE_ANSWER);
        }
        else {
            tryAgain(503, reason, message, one.choice.backendServer.name);
        }
    };

    /** Answers with 502 instead of the status when the request may have run. */
    const tryAgain = (status: number, reason: FailureReason, message: string, backendServer?: string) => {
        if (isSettled || active.size > 0) {
            return;
        }
        const isReplayable = streamed?.isConsumed !== true && (isIdempotent || !mayHaveRun);
        if (isReplayable && clock.monotonicMilliseconds() < plan.deadlineAt && tools.retryBudget.tryWithdraw()) {
            counters.increment("routing.retries", 1, { service: request.service });
            if (launch() === undefined) {
                return;
            }
        }
        answerItself(mayHaveRun ? 502 : status, reason, message, backendServer);
    };

    const giveUp = () => {
        if (winner !== undefined) {
            cutShort();
            return;
        }
        answerItself(...DEADLINE_ANSWER);
    };

    /** Goes on without the caller when the answer is still wanted for the record of a dispatched request. */
    const releaseCaller = ({ waitMilliseconds, respondToCaller }: LateResponsePolicy) => {
        if (winner === undefined) {
            respondToCaller(makeAnswer(...DEADLINE_ANSWER));
        }
        else {
            caller.abort();
        }
        caller = DISCARDING_RESPONSE;
        winner?.attempt?.resume();
        lastStep = { at: plan.deadlineAt + waitMilliseconds, run: giveUp };
    };

    const onDeadline = () => {
        counters.increment("routing.deadline_passed", 1, { service: request.service });
        if (winner === undefined) {
            recordSilence();
        }
        const wasDispatched = [...active].some(one => one.attempt?.wasWritten() === true);
        if (lateAnswer !== undefined && wasDispatched) {
            releaseCaller(lateAnswer);
        }
        else {
            giveUp();
        }
    };

    const recordSilence = () =>
        [...active].filter(one => clock.monotonicMilliseconds() - one.startedAt >= silenceMilliseconds)
            .forEach(one => states.recordFailure(one.choice.state));

    const hedge = () => {
        const canHedge = isIdempotent && request.allowsHedging && streamed === undefined && active.size === 1;
        if (canHedge && tools.hedgeBudget.tryWithdraw()) {
            counters.increment("routing.hedges", 1, { service: request.service });
            launch();
        }
    };

    /**
     * Closes the idle connections to the backend servers of suspected ones, as they may be silent too, and tries once
     * more, on any backend server: it then gets a new connection. The suspected attempts go on, as they may only be slow.
     */
    const onSilence = () => {
        const suspected = [...active].filter(one =>
            one.choice.connection.isReused && one.attempt?.wasWritten() === true
        );
        suspected.forEach(one => {
            counters.increment("routing.silent_connections", 1, { service: request.service });
            one.choice.state.connectionPool.closeIdle();
        });
        if (suspected.length > 0 && isIdempotent && streamed === undefined && tools.retryBudget.tryWithdraw()) {
            counters.increment("routing.retries", 1, { service: request.service });
            excluded.clear();
            launch();
        }
    };

    const startedAt = clock.monotonicMilliseconds();
    const { percentile95: high } = plan.latencyEstimate;
    const silenceMilliseconds = Math.max(UNRESPONSIVE_AFTER_MS, UNRESPONSIVE_LATENCY_FACTOR * (high ?? 0));
    const steps = [
        ...(high === undefined || !isIdempotent
            ? []
            : [{ at: startedAt + Math.max(SMALLEST_HEDGE_DELAY_MS, high), run: hedge }]),
        { at: startedAt + silenceMilliseconds, run: onSilence },
    ];
    let lastStep = { at: plan.deadlineAt, run: onDeadline };
    /** Arms one timer for the next step; once an answer has begun, only the deadline is left. */
    const armTimer = () => {
        stopTimer();
        if (isSettled) {
            return;
        }
        const step = winner === undefined ? steps.shift() : undefined;
        const next = step === undefined || step.at >= lastStep.at ? lastStep : step;
        stopTimer = tools.timers.start(next.at, () => {
            next.run();
            armTimer();
        });
    };

    const onCallerGone = () => {
        // A run-once request goes on, so that a resend can be given its stored answer.
        if (isIdempotent) {
            settle({ end: ExchangeEnd.CallerDisconnected });
        }
    };

    tools.retryBudget.deposit();
    tools.hedgeBudget.deposit();
    if (typeof admitted !== "string" && startedAt < plan.deadlineAt) {
        excluded.add(admitted.backendServer.name);
        dispatch(admitted);
        armTimer();
    }
    else if (typeof admitted !== "string" || admitted === AdmissionFailure.DeadlinePassed) {
        if (typeof admitted !== "string") {
            releaseSelection(admitted);
            tools.onCapacityAvailable();
        }
        answerItself(504, FailureReason.DeadlinePassed, "The deadline passed before the request was dispatched.");
    }
    else if (admitted === AdmissionFailure.QueueFull) {
        answerItself(429, FailureReason.QueueFull, "Too many requests of this tenant and class wait for room.");
    }
    else if (admitted === AdmissionFailure.CallerDisconnected) {
        // A run-once request that was not dispatched must not be recorded as one whose outcome is unknown.
        answerItself(503, FailureReason.NoCapacity, "The caller left before the request was dispatched.");
    }
    else if (admitted === AdmissionFailure.WaitCancelled) {
        answerItself(
            503,
            FailureReason.NoCapacity,
            "No backend server has room, and a copy of the request asks elsewhere.",
        );
    }
    else {
        const { reason, message } = SELECTION_FAILURE_RESPONSES[admitted];
        answerItself(503, reason, `${message} The service is ${request.service}.`);
    }
    return { result, onCallerDisconnected: onCallerGone };
}
