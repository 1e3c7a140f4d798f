/**
 * Latency that a run-once request adds over an idempotent one, by the regions of the entry, of the leader of the record
 * group and of the backend server.
 */
import { createSystemClock } from "@hyssopfront/coordination";
import { createApiClient } from "hyssopfront/command-line/http-client.ts";
import { applyResource, waitUntilInForce } from "hyssopfront/command-line/resource-client.ts";
import { RequestClass, ResourceKind } from "hyssopfront/resources/resource.ts";
import { groupOfKey } from "hyssopfront/run-once/run-once-client.ts";
import { setTimeout as delay } from "node:timers/promises";
import { startBackendServer } from "../backend-server/backend-server.js";
import { type Caller, createCaller } from "../caller/caller.js";
import { makeIdempotencyKey } from "../caller/idempotency-key.js";
import type { Deployment } from "../deployment/deployment.js";
import { type DeploymentPlan, latencyBetween, type PlannedInstance, regionOfZone } from "../deployment/plan.js";
import { startFaultProxy } from "../fault-proxy/fault-proxy.js";
import { evaluateGoal, type Figure, type Report, Verdict } from "../report/report.js";
import { percentileOf } from "../report/statistics.js";
import { atMost, findDeadProcesses, readControlStatus, waitFor, withDeployment } from "./experiment.js";

export type RunOnceExperimentOptions = { readonly plan: DeploymentPlan; readonly requests: number };

const SERVICE_MS = 5;
const SLOTS = 8;
const WARM_UP_REQUESTS = 5;
/** Refused requests are sent again, at most this often in a row, while the entry waits for its portion of the slots. */
const MAXIMUM_REFUSALS = 40;
const REFUSAL_PAUSE_MS = 250;
const GOAL_BEYOND_ROUND_TRIP_MS = 5;
const IN_FORCE_MS = 30_000;

/** An entry and a backend server of a service that only this entry is asked for. */
type Pair = {
    readonly entry: PlannedInstance;
    readonly region: string;
    readonly service: string;
    readonly caller: Caller;
    stop(): Promise<void>;
};

type Combination = { readonly pair: Pair; readonly group: string; readonly leaderRegion: string };

type Times = { readonly idempotent: number[]; readonly runOnce: number[]; refusals: number };

/** First entry of each region. */
const entriesByRegion = (plan: DeploymentPlan) =>
    plan.regions.map(({ availabilityZones }) =>
        plan.entries.find(({ availabilityZone }) => availabilityZones.includes(availabilityZone))!
    );

/** Starts a backend server behind a proxy with the latency between it and the entry. */
async function openPair(deployment: Deployment, entry: PlannedInstance, region: string): Promise<Pair> {
    const { plan } = deployment;
    const availabilityZone = plan.regions.find(({ name }) => name === region)!.availabilityZones[0]!;
    const service = `${entry.name}-${region}`;
    await applyResource(createApiClient({ servers: [...deployment.operatorAddresses.values()] }), {
        kind: ResourceKind.Service,
        name: service,
        spec: {
            availabilityZones: [availabilityZone],
            slotsPerBackendServer: SLOTS,
            classes: [{ method: "GET", class: RequestClass.Idempotent }],
            defaultClass: RequestClass.RunOnce,
        },
    });
    const proxies: { close(): Promise<void> }[] = [];
    const server = await startBackendServer({
        service,
        name: `${service}-1`,
        availabilityZone,
        slots: SLOTS,
        serviceMilliseconds: SERVICE_MS,
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
        region,
        service,
        caller,
        stop: async () => {
            await Promise.all([caller.close(), server.stop(), ...proxies.map(proxy => proxy.close())]);
        },
    };
}

/** A new key whose records are kept by the group. */
function makeKeyOf(groups: readonly string[], group: string): string {
    for (;;) {
        const key = makeIdempotencyKey();
        if (groupOfKey(groups, key) === group) {
            return key;
        }
    }
}

/** Sends until the request was run, and returns the time of the try that ran. */
async function sendUntilRun(caller: Caller, makeHeaders: () => Record<string, string> | undefined, times: Times) {
    for (let refusals = 0; refusals < MAXIMUM_REFUSALS; refusals += 1) {
        const headers = makeHeaders();
        const told = await caller.send({ id: "run-once", method: headers === undefined ? "GET" : "POST", headers });
        if (told.status === 200) {
            return told.milliseconds;
        }
        if (told.status !== 503) {
            throw new Error(`A request was answered with ${told.status} ${told.outcome} ${told.reason} ${told.error}.`);
        }
        times.refusals += 1;
        await delay(REFUSAL_PAUSE_MS);
    }
    throw new Error("A request was refused all the time.");
}

async function measure({ pair, group }: Combination, groups: readonly string[], requests: number): Promise<Times> {
    const times: Times = { idempotent: [], runOnce: [], refusals: 0 };
    for (let index = -WARM_UP_REQUESTS; index < requests; index += 1) {
        const idempotent = await sendUntilRun(pair.caller, () => undefined, times);
        const runOnce = await sendUntilRun(
            pair.caller,
            () => ({ "idempotency-key": makeKeyOf(groups, group) }),
            times,
        );
        if (index >= 0) {
            times.idempotent.push(idempotent);
            times.runOnce.push(runOnce);
        }
    }
    return times;
}

async function findGroupLeader(deployment: Deployment, group: string): Promise<string> {
    const { voters } = deployment.plan.runOnceGroups.find(({ name }) => name === group)!;
    const leader = await waitFor("The leader of a group", async () => {
        const status = await readControlStatus(deployment, voters[0]!);
        return status.groups.find(({ groupId }) => groupId.endsWith(group))?.leader;
    });
    const zone = deployment.plan.controlInstances.find(({ name }) => name === leader)!.availabilityZone;
    return regionOfZone(deployment.plan, zone);
}

const differenceAt = (share: number, { idempotent, runOnce }: Times) =>
    runOnce.length === 0 ? undefined : percentileOf(runOnce, share)! - percentileOf(idempotent, share)!;

function figuresOf({ pair, leaderRegion }: Combination, times: Times, plan: DeploymentPlan): readonly Figure[] {
    const entryRegion = regionOfZone(plan, pair.entry.availabilityZone);
    const name = `entry ${entryRegion}, leader ${leaderRegion}, backend server ${pair.region}`;
    const goal = atMost(2 * plan.betweenRegionsMilliseconds + GOAL_BEYOND_ROUND_TRIP_MS);
    return [
        { name: `${name}: added, p50`, value: differenceAt(0.5, times), unit: "ms" },
        { name: `${name}: added, p99`, value: differenceAt(0.99, times), unit: "ms", goal },
    ];
}

/** Runs the experiment: all combinations at the same time, each with one request at a time. */
export const runRunOnceExperiment = ({ plan, requests }: RunOnceExperimentOptions): Promise<Report> =>
    withDeployment(plan, async deployment => {
        const groups = plan.runOnceGroups.map(({ name }) => name);
        const pairs: Pair[] = [];
        try {
            for (const entry of entriesByRegion(plan)) {
                for (const { name } of plan.regions) {
                    pairs.push(await openPair(deployment, entry, name));
                }
            }
            const client = createApiClient({ servers: [...deployment.operatorAddresses.values()] });
            await waitUntilInForce(client, ResourceKind.Service, pairs.at(-1)!.service, IN_FORCE_MS);
            const leaders = await Promise.all(groups.map(group => findGroupLeader(deployment, group)));
            const combinations = pairs.flatMap(pair =>
                groups.map((group, index): Combination => ({ pair, group, leaderRegion: leaders[index]! }))
            );
            const times = await Promise.all(combinations.map(one => measure(one, groups, requests)));
            const figures = combinations.flatMap((one, index) => figuresOf(one, times[index]!, plan));
            const missed = figures.filter(figure => evaluateGoal(figure) === Verdict.Missed).length;
            return {
                name: `run-once-${plan.name}`,
                command: `npm run bench -- run-once --plan ${plan.name} --requests ${requests}`,
                figures,
                notes: [
                    `${requests} requests of each class for each combination, in turn; ${missed} of `
                    + `${combinations.length} combinations miss the goal.`,
                    `Refused and sent again: ${times.reduce((sum, one) => sum + one.refusals, 0)}.`,
                ],
                charts: [],
                deadProcesses: findDeadProcesses(deployment),
            };
        }
        finally {
            await Promise.all(pairs.map(pair => pair.stop()));
        }
    });
