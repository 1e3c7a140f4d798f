/**
 * A seeded day compressed to a short run: when the traffic surges and which changes and losses come when.
 */
import type { DeploymentPlan } from "../../deployment/plan.js";
import { createSeededRandom } from "../../random/seeded-random.js";

export type Interval = { readonly from: number; readonly to: number };

/** Times in seconds from the start of the traffic. */
export type DaySchedule = {
    readonly seconds: number;
    readonly surge: Interval;
    readonly shift: Interval & {
        readonly service: string;
        readonly fromRegion: string;
        readonly toRegion: string;
        readonly percent: number;
        readonly requestsPerSecond: number;
    };
    readonly drain: Interval & { readonly availabilityZone: string; readonly paceSeconds: number };
    readonly outage: Interval & { readonly region: string };
};

/**
 * Mean time that a backend server takes for a request. Shorter times need more requests to fill the slots, and this one
 * process is then too busy to carry the links between the instances with their latency.
 */
export const MEAN_SERVICE_TIME_MS = 250;
/**
 * Shares of all slots that the traffic keeps busy. With 65% in the surge the slots of the destination filled up before
 * the cap of the shift, so that the run said nothing about the cap.
 */
const BASE_LOAD = 0.2;
const SURGE_LOAD = 0.25;
const SHIFT_PERCENT = 80;
/** Share of what the shift would move in the surge that its cap lets pass, so that the cap binds. */
const CAP_SHARE = 0.5;
/** Longest change of the start of a phase, as a share of the day. */
const JITTER = 0.02;
const DRAIN_PACE_SHARE = 0.04;

/** Requests a second that keep all slots of a service busy. */
export const capacityOf = ({ backendServers, slots }: { backendServers: number; slots: number }) =>
    backendServers * slots * 1_000 / MEAN_SERVICE_TIME_MS;

/** Makes the schedule; the same seed gives the same one. */
export function makeSchedule(plan: DeploymentPlan, seed: number, seconds: number): DaySchedule {
    const random = createSeededRandom(seed);
    const pick = <T>(items: readonly T[]) => items[Math.floor(random() * items.length)]!;
    const phase = (from: number, to: number): Interval => {
        const jitter = (random() - 0.5) * 2 * JITTER;
        return { from: (from + jitter) * seconds, to: (to + jitter) * seconds };
    };
    const service = plan.services[0]!;
    const fromRegion = pick(plan.regions).name;
    const toRegion = pick(plan.regions.filter(({ name }) => name !== fromRegion)).name;
    const moved = capacityOf(service) * (BASE_LOAD + SURGE_LOAD) / plan.regions.length * SHIFT_PERCENT / 100;
    return {
        seconds,
        surge: phase(0.18, 0.5),
        shift: {
            ...phase(0.12, 0.5),
            service: service.name,
            fromRegion,
            toRegion,
            percent: SHIFT_PERCENT,
            requestsPerSecond: Math.round(moved * CAP_SHARE),
        },
        drain: {
            ...phase(0.54, 0.68),
            availabilityZone: pick(pick(plan.regions).availabilityZones),
            paceSeconds: Math.max(1, Math.round(DRAIN_PACE_SHARE * seconds)),
        },
        outage: { ...phase(0.74, 0.86), region: pick(plan.regions).name },
    };
}

/** Share of all slots that the traffic keeps busy at a time in seconds. */
export function loadAt({ surge }: DaySchedule, second: number): number {
    const position = (second - surge.from) / (surge.to - surge.from);
    return BASE_LOAD + (position > 0 && position < 1 ? SURGE_LOAD * Math.sin(Math.PI * position) : 0);
}
