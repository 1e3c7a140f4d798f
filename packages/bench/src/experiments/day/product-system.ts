/**
 * A day on the processes of the product.
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
import { regionOfZone } from "../../deployment/plan.js";
import { allInstances, findDeadProcesses, waitFor } from "../experiment.js";
import type { DaySystem } from "./day-system.js";

const SHIFT = "evening";
const DRAIN = "maintenance";
const IN_FORCE_MS = 20_000;
const DRAIN_POLL_MS = 50;

async function remove(client: ApiClient, kind: ResourceKind, name: string): Promise<void> {
    const current = await readResource(client, kind, name);
    if (current !== undefined) {
        await client.sendChecked({
            method: "DELETE",
            path: resourcePath(kind, name),
            headers: { "if-match": `"${current.revision}"` },
        });
    }
}

/** Wraps a running deployment; whoever started it stops it. */
export function createProductSystem(deployment: Deployment): DaySystem {
    const { plan } = deployment;
    const client = createApiClient({ servers: [...deployment.operatorAddresses.values()] });
    const instancesOf = (region: string) =>
        allInstances(plan).filter(({ availabilityZone }) => regionOfZone(plan, availabilityZone) === region)
            .map(({ name }) => name);
    /** Counters of entries that were ended on purpose. */
    const counters = new Map<string, number>();
    const died = new Set<string>();

    const addCounters = async (sums: Map<string, number>, entry: string) => {
        const answer = await request(`${deployment.adminUrls.get(entry)!}/v1/metrics`);
        const { counters: values } = await answer.body.json() as { counters: Record<string, number> };
        Object.entries(values).forEach(([name, value]) =>
            new Set([name, name.split("{")[0]!]).forEach(key => sums.set(key, (sums.get(key) ?? 0) + value))
        );
    };

    return {
        entries: plan.entries,
        callerUrls: deployment.callerUrls,
        // The entries pass announcements on; one to each of them from each server would keep this process busy.
        announceUrlsOf: zone =>
            plan.entries.filter(({ availabilityZone }) =>
                regionOfZone(plan, availabilityZone) === regionOfZone(plan, zone)
            ).map(({ name }) => deployment.callerUrls.get(name)!),
        hasRunOnce: true,
        lookUp: lookUpByHttp,
        declareShift: async ({ service, fromRegion, toRegion, percent, requestsPerSecond }) => {
            const spec = {
                service,
                from: { region: fromRegion },
                to: { region: toRegion },
                percent,
                // The cap on bytes is far above what the requests carry: the cap on requests is to bind.
                cap: { requestsPerSecond, bytesPerSecond: 1e9 },
            };
            await applyResource(client, { kind: ResourceKind.Shift, name: SHIFT, spec });
            await waitUntilInForce(client, ResourceKind.Shift, SHIFT, IN_FORCE_MS);
        },
        removeShift: () => remove(client, ResourceKind.Shift, SHIFT),
        drain: async ({ availabilityZone, paceSeconds }) => {
            const spec = { target: { availabilityZone }, paceSeconds };
            await applyResource(client, { kind: ResourceKind.Drain, name: DRAIN, spec });
            await waitFor("The end of the drain", async () => {
                const resource = await readResource(client, ResourceKind.Drain, DRAIN);
                return findCondition(resource, ConditionType.Drained)?.status === "True" ? true : undefined;
            }, DRAIN_POLL_MS);
        },
        removeDrain: () => remove(client, ResourceKind.Drain, DRAIN),
        failRegion: async region => {
            findDeadProcesses(deployment).forEach(name => died.add(name));
            const lost = instancesOf(region);
            await Promise.all(
                plan.entries.filter(({ name }) => lost.includes(name)).map(({ name }) => addCounters(counters, name)),
            );
            await Promise.all(lost.map(name => deployment.signal(name, "SIGKILL")));
        },
        recoverRegion: async region => {
            await Promise.all(instancesOf(region).map(name => deployment.start(name)));
        },
        readCounters: async () => {
            const sums = new Map(counters);
            await Promise.all(plan.entries.map(({ name }) => addCounters(sums, name)));
            return sums;
        },
        findDeadProcesses: () => [...new Set([...died, ...findDeadProcesses(deployment)])],
        stop: () => Promise.resolve(),
    };
}
