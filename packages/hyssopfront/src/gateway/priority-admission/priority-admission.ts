/**
 * Priority admission of one entry: decides which requests get the scarce capacity of a service.
 *
 * Less urgent requests leave headroom to more urgent ones. An entry limits them to its share of the slots of the
 * service, unless the service reports that it is not busy, so that all entries together stay within the slots without
 * exchanging messages. A request beyond the limit waits for a short time, as long as it can still be in time, and is
 * rejected otherwise with the time at which capacity is expected.
 */
import type { Clock, Counters } from "@hyssopfront/coordination";
import { EventLevel, type EventLog } from "../../event-log/event-log.js";
import type { BackendServer } from "../backend-servers.js";
import {
    type Headroom,
    type LoadBalancer,
    SelectionFailure,
    type SelectionRequest,
} from "../load-balancing/load-balancer.js";
import { type AdmissionQueue, createAdmissionQueue, WaitEnd } from "./admission-queue.js";
import { createRetryPacing, type RetryPacing } from "./retry-pacing.js";
import { createServicePressure, type ServicePressure } from "./service-pressure.js";

/** Capacity that the requests of one priority may use. */
type PriorityLimits = {
    /**
     * Requests in flight of all priorities, as a multiple of the entry's share of the slots, from which requests of this
     * priority are admitted only if the service is not busy.
     */
    readonly shareRatio: number;
    readonly headroom: Headroom | undefined;
    /** Headroom while the service is not busy on average. */
    readonly relaxedHeadroom: Headroom | undefined;
};

/**
 * Limits by priority; the last ones apply to all lower priorities. The most urgent requests are limited as without
 * priority admission. The least urgent ones leave one of four slots free and don't queue at a busy backend server, since
 * each of them may take several times as long as an urgent one. Priority 1 lies between them. While the service is not
 * busy on average, a full backend server is soon free again, and short queues reject fewer requests.
 */
const LIMITS: readonly PriorityLimits[] = [
    { shareRatio: Infinity, headroom: undefined, relaxedHeadroom: undefined },
    { shareRatio: 0.9, headroom: { maximumLoadRatio: 1.25 }, relaxedHeadroom: { maximumLoadRatio: 1.75 } },
    { shareRatio: 0.75, headroom: { maximumLoadRatio: 1 }, relaxedHeadroom: { maximumLoadRatio: 1.5 } },
];
/** Average reported load, as a share of the slots, below which the shares of the entries do not limit requests. */
const BUSY_LOAD_RATIO = 0.8;
/**
 * Requests in flight of one priority, as a multiple of the entry's share of the slots, that more urgent requests cannot
 * take away, so that none starves.
 */
const RESERVED_SHARE_RATIO = 0.15;
/**
 * Wait, as a share of the time left in the objective after the expected response time. The rest covers the variation of
 * the response time: a request that is admitted too late uses capacity of another that would have been in time.
 */
const WAIT_SHARE = 0.25;
/** Weight of one response in the smoothed response time, which covers about the last ten responses. */
const RESPONSE_TIME_SMOOTHING = 0.1;
/** Time without rejections after which the capacity of a service is considered sufficient again, in milliseconds. */
const SCARCITY_END_MS = 5_000;

/** A request that asks for admission. */
export type AdmissionRequest = SelectionRequest & {
    /** 0 is the highest priority. */
    readonly priority: number;
    /** Undefined: anonymous; all anonymous requests together count as one account. */
    readonly account: string | undefined;
    /** Arrival at the entry, in monotonic milliseconds. */
    readonly startedAt: number;
    /** Time at which the caller gives up, in monotonic milliseconds. */
    readonly endsAt: number;
    readonly latencyObjectiveMilliseconds: number;
    /** Returns true once the caller no longer waits for the response. */
    readonly isCancelled: () => boolean;
};

/** Permission to send one request to a backend server. */
export type Admission = {
    readonly server: BackendServer;
    /** Ends the use of the capacity; `isCompleted` if the backend server has responded. */
    readonly release: (isCompleted: boolean) => void;
};

/** Admits the requests of one entry. */
export type PriorityAdmission = {
    /** Waits for capacity if none is available; resolves to the reason if the request is rejected. */
    admit(request: AdmissionRequest): Promise<Admission | SelectionFailure>;
    /** Returns the time after which a rejected caller should retry, in milliseconds. */
    retryAfterMilliseconds(service: string, remainingMilliseconds: number): number;
};

/** Dependencies of the priority admission. */
export type PriorityAdmissionOptions = {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly log: EventLog;
    /** Uniform numbers from 0 to 1. */
    readonly random: () => number;
    readonly loadBalancer: LoadBalancer;
    /** Number of entries that use the backend servers. */
    readonly entryCount: () => number;
};

/** State of one service. */
type ServiceState = {
    readonly pressure: ServicePressure;
    readonly pacing: RetryPacing;
    readonly queue: AdmissionQueue<Admission>;
    /** Admitted requests that have not ended, by priority. */
    readonly inFlight: number[];
    /** Smoothed response times by priority, in milliseconds. */
    readonly responseTimes: number[];
    isScarce: boolean;
    lastRejectedAt: number;
};

/** Creates the priority admission of an entry. */
export function createPriorityAdmission(options: PriorityAdmissionOptions): PriorityAdmission {
    const { clock, counters, log, loadBalancer } = options;
    const services = new Map<string, ServiceState>();

    const getState = (service: string) => {
        const state = services.get(service) ?? {
            pressure: createServicePressure(clock),
            pacing: createRetryPacing(clock, options.random),
            queue: createAdmissionQueue<Admission>(clock, LIMITS.length),
            inFlight: LIMITS.map(() => 0),
            responseTimes: LIMITS.map(() => 0),
            isScarce: false,
            lastRejectedAt: -Infinity,
        };
        services.set(service, state);
        return state;
    };
    const getLevel = (priority: number) => Math.min(LIMITS.length - 1, Math.max(0, priority));
    const getLimits = (level: number) => LIMITS[level] as PriorityLimits;

    /** A service without recent reports may be busy. */
    const isBusy = (pressure: ServicePressure) => (pressure.averageLoadRatio() ?? Infinity) >= BUSY_LOAD_RATIO;
    const isWithinLimits = (service: string, { inFlight, pressure }: ServiceState, level: number) => {
        const share = loadBalancer.countSlots(service) / Math.max(1, options.entryCount());
        const total = inFlight.reduce((sum, count) => sum + count, 0);
        return total < share * getLimits(level).shareRatio
            || (inFlight[level] ?? 0) < share * RESERVED_SHARE_RATIO
            || !isBusy(pressure);
    };
    const getHeadroom = ({ pressure }: ServiceState, level: number) =>
        isBusy(pressure) ? getLimits(level).headroom : getLimits(level).relaxedHeadroom;
    const occupy = (state: ServiceState, level: number, server: BackendServer): Admission => {
        const sentAt = clock.monotonicMilliseconds();
        state.inFlight[level] = (state.inFlight[level] ?? 0) + 1;
        return {
            server,
            release: isCompleted => {
                state.inFlight[level] = (state.inFlight[level] ?? 0) - 1;
                if (isCompleted) {
                    const { load, record } = server;
                    state.pressure.recordResponse(
                        load === undefined ? 0 : (load.running + load.waiting) / record.slots,
                    );
                    const elapsed = clock.monotonicMilliseconds() - sentAt;
                    const previous = state.responseTimes[level] ?? 0;
                    state.responseTimes[level] = previous === 0
                        ? elapsed
                        : previous + RESPONSE_TIME_SMOOTHING * (elapsed - previous);
                }
                state.queue.dispatch();
            },
        };
    };
    const recordRejection = (service: string, state: ServiceState, level: number) => {
        state.lastRejectedAt = clock.monotonicMilliseconds();
        counters.increment("gateway.admission_rejected", 1, { service, priority: String(level) });
        if (!state.isScarce) {
            state.isScarce = true;
            log(EventLevel.Warning, "capacity of service scarce", {
                service,
                priority: level,
                averageLoad: state.pressure.averageLoadRatio(),
                slots: loadBalancer.countSlots(service),
                waiting: state.queue.length,
            });
        }
    };
    const recordAdmission = (service: string, state: ServiceState, level: number) => {
        counters.increment("gateway.admission_admitted", 1, { service, priority: String(level) });
        if (state.isScarce && clock.monotonicMilliseconds() - state.lastRejectedAt > SCARCITY_END_MS) {
            state.isScarce = false;
            log(EventLevel.Info, "capacity of service sufficient", { service });
        }
    };

    return {
        admit: async request => {
            const { service, account = "" } = request;
            const state = getState(service);
            const level = getLevel(request.priority);
            let failure = SelectionFailure.NoCapacity as SelectionFailure;
            const tryAdmit = () => {
                if (request.isCancelled() || !isWithinLimits(service, state, level)) {
                    return undefined;
                }
                const server = loadBalancer.selectServer({ ...request, headroom: getHeadroom(state, level) });
                if (typeof server === "string") {
                    failure = server;
                    return undefined;
                }
                recordAdmission(service, state, level);
                return occupy(state, level, server);
            };

            const isQueueing = state.queue.isWaiting(level);
            const admission = isQueueing ? undefined : tryAdmit();
            if (admission !== undefined) {
                return admission;
            }
            const objectiveEnd = request.startedAt + request.latencyObjectiveMilliseconds;
            const now = clock.monotonicMilliseconds();
            const spare = Math.min(objectiveEnd, request.endsAt) - now - (state.responseTimes[level] ?? 0);
            if (failure === SelectionFailure.NoBackendServer || spare <= 0) {
                recordRejection(service, state, level);
                return failure;
            }
            counters.increment("gateway.admission_waited", 1, { service, priority: String(level) });
            const wait = state.queue.wait({
                level,
                account,
                waitsUntil: now + spare * WAIT_SHARE,
                tryAcquire: tryAdmit,
            });
            // The requests that wait already may need another backend server than this one.
            if (isQueueing) {
                state.queue.dispatch();
            }
            const result = await wait;
            if (typeof result !== "string") {
                return result;
            }
            if (result === WaitEnd.Displaced) {
                counters.increment("gateway.admission_displaced", 1, { service, priority: String(level) });
            }
            recordRejection(service, state, level);
            return failure;
        },
        retryAfterMilliseconds: (service, remainingMilliseconds) => {
            const { queue, pressure, pacing } = getState(service);
            return pacing.assign(queue.length, pressure.completionRate(), remainingMilliseconds);
        },
    };
}
