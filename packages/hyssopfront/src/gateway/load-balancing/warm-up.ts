/**
 * Tracks which objects a backend server has in its cache, so that further requests for an object can wait until the
 * first one has ended.
 *
 * The first request for an object takes several times as long as later ones, so concurrent requests for it would fill
 * the slots with slow work.
 */
export type KeyWarmUp = {
    /** True once a request with the key has succeeded. */
    isWarm(key: string): boolean;
    /**
     * @returns A promise for the end of the first request with the key while that request is in flight, or undefined
     * if a request with the key may be sent now.
     */
    firstRequestEnd(key: string): Promise<void> | undefined;
    /**
     * Records that a request with the key is sent.
     *
     * @returns A function that records the end of the request.
     */
    startRequest(key: string): (hasSucceeded: boolean) => void;
};

type FirstRequest = { readonly ended: Promise<void>; readonly end: () => void };

/** Creates the state of a backend server that has just started, whose cache is empty. */
export function createKeyWarmUp(): KeyWarmUp {
    const warmKeys = new Set<string>();
    const firstRequests = new Map<string, FirstRequest>();
    return {
        isWarm: key => warmKeys.has(key),
        firstRequestEnd: key => warmKeys.has(key) ? undefined : firstRequests.get(key)?.ended,
        startRequest: key => {
            if (warmKeys.has(key) || firstRequests.has(key)) {
                return hasSucceeded => void (hasSucceeded && warmKeys.add(key));
            }
            let end: () => void = () => undefined;
            const ended = new Promise<void>(resolve => {
                end = resolve;
            });
            firstRequests.set(key, { ended, end });
            return hasSucceeded => {
                firstRequests.delete(key);
                if (hasSucceeded) {
                    warmKeys.add(key);
                }
                end();
            };
        },
    };
}
