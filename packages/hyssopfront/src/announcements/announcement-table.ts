/**
 * Copies of announcements by the entry that received them, and tombstones of backend servers that left.
 */
import { type AnnouncedBackendServer, type Announcement, ANNOUNCEMENT_LIFETIME_MS } from "./announcement.js";

/**
 * Time for which a tombstone hides other announcements of the same incarnation. Copies at other entries expire after
 * 2 s, but a connection may deliver an announcement from before the tombstone much later. TCP retransmission seldom
 * delays one by more than a minute.
 */
export const TOMBSTONE_LIFETIME_MS = 60_000;

/** An announcement and when it was received. */
export type AnnouncementCopy = {
    readonly announcement: Announcement;
    /** Earliest possible time of receipt, in milliseconds on this entry's monotonic clock. */
    readonly receivedAt: number;
};
/** Records that an incarnation left; `createdAt` is in milliseconds on this entry's monotonic clock. */
export type Tombstone = { readonly incarnation: string; readonly createdAt: number };

/** Announcements that one entry received or pulled. */
export type AnnouncementTable = {
    /** Stores or replaces the copy of one source. Returns false when the source is at its limit of backend servers. */
    put(source: string, service: string, name: string, copy: AnnouncementCopy): boolean;
    /**
     * Hides an incarnation. A later tombstone of the same incarnation extends the time, an earlier one has no effect.
     * Returns false when the limit of tombstones is reached.
     */
    addTombstone(service: string, name: string, tombstone: Tombstone): boolean;
    /** True while a tombstone hides the incarnation. */
    hasTombstone(service: string, name: string, incarnation: string): boolean;
    /** Returns the incarnation of the backend server that may be used now, or undefined. */
    findIncarnation(service: string, name: string): string | undefined;
    /** Returns the backend servers of a service that may be used now. */
    list(service: string): readonly AnnouncedBackendServer[];
    /** Returns the backend servers for which the copy of the source may be used now. */
    listBySource(source: string): readonly BackendServerName[];
    /** True when the copy of the source may be used now and was received at most this many milliseconds ago. */
    isFresh(source: string, { service, name }: BackendServerName, milliseconds: number): boolean;
    /** Removes expired copies and tombstones. */
    sweep(): void;
};

/** Identifies a backend server. */
export type BackendServerName = { readonly service: string; readonly name: string };

type BackendServerRecord = {
    readonly copies: Map<string, AnnouncementCopy>;
    readonly tombstones: Map<string, Tombstone>;
};
type CachedList = { readonly servers: readonly AnnouncedBackendServer[]; readonly validUntil: number };

/**
 * Creates an empty table.
 *
 * @param now Returns the time of the monotonic clock in milliseconds.
 * @param directSource Source name of announcements that this entry received directly.
 * @param limits Maximum number of backend servers for each source, and of tombstones.
 */
export function createAnnouncementTable(
    now: () => number,
    directSource: string,
    limits: { readonly backendServers: number; readonly tombstones: number },
): AnnouncementTable {
    const services = new Map<string, Map<string, BackendServerRecord>>();
    const listCache = new Map<string, CachedList>();
    const copyCounts = new Map<string, number>();
    let tombstoneCount = 0;

    const isCopyExpired = (copy: AnnouncementCopy, at: number) => at >= copy.receivedAt + ANNOUNCEMENT_LIFETIME_MS;
    const isTombstoneExpired = (tombstone: Tombstone, at: number) => at >= tombstone.createdAt + TOMBSTONE_LIFETIME_MS;
    const adjustCopyCount = (source: string, change: number) => {
        const count = (copyCounts.get(source) ?? 0) + change;
        if (count === 0) {
            copyCounts.delete(source);
            return;
        }
        copyCounts.set(source, count);
    };

    const getOrCreateServer = (service: string, name: string): BackendServerRecord => {
        const servers = services.get(service) ?? new Map<string, BackendServerRecord>();
        services.set(service, servers);
        const server = servers.get(name) ?? { copies: new Map(), tombstones: new Map() };
        servers.set(name, server);
        listCache.delete(service);
        return server;
    };

    /** True when the incarnation has a tombstone, or the copy is not newer than the tombstone of any incarnation. */
    const isHidden = (server: BackendServerRecord, copy: AnnouncementCopy, at: number) =>
        [...server.tombstones.values()].some(tombstone =>
            !isTombstoneExpired(tombstone, at)
            && (tombstone.incarnation === copy.announcement.incarnation || copy.receivedAt <= tombstone.createdAt)
        );

    const isUsable = (server: BackendServerRecord, copy: AnnouncementCopy, at: number) =>
        !isCopyExpired(copy, at) && !isHidden(server, copy, at);

    const findUsableCopies = (server: BackendServerRecord) => {
        const at = now();
        return [...server.copies].filter(([, copy]) => isUsable(server, copy, at));
    };

    const findLatest = (usable: readonly (readonly [string, AnnouncementCopy])[]) =>
        usable.map(([, copy]) => copy)
            .reduce<AnnouncementCopy | undefined>(
                (latest, copy) => latest === undefined || copy.receivedAt > latest.receivedAt ? copy : latest,
                undefined,
            );

    const toAnnouncedBackendServer = (
        service: string,
        name: string,
        server: BackendServerRecord,
    ): AnnouncedBackendServer | undefined => {
        const usable = findUsableCopies(server);
        const latest = findLatest(usable);
        if (latest === undefined) {
            return undefined;
        }
        const sameIncarnation = usable.filter(([, copy]) =>
            copy.announcement.incarnation === latest.announcement.incarnation
        );
        const [, direct] = sameIncarnation.find(([source]) => source === directSource) ?? [];
        // An address that other entries received may reach the backend server only from where they run.
        const { address, port } = (direct ?? latest).announcement;
        return {
            ...latest.announcement,
            address,
            port,
            service,
            name,
            validUntil: latest.receivedAt + ANNOUNCEMENT_LIFETIME_MS,
            isDirect: direct !== undefined,
        };
    };

    /**
     * Does not build an `AnnouncedBackendServer`: this runs before each dispatch, and V8 creates new hidden classes for
     * each of those objects.
     */
    const findIncarnation = (service: string, name: string) => {
        const server = services.get(service)?.get(name);
        return server === undefined ? undefined : findLatest(findUsableCopies(server))?.announcement.incarnation;
    };

    /** Returns when a list built now may become outdated, which is when the first of the copies expires. */
    const findFirstExpiry = (servers: ReadonlyMap<string, BackendServerRecord>, at: number) => {
        const expiries = [...servers.values()].flatMap(server => [...server.copies.values()])
            .map(copy => copy.receivedAt + ANNOUNCEMENT_LIFETIME_MS)
            .filter(expiry => expiry > at);
        return expiries.reduce((first, expiry) => Math.min(first, expiry), Infinity);
    };

    const list = (service: string): readonly AnnouncedBackendServer[] => {
        const at = now();
        const cached = listCache.get(service);
        if (cached !== undefined && at < cached.validUntil) {
            return cached.servers;
        }
        const servers = services.get(service);
        if (servers === undefined) {
            return [];
        }
        const selected = [...servers].map(([name, server]) => toAnnouncedBackendServer(service, name, server))
            .filter(server => server !== undefined);
        listCache.set(service, { servers: selected, validUntil: findFirstExpiry(servers, at) });
        return selected;
    };

    const findUsableCopy = (source: string, server: BackendServerRecord): AnnouncementCopy | undefined => {
        const copy = server.copies.get(source);
        return copy !== undefined && isUsable(server, copy, now()) ? copy : undefined;
    };

    const listBySource = (source: string): readonly BackendServerName[] =>
        [...services].flatMap(([service, servers]) =>
            [...servers].filter(([, server]) => findUsableCopy(source, server) !== undefined)
                .map(([name]) => ({ service, name }))
        );

    const isFresh = (source: string, { service, name }: BackendServerName, milliseconds: number): boolean => {
        const server = services.get(service)?.get(name);
        const copy = server === undefined ? undefined : findUsableCopy(source, server);
        return copy !== undefined && now() - copy.receivedAt <= milliseconds;
    };

    const sweepServer = (server: BackendServerRecord, at: number) => {
        server.copies.forEach((copy, source) => {
            if (isCopyExpired(copy, at)) {
                server.copies.delete(source);
                adjustCopyCount(source, -1);
            }
        });
        server.tombstones.forEach((tombstone, incarnation) => {
            if (isTombstoneExpired(tombstone, at)) {
                server.tombstones.delete(incarnation);
                tombstoneCount -= 1;
            }
        });
    };

    const sweep = () => {
        const at = now();
        services.forEach((servers, service) => {
            servers.forEach((server, name) => {
                sweepServer(server, at);
                if (server.copies.size === 0 && server.tombstones.size === 0) {
                    servers.delete(name);
                }
            });
            listCache.delete(service);
            if (servers.size === 0) {
                services.delete(service);
            }
        });
    };

    /** Sweeps when the limit is reached. Returns false when it is still reached. */
    const hasCapacity = (isFull: () => boolean) => {
        if (isFull()) {
            sweep();
        }
        return !isFull();
    };

    return {
        put: (source, service, name, copy) => {
            const isKnown = services.get(service)?.get(name)?.copies.has(source) ?? false;
            if (!isKnown) {
                if (!hasCapacity(() => (copyCounts.get(source) ?? 0) >= limits.backendServers)) {
                    return false;
                }
                adjustCopyCount(source, 1);
            }
            getOrCreateServer(service, name).copies.set(source, copy);
            return true;
        },
        addTombstone: (service, name, tombstone) => {
            const existing = services.get(service)?.get(name)?.tombstones.get(tombstone.incarnation);
            if (existing === undefined) {
                if (!hasCapacity(() => tombstoneCount >= limits.tombstones)) {
                    return false;
                }
                tombstoneCount += 1;
            }
            if (existing === undefined || existing.createdAt < tombstone.createdAt) {
                getOrCreateServer(service, name).tombstones.set(tombstone.incarnation, tombstone);
            }
            return true;
        },
        hasTombstone: (service, name, incarnation) => {
            const tombstone = services.get(service)?.get(name)?.tombstones.get(incarnation);
            return tombstone !== undefined && !isTombstoneExpired(tombstone, now());
        },
        findIncarnation,
        list,
        listBySource,
        isFresh,
        sweep,
    };
}
