/**
 * Time until accepted changes are in force, time to commit them, and time without a leader after its loss.
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
import { medianOf, summarize } from "../report/statistics.js";
import {
    atMost,
    findDeadProcesses,
    findLeader,
    percentileFigures,
    readControlStatus,
    waitFor,
    withDeployment,
} from "./experiment.js";

export type InForceExperimentOptions = {
    readonly plan: DeploymentPlan;
    readonly changes: number;
    readonly repeats: number;
};

const POLL_MS = 2;
/** Longest pause between changes. Without random pauses they would all fall at one point of the renewal interval. */
const LONGEST_PAUSE_MS = 500;
const SEED = 1;
const CHANGE_TIMEOUT_MS = 10_000;
/** A change sent while there is no leader waits in the instance; new ones are sent beside it. */
const PROBE_INTERVAL_MS = 25;
const PROBE_TIMEOUT_MS = 4_000;
const FSYNCS = 100;
const CHANGE_BYTES = 300;
const GOAL_IN_FORCE_MS = 1_000;
const GOAL_FAIL_OVER_MS = 3_000;

let changeCount = 0;

/** Declares a new region at one instance; returns its path, or undefined when it was not accepted. */
async function declareRegion(deployment: Deployment, instance: string, timeoutMilliseconds: number) {
    changeCount += 1;
    const path = `/v1/regions/bench-${changeCount}`;
    const answer = await request(`http://${deployment.operatorAddresses.get(instance)!}${path}`, {
        method: "PUT",
        headers: { "content-type": "application/json", "request-id": randomUUID() },
        body: JSON.stringify({ spec: { links: [] }, revision: 0 }),
        signal: AbortSignal.timeout(timeoutMilliseconds),
    });
    await answer.body.dump();
    return answer.statusCode === 201 ? path : undefined;
}

async function isInForce(deployment: Deployment, instance: string, path: string): Promise<true | undefined> {
    const answer = await request(`http://${deployment.operatorAddresses.get(instance)!}${path}`, {
        signal: AbortSignal.timeout(CHANGE_TIMEOUT_MS),
    });
    const body = await answer.body.json() as { status: { conditions: { type: string; status: string }[] } };
    return body.status.conditions.some(({ type, status }) => type === "InForce" && status === "True") || undefined;
}

function measureFsync(): readonly number[] {
    const folder = mkdtempSync(join(tmpdir(), "hyssopfront-fsync-"));
    const file = openSync(join(folder, "file"), "w");
    const times = Array.from({ length: FSYNCS }, () => {
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
        // Every second change goes to the leader, the others to the followers in turn.
        const target = index % 2 === 0 ? leader : names.filter(name => name !== leader)[index % (names.length - 1)]!;
        const startedAt = performance.now();
        const path = await declareRegion(deployment, target, CHANGE_TIMEOUT_MS);
        const acceptedAt = performance.now();
        if (path === undefined) {
            throw new Error(`Change ${index} was not accepted by ${target}.`);
        }
        (target === leader ? times.commitAtLeader : times.commitAtFollower).push(acceptedAt - startedAt);
        await waitFor("The change in force", () => isInForce(deployment, leader, path), POLL_MS);
        times.inForce.push(performance.now() - acceptedAt);
        await delay(random() * LONGEST_PAUSE_MS);
    }
    return times;
}

/** Time from now until one of the instances accepts a change. */
async function waitForAcceptedChange(deployment: Deployment, survivors: readonly string[]): Promise<number> {
    const startedAt = performance.now();
    let probes = 0;
    let acceptedAt: number | undefined;
    await waitFor("An accepted change", () => {
        const target = survivors[probes % survivors.length]!;
        probes += 1;
        void declareRegion(deployment, target, PROBE_TIMEOUT_MS)
            .then(path => {
                acceptedAt ??= path === undefined ? undefined : performance.now();
            })
            .catch(() => undefined);
        return Promise.resolve(acceptedAt);
    }, PROBE_INTERVAL_MS);
    return acceptedAt! - startedAt;
}

/** Waits until an instance follows the leader and has applied as much as it. */
const waitUntilCaughtUp = (deployment: Deployment, instance: string, leader: string) =>
    waitFor("The instance that returns", async () => {
        const [own, leading] = await Promise.all([instance, leader].map(name => readControlStatus(deployment, name)));
        const mainGroup = (groups: typeof own) => groups!.groups.find(({ groupId }) => groupId === "main");
        const isLevel = mainGroup(own)!.appliedIndex >= mainGroup(leading)!.appliedIndex;
        const isSettled = leading!.inForce !== undefined
            && leading!.inForce.revision === leading!.inForce.configurationRevision;
        return isLevel && isSettled ? true : undefined;
    }, 100);

async function measureFailOver(
    deployment: Deployment,
    repeats: number,
    lose: (leader: string) => Promise<void>,
    restore: (leader: string) => Promise<void>,
): Promise<readonly number[]> {
    const names = deployment.plan.controlInstances.map(({ name }) => name);
    const times: number[] = [];
    for (let repeat = 0; repeat < repeats; repeat += 1) {
        const leader = await findLeader(deployment, names);
        const survivors = names.filter(name => name !== leader);
        await lose(leader);
        times.push(await waitForAcceptedChange(deployment, survivors));
        await restore(leader);
        await waitUntilCaughtUp(deployment, leader, await findLeader(deployment, survivors));
    }
    return times;
}

/** Runs the experiment. */
export const runInForceExperiment = (options: InForceExperimentOptions): Promise<Report> =>
    withDeployment(options.plan, async deployment => {
        const fsync = measureFsync();
        const changes = await measureChanges(deployment, options.changes);
        const afterKill = await measureFailOver(
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
        const afterIsolation = await measureFailOver(
            deployment,
            options.repeats,
            leader => setFlow(leader, Flow.Held),
            leader => setFlow(leader, Flow.Open),
        );
        const { plan } = options;
        const roundTrip = 2 * plan.betweenRegionsMilliseconds;
        const commitGoal = atMost(roundTrip + medianOf(fsync)!);
        const worst = (name: string, times: readonly number[]) => [
            { name: `${name}, median`, value: medianOf(times), unit: "ms" },
            {
                name: `${name}, longest of ${times.length}`,
                value: summarize(times).maximum,
                unit: "ms",
                goal: atMost(GOAL_FAIL_OVER_MS),
            },
        ];
        return {
            name: `in-force-${plan.name}`,
            command:
                `npm run bench -- in-force --plan ${plan.name} --changes ${options.changes} --repeats ${options.repeats}`,
            figures: [
                ...percentileFigures("accepted to in force", summarize(changes.inForce), "ms", {
                    p99: atMost(GOAL_IN_FORCE_MS),
                }),
                ...percentileFigures("commit sent to the leader", summarize(changes.commitAtLeader), "ms", {
                    p50: commitGoal,
                }),
                ...percentileFigures("commit sent to a follower", summarize(changes.commitAtFollower), "ms"),
                ...percentileFigures("fsync of 300 bytes", summarize(fsync), "ms"),
                ...worst("fail-over after SIGKILL of the leader", afterKill),
                ...worst("fail-over after isolation of the leader", afterIsolation),
            ],
            notes: [
                `${plan.entries.length} entries, ${plan.controlInstances.length} control instances, ${options.changes} changes.`,
                "Fail-over counts from the fault to the first accepted change, with its commit.",
                `The goal of a commit is one round trip between regions (${roundTrip} ms) and the median fsync.`,
            ],
            charts: [{
                title: "Time of each change",
                xLabel: "change",
                yLabel: "ms",
                series: [{ name: "accepted to in force", points: changes.inForce.map((time, index) => [index, time]) }],
            }],
            deadProcesses: findDeadProcesses(deployment),
        };
    });
