/**
 * Callers of a day, which look up entries, cache the result for its time to live and retry at the entries in its order.
 */
import { RequestClass } from "hyssopfront/resources/resource.ts";
import { setTimeout as delay } from "node:timers/promises";
import { type Caller, type CallerResponse, createCaller } from "../../caller/caller.js";
import { makeIdempotencyKey } from "../../caller/idempotency-key.js";
import type { DeploymentPlan, PlannedService } from "../../deployment/plan.js";
import { createSeededRandom } from "../../random/seeded-random.js";
import type { DaySystem } from "./day-system.js";
import { computeCapacity, type DaySchedule, loadAt } from "./schedule.js";

/** One attempt of a request, with its response. */
export type DayAttempt = CallerResponse & {
    readonly sentAt: number;
    readonly key: string | undefined;
    /** Expected size in bytes of an incomplete response; 0 for a complete one. */
    readonly expectedBytes: number;
};

/** One request with all its attempts. Times are milliseconds of `performance.now()`. */
export type DayRequest = {
    readonly id: string;
    readonly service: string;
    readonly requestClass: RequestClass;
    readonly availabilityZone: string;
    readonly startedAt: number;
    readonly endedAt: number;
    readonly attempts: readonly DayAttempt[];
};

/** Response size of the first service, whose requests the shift moves over a link. */
export const RESPONSE_BYTES = 32_768;
const MAXIMUM_ATTEMPTS = 3;
const SEND_INTERVAL_MS = 5;
const DEADLINE_MS = 5_000;
/** Limits the memory that pending requests use when the system stalls. */
const MAXIMUM_PENDING = 4_000;

/** Completed requests, and the number of requests that were not sent because too many were pending. */
export type DayTraffic = { readonly requests: readonly DayRequest[]; readonly dropped: number };

/** Size of the prefix of a body that is kept, which contains the names of the request and the backend server. */
const KEPT_BODY_BYTES = 64;

/** Keeps only a prefix of complete bodies, because all bodies of a day would exhaust the memory. */
function truncateBody(
    response: CallerResponse,
    expectedBytes: number,
): CallerResponse & { readonly expectedBytes: number } {
    const isComplete = response.body.length >= expectedBytes && /^[^|]+\|[^|]+\|\d+\|x*$/.test(response.body);
    return isComplete
        ? { ...response, body: response.body.slice(0, KEPT_BODY_BYTES), expectedBytes: 0 }
        : { ...response, expectedBytes };
}

const isFinal = ({ status, outcome }: CallerResponse) => status !== undefined && outcome !== "not-run";

/** Sends traffic for the whole schedule and resolves when all requests have completed. */
export async function sendTraffic(
    plan: DeploymentPlan,
    system: DaySystem,
    schedule: DaySchedule,
    seed: number,
): Promise<DayTraffic> {
    const random = createSeededRandom(seed);
    const zones = plan.regions.flatMap(region => region.availabilityZones);
    const callers = new Map<string, Caller>();
    const getCaller = (service: string, zone: string): Caller => {
        const key = `${service} ${zone}`;
        const existing = callers.get(key);
        if (existing !== undefined) {
            return existing;
        }
        const created = createCaller({
            service,
            entries: [...system.callerUrls.values()],
            lookUp: entry => system.lookUp(entry, service, zone),
        });
        callers.set(key, created);
        return created;
    };
    const requests: DayRequest[] = [];
    const pending = new Set<Promise<void>>();
    let count = 0;
    let dropped = 0;

    const send = async (service: PlannedService, availabilityZone: string) => {
        count += 1;
        const id = `r${count}`;
        const requestClass = system.hasRunOnce ? service.defaultClass : RequestClass.Idempotent;
        const isRunOnce = requestClass === RequestClass.RunOnce;
        const key = isRunOnce ? makeIdempotencyKey() : undefined;
        const expectedBytes = service === plan.services[0] ? RESPONSE_BYTES : 0;
        const caller = getCaller(service.name, availabilityZone);
        const startedAt = performance.now();
        const entries = await caller.entries();
        const attempts: DayRequest["attempts"][number][] = [];
        for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
            const sentAt = performance.now();
            const response = await caller.send({
                id: `${id}.${attempt}`,
                method: isRunOnce ? "POST" : "GET",
                headers: {
                    "hyssop-deadline-ms": String(DEADLINE_MS),
                    "test-answer-bytes": String(expectedBytes),
                    ...key === undefined ? {} : { "idempotency-key": key },
                },
                signal: AbortSignal.timeout(2 * DEADLINE_MS),
            }, entries[attempt % entries.length]);
            attempts.push({ ...truncateBody(response, expectedBytes), sentAt, key });
            if (isFinal(response)) {
                break;
            }
        }
        const { name } = service;
        requests.push({
            id,
            service: name,
            requestClass,
            availabilityZone,
            startedAt,
            endedAt: performance.now(),
            attempts,
        });
    };

    const startedAt = performance.now();
    const nextSendAt = new Map(plan.services.map(({ name }) => [name, 0]));
    const sendDueRequests = (second: number) =>
        plan.services.forEach(service => {
            const rate = computeCapacity(service) * loadAt(schedule, second);
            for (; nextSendAt.get(service.name)! <= second;) {
                nextSendAt.set(service.name, nextSendAt.get(service.name)! - Math.log(1 - random()) / rate);
                const zone = zones[Math.floor(random() * zones.length)]!;
                if (pending.size >= MAXIMUM_PENDING) {
                    dropped += 1;
                    continue;
                }
                const sent = send(service, zone).finally(() => pending.delete(sent));
                pending.add(sent);
            }
        });
    for (let second = 0; second < schedule.seconds; second = (performance.now() - startedAt) / 1_000) {
        sendDueRequests(second);
        await delay(SEND_INTERVAL_MS);
    }
    await Promise.all(pending);
    await Promise.all([...callers.values()].map(caller => caller.close()));
    return { requests, dropped };
}
