/**
 * A deployment under load whose history is recorded and checked, for scenarios of the whole system.
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

/** Bounds waits for states that must come about; far above what they take. */
const WAIT_MS = 40_000;
const POLL_MS = 50;

/** Polls until the function returns something; fails after the limit. */
export async function waitFor<T>(
    what: string | (() => string),
    poll: () => Promise<T | undefined> | T | undefined,
    limitMilliseconds = WAIT_MS,
): Promise<T> {
    const deadline = performance.now() + limitMilliseconds;
    for (;;) {
        const found = await poll();
        if (found !== undefined) {
            return found;
        }
        if (performance.now() >= deadline) {
            const wanted = typeof what === "string" ? what : what();
            throw new Error(`Waited ${limitMilliseconds / 1_000} s in vain for ${wanted}.`);
        }
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
}

/** Polls until the condition holds. */
export const waitUntil = (
    what: string | (() => string),
    condition: () => boolean | Promise<boolean>,
    limitMilliseconds?: number,
) => waitFor(what, async () => await condition() || undefined, limitMilliseconds);

export type ScenarioWorld = {
    readonly deployment: Deployment;
    readonly folder: string;
    readonly records: OperatorRecords;
    readonly departures: DepartureRecord[];
    readonly caps: CapRecord[];
    readonly loads: readonly Load[];
    readonly operators: readonly Operator[];
    startLoad(options?: Partial<LoadOptions>): Load;
    /** Starts a load of one kind at one entry, of which each request is sent once. */
    startLoadAt(entry: string, kind: LoadKind, requestsPerSecond: number): Load;
    /** Drops what passes between an instance and the other instances; backend servers and callers still reach it. */
    cutOff(instance: string): void;
    /** Starts an operator of one object; without a name, one of its own. */
    startOperator(object?: string): Operator;
    /** Name of the control instance that leads the main group, by those that answer, without the given ones. */
    leader(without?: readonly string[]): Promise<string>;
    /**
     * Resolves when each entry holds a view lease and knows all backend servers, and the floor of each of them is granted:
     * an entry that loses control before has no floor, as section 3.8 of the design page allows.
     */
    waitForEntries(): Promise<void>;
    /** Resolves when the entry holds a view lease, or holds none. */
    waitForViewLease(entry: string, isHeld: boolean): Promise<void>;
    /** Stops loads and operators, reads every changed object at all running control instances and checks the history. */
    finish(): Promise<History>;
    close(): Promise<void>;
};

type Status = { readonly groups: readonly { readonly groupId: string; readonly role: string }[] };

/** State of a control instance; undefined when it does not answer. */
export async function readControlStatus(address: string): Promise<Status & Record<string, unknown> | undefined> {
    try {
        const answer = await request(`http://${address}/v1/status`, { signal: AbortSignal.timeout(3_000) });
        return answer.statusCode === 200 ? await answer.body.json() as Status & Record<string, unknown> : undefined;
    }
    catch {
        return undefined;
    }
}

/** Starts all processes of the plan, declares it and starts backend servers. */
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
        await Promise.all(observing.map(observer => observer.stop()));
        await deployment.stop();
        rmSync(folder, { recursive: true, force: true });
    };
    const observing: ReturnType<typeof observeEntries>[] = [];
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
    observing.push(observer);

    const waitForEntries = async () => {
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
        await waitUntil("every entry to hold a view lease, and to know all backend servers and its floors", areReady);
    };

    const waitForViewLease = async (entry: string, isHeld: boolean) => {
        await waitUntil(`${entry} to hold ${isHeld ? "a" : "no"} view lease`, async () => {
            const status = await readEntryStatus(deployment.adminUrls.get(entry)!);
            return status?.holdsViewLease === isHeld;
        });
    };

    const leader = (without: readonly string[] = []) =>
        waitFor("a control leader", async () => {
            const statuses = await Promise.all(
                [...deployment.operatorAddresses]
                    .filter(([name]) => !without.includes(name) && deployment.processOf(name)?.isRunning === true)
                    .map(async ([name, address]) => [name, await readControlStatus(address)] as const),
            );
            return statuses.find(([, status]) => status?.groups[0]?.role === "leader")?.[0];
        });

    const finish = async (): Promise<History> => {
        await Promise.all(operators.map(operator => operator.stop()));
        await Promise.all(loads.map(load => load.stop()));
        const objects = [...new Set(records.changes.map(change => change.object))];
        for (const [instance, address] of deployment.operatorAddresses) {
            for (const object of deployment.processOf(instance)?.isRunning === true ? objects : []) {
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

    const startOwnLoad = (options: Partial<LoadOptions> = {}) => {
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
        startLoad: startOwnLoad,
        startLoadAt: (entry, kind, requestsPerSecond) =>
            startOwnLoad({
                kinds: [kind],
                onlyEntries: [deployment.callerUrls.get(entry)!],
                requestsPerSecond,
                resends: false,
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
        leader,
        waitForEntries,
        waitForViewLease,
        finish,
        close,
    };
}
