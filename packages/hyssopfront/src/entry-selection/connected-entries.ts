/**
 * Entry instances that a control instance is in contact with, and which of them a caller is told to use.
 */
import type { Clock } from "@hyssopfront/coordination";
import { z } from "zod";
import { rankByWeight } from "../gateway/load-balancing/region-shares.js";

export const entryReportSchema = z.object({
    name: z.string(),
    /** Address and port for callers. */
    callerAddress: z.string(),
    availabilityZone: z.string(),
    region: z.string(),
    /** True when it takes new connections. */
    isReady: z.boolean(),
    /** Processor capacity of its instance, in cores. */
    cores: z.number().positive(),
});

export type EntryReport = z.infer<typeof entryReportSchema>;

/**
 * Part of its share of all capacity that a region needs to serve its callers alone; with less, its entries would be
 * overloaded at loads that the others bear with ease.
 */
const MINIMUM_CAPACITY_RATIO = 0.5;
/** An entry that has no request open on its connection is listed for this long, in milliseconds. */
const DISCONNECTED_ENTRY_LIFETIME_MS = 1_500;

type EntryConnection = { report: EntryReport; openReads: number; lastSeenAt: number };

export type ConnectedEntries = {
    /** Takes in a report without keeping the entry in contact. */
    update(report: EntryReport): void;
    /** Notes that an entry waits on its connection; the returned function ends that. */
    connect(report: EntryReport): () => void;
    /** Entries in contact, ready or not. */
    list(): readonly EntryReport[];
};

/** Creates an empty list. `onChange` is called with the entries that came, went or changed. */
export function createConnectedEntries(options: {
    readonly clock: Clock;
    readonly onChange: (names: readonly string[]) => void;
}): ConnectedEntries {
    const { clock } = options;
    const connections = new Map<string, EntryConnection>();

    const update = (report: EntryReport) => {
        const now = clock.monotonicMilliseconds();
        const known = connections.get(report.name);
        const connection = known ?? { report, openReads: 0, lastSeenAt: now };
        const changed = known === undefined || JSON.stringify(known.report) !== JSON.stringify(report);
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
            const contact = update(report);
            contact.openReads += 1;
            return () => {
                contact.openReads -= 1;
                contact.lastSeenAt = clock.monotonicMilliseconds();
            };
        },
        list: () => {
            const oldest = clock.monotonicMilliseconds() - DISCONNECTED_ENTRY_LIFETIME_MS;
            const expired = [...connections].filter(([, contact]) =>
                contact.openReads === 0 && contact.lastSeenAt < oldest
            );
            expired.forEach(([name]) => connections.delete(name));
            if (expired.length > 0) {
                options.onChange(expired.map(([name]) => name));
            }
            return [...connections.values()].map(contact => contact.report);
        },
    };
}

const sumCapacity = (entries: readonly EntryReport[]) => entries.reduce((sum, { cores }) => sum + cores, 0);

/** Draws entries at random, larger ones more often. */
function sampleByCapacity(
    entries: readonly EntryReport[],
    count: number,
    random: () => number,
): readonly EntryReport[] {
    const drawn = rankByWeight(entries, ({ cores }) => cores, () => random() * 2 ** 32);
    return drawn.slice(0, count);
}

/**
 * Entries that a caller should use: those of its own region; where these have lost most of their capacity, some of the
 * other regions too, so that the region's entries get about the part that they can serve; without any of its region,
 * all that may serve its requests.
 *
 * @param options.homeRegions Regions that some route of the requested host is bound to; empty when none is.
 * @param options.regions Number of regions with callers; all are assumed to ask equally often.
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
    // Callers pick evenly among the entries that they are told.
    const remoteCount = Math.round(local.length * (share - capacity) / capacity);
    return [...local, ...sampleByCapacity(homeRegions.length === 0 ? remote : home, remoteCount, random)];
}

/**
 * Entries that may use a cold backend server, in random order: those of its region, whose callers it serves first; without
 * any there, all.
 *
 * @returns Names of entries.
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
