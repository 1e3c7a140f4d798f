/**
 * Estimates of the latency of each service and class over its latest answers.
 */
export type LatencyEstimate = {
    /** Estimated median in milliseconds; undefined before enough answers. */
    readonly median: number | undefined;
    /** Estimated 95th percentile in milliseconds; undefined before enough answers. */
    readonly percentile95: number | undefined;
    record(milliseconds: number): void;
};

const MEDIAN_QUANTILE = 0.5;
const HIGH_QUANTILE = 0.95;
const MINIMUM_SAMPLES = 50;
const SAMPLE_CAPACITY = 128;
/** Sorting 128 numbers takes about 5 µs, so the estimates follow every sixteenth answer. */
const SAMPLES_BETWEEN_ESTIMATES = 16;

/**
 * Estimates two quantiles from the latest answers. A running estimate that starts at the first answer is not enough:
 * that answer opens a connection and may be a hundred times slower than the rest, and hedges then start too late for
 * the next thousand answers.
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
