/**
 * Time until accepted changes are in force, commit latency, and time to the first accepted change after the failure of
 * the leader.
 */
import { randomUUID } from "node:crypto";
import { closeSync, fsyncSync, mkdtempSync, openSync, rmSync, writeSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import type { Deployment } from "../deployment/deployment.js";
import type { DeploymentPlan } from "../deployment/plan.js";
import { Flow } from "../fault-proxy/fault-proxy.js";
import { createSeededRandom } from "../random/seeded-random.js";
import type { Report } from "../report/report.js";
import { computeMedian, summarize } from "../report/statistics.js";
import {
    atMost,
    findDeadProcesses,
    findLeader,
    percentileFigures,
    readControlStatus,
    waitFor,
    withDeployment,
} from "./experiment.js";

/** Options of the in-force experiment. */
export type InForceExperimentOptions = {
    readonly plan: DeploymentPlan;
    /** Number of changes whose commit and time until in force are measured. */
    readonly changes: number;
    /** Number of failures of each kind: kill and isolation of the leader. */
    readonly repeats: number;
};

const POLL_INTERVAL_MS = 2;
/** Without random pauses, all changes would be made at the same phase of the renewal interval. */
const MAXIMUM_PAUSE_MS = 500;
const SEED = 1;
const CHANGE_TIMEOUT_MS = 10_000;
/** A change that is sent while there is no leader waits at the instance, so probes overlap. */
const PROBE_INTERVAL_MS = 25;
const PROBE_TIMEOUT_MS = 4_000;
const FSYNC_COUNT = 100;
const CHANGE_BYTES = 300;
const GOAL_IN_FORCE_MS = 1_000;
const GOAL_FAILOVER_MS = 3_000;

let changeCount = 0;

/** Declares a new region at one instance. Returns its path, or undefined if the change was not accepted. */
async function declareRegion(deployment: Deployment, instance: string, timeoutMilliseconds: number) {
    changeCount += 1;
    const path = `/v1/regions/bench-${changeCount}`;
    const response = await request(`http://${deployment.operatorAddresses.get(instance)!}${path}`, {
        method: "PUT",
        headers: { "content-type": "application/json", "request-id": randomUUID() },
        body: JSON.stringify({ spec: { links: [] }, revision: 0 }),
        signal: AbortSignal.timeout(timeoutMilliseconds),
    });
    await response.body.dump();
    return response.statusCode === 201 ? path : undefined;
}

async function isInForce(deployment: Deployment, instance: string, path: string): Promise<true | undefined> {
    const response = await request(`http://${deployment.operatorAddresses.get(instance)!}${path}`, {
        signal: AbortSignal.timeout(CHANGE_TIMEOUT_MS),
    });
    const body = await response.body.json() as { status: { conditions: { type: string; status: string }[] } };
    return body.status.conditions.some(({ type, status }) => type === "InForce" && status === "True") || undefined;
}

function measureFsyncs(): readonly number[] {
    const folder = mkdtempSync(join(tmpdir(), "hyssopfront-fsync-"));
    const file = openSync(join(folder, "file"), "w");
    const times = Array.from({ length: FSYNC_COUNT }, () => {
        const startedAt = performance.now();
        writeSync(file, Buffer.alloc(CHANGE_BYTES));
        fsyncSync(file);
        return performance.now() - startedAt;
    });
    closeSync(file);
    rmSync(folder, { recursive: true });
    return times;
}

type ChangeTimes = {
    readonly commitAtLeader: number[];
    readonly commitAtFollower: number[];
    readonly inForce: number[];
};

async function measureChanges(deployment: Deployment, changes: number): Promise<ChangeTimes> {
    const names = deployment.plan.controlInstances.map(({ name }) => name);
    const leader = await findLeader(deployment, names);
    const random = createSeededRandom(SEED);
    const times: ChangeTimes = { commitAtLeader: [], commitAtFollower: [], inForce: [] };
    for (let index = 0; index < changes; index += 1) {
        // Alternates between the leader and the followers, which take turns.
        const target = index % 2 === 0 ? leader : names.filter(name => name !== leader)[index % (names.length - 1)]!;
        const startedAt = performance.now();
        const path = await declareRegion(deployment, target, CHANGE_TIMEOUT_MS);
        const acceptedAt = performance.now();
        if (path === undefined) {
            throw new Error(`Change ${index} was not accepted by ${target}.`);
        }
        (target === leader ? times.commitAtLeader : times.commitAtFollower).push(acceptedAt - startedAt);
        await waitFor("the change to be in force", () => isInForce(deployment, leader, path), POLL_INTERVAL_MS);
        times.inForce.push(performance.now() - acceptedAt);
        await delay(random() * MAXIMUM_PAUSE_MS);
    }
    return times;
}

/** Measures the time in milliseconds until one of the instances accepts a change. */
async function waitForAcceptedChange(deployment: Deployment, survivors: readonly string[]): Promise<number> {
    const startedAt = performance.now();
    let probes = 0;
    let acceptedAt: number | undefined;
    await waitFor("an accepted change", () => {
        const instance = survivors[probes % survivors.length]!;
        probes += 1;
        void declareRegion(deployment, instance, PROBE_TIMEOUT_MS)
            .then(path => {
                acceptedAt ??= path === undefined ? undefined : performance.now();
            })
            .catch(() => undefined);
        return Promise.resolve(acceptedAt);
    }, PROBE_INTERVAL_MS);
    return acceptedAt! - startedAt;
}

/** Waits until an instance has applied as much as the leader and the latest revision is in force. */
const waitUntilCaughtUp = (deployment: Deployment, instance: string, leader: string) =>
    waitFor("the recovered instance to catch up", async () => {
        const [instanceStatus, leaderStatus] = await Promise.all(
            [instance, leader].map(name => readControlStatus(deployment, name)),
        );
        const mainGroup = (status: typeof instanceStatus) => status!.groups.find(({ groupId }) => groupId === "main");
        const hasAppliedAll = mainGroup(instanceStatus)!.appliedIndex >= mainGroup(leaderStatus)!.appliedIndex;
        const isSettled = leaderStatus!.inForce !== undefined
            && leaderStatus!.inForce.revision === leaderStatus!.inForce.configurationRevision;
        return hasAppliedAll && isSettled ? true : undefined;
    }, 100);

async function measureFailover(
    deployment: Deployment,
    repeats: number,
    failLeader: (leader: string) => Promise<void>,
    recoverLeader: (leader: string) => Promise<void>,
): Promise<readonly number[]> {
    const names = deployment.plan.controlInstances.map(({ name }) => name);
    const times: number[] = [];
    for (let repeat = 0; repeat < repeats; repeat += 1) {
        const leader = await findLeader(deployment, names);
        const survivors = names.filter(name => name !== leader);
        await failLeader(leader);
        times.push(await waitForAcceptedChange(deployment, survivors));
        await recoverLeader(leader);
        await waitUntilCaughtUp(deployment, leader, await findLeader(deployment, survivors));
    }
    return times;
}

/** Runs the in-force experiment. */
export const runInForceExperiment = (options: InForceExperimentOptions): Promise<Report> =>
    withDeployment(options.plan, async deployment => {
        const fsync = measureFsyncs();
        const changes = await measureChanges(deployment, options.changes);
        const afterKill = await measureFailover(
            deployment,
            options.repeats,
            async leader => {
                await deployment.signal(leader, "SIGKILL");
            },
            leader => deployment.start(leader),
        );
        const setFlow = (instance: string, flow: Flow) =>
            Promise.resolve(
                deployment.setFaults(
                    ({ from, to }) => from?.name === instance || to.name === instance,
                    { toServer: flow, toClient: flow },
                ),
            );
        const afterIsolation = await measureFailover(
            deployment,
            options.repeats,
            leader => setFlow(leader, Flow.Held),
            leader => setFlow(leader, Flow.Open),
        );
        const { plan } = options;
        const roundTrip = 2 * plan.betweenRegionsMilliseconds;
        const commitGoal = atMost(roundTrip + computeMedian(fsync)!);
        const failoverFigures = (name: string, times: readonly number[]) => [
            { name: `${name}, median`, value: computeMedian(times), unit: "ms" },
            {
                name: `${name}, longest of ${times.length}`,
                value: summarize(times).maximum,
                unit: "ms",
                goal: atMost(GOAL_FAILOVER_MS),
            },
        ];
        return {
            name: `in-force-${plan.name}`,
            command:
                `npm run bench -- in-force --plan ${plan.name} --changes ${options.changes} --repeats ${options.repeats}`,
            figures: [
                ...percentileFigures("time from accepted to in force", summarize(changes.inForce), "ms", {
                    p99: atMost(GOAL_IN_FORCE_MS),
                }),
                ...percentileFigures("commit of a change sent to the leader", summarize(changes.commitAtLeader), "ms", {
                    p50: commitGoal,
                }),
                ...percentileFigures(
                    "commit of a change sent to a follower",
                    summarize(changes.commitAtFollower),
                    "ms",
                ),
                ...percentileFigures("fsync of 300 bytes", summarize(fsync), "ms"),
                ...failoverFigures("failover after SIGKILL of the leader", afterKill),
                ...failoverFigures("failover after isolation of the leader", afterIsolation),
            ],
            notes: [
                `${plan.entries.length} entries, ${plan.controlInstances.length} control instances, ${options.changes} changes.`,
                "Failover lasts from the failure to the first accepted change, including its commit.",
                `The goal of a commit is one round trip between regions (${roundTrip} ms) plus the median fsync.`,
            ],
            charts: [{
                title: "Time of each change",
                xLabel: "change",
                yLabel: "ms",
                series: [{
                    name: "time from accepted to in force",
                    points: changes.inForce.map((time, index) => [index, time]),
                }],
            }],
            deadProcesses: findDeadProcesses(deployment),
        };
    });
