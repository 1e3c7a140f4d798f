/**
 * Backend servers of a day, with cold starts, and with some that report a wrong load or none.
 */
import { type BackendServer, type RunRecord, startBackendServer } from "../../backend-server/backend-server.js";
import type { DeploymentPlan, PlannedService } from "../../deployment/plan.js";
import { createSeededRandom } from "../../random/seeded-random.js";
import { MEAN_SERVICE_TIME_MS } from "./schedule.js";

/** Minimum service time as a fraction of the mean; the rest is exponentially distributed. */
const FIXED_FRACTION = 2 / 3;
const COLD_START_MS = 3_000;
const COLD_START_FACTOR = 3;
/** Of this many servers, one always reports that it is idle, and one does not report its load. */
const MISREPORTING_INTERVAL = 8;

type PlannedServer = {
    readonly service: PlannedService;
    readonly name: string;
    readonly availabilityZone: string;
    readonly index: number;
};

/** Backend servers of a day, which start and stop by availability zone. */
export type DayServers = {
    readonly running: readonly BackendServer[];
    /** Records of all requests that ran, including those on stopped servers, with name and location of the server. */
    records(): readonly (RunRecord & { readonly availabilityZone: string; readonly backendServer: string })[];
    /** Slots in use and all slots of the running servers of an availability zone. */
    countSlots(availabilityZone: string): { readonly used: number; readonly total: number };
    stopIn(availabilityZones: readonly string[]): Promise<void>;
    /** Starts the servers that are not running. Servers start with cold caches in all calls but the first. */
    startIn(availabilityZones: readonly string[]): Promise<void>;
    /** Availability zone of a server, running or not; undefined if the plan has no server of this name. */
    getZone(backendServer: string): string | undefined;
};

/** Creates the backend servers of a plan, distributed over its availability zones, without starting them. */
export function createDayServers(
    plan: DeploymentPlan,
    getAnnouncementUrls: (availabilityZone: string) => readonly string[],
    seed: number,
): DayServers {
    const zones = plan.regions.flatMap(region => region.availabilityZones);
    const planned = plan.services.flatMap(service =>
        Array.from({ length: service.backendServers }, (_, index): PlannedServer => ({
            service,
            name: `${service.name}-${index + 1}`,
            availabilityZone: zones[index % zones.length]!,
            index,
        }))
    );
    const random = createSeededRandom(seed);
    const running = new Map<string, BackendServer>();
    const stopped: { readonly name: string; readonly server: BackendServer }[] = [];
    const drawServiceMilliseconds = () =>
        MEAN_SERVICE_TIME_MS * (FIXED_FRACTION - (1 - FIXED_FRACTION) * Math.log(1 - random()));

    const start = async ({ service, name, availabilityZone, index }: PlannedServer, isFirstStart: boolean) => {
        const isReportingIdle = index % MISREPORTING_INTERVAL === 1;
        const isOmittingLoad = index % MISREPORTING_INTERVAL === 2;
        const server = await startBackendServer({
            service: service.name,
            name,
            availabilityZone,
            slots: service.slots,
            serviceMilliseconds: drawServiceMilliseconds,
            coldStartMilliseconds: isFirstStart ? 0 : COLD_START_MS,
            coldStartFactor: COLD_START_FACTOR,
            entries: getAnnouncementUrls(availabilityZone),
            reportLoad: report => {
                if (isReportingIdle) {
                    return { freeSlots: service.slots, load: 0 };
                }
                return isOmittingLoad ? {} : report;
            },
        });
        running.set(name, server);
    };
    let isFirstStart = true;

    return {
        get running() {
            return [...running.values()];
        },
        records: () =>
            [...stopped, ...[...running].map(([name, server]) => ({ name, server }))].flatMap(({ name, server }) => {
                const { availabilityZone } = planned.find(candidate => candidate.name === name)!;
                return server.records.map(record => ({ ...record, availabilityZone, backendServer: name }));
            }),
        countSlots: availabilityZone => {
            const inZone = planned.filter(server =>
                server.availabilityZone === availabilityZone && running.has(server.name)
            );
            return {
                used: inZone.reduce((sum, { name }) => sum + running.get(name)!.running, 0),
                total: inZone.reduce((sum, { service }) => sum + service.slots, 0),
            };
        },
        stopIn: async availabilityZones => {
            const leaving = planned.filter(server => availabilityZones.includes(server.availabilityZone));
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
            const missing = planned.filter(server =>
                availabilityZones.includes(server.availabilityZone) && !running.has(server.name)
            );
            await Promise.all(missing.map(server => start(server, isFirstStart)));
            isFirstStart = false;
        },
        getZone: backendServer => planned.find(({ name }) => name === backendServer)?.availabilityZone,
    };
}
