/**
 * Shares the processor between the bodies that arrive in very many small chunks.
 */
import type { Clock } from "@hyssopfront/coordination";

/** Part of a body that was read from its connection in one turn of the event loop. */
export type ParsedPart = {
    /** Time that parsing the part has taken, in milliseconds. */
    readonly milliseconds: () => number;
    /** Delivers the part, after which the next one is read. */
    readonly deliver: () => void;
};

/** Turns of expensive bodies. */
export type ParsingTurns = {
    /** Delivers the part once it is the turn of its body. */
    enqueue(part: ParsedPart): void;
};

/**
 * Creates turns. One body at a time has its turn. While several bodies wait, the time between two turns is as long as
 * parsing takes, which leaves half of the processor to all others.
 */
export function createParsingTurns(clock: Clock): ParsingTurns {
    const waiting: ParsedPart[] = [];
    let isScheduled = false;
    let nextTurnAt = 0;
    const schedule = () => {
        if (isScheduled || waiting.length === 0) {
            return;
        }
        isScheduled = true;
        const pauseMilliseconds = waiting.length === 1 ? 0 : nextTurnAt - clock.monotonicMilliseconds();
        const takeTurn = () => {
            isScheduled = false;
            const part = waiting.shift();
            nextTurnAt = clock.monotonicMilliseconds() + (part?.milliseconds() ?? 0);
            part?.deliver();
            schedule();
        };
        if (pauseMilliseconds > 0) {
            setTimeout(takeTurn, pauseMilliseconds).unref();
        }
        else {
            setImmediate(takeTurn);
        }
    };
    return {
        enqueue: part => {
            waiting.push(part);
            schedule();
        },
    };
}
