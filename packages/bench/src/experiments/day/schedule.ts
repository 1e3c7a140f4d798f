/**
 * Seeded schedule of a day that is compressed to a short run: when the traffic surges, and when the changes and the
 * outage of a region take place.
 */
import type { DeploymentPlan } from "../../deployment/plan.js";
import { createSeededRandom } from "../../random/seeded-random.js";

/** Interval in seconds from the start of the traffic. */
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
 * Mean service time of a backend server. Shorter times require more requests to fill the slots, which keeps this single
 * process too busy to delay the traffic between the instances accurately.
 */
export const MEAN_SERVICE_TIME_MS = 250;
/**
 * Fractions of all slots that the traffic keeps busy; the surge adds to the base load. With 65% in the surge, the slots
 * of the destination were exhausted before the cap of the shift was reached, so that the run did not exercise the cap.
 */
const BASE_LOAD = 0.2;
const SURGE_LOAD = 0.25;
const SHIFT_PERCENT = 80;
/** Fraction of the traffic selected for the shift in the surge that the cap allows, so that the cap takes effect. */
const CAP_FRACTION = 0.5;
/** Maximum displacement of a phase in either direction, as a fraction of the day. */
const PHASE_JITTER = 0.02;
const DRAIN_PACE_FRACTION = 0.04;

/** Requests per second that keep all slots of a service busy. */
export const computeCapacity = ({ backendServers, slots }: { backendServers: number; slots: number }) =>
    backendServers * slots * 1_000 / MEAN_SERVICE_TIME_MS;

/** Creates the schedule of a day, which depends only on the arguments. */
export function makeSchedule(plan: DeploymentPlan, seed: number, seconds: number): DaySchedule {
    const random = createSeededRandom(seed);
    const pick = <T>(items: readonly T[]) => items[Math.floor(random() * items.length)]!;
    const createPhase = (from: number, to: number): Interval => {
        const jitter = (random() - 0.5) * 2 * PHASE_JITTER;
        return { from: (from + jitter) * seconds, to: (to + jitter) * seconds };
    };
    const service = plan.services[0]!;
    const fromRegion = pick(plan.regions).name;
    const toRegion = pick(plan.regions.filter(({ name }) => name !== fromRegion)).name;
    const shiftedRate = computeCapacity(service) * (BASE_LOAD + SURGE_LOAD) / plan.regions.length * SHIFT_PERCENT / 100;
    return {
        seconds,
        surge: createPhase(0.18, 0.5),
        shift: {
            ...createPhase(0.12, 0.5),
            service: service.name,
            fromRegion,
            toRegion,
            percent: SHIFT_PERCENT,
            requestsPerSecond: Math.round(shiftedRate * CAP_FRACTION),
        },
        drain: {
            ...createPhase(0.54, 0.68),
            availabilityZone: pick(pick(plan.regions).availabilityZones),
            paceSeconds: Math.max(1, Math.round(DRAIN_PACE_FRACTION * seconds)),
        },
        outage: { ...createPhase(0.74, 0.86), region: pick(plan.regions).name },
    };
}

/** Fraction of all slots that the traffic keeps busy at a time in seconds from the start of the traffic. */
export function loadAt({ surge }: DaySchedule, second: number): number {
    const progress = (second - surge.from) / (surge.to - surge.from);
    return BASE_LOAD + (progress > 0 && progress < 1 ? SURGE_LOAD * Math.sin(Math.PI * progress) : 0);
}
