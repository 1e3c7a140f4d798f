/**
 * Entry instances that a control instance is in contact with, and which of them a caller is told to use.
 */
import type { Clock } from "@hyssopfront/coordination";
import { z } from "zod";

export const entryReportSchema = z.object({
    name: z.string(),
    /** Address and port for callers. */
    callerAddress: z.string(),
    availabilityZone: z.string(),
    region: z.string(),
    /** True when it takes new connections. */
    isReady: z.boolean(),
});

export type EntryReport = z.infer<typeof entryReportSchema>;

/** An entry that has no request open on its connection is listed for this long, in milliseconds. */
const CONTACT_LIFETIME_MS = 1_500;

type Contact = { report: EntryReport; openReads: number; lastSeenAt: number };

export type EntryList = {
    /** Takes in a report without keeping the entry in contact. */
    update(report: EntryReport): void;
    /** Notes that an entry waits on its connection; the returned function ends that. */
    enter(report: EntryReport): () => void;
    /** Entries in contact, ready or not. */
    present(): readonly EntryReport[];
};

/** Creates an empty list. `onChange` is called with the entries that came, went or changed. */
export function createEntryList(options: {
    readonly clock: Clock;
    readonly onChange: (names: readonly string[]) => void;
}): EntryList {
    const { clock } = options;
    const contacts = new Map<string, Contact>();

    const update = (report: EntryReport) => {
        const now = clock.monotonicMilliseconds();
        const known = contacts.get(report.name);
        const contact = known ?? { report, openReads: 0, lastSeenAt: now };
        const changed = known === undefined || JSON.stringify(known.report) !== JSON.stringify(report);
        contact.report = report;
        contact.lastSeenAt = now;
        contacts.set(report.name, contact);
        if (changed) {
            options.onChange([report.name]);
        }
        return contact;
    };

    return {
        update: report => void update(report),
        enter: report => {
            const contact = update(report);
            contact.openReads += 1;
            return () => {
                contact.openReads -= 1;
                contact.lastSeenAt = clock.monotonicMilliseconds();
            };
        },
        present: () => {
            const oldest = clock.monotonicMilliseconds() - CONTACT_LIFETIME_MS;
            const gone = [...contacts].filter(([, contact]) => contact.openReads === 0 && contact.lastSeenAt < oldest);
            gone.forEach(([name]) => contacts.delete(name));
            if (gone.length > 0) {
                options.onChange(gone.map(([name]) => name));
            }
            return [...contacts.values()].map(contact => contact.report);
        },
    };
}

/**
 * Entries that a caller should use: those of its own region, else those of the regions that may serve its requests,
 * else any.
 *
 * @param homeRegions Regions that some route of the requested host is bound to; empty when none is.
 */
export function chooseEntries(
    entries: readonly EntryReport[],
    callerRegion: string,
    homeRegions: readonly string[],
): readonly EntryReport[] {
    const ready = entries.filter(entry => entry.isReady);
    const near = ready.filter(entry => entry.region === callerRegion);
    if (near.length > 0) {
        return near;
    }
    const home = ready.filter(entry => homeRegions.includes(entry.region));
    return home.length > 0 ? home : ready;
}
