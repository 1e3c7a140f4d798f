/**
 * Objects that a backend server has handled for this entry, and requests that wait for the first one of an object.
 *
 * The first request of an object takes several times as long as later ones, so sending more of them meanwhile would
 * fill the slots with slow work.
 */
export type KeyWarmUp = {
    /** True once a request of the object has succeeded here. */
    isWarm(key: string): boolean;
    /**
     * Undefined when a request of the object may be sent now; else resolves when the first one of it has ended.
     */
    waitForFirstRequest(key: string): Promise<void> | undefined;
    /** Notes that a request of the object is sent; the returned function notes its end. */
    startRequest(key: string): (hasSucceeded: boolean) => void;
};

type First = { readonly ended: Promise<void>; readonly end: () => void };

/** Creates the state of one start of a backend server. */
export function createKeyWarmUp(): KeyWarmUp {
    const warm = new Set<string>();
    const firsts = new Map<string, First>();
    return {
        isWarm: key => warm.has(key),
        waitForFirstRequest: key => warm.has(key) ? undefined : firsts.get(key)?.ended,
        startRequest: key => {
            if (warm.has(key) || firsts.has(key)) {
                return hasSucceeded => void (hasSucceeded && warm.add(key));
            }
            let end: () => void = () => undefined;
            const ended = new Promise<void>(resolve => {
                end = resolve;
            });
            firsts.set(key, { ended, end });
            return hasSucceeded => {
                firsts.delete(key);
                if (hasSucceeded) {
                    warm.add(key);
                }
                end();
            };
        },
    };
}
