/**
 * Additional latency of a run-once request over an idempotent one, by the regions of the entry, of the leader of the
 * run-once group and of the backend server.
 */
import { createSystemClock } from "@hyssopfront/coordination";
import { createApiClient } from "hyssopfront/command-line/http-client.ts";
import { applyResource, waitUntilInForce } from "hyssopfront/command-line/resource-client.ts";
import { RequestClass, ResourceKind } from "hyssopfront/resources/resource.ts";
import { selectGroup } from "hyssopfront/run-once/run-once-client.ts";
import { setTimeout as delay } from "node:timers/promises";
import { startBackendServer } from "../backend-server/backend-server.js";
import { type Caller, createCaller } from "../caller/caller.js";
import { makeIdempotencyKey } from "../caller/idempotency-key.js";
import type { Deployment } from "../deployment/deployment.js";
import { type DeploymentPlan, getRegion, latencyBetween, type PlannedInstance } from "../deployment/plan.js";
import { startFaultProxy } from "../fault-proxy/fault-proxy.js";
import { evaluateGoal, type Figure, type Report, Verdict } from "../report/report.js";
import { computePercentile } from "../report/statistics.js";
import { atMost, findDeadProcesses, readControlStatus, waitFor, withDeployment } from "./experiment.js";

/** Options of the run-once experiment; `requests` are sent of each class and combination. */
export type RunOnceExperimentOptions = { readonly plan: DeploymentPlan; readonly requests: number };

const SERVICE_TIME_MS = 5;
const SLOTS_PER_BACKEND_SERVER = 8;
const WARM_UP_REQUESTS = 5;
/** An entry rejects requests until it has received its quota of the slots. */
const MAXIMUM_REJECTIONS = 40;
const RETRY_DELAY_MS = 250;
const GOAL_BEYOND_ROUND_TRIP_MS = 5;
const IN_FORCE_TIMEOUT_MS = 30_000;

/** Entry and the only backend server of a service that is requested only through this entry. */
type EntryServerPair = {
    readonly entry: PlannedInstance;
    readonly serverRegion: string;
    readonly service: string;
    readonly caller: Caller;
    stop(): Promise<void>;
};

type Combination = { readonly pair: EntryServerPair; readonly group: string; readonly leaderRegion: string };

/** Latencies in milliseconds, in the order of the requests. */
type Latencies = { readonly idempotent: number[]; readonly runOnce: number[]; rejections: number };

/** First entry of each region. */
const entriesByRegion = (plan: DeploymentPlan) =>
    plan.regions.map(({ availabilityZones }) =>
        plan.entries.find(({ availabilityZone }) => availabilityZones.includes(availabilityZone))!
    );

/** Starts a backend server behind a proxy that adds the latency of the plan between it and the entry. */
async function startPair(
    deployment: Deployment,
    entry: PlannedInstance,
    serverRegion: string,
): Promise<EntryServerPair> {
    const { plan } = deployment;
    const availabilityZone = plan.regions.find(({ name }) => name === serverRegion)!.availabilityZones[0]!;
    const service = `${entry.name}-${serverRegion}`;
    await applyResource(createApiClient({ servers: [...deployment.operatorAddresses.values()] }), {
        kind: ResourceKind.Service,
        name: service,
        spec: {
            availabilityZones: [availabilityZone],
            slotsPerBackendServer: SLOTS_PER_BACKEND_SERVER,
            classes: [{ method: "GET", class: RequestClass.Idempotent }],
            defaultClass: RequestClass.RunOnce,
        },
    });
    const proxies: { close(): Promise<void> }[] = [];
    const server = await startBackendServer({
        service,
        name: `${service}-1`,
        availabilityZone,
        slots: SLOTS_PER_BACKEND_SERVER,
        serviceMilliseconds: SERVICE_TIME_MS,
        keepsRecords: false,
        entries: [...deployment.callerUrls.values()],
        openForwarder: async targetPort => {
            const proxy = await startFaultProxy({ clock: createSystemClock(), targetPort });
            proxy.setFaults({ delayMilliseconds: latencyBetween(plan, entry.availabilityZone, availabilityZone) });
            proxies.push(proxy);
            return proxy.port;
        },
    });
    const caller = createCaller({ service, entries: [deployment.callerUrls.get(entry.name)!] });
    return {
        entry,
        serverRegion,
        service,
        caller,
        stop: async () => {
            await Promise.all([caller.close(), server.stop(), ...proxies.map(proxy => proxy.close())]);
        },
    };
}

/** Generates an idempotency key whose records the given group keeps. */
function makeKeyOfGroup(groups: readonly string[], group: string): string {
    for (;;) {
        const key = makeIdempotencyKey();
        if (selectGroup(groups, key) === group) {
            return key;
        }
    }
}

/** Retries a rejected request until it runs, and returns the latency of the attempt that ran in milliseconds. */
async function sendUntilRun(
    caller: Caller,
    makeHeaders: () => Record<string, string> | undefined,
    latencies: Latencies,
) {
    for (let rejections = 0; rejections < MAXIMUM_REJECTIONS; rejections += 1) {
        const headers = makeHeaders();
        const response = await caller.send({ id: "run-once", method: headers === undefined ? "GET" : "POST", headers });
        if (response.status === 200) {
            return response.milliseconds;
        }
        if (response.status !== 503) {
            throw new Error(
                `A request failed with ${response.status} ${response.outcome} ${response.reason} ${response.error}.`,
            );
        }
        latencies.rejections += 1;
        await delay(RETRY_DELAY_MS);
    }
    throw new Error("All attempts of a request were rejected.");
}

async function measureCombination(
    { pair, group }: Combination,
    groups: readonly string[],
    requests: number,
): Promise<Latencies> {
    const latencies: Latencies = { idempotent: [], runOnce: [], rejections: 0 };
    for (let index = -WARM_UP_REQUESTS; index < requests; index += 1) {
        const idempotent = await sendUntilRun(pair.caller, () => undefined, latencies);
        const runOnce = await sendUntilRun(
            pair.caller,
            () => ({ "idempotency-key": makeKeyOfGroup(groups, group) }),
            latencies,
        );
        if (index >= 0) {
            latencies.idempotent.push(idempotent);
            latencies.runOnce.push(runOnce);
        }
    }
    return latencies;
}

async function findLeaderRegion(deployment: Deployment, group: string): Promise<string> {
    const { voters } = deployment.plan.runOnceGroups.find(({ name }) => name === group)!;
    const leader = await waitFor("the leader of a run-once group", async () => {
        const status = await readControlStatus(deployment, voters[0]!);
        return status.groups.find(({ groupId }) => groupId.endsWith(group))?.leader;
    });
    const zone = deployment.plan.controlInstances.find(({ name }) => name === leader)!.availabilityZone;
    return getRegion(deployment.plan, zone);
}

const addedLatency = (fraction: number, { idempotent, runOnce }: Latencies) =>
    runOnce.length === 0 ? undefined : computePercentile(runOnce, fraction)! - computePercentile(idempotent, fraction)!;

function combinationFigures(
    { pair, leaderRegion }: Combination,
    latencies: Latencies,
    plan: DeploymentPlan,
): readonly Figure[] {
    const entryRegion = getRegion(plan, pair.entry.availabilityZone);
    const name = `entry ${entryRegion}, leader ${leaderRegion}, backend server ${pair.serverRegion}`;
    const goal = atMost(2 * plan.betweenRegionsMilliseconds + GOAL_BEYOND_ROUND_TRIP_MS);
    return [
        { name: `${name}: added latency, p50`, value: addedLatency(0.5, latencies), unit: "ms" },
        { name: `${name}: added latency, p99`, value: addedLatency(0.99, latencies), unit: "ms", goal },
    ];
}

/** Runs the run-once experiment: all combinations concurrently, each with one request at a time. */
export const runRunOnceExperiment = ({ plan, requests }: RunOnceExperimentOptions): Promise<Report> =>
    withDeployment(plan, async deployment => {
        const groups = plan.runOnceGroups.map(({ name }) => name);
        const pairs: EntryServerPair[] = [];
        try {
            for (const entry of entriesByRegion(plan)) {
                for (const { name } of plan.regions) {
                    pairs.push(await startPair(deployment, entry, name));
                }
            }
            const client = createApiClient({ servers: [...deployment.operatorAddresses.values()] });
            await waitUntilInForce(client, ResourceKind.Service, pairs.at(-1)!.service, IN_FORCE_TIMEOUT_MS);
            const leaderRegions = await Promise.all(groups.map(group => findLeaderRegion(deployment, group)));
            const combinations = pairs.flatMap(pair =>
                groups.map((group, index): Combination => ({ pair, group, leaderRegion: leaderRegions[index]! }))
            );
            const latencies = await Promise.all(
                combinations.map(combination => measureCombination(combination, groups, requests)),
            );
            const figures = combinations.flatMap((combination, index) =>
                combinationFigures(combination, latencies[index]!, plan)
            );
            const missed = figures.filter(figure => evaluateGoal(figure) === Verdict.Missed).length;
            return {
                name: `run-once-${plan.name}`,
                command: `npm run bench -- run-once --plan ${plan.name} --requests ${requests}`,
                figures,
                notes: [
                    `${requests} requests of each class for each combination, alternating; ${missed} of `
                    + `${combinations.length} combinations miss the goal.`,
                    `Rejected and retried: ${latencies.reduce((sum, measured) => sum + measured.rejections, 0)}.`,
                ],
                charts: [],
                deadProcesses: findDeadProcesses(deployment),
            };
        }
        finally {
            await Promise.all(pairs.map(pair => pair.stop()));
        }
    });
