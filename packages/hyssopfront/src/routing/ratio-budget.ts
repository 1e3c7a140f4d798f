/**
 * Bounds extra attempts to a share of the requests, so that retries cannot multiply an overload.
 */
export type RatioBudget = {
    /** Counts one request. */
    deposit(): void;
    /** Takes one extra attempt if there is room for it. */
    tryWithdraw(): boolean;
};

/**
 * Over any time, at most `share` of the earned requests plus the burst can be taken.
 *
 * @param share Extra attempts for each request, such as 0.1.
 * @param burst Attempts that may be saved up now; what is saved beyond a burst that shrinks is lost.
 * @param saved Attempts that are allowed from the start.
 */
export function createRatioBudget(ratio: number, burst: () => number, initialTokens = burst()): RatioBudget {
    let tokens = initialTokens;
    return {
        deposit: () => {
            tokens = Math.min(burst(), tokens + ratio);
        },
        tryWithdraw: () => {
            tokens = Math.min(burst(), tokens);
            if (tokens < 1) {
                return false;
            }
            tokens -= 1;
            return true;
        },
    };
}
