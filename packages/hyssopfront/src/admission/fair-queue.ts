/**
 * Bounded queues of requests that wait for room, one for each tenant and class, served by deficit round robin.
 */
import type { Clock } from "@hyssopfront/coordination";
import { RequestClass } from "../resources/resource.js";

export enum QueueRejection {
    /** The queue of the tenant and class, or the sum of all queues, is at its bound. */
    Full = "full",
    /** The deadline passed while the request waited. */
    DeadlinePassed = "deadlinePassed",
}

/** A request that left its queue without being served; it was not run. */
export class QueueError extends Error {
    readonly step = "queue";

    constructor(readonly rejection: QueueRejection, readonly tenant: string) {
        const reason = rejection === QueueRejection.Full ? "the queue is full" : "the deadline passed in the queue";
        super(`A request of tenant ${tenant} was not run because ${reason}.`);
        this.name = "QueueError";
    }
}

export type QueuedRequest = {
    readonly tenant: string;
    readonly requestClass: RequestClass;
    /** Service cost, such as the expected bytes or 1; above 0. */
    readonly cost: number;
    /** Monotonic milliseconds at which the request leaves unserved. */
    readonly deadlineAt: number;
    /** Ends the wait early, with the reason of the abort. */
    readonly signal?: AbortSignal;
};

export type FairQueueOptions = {
    readonly clock: Clock;
    /** Bound of one queue. */
    readonly requestsPerQueue?: number;
    /** Bound of all queues together, half of which neither class takes from the other. */
    readonly requestsInAll?: number;
    /** Part of the service that run-once requests get while both classes wait, above 0 and below 1. */
    readonly runOnceShare?: number;
    /** Cost that a tenant's queue may spend in one round. */
    readonly quantum?: number;
};

export type FairQueue = {
    /** Waits for a turn. Rejects with `QueueError`, or with the abort reason of the signal. */
    wait(request: QueuedRequest): Promise<void>;
    /**
     * Serves waiting requests in fair order for as long as there is room. To be called whenever room may have appeared.
     *
     * @param tryTake Takes the room for a request, or returns false; then the requests of its queue wait on.
     * @returns Number of requests served.
     */
    serve(tryTake: (request: QueuedRequest) => boolean): number;
    /** True while a request of the tenant and class waits. */
    isWaiting(tenant: string, requestClass: RequestClass): boolean;
    readonly length: number;
};

type Waiting = { readonly request: QueuedRequest; readonly leave: () => void; readonly resolve: () => void };

type TenantQueue = { readonly waiting: Set<Waiting>; deficit: number };

type ClassQueues = {
    readonly tenants: Map<string, TenantQueue>;
    readonly weight: number;
    spent: number;
    length: number;
};

const DEFAULT_REQUESTS_PER_QUEUE = 256;
const DEFAULT_REQUESTS_IN_ALL = 4_096;
const DEFAULT_RUN_ONCE_SHARE = 0.3;
/** Bounds how long a class that lacked room is preferred once it finds room again. */
const LONGEST_LAG_QUANTA = 64;

/**
 * Creates empty queues. Between classes, the one that has spent the smaller part of its share is served first; within
 * a class, tenants take turns.
 *
 * @param options Clock and bounds.
 */
export function createFairQueue(options: FairQueueOptions): FairQueue {
    const { clock, requestsPerQueue = DEFAULT_REQUESTS_PER_QUEUE, requestsInAll = DEFAULT_REQUESTS_IN_ALL } = options;
    const { runOnceShare = DEFAULT_RUN_ONCE_SHARE, quantum = 1 } = options;
    const createClass = (weight: number): ClassQueues => ({ tenants: new Map(), weight, spent: 0, length: 0 });
    const classes = {
        [RequestClass.RunOnce]: createClass(runOnceShare),
        [RequestClass.Idempotent]: createClass(1 - runOnceShare),
    };
    const longestLag = quantum * LONGEST_LAG_QUANTA;
    const allClasses = Object.values(classes);
    const lengthOfAll = () => allClasses.reduce((sum, { length }) => sum + length, 0);

    const isFull = ({ tenants, length }: ClassQueues, tenant: string) =>
        (tenants.get(tenant)?.waiting.size ?? 0) >= requestsPerQueue || length >= requestsInAll / 2;

    const enqueue = (queues: ClassQueues, waiting: Waiting) => {
        if (lengthOfAll() === 0) {
            allClasses.forEach(other => other.spent = 0);
        }
        if (queues.length === 0) {
            // A class that was idle does not claim the service that it did not need.
            const others = allClasses.filter(other => other !== queues && other.length > 0);
            queues.spent = Math.max(queues.spent, ...others.map(({ spent }) => spent));
        }
        const { tenant } = waiting.request;
        const queue = queues.tenants.get(tenant) ?? { waiting: new Set(), deficit: 0 };
        queues.tenants.set(tenant, queue);
        queue.waiting.add(waiting);
        queues.length++;
    };

    const remove = (queues: ClassQueues, waiting: Waiting) => {
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
                const refusal = remaining <= 0 ? QueueRejection.DeadlinePassed : QueueRejection.Full;
                reject(new QueueError(refusal, request.tenant));
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

    /** Serves the next request of the class; undefined when none of its queues can be served now. */
    const serveOne = (queues: ClassQueues, tryTake: (request: QueuedRequest) => boolean, blocked: Set<TenantQueue>) => {
        while ([...queues.tenants.values()].some(queue => !blocked.has(queue))) {
            const [tenant, queue] = queues.tenants.entries().next().value as [string, TenantQueue];
            const first = queue.waiting.values().next().value as Waiting;
            if (!blocked.has(queue) && queue.deficit >= first.request.cost) {
                if (takeTurn(first, tryTake)) {
                    queue.deficit -= first.request.cost;
                    queues.spent += first.request.cost / queues.weight;
                    allClasses.forEach(other => other.spent = Math.max(other.spent, queues.spent - longestLag));
                    return first;
                }
                blocked.add(queue);
            }
            // The queue goes to the end of the round; one that waits for room saves no deficit meanwhile.
            queues.tenants.delete(tenant);
            queues.tenants.set(tenant, queue);
            queue.deficit += blocked.has(queue) ? 0 : quantum;
        }
        return undefined;
    };

    const takeTurn = (waiting: Waiting, tryTake: (request: QueuedRequest) => boolean) => {
        const { request } = waiting;
        const isLate = request.deadlineAt <= clock.monotonicMilliseconds();
        if (isLate || !tryTake(request)) {
            return false;
        }
        waiting.leave();
        waiting.resolve();
        return true;
    };

    const serve = (tryTake: (request: QueuedRequest) => boolean) => {
        const blocked = new Set<TenantQueue>();
        let served = 0;
        while (lengthOfAll() > 0) {
            const inTurn = allClasses.filter(({ length }) => length > 0).sort((a, b) => a.spent - b.spent);
            if (!inTurn.some(queues => serveOne(queues, tryTake, blocked) !== undefined)) {
                break;
            }
            served++;
        }
        return served;
    };

    return {
        wait,
        serve,
        isWaiting: (tenant, requestClass) => classes[requestClass].tenants.has(tenant),
        get length() {
            return lengthOfAll();
        },
    };
}
