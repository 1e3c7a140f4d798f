/**
 * Helpers of all experiments: a deployment that runs as long as the experiment, polling, status and figures.
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { type Deployment, prepareDeployment } from "../deployment/deployment.js";
import type { DeploymentPlan, PlannedInstance } from "../deployment/plan.js";
import type { Figure, Goal, GoalKind } from "../report/report.js";
import type { Summary } from "../report/statistics.js";

/** Far above the duration of any step; fails a run that hangs. */
const WAIT_TIMEOUT_MS = 30_000;

/** Control instances and entries of a plan. */
export const allInstances = (plan: DeploymentPlan): readonly PlannedInstance[] => [
    ...plan.controlInstances,
    ...plan.entries,
];

/** Starts all instances of a plan, declares the plan, runs the experiment and stops everything, also after an error. */
export async function withDeployment<T>(
    plan: DeploymentPlan,
    experiment: (deployment: Deployment) => Promise<T>,
): Promise<T> {
    const folder = mkdtempSync(join(tmpdir(), "hyssopfront-bench-"));
    const deployment = await prepareDeployment(plan, folder);
    try {
        await Promise.all(plan.controlInstances.map(({ name }) => deployment.start(name)));
        await Promise.all(plan.entries.map(({ name }) => deployment.start(name)));
        await deployment.applyPlan();
        return await experiment(deployment);
    }
    finally {
        await deployment.stop();
        rmSync(folder, { recursive: true, force: true });
    }
}

/** Instances whose process is not running. Only meaningful before the deployment is stopped. */
export const findDeadProcesses = (deployment: Deployment): readonly string[] =>
    allInstances(deployment.plan).map(({ name }) => name)
        .filter(name => deployment.getProcess(name)?.isRunning !== true);

/**
 * Polls until there is a result. A rejection of `poll` counts as no result.
 *
 * @param description What is waited for, such as "a leader", for the message of the error.
 * @throws Error after 30 s.
 */
export async function waitFor<T>(
    description: string,
    poll: () => Promise<T | undefined>,
    intervalMilliseconds = 20,
): Promise<T> {
    const deadline = performance.now() + WAIT_TIMEOUT_MS;
    for (;;) {
        const result = await poll().catch(() => undefined);
        if (result !== undefined) {
            return result;
        }
        if (performance.now() > deadline) {
            throw new Error(`Waiting for ${description} timed out after ${WAIT_TIMEOUT_MS / 1_000} s.`);
        }
        await delay(intervalMilliseconds);
    }
}

/** Fields of the status of a control instance that experiments read. */
export type ControlStatus = {
    readonly inForce?: { readonly leader: string; readonly revision: number; readonly configurationRevision: number };
    readonly groups: readonly {
        readonly groupId: string;
        readonly role: string;
        readonly leader?: string;
        readonly appliedIndex: number;
    }[];
};

const STATUS_TIMEOUT_MS = 2_000;

/** Reads the status of a control instance at its operator address. */
export async function readControlStatus(deployment: Deployment, instance: string): Promise<ControlStatus> {
    const response = await request(`http://${deployment.operatorAddresses.get(instance)!}/v1/status`, {
        signal: AbortSignal.timeout(STATUS_TIMEOUT_MS),
    });
    return await response.body.json() as ControlStatus;
}

/** Waits until one of the control instances reports a leader of the main group, and returns its name. */
export const findLeader = (deployment: Deployment, instances: readonly string[]): Promise<string> =>
    waitFor("a leader", async () => {
        const statuses = await Promise.all(
            instances.map(name => readControlStatus(deployment, name).catch(() => undefined)),
        );
        return statuses.find(status => status?.inForce !== undefined)?.inForce?.leader;
    });

/** Creates the figures of the p50 and p99 of a summary. */
export const percentileFigures = (
    name: string,
    { p50, p99 }: Summary,
    unit: string,
    goals: { p50?: Goal; p99?: Goal } = {},
) => [
    { name: `${name}, p50`, value: p50, unit, goal: goals.p50 },
    { name: `${name}, p99`, value: p99, unit, goal: goals.p99 },
] satisfies readonly Figure[];

/** Creates a goal that a figure meets if it does not exceed the value. */
export const atMost = (value: number): Goal => ({ kind: "atMost" as GoalKind.AtMost, value });
/** Creates a goal that a figure meets if it is not below the value. */
export const atLeast = (value: number): Goal => ({ kind: "atLeast" as GoalKind.AtLeast, value });
