/**
 * The request path of an entry on a real socket, with stand-ins for the other components of an entry: a listener for
 * announcements, an editable configuration view and admission limits.
 */
import { createSystemClock } from "@hyssopfront/coordination";
import { type Admission, type Reservation } from "hyssopfront/admission/admission.ts";
import {
    type AnnouncedBackendServer,
    ANNOUNCEMENT_LIFETIME_MS,
    ANNOUNCEMENT_RENEWAL_MS,
    announcementSchema,
    type AnnouncementSource,
} from "hyssopfront/announcements/announcement.ts";
import {
    type ConfigurationSource,
    type ConfigurationView,
    EMPTY_CONFIGURATION_VIEW,
} from "hyssopfront/configuration/configuration-view.ts";
import { type AvailabilityZoneSpec, serviceSpecSchema } from "hyssopfront/resources/resource.ts";
import { createCallerServer } from "hyssopfront/routing/caller-server.ts";
import {
    createRequestHandler,
    type RequestHandler,
    type RequestHandlerOptions,
} from "hyssopfront/routing/request-handler.ts";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

export type EntryStandIn = {
    readonly name: string;
    /** Base URL for callers. */
    readonly callerUrl: string;
    readonly callerPort: number;
    /** Base URL for announcements. */
    readonly announcementUrl: string;
    readonly handler: RequestHandler;
    readonly admission: StandInAdmission;
    readonly counters: ReadonlyMap<string, number>;
    view: ConfigurationView;
    holdsViewLease: boolean;
    backendServers(service: string): readonly AnnouncedBackendServer[];
    /** Removes the announcement of a backend server right after the next check whether it is usable. */
    removeAfterUsabilityCheck(name: string): void;
    /** Treats a backend server as announced only to another entry. */
    markIndirect(name: string): void;
    /** Backend servers whose announcements get the response that they are being drained. */
    readonly draining: Set<string>;
    /** Closes the listening sockets and all connections at once, as if the process were killed. */
    kill(): Promise<void>;
};

export type StandInAdmission = Admission & {
    /** Limits by budget key; keys without a limit are unlimited. */
    readonly limits: Map<string, number>;
    readonly used: ReadonlyMap<string, number>;
    /** Highest use of each key so far. */
    readonly peaks: ReadonlyMap<string, number>;
    /** Units that queued requests currently wait for, by key. */
    readonly demands: ReadonlyMap<string, number>;
};

/** Creates an admission that never refills rate budgets, so that tests can count their units. */
export function createStandInAdmission(): StandInAdmission {
    const limits = new Map<string, number>();
    const used = new Map<string, number>();
    const peaks = new Map<string, number>();
    const demands = new Map<string, number>();
    const available = (key: string) => (limits.get(key) ?? 1_000) - (used.get(key) ?? 0);
    const add = (key: string, amount: number) => {
        const value = (used.get(key) ?? 0) + amount;
        used.set(key, value);
        peaks.set(key, Math.max(value, peaks.get(key) ?? 0));
    };
    const isLimited = (key: string) => limits.has(key);
    return {
        limits,
        used,
        peaks,
        demands,
        available,
        setQueuedDemand: (key, amount) => {
            demands.set(key, amount);
        },
        recordRejectedDemand: () => undefined,
        tryReserve: (units): Reservation | string => {
            const exhausted = units.find(({ key, amount }) => isLimited(key) && available(key) < amount);
            if (exhausted !== undefined) {
                return exhausted.key;
            }
            units.forEach(({ key, amount }) => add(key, amount));
            let isReleased = false;
            return {
                release: () => {
                    if (!isReleased) {
                        isReleased = true;
                        units.filter(({ key }) => key.startsWith("slots/"))
                            .forEach(({ key, amount }) => add(key, -amount));
                    }
                },
            };
        },
        waitForCapacity: (keys, bytes) => {
            keys.forEach(key => add(key, bytes));
            return Promise.resolve();
        },
    };
}

/**
 * Creates a configuration view.
 *
 * @param services Fields of each service that differ from the defaults, by name.
 * @param regions Names of the availability zones of each region, by region.
 */
export function createView(
    services: Readonly<Record<string, object>>,
    regions: Readonly<Record<string, readonly string[]>>,
): ConfigurationView {
    const availabilityZones = Object.entries(regions)
        .flatMap(([region, names]) =>
            names.map((name): [string, AvailabilityZoneSpec] => [name, { region, clientBlocks: [] }])
        );
    return {
        ...EMPTY_CONFIGURATION_VIEW,
        revision: 1,
        regions: new Map(Object.keys(regions).map(name => [name, { links: [] }])),
        availabilityZones: new Map(availabilityZones),
        services: new Map(
            Object.entries(services).map(([name, fields]) => [
                name,
                serviceSpecSchema.parse({
                    availabilityZones: availabilityZones.map(([zone]) => zone),
                    slotsPerBackendServer: 6,
                    ...fields,
                }),
            ]),
        ),
    };
}

export type EntryStandInOptions =
    & Pick<
        RequestHandlerOptions,
        "policy" | "recordLatency" | "defaultDeadlineMilliseconds" | "maximumBodyBytes" | "random" | "locateCaller"
    >
    & {
        readonly name: string;
        readonly availabilityZone: string;
        readonly view: ConfigurationView;
        /** Further options of the request handler for this incarnation of the entry. They override the others. */
        readonly handlerOptions?: Partial<RequestHandlerOptions>;
    };

const listen = (server: Server) =>
    new Promise<number>(resolve =>
        server.listen(0, "127.0.0.1", () => resolve((server.address() as AddressInfo).port))
    );

/**
 * Starts the stand-in on free ports of 127.0.0.1.
 */
export async function startEntryStandIn(options: EntryStandInOptions): Promise<EntryStandIn> {
    const clock = createSystemClock();
    const counters = new Map<string, number>();
    const announced = new Map<string, AnnouncedBackendServer>();
    const admission = createStandInAdmission();
    const draining = new Set<string>();
    const removedOnCheck = new Set<string>();
    const indirectNames = new Set<string>();
    const currentBackendServers = (service: string) =>
        [...announced.values()]
            .filter(server => server.service === service && server.validUntil > clock.monotonicMilliseconds())
            .map(server => indirectNames.has(server.name) ? { ...server, isDirect: false } : server);
    const announcements: AnnouncementSource = {
        backendServers: currentBackendServers,
        isUsable: server => {
            const key = `${server.service}/${server.name}`;
            const known = announced.get(key);
            if (removedOnCheck.has(server.name)) {
                announced.delete(key);
            }
            return known?.incarnation === server.incarnation && known.validUntil > clock.monotonicMilliseconds();
        },
    };
    const configuration: ConfigurationSource = {
        view: () => entry.view,
        holdsViewLease: () => entry.holdsViewLease,
        onChange: () => () => undefined,
    };
    const handler = createRequestHandler({
        ...options,
        entry: options,
        clock,
        configuration,
        announcements,
        admission,
        counters: {
            increment: (name, amount = 1) => counters.set(name, (counters.get(name) ?? 0) + amount),
            gauge: () => undefined,
        },
        ...options.handlerOptions,
    });
    const callerServer = createCallerServer(handler);
    const announcementServer = createServer((request, response) => {
        void handleAnnouncement(request, response, announced, draining, clock.monotonicMilliseconds);
    });
    const callerPort = await listen(callerServer);
    const announcementPort = await listen(announcementServer);
    const entry: EntryStandIn = {
        name: options.name,
        callerUrl: `http://127.0.0.1:${callerPort}`,
        callerPort,
        announcementUrl: `http://127.0.0.1:${announcementPort}`,
        handler,
        admission,
        counters,
        view: options.view,
        holdsViewLease: true,
        backendServers: currentBackendServers,
        removeAfterUsabilityCheck: name => {
            removedOnCheck.add(name);
        },
        markIndirect: name => {
            indirectNames.add(name);
        },
        draining,
        kill: async () => {
            announced.clear();
            const servers = [callerServer, announcementServer];
            const closed = servers.map(server => new Promise<void>(resolve => server.close(() => resolve())));
            servers.forEach(server => server.closeAllConnections());
            handler.close();
            await Promise.all(closed);
        },
    };
    return entry;
}

async function handleAnnouncement(
    request: IncomingMessage,
    response: ServerResponse,
    announced: Map<string, AnnouncedBackendServer>,
    draining: ReadonlySet<string>,
    now: () => number,
): Promise<void> {
    const [service, name] = (request.url ?? "").split("/").slice(3);
    const key = `${service}/${name}`;
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    if (request.method === "DELETE") {
        announced.delete(key);
    }
    else {
        const announcement = announcementSchema.parse(JSON.parse(Buffer.concat(chunks).toString()));
        const validUntil = now() + ANNOUNCEMENT_LIFETIME_MS;
        if (announcement.leaving) {
            announced.delete(key);
        }
        else {
            announced.set(key, {
                ...announcement,
                service: service ?? "",
                name: name ?? "",
                validUntil,
                isDirect: true,
            });
        }
    }
    response.end(JSON.stringify({ draining: draining.has(name ?? ""), renewWithinMs: ANNOUNCEMENT_RENEWAL_MS }));
}
