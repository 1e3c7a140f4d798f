/**
 * Event log on standard output, as lines of JSON.
 */
import type { Clock } from "@hyssopfront/coordination";
import { pino } from "pino";
import { EventLevel, type EventLog } from "./event-log.js";

/** Lines are written together once this many bytes wait, or after the interval. */
const FLUSH_BYTES = 4_096;
const FLUSH_INTERVAL_MS = 250;
/** Bytes that may wait for a reader that does not read; lines beyond are dropped and counted. */
const MAXIMUM_BUFFERED_BYTES = 1024 * 1024;

/** Lines a second about requests that did not fail; such lines tell much the same when there are more. */
const REQUEST_LINES_PER_SECOND = 100;
const SECOND_MS = 1_000;

export type ProcessEventLog = {
    readonly log: EventLog;
    /** Writes what waits, before the process ends. */
    flush(): void;
};

/** Lets a number of events a second through. */
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
 * Creates the log of a process. Writing never blocks: what a slow reader does not take in time is dropped.
 * Of the lines about requests, those of level Info are limited; failures have a higher level.
 *
 * @param fields Fields of every line, such as the name of the instance.
 * @param onDropped Called for each dropped line.
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
