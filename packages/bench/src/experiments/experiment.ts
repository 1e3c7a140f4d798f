/**
 * What all experiments share: a running deployment that ends with them, and a look at its processes.
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

/** Far above the time that any step needs; ends a run that hangs. */
const LONGEST_WAIT_MS = 30_000;

export const allInstances = (plan: DeploymentPlan): readonly PlannedInstance[] => [
    ...plan.controlInstances,
    ...plan.entries,
];

/** Starts all processes of a plan, declares it, runs the experiment and ends everything, also after an error. */
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

/** Instances whose process is not running; ask before the deployment is stopped. */
export const findDeadProcesses = (deployment: Deployment): readonly string[] =>
    allInstances(deployment.plan).map(({ name }) => name)
        .filter(name => deployment.processOf(name)?.isRunning !== true);

/**
 * Repeats a question until it has an answer.
 *
 * @throws Error after 30 s.
 */
export async function waitFor<T>(
    what: string,
    ask: () => Promise<T | undefined>,
    intervalMilliseconds = 20,
): Promise<T> {
    const end = performance.now() + LONGEST_WAIT_MS;
    for (;;) {
        const answer = await ask().catch(() => undefined);
        if (answer !== undefined) {
            return answer;
        }
        if (performance.now() > end) {
            throw new Error(`${what} did not come within ${LONGEST_WAIT_MS / 1_000} s.`);
        }
        await delay(intervalMilliseconds);
    }
}

/** Part of the status of a control instance that experiments read. */
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

export async function readControlStatus(deployment: Deployment, instance: string): Promise<ControlStatus> {
    const answer = await request(`http://${deployment.operatorAddresses.get(instance)!}/v1/status`, {
        signal: AbortSignal.timeout(STATUS_TIMEOUT_MS),
    });
    return await answer.body.json() as ControlStatus;
}

/** Leader of the main group that one of the instances knows and can reach. */
export const findLeader = (deployment: Deployment, among: readonly string[]): Promise<string> =>
    waitFor("A leader", async () => {
        const statuses = await Promise.all(
            among.map(name => readControlStatus(deployment, name).catch(() => undefined)),
        );
        return statuses.find(status => status?.inForce !== undefined)?.inForce?.leader;
    });

/** Figures of the p50 and p99 of a summary. */
export const percentileFigures = (
    name: string,
    { p50, p99 }: Summary,
    unit: string,
    goals: { p50?: Goal; p99?: Goal } = {},
) => [
    { name: `${name}, p50`, value: p50, unit, goal: goals.p50 },
    { name: `${name}, p99`, value: p99, unit, goal: goals.p99 },
] satisfies readonly Figure[];

export const atMost = (value: number): Goal => ({ kind: "atMost" as GoalKind.AtMost, value });
export const atLeast = (value: number): Goal => ({ kind: "atLeast" as GoalKind.AtLeast, value });
