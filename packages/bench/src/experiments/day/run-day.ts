/**
 * Runs a day: sends traffic, applies changes and the outage as scheduled, and samples the slots in use.
 */
import { monitorEventLoopDelay } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";
import type { DeploymentPlan } from "../../deployment/plan.js";
import type { DaySystem } from "./day-system.js";
import type { DaySchedule } from "./schedule.js";
import { createDayServers, type DayServers } from "./servers.js";
import { type DayTraffic, sendTraffic } from "./traffic.js";

/** Slots of the running backend servers of a region at a time in seconds from the start of the traffic. */
export type SlotSample = {
    readonly second: number;
    readonly region: string;
    readonly used: number;
    readonly total: number;
};

/** Record of a day. Times are milliseconds of `performance.now()`. */
export type DayRun = {
    readonly plan: DeploymentPlan;
    readonly schedule: DaySchedule;
    readonly traffic: DayTraffic;
    readonly records: ReturnType<DayServers["records"]>;
    readonly getServerZone: DayServers["getZone"];
    readonly samples: readonly SlotSample[];
    readonly startedAt: number;
    /** When the shift came into force and when its removal was requested; infinite if that did not happen. */
    readonly shiftFrom: number;
    readonly shiftTo: number;
    /** From the declaration until the system reported the drain as complete; undefined if it did not. */
    readonly drainMilliseconds: number | undefined;
    readonly drainedAt: number | undefined;
    readonly counters: ReadonlyMap<string, number>;
    readonly deadProcesses: readonly string[];
    /** Event loop delay of the tool, which runs callers, backend servers and links, in milliseconds. */
    readonly loopDelay: { readonly p50: number; readonly p99: number };
    /** Names and messages of changes that failed. */
    readonly failures: readonly string[];
};

const SAMPLE_INTERVAL_MS = 100;
const LOOP_DELAY_RESOLUTION_MS = 2;
const NANOSECONDS_PER_MILLISECOND = 1e6;
/** Time in which the entries learn of all backend servers and receive their first quotas. */
const SETTLE_MS = 3_000;

/** Runs the whole day. Stops the backend servers at the end, but not the system. */
export async function runDay(
    plan: DeploymentPlan,
    system: DaySystem,
    schedule: DaySchedule,
    seed: number,
): Promise<DayRun> {
    const zones = plan.regions.flatMap(region => region.availabilityZones);
    const listZones = (region: string) => plan.regions.find(({ name }) => name === region)!.availabilityZones;
    const servers = createDayServers(plan, system.getAnnouncementUrls, seed + 1);
    const failures: string[] = [];
    const samples: SlotSample[] = [];
    let shiftFrom = Infinity;
    let shiftTo = Infinity;
    let drainMilliseconds: number | undefined;
    let drainedAt: number | undefined;
    await servers.startIn(zones);
    await delay(SETTLE_MS);
    const loopDelay = monitorEventLoopDelay({ resolution: LOOP_DELAY_RESOLUTION_MS });
    loopDelay.enable();
    const startedAt = performance.now();
    const elapsedSeconds = () => (performance.now() - startedAt) / 1_000;
    const runAt = async (second: number, name: string, action: () => Promise<void>) => {
        await delay(Math.max(0, (second - elapsedSeconds()) * 1_000));
        await action().catch((error: Error) => failures.push(`${name}: ${error.message}`));
    };
    const runShift = async () => {
        const { shift } = schedule;
        await runAt(shift.from, "shift", async () => {
            await system.declareShift(shift);
            shiftFrom = performance.now();
        });
        await runAt(shift.to, "end of the shift", () => {
            shiftTo = performance.now();
            return system.removeShift();
        });
    };
    const runDrain = async () => {
        const { drain } = schedule;
        await runAt(drain.from, "drain", async () => {
            const declaredAt = performance.now();
            await system.drain(drain);
            drainedAt = performance.now();
            drainMilliseconds = drainedAt - declaredAt;
        });
        await runAt(drain.to, "end of the drain", async () => {
            await servers.stopIn([drain.availabilityZone]);
            await system.removeDrain();
            await servers.startIn([drain.availabilityZone]);
        });
    };
    const runOutage = async () => {
        const { from, to, region } = schedule.outage;
        await runAt(from, "outage", async () => {
            await Promise.all([servers.stopIn(listZones(region)), system.failRegion(region)]);
        });
        await runAt(to, "recovery", async () => {
            await Promise.all([system.recoverRegion(region), servers.startIn(listZones(region))]);
        });
    };
    const sampler = setInterval(() => {
        plan.regions.forEach(({ name }) => {
            const slotsByZone = listZones(name).map(zone => servers.countSlots(zone));
            const sum = (select: (slots: typeof slotsByZone[number]) => number) =>
                slotsByZone.reduce((total, slots) => total + select(slots), 0);
            samples.push({
                second: elapsedSeconds(),
                region: name,
                used: sum(slots => slots.used),
                total: sum(slots => slots.total),
            });
        });
    }, SAMPLE_INTERVAL_MS);
    try {
        const [traffic] = await Promise.all([
            sendTraffic(plan, system, schedule, seed + 2),
            runShift(),
            runDrain(),
            runOutage(),
        ]);
        return {
            plan,
            schedule,
            traffic,
            records: servers.records(),
            getServerZone: servers.getZone,
            samples,
            startedAt,
            shiftFrom,
            shiftTo,
            drainMilliseconds,
            drainedAt,
            counters: await system.readCounters(),
            deadProcesses: system.findDeadProcesses(),
            loopDelay: {
                p50: loopDelay.percentile(50) / NANOSECONDS_PER_MILLISECOND - LOOP_DELAY_RESOLUTION_MS,
                p99: loopDelay.percentile(99) / NANOSECONDS_PER_MILLISECOND - LOOP_DELAY_RESOLUTION_MS,
            },
            failures,
        };
    }
    finally {
        clearInterval(sampler);
        await servers.stopIn(zones);
    }
}
