/**
 * Event log that writes JSON lines to standard output.
 */
import type { Clock } from "@hyssopfront/coordination";
import { write } from "node:fs";
import { promisify } from "node:util";
import { pino } from "pino";
import { errorFields, EventLevel, type EventLog } from "./event-log.js";
import { createLineWriter } from "./line-writer.js";

const writeToFile = promisify(write);
const STANDARD_OUTPUT = 1;

/** Maximum number of lines per second about requests that did not fail. More of them add little information. */
const REQUEST_LINES_PER_SECOND = 100;
const SECOND_MS = 1_000;

/** Event log of a process, and the function that flushes its buffer. */
export type ProcessEventLog = {
    readonly log: EventLog;
    /** Writes the buffered lines, before the process exits. Resolves after a timeout, by default 500 ms; never rejects. */
    flush(timeoutMilliseconds?: number): Promise<void>;
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
 * @param clock Clock of the rate limit and of the intervals between writes.
 * @param fields Fields of every line, such as the name of the instance.
 * @param onDropped Called for each dropped line.
 * @returns The log and its flush function.
 */
export function createEventLog(
    clock: Clock,
    fields: Readonly<Record<string, unknown>>,
    onDropped: () => void,
): ProcessEventLog {
    const writer = createLineWriter({
        clock,
        writeBytes: async bytes => (await writeToFile(STANDARD_OUTPUT, bytes)).bytesWritten,
        onDropped,
        onResumed: ({ failedWrites, droppedLines, error }) =>
            logger.warn(
                { failedWrites, droppedLines, ...error === undefined ? {} : errorFields(error) },
                "log output resumed",
            ),
    });
    const logger = pino({
        base: { ...fields },
        messageKey: "event",
        formatters: { level: label => ({ level: label }) },
    }, { write: writer.write });
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
        flush: writer.flush,
    };
}
