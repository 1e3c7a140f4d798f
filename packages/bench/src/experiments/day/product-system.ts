/**
 * Day system that runs the instances of the product as processes of their own.
 */
import { type ApiClient, createApiClient } from "hyssopfront/command-line/http-client.ts";
import {
    applyResource,
    findCondition,
    readResource,
    resourcePath,
    waitUntilInForce,
} from "hyssopfront/command-line/resource-client.ts";
import { ConditionType } from "hyssopfront/operator-api/messages.ts";
import { ResourceKind } from "hyssopfront/resources/resource.ts";
import { request } from "undici";
import { lookUpByHttp } from "../../caller/caller.js";
import type { Deployment } from "../../deployment/deployment.js";
import { getRegion } from "../../deployment/plan.js";
import { allInstances, findDeadProcesses, waitFor } from "../experiment.js";
import type { DaySystem } from "./day-system.js";

const SHIFT_NAME = "evening";
const DRAIN_NAME = "maintenance";
const IN_FORCE_TIMEOUT_MS = 20_000;
const DRAIN_POLL_INTERVAL_MS = 50;

async function removeResource(client: ApiClient, kind: ResourceKind, name: string): Promise<void> {
    const current = await readResource(client, kind, name);
    if (current !== undefined) {
        await client.sendChecked({
            method: "DELETE",
            path: resourcePath(kind, name),
            headers: { "if-match": `"${current.revision}"` },
        });
    }
}

/** Wraps a running deployment, which `stop` does not stop. */
export function createProductSystem(deployment: Deployment): DaySystem {
    const { plan } = deployment;
    const client = createApiClient({ servers: [...deployment.operatorAddresses.values()] });
    const listInstances = (region: string) =>
        allInstances(plan).filter(({ availabilityZone }) => getRegion(plan, availabilityZone) === region)
            .map(({ name }) => name);
    /** Final counters of the processes of entries that an outage stopped. */
    const countersOfStoppedEntries = new Map<string, number>();
    const unexpectedlyDead = new Set<string>();

    const addCounters = async (sums: Map<string, number>, entry: string) => {
        const response = await request(`${deployment.adminUrls.get(entry)!}/v1/metrics`);
        const { counters: values } = await response.body.json() as { counters: Record<string, number> };
        Object.entries(values).forEach(([name, value]) =>
            new Set([name, name.split("{")[0]!]).forEach(key => sums.set(key, (sums.get(key) ?? 0) + value))
        );
    };

    return {
        entries: plan.entries,
        callerUrls: deployment.callerUrls,
        // Entries propagate announcements; announcing every server to every entry would overload this process.
        getAnnouncementUrls: zone =>
            plan.entries.filter(({ availabilityZone }) => getRegion(plan, availabilityZone) === getRegion(plan, zone))
                .map(({ name }) => deployment.callerUrls.get(name)!),
        hasRunOnce: true,
        lookUp: lookUpByHttp,
        declareShift: async ({ service, fromRegion, toRegion, percent, requestsPerSecond }) => {
            const spec = {
                service,
                from: { region: fromRegion },
                to: { region: toRegion },
                percent,
                // The cap on bytes is far above the traffic, so that only the cap on requests takes effect.
                cap: { requestsPerSecond, bytesPerSecond: 1e9 },
            };
            await applyResource(client, { kind: ResourceKind.Shift, name: SHIFT_NAME, spec });
            await waitUntilInForce(client, ResourceKind.Shift, SHIFT_NAME, IN_FORCE_TIMEOUT_MS);
        },
        removeShift: () => removeResource(client, ResourceKind.Shift, SHIFT_NAME),
        drain: async ({ availabilityZone, paceSeconds }) => {
            const spec = { target: { availabilityZone }, paceSeconds };
            await applyResource(client, { kind: ResourceKind.Drain, name: DRAIN_NAME, spec });
            await waitFor("the drain to complete", async () => {
                const resource = await readResource(client, ResourceKind.Drain, DRAIN_NAME);
                return findCondition(resource, ConditionType.Drained)?.status === "True" ? true : undefined;
            }, DRAIN_POLL_INTERVAL_MS);
        },
        removeDrain: () => removeResource(client, ResourceKind.Drain, DRAIN_NAME),
        failRegion: async region => {
            findDeadProcesses(deployment).forEach(name => unexpectedlyDead.add(name));
            const stopped = listInstances(region);
            await Promise.all(
                plan.entries.filter(({ name }) => stopped.includes(name)).map(({ name }) =>
                    addCounters(countersOfStoppedEntries, name)
                ),
            );
            await Promise.all(stopped.map(name => deployment.signal(name, "SIGKILL")));
        },
        recoverRegion: async region => {
            await Promise.all(listInstances(region).map(name => deployment.start(name)));
        },
        readCounters: async () => {
            const sums = new Map(countersOfStoppedEntries);
            await Promise.all(plan.entries.map(({ name }) => addCounters(sums, name)));
            return sums;
        },
        findDeadProcesses: () => [...new Set([...unexpectedlyDead, ...findDeadProcesses(deployment)])],
        stop: () => Promise.resolve(),
    };
}
