/**
 * Counters, gauges and latency histograms of a process in the text format of Prometheus.
 */
import type { Counters } from "@hyssopfront/coordination";
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Upper bounds of the buckets. They cover latency objectives of 100 ms up to timeouts of several seconds. */
const LATENCY_BUCKETS_SECONDS = [0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.25, 0.4, 0.6, 1, 1.5, 2.5, 5, 10];
const PREFIX = "hyssopfront_";

/** Metrics that a monitoring system fetches. */
export type PrometheusMetrics = Counters & {
    /** Records a duration in the histogram with this name and these labels. */
    observe(name: string, milliseconds: number, tags?: Readonly<Record<string, string>>): void;
    /** All metrics in the text format. */
    text(): Promise<string>;
    /** Content type of the text format. */
    readonly contentType: string;
};

/** Converts a name to one that the text format allows: `gateway.requests` becomes `hyssopfront_gateway_requests`. */
const metricName = (name: string) => PREFIX + name.replace(/[^a-zA-Z0-9]/g, "_");

/**
 * Creates an empty registry of metrics. Each metric is created at its first use; docs/OPERATIONS.md lists them. All
 * uses of a metric must have the same tag names.
 */
export function createPrometheusMetrics(): PrometheusMetrics {
    const registry = new Registry();
    const registers = [registry];
    const counters = new Map<string, Counter>();
    const gauges = new Map<string, Gauge>();
    const histograms = new Map<string, Histogram>();
    const findOrCreate = <T>(metrics: Map<string, T>, name: string, create: () => T): T => {
        const metric = metrics.get(name) ?? create();
        metrics.set(name, metric);
        return metric;
    };
    return {
        increment: (name, amount = 1, tags = {}) => {
            const labelNames = Object.keys(tags);
            findOrCreate(
                counters,
                name,
                () => new Counter({ name: `${metricName(name)}_total`, help: name, labelNames, registers }),
            ).inc(tags, amount);
        },
        gauge: (name, value, tags = {}) => {
            const labelNames = Object.keys(tags);
            findOrCreate(gauges, name, () => new Gauge({ name: metricName(name), help: name, labelNames, registers }))
                .set(tags, value);
        },
        observe: (name, milliseconds, tags = {}) => {
            const labelNames = Object.keys(tags);
            findOrCreate(histograms, name, () =>
                new Histogram({
                    name: `${metricName(name)}_seconds`,
                    help: name,
                    labelNames,
                    registers,
                    buckets: LATENCY_BUCKETS_SECONDS,
                })).observe(tags, milliseconds / 1_000);
        },
        text: () => registry.metrics(),
        contentType: registry.contentType,
    };
}
