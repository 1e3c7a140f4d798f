/**
 * Tells attempts that wait for room when another attempt wants their key. Kept in the memory of the group leader only: a
 * lost notice costs a wait, as without it.
 */
import type { Clock } from "@hyssopfront/coordination";
import type { AwaitContentionReply, AwaitContentionRequest, BeginRequest } from "./messages.js";

type Key = Pick<BeginRequest, "tenant" | "service" | "key">;

export type ContentionNotifier = {
    /** Resolves when another attempt finds the key in progress, or after the wait. */
    wait(request: AwaitContentionRequest, signal: AbortSignal): Promise<AwaitContentionReply>;
    /** To be called when an attempt was told that its key is in progress. */
    notify(key: Key): void;
};

const nameOf = ({ tenant, service, key }: Key) => `${tenant}/${service}/${key.toLowerCase()}`;

/** Creates a table without waiters. */
export function createContentionNotifier(clock: Clock): ContentionNotifier {
    const waiters = new Map<string, Set<() => void>>();
    return {
        wait: async (request, signal) => {
            const name = nameOf(request);
            const stop = new AbortController();
            const others = waiters.get(name) ?? new Set();
            let isContended = false;
            const tell = () => {
                isContended = true;
                stop.abort();
            };
            waiters.set(name, others.add(tell));
            await clock.sleep(request.waitMilliseconds, AbortSignal.any([signal, stop.signal])).catch(() => undefined);
            others.delete(tell);
            if (others.size === 0) {
                waiters.delete(name);
            }
            return { isContended };
        },
        notify: key => waiters.get(nameOf(key))?.forEach(tell => tell()),
    };
}
