/**
 * Estimates of latency quantiles over the latest responses of a service and class.
 */
export type LatencyEstimate = {
    /** Estimated median in milliseconds. Undefined until there are enough responses. */
    readonly median: number | undefined;
    /** Estimated 95th percentile in milliseconds. Undefined until there are enough responses. */
    readonly percentile95: number | undefined;
    record(milliseconds: number): void;
};

const MEDIAN_QUANTILE = 0.5;
const HIGH_QUANTILE = 0.95;
const MINIMUM_SAMPLES = 50;
const SAMPLE_CAPACITY = 128;
/** Sorting 128 numbers takes about 5 µs, so the estimates are updated only after every sixteenth response. */
const SAMPLES_BETWEEN_ESTIMATES = 16;

/**
 * Creates an estimate of two quantiles over a sliding window. An incremental estimate that starts at the first response
 * does not suffice: the first response includes the opening of a connection and may be a hundred times slower than the
 * others, so that hedges would start too late for the next thousand responses.
 */
export function createLatencyEstimate(): LatencyEstimate {
    const samples = new Float64Array(SAMPLE_CAPACITY);
    let recorded = 0;
    let median: number | undefined;
    let percentile95: number | undefined;

    const updateEstimates = () => {
        const sorted = samples.slice(0, Math.min(recorded, SAMPLE_CAPACITY)).sort();
        const quantile = (fraction: number) => sorted[Math.ceil(fraction * sorted.length) - 1];
        median = quantile(MEDIAN_QUANTILE);
        percentile95 = quantile(HIGH_QUANTILE);
    };
    return {
        get median() {
            return median;
        },
        get percentile95() {
            return percentile95;
        },
        record: milliseconds => {
            samples[recorded % SAMPLE_CAPACITY] = milliseconds;
            recorded += 1;
            const isDue = (recorded - MINIMUM_SAMPLES) % SAMPLES_BETWEEN_ESTIMATES === 0;
            if (recorded >= MINIMUM_SAMPLES && isDue) {
                updateEstimates();
            }
        },
    };
}
