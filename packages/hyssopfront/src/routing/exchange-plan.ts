/**
 * Inputs and results of exchanges. An exchange is the handling of one request, with all of its attempts.
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

/** What all exchanges of an entry share. */
export type ExchangeDependencies = {
    readonly clock: Clock;
    readonly timers: Timers;
    readonly counters: Counters;
    readonly admission: Admission;
    readonly announcements: AnnouncementSource;
    readonly states: BackendStates;
    readonly select: (selectionRequest: SelectionRequest) => Selection | SelectionFailure;
    /** Called when capacity may have become available. */
    readonly onCapacityAvailable: () => void;
    readonly retryBudget: RatioBudget;
    readonly hedgeBudget: RatioBudget;
    readonly nextRequestId: () => string;
};

/** One request to be forwarded. */
export type ExchangePlan = {
    readonly request: InspectedRequest;
    /** Availability zone that the request originates in. */
    readonly origin: string;
    /** Uniform in [0, 1); decides whether a shift moves the request. */
    readonly shiftSample: number;
    /** Headers for the backend server without those that the entry adds, as alternating names and values. */
    readonly headers: readonly string[];
    readonly body: Buffer | StreamedBody | undefined;
    /** Deadline in monotonic milliseconds. */
    readonly deadlineAt: number;
    /** Latency of the service and class of the request. */
    readonly latencyEstimate: LatencyEstimate;
};

/**
 * What happens to a response that arrives after the deadline. It is not sent to the caller but stored in the record of
 * the request, so that a resend receives it.
 */
export type LateResponsePolicy = {
    /** How long to wait for the response after the deadline. */
    readonly waitMilliseconds: number;
    /** Tells the caller at its deadline that the outcome is unknown. */
    readonly respondToCaller: (localResponse: LocalResponse) => void;
};

/** Receives a copy of the response while it is passed on, in order to store it. */
export type ResponseObserver = { onHead(head: ResponseHead): void; onData(chunk: Buffer): void };

/** How an exchange ended. */
export enum ExchangeEnd {
    /** The response was passed on completely, or read completely after the caller disconnected. */
    Completed = "answered",
    /** The response began but could not be read completely. The connection of the caller was closed. */
    Truncated = "cutShort",
    /** No response began. The entry has to send a local response. */
    NoResponse = "unanswered",
    /** The caller closed its connection, and the request was cancelled. */
    CallerDisconnected = "callerGone",
}

/** How an exchange ended, with the local response that is still to be sent if there was no other. */
export type ExchangeResult =
    | { readonly end: ExchangeEnd.Completed; readonly backendServer: string }
    | { readonly end: ExchangeEnd.Truncated | ExchangeEnd.CallerDisconnected }
    | { readonly end: ExchangeEnd.NoResponse; readonly response: LocalResponse };

/** An exchange under way. */
export type Exchange = {
    readonly result: Promise<ExchangeResult>;
    /** Must be called when the caller closed its connection. */
    onCallerDisconnected(): void;
};
