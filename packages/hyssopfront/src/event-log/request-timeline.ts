/**
 * Timeline of one request, assembled from the log lines of several instances.
 */

/** A parsed log line. `time` is in Unix milliseconds. */
export type LoggedEvent = {
    readonly time: number;
    readonly instance: string;
    /** Role of the process, such as `entry`; empty if the line has none. */
    readonly role: string;
    readonly event: string;
    readonly fields: Readonly<Record<string, unknown>>;
};

/** How long before the first line of a request the changes of its backend servers are included, in milliseconds. */
const CONTEXT_MS = 5_000;
/** Role of control instances, whose changes of backend servers concern all entries. */
const CONTROL_ROLE = "control";
/** Fields that every log line has. */
const COMMON_FIELDS: ReadonlySet<string> = new Set(["time", "instance", "event", "level", "role"]);

/**
 * Parses a log line. Text before the first brace, such as a time that a log collector adds, is skipped.
 *
 * @returns The event, or `undefined` when the line is not a log line.
 */
export function parseLogLine(line: string): LoggedEvent | undefined {
    const start = line.indexOf("{");
    if (start < 0) {
        return undefined;
    }
    try {
        const all = JSON.parse(line.slice(start)) as Record<string, unknown>;
        const { time, instance, role, event } = all;
        const fields = Object.fromEntries(Object.entries(all).filter(([name]) => !COMMON_FIELDS.has(name)));
        return typeof time === "number" && typeof event === "string"
            ? { time, instance: String(instance ?? ""), role: String(role ?? ""), event, fields }
            : undefined;
    }
    catch {
        // Other programs may write to the same stream, so lines that are not JSON are ignored.
        return undefined;
    }
}

/**
 * Collects the events of a request, and the preceding state changes of its backend servers: what the same entries knew of
 * them, and what control instances published.
 *
 * @param lines Lines of any number of logs, in any order.
 * @param requestId Identifier of the request.
 * @returns Events in chronological order, or an empty array when no line names the request.
 */
export function buildRequestTimeline(lines: readonly string[], requestId: string): readonly LoggedEvent[] {
    const events = lines.map(parseLogLine).filter(event => event !== undefined);
    const requestEvents = events.filter(({ fields }) => fields.request === requestId);
    const times = requestEvents.map(({ time }) => time);
    const from = Math.min(...times) - CONTEXT_MS;
    const until = Math.max(...times);
    const instances = new Set(requestEvents.map(({ instance }) => instance));
    const servers = new Set<unknown>(
        requestEvents.map(({ fields }) => fields.server).filter(server => server !== undefined),
    );
    const contextEvents = events.filter(({ time, instance, role, fields }) =>
        fields.request === undefined && servers.has(fields.server)
        && (instances.has(instance) || role === CONTROL_ROLE)
        && time >= from && time <= until
    );
    return [...requestEvents, ...contextEvents].sort((a, b) => a.time - b.time);
}
