/**
 * Entries that are connected to a control instance, and the selection of entries for a caller.
 */
import type { Clock } from "@hyssopfront/coordination";
import { z } from "zod";
import { rankByWeight } from "../gateway/load-balancing/region-shares.js";

/** State that an entry reports to the control instances. */
export const entryReportSchema = z.object({
    name: z.string(),
    /** Address and port for callers. */
    callerAddress: z.string(),
    availabilityZone: z.string(),
    region: z.string(),
    /** True when the entry accepts new connections. */
    isReady: z.boolean(),
    /** CPU capacity of the instance, in cores. */
    cores: z.number().positive(),
});

export type EntryReport = z.infer<typeof entryReportSchema>;

/**
 * Fraction of an equal share of the total capacity that a region needs to serve its callers alone. With less, its
 * entries would be overloaded at loads that the other regions can easily handle.
 */
const MINIMUM_CAPACITY_RATIO = 0.5;
/** Time for which an entry without an open feed read stays listed, in milliseconds. */
const DISCONNECTED_ENTRY_LIFETIME_MS = 1_500;

type EntryConnection = { report: EntryReport; openReads: number; lastSeenAt: number };

/** List of the connected entries. */
export type ConnectedEntries = {
    /** Updates the state of an entry without registering an open feed read. */
    update(report: EntryReport): void;
    /** Registers an open feed read of an entry, until the returned function is called. */
    connect(report: EntryReport): () => void;
    /** Returns the connected entries, whether or not they are ready, and removes the disconnected ones. */
    list(): readonly EntryReport[];
};

/** Creates an empty list. `onChange` is called with the names of entries that were added, removed or changed. */
export function createConnectedEntries(options: {
    readonly clock: Clock;
    readonly onChange: (names: readonly string[]) => void;
}): ConnectedEntries {
    const { clock } = options;
    const connections = new Map<string, EntryConnection>();

    const update = (report: EntryReport) => {
        const now = clock.monotonicMilliseconds();
        const existing = connections.get(report.name);
        const connection = existing ?? { report, openReads: 0, lastSeenAt: now };
        const changed = existing === undefined || JSON.stringify(existing.report) !== JSON.stringify(report);
        connection.report = report;
        connection.lastSeenAt = now;
        connections.set(report.name, connection);
        if (changed) {
            options.onChange([report.name]);
        }
        return connection;
    };

    return {
        update: report => void update(report),
        connect: report => {
            const connection = update(report);
            connection.openReads += 1;
            return () => {
                connection.openReads -= 1;
                connection.lastSeenAt = clock.monotonicMilliseconds();
            };
        },
        list: () => {
            const oldest = clock.monotonicMilliseconds() - DISCONNECTED_ENTRY_LIFETIME_MS;
            const expired = [...connections].filter(([, connection]) =>
                connection.openReads === 0 && connection.lastSeenAt < oldest
            );
            expired.forEach(([name]) => connections.delete(name));
            if (expired.length > 0) {
                options.onChange(expired.map(([name]) => name));
            }
            return [...connections.values()].map(connection => connection.report);
        },
    };
}

const sumCapacity = (entries: readonly EntryReport[]) => entries.reduce((sum, { cores }) => sum + cores, 0);

/** Samples entries at random without replacement, weighted by their capacity. */
function sampleByCapacity(
    entries: readonly EntryReport[],
    count: number,
    random: () => number,
): readonly EntryReport[] {
    const ranked = rankByWeight(entries, ({ cores }) => cores, () => random() * 2 ** 32);
    return ranked.slice(0, count);
}

/**
 * Selects the entries that a caller should use. These are the ready entries of its own region. When the region has
 * lost most of its capacity, entries of other regions are added, so that the local entries receive about the share of
 * the requests that they can serve. When the region has no ready entry, all entries that may serve the requests are
 * selected.
 *
 * @param entries Connected entries.
 * @param options.callerRegion Region of the caller.
 * @param options.homeRegions Regions that routes of the requested host are restricted to, or empty when none is.
 * @param options.regions Number of regions with callers, which are assumed to have equal request rates.
 * @param options.random Returns a random number from 0 (inclusive) to 1 (exclusive).
 * @returns The selected entries, the local ones first.
 */
export function selectEntriesForCaller(entries: readonly EntryReport[], options: {
    readonly callerRegion: string;
    readonly homeRegions: readonly string[];
    readonly regions: number;
    readonly random: () => number;
}): readonly EntryReport[] {
    const { callerRegion, homeRegions, random } = options;
    const ready = entries.filter(entry => entry.isReady);
    const local = ready.filter(entry => entry.region === callerRegion);
    const remote = ready.filter(entry => entry.region !== callerRegion);
    const home = remote.filter(entry => homeRegions.includes(entry.region));
    if (local.length === 0) {
        return home.length > 0 ? home : remote;
    }
    const share = sumCapacity(ready) / options.regions;
    const capacity = sumCapacity(local);
    if (capacity >= share * MINIMUM_CAPACITY_RATIO) {
        return local;
    }
    // Callers spread their requests evenly over the returned entries.
    const remoteCount = Math.round(local.length * (share - capacity) / capacity);
    return [...local, ...sampleByCapacity(homeRegions.length === 0 ? remote : home, remoteCount, random)];
}

/**
 * Ranks the entries that may use a backend server in slow start, in random order weighted by capacity. These are the
 * ready entries of its region, because it serves the callers of its region first. When the region has none, all ready
 * entries are ranked.
 *
 * @param entries Connected entries.
 * @param region Region of the backend server.
 * @param random Returns a random number from 0 (inclusive) to 1 (exclusive).
 * @returns Names of the entries.
 */
export function rankSlowStartEntries(
    entries: readonly EntryReport[],
    region: string,
    random: () => number,
): readonly string[] {
    const ready = entries.filter(entry => entry.isReady);
    const local = ready.filter(entry => entry.region === region);
    return sampleByCapacity(local.length > 0 ? local : ready, entries.length, random).map(({ name }) => name);
}
