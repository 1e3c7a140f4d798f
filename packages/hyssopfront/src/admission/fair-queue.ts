/**
 * Bounded queues of requests that wait for capacity. Each tenant has one queue per request class, and the queues are
 * scheduled by deficit round robin.
 */
import type { Clock } from "@hyssopfront/coordination";
import { RequestClass } from "../resources/resource.js";

/** Why the queue rejected a request. */
export enum QueueRejection {
    /** The queue of the tenant, or the queues of the request class together, have reached their maximum length. */
    Full = "full",
    /** The deadline passed while the request waited. */
    DeadlinePassed = "deadlinePassed",
}

/** Thrown when the queue is full or the deadline of a queued request passes. The request was not run. */
export class QueueError extends Error {
    readonly step = "queue";

    constructor(readonly rejection: QueueRejection, readonly tenant: string) {
        const reason = rejection === QueueRejection.Full ? "the queue is full" : "the deadline passed in the queue";
        super(`The request of tenant ${tenant} was not run because ${reason}.`);
        this.name = "QueueError";
    }
}

export type QueuedRequest = {
    readonly tenant: string;
    readonly requestClass: RequestClass;
    /** Cost in the round robin, such as 1 or the expected bytes. Must be positive. */
    readonly cost: number;
    /** Time on the monotonic clock, in milliseconds, at which the request leaves the queue with an error. */
    readonly deadlineAt: number;
    /** Cancels the wait, which then rejects with the abort reason. */
    readonly signal?: AbortSignal;
};

export type FairQueueOptions = {
    readonly clock: Clock;
    /** Maximum length of one queue. */
    readonly maximumQueueLength?: number;
    /** Maximum number of queued requests. Each request class can use half of it. */
    readonly maximumTotalLength?: number;
    /** Share of the dispatched cost for run-once requests while both classes wait, above 0 and below 1. */
    readonly runOnceShare?: number;
    /** Cost that a tenant's queue can dispatch in one round. */
    readonly quantum?: number;
    /**
     * Requests of a tenant's queue that a dispatch tries before it skips the rest. More than the default of 1 is for
     * requests that need different capacity, such as that of different backend servers.
     */
    readonly maximumAttempts?: number;
};

export type FairQueue = {
    /**
     * Waits until the request is dispatched.
     *
     * @throws QueueError when the queue is full or the deadline passes.
     * @throws The abort reason when the signal aborts.
     */
    wait(request: QueuedRequest): Promise<void>;
    /**
     * Dispatches waiting requests in fair order while capacity is available. Call it whenever capacity may have become
     * available.
     *
     * @param tryAcquire Acquires the capacity for a request. When it returns false `maximumAttempts` times, the rest
     * of that queue is skipped.
     * @returns Number of dispatched requests.
     */
    dispatch(tryAcquire: (request: QueuedRequest) => boolean): number;
    /** Returns true while a request of the tenant and class waits. */
    isWaiting(tenant: string, requestClass: RequestClass): boolean;
    readonly length: number;
};

type WaitingRequest = { readonly request: QueuedRequest; readonly leave: () => void; readonly resolve: () => void };

type TenantQueue = { readonly waiting: Set<WaitingRequest>; deficit: number };

type ClassQueues = {
    readonly tenants: Map<string, TenantQueue>;
    readonly weight: number;
    /** Dispatched cost, divided by the weight. The class with the lowest value is dispatched first. */
    normalizedCost: number;
    length: number;
};

const DEFAULT_MAXIMUM_QUEUE_LENGTH = 256;
const DEFAULT_MAXIMUM_TOTAL_LENGTH = 4_096;
const DEFAULT_RUN_ONCE_SHARE = 0.3;
const DEFAULT_MAXIMUM_ATTEMPTS = 1;
/** Limits how long a class is preferred after a time without capacity for it. */
const MAXIMUM_LAG_QUANTA = 64;

/**
 * Creates an empty fair queue. The class with the lower dispatched cost relative to its share comes first. Within a
 * class, the tenants are scheduled by deficit round robin.
 *
 * @param options Clock, maximum lengths and shares.
 * @returns The empty queue.
 */
export function createFairQueue(options: FairQueueOptions): FairQueue {
    const {
        clock,
        maximumQueueLength = DEFAULT_MAXIMUM_QUEUE_LENGTH,
        maximumTotalLength = DEFAULT_MAXIMUM_TOTAL_LENGTH,
    } = options;
    const { runOnceShare = DEFAULT_RUN_ONCE_SHARE, quantum = 1, maximumAttempts = DEFAULT_MAXIMUM_ATTEMPTS } = options;
    const createClass = (weight: number): ClassQueues => ({ tenants: new Map(), weight, normalizedCost: 0, length: 0 });
    const classes = {
        [RequestClass.RunOnce]: createClass(runOnceShare),
        [RequestClass.Idempotent]: createClass(1 - runOnceShare),
    };
    const maximumLag = quantum * MAXIMUM_LAG_QUANTA;
    const allClasses = Object.values(classes);
    const totalLength = () => allClasses.reduce((sum, { length }) => sum + length, 0);

    const isFull = ({ tenants, length }: ClassQueues, tenant: string) =>
        (tenants.get(tenant)?.waiting.size ?? 0) >= maximumQueueLength || length >= maximumTotalLength / 2;

    const enqueue = (queues: ClassQueues, waiting: WaitingRequest) => {
        if (totalLength() === 0) {
            allClasses.forEach(other => other.normalizedCost = 0);
        }
        if (queues.length === 0) {
            // A class that was idle must not make up for the requests it did not have.
            const others = allClasses.filter(other => other !== queues && other.length > 0);
            queues.normalizedCost = Math.max(
                queues.normalizedCost,
                ...others.map(({ normalizedCost }) => normalizedCost),
            );
        }
        const { tenant } = waiting.request;
        const queue = queues.tenants.get(tenant) ?? { waiting: new Set(), deficit: 0 };
        queues.tenants.set(tenant, queue);
        queue.waiting.add(waiting);
        queues.length++;
    };

    const remove = (queues: ClassQueues, waiting: WaitingRequest) => {
        const queue = queues.tenants.get(waiting.request.tenant);
        if (queue?.waiting.delete(waiting)) {
            queues.length--;
            if (queue.waiting.size === 0) {
                queues.tenants.delete(waiting.request.tenant);
            }
        }
    };

    const wait = (request: QueuedRequest) =>
        new Promise<void>((resolve, reject) => {
            const queues = classes[request.requestClass];
            const remaining = request.deadlineAt - clock.monotonicMilliseconds();
            if (request.signal?.aborted) {
                reject(request.signal.reason);
                return;
            }
            if (remaining <= 0 || isFull(queues, request.tenant)) {
                const rejection = remaining <= 0 ? QueueRejection.DeadlinePassed : QueueRejection.Full;
                reject(new QueueError(rejection, request.tenant));
                return;
            }
            const deadline = new AbortController();
            const onAbort = () => {
                waiting.leave();
                reject(request.signal?.reason);
            };
            const waiting = {
                request,
                resolve,
                leave: () => {
                    remove(queues, waiting);
                    request.signal?.removeEventListener("abort", onAbort);
                    deadline.abort();
                },
            };
            request.signal?.addEventListener("abort", onAbort, { once: true });
            enqueue(queues, waiting);
            clock.sleep(remaining, deadline.signal).then(() => {
                waiting.leave();
                reject(new QueueError(QueueRejection.DeadlinePassed, request.tenant));
            }, () => undefined);
        });

    /** Dispatches the next request of the class. Returns `undefined` when all its queues are blocked or empty. */
    const dispatchOne = (
        queues: ClassQueues,
        tryAcquire: (request: QueuedRequest) => boolean,
        blocked: Set<TenantQueue>,
    ) => {
        while ([...queues.tenants.values()].some(queue => !blocked.has(queue))) {
            const [tenant, queue] = queues.tenants.entries().next().value as [string, TenantQueue];
            const first = queue.waiting.values().next().value as WaitingRequest;
            if (!blocked.has(queue) && queue.deficit >= first.request.cost) {
                const candidates = maximumAttempts === 1 ? [first] : [...queue.waiting].slice(0, maximumAttempts);
                const dispatched = candidates.find(candidate =>
                    queue.deficit >= candidate.request.cost && tryDispatch(candidate, tryAcquire)
                );
                if (dispatched !== undefined) {
                    queue.deficit -= dispatched.request.cost;
                    queues.normalizedCost += dispatched.request.cost / queues.weight;
                    allClasses.forEach(other =>
                        other.normalizedCost = Math.max(other.normalizedCost, queues.normalizedCost - maximumLag)
                    );
                    return dispatched;
                }
                blocked.add(queue);
            }
            // Moves the queue to the end of the round. A queue that lacks capacity must not accumulate deficit.
            queues.tenants.delete(tenant);
            queues.tenants.set(tenant, queue);
            queue.deficit += blocked.has(queue) ? 0 : quantum;
        }
        return undefined;
    };

    const tryDispatch = (waiting: WaitingRequest, tryAcquire: (request: QueuedRequest) => boolean) => {
        const { request } = waiting;
        const isPastDeadline = request.deadlineAt <= clock.monotonicMilliseconds();
        if (isPastDeadline || !tryAcquire(request)) {
            return false;
        }
        waiting.leave();
        waiting.resolve();
        return true;
    };

    const dispatch = (tryAcquire: (request: QueuedRequest) => boolean) => {
        const blocked = new Set<TenantQueue>();
        let dispatchedCount = 0;
        while (totalLength() > 0) {
            const waitingClasses = allClasses.filter(({ length }) => length > 0).sort((a, b) =>
                a.normalizedCost - b.normalizedCost
            );
            if (!waitingClasses.some(queues => dispatchOne(queues, tryAcquire, blocked) !== undefined)) {
                break;
            }
            dispatchedCount++;
        }
        return dispatchedCount;
    };

    return {
        wait,
        dispatch,
        isWaiting: (tenant, requestClass) => classes[requestClass].tenants.has(tenant),
        get length() {
            return totalLength();
        },
    };
}
