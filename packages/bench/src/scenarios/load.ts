/**
 * Running load of lookups, idempotent and run-once requests. Callers cache lookup answers, follow their order when a
 * connection is refused, and resend with the same idempotency key until they know the outcome.
 */
import { type CallerResponse, createCaller, lookUpByHttp } from "../caller/caller.js";
import { makeIdempotencyKey } from "../caller/idempotency-key.js";
import type { AttemptRecord } from "../checker/history.js";
import { createSeededRandom } from "../random/seeded-random.js";

export enum LoadKind {
    LookUp = "lookup",
    Idempotent = "idempotent",
    RunOnce = "runOnce",
}

export type LoadOptions = {
    /** Entries to start from, by name. */
    readonly entries: ReadonlyMap<string, string>;
    /** Services by kind of request. */
    readonly services: Readonly<Record<LoadKind.Idempotent | LoadKind.RunOnce, string>>;
    /** Availability zones of the callers, in turn. */
    readonly availabilityZones: readonly string[];
    readonly requestsPerSecond: number;
    readonly kinds?: readonly LoadKind[];
    /** Sends all requests to these entries, without lookups. */
    readonly onlyEntries?: readonly string[];
    /** Sends requests on until their outcome is known; otherwise each is sent once. */
    readonly resends?: boolean;
    /** Number of entries that each run-once request is sent to at once. */
    readonly copies?: number;
    readonly seed: number;
};

/** One request of a caller with all its attempts. */
export type LoadRequest = {
    readonly name: string;
    readonly kind: LoadKind;
    readonly key: string | undefined;
    /** Asked of the backend server; the same for all attempts, since any of them may get the stored answer. */
    readonly answerBytes: number;
    isDone: boolean;
    /** The caller knows that the request ran. */
    isAnswered: boolean;
    last: CallerResponse | undefined;
};

export type LookUpRecord = { readonly entry: string; readonly error: string | undefined };

export type Load = {
    readonly attempts: readonly AttemptRecord[];
    readonly requests: readonly LoadRequest[];
    readonly lookUps: readonly LookUpRecord[];
    /** Requests whose callers know that they ran. */
    readonly answered: number;
    /** Stops sending and resolves when every request has ended. */
    stop(): Promise<void>;
    close(): Promise<void>;
};

const TICK_MS = 10;
const RESEND_PAUSE_MS = 100;
/** Time in which a caller resends one request. */
const RESEND_PERIOD_MS = 20_000;
/** Requests in progress at most; further ones are left out. */
const MAXIMUM_IN_PROGRESS = 400;
const ANSWER_BYTES = [0, 1_000, 20_000];
const DEADLINE_MS = "5000";

/** Counts what the attempts of a load were told, by entry, outcome and reason. */
export function summarizeAnswers(attempts: readonly AttemptRecord[]): string {
    const counts = new Map<string, number>();
    attempts.forEach(({ entry, status, outcome, reason }) => {
        const answer = `${entry} ${status} ${outcome} ${reason}`;
        counts.set(answer, (counts.get(answer) ?? 0) + 1);
    });
    return [...counts].map(([answer, count]) => `${count} times ${answer}`).join(", ");
}

type CachedLookUp = { readonly entries: readonly string[]; readonly until: number };

const pause = (milliseconds: number) => new Promise(resolve => setTimeout(resolve, milliseconds));

const isRefusedConnection = (answer: CallerResponse) => answer.error?.includes("ECONNREFUSED") === true;

/** Starts the load. */
export function startLoad(options: LoadOptions): Load {
    const random = createSeededRandom(options.seed);
    const kinds = options.kinds ?? Object.values(LoadKind);
    const caller = createCaller({ service: "", entries: [] });
    const attempts: AttemptRecord[] = [];
    const requests: LoadRequest[] = [];
    const lookUps: LookUpRecord[] = [];
    const cached = new Map<string, CachedLookUp>();
    const inProgress = new Set<Promise<void>>();
    const urls = [...options.entries.values()];
    let begun = 0;
    let sent = 0;
    let answered = 0;

    const lookUp = async (service: string, availabilityZone: string): Promise<readonly string[]> => {
        const found = cached.get(`${service}/${availabilityZone}`);
        if (found !== undefined && performance.now() < found.until) {
            return found.entries;
        }
        const first = Math.floor(random() * urls.length);
        const turns = [...found?.entries ?? [], ...urls.slice(first), ...urls.slice(0, first)];
        for (const entry of turns) {
            try {
                const answer = await lookUpByHttp(entry, service, availabilityZone);
                const entries = answer.entries.map(({ address, port }) => `http://${address}:${port}`);
                cached.set(`${service}/${availabilityZone}`, {
                    entries,
                    until: performance.now() + answer.timeToLiveSeconds * 1_000,
                });
                lookUps.push({ entry, error: undefined });
                return entries;
            }
            catch (error) {
                const { cause, message } = error as Error & { cause?: Error };
                lookUps.push({ entry, error: `${message} ${cause?.message ?? ""}` });
            }
        }
        return found?.entries ?? urls;
    };

    const attempt = async (request: LoadRequest, number: number, entry: string) => {
        const id = `${request.name}.${number}`;
        const { answerBytes } = request;
        const service = options.services[request.kind as LoadKind.Idempotent | LoadKind.RunOnce];
        const isRunOnce = request.kind === LoadKind.RunOnce;
        const sentAt = performance.now();
        const answer = await caller.send({
            id,
            method: isRunOnce ? "POST" : "GET",
            path: `${service}/load`,
            headers: {
                "hyssop-deadline-ms": DEADLINE_MS,
                "test-answer-bytes": String(answerBytes),
                ...request.key === undefined ? {} : { "idempotency-key": request.key },
            },
            body: isRunOnce ? request.name : undefined,
        }, entry);
        attempts.push({
            ...answer,
            id,
            request: request.name,
            service,
            key: request.key,
            sentAt,
            completedAt: performance.now(),
            answerBytes,
        });
        request.last = answer;
        if (!request.isAnswered && (answer.outcome === "run" || answer.outcome === "replayed")) {
            request.isAnswered = true;
            answered += 1;
        }
        return answer;
    };

    const complete = async (request: LoadRequest, availabilityZone: string, first: number) => {
        const service = options.services[request.kind as LoadKind.Idempotent | LoadKind.RunOnce];
        const giveUpAt = performance.now() + RESEND_PERIOD_MS;
        let turn = 0;
        for (let number = first; !request.isAnswered; number += options.copies ?? 1) {
            const entries = options.onlyEntries ?? await lookUp(service, availabilityZone);
            const entry = entries[(turn + first) % entries.length]!;
            const answer = await attempt(request, number, entry);
            const isFinal = request.kind === LoadKind.RunOnce && answer.outcome === "unknown"
                && answer.reason === "key-outcome-unknown";
            if (isFinal || options.resends === false || performance.now() > giveUpAt) {
                return;
            }
            turn += 1;
            // A refused connection leads to the next entry at once; all other answers are waited out.
            if (!isRefusedConnection(answer) || turn % entries.length === 0) {
                await pause(RESEND_PAUSE_MS);
            }
        }
    };

    const sendOne = async () => {
        const kind = kinds[sent % kinds.length]!;
        const availabilityZone = options.availabilityZones[Math.floor(random() * options.availabilityZones.length)]!;
        sent += 1;
        if (kind === LoadKind.LookUp) {
            cached.delete(`${options.services.idempotent}/${availabilityZone}`);
            await lookUp(options.services.idempotent, availabilityZone);
            return;
        }
        const request: LoadRequest = {
            name: `${kind}-${options.seed}-${sent}`,
            kind,
            key: kind === LoadKind.RunOnce ? makeIdempotencyKey() : undefined,
            answerBytes: ANSWER_BYTES[Math.floor(random() * ANSWER_BYTES.length)]!,
            isDone: false,
            isAnswered: false,
            last: undefined,
        };
        requests.push(request);
        const copies = kind === LoadKind.RunOnce ? options.copies ?? 1 : 1;
        await Promise.all(
            Array.from({ length: copies }, (_, copy) => complete(request, availabilityZone, copy)),
        );
        request.isDone = true;
    };

    const startedAt = performance.now();
    const timer = setInterval(() => {
        const due = Math.floor((performance.now() - startedAt) / 1_000 * options.requestsPerSecond);
        for (; begun < due; begun += 1) {
            if (inProgress.size < MAXIMUM_IN_PROGRESS) {
                const running = sendOne();
                inProgress.add(running);
                void running.finally(() => inProgress.delete(running));
            }
        }
    }, TICK_MS);

    return {
        attempts,
        requests,
        lookUps,
        get answered() {
            return answered;
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
