/**
 * Queues requests for which there is no capacity. Each service has a fair queue. A request waits until capacity is
 * available, its deadline or the maximum wait passes, or its caller disconnects.
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

/** Maximum time in the queue. Three session renewals, so that the first requests of an idle entry obtain a quota. */
export const MAXIMUM_WAIT_MS = 1_500;
/** Dispatch interval of queues that are not empty. The capacity of rate budgets returns with time, without an event. */
export const DISPATCH_INTERVAL_MS = 20;
/** Delay of the first dispatch, so that one session renewal carries the demand of requests that arrive together. */
const FIRST_DISPATCH_DELAY_MS = 2;
/** Minimum time between two early session renewals. It limits the load on the control leader. */
export const EARLY_RENEWAL_INTERVAL_MS = 500;

/** Reason why a request was not admitted, in addition to the reasons of {@link SelectionFailure}. */
export enum AdmissionFailure {
    DeadlinePassed = "deadlinePassed",
    /** The queue of the tenant and request class, or the queues of the class together, reached their maximum length. */
    QueueFull = "queueFull",
    CallerDisconnected = "callerGone",
    /** The wait was aborted with {@link WAIT_CANCELLED}. */
    WaitCancelled = "givenUp",
}

/**
 * Abort reason that ends a wait while the caller is still connected. It is a constant because each default abort reason
 * creates a stack trace.
 */
export const WAIT_CANCELLED = new Error("The wait for capacity was cancelled.");

/** The selected backend server with its reservation, or the reason why the request was not admitted. */
export type AdmissionResult = Selection | SelectionFailure | AdmissionFailure;

/** Dependencies and limits of the request queue of an entry. */
export type RequestQueueOptions = SelectorOptions & {
    /** Name of this entry. */
    readonly entry: string;
    readonly timers: Timers;
    /** Selects a backend server and reserves its capacity, or returns why it cannot. */
    readonly select: (selectionRequest: SelectionRequest) => Selection | SelectionFailure;
    /** Maximum length of the queue of one tenant and request class. */
    readonly maximumQueueLength?: number;
    /** Requests a session renewal, which renews the quotas, before it is due. */
    readonly requestSessionRenewal: () => void;
};

/** Admits the requests of all services at one entry, and queues those that lack capacity. */
export type RequestQueue = {
    /**
     * Selects a backend server. The result is synchronous when there is capacity and no earlier request of the tenant
     * and request class is queued, and when waiting cannot help.
     *
     * @param selectionRequest Request to admit.
     * @param deadlineAt Deadline on the monotonic clock, in milliseconds.
     * @param createAbortSignal Called at most once, when the request is queued. The signal aborts when the caller
     *     disconnects, or with {@link WAIT_CANCELLED}.
     * @returns The selection, which the caller must release, or the reason why the request was not admitted.
     */
    admit(
        selectionRequest: SelectionRequest,
        deadlineAt: number,
        createAbortSignal: () => AbortSignal,
    ): AdmissionResult | Promise<AdmissionResult>;
    /** Schedules a dispatch of the queues. Call it whenever capacity may have become available. */
    onCapacityAvailable(): void;
    /** Schedules a dispatch of the queues with the quotas of a session renewal. */
    onGrants(): void;
    /** Number of queued requests of all services. */
    readonly length: number;
};

/** Selection for a queued request, with the result of the latest attempt. */
type PendingSelection = { readonly selectionRequest: SelectionRequest; result: Selection | SelectionFailure };

type ServiceQueue = {
    readonly queue: FairQueue;
    readonly demand: SlotDemand;
    readonly pendingSelections: Map<QueuedRequest, PendingSelection>;
    /** One element for each request that runs in the origin of a shift for lack of a slot at its destination. */
    readonly blockedShifts: Set<BlockedShift>;
};

/**
 * Creates the queues of all services, initially empty.
 *
 * @returns The request queue. Its timer runs only while requests are queued or a shift is blocked.
 */
export function createRequestQueue(options: RequestQueueOptions): RequestQueue {
    const { clock, counters, configuration, states, timers } = options;
    const serviceQueues = new Map<string, ServiceQueue>();
    let isDispatchScheduled = false;
    let isTimerScheduled = false;
    let lastEarlyRenewalAt = -Infinity;

    const getOrCreateServiceQueue = (service: string) => {
        const existing = serviceQueues.get(service);
        if (existing !== undefined) {
            return existing;
        }
        const created = {
            queue: createFairQueue({ clock, maximumQueueLength: options.maximumQueueLength }),
            demand: createSlotDemand(options),
            pendingSelections: new Map<QueuedRequest, PendingSelection>(),
            blockedShifts: new Set<BlockedShift>(),
        };
        serviceQueues.set(service, created);
        return created;
    };

    const dispatchQueue = ({ queue, pendingSelections }: ServiceQueue) => {
        if (queue.length === 0) {
            return;
        }
        const hasShifts = configuration.view().shifts.size > 0;
        const keysWithoutCapacity = new Set<string>();
        queue.dispatch(queued => {
            const pendingSelection = pendingSelections.get(queued);
            if (pendingSelection === undefined) {
                return false;
            }
            const { selectionRequest } = pendingSelection;
            // Without shifts, one failed search covers all queued requests of the same size and origin.
            const equivalenceKey = hasShifts
                ? undefined
                : `${selectionRequest.origin}/${reservedRequestBytes(selectionRequest.request)}`;
            if (equivalenceKey !== undefined && keysWithoutCapacity.has(equivalenceKey)) {
                return false;
            }
            pendingSelection.result = options.select(selectionRequest);
            if (pendingSelection.result !== SelectionFailure.NoCapacity) {
                return true;
            }
            if (equivalenceKey !== undefined) {
                keysWithoutCapacity.add(equivalenceKey);
            }
            return false;
        });
    };

    const updateSlotDemand = ({ demand, pendingSelections, blockedShifts }: ServiceQueue) => {
        const groups = [
            ...groupByEligibleServers(options, pendingSelections.values()),
            ...groupByBlockedShift(blockedShifts),
        ];
        const requestedSlots = demand.update(groups);
        const now = clock.monotonicMilliseconds();
        if (requestedSlots > 0 && pendingSelections.size > 0 && now >= lastEarlyRenewalAt + EARLY_RENEWAL_INTERVAL_MS) {
            lastEarlyRenewalAt = now;
            options.requestSessionRenewal();
        }
    };

    const onTimer = () => {
        isTimerScheduled = false;
        serviceQueues.forEach(serviceQueue => {
            dispatchQueue(serviceQueue);
            updateSlotDemand(serviceQueue);
        });
        scheduleTimer(DISPATCH_INTERVAL_MS);
    };

    const scheduleTimer = (milliseconds: number) => {
        if (!isTimerScheduled && [...serviceQueues.values()].some(needsTimer)) {
            isTimerScheduled = true;
            timers.start(clock.monotonicMilliseconds() + milliseconds, onTimer);
        }
    };

    const scheduleDispatch = () => {
        if (!isDispatchScheduled && isTimerScheduled) {
            isDispatchScheduled = true;
            // Runs after the exchange that released capacity, so that everything it releases is available.
            queueMicrotask(() => {
                isDispatchScheduled = false;
                serviceQueues.forEach(dispatchQueue);
            });
        }
    };

    /**
     * Requests a slot at the destination of a blocked shift for as long as the request runs in the origin, because the
     * request would occupy a slot at the destination for about as long.
     */
    const trackBlockedShift = (service: string, selection: Selection): Selection => {
        const { blockedShift, reservation } = selection;
        if (blockedShift === undefined) {
            return selection;
        }
        const { blockedShifts } = getOrCreateServiceQueue(service);
        blockedShifts.add(blockedShift);
        scheduleTimer(FIRST_DISPATCH_DELAY_MS);
        const release = () => {
            blockedShifts.delete(blockedShift);
            reservation.release();
        };
        return { ...selection, reservation: { release } };
    };

    /** An entry without a view lease gets no quotas, so only the capacity that its own requests release can return. */
    const canObtainCapacity = (service: string) =>
        configuration.holdsViewLease() ||
        states.all().some(state => state.inFlight > 0 && state.key.startsWith(`${service}/`));

    const enqueue = async (
        selectionRequest: SelectionRequest,
        deadlineAt: number,
        signal: AbortSignal,
    ): Promise<AdmissionResult> => {
        const { service, tenant, requestClass } = selectionRequest.request;
        const labels = { service, class: requestClass };
        const serviceQueue = getOrCreateServiceQueue(service);
        const startedAt = clock.monotonicMilliseconds();
        const queued: QueuedRequest = {
            tenant,
            requestClass,
            cost: 1,
            deadlineAt: Math.min(deadlineAt, startedAt + MAXIMUM_WAIT_MS),
            signal,
        };
        const pendingSelection: PendingSelection = {
            selectionRequest: { ...selectionRequest, isQueued: true },
            result: SelectionFailure.NoCapacity,
        };
        const dispatched = serviceQueue.queue.wait(queued);
        serviceQueue.pendingSelections.set(queued, pendingSelection);
        counters.increment("routing.queued", 1, labels);
        scheduleTimer(FIRST_DISPATCH_DELAY_MS);
        const countRejection = (reason: string) =>
            counters.increment("routing.queue_refusals", 1, { ...labels, reason });
        try {
            await dispatched;
            const { result } = pendingSelection;
            return typeof result === "string" ? result : trackBlockedShift(service, result);
        }
        catch (error) {
            if (!(error instanceof QueueError)) {
                const failure = error === WAIT_CANCELLED
                    ? AdmissionFailure.WaitCancelled
                    : AdmissionFailure.CallerDisconnected;
                countRejection(failure);
                return failure;
            }
            if (error.rejection === QueueRejection.Full) {
                countRejection("full");
                return AdmissionFailure.QueueFull;
            }
            // Does not compare with the clock, because the timer of the queue can fire slightly before the deadline.
            const isDeadlinePassed = queued.deadlineAt === deadlineAt;
            countRejection(isDeadlinePassed ? "deadlinePassed" : "noRoom");
            return isDeadlinePassed ? AdmissionFailure.DeadlinePassed : SelectionFailure.NoCapacity;
        }
        finally {
            serviceQueue.pendingSelections.delete(queued);
            const milliseconds = clock.monotonicMilliseconds() - startedAt;
            counters.increment("routing.queue_wait_milliseconds", Math.round(milliseconds), labels);
        }
    };

    return {
        admit: (selectionRequest, deadlineAt, createAbortSignal) => {
            const { service, tenant, requestClass } = selectionRequest.request;
            if (clock.monotonicMilliseconds() >= deadlineAt) {
                return AdmissionFailure.DeadlinePassed;
            }
            if (serviceQueues.get(service)?.queue.isWaiting(tenant, requestClass) !== true) {
                const selection = options.select(selectionRequest);
                if (typeof selection !== "string") {
                    return trackBlockedShift(service, selection);
                }
                if (selection !== SelectionFailure.NoCapacity || !canObtainCapacity(service)) {
                    return selection;
                }
            }
            return enqueue(selectionRequest, deadlineAt, createAbortSignal());
        },
        onCapacityAvailable: scheduleDispatch,
        onGrants: () => {
            serviceQueues.forEach(({ demand }) => demand.onGrants());
            scheduleDispatch();
        },
        get length() {
            return [...serviceQueues.values()].reduce((sum, { queue }) => sum + queue.length, 0);
        },
    };
}

const needsTimer = ({ queue, blockedShifts }: ServiceQueue) => queue.length > 0 || blockedShifts.size > 0;

function groupByBlockedShift(blockedShifts: ReadonlySet<BlockedShift>): readonly QueuedRequestGroup[] {
    const groups = new Map<string, { priorityLevels: QueuedRequestGroup["priorityLevels"]; count: number }>();
    blockedShifts.forEach(({ shift, backendServers }) => {
        const count = (groups.get(shift)?.count ?? 0) + 1;
        groups.set(shift, { priorityLevels: [backendServers], count });
    });
    return [...groups.values()];
}

/** Groups the queued requests by the backend servers on which they may run. */
function groupByEligibleServers(
    options: SelectorOptions,
    pendingSelections: Iterable<PendingSelection>,
): readonly QueuedRequestGroup[] {
    const hasShifts = options.configuration.view().shifts.size > 0;
    const groups = new Map<string, { priorityLevels: QueuedRequestGroup["priorityLevels"]; count: number }>();
    for (const { selectionRequest } of pendingSelections) {
        const key = hasShifts
            ? `${selectionRequest.origin}/${Math.floor(selectionRequest.shiftSample * 100)}`
            : selectionRequest.origin;
        const group = groups.get(key) ?? { priorityLevels: listByPriority(options, selectionRequest), count: 0 };
        group.count += 1;
        groups.set(key, group);
    }
    return [...groups.values()];
}
