/**
 * Notifies attempts that wait for capacity when another attempt uses the same key. Waiters are kept only in the memory
 * of the group leader: when a notification is lost, the attempt waits as long as it would without this mechanism.
 */
import type { Clock } from "@hyssopfront/coordination";
import type { AwaitContentionReply, AwaitContentionRequest, BeginRequest } from "./messages.js";

type ContendedKey = Pick<BeginRequest, "tenant" | "service" | "key">;

/** Notifier of the attempts of one run-once group. */
export type ContentionNotifier = {
    /** Resolves when another attempt finds the key in progress, when the wait ends, or when the signal aborts. */
    wait(request: AwaitContentionRequest, signal: AbortSignal): Promise<AwaitContentionReply>;
    /** Must be called when an attempt receives the result that its key is in progress. */
    notify(key: ContendedKey): void;
};

const makeWaiterKey = ({ tenant, service, key }: ContendedKey) => `${tenant}/${service}/${key.toLowerCase()}`;

/** Creates a notifier without waiters. */
export function createContentionNotifier(clock: Clock): ContentionNotifier {
    const waiters = new Map<string, Set<() => void>>();
    return {
        wait: async (request, signal) => {
            const waiterKey = makeWaiterKey(request);
            const stopController = new AbortController();
            const keyWaiters = waiters.get(waiterKey) ?? new Set();
            let isContended = false;
            const onContention = () => {
                isContended = true;
                stopController.abort();
            };
            waiters.set(waiterKey, keyWaiters.add(onContention));
            await clock.sleep(request.waitMilliseconds, AbortSignal.any([signal, stopController.signal])).catch(() =>
                undefined
            );
            keyWaiters.delete(onContention);
            if (keyWaiters.size === 0) {
                waiters.delete(waiterKey);
            }
            return { isContended };
        },
        notify: key => waiters.get(makeWaiterKey(key))?.forEach(onContention => onContention()),
    };
}
