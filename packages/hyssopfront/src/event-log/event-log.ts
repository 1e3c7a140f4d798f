/**
 * Interface of the structured log. A line is written for each decision that affects a request, and for each change of
 * the state that the process knows.
 */

/** Severity of a log line. The values are the names of the levels in the log. */
export enum EventLevel {
    Info = "info",
    Warning = "warn",
    Error = "error",
}

/** Writes one log line. Never blocks and never throws. */
export type EventLog = (level: EventLevel, event: string, fields?: Readonly<Record<string, unknown>>) => void;

/** Log that discards every line, for tests and embedding. */
export const NO_EVENT_LOG: EventLog = () => undefined;

/** Returns the log fields that describe an error. */
export const errorFields = (error: unknown) => ({ error: error instanceof Error ? error.message : String(error) });
