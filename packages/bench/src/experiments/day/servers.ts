/**
 * Backend servers of a day, with cold starts and with reports that lie or stop.
 */
import { type BackendServer, type RunRecord, startBackendServer } from "../../backend-server/backend-server.js";
import type { DeploymentPlan, PlannedService } from "../../deployment/plan.js";
import { createSeededRandom } from "../../random/seeded-random.js";
import { MEAN_SERVICE_TIME_MS } from "./schedule.js";

/** A request takes at least this share of the mean; the rest is exponential. */
const FIXED_SHARE = 2 / 3;
const COLD_START_MS = 3_000;
const COLD_START_FACTOR = 3;
/** Every so many servers one always reports that it is idle, and one does not report its load. */
const MISLEADING_EVERY = 8;

type Planned = {
    readonly service: PlannedService;
    readonly name: string;
    readonly availabilityZone: string;
    readonly index: number;
};

export type DayServers = {
    readonly running: readonly BackendServer[];
    /** Records of all requests that ran, also on servers that were stopped, with the place of the server. */
    records(): readonly (RunRecord & { readonly availabilityZone: string; readonly backendServer: string })[];
    /** Slots in use and slots, of the running servers of an availability zone. */
    slotsOf(availabilityZone: string): { readonly used: number; readonly total: number };
    stopIn(availabilityZones: readonly string[]): Promise<void>;
    /** Starts those that do not run, with cold caches. */
    startIn(availabilityZones: readonly string[]): Promise<void>;
    zoneOf(backendServer: string): string | undefined;
};

/** Creates the backend servers of a plan, spread over its availability zones; none is started. */
export function createDayServers(
    plan: DeploymentPlan,
    announceUrlsOf: (availabilityZone: string) => readonly string[],
    seed: number,
): DayServers {
    const zones = plan.regions.flatMap(region => region.availabilityZones);
    const planned = plan.services.flatMap(service =>
        Array.from({ length: service.backendServers }, (_, index): Planned => ({
            service,
            name: `${service.name}-${index + 1}`,
            availabilityZone: zones[index % zones.length]!,
            index,
        }))
    );
    const random = createSeededRandom(seed);
    const running = new Map<string, BackendServer>();
    const stopped: { readonly name: string; readonly server: BackendServer }[] = [];
    const takeMilliseconds = () => MEAN_SERVICE_TIME_MS * (FIXED_SHARE - (1 - FIXED_SHARE) * Math.log(1 - random()));

    const start = async ({ service, name, availabilityZone, index }: Planned, isFirst: boolean) => {
        const isLiar = index % MISLEADING_EVERY === 1;
        const isSilent = index % MISLEADING_EVERY === 2;
        const server = await startBackendServer({
            service: service.name,
            name,
            availabilityZone,
            slots: service.slots,
            serviceMilliseconds: takeMilliseconds,
            coldStartMilliseconds: isFirst ? 0 : COLD_START_MS,
            coldStartFactor: COLD_START_FACTOR,
            entries: announceUrlsOf(availabilityZone),
            reportLoad: report => {
                if (isLiar) {
                    return { freeSlots: service.slots, load: 0 };
                }
                return isSilent ? {} : report;
            },
        });
        running.set(name, server);
    };
    let isFirst = true;

    return {
        get running() {
            return [...running.values()];
        },
        records: () =>
            [...stopped, ...[...running].map(([name, server]) => ({ name, server }))].flatMap(({ name, server }) => {
                const { availabilityZone } = planned.find(one => one.name === name)!;
                return server.records.map(record => ({ ...record, availabilityZone, backendServer: name }));
            }),
        slotsOf: availabilityZone => {
            const inZone = planned.filter(one => one.availabilityZone === availabilityZone && running.has(one.name));
            return {
                used: inZone.reduce((sum, { name }) => sum + running.get(name)!.running, 0),
                total: inZone.reduce((sum, { service }) => sum + service.slots, 0),
            };
        },
        stopIn: async availabilityZones => {
            const leaving = planned.filter(one => availabilityZones.includes(one.availabilityZone));
            await Promise.all(leaving.map(async ({ name }) => {
                const server = running.get(name);
                if (server !== undefined) {
                    running.delete(name);
                    stopped.push({ name, server });
                    await server.stop();
                }
            }));
        },
        startIn: async availabilityZones => {
            const missing = planned.filter(one =>
                availabilityZones.includes(one.availabilityZone) && !running.has(one.name)
            );
            await Promise.all(missing.map(one => start(one, isFirst)));
            isFirst = false;
        },
        zoneOf: backendServer => planned.find(({ name }) => name === backendServer)?.availabilityZone,
    };
}
