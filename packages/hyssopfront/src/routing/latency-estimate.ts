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

const MEDIAN_SHARE = 0.5;
const HIGH_SHARE = 0.95;
const SAMPLES_NEEDED = 50;
const SAMPLES_KEPT = 128;
/** Sorting 128 numbers takes about 5 µs, so the estimates follow every sixteenth answer. */
const SAMPLES_BETWEEN_ESTIMATES = 16;

/**
 * Estimates two quantiles from the latest answers. A running estimate that starts at the first answer is not enough:
 * that answer opens a connection and may be a hundred times slower than the rest, and hedges then start too late for
 * the next thousand answers.
 */
export function createLatencyEstimate(): LatencyEstimate {
    const samples = new Float64Array(SAMPLES_KEPT);
    let recorded = 0;
    let median: number | undefined;
    let high: number | undefined;

    const estimate = () => {
        const sorted = samples.slice(0, Math.min(recorded, SAMPLES_KEPT)).sort();
        const quantile = (share: number) => sorted[Math.ceil(share * sorted.length) - 1];
        median = quantile(MEDIAN_SHARE);
        high = quantile(HIGH_SHARE);
    };
    return {
        get median() {
            return median;
        },
        get percentile95() {
            return high;
        },
        record: milliseconds => {
            samples[recorded % SAMPLES_KEPT] = milliseconds;
            recorded += 1;
            const isDue = (recorded - SAMPLES_NEEDED) % SAMPLES_BETWEEN_ESTIMATES === 0;
            if (recorded >= SAMPLES_NEEDED && isDue) {
                estimate();
            }
        },
    };
}
