/**
 * Latency histograms per tenant and class, recorded in microseconds.
 */
import { build, type Histogram } from "hdr-histogram-js";

/** Classes of requests whose latencies are recorded separately. */
export enum LatencyClass {
    Lookup = "lookUp",
    Idempotent = "idempotent",
    RunOnce = "runOnce",
}

/** Percentiles of one histogram, in milliseconds. */
export type HistogramSummary = {
    readonly tenant: string;
    readonly class: LatencyClass;
    readonly count: number;
    readonly p50Ms: number;
    readonly p90Ms: number;
    readonly p99Ms: number;
    readonly p999Ms: number;
    readonly maximumMs: number;
};

/** Latency histograms of a process. */
export type Histograms = {
    /** Records one latency. Tenants beyond the limit share the histograms of the tenant `other`. */
    record(tenant: string, latencyClass: LatencyClass, milliseconds: number): void;
    summaries(): readonly HistogramSummary[];
};

/** Limits the memory that callers can use up by sending made-up tenants. */
const MAXIMUM_TENANTS = 256;
const OTHER_TENANTS = "other";
/** Longer latencies are recorded as this one. */
const HIGHEST_MICROSECONDS = 120_000_000;

/** Creates empty histograms. */
export function createHistograms(): Histograms {
    const histograms = new Map<string, Map<LatencyClass, Histogram>>();

    const getHistogram = (tenant: string, latencyClass: LatencyClass) => {
        const key = histograms.has(tenant) || histograms.size < MAXIMUM_TENANTS ? tenant : OTHER_TENANTS;
        const histogramsByClass = histograms.get(key) ?? new Map<LatencyClass, Histogram>();
        histograms.set(key, histogramsByClass);
        const histogram = histogramsByClass.get(latencyClass) ?? build({
            bitBucketSize: 32,
            autoResize: true,
            lowestDiscernibleValue: 1,
            highestTrackableValue: 1_000_000,
            numberOfSignificantValueDigits: 2,
        });
        histogramsByClass.set(latencyClass, histogram);
        return histogram;
    };

    return {
        record: (tenant, latencyClass, milliseconds) => {
            const microseconds = Math.min(HIGHEST_MICROSECONDS, Math.max(1, Math.round(milliseconds * 1_000)));
            getHistogram(tenant, latencyClass).recordValue(microseconds);
        },
        summaries: () =>
            [...histograms].flatMap(([tenant, histogramsByClass]) =>
                [...histogramsByClass].map(([latencyClass, histogram]) => summarize(tenant, latencyClass, histogram))
            ),
    };
}

function summarize(tenant: string, latencyClass: LatencyClass, histogram: Histogram): HistogramSummary {
    const percentile = (percent: number) => histogram.getValueAtPercentile(percent) / 1_000;
    return {
        tenant,
        class: latencyClass,
        count: histogram.totalCount,
        p50Ms: percentile(50),
        p90Ms: percentile(90),
        p99Ms: percentile(99),
        p999Ms: percentile(99.9),
        maximumMs: histogram.maxValue / 1_000,
    };
}
