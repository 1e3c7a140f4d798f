/**
 * Limits extra attempts to a share of the requests, so that retries cannot amplify an overload.
 */
export type RatioBudget = {
    /** Counts one request. */
    deposit(): void;
    /** Withdraws one extra attempt. Returns false if the budget is exhausted. */
    tryWithdraw(): boolean;
};

/**
 * Creates a token bucket. Over any period, the extra attempts are at most `ratio` of the deposited requests plus the
 * burst.
 *
 * @param ratio Extra attempts for each request, such as 0.1.
 * @param burst Returns the current capacity of the bucket. When it shrinks, tokens beyond it are lost.
 * @param initialTokens Extra attempts that are allowed from the start.
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
