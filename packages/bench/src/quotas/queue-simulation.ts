/**
 * Simulation of requests that queue for slots at several entries with leased quotas and one quota allocator, on a
 * manual clock. Backend servers are not simulated: a request holds its slot for the service time.
 */
import { NO_COUNTERS } from "@hyssopfront/coordination";
import { deriveSlotsBudget, getFloor, slotsKey } from "hyssopfront/admission/budgets.ts";
import type { AnnouncedBackendServer } from "hyssopfront/announcements/announcement.ts";
import { RequestClass } from "hyssopfront/resources/resource.ts";
import { createBackendStates } from "hyssopfront/routing/backend-state.ts";
import { powerOfTwoChoices } from "hyssopfront/routing/load-balancing-policy.js";
import {
    createBackendServerSelector,
    releaseSelection,
    type SelectionFailure,
    type SelectorOptions,
} from "hyssopfront/routing/select-backend-server.js";
import { createTimers } from "hyssopfront/routing/timers.ts";
import {
    type AdmissionFailure,
    type AdmissionResult,
    createRequestQueue,
} from "hyssopfront/routing/waiting/request-queue.js";
import { createSeededRandom } from "../random/seeded-random.js";
import { createQuotaSimulation, type SimulatedEntry } from "./quota-simulation.js";
import { SAMPLE_BACKEND_SERVER, sampleView } from "./sample-view.js";

const STEP_MS = 5;
const NETWORK_DELAY_MS = 20;
const DEFAULT_DEADLINE_MS = 10_000;
/** A new control leader grants nothing until the leases that an earlier leader may have granted have expired. */
export const WARM_UP_MS = 8_000;

export type QueueSimulationOptions = {
    /** Number of entries. Every third is in another region than the backend servers. */
    readonly entries: number;
    readonly backendServers: number;
    readonly slots: number;
    readonly serviceMilliseconds: number;
    readonly seed: number;
    /** False to reject requests immediately when no slot is free, without reporting a demand, for comparison. */
    readonly queuesRequests?: boolean;
    /** Adds a capped shift that moves all requests of the region to additional backend servers in another region. */
    readonly shift?: { readonly requestsPerSecond: number; readonly backendServers: number };
    /** Number of additional backend servers in another region, which receive requests without a shift. */
    readonly farBackendServers?: number;
    /** False if the queue is not notified when capacity becomes available, as is the case for rate limits. */
    readonly notifiesCapacity?: boolean;
};

export type SimulatedRequest = {
    readonly entry: string;
    readonly tenant?: string;
    readonly requestClass?: RequestClass;
    readonly deadlineMilliseconds?: number;
    readonly signal?: AbortSignal;
};

/** One request and its result. Times are in milliseconds of simulated time. */
export type CompletedRequest = {
    readonly request: SimulatedRequest;
    readonly result: "served" | SelectionFailure | AdmissionFailure;
    readonly isShifted: boolean;
    /** True if it ran on a backend server other than the `farBackendServers`. */
    readonly isNearby: boolean;
    readonly sentAt: number;
    /** Time at which it was admitted or rejected. */
    readonly admittedAt: number;
};

export type QueueSimulation = ReturnType<typeof createQueueSimulation>;

/** Creates a simulation of entries without traffic. */
export function createQueueSimulation(options: QueueSimulationOptions) {
    const {
        slots,
        serviceMilliseconds,
        shift,
        queuesRequests = true,
        notifiesCapacity = true,
    } = options;
    const random = createSeededRandom(options.seed);
    const names = Array.from({ length: options.entries }, (_, index) => `entry-${index + 1}`);
    const createBackendServers = (availabilityZone: string, prefix: string, count: number) =>
        Array.from({ length: count }, (_, index) => ({
            ...SAMPLE_BACKEND_SERVER,
            name: `${prefix}-${index + 1}`,
            availabilityZone,
            slots,
        }));
    const backendServers = [
        ...createBackendServers(SAMPLE_BACKEND_SERVER.availabilityZone, "backend", options.backendServers),
        ...createBackendServers("itasuomi-1", "destination", shift?.backendServers ?? 0),
        ...createBackendServers("itasuomi-1", "far", options.farBackendServers ?? 0),
    ];
    const sample = sampleView({
        revision: 1,
        entries: names,
        requestsPerSecond: shift?.requestsPerSecond ?? 0,
        slotsPerBackendServer: slots,
    });
    const view = shift === undefined ? { ...sample, shifts: new Map() } : sample;
    const simulation = createQuotaSimulation({
        view,
        random,
        controlClockRates: [1],
        backendServers,
        longestRequestMilliseconds: 1_000,
        network: { delay: () => NETWORK_DELAY_MS, isLost: () => false, isDuplicated: () => false },
    });
    const isFar = ({ name }: AnnouncedBackendServer) => name.startsWith("far");
    const inFlight = new Map<string, number>();
    const completedRequests: CompletedRequest[] = [];
    let peakInFlight = 0;
    let isNearbyDrained = false;

    const startEntryQueue = (entry: SimulatedEntry) => {
        const { clock, admission } = entry;
        const states = createBackendStates(clock, random, NO_COUNTERS);
        const timers = createTimers(clock);
        const selectorOptions: SelectorOptions = {
            availabilityZone: view.entries.get(entry.name)?.availabilityZone ?? "",
            configuration: { view: entry.view, holdsViewLease: () => true, onChange: () => () => undefined },
            announcements: { backendServers: () => backendServers, isUsable: () => true },
            admission,
            clock,
            random,
            counters: NO_COUNTERS,
            states,
            policy: powerOfTwoChoices,
            acceptsNewRequests: server => !isNearbyDrained || isFar(server),
            startProbe: () => undefined,
        };
        const select = createBackendServerSelector(selectorOptions);
        const requestSessionRenewal = () => entry.nextRenewalAt = simulation.now();
        const queue = createRequestQueue({
            ...selectorOptions,
            entry: entry.name,
            timers,
            select,
            requestSessionRenewal,
        });
        entry.onGrants = notifiesCapacity ? queue.onGrants : entry.onGrants;
        return {
            admit: queuesRequests ? queue.admit : select,
            onCapacityAvailable: notifiesCapacity ? queue.onCapacityAvailable : () => undefined,
        };
    };
    const queues = new Map(names.map(name => [name, startEntryQueue(simulation.startEntry(name, 1))]));

    const changeInFlight = ({ name }: AnnouncedBackendServer, amount: number) => {
        const count = (inFlight.get(name) ?? 0) + amount;
        inFlight.set(name, count);
        peakInFlight = Math.max(peakInFlight, count);
    };

    const send = async (request: SimulatedRequest): Promise<CompletedRequest> => {
        const queue = queues.get(request.entry)!;
        const { clock } = simulation.entries.get(request.entry)!;
        const sentAt = simulation.now();
        const specification = view.services.get(SAMPLE_BACKEND_SERVER.service)!;
        const selectionRequest = {
            origin: view.entries.get(request.entry)?.availabilityZone ?? "",
            shiftSample: random(),
            excluded: new Set<string>(),
            request: {
                service: SAMPLE_BACKEND_SERVER.service,
                specification,
                method: "GET",
                path: "/",
                tenant: request.tenant ?? "default",
                requestClass: request.requestClass ?? RequestClass.Idempotent,
                deadlineMilliseconds: request.deadlineMilliseconds ?? DEFAULT_DEADLINE_MS,
                idempotencyKey: undefined,
                allowsHedging: false,
                contentLength: 0,
            },
        };
        const deadlineAt = clock.monotonicMilliseconds() + selectionRequest.request.deadlineMilliseconds;
        const signal = request.signal ?? new AbortController().signal;
        const pendingResult = queue.admit(selectionRequest, deadlineAt, () => signal);
        const admissionResult: AdmissionResult = pendingResult instanceof Promise ? await pendingResult : pendingResult;
        const result = typeof admissionResult === "string" ? admissionResult : "served";
        if (typeof admissionResult !== "string") {
            const { backendServer, state } = admissionResult;
            changeInFlight(backendServer, 1);
            state.inFlight += 1;
            simulation.schedule(serviceMilliseconds, () => {
                changeInFlight(backendServer, -1);
                state.inFlight -= 1;
                releaseSelection(admissionResult);
                queue.onCapacityAvailable();
            });
        }
        const isShifted = typeof admissionResult !== "string" && admissionResult.shift !== undefined;
        const isNearby = typeof admissionResult !== "string" && !isFar(admissionResult.backendServer);
        const completedRequest: CompletedRequest = {
            request,
            result,
            isShifted,
            isNearby,
            sentAt,
            admittedAt: simulation.now(),
        };
        completedRequests.push(completedRequest);
        return completedRequest;
    };

    /** Advances simulated time; `onStep` is called every 5 ms of it. */
    const run = async (milliseconds: number, onStep: () => void = () => undefined) => {
        const endsAt = simulation.now() + milliseconds;
        while (simulation.now() < endsAt) {
            await simulation.step(STEP_MS);
            // Timers of the request path fire one turn of the event loop after the clock has advanced.
            await new Promise(resolve => setImmediate(resolve));
            onStep();
        }
    };

    const getAdmission = (entry: string) => simulation.entries.get(entry)!.leasedAdmission!;
    const listFloors = (entry: string) =>
        backendServers.map(({ name, availabilityZone }) => {
            const key = slotsKey(SAMPLE_BACKEND_SERVER.service, name);
            return getFloor(view, entry, deriveSlotsBudget(view, key)!, availabilityZone);
        });

    return {
        options,
        names,
        completedRequests,
        send,
        run,
        now: simulation.now,
        /** Sets whether all backend servers but the far ones are drained. */
        drainNearby: (isDrained: boolean) => {
            isNearbyDrained = isDrained;
        },
        /** Number of requests that hold slots. */
        running: () => [...inFlight.values()].reduce((sum, count) => sum + count, 0),
        /** Largest number of requests that one backend server ran at the same time. */
        peakInFlight: () => peakInFlight,
        /** Slots in the demands that the entry would report now. */
        demandedSlots: (entry: string) =>
            getAdmission(entry).collectDemands()
                .filter(({ key }) => key.startsWith("slots/"))
                .reduce((sum, { wanted }) => sum + wanted, 0),
        /** Free slots that the entry can use now. */
        freeSlots: (entry: string) =>
            backendServers.reduce(
                (sum, { name }) => sum + getAdmission(entry).available(slotsKey(SAMPLE_BACKEND_SERVER.service, name)),
                0,
            ),
        /** Slots that the entry can use while the other entries keep their quota floors. */
        countLeasableSlots: (entry: string) => {
            const others = names.filter(name => name !== entry).flatMap(listFloors);
            return slots * backendServers.length - others.reduce((sum, floor) => sum + floor, 0);
        },
        /** True for an entry in the region of the backend servers. */
        isNearby: (entry: string) => view.entries.get(entry)?.availabilityZone === "hame-1",
        /** Number of backend servers for whose slots the entry holds a quota floor. */
        countFloors: (entry: string) => listFloors(entry).filter(floor => floor > 0).length,
    };
}
