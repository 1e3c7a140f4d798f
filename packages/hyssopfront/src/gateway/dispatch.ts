/**
 * Sends a request to one backend server and collects its answer.
 */
import type { Clock } from "@hyssopfront/coordination";
import { type Attempt, type ResponseHead, type ResponseRules, startAttempt } from "../routing/attempt.js";
import { FailureReason } from "../routing/messages.js";
import type { BackendServer } from "./backend-servers.js";
import type { GatewayRequest } from "./gateway-request.js";
import type { HeaderNames } from "./header-names.js";

/** Answers are held until they are whole up to this size; a longer one is passed on as it comes, in bytes. */
const WHOLE_ANSWER_BYTES = 256 * 1024;
/** An idle connection is used only if it was used this recently, as backend servers close idle ones, in milliseconds. */
const FRESH_CONNECTION_MS = 4_000;

export enum DispatchOutcome {
    /** The whole answer is there. */
    Completed = "answered",
    /** The answer was longer than can be held and went to the caller as it came. */
    Streamed = "streamed",
    /** The answer broke off after a part of it went to the caller. */
    Truncated = "cut-short",
    /** The backend server says that it did not run the request. */
    Rejected = "refused",
    /** Another backend server answers at the address. */
    Replaced = "replaced",
    /** Nothing was sent. */
    NotSent = "not-sent",
    /** It was sent and may have run; there is no answer that can be passed on. */
    Failed = "failed",
    /** It was given up by this entry. */
    Cancelled = "cancelled",
}

export type DispatchResult = {
    readonly outcome: DispatchOutcome;
    readonly head: ResponseHead | undefined;
    readonly body: Buffer | undefined;
    readonly message: string;
};

/** Where a long answer goes; `write` returns false when no more can be taken until `onWritable` is called. */
export type ResponseSink = {
    begin(head: ResponseHead): void;
    write(chunk: Buffer, onWritable: () => void): boolean;
    end(): void;
};

export type Dispatch = {
    readonly result: Promise<DispatchResult>;
    /** Closes the connection, which makes most backend servers drop the request. */
    cancel(): void;
    wasSent(): boolean;
};

const firstValue = (value: string | string[] | undefined) => Array.isArray(value) ? value[0] : value;

/** True for an answer that a backend server has made: a success must prove it and must not be encoded. */
const isCredible = ({ status, headers }: ResponseHead, names: HeaderNames) =>
    status >= 300
    || (headers[names.responseSignature] !== undefined && headers["content-encoding"] === undefined);

function noteLoad(server: BackendServer, head: ResponseHead, names: HeaderNames, toldAt: number): void {
    const parts = firstValue(head.headers[names.load])?.split(",").map(Number);
    const [running, waiting] = parts ?? [];
    if (running !== undefined && waiting !== undefined && Number.isFinite(running + waiting)) {
        server.load = { running, waiting, inFlightAtReport: server.inFlight, reportedAt: toldAt };
    }
}

/**
 * Sends a request; it is on its way, or has failed, when the result resolves. Never rejects.
 *
 * @param options.endsAt Monotonic milliseconds until which the backend server may work on it.
 */
export function dispatch(options: {
    readonly clock: Clock;
    readonly server: BackendServer;
    readonly request: GatewayRequest;
    readonly names: HeaderNames;
    readonly connectionLimit: number;
    readonly endsAt: number;
    readonly sink: ResponseSink;
}): Dispatch {
    const { clock, server, request, names, sink } = options;
    const connection = server.connections.acquire(options.connectionLimit, FRESH_CONNECTION_MS);
    if (connection === undefined) {
        return {
            result: Promise.resolve({
                outcome: DispatchOutcome.NotSent,
                head: undefined,
                body: undefined,
                message: "No connection is free.",
            }),
            cancel: () => undefined,
            wasSent: () => false,
        };
    }
    const startedAt = clock.monotonicMilliseconds();
    const chunks: Buffer[] = [];
    let bytes = 0;
    let isStreaming = false;
    let head: ResponseHead | undefined;
    let resolveResult: (result: DispatchResult) => void = () => undefined;
    let isEnded = false;
    const result = new Promise<DispatchResult>(resolve => {
        resolveResult = resolve;
    });
    server.inFlight += 1;
    const finish = (end: DispatchOutcome, message = "", body?: Buffer) => {
        if (!isEnded) {
            isEnded = true;
            if (head !== undefined) {
                noteLoad(server, head, names, clock.monotonicMilliseconds());
            }
            server.inFlight -= 1;
            resolveResult({ outcome: end, head, body, message });
        }
    };

    const rules: ResponseRules = {
        requestIdHeader: names.requestId,
        isRejection: ({ status, headers }) => headers[names.notExecuted] !== undefined || status === 421,
        allowsCloseDelimited: true,
    };
    const isWholeBody = request.body === undefined || Buffer.isBuffer(request.body);
    const attempt: Attempt = startAttempt(connection, {
        method: request.method,
        path: request.path,
        headers: [
            ...request.headers,
            names.deadline,
            String(Math.max(1, Math.floor(options.endsAt - startedAt))),
            names.expectedBackendServer,
            server.record.id,
        ],
        body: isWholeBody ? request.body as Buffer | undefined : request.body.chunks,
        requestId: request.id,
        responseRules: rules,
        // Refusals come without the id when the backend server has not looked at the request.
        expectsRequestId: answer => !rules.isRejection(answer),
        onRequestIdReturned: () => undefined,
        // The timer of the deadline may be late on a busy or slowed instance.
        checkBeforeWriting: () =>
            isEnded || clock.monotonicMilliseconds() >= options.endsAt ? FailureReason.DeadlinePassed : undefined,
    }, {
        onHead: next => {
            head = next;
            if (!isCredible(next, names)) {
                attempt.cancel();
                finish(DispatchOutcome.Failed, "The answer is not the backend server's own.");
            }
        },
        onData: chunk => {
            bytes += chunk.length;
            if (!isStreaming && bytes > WHOLE_ANSWER_BYTES && head !== undefined) {
                isStreaming = true;
                sink.begin(head);
                sink.write(Buffer.concat(chunks.splice(0)), () => undefined);
            }
            if (isStreaming) {
                return sink.write(chunk, () => attempt.resume());
            }
            chunks.push(chunk);
            return true;
        },
        onEnd: () => {
            server.health.recordSuccess();
            if (isStreaming) {
                sink.end();
                finish(DispatchOutcome.Streamed);
                return;
            }
            finish(DispatchOutcome.Completed, "", chunks.length === 1 ? chunks[0] : Buffer.concat(chunks));
        },
        onRejected: refusal => {
            head = refusal;
            finish(
                refusal.status === 421 ? DispatchOutcome.Replaced : DispatchOutcome.Rejected,
                `Status ${refusal.status}.`,
            );
        },
        onFailure: failure => {
            if (isStreaming) {
                finish(DispatchOutcome.Truncated, failure.message);
                return;
            }
            finish(failure.wasWritten ? DispatchOutcome.Failed : DispatchOutcome.NotSent, failure.message);
        },
    }, {
        // A connection on which the backend server answered before it had the whole body is out of step.
        release: () => isWholeBody ? server.connections.release(connection) : server.connections.discard(connection),
        discard: () => server.connections.discard(connection),
    });
    return {
        result,
        cancel: () => {
            attempt.cancel();
            finish(DispatchOutcome.Cancelled);
        },
        wasSent: () => attempt.wasWritten(),
    };
}
