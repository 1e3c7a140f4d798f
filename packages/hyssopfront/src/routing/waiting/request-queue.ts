/**
 * Where requests without room wait: the fair queue of their service, until room appears or their wait ends.
 */
import {
    createFairQueue,
    type FairQueue,
    type QueuedRequest,
    QueueError,
    QueueRejection,
} from "../../admission/fair-queue.js";
import {
    type BlockedShift,
    listByPriority,
    reservedRequestBytes,
    type Selection,
    SelectionFailure,
    type SelectionRequest,
    type SelectorOptions,
} from "../select-backend-server.js";
import type { Timers } from "../timers.js";
import { createSlotDemand, type QueuedRequestGroup, type SlotDemand } from "./slot-demand.js";

/** Longest wait for room: three renewals of the session, so that the first requests of an idle entry get a portion. */
export const MAXIMUM_WAIT_MS = 1_500;
/** Interval at which the queues are served while they are not empty, because room in rates appears by time alone. */
export const DISPATCH_INTERVAL_MS = 20;
/** Delay of the first serving of a queue, so that requests that arrive together are asked for in one renewal. */
const FIRST_SERVE_MS = 2;
/** Least time between two renewals that are asked for ahead of their time; bounds the load of the control leader. */
export const EARLY_RENEWAL_INTERVAL_MS = 500;

/** Why a request was not admitted, apart from the reasons of the choice. */
export enum AdmissionFailure {
    DeadlinePassed = "deadlinePassed",
    /** The queue of the tenant and class, or all queues of the service, are at their bound. */
    QueueFull = "queueFull",
    CallerDisconnected = "callerGone",
    /** The wait was ended with `GIVE_UP`. */
    WaitCancelled = "givenUp",
}

/** Abort reason that ends a wait although the caller is still there; a constant, as a default costs a stack trace. */
export const WAIT_CANCELLED = new Error("The wait for room is given up.");

export type AdmissionResult = Selection | SelectionFailure | AdmissionFailure;

export type RequestQueueOptions = SelectorOptions & {
    /** Name of this entry. */
    readonly entry: string;
    readonly timers: Timers;
    readonly select: (wanted: SelectionRequest) => Selection | SelectionFailure;
    /** Bound of the queue of each tenant and class. */
    readonly requestsPerQueue?: number;
    /** Asks for a renewal of the portions ahead of its time. */
    readonly requestRenewal: () => void;
};

export type RequestQueue = {
    /**
     * Chooses a backend server, at once if there is room and no earlier request of the tenant and class waits.
     *
     * @param deadlineAt Monotonic milliseconds.
     * @param signalWhenGone Called at most once, if the request waits; its signal aborts when the caller leaves, or with `GIVE_UP`.
     */
    admit(
        wanted: SelectionRequest,
        deadlineAt: number,
        signalWhenGone: () => AbortSignal,
    ): AdmissionResult | Promise<AdmissionResult>;
    /** Serves the queues soon; to be called when room may have appeared. */
    onCapacityAvailable(): void;
    /** Serves the queues soon with new portions. */
    onGrants(): void;
    /** Requests that wait. */
    readonly length: number;
};

type Waiter = { readonly wanted: SelectionRequest; result: Selection | SelectionFailure };

type ServiceRoom = {
    readonly queue: FairQueue;
    readonly demand: SlotDemand;
    readonly waiters: Map<QueuedRequest, Waiter>;
    /** Requests that run in the origin of a shift for lack of a slot at its destination. */
    readonly displaced: Set<BlockedShift>;
};

/** Creates queues without requests. */
export function createRequestQueue(options: RequestQueueOptions): RequestQueue {
    const { clock, counters, configuration, states, timers } = options;
    const rooms = new Map<string, ServiceRoom>();
    let isServing = false;
    let isTicking = false;
    let renewedAt = -Infinity;

    const roomOf = (service: string) => {
        const known = rooms.get(service);
        if (known !== undefined) {
            return known;
        }
        const created = {
            queue: createFairQueue({ clock, requestsPerQueue: options.requestsPerQueue }),
            demand: createSlotDemand(options),
            waiters: new Map<QueuedRequest, Waiter>(),
            displaced: new Set<BlockedShift>(),
        };
        rooms.set(service, created);
        return created;
    };

    const serveRoom = ({ queue, waiters }: ServiceRoom) => {
        if (queue.length === 0) {
            return;
        }
        const hasShifts = configuration.view().shifts.size > 0;
        const withoutRoom = new Set<string>();
        queue.dispatch(queued => {
            const waiter = waiters.get(queued);
            if (waiter === undefined) {
                return false;
            }
            const { wanted } = waiter;
            // Requests of one size from one place are alike, and one search for many queues is enough.
            const kind = hasShifts ? undefined : `${wanted.origin}/${reservedRequestBytes(wanted.request)}`;
            if (kind !== undefined && withoutRoom.has(kind)) {
                return false;
            }
            waiter.result = options.select(wanted);
            if (waiter.result !== SelectionFailure.NoCapacity) {
                return true;
            }
            if (kind !== undefined) {
                withoutRoom.add(kind);
            }
            return false;
        });
    };

    const updateDemand = ({ demand, waiters, displaced }: ServiceRoom) => {
        const groups = [...groupByPlace(options, waiters.values()), ...groupByShift(displaced)];
        const asked = demand.update(groups);
        const now = clock.monotonicMilliseconds();
        if (asked > 0 && waiters.size > 0 && now >= renewedAt + EARLY_RENEWAL_INTERVAL_MS) {
            renewedAt = now;
            options.requestRenewal();
        }
    };

    const tick = () => {
        isTicking = false;
        rooms.forEach(room => {
            serveRoom(room);
            updateDemand(room);
        });
        startTicking(DISPATCH_INTERVAL_MS);
    };

    const startTicking = (milliseconds: number) => {
        if (!isTicking && [...rooms.values()].some(isBusy)) {
            isTicking = true;
            timers.start(clock.monotonicMilliseconds() + milliseconds, tick);
        }
    };

    const onRoom = () => {
        if (!isServing && isTicking) {
            isServing = true;
            // After the exchange that gave room back has ended, so that all it gives back counts.
            queueMicrotask(() => {
                isServing = false;
                rooms.forEach(serveRoom);
            });
        }
    };

    /**
     * Asks for a slot at the destination of a shift for as long as a request that it did not move runs in its origin: the
     * request would hold a slot there for about as long.
     */
    const askForDestination = (service: string, choice: Selection): Selection => {
        const { blockedShift: displacedFrom, reservation } = choice;
        if (displacedFrom === undefined) {
            return choice;
        }
        const { displaced } = roomOf(service);
        displaced.add(displacedFrom);
        startTicking(FIRST_SERVE_MS);
        const release = () => {
            displaced.delete(displacedFrom);
            reservation.release();
        };
        return { ...choice, reservation: { release } };
    };

    /** A cut-off entry gets no portions, so that only what it uses itself can become free. */
    const canGetRoom = (service: string) =>
        configuration.holdsViewLease() ||
        states.all().some(state => state.inFlight > 0 && state.key.startsWith(`${service}/`));

    const wait = async (
        wanted: SelectionRequest,
        deadlineAt: number,
        signal: AbortSignal,
    ): Promise<AdmissionResult> => {
        const { service, tenant, requestClass } = wanted.request;
        const labels = { service, class: requestClass };
        const room = roomOf(service);
        const startedAt = clock.monotonicMilliseconds();
        const queued: QueuedRequest = {
            tenant,
            requestClass,
            cost: 1,
            deadlineAt: Math.min(deadlineAt, startedAt + MAXIMUM_WAIT_MS),
            signal,
        };
        const waiter: Waiter = { wanted: { ...wanted, isQueued: true }, result: SelectionFailure.NoCapacity };
        const turn = room.queue.wait(queued);
        room.waiters.set(queued, waiter);
        counters.increment("routing.queued", 1, labels);
        startTicking(FIRST_SERVE_MS);
        const refuse = (reason: string) => counters.increment("routing.queue_refusals", 1, { ...labels, reason });
        try {
            await turn;
            const { result } = waiter;
            return typeof result === "string" ? result : askForDestination(service, result);
        }
        catch (error) {
            if (!(error instanceof QueueError)) {
                const refusal = error === WAIT_CANCELLED
                    ? AdmissionFailure.WaitCancelled
                    : AdmissionFailure.CallerDisconnected;
                refuse(refusal);
                return refusal;
            }
            if (error.rejection === QueueRejection.Full) {
                refuse("full");
                return AdmissionFailure.QueueFull;
            }
            // The clock may still be a little before the deadline when the timer of the queue ends.
            const isLate = queued.deadlineAt === deadlineAt;
            refuse(isLate ? "deadlinePassed" : "noRoom");
            return isLate ? AdmissionFailure.DeadlinePassed : SelectionFailure.NoCapacity;
        }
        finally {
            room.waiters.delete(queued);
            const milliseconds = clock.monotonicMilliseconds() - startedAt;
            counters.increment("routing.queue_wait_milliseconds", Math.round(milliseconds), labels);
        }
    };

    return {
        admit: (wanted, deadlineAt, signalWhenGone) => {
            const { service, tenant, requestClass } = wanted.request;
            if (clock.monotonicMilliseconds() >= deadlineAt) {
                return AdmissionFailure.DeadlinePassed;
            }
            if (rooms.get(service)?.queue.isWaiting(tenant, requestClass) !== true) {
                const choice = options.select(wanted);
                if (typeof choice !== "string") {
                    return askForDestination(service, choice);
                }
                if (choice !== SelectionFailure.NoCapacity || !canGetRoom(service)) {
                    return choice;
                }
            }
            return wait(wanted, deadlineAt, signalWhenGone());
        },
        onCapacityAvailable: onRoom,
        onGrants: () => {
            rooms.forEach(({ demand }) => demand.onGrants());
            onRoom();
        },
        get length() {
            return [...rooms.values()].reduce((sum, { queue }) => sum + queue.length, 0);
        },
    };
}

const isBusy = ({ queue, displaced }: ServiceRoom) => queue.length > 0 || displaced.size > 0;

function groupByShift(displaced: ReadonlySet<BlockedShift>): readonly QueuedRequestGroup[] {
    const groups = new Map<string, { priorityLevels: QueuedRequestGroup["priorityLevels"]; count: number }>();
    displaced.forEach(({ shift, backendServers }) => {
        const count = (groups.get(shift)?.count ?? 0) + 1;
        groups.set(shift, { priorityLevels: [backendServers], count });
    });
    return [...groups.values()];
}

/** Counts the requests that may run in the same places. */
function groupByPlace(options: SelectorOptions, waiters: Iterable<Waiter>): readonly QueuedRequestGroup[] {
    const hasShifts = options.configuration.view().shifts.size > 0;
    const groups = new Map<string, { priorityLevels: QueuedRequestGroup["priorityLevels"]; count: number }>();
    for (const { wanted } of waiters) {
        const key = hasShifts ? `${wanted.origin}/${Math.floor(wanted.shiftSample * 100)}` : wanted.origin;
        const group = groups.get(key) ?? { priorityLevels: listByPriority(options, wanted), count: 0 };
        group.count += 1;
        groups.set(key, group);
    }
    return [...groups.values()];
}
