/**
 * A complete deployment under load whose history is recorded and checked.
 */
import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import type { BackendServerOptions } from "../backend-server/backend-server.js";
import { checkHistory } from "../checker/check-history.js";
import type { CapRecord, DepartureRecord, History } from "../checker/history.js";
import { type Deployment, prepareDeployment } from "../deployment/deployment.js";
import type { DeploymentPlan } from "../deployment/plan.js";
import type { LinkEndpoint } from "../deployment/region-links.js";
import { Flow } from "../fault-proxy/fault-proxy.js";
import { createSeededRandom } from "../random/seeded-random.js";
import { type Load, LoadKind, type LoadOptions, startLoad } from "./load.js";
import {
    observeEntries,
    type Operator,
    type OperatorRecords,
    readEntryStatus,
    readObject,
    startOperator,
} from "./operators.js";

/** Default timeout of waits for states that must be reached; far longer than they take. */
const DEFAULT_TIMEOUT_MS = 40_000;
const POLL_INTERVAL_MS = 50;

/** Polls until the function returns a value; rejects after the timeout with the description. */
export async function waitFor<T>(
    description: string | (() => string),
    poll: () => Promise<T | undefined> | T | undefined,
    timeoutMilliseconds = DEFAULT_TIMEOUT_MS,
): Promise<T> {
    const deadline = performance.now() + timeoutMilliseconds;
    for (;;) {
        const found = await poll();
        if (found !== undefined) {
            return found;
        }
        if (performance.now() >= deadline) {
            const text = typeof description === "string" ? description : description();
            throw new Error(`Timed out after ${timeoutMilliseconds / 1_000} s waiting for ${text}.`);
        }
        await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
    }
}

/** Polls until the condition holds; rejects after the timeout with the description. */
export const waitUntil = (
    description: string | (() => string),
    condition: () => boolean | Promise<boolean>,
    timeoutMilliseconds?: number,
) => waitFor(description, async () => await condition() || undefined, timeoutMilliseconds);

export type ScenarioWorld = {
    readonly deployment: Deployment;
    readonly folder: string;
    readonly records: OperatorRecords;
    readonly departures: DepartureRecord[];
    readonly caps: CapRecord[];
    readonly loads: readonly Load[];
    readonly operators: readonly Operator[];
    startLoad(options?: Partial<LoadOptions>): Load;
    /** Starts a load of one kind at one entry without retries. */
    startLoadAt(entry: string, kind: LoadKind, requestsPerSecond: number): Load;
    /** Drops all traffic between an instance and the other instances. Backend servers and callers still reach it. */
    cutOff(instance: string): void;
    /** Starts an operator that changes the given region, or a region of its own. */
    startOperator(object?: string): Operator;
    /** Returns the name of the running leader of the main control group, waiting for one other than those given. */
    findLeader(except?: readonly string[]): Promise<string>;
    /**
     * Resolves when each entry holds a view lease and knows all backend servers, and the floor slots of each of them
     * are granted. An entry that is disconnected from control earlier has no floor slots, which section 3.8 of the
     * design page allows.
     */
    waitUntilEntriesReady(): Promise<void>;
    /** Resolves when the entry holds a view lease, or when it holds none if `isHeld` is false. */
    waitForViewLease(entry: string, isHeld: boolean): Promise<void>;
    /** Stops loads and operators, reads all changed resources at all running control instances, checks the history. */
    stopAndCheck(): Promise<History>;
    close(): Promise<void>;
};

type ControlStatus = { readonly groups: readonly { readonly groupId: string; readonly role: string }[] };

/** Reads the status of a control instance; undefined without a successful response. */
export async function readControlStatus(address: string): Promise<ControlStatus & Record<string, unknown> | undefined> {
    try {
        const response = await request(`http://${address}/v1/status`, { signal: AbortSignal.timeout(3_000) });
        return response.statusCode === 200
            ? await response.body.json() as ControlStatus & Record<string, unknown>
            : undefined;
    }
    catch {
        return undefined;
    }
}

/** Starts all processes of the plan, applies its resources and starts backend servers. */
export async function startScenarioWorld(
    plan: DeploymentPlan,
    backendServersPerService: number,
    backendOptions: Partial<BackendServerOptions> = {},
): Promise<ScenarioWorld> {
    const folder = mkdtempSync(join(tmpdir(), "scenario-"));
    const deployment = await prepareDeployment(plan, folder);
    const records: OperatorRecords = { changes: [], reads: [] };
    const departures: DepartureRecord[] = [];
    const caps: CapRecord[] = [];
    const loads: Load[] = [];
    const operators: Operator[] = [];
    const zones = plan.regions.flatMap(region => region.availabilityZones);
    const close = async () => {
        await Promise.all(loads.map(load => load.close()));
        await Promise.all(operators.map(operator => operator.stop()));
        await Promise.all(observers.map(observer => observer.stop()));
        await deployment.stop();
        rmSync(folder, { recursive: true, force: true });
    };
    const observers: ReturnType<typeof observeEntries>[] = [];
    try {
        await Promise.all([...plan.controlInstances, ...plan.entries].map(({ name }) => deployment.start(name)));
        await deployment.applyPlan();
        const serviceMilliseconds = () => 2 + 10 * random();
        const random = createSeededRandom(1);
        await deployment.startBackendServers(
            { serviceMilliseconds, runsWhileLeaving: true, ...backendOptions },
            backendServersPerService,
        );
    }
    catch (error) {
        await close();
        throw error;
    }
    const observer = observeEntries(deployment.adminUrls);
    observers.push(observer);

    const waitUntilEntriesReady = async () => {
        const areReady = async () => {
            const statuses = await Promise.all(
                plan.entries.map(({ name }) => readEntryStatus(deployment.adminUrls.get(name)!)),
            );
            const expected = deployment.backendServers.filter(server => !server.announcer.isWithdrawn).length;
            const known = statuses.map(status => Object.values(status?.backendServers ?? {}).flat());
            const withFloor = new Set(known.flat().filter(({ floorSlots }) => floorSlots > 0).map(({ name }) => name));
            return statuses.every(status => status?.holdsViewLease === true)
                && known.every(({ length }) => length >= expected) && withFloor.size >= expected;
        };
        await waitUntil(
            "every entry to hold a view lease and know all backend servers, and all floor slots to be granted",
            areReady,
        );
    };

    const waitForViewLease = async (entry: string, isHeld: boolean) => {
        await waitUntil(`${entry} to hold ${isHeld ? "a" : "no"} view lease`, async () => {
            const status = await readEntryStatus(deployment.adminUrls.get(entry)!);
            return status?.holdsViewLease === isHeld;
        });
    };

    const findLeader = (except: readonly string[] = []) =>
        waitFor("a control leader", async () => {
            const statuses = await Promise.all(
                [...deployment.operatorAddresses]
                    .filter(([name]) => !except.includes(name) && deployment.getProcess(name)?.isRunning === true)
                    .map(async ([name, address]) => [name, await readControlStatus(address)] as const),
            );
            return statuses.find(([, status]) => status?.groups[0]?.role === "leader")?.[0];
        });

    const stopAndCheck = async (): Promise<History> => {
        await Promise.all(operators.map(operator => operator.stop()));
        await Promise.all(loads.map(load => load.stop()));
        const objects = [...new Set(records.changes.map(change => change.object))];
        for (const [instance, address] of deployment.operatorAddresses) {
            for (const object of deployment.getProcess(instance)?.isRunning === true ? objects : []) {
                await waitFor(
                    `a read of ${object} at ${instance}`,
                    () => readObject(records, instance, address, object),
                );
            }
        }
        const history: History = {
            attempts: loads.flatMap(load => load.attempts),
            runs: deployment.backendServers.flatMap(({ name, service, availabilityZone, records: ran }) =>
                ran.map(({ id, idempotencyKey, startedAt }) => ({
                    id,
                    key: idempotencyKey,
                    service,
                    backendServer: name,
                    availabilityZone,
                    startedAt,
                }))
            ),
            departures,
            caps,
            changes: records.changes,
            reads: records.reads,
            entries: observer.records,
        };
        const violations = checkHistory(history);
        assert.deepEqual(violations.slice(0, 10), [], `The checker found ${violations.length} violations.`);
        return history;
    };

    const startScenarioLoad = (options: Partial<LoadOptions> = {}) => {
        const [idempotent, runOnce] = plan.services;
        const load = startLoad({
            entries: deployment.callerUrls,
            services: { [LoadKind.Idempotent]: idempotent!.name, [LoadKind.RunOnce]: runOnce!.name },
            availabilityZones: zones,
            requestsPerSecond: 60,
            seed: 1 + loads.length,
            ...options,
        });
        loads.push(load);
        return load;
    };

    return {
        deployment,
        folder,
        records,
        departures,
        caps,
        loads,
        operators,
        startLoad: startScenarioLoad,
        startLoadAt: (entry, kind, requestsPerSecond) =>
            startScenarioLoad({
                kinds: [kind],
                onlyEntries: [deployment.callerUrls.get(entry)!],
                requestsPerSecond,
                retries: false,
            }),
        cutOff: instance => {
            const instances = new Set([...plan.controlInstances, ...plan.entries].map(({ name }) => name));
            const isInstance = ({ name }: LinkEndpoint) => name !== undefined && instances.has(name);
            deployment.partition(
                (from, to) => isInstance(from) && isInstance(to) && (from.name === instance || to.name === instance),
                Flow.Dropped,
            );
        },
        startOperator: (object = `regions/changed-${operators.length + 1}`) => {
            const operator = startOperator(records, deployment.operatorAddresses, object, plan.regions[0]!.name);
            operators.push(operator);
            return operator;
        },
        findLeader,
        waitUntilEntriesReady,
        waitForViewLease,
        stopAndCheck,
        close,
    };
}
