/**
 * Runs the requests that arrive on one accepted connection and sends their replies.
 */
import type { Clock } from "../clock/clock.js";
import { createDeadlineTimer } from "../clock/deadline-timer.js";
import type { Counters } from "../counters/counters.js";
import { FrameError } from "../framing/frames.js";
import type { Connection } from "./connection.js";
import { FrameType, type PeerFrame, type RequestFrame } from "./messages.js";
import { PeerFailureCode, PeerRequestError } from "./peer-error.js";
import type { PeerIdentity, PeerRequestHandler } from "./peer.js";

/** Longest error message that is sent to a caller, in characters. */
const MAXIMUM_ERROR_MESSAGE_LENGTH = 1_000;

/** Options of `serveRequests`. */
export type ServeRequestsOptions = {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly connection: Connection;
    readonly frames: AsyncGenerator<PeerFrame, void, void>;
    readonly from: PeerIdentity;
    readonly handle: PeerRequestHandler;
    readonly maximumRequestsPerConnection: number;
    /** Running requests and their limit, shared by all connections of a listener. */
    readonly requestLimit: { running: number; readonly maximum: number };
};

/**
 * Serves requests until the connection is lost, then aborts the signals of those that are still running.
 *
 * @throws The reason why the connection was lost.
 */
export async function serveRequests(options: ServeRequestsOptions): Promise<void> {
    const { connection, counters, requestLimit } = options;
    const runningRequests = new Map<number, AbortController>();
    const deadlines = createDeadlineTimer(options.clock);

    const sendFailure = (id: number, code: string, message: string) => {
        const text = message.slice(0, MAXIMUM_ERROR_MESSAGE_LENGTH);
        sendOrDrop({ type: FrameType.Failure, id, code: code.slice(0, 256), message: text });
    };
    const sendOrDrop = (frame: PeerFrame) => {
        if (connection.lost.aborted) {
            return;
        }
        try {
            connection.send(frame);
        }
        catch (error) {
            if (error instanceof FrameError && frame.type === FrameType.Reply) {
                counters.increment("peers.replies_refused");
                sendFailure(frame.id, PeerFailureCode.ReplyRefused, error.message);
                return;
            }
            // A caller that does not read its replies cannot be sent a failure either. Closing the connection fails its
            // calls, and it can retry them over a new one.
            connection.drop(error as Error);
        }
    };

    const runRequest = async (request: RequestFrame) => {
        const { id, kind, payload, deadlineMs } = request;
        const controller = new AbortController();
        runningRequests.set(id, controller);
        requestLimit.running += 1;
        const cancelDeadline = deadlines.add(deadlineMs, () => {
            controller.abort(new PeerRequestError(PeerFailureCode.DeadlineExceeded, "The deadline has passed."));
        });
        try {
            const reply = await options.handle(options.from, kind, payload, controller.signal);
            sendOrDrop({ type: FrameType.Reply, id, payload: reply });
        }
        catch (error) {
            const code = error instanceof PeerRequestError ? error.code : PeerFailureCode.Failed;
            sendFailure(id, code, error instanceof Error ? error.message : String(error));
        }
        finally {
            cancelDeadline();
            runningRequests.delete(id);
            requestLimit.running -= 1;
        }
    };

    const handleFrame = (frame: PeerFrame) => {
        if (frame.type !== FrameType.Request || runningRequests.has(frame.id)) {
            throw new Error(`A frame of type ${frame.type} is not expected.`);
        }
        if (
            runningRequests.size >= options.maximumRequestsPerConnection || requestLimit.running >= requestLimit.maximum
        ) {
            counters.increment("peers.requests_refused");
            sendFailure(frame.id, PeerFailureCode.Overloaded, "Too many requests are running.");
            return;
        }
        void runRequest(frame);
    };

    try {
        for await (const frame of options.frames) {
            handleFrame(frame);
        }
    }
    catch (error) {
        connection.drop(error as Error);
        throw error;
    }
    finally {
        deadlines.stop();
        runningRequests.forEach(controller => controller.abort(connection.lost.reason));
    }
}

/**
 * Creates a handler that dispatches each kind of request to its own function.
 *
 * @param handlers Functions by kind of request.
 * @returns A handler that rejects other kinds, so that versions can be mixed during a rolling restart.
 */
export function routePeerRequests(
    handlers: Readonly<
        Record<string, (from: PeerIdentity, payload: unknown, signal: AbortSignal) => Promise<unknown>>
    >,
): PeerRequestHandler {
    const handlersByKind = new Map(Object.entries(handlers));
    return async (from, kind, payload, signal) => {
        const handler = handlersByKind.get(kind);
        if (handler === undefined) {
            throw new PeerRequestError(PeerFailureCode.UnknownKind, `The kind of request ${kind} is not known.`);
        }
        return handler(from, payload, signal);
    };
}
