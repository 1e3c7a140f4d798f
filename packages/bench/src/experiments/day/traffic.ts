/**
 * Callers of a day: they look up, keep the answer for its time to live and follow its order.
 */
import { RequestClass } from "hyssopfront/resources/resource.ts";
import { setTimeout as delay } from "node:timers/promises";
import { type Caller, type CallerResponse, createCaller } from "../../caller/caller.js";
import { makeIdempotencyKey } from "../../caller/idempotency-key.js";
import type { DeploymentPlan, PlannedService } from "../../deployment/plan.js";
import { createSeededRandom } from "../../random/seeded-random.js";
import type { DaySystem } from "./day-system.js";
import { capacityOf, type DaySchedule, loadAt } from "./schedule.js";

export type DayAttempt = CallerResponse & {
    readonly sentAt: number;
    readonly key: string | undefined;
    /** Bytes that the answer should have had; 0 when it had them. */
    readonly answerBytes: number;
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

/** Bytes of the answers of the first service, which the shift moves over a link. */
export const RESPONSE_BYTES = 32_768;
const MAXIMUM_ATTEMPTS = 3;
const TICK_MS = 5;
const DEADLINE_MS = 5_000;
/** Requests that callers have open at most, so that a system that stalls does not fill the memory. */
const MAXIMUM_OPEN = 4_000;

export type DayTraffic = { readonly requests: readonly DayRequest[]; readonly dropped: number };

/** Bytes of an answer that are kept; they name the request and the backend server. */
const KEPT_BYTES = 64;

/** Keeps only the start of a whole answer, because the bodies of a whole day would fill the memory. */
function shorten(told: CallerResponse, answerBytes: number): CallerResponse & { readonly answerBytes: number } {
    const isWhole = told.body.length >= answerBytes && /^[^|]+\|[^|]+\|\d+\|x*$/.test(told.body);
    return isWhole ? { ...told, body: told.body.slice(0, KEPT_BYTES), answerBytes: 0 } : { ...told, answerBytes };
}

const isFinal = ({ status, outcome }: CallerResponse) => status !== undefined && outcome !== "not-run";

/** Sends traffic for the whole schedule and resolves when every request has ended. */
export async function sendTraffic(
    plan: DeploymentPlan,
    system: DaySystem,
    schedule: DaySchedule,
    seed: number,
): Promise<DayTraffic> {
    const random = createSeededRandom(seed);
    const zones = plan.regions.flatMap(region => region.availabilityZones);
    const callers = new Map<string, Caller>();
    const callerOf = (service: string, zone: string): Caller => {
        const key = `${service} ${zone}`;
        const known = callers.get(key);
        if (known !== undefined) {
            return known;
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
    const open = new Set<Promise<void>>();
    let count = 0;
    let dropped = 0;

    const send = async (service: PlannedService, availabilityZone: string) => {
        count += 1;
        const id = `r${count}`;
        const requestClass = system.hasRunOnce ? service.defaultClass : RequestClass.Idempotent;
        const isRunOnce = requestClass === RequestClass.RunOnce;
        const key = isRunOnce ? makeIdempotencyKey() : undefined;
        const answerBytes = service === plan.services[0] ? RESPONSE_BYTES : 0;
        const caller = callerOf(service.name, availabilityZone);
        const startedAt = performance.now();
        const entries = await caller.entries();
        const attempts: DayRequest["attempts"][number][] = [];
        for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
            const sentAt = performance.now();
            const told = await caller.send({
                id: `${id}.${attempt}`,
                method: isRunOnce ? "POST" : "GET",
                headers: {
                    "hyssop-deadline-ms": String(DEADLINE_MS),
                    "test-answer-bytes": String(answerBytes),
                    ...key === undefined ? {} : { "idempotency-key": key },
                },
                signal: AbortSignal.timeout(2 * DEADLINE_MS),
            }, entries[attempt % entries.length]);
            attempts.push({ ...shorten(told, answerBytes), sentAt, key });
            if (isFinal(told)) {
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
    const dueAt = new Map(plan.services.map(({ name }) => [name, 0]));
    const sendDue = (second: number) =>
        plan.services.forEach(service => {
            const rate = capacityOf(service) * loadAt(schedule, second);
            for (; dueAt.get(service.name)! <= second;) {
                dueAt.set(service.name, dueAt.get(service.name)! - Math.log(1 - random()) / rate);
                const zone = zones[Math.floor(random() * zones.length)]!;
                if (open.size >= MAXIMUM_OPEN) {
                    dropped += 1;
                    continue;
                }
                const sent = send(service, zone).finally(() => open.delete(sent));
                open.add(sent);
            }
        });
    for (let second = 0; second < schedule.seconds; second = (performance.now() - startedAt) / 1_000) {
        sendDue(second);
        await delay(TICK_MS);
    }
    await Promise.all(open);
    await Promise.all([...callers.values()].map(caller => caller.close()));
    return { requests, dropped };
}
