/**
 * Sink for counters and gauges, which the embedding application may forward to its metrics system.
 */
export type Counters = {
    /** Increments a counter, by 1 unless an amount is given; `tags` are labels of low cardinality. */
    increment(name: string, amount?: number, tags?: Readonly<Record<string, string>>): void;
    /** Sets a gauge. */
    gauge(name: string, value: number, tags?: Readonly<Record<string, string>>): void;
};

/** Discards all counters and gauges, for applications without metrics. */
export const NO_COUNTERS: Counters = {
    increment: () => undefined,
    gauge: () => undefined,
};
