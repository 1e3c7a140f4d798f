/**
 * Records the units of one budget that the entries use, by simulated time, and compares them with the limits.
 */

type RecordedLimit = {
    readonly limit: number;
    /** Time from which no process uses this limit any more; Infinity while one may still use it. */
    supersededAt: number;
};

const WINDOW_MS = 1_000;
/** Excess that rounding errors can cause. */
const ROUNDING_TOLERANCE = 1e-3;

export type TrafficRecorder = ReturnType<typeof createTrafficRecorder>;

/**
 * Creates a recorder.
 *
 * @param initialLimit Limit at the start.
 * @param isRate True to limit the sum of each window of a second; false to limit units that are held until released.
 */
export function createTrafficRecorder(initialLimit: number, isRate: boolean) {
    const limits: RecordedLimit[] = [{ limit: initialLimit, supersededAt: Infinity }];
    const recent: { readonly at: number; readonly amount: number }[] = [];
    let sum = 0;
    let total = 0;
    let excess: string | undefined;
    let highestSum = 0;

    const allowedAt = (now: number) =>
        Math.max(...limits.filter(({ supersededAt }) => supersededAt > now - WINDOW_MS).map(({ limit }) => limit));

    const expire = (now: number) => {
        const firstInWindow = recent.findIndex(({ at }) => at > now - WINDOW_MS);
        const expired = recent.splice(0, firstInWindow < 0 ? recent.length : firstInWindow);
        expired.forEach(item => sum -= item.amount);
    };

    const acquire = (now: number, amount: number) => {
        if (isRate) {
            expire(now);
            recent.push({ at: now, amount });
        }
        sum += amount;
        total += amount;
        highestSum = Math.max(highestSum, sum);
        const allowed = allowedAt(now);
        if (sum > allowed + ROUNDING_TOLERANCE) {
            excess ??= `${sum} units at ${now} ms, where ${allowed} are allowed`;
        }
    };

    return {
        acquire,
        release: (amount: number) => sum -= amount,
        addLimit: (limit: number) => limits.push({ limit, supersededAt: Infinity }),
        /** Records that all processes use only the newest limit from now on. */
        supersedeOldLimits: (now: number) =>
            limits.slice(0, -1).forEach(limit => limit.supersededAt = Math.min(limit.supersededAt, now)),
        newestLimit: () => limits.at(-1)?.limit ?? 0,
        total: () => total,
        /** Units acquired in the last second. */
        sum: (now: number) => {
            expire(now);
            return sum;
        },
        resetTotal: () => total = 0,
        highestSum: () => highestSum,
        /** Description of the first excess over the limits; undefined if there was none. */
        excess: () => excess,
    };
}
