/**
 * Versioned log of the announcements that this entry received directly, from which other entries pull.
 */
import { TOMBSTONE_LIFETIME_MS } from "./announcement-table.js";
import { type Announcement, ANNOUNCEMENT_LIFETIME_MS } from "./announcement.js";
import type { PullAnnouncementsReply } from "./messages.js";

/** Log of the latest announcement and the departures of each backend server. */
export type AnnouncementLog = {
    /** Version of the latest change that other entries should receive without delay. */
    readonly urgentVersion: number;
    /** Records an announcement; `receivedAt` is in milliseconds on the monotonic clock. */
    recordAnnouncement(service: string, name: string, announcement: Announcement, receivedAt: number): void;
    /** Records that an incarnation of a backend server left. */
    recordDeparture(service: string, name: string, incarnation: string, receivedAt: number): void;
    /**
     * Returns the changes after a version.
     *
     * @param polledAt Time of arrival of the poll, relative to which ages are computed.
     */
    readChangesAfter(version: number, polledAt: number): Omit<PullAnnouncementsReply, "epoch">;
    /** Removes expired announcements and departures. */
    sweep(): void;
};

type LoggedAnnouncement = {
    readonly service: string;
    readonly name: string;
    readonly announcement: Announcement;
    readonly receivedAt: number;
    /** Version of the latest change of anything other than free slots and load. */
    readonly contentVersion: number;
    /** Identifies the content in renewals. Shorter on the wire than a version, because renewals do not increment it. */
    readonly id: number;
    readonly version: number;
};
type LoggedDeparture = {
    readonly service: string;
    readonly name: string;
    readonly incarnation: string;
    readonly receivedAt: number;
    readonly version: number;
};

/**
 * Creates an empty log.
 *
 * @param now Returns the time of the monotonic clock in milliseconds.
 */
export function createAnnouncementLog(now: () => number): AnnouncementLog {
    const loggedAnnouncements = new Map<string, LoggedAnnouncement>();
    const departures = new Map<string, LoggedDeparture>();
    let version = 0;
    let urgentVersion = 0;
    let lastId = 0;

    const createKey = (service: string, name: string) => `${service}/${name}`;
    const isAnnouncementExpired = (logged: LoggedAnnouncement) => now() >= logged.receivedAt + ANNOUNCEMENT_LIFETIME_MS;
    const isDepartureExpired = (departure: LoggedDeparture) => now() >= departure.receivedAt + TOMBSTONE_LIFETIME_MS;

    return {
        get urgentVersion() {
            return urgentVersion;
        },
        recordAnnouncement: (service, name, announcement, receivedAt) => {
            version += 1;
            const key = createKey(service, name);
            const previous = loggedAnnouncements.get(key);
            const isRenewal = previous !== undefined && !isAnnouncementExpired(previous)
                && hasSameContent(previous.announcement, announcement);
            const contentVersion = isRenewal ? previous.contentVersion : version;
            urgentVersion = isRenewal ? urgentVersion : version;
            lastId += isRenewal ? 0 : 1;
            const id = isRenewal ? previous.id : lastId;
            loggedAnnouncements.set(key, { service, name, announcement, receivedAt, contentVersion, id, version });
        },
        recordDeparture: (service, name, incarnation, receivedAt) => {
            version += 1;
            const key = createKey(service, name);
            if (loggedAnnouncements.get(key)?.announcement.incarnation === incarnation) {
                loggedAnnouncements.delete(key);
            }
            const departureKey = `${key}/${incarnation}`;
            urgentVersion = departures.has(departureKey) ? urgentVersion : version;
            departures.set(departureKey, { service, name, incarnation, receivedAt, version });
        },
        readChangesAfter: (after, polledAt) => {
            const changed = [...loggedAnnouncements.values()].filter(logged =>
                logged.version > after && !isAnnouncementExpired(logged)
            );
            return {
                version,
                announcements: changed.filter(logged => logged.contentVersion > after).map(logged => ({
                    service: logged.service,
                    name: logged.name,
                    id: logged.id,
                    announcement: logged.announcement,
                    ageMilliseconds: computeAge(logged.receivedAt, polledAt),
                })),
                renewals: changed.filter(logged => logged.contentVersion <= after).map(logged => ({
                    id: logged.id,
                    ageMilliseconds: computeAge(logged.receivedAt, polledAt),
                    freeSlots: logged.announcement.freeSlots,
                    load: logged.announcement.load,
                })),
                departures: [...departures.values()].filter(departure =>
                    departure.version > after && !isDepartureExpired(departure)
                )
                    .map(
                        ({ service, name, incarnation, receivedAt }) => ({
                            service,
                            name,
                            incarnation,
                            ageMilliseconds: computeAge(receivedAt, polledAt),
                        }),
                    ),
            };
        },
        sweep: () => {
            loggedAnnouncements.forEach((logged, key) =>
                isAnnouncementExpired(logged) && loggedAnnouncements.delete(key)
            );
            departures.forEach((departure, key) => isDepartureExpired(departure) && departures.delete(key));
        },
    };
}

function hasSameContent(a: Announcement, b: Announcement): boolean {
    return a.address === b.address && a.port === b.port && a.availabilityZone === b.availabilityZone
        && a.incarnation === b.incarnation && a.slots === b.slots
        && (a.freeSlots === undefined) === (b.freeSlots === undefined)
        && (a.load === undefined) === (b.load === undefined);
}

/** Rounds up, so that a copy can only expire earlier, never later. */
function computeAge(receivedAt: number, polledAt: number): number {
    return Math.ceil(polledAt - receivedAt);
}
