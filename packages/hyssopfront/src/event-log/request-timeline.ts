/**
 * The story of one request, put together from the log lines of several instances.
 */

export type LoggedEvent = {
    readonly time: number;
    readonly instance: string;
    readonly event: string;
    readonly fields: Readonly<Record<string, unknown>>;
};

/** Changes of the backend servers of a request are shown from this long before its first line, in milliseconds. */
const CONTEXT_MS = 5_000;
/** Fields of every line. */
const COMMON_FIELDS: ReadonlySet<string> = new Set(["time", "instance", "event", "level", "role"]);

/** Reads a log line; text before the first brace, such as a time that a collector adds, is skipped. */
export function parseLogLine(line: string): LoggedEvent | undefined {
    const start = line.indexOf("{");
    if (start < 0) {
        return undefined;
    }
    try {
        const all = JSON.parse(line.slice(start)) as Record<string, unknown>;
        const { time, instance, event } = all;
        const fields = Object.fromEntries(Object.entries(all).filter(([name]) => !COMMON_FIELDS.has(name)));
        return typeof time === "number" && typeof event === "string"
            ? { time, instance: String(instance ?? ""), event, fields }
            : undefined;
    }
    catch {
        // Other programs may write to the same stream; what is no JSON is no event.
        return undefined;
    }
}

/**
 * Events of a request, and what the entries believed of its backend servers around it, in order of time.
 *
 * @param lines Lines of any number of logs, in any order.
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
    const contextEvents = events.filter(({ time, instance, fields }) =>
        fields.request === undefined && instances.has(instance) && servers.has(fields.server)
        && time >= from && time <= until
    );
    return [...requestEvents, ...contextEvents].sort((a, b) => a.time - b.time);
}
