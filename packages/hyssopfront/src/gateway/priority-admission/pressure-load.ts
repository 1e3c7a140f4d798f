/**
 * Load of tests: two kinds of requests with different priorities, from accounts of different sizes, to one service that
 * cannot run all of them while its caches are cold.
 */
import type { SimulatedCall, SimulatedEnd } from "../load-balancing/simulated-call.js";
import type { SimulatedService } from "../load-balancing/simulated-service.js";

/** Time of a request for a cached object, as a share of that of others. */
const CACHED_RUN_RATIO = 0.3;
const ACCOUNTS = 83;
/** The first accounts are large: each sends as many requests as ten of the others. */
const LARGE_ACCOUNTS = 4;
const LARGE_ACCOUNT_WEIGHT = 10;
/** A backend server caches 10 to 26 objects; this many for each fit while a quarter of the backend servers is gone. */
const CACHED_OBJECTS = 18;
const OBJECTS_PER_SERVER = 12;
const SERVERS = 109;
const SLOTS = 4;
const BURST_FACTOR = 1.7;
const SURGE_FACTOR = 7.5;
/** Account that sends many times its usual amount during a surge. */
export const SURGING_ACCOUNT = "account-1";

type Kind = Omit<SimulatedCall, "key" | "account"> & { readonly requestsPerSecond: number };

const createKind = (
    priority: number,
    requestsPerSecond: number,
    objectiveMilliseconds: number,
    firstRunMilliseconds: number,
    deadlineMilliseconds: number,
): Kind => ({
    priority,
    requestsPerSecond,
    objectiveMilliseconds,
    firstRunMilliseconds,
    laterRunMilliseconds: firstRunMilliseconds * CACHED_RUN_RATIO,
    timeoutMilliseconds: deadlineMilliseconds,
    deadlineMilliseconds,
});
const KINDS = [createKind(0, 225, 258, 327, 1_546), createKind(2, 262, 2_508, 2_036, 10_031)] as const;
const TOTAL_RATE = KINDS.reduce((sum, { requestsPerSecond }) => sum + requestsPerSecond, 0);

/** Times in milliseconds, each [from, until]. */
export type Trouble = {
    readonly burst?: readonly [number, number];
    readonly surge?: readonly [number, number];
    /** Time from which a quarter of the backend servers is gone. */
    readonly lostFrom?: number;
    /** Priority of the account that sends many times its usual amount; default: that of its requests. */
    readonly surgingPriority?: number;
};

const isDuring = (span: readonly [number, number] | undefined, now: number) =>
    span !== undefined && now >= span[0] && now < span[1];

const accountWeight = (index: number, isSurging: boolean) =>
    (index < LARGE_ACCOUNTS ? LARGE_ACCOUNT_WEIGHT : 1) * (isSurging && index === 0 ? SURGE_FACTOR : 1);
const sumWeights = (isSurging: boolean) =>
    Array.from({ length: ACCOUNTS }, (_, index) => accountWeight(index, isSurging)).reduce((sum, weight) =>
        sum + weight
    );
const USUAL_WEIGHT = sumWeights(false);
const SURGE_WEIGHT = sumWeights(true);

function pickAccount(random: () => number, isSurging: boolean): string {
    let rest = random() * (isSurging ? SURGE_WEIGHT : USUAL_WEIGHT);
    let index = 0;
    while (rest >= accountWeight(index, isSurging) && index < ACCOUNTS - 1) {
        rest -= accountWeight(index, isSurging);
        index += 1;
    }
    return `account-${index + 1}`;
}

/** Creates the service and its load; all caches are empty at the start. */
export function createPressureLoad(trouble: Trouble, onEnd: (end: SimulatedEnd) => void): SimulatedService {
    const createZone = (region: string, zone: string, servers: number) => ({
        region,
        availabilityZone: `${region}-${zone}`,
        servers,
    });
    return {
        zones: ["east", "middle", "west"].flatMap(region => [
            createZone(region, "a", 9),
            createZone(region, "b", region === "middle" ? 28 : 27),
        ]),
        entriesPerRegion: 11,
        slots: SLOTS,
        queueLength: 3 * SLOTS,
        cachedObjects: CACHED_OBJECTS,
        objectsPerRegion: Math.round(OBJECTS_PER_SERVER * SERVERS / 3),
        firstRunMilliseconds: 0,
        laterRunMilliseconds: 0,
        objectiveMilliseconds: 0,
        timeoutMilliseconds: 0,
        deadlineMilliseconds: 0,
        isIdempotent: false,
        countedFrom: 0,
        cachesLostAt: Infinity,
        requestsPerSecond: (_region, now) =>
            TOTAL_RATE / 3
            * (isDuring(trouble.burst, now) ? BURST_FACTOR : 1)
            * (isDuring(trouble.surge, now) ? SURGE_WEIGHT / USUAL_WEIGHT : 1),
        isEvacuated: (zone, now) => now >= (trouble.lostFrom ?? Infinity) && zone.endsWith("-a"),
        getSlowdown: () => 1,
        createCall: (region, random, now) => {
            const kind = random() * TOTAL_RATE < KINDS[0].requestsPerSecond ? KINDS[0] : KINDS[1];
            const object = Math.floor(random() * OBJECTS_PER_SERVER * SERVERS / 3 / KINDS.length);
            const account = pickAccount(random, isDuring(trouble.surge, now));
            const accountPriority = account === SURGING_ACCOUNT ? trouble.surgingPriority : undefined;
            const priority = accountPriority ?? kind.priority;
            return { ...kind, priority, key: `${region}-${kind.priority}-${object}`, account };
        },
        onEnd,
    };
}
