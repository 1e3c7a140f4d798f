/**
 * Counters and gauges of a process, served at its admin address and sent to a StatsD server when one is configured.
 */
import type { Counters } from "@hyssopfront/coordination";
import { StatsD } from "hot-shots";

/** Current values, by name and tags. */
export type MetricValues = { readonly counters: Record<string, number>; readonly gauges: Record<string, number> };

/** Counters and gauges of a process. */
export type Metrics = Counters & {
    /** Values since the start of the process. */
    values(): MetricValues;
    /** Sends what is buffered and closes the StatsD client. */
    close(): Promise<void>;
};

/** Names and destination of the metrics. */
export type MetricsOptions = {
    /** Prefix of every name that is sent, such as `hyssopfront.entry.`. */
    readonly prefix: string;
    /** UDP address of a StatsD server; nothing is sent without it. Lost or refused packets are ignored. */
    readonly statsd?: { readonly address: string; readonly port: number };
};

const formatName = (name: string, tags: Readonly<Record<string, string>> | undefined) =>
    tags === undefined
        ? name
        : `${name}{${Object.entries(tags).map(([key, value]) => `${key}=${value}`).sort().join(",")}}`;

/** Creates the counters and gauges of a process. */
export function createMetrics(options: MetricsOptions): Metrics {
    const counters = new Map<string, number>();
    const gauges = new Map<string, number>();
    const client = options.statsd === undefined ? undefined : new StatsD({
        host: options.statsd.address,
        port: options.statsd.port,
        prefix: options.prefix,
        // Values are batched into packets, so that a busy entry does not make a system call for each of them.
        maxBufferSize: 1_400,
        bufferFlushInterval: 1_000,
        errorHandler: () => counters.set("statsd.errors", (counters.get("statsd.errors") ?? 0) + 1),
    });
    return {
        increment: (name, amount = 1, tags) => {
            const key = formatName(name, tags);
            counters.set(key, (counters.get(key) ?? 0) + amount);
            client?.increment(name, amount, tags);
        },
        gauge: (name, value, tags) => {
            gauges.set(formatName(name, tags), value);
            client?.gauge(name, value, tags);
        },
        values: () => ({ counters: Object.fromEntries(counters), gauges: Object.fromEntries(gauges) }),
        close: () =>
            new Promise(resolve => {
                if (client === undefined) {
                    resolve();
                    return;
                }
                client.close(() => resolve());
            }),
    };
}
