/**
 * Delays the proposals of outcomes briefly, so that they share an fsync of the log with the next begin. A begin that
 * arrives during another fsync waits for two of them, and callers wait for begins but not for outcomes.
 */
import type { Clock } from "@hyssopfront/coordination";

/** Maximum delay of an outcome; shorter than a round trip between regions. */
export const FINISH_DELAY_MS = 20;

/** Delay of the outcomes of one run-once group. */
export type FinishDelay = {
    /** Resolves with the next begin, or after `FINISH_DELAY_MS`. */
    wait(): Promise<void>;
    /** Ends all current delays. Must be called immediately after a begin was proposed. */
    onBegin(): void;
};

/** Creates a delay without waiting outcomes. */
export function createFinishDelay(clock: Clock): FinishDelay {
    const delayed = new Set<AbortController>();
    return {
        wait: async () => {
            const controller = new AbortController();
            delayed.add(controller);
            await clock.sleep(FINISH_DELAY_MS, controller.signal).catch(() => undefined);
            delayed.delete(controller);
        },
        onBegin: () => delayed.forEach(controller => controller.abort()),
    };
}
