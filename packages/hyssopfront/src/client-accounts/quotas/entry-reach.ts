/**
 * Part of the entries that the control leader reaches. The others may use their local shares of the quotas.
 */
import type { Clock } from "@hyssopfront/coordination";
import type { EntryReport } from "../../entry-selection/connected-entries.js";

/** Time for which a lost entry is counted, in milliseconds. */
const MEMORY_MS = 60_000;
/**
 * Time without a call after which a busy entry is not reached, in milliseconds. A busy entry calls every 250 ms, and uses
 * its local share 300 ms after a call without a reply.
 */
const SILENCE_MS = 600;
/** Age up to which the computed share is used, in milliseconds, so that calls do not scan all entries. */
const SHARE_AGE_MS = 100;

/** Known entries, connected or lost. */
export type KnownEntries = {
    /** Updates the list of connected entries. */
    update(present: readonly EntryReport[]): void;
    countPresent(): number;
    /** Names of the entries that were lost within the last minute. */
    lost(): readonly string[];
};

/**
 * Creates an empty list. It changes only with the list of connected entries, so it costs nothing between changes.
 */
export function createKnownEntries(clock: Clock): KnownEntries {
    const lostAt = new Map<string, number>();
    let present: readonly EntryReport[] = [];
    return {
        update: entries => {
            const names = new Set(entries.map(({ name }) => name));
            const now = clock.monotonicMilliseconds();
            // An entry that was not ready when it was lost had stopped, or had not started to serve.
            present.filter(({ name, isReady }) => isReady && !names.has(name)).forEach(({ name }) =>
                lostAt.set(name, now)
            );
            names.forEach(name => lostAt.delete(name));
            present = entries;
        },
        countPresent: () => present.length,
        lost: () => {
            const oldest = clock.monotonicMilliseconds() - MEMORY_MS;
            [...lostAt].filter(([, at]) => at < oldest).forEach(([name]) => lostAt.delete(name));
            return [...lostAt.keys()];
        },
    };
}

/** Computes which part of the known entries the leader reaches. */
export type EntryReach = {
    /** Records a call of an entry. */
    recordCall(entry: string, isBusy: boolean): void;
    /** Returns the part of the known entries that are reached, from 0 to 1. */
    share(): number;
};

/** Creates the computation for one leadership, in which no entry has called yet. */
export function createEntryReach(clock: Clock, known: KnownEntries): EntryReach {
    const busySince = new Map<string, number>();
    let share = 1;
    let computedAt = -Infinity;

    const computeShare = (now: number) => {
        const lost = new Set(known.lost());
        const silent = [...busySince].filter(([, calledAt]) => calledAt < now - SILENCE_MS);
        silent.filter(([, calledAt]) => calledAt < now - MEMORY_MS).forEach(([name]) => busySince.delete(name));
        const unreached = new Set([...lost, ...silent.map(([name]) => name)]).size;
        const total = Math.max(known.countPresent() + lost.size, unreached);
        return total === 0 ? 1 : 1 - unreached / total;
    };

    return {
        recordCall: (entry, isBusy) => {
            if (isBusy) {
                busySince.set(entry, clock.monotonicMilliseconds());
            }
            else {
                busySince.delete(entry);
            }
        },
        share: () => {
            const now = clock.monotonicMilliseconds();
            if (now >= computedAt + SHARE_AGE_MS) {
                share = computeShare(now);
                computedAt = now;
            }
            return share;
        },
    };
}
