/**
 * Records what entries carried of one budget, by true time, and compares it with the limits that were declared.
 */

type DeclaredLimit = {
    readonly limit: number;
    /** True time from which the next limit alone applies; Infinity while this one may still be in use. */
    supersededAt: number;
};

const WINDOW_MS = 1_000;
const ROUNDING = 1e-3;

export type TrafficRecorder = ReturnType<typeof createTrafficRecorder>;

/**
 * Creates a recorder.
 *
 * @param initialLimit Limit at the start.
 * @param isRate True to sum over any second; false for units that are held until released.
 */
export function createTrafficRecorder(initialLimit: number, isRate: boolean) {
    const limits: DeclaredLimit[] = [{ limit: initialLimit, supersededAt: Infinity }];
    const recent: { readonly at: number; readonly amount: number }[] = [];
    let sum = 0;
    let carried = 0;
    let excess: string | undefined;
    let highest = 0;

    const allowedAt = (now: number) =>
        Math.max(...limits.filter(({ supersededAt }) => supersededAt > now - WINDOW_MS).map(({ limit }) => limit));

    const expire = (now: number) => {
        const oldest = recent.findIndex(({ at }) => at > now - WINDOW_MS);
        const expired = recent.splice(0, oldest < 0 ? recent.length : oldest);
        expired.forEach(item => sum -= item.amount);
    };

    const take = (now: number, amount: number) => {
        if (isRate) {
            expire(now);
            recent.push({ at: now, amount });
        }
        sum += amount;
        carried += amount;
        highest = Math.max(highest, sum);
        const allowed = allowedAt(now);
        if (sum > allowed + ROUNDING) {
            excess ??= `${sum} units at ${now} ms, where ${allowed} are allowed`;
        }
    };

    return {
        take,
        release: (amount: number) => sum -= amount,
        declare: (limit: number) => limits.push({ limit, supersededAt: Infinity }),
        /** Notes that no process uses any but the newest limit from now on. */
        supersedeOld: (now: number) =>
            limits.slice(0, -1).forEach(limit => limit.supersededAt = Math.min(limit.supersededAt, now)),
        newestLimit: () => limits.at(-1)?.limit ?? 0,
        carried: () => carried,
        /** Amount of the last second. */
        sum: (now: number) => {
            expire(now);
            return sum;
        },
        resetCarried: () => carried = 0,
        highest: () => highest,
        /** First excess seen; undefined when there was none. */
        excess: () => excess,
    };
}
