/**
 * Continuous load of lookups, idempotent and run-once requests. Callers cache lookup results, try the entries in their
 * order when a connection is refused, and retry with the same idempotency key until they know the outcome.
 */
import { type CallerResponse, createCaller, lookUpByHttp } from "../caller/caller.js";
import { makeIdempotencyKey } from "../caller/idempotency-key.js";
import type { AttemptRecord } from "../checker/history.js";
import { createSeededRandom } from "../random/seeded-random.js";

export enum LoadKind {
    Lookup = "lookup",
    Idempotent = "idempotent",
    RunOnce = "runOnce",
}

export type LoadOptions = {
    /** Base URLs of the entries that lookups are sent to, by name. */
    readonly entries: ReadonlyMap<string, string>;
    /** Name of the service by kind of request. */
    readonly services: Readonly<Record<LoadKind.Idempotent | LoadKind.RunOnce, string>>;
    /** Availability zones that callers are drawn from. */
    readonly availabilityZones: readonly string[];
    readonly requestsPerSecond: number;
    readonly kinds?: readonly LoadKind[];
    /** Base URLs of the entries that get all requests, without lookups. */
    readonly onlyEntries?: readonly string[];
    /** Whether requests are retried until their outcome is known; true by default. */
    readonly retries?: boolean;
    /** Number of entries that each run-once request is sent to concurrently; 1 by default. */
    readonly copies?: number;
    readonly seed: number;
};

/** State of one request of a caller over all its attempts. */
export type LoadRequest = {
    readonly name: string;
    readonly kind: LoadKind;
    readonly key: string | undefined;
    /** Requested size of the response body. All attempts use the same, as any of them may get the stored response. */
    readonly responseBytes: number;
    hasEnded: boolean;
    /** Whether a response has confirmed that the request ran. */
    isCompleted: boolean;
    lastResponse: CallerResponse | undefined;
};

export type LookupRecord = { readonly entry: string; readonly error: string | undefined };

export type Load = {
    readonly attempts: readonly AttemptRecord[];
    readonly requests: readonly LoadRequest[];
    readonly lookups: readonly LookupRecord[];
    /** Number of requests that are known to have run. */
    readonly completed: number;
    /** Stops sending new requests and resolves when every request has ended. */
    stop(): Promise<void>;
    close(): Promise<void>;
};

const TICK_INTERVAL_MS = 10;
const RETRY_PAUSE_MS = 100;
/** Time during which a caller retries one request. */
const RETRY_PERIOD_MS = 20_000;
/** Maximum number of requests in progress. Requests due beyond it are skipped. */
const MAXIMUM_IN_PROGRESS = 400;
const RESPONSE_BYTES = [0, 1_000, 20_000];
const DEADLINE_MS = "5000";

/** Counts the responses to the attempts of a load by entry, status, outcome and reason. */
export function summarizeResponses(attempts: readonly AttemptRecord[]): string {
    const counts = new Map<string, number>();
    attempts.forEach(({ entry, status, outcome, reason }) => {
        const response = `${entry} ${status} ${outcome} ${reason}`;
        counts.set(response, (counts.get(response) ?? 0) + 1);
    });
    return [...counts].map(([response, count]) => `${count} times ${response}`).join(", ");
}

type CachedLookup = { readonly entries: readonly string[]; readonly until: number };

const pause = (milliseconds: number) => new Promise(resolve => setTimeout(resolve, milliseconds));

const isConnectionRefused = (response: CallerResponse) => response.error?.includes("ECONNREFUSED") === true;

/** Starts sending requests at the given rate. */
export function startLoad(options: LoadOptions): Load {
    const random = createSeededRandom(options.seed);
    const kinds = options.kinds ?? Object.values(LoadKind);
    const caller = createCaller({ service: "", entries: [] });
    const attempts: AttemptRecord[] = [];
    const requests: LoadRequest[] = [];
    const lookups: LookupRecord[] = [];
    const cachedLookups = new Map<string, CachedLookup>();
    const inProgress = new Set<Promise<void>>();
    const urls = [...options.entries.values()];
    let startedOrSkipped = 0;
    let sent = 0;
    let completed = 0;

    const lookUp = async (service: string, availabilityZone: string): Promise<readonly string[]> => {
        const cachedLookup = cachedLookups.get(`${service}/${availabilityZone}`);
        if (cachedLookup !== undefined && performance.now() < cachedLookup.until) {
            return cachedLookup.entries;
        }
        const firstIndex = Math.floor(random() * urls.length);
        const candidates = [...cachedLookup?.entries ?? [], ...urls.slice(firstIndex), ...urls.slice(0, firstIndex)];
        for (const entry of candidates) {
            try {
                const result = await lookUpByHttp(entry, service, availabilityZone);
                const entries = result.entries.map(({ address, port }) => `http://${address}:${port}`);
                cachedLookups.set(`${service}/${availabilityZone}`, {
                    entries,
                    until: performance.now() + result.timeToLiveSeconds * 1_000,
                });
                lookups.push({ entry, error: undefined });
                return entries;
            }
            catch (error) {
                const { cause, message } = error as Error & { cause?: Error };
                lookups.push({ entry, error: `${message} ${cause?.message ?? ""}` });
            }
        }
        return cachedLookup?.entries ?? urls;
    };

    const sendAttempt = async (request: LoadRequest, attemptNumber: number, entry: string) => {
        const id = `${request.name}.${attemptNumber}`;
        const { responseBytes } = request;
        const service = options.services[request.kind as LoadKind.Idempotent | LoadKind.RunOnce];
        const isRunOnce = request.kind === LoadKind.RunOnce;
        const sentAt = performance.now();
        const response = await caller.send({
            id,
            method: isRunOnce ? "POST" : "GET",
            path: `${service}/load`,
            headers: {
                "hyssop-deadline-ms": DEADLINE_MS,
                "test-answer-bytes": String(responseBytes),
                ...request.key === undefined ? {} : { "idempotency-key": request.key },
            },
            body: isRunOnce ? request.name : undefined,
        }, entry);
        attempts.push({
            ...response,
            id,
            request: request.name,
            service,
            key: request.key,
            sentAt,
            completedAt: performance.now(),
            expectedBytes: responseBytes,
        });
        request.lastResponse = response;
        if (!request.isCompleted && (response.outcome === "run" || response.outcome === "replayed")) {
            request.isCompleted = true;
            completed += 1;
        }
        return response;
    };

    const completeRequest = async (request: LoadRequest, availabilityZone: string, copy: number) => {
        const service = options.services[request.kind as LoadKind.Idempotent | LoadKind.RunOnce];
        const retryUntil = performance.now() + RETRY_PERIOD_MS;
        let tries = 0;
        for (let attemptNumber = copy; !request.isCompleted; attemptNumber += options.copies ?? 1) {
            const entries = options.onlyEntries ?? await lookUp(service, availabilityZone);
            const entry = entries[(tries + copy) % entries.length]!;
            const response = await sendAttempt(request, attemptNumber, entry);
            const isFinal = request.kind === LoadKind.RunOnce && response.outcome === "unknown"
                && response.reason === "key-outcome-unknown";
            if (isFinal || options.retries === false || performance.now() > retryUntil) {
                return;
            }
            tries += 1;
            // Only after a refused connection does the caller try the next entry without a pause.
            if (!isConnectionRefused(response) || tries % entries.length === 0) {
                await pause(RETRY_PAUSE_MS);
            }
        }
    };

    const sendOne = async () => {
        const kind = kinds[sent % kinds.length]!;
        const availabilityZone = options.availabilityZones[Math.floor(random() * options.availabilityZones.length)]!;
        sent += 1;
        if (kind === LoadKind.Lookup) {
            cachedLookups.delete(`${options.services.idempotent}/${availabilityZone}`);
            await lookUp(options.services.idempotent, availabilityZone);
            return;
        }
        const request: LoadRequest = {
            name: `${kind}-${options.seed}-${sent}`,
            kind,
            key: kind === LoadKind.RunOnce ? makeIdempotencyKey() : undefined,
            responseBytes: RESPONSE_BYTES[Math.floor(random() * RESPONSE_BYTES.length)]!,
            hasEnded: false,
            isCompleted: false,
            lastResponse: undefined,
        };
        requests.push(request);
        const copies = kind === LoadKind.RunOnce ? options.copies ?? 1 : 1;
        await Promise.all(
            Array.from({ length: copies }, (_, copy) => completeRequest(request, availabilityZone, copy)),
        );
        request.hasEnded = true;
    };

    const startedAt = performance.now();
    const timer = setInterval(() => {
        const due = Math.floor((performance.now() - startedAt) / 1_000 * options.requestsPerSecond);
        for (; startedOrSkipped < due; startedOrSkipped += 1) {
            if (inProgress.size < MAXIMUM_IN_PROGRESS) {
                const running = sendOne();
                inProgress.add(running);
                void running.finally(() => inProgress.delete(running));
            }
        }
    }, TICK_INTERVAL_MS);

    return {
        attempts,
        requests,
        lookups,
        get completed() {
            return completed;
        },
        stop: async () => {
            clearInterval(timer);
            await Promise.all(inProgress);
        },
        close: async () => {
            clearInterval(timer);
            await caller.close();
        },
    };
}
