/**
 * Summary statistics of samples.
 */

/** Count and percentiles of a set of values; the percentiles are undefined without values. */
export type Summary = {
    readonly count: number;
    readonly p50: number | undefined;
    readonly p99: number | undefined;
    readonly p999: number | undefined;
    readonly maximum: number | undefined;
};

/**
 * Percentile by the nearest-rank method, so that the result is always one of the values.
 *
 * @param fraction From 0 to 1.
 * @returns Undefined without values.
 */
export function computePercentile(values: readonly number[], fraction: number): number | undefined {
    const sorted = [...values].sort((one, other) => one - other);
    return sorted[Math.max(0, Math.ceil(fraction * sorted.length) - 1)];
}

/** Median by nearest rank; undefined without values. */
export const computeMedian = (values: readonly number[]) => computePercentile(values, 0.5);

/** Computes the count and percentiles of values of any unit. */
export function summarize(values: readonly number[]): Summary {
    return {
        count: values.length,
        p50: computePercentile(values, 0.5),
        p99: computePercentile(values, 0.99),
        p999: computePercentile(values, 0.999),
        maximum: computePercentile(values, 1),
    };
}

/** An amount at a time in milliseconds. */
export type TimedAmount = { readonly at: number; readonly amount: number };

/** Largest sum of amounts within any half-open window of the given length. */
export function peakOverWindow(amounts: readonly TimedAmount[], windowMilliseconds: number): number {
    const sorted = [...amounts].sort((one, other) => one.at - other.at);
    let peak = 0;
    let sum = 0;
    let windowStart = 0;
    sorted.forEach(({ at, amount }) => {
        sum += amount;
        while (sorted[windowStart]!.at <= at - windowMilliseconds) {
            sum -= sorted[windowStart]!.amount;
            windowStart += 1;
        }
        peak = Math.max(peak, sum);
    });
    return peak;
}

/**
 * Sums of amounts in consecutive half-open intervals, the first of which starts at `from`. Amounts before `from`, or at
 * or after `to`, are ignored.
 */
export function sumByInterval(
    amounts: readonly TimedAmount[],
    from: number,
    to: number,
    intervalMilliseconds: number,
): readonly number[] {
    const sums = Array.from({ length: Math.ceil((to - from) / intervalMilliseconds) }, () => 0);
    amounts.filter(({ at }) => at >= from && at < to).forEach(({ at, amount }) => {
        const index = Math.floor((at - from) / intervalMilliseconds);
        sums[index] = sums[index]! + amount;
    });
    return sums;
}
