/**
 * Bounds the time that the bodies of requests may take, so that clients that never end them hold nothing for long.
 */
import type { IncomingMessage } from "node:http";
import { mergeSmallChunks } from "./merge-small-chunks.js";
import { createParsingTurns } from "./parsing-turns.js";
import { createRefusalReport, type RefusalOptions, RefusalReason } from "./refusals.js";

/**
 * Time without any byte of a body after which its connection is closed, in milliseconds: the time after which the
 * deployments close idle connections. The longest deadline of callers is 10 s.
 */
const MAXIMUM_STALL_MS = 15_000;
/** Time from which the minimum rate applies, in milliseconds, likewise. */
const RATE_GRACE_MS = 15_000;
/** Minimum rate of a body after that time, in bytes a second. Chunks and their framing count. */
const MINIMUM_BYTES_PER_SECOND = 256;
/**
 * Time without progress after which a body makes room for others when memory or connections are exhausted, in
 * milliseconds; longer than a lost packet or a pause of the instance delays a body.
 */
const RECLAIMABLE_STALL_MS = 2_000;
/** Resolution of the time of the last progress, in milliseconds, because the monotonic clock has fractions of them. */
const PROGRESS_RESOLUTION_MS = 1;
/** Interval at which bodies are checked, in milliseconds. */
const CHECK_INTERVAL_MS = 1_000;

type BodyState = {
    readonly startedAt: number;
    progressAt: number;
    bytesReadBefore: number;
};

/** The bodies of a server that have begun and not ended. */
export type UnfinishedBodies = {
    /** Watches the body of a request until it ends. Must be called before the body is read. */
    watch(message: IncomingMessage): void;
    /** Closes the connection whose body has made no progress for longest, unless that is short. Returns true if so. */
    closeStalled(): boolean;
    /** Counts and logs a client that is refused. */
    report(reason: RefusalReason): void;
    /** Number of bodies that have begun and not ended. */
    readonly count: number;
    close(): void;
};

/** Creates the unfinished bodies of a server, of which there are none yet. The timer does not keep the process running. */
export function createUnfinishedBodies(options: RefusalOptions): UnfinishedBodies {
    const { clock } = options;
    const report = createRefusalReport(options);
    const turns = createParsingTurns(clock);
    /** In the order of their last progress. */
    const bodies = new Map<IncomingMessage, BodyState>();
    const closeBody = (message: IncomingMessage, reason: RefusalReason) => {
        bodies.delete(message);
        report(reason);
        message.socket.destroy();
    };
    /** A body is late only if its client is: what has arrived may wait for a backend server. */
    const isLate = (message: IncomingMessage, { startedAt, progressAt, bytesReadBefore }: BodyState, now: number) => {
        const dueBytes = (now - startedAt - RATE_GRACE_MS) / 1_000 * MINIMUM_BYTES_PER_SECOND;
        return message.readableLength === 0
            && (now - progressAt >= MAXIMUM_STALL_MS || message.socket.bytesRead - bytesReadBefore < dueBytes);
    };
    const timer = setInterval(() => {
        const now = clock.monotonicMilliseconds();
        [...bodies].filter(([message, state]) => isLate(message, state, now))
            .forEach(([message]) => closeBody(message, RefusalReason.TooSlow));
    }, CHECK_INTERVAL_MS);
    timer.unref();
    return {
        watch: message => {
            const startedAt = clock.monotonicMilliseconds();
            const state = { startedAt, progressAt: startedAt, bytesReadBefore: message.socket.bytesRead };
            bodies.set(message, state);
            const forget = () => void bodies.delete(message);
            mergeSmallChunks(message, clock, turns, {
                onProgress: () => {
                    const now = clock.monotonicMilliseconds();
                    // Moving the body at each chunk would cost more than parsing it.
                    if (now > state.progressAt + PROGRESS_RESOLUTION_MS && bodies.delete(message)) {
                        state.progressAt = now;
                        bodies.set(message, state);
                    }
                },
                onEnd: forget,
            });
            message.once("close", forget);
        },
        closeStalled: () => {
            const first = bodies.entries().next().value;
            if (first === undefined) {
                return false;
            }
            const [message, { progressAt }] = first;
            if (clock.monotonicMilliseconds() - progressAt < RECLAIMABLE_STALL_MS) {
                return false;
            }
            closeBody(message, RefusalReason.Stalled);
            return true;
        },
        report,
        get count() {
            return bodies.size;
        },
        close: () => clearInterval(timer),
    };
}
