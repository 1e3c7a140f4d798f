/**
 * Latency histograms a tenant and class, in microseconds.
 */
import { build, type Histogram } from "hdr-histogram-js";

/** Classes that are measured apart. */
export enum LatencyClass {
    Lookup = "lookUp",
    Idempotent = "idempotent",
    RunOnce = "runOnce",
}

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

export type Histograms = {
    /** Records one latency. Tenants beyond the limit are counted together as `other`. */
    record(tenant: string, measuredClass: LatencyClass, milliseconds: number): void;
    summaries(): readonly HistogramSummary[];
};

/** Bounds the memory that callers can claim by inventing tenants. */
const MAXIMUM_TENANTS = 256;
const OTHER_TENANTS = "other";
const HIGHEST_MICROSECONDS = 120_000_000;

/** Creates empty histograms. */
export function createHistograms(): Histograms {
    const histograms = new Map<string, Map<LatencyClass, Histogram>>();

    const histogramOf = (tenant: string, measuredClass: LatencyClass) => {
        const known = histograms.has(tenant) || histograms.size < MAXIMUM_TENANTS ? tenant : OTHER_TENANTS;
        const ofTenant = histograms.get(known) ?? new Map<LatencyClass, Histogram>();
        histograms.set(known, ofTenant);
        const histogram = ofTenant.get(measuredClass) ?? build({
            bitBucketSize: 32,
            autoResize: true,
            lowestDiscernibleValue: 1,
            highestTrackableValue: 1_000_000,
            numberOfSignificantValueDigits: 2,
        });
        ofTenant.set(measuredClass, histogram);
        return histogram;
    };

    return {
        record: (tenant, measuredClass, milliseconds) => {
            const microseconds = Math.min(HIGHEST_MICROSECONDS, Math.max(1, Math.round(milliseconds * 1_000)));
            histogramOf(tenant, measuredClass).recordValue(microseconds);
        },
        summaries: () =>
            [...histograms].flatMap(([tenant, ofTenant]) =>
                [...ofTenant].map(([measuredClass, histogram]) => summarize(tenant, measuredClass, histogram))
            ),
    };
}

function summarize(tenant: string, measuredClass: LatencyClass, histogram: Histogram): HistogramSummary {
    const percentile = (percent: number) => histogram.getValueAtPercentile(percent) / 1_000;
    return {
        tenant,
        class: measuredClass,
        count: histogram.totalCount,
        p50Ms: percentile(50),
        p90Ms: percentile(90),
        p99Ms: percentile(99),
        p999Ms: percentile(99.9),
        maximumMs: histogram.maxValue / 1_000,
    };
}
