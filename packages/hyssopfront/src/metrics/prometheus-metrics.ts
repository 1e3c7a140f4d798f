/**
 * Counters, gauges and latency histograms of a process as text that a monitoring system fetches.
 */
import type { Counters } from "@hyssopfront/coordination";
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Upper bounds of the latency histograms, in seconds; they cover objectives of 100 ms to timeouts of some seconds. */
const LATENCY_BUCKETS_SECONDS = [0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.25, 0.4, 0.6, 1, 1.5, 2.5, 5, 10];
const PREFIX = "hyssopfront_";

export type PrometheusMetrics = Counters & {
    /** Records a time in a histogram of this name and these labels. */
    observe(name: string, milliseconds: number, tags?: Readonly<Record<string, string>>): void;
    /** All metrics as text. */
    text(): Promise<string>;
    readonly contentType: string;
};

/** Metric names as the text format allows them: `gateway.requests` becomes `hyssopfront_gateway_requests`. */
const metricName = (name: string) => PREFIX + name.replace(/[^a-zA-Z0-9]/g, "_");

/**
 * Creates metrics that are made when they are first used; docs/OPERATIONS.md lists them. The tags of a metric must
 * always have the same names.
 */
export function createPrometheusMetrics(): PrometheusMetrics {
    const registry = new Registry();
    const registers = [registry];
    const counters = new Map<string, Counter>();
    const gauges = new Map<string, Gauge>();
    const histograms = new Map<string, Histogram>();
    const findOrCreate = <T>(known: Map<string, T>, name: string, create: () => T): T => {
        const found = known.get(name) ?? create();
        known.set(name, found);
        return found;
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
