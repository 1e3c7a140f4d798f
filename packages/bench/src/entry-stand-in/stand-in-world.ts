/**
 * Stand-in entries and backend servers and the callers of one test scenario, all on 127.0.0.1.
 */
import { type BackendServer, type BackendServerOptions, startBackendServer } from "../backend-server/backend-server.js";
import { type Caller, type CallerResponse, createCaller } from "../caller/caller.js";
import { createView, type EntryStandIn, type EntryStandInOptions, startEntryStandIn } from "./entry-stand-in.js";

export const SERVICE = "stoc";
export const REGIONS = { transilvania: ["sibiu-1", "sibiu-2"], muntenia: ["pitesti-1"] };

/** Polls until the condition holds; rejects after 10 s with the description. */
export async function waitUntil(
    description: string,
    condition: () => boolean,
    intervalMilliseconds = 5,
): Promise<void> {
    const end = performance.now() + 10_000;
    while (!condition()) {
        if (performance.now() > end) {
            throw new Error(`Timed out after 10 s waiting until ${description}.`);
        }
        await new Promise(resolve => setTimeout(resolve, intervalMilliseconds));
    }
}

export type StandInWorld = {
    readonly entries: EntryStandIn[];
    readonly backendServers: BackendServer[];
    /** One caller for each entry, in the order of `entries`. */
    readonly callers: Caller[];
    /** Responses that the steps of the scenario have collected. */
    responses: CallerResponse[];
    startEntry(options?: Partial<EntryStandInOptions>): Promise<EntryStandIn>;
    /** Starts a backend server that announces itself to all entries started so far. */
    startBackendServer(options?: Partial<BackendServerOptions>): Promise<BackendServer>;
    /** Stops everything and clears the world for the next scenario. */
    close(): Promise<void>;
};

/**
 * Creates a world without entries, backend servers and callers.
 */
export function createStandInWorld(): StandInWorld {
    const world: StandInWorld = {
        entries: [],
        backendServers: [],
        callers: [],
        responses: [],
        startEntry: async (options = {}) => {
            const entry = await startEntryStandIn({
                name: `entry-${world.entries.length + 1}`,
                availabilityZone: "sibiu-1",
                view: createView({ [SERVICE]: { defaultClass: "idempotent" } }, REGIONS),
                ...options,
            });
            world.entries.push(entry);
            world.callers.push(createCaller({ service: SERVICE, entries: [entry.callerUrl] }));
            return entry;
        },
        startBackendServer: async (options = {}) => {
            const server = await startBackendServer({
                service: SERVICE,
                name: `die-${world.backendServers.length + 1}`,
                availabilityZone: "sibiu-1",
                entries: world.entries.map(entry => entry.announcementUrl),
                ...options,
            });
            world.backendServers.push(server);
            return server;
        },
        close: async () => {
            await Promise.all(world.callers.map(caller => caller.close()));
            await Promise.all(world.entries.map(entry => entry.kill()));
            await Promise.all(world.backendServers.map(server => server.stop()));
            world.entries.length = 0;
            world.backendServers.length = 0;
            world.callers.length = 0;
            world.responses = [];
        },
    };
    return world;
}
