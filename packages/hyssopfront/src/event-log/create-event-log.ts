/**
 * Event log that writes JSON lines to standard output.
 */
import type { Clock } from "@hyssopfront/coordination";
import { pino } from "pino";
import { EventLevel, type EventLog } from "./event-log.js";

/** Buffered lines are written once they reach this size, or after the flush interval. */
const FLUSH_BYTES = 4_096;
const FLUSH_INTERVAL_MS = 250;
/** Maximum size of the buffer, which fills up while the reader does not read. Further lines are dropped and counted. */
const MAXIMUM_BUFFERED_BYTES = 1024 * 1024;

/** Maximum number of lines per second about requests that did not fail. More of them add little information. */
const REQUEST_LINES_PER_SECOND = 100;
const SECOND_MS = 1_000;

/** Event log of a process, and the function that flushes its buffer. */
export type ProcessEventLog = {
    readonly log: EventLog;
    /** Writes the buffered lines synchronously, before the process exits. */
    flush(): void;
};

/** Returns a function that is true for at most `maximum` calls per second. */
function createRateLimit(clock: Clock, maximum: number): () => boolean {
    let startedAt = -Infinity;
    let count = 0;
    return () => {
        const now = clock.monotonicMilliseconds();
        if (now - startedAt >= SECOND_MS) {
            startedAt = now;
            count = 0;
        }
        count += 1;
        return count <= maximum;
    };
}

/**
 * Creates the log of a process. Writing never blocks: lines that a slow reader does not read in time are dropped.
 * Lines about requests are rate limited at level Info. Failures have a higher level and are not limited.
 *
 * @param clock Clock of the rate limit.
 * @param fields Fields of every line, such as the name of the instance.
 * @param onDropped Called for each dropped line.
 * @returns The log and its flush function.
 */
export function createEventLog(
    clock: Clock,
    fields: Readonly<Record<string, unknown>>,
    onDropped: () => void,
): ProcessEventLog {
    const destination = pino.destination({
        dest: 1,
        sync: false,
        minLength: FLUSH_BYTES,
        maxLength: MAXIMUM_BUFFERED_BYTES,
        periodicFlush: FLUSH_INTERVAL_MS,
    });
    destination.on("drop", onDropped);
    destination.on("error", onDropped);
    const logger = pino({
        base: { ...fields },
        messageKey: "event",
        formatters: { level: label => ({ level: label }) },
    }, destination);
    const isWithinLimit = createRateLimit(clock, REQUEST_LINES_PER_SECOND);
    return {
        log: (level, event, eventFields = {}) => {
            if (level === EventLevel.Info && eventFields.request !== undefined && !isWithinLimit()) {
                onDropped();
                return;
            }
            switch (level) {
                case EventLevel.Info:
                    logger.info(eventFields, event);
                    break;
                case EventLevel.Warning:
                    logger.warn(eventFields, event);
                    break;
                case EventLevel.Error:
                    logger.error(eventFields, event);
                    break;
            }
        },
        flush: () => destination.flushSync(),
    };
}
