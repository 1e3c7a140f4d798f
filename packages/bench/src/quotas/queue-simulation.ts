/**
 * Simulation of requests that wait for slots at several entries with leased portions and one grantor, on a manual clock.
 * Backend servers are only counted: a request holds its slot for the service time.
 */
import { NO_COUNTERS } from "@hyssopfront/coordination";
import { deriveSlotsBudget, floorOf, slotsKey } from "hyssopfront/admission/budgets.ts";
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
/** A control leader that has just started waits for leases of an earlier leader before it grants anything. */
export const WARM_UP_MS = 8_000;

export type QueueSimulationOptions = {
    /** Every third of them is in another region than the backend servers. */
    readonly entries: number;
    readonly backendServers: number;
    readonly slots: number;
    readonly serviceMilliseconds: number;
    readonly seed: number;
    /** False for requests that are refused at once and note no demand, for comparison. */
    readonly queuesRequests?: boolean;
    /** Moves all requests of the backend servers' region to further backend servers, up to the cap. */
    readonly shift?: { readonly requestsPerSecond: number; readonly backendServers: number };
    /** Backend servers in another region than the others, which get requests without a shift. */
    readonly farBackendServers?: number;
    /** False for room that appears without notice, as that of rates does. */
    readonly notifiesCapacity?: boolean;
};

export type SimulatedRequest = {
    readonly entry: string;
    readonly tenant?: string;
    readonly requestClass?: RequestClass;
    readonly deadlineMilliseconds?: number;
    readonly signal?: AbortSignal;
};

/** How one request ended; times are milliseconds of true time. */
export type CompletedRequest = {
    readonly request: SimulatedRequest;
    readonly result: "served" | SelectionFailure | AdmissionFailure;
    readonly isShifted: boolean;
    /** True when it ran on a backend server that is not far. */
    readonly isNearby: boolean;
    readonly sentAt: number;
    readonly admittedAt: number;
};

export type QueueSimulation = ReturnType<typeof createQueueSimulation>;

/** Creates entries without traffic. */
export function createQueueSimulation(options: QueueSimulationOptions) {
    const { slots, serviceMilliseconds, shift, queuesRequests: waits = true, notifiesCapacity: tellsRoom = true } =
        options;
    const random = createSeededRandom(options.seed);
    const names = Array.from({ length: options.entries }, (_, index) => `entry-${index + 1}`);
    const serversIn = (availabilityZone: string, prefix: string, count: number) =>
        Array.from({ length: count }, (_, index) => ({
            ...SAMPLE_BACKEND_SERVER,
            name: `${prefix}-${index + 1}`,
            availabilityZone,
            slots,
        }));
    const backendServers = [
        ...serversIn(SAMPLE_BACKEND_SERVER.availabilityZone, "backend", options.backendServers),
        ...serversIn("itasuomi-1", "destination", shift?.backendServers ?? 0),
        ...serversIn("itasuomi-1", "far", options.farBackendServers ?? 0),
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
    const running = new Map<string, number>();
    const completedRequests: CompletedRequest[] = [];
    let peakInFlight = 0;
    let isDrained = false;

    const openRoom = (entry: SimulatedEntry) => {
        const { clock, admission } = entry;
        const states = createBackendStates(clock, random, NO_COUNTERS);
        const timers = createTimers(clock);
        const chooserOptions: SelectorOptions = {
            availabilityZone: view.entries.get(entry.name)?.availabilityZone ?? "",
            configuration: { view: entry.view, holdsViewLease: () => true, onChange: () => () => undefined },
            announcements: { backendServers: () => backendServers, isUsable: () => true },
            admission,
            clock,
            random,
            counters: NO_COUNTERS,
            states,
            policy: powerOfTwoChoices,
            acceptsNewWork: server => !isDrained || isFar(server),
            startProbe: () => undefined,
        };
        const choose = createBackendServerSelector(chooserOptions);
        const renewPortions = () => entry.nextRenewalAt = simulation.now();
        const room = createRequestQueue({
            ...chooserOptions,
            entry: entry.name,
            timers,
            select: choose,
            requestRenewal: renewPortions,
        });
        entry.onGrants = tellsRoom ? room.onGrants : entry.onGrants;
        return { admit: waits ? room.admit : choose, onRoom: tellsRoom ? room.onCapacityAvailable : () => undefined };
    };
    const rooms = new Map(names.map(name => [name, openRoom(simulation.startEntry(name, 1))]));

    const use = ({ name }: AnnouncedBackendServer, amount: number) => {
        const used = (running.get(name) ?? 0) + amount;
        running.set(name, used);
        peakInFlight = Math.max(peakInFlight, used);
    };

    const send = async (request: SimulatedRequest): Promise<CompletedRequest> => {
        const room = rooms.get(request.entry)!;
        const { clock } = simulation.entries.get(request.entry)!;
        const sentAt = simulation.now();
        const specification = view.services.get(SAMPLE_BACKEND_SERVER.service)!;
        const wanted = {
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
        const deadlineAt = clock.monotonicMilliseconds() + wanted.request.deadlineMilliseconds;
        const signal = request.signal ?? new AbortController().signal;
        const admission = room.admit(wanted, deadlineAt, () => signal);
        const admitted: AdmissionResult = admission instanceof Promise ? await admission : admission;
        const result = typeof admitted === "string" ? admitted : "served";
        if (typeof admitted !== "string") {
            const { backendServer, state } = admitted;
            use(backendServer, 1);
            state.inFlight += 1;
            simulation.schedule(serviceMilliseconds, () => {
                use(backendServer, -1);
                state.inFlight -= 1;
                releaseSelection(admitted);
                room.onRoom();
            });
        }
        const isMoved = typeof admitted !== "string" && admitted.shift !== undefined;
        const isNear = typeof admitted !== "string" && !isFar(admitted.backendServer);
        const end: CompletedRequest = {
            request,
            result,
            isShifted: isMoved,
            isNearby: isNear,
            sentAt,
            admittedAt: simulation.now(),
        };
        completedRequests.push(end);
        return end;
    };

    /** Lets time pass; `onStep` is called every 5 ms. */
    const run = async (milliseconds: number, onStep: () => void = () => undefined) => {
        const endsAt = simulation.now() + milliseconds;
        while (simulation.now() < endsAt) {
            await simulation.step(STEP_MS);
            // Timers of the request path act one turn of the event loop after the clock.
            await new Promise(resolve => setImmediate(resolve));
            onStep();
        }
    };

    const admissionOf = (entry: string) => simulation.entries.get(entry)!.leasedAdmission!;
    const floorsOf = (entry: string) =>
        backendServers.map(({ name, availabilityZone }) => {
            const key = slotsKey(SAMPLE_BACKEND_SERVER.service, name);
            return floorOf(view, entry, deriveSlotsBudget(view, key)!, availabilityZone);
        });

    return {
        options,
        names,
        completedRequests,
        send,
        run,
        now: simulation.now,
        /** Sets whether only far backend servers take new requests. */
        drainNearby: (drains: boolean) => {
            isDrained = drains;
        },
        running: () => [...running.values()].reduce((sum, used) => sum + used, 0),
        /** Largest number of requests that one backend server ran at the same time. */
        peakInFlight: () => peakInFlight,
        /** Slots that the entry would report as wanted now. */
        demandedSlots: (entry: string) =>
            admissionOf(entry).demands()
                .filter(({ key }) => key.startsWith("slots/"))
                .reduce((sum, { wanted }) => sum + wanted, 0),
        /** Free slots of all entries that they can use now. */
        freeSlots: (entry: string) =>
            backendServers.reduce(
                (sum, { name }) => sum + admissionOf(entry).available(slotsKey(SAMPLE_BACKEND_SERVER.service, name)),
                0,
            ),
        /** Slots that one entry can use while the other entries keep their floors. */
        leasableSlotsOf: (entry: string) => {
            const others = names.filter(name => name !== entry).flatMap(floorsOf);
            return slots * backendServers.length - others.reduce((sum, floor) => sum + floor, 0);
        },
        /** True for an entry in the region of the backend servers. */
        isNearby: (entry: string) => view.entries.get(entry)?.availabilityZone === "hame-1",
        floorCountOf: (entry: string) => floorsOf(entry).filter(floor => floor > 0).length,
    };
}
