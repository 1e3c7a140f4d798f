/**
 * What an exchange needs, and how it ends.
 */
import type { Clock, Counters } from "@hyssopfront/coordination";
import type { Admission } from "../admission/admission.js";
import type { AnnouncementSource } from "../announcements/announcement.js";
import type { ResponseHead } from "./attempt.js";
import type { BackendStates } from "./backend-state.js";
import type { InspectedRequest } from "./inspect-request.js";
import type { LatencyEstimate } from "./latency-estimate.js";
import type { LocalResponse } from "./local-response.js";
import type { RatioBudget } from "./ratio-budget.js";
import type { StreamedBody } from "./request-body.js";
import type { Selection, SelectionFailure, SelectionRequest } from "./select-backend-server.js";
import type { Timers } from "./timers.js";

export type ExchangeDependencies = {
    readonly clock: Clock;
    readonly timers: Timers;
    readonly counters: Counters;
    readonly admission: Admission;
    readonly announcements: AnnouncementSource;
    readonly states: BackendStates;
    readonly select: (selectionRequest: SelectionRequest) => Selection | SelectionFailure;
    /** Called when room may have appeared. */
    readonly onCapacityAvailable: () => void;
    readonly retryBudget: RatioBudget;
    readonly hedgeBudget: RatioBudget;
    readonly nextRequestId: () => string;
};

export type ExchangePlan = {
    readonly request: InspectedRequest;
    readonly origin: string;
    readonly shiftSample: number;
    /** Headers for the backend server without the entry's own, names and values in turn. */
    readonly headers: readonly string[];
    readonly body: Buffer | StreamedBody | undefined;
    /** Monotonic milliseconds. */
    readonly deadlineAt: number;
    readonly latencyEstimate: LatencyEstimate;
};

/** An answer that comes after the deadline reaches no caller, but its record, so that a resend can be given it. */
export type LateResponsePolicy = {
    /** Time after the deadline for which the answer is waited for. */
    readonly waitMilliseconds: number;
    /** Tells the caller at its deadline that the outcome is unknown. */
    readonly respondToCaller: (localResponse: LocalResponse) => void;
};

/** Hears the answer while it is passed on, to store it. */
export type ResponseObserver = { onHead(head: ResponseHead): void; onData(chunk: Buffer): void };

export enum ExchangeEnd {
    /** The whole answer was passed on, or read whole after the caller went. */
    Completed = "answered",
    /** The answer began but could not be read whole; the caller's connection was closed. */
    Truncated = "cutShort",
    /** No answer began; the entry has to answer itself. */
    NoResponse = "unanswered",
    /** The caller closed its connection and the request was cancelled. */
    CallerDisconnected = "callerGone",
}

export type ExchangeResult =
    | { readonly end: ExchangeEnd.Completed; readonly backendServer: string }
    | { readonly end: ExchangeEnd.Truncated | ExchangeEnd.CallerDisconnected }
    | { readonly end: ExchangeEnd.NoResponse; readonly response: LocalResponse };

export type Exchange = {
    readonly result: Promise<ExchangeResult>;
    /** Tells that the caller closed its connection. */
    onCallerDisconnected(): void;
};
