/**
 * Runs a day: traffic, changes and losses at the times of the schedule, and samples of the slots in use.
 */
import { monitorEventLoopDelay } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";
import type { DeploymentPlan } from "../../deployment/plan.js";
import type { DaySystem } from "./day-system.js";
import type { DaySchedule } from "./schedule.js";
import { createDayServers, type DayServers } from "./servers.js";
import { type DayTraffic, sendTraffic } from "./traffic.js";

export type SlotSample = {
    readonly second: number;
    readonly region: string;
    readonly used: number;
    readonly total: number;
};

/** What happened; times are milliseconds of `performance.now()`. */
export type DayRun = {
    readonly plan: DeploymentPlan;
    readonly schedule: DaySchedule;
    readonly traffic: DayTraffic;
    readonly records: ReturnType<DayServers["records"]>;
    readonly zoneOfServer: DayServers["zoneOf"];
    readonly samples: readonly SlotSample[];
    readonly startedAt: number;
    /** From when the shift was in force until its removal was asked for. */
    readonly shiftFrom: number;
    readonly shiftTo: number;
    /** From the declaration until the system said drained; undefined when it did not. */
    readonly drainMilliseconds: number | undefined;
    readonly drainedAt: number | undefined;
    readonly counters: ReadonlyMap<string, number>;
    readonly deadProcesses: readonly string[];
    /** Delay of the event loop of the tool, which carries callers, backend servers and links, in milliseconds. */
    readonly loopDelay: { readonly p50: number; readonly p99: number };
    /** Changes that failed. */
    readonly failures: readonly string[];
};

const SAMPLE_MS = 100;
const LOOP_RESOLUTION_MS = 2;
const NANOSECONDS = 1e6;
/** Lets the entries learn of all backend servers and get their first portions. */
const SETTLE_MS = 3_000;

/** Runs the whole day; the system is not stopped. */
export async function runDay(
    plan: DeploymentPlan,
    system: DaySystem,
    schedule: DaySchedule,
    seed: number,
): Promise<DayRun> {
    const zones = plan.regions.flatMap(region => region.availabilityZones);
    const zonesOf = (region: string) => plan.regions.find(({ name }) => name === region)!.availabilityZones;
    const servers = createDayServers(plan, system.announceUrlsOf, seed + 1);
    const failures: string[] = [];
    const samples: SlotSample[] = [];
    let shiftFrom = Infinity;
    let shiftTo = Infinity;
    let drainMilliseconds: number | undefined;
    let drainedAt: number | undefined;
    await servers.startIn(zones);
    await delay(SETTLE_MS);
    const loopDelay = monitorEventLoopDelay({ resolution: LOOP_RESOLUTION_MS });
    loopDelay.enable();
    const startedAt = performance.now();
    const secondsSince = () => (performance.now() - startedAt) / 1_000;
    const at = async (second: number, name: string, act: () => Promise<void>) => {
        await delay(Math.max(0, (second - secondsSince()) * 1_000));
        await act().catch((error: Error) => failures.push(`${name}: ${error.message}`));
    };
    const runShift = async () => {
        const { shift } = schedule;
        await at(shift.from, "shift", async () => {
            await system.declareShift(shift);
            shiftFrom = performance.now();
        });
        await at(shift.to, "end of the shift", () => {
            shiftTo = performance.now();
            return system.removeShift();
        });
    };
    const runDrain = async () => {
        const { drain } = schedule;
        await at(drain.from, "drain", async () => {
            const declaredAt = performance.now();
            await system.drain(drain);
            drainedAt = performance.now();
            drainMilliseconds = drainedAt - declaredAt;
        });
        await at(drain.to, "end of the drain", async () => {
            await servers.stopIn([drain.availabilityZone]);
            await system.removeDrain();
            await servers.startIn([drain.availabilityZone]);
        });
    };
    const runLoss = async () => {
        const { from, to, region } = schedule.outage;
        await at(from, "loss", async () => {
            await Promise.all([servers.stopIn(zonesOf(region)), system.failRegion(region)]);
        });
        await at(to, "return", async () => {
            await Promise.all([system.recoverRegion(region), servers.startIn(zonesOf(region))]);
        });
    };
    const sampler = setInterval(() => {
        plan.regions.forEach(({ name }) => {
            const ofZones = zonesOf(name).map(zone => servers.slotsOf(zone));
            const sum = (choose: (one: typeof ofZones[number]) => number) =>
                ofZones.reduce((total, one) => total + choose(one), 0);
            samples.push({
                second: secondsSince(),
                region: name,
                used: sum(one => one.used),
                total: sum(one => one.total),
            });
        });
    }, SAMPLE_MS);
    try {
        const [traffic] = await Promise.all([
            sendTraffic(plan, system, schedule, seed + 2),
            runShift(),
            runDrain(),
            runLoss(),
        ]);
        return {
            plan,
            schedule,
            traffic,
            records: servers.records(),
            zoneOfServer: servers.zoneOf,
            samples,
            startedAt,
            shiftFrom,
            shiftTo,
            drainMilliseconds,
            drainedAt,
            counters: await system.readCounters(),
            deadProcesses: system.findDeadProcesses(),
            loopDelay: {
                p50: loopDelay.percentile(50) / NANOSECONDS - LOOP_RESOLUTION_MS,
                p99: loopDelay.percentile(99) / NANOSECONDS - LOOP_RESOLUTION_MS,
            },
            failures,
        };
    }
    finally {
        clearInterval(sampler);
        await servers.stopIn(zones);
    }
}
