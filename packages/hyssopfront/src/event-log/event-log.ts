/**
 * Structured log lines: one for each decision that touches a request or changes what the process believes.
 */

export enum EventLevel {
    Info = "info",
    Warning = "warn",
    Error = "error",
}

/** Writes one line; never blocks and never throws. */
export type EventLog = (level: EventLevel, event: string, fields?: Readonly<Record<string, unknown>>) => void;

/** Discards every line, for tests and embedding. */
export const NO_EVENT_LOG: EventLog = () => undefined;

/** Fields of an error for a log line. */
export const errorFields = (error: unknown) => ({ error: error instanceof Error ? error.message : String(error) });
