/**
 * Day system that runs the request path of the product in this process, with a baseline in place of its load balancing
 * or its quotas. There are no control instances and no run-once groups, so all requests are idempotent and all changes
 * are in force immediately.
 */
import { createSystemClock } from "@hyssopfront/coordination";
import type { Admission } from "hyssopfront/admission/admission.ts";
import { createStaticQuotas, createUncoordinatedLimits } from "hyssopfront/admission/baselines/fixed-quotas.js";
import type { ConfigurationSource, ConfigurationView } from "hyssopfront/configuration/configuration-view.ts";
import { RequestClass } from "hyssopfront/resources/resource.ts";
import { createRoundRobin } from "hyssopfront/routing/baselines/round-robin.ts";
import { type LoadBalancingPolicy, powerOfTwoChoices } from "hyssopfront/routing/load-balancing-policy.js";
import { type DeploymentPlan, getRegion, latencyBetween, type PlannedInstance } from "../../deployment/plan.js";
import { createView, type EntryStandIn, startEntryStandIn } from "../../entry-stand-in/entry-stand-in.js";
import { waitFor } from "../experiment.js";
import type { DaySystem } from "./day-system.js";

/** Baselines that a day can run with, by the value of `--baseline`. */
export enum Baseline {
    /** Round robin over all backend servers regardless of location, with an equal share of each limit per entry. */
    RoundRobin = "round-robin",
    /** Load balancing of the product, with an equal share of each limit per entry. */
    StaticShares = "static-shares",
    /** Load balancing of the product; each entry applies each limit as if it were the only entry. */
    NoLeases = "no-leases",
}

type BaselineComponents = {
    readonly createPolicy: () => LoadBalancingPolicy;
    readonly createAdmission: (options: Parameters<typeof createStaticQuotas>[0]) => Admission;
};

const COMPONENTS: Readonly<Record<Baseline, BaselineComponents>> = {
    [Baseline.RoundRobin]: { createPolicy: createRoundRobin, createAdmission: createStaticQuotas },
    [Baseline.StaticShares]: { createPolicy: () => powerOfTwoChoices, createAdmission: createStaticQuotas },
    [Baseline.NoLeases]: { createPolicy: () => powerOfTwoChoices, createAdmission: createUncoordinatedLimits },
};

const SHIFT_NAME = "evening";
const TIME_TO_LIVE_SECONDS = 2;

function createPlanView(plan: DeploymentPlan): ConfigurationView {
    const services = Object.fromEntries(plan.services.map(({ name, slots, connections }) => [
        name,
        {
            slotsPerBackendServer: slots,
            connectionsPerBackendServer: connections,
            defaultClass: RequestClass.Idempotent,
        },
    ]));
    const view = createView(
        services,
        Object.fromEntries(plan.regions.map(({ name, availabilityZones }) => [name, availabilityZones])),
    );
    const createLinks = (region: string) =>
        plan.regions.filter(({ name }) => name !== region)
            .map(({ name: to }) => ({ to, bitsPerSecond: plan.linkBitsPerSecond }));
    return {
        ...view,
        regions: new Map(plan.regions.map(({ name }) => [name, { links: createLinks(name) }])),
        entries: new Map(plan.entries.map(({ name, availabilityZone }) => [
            name,
            {
                name,
                availabilityZone,
                address: "127.0.0.1",
                callerPort: 1,
                peerPort: 1,
                incarnation: "1",
                isLeaving: false,
            },
        ])),
    };
}

/** Starts the entries of a plan in this process. */
export async function startBaselineSystem(plan: DeploymentPlan, baseline: Baseline): Promise<DaySystem> {
    const clock = createSystemClock();
    const components = COMPONENTS[baseline];
    const entries = new Map<string, EntryStandIn>();
    const callerUrls = new Map<string, string>();
    /** Changes as entries fail and recover; the backend servers read it before each announcement. */
    const announcementUrls: string[] = [];
    const stoppedEntries: EntryStandIn[] = [];
    let view = createPlanView(plan);
    let drainedZone: string | undefined;
    const configuration: ConfigurationSource = {
        view: () => view,
        holdsViewLease: () => true,
        onChange: () => () => undefined,
    };
    const setView = (changes: Partial<ConfigurationView>) => {
        view = { ...view, ...changes, revision: view.revision + 1 };
        entries.forEach(entry => entry.view = view);
    };
    const start = async ({ name, availabilityZone }: PlannedInstance) => {
        const entry = await startEntryStandIn({
            name,
            availabilityZone,
            view,
            policy: components.createPolicy(),
            handlerOptions: {
                admission: components.createAdmission({ clock, configuration, entry: name }),
                acceptsNewRequests: server => server.availabilityZone !== drainedZone,
            },
        });
        entries.set(name, entry);
        callerUrls.set(name, entry.callerUrl);
        announcementUrls.push(entry.announcementUrl);
    };
    const listInstances = (region: string) =>
        plan.entries.filter(({ availabilityZone }) => getRegion(plan, availabilityZone) === region);
    const entriesByDistance = (zone: string) => {
        const latencyTo = (entry: PlannedInstance) => latencyBetween(plan, zone, entry.availabilityZone);
        const running = plan.entries.filter(({ name }) => entries.has(name));
        return [...running].sort((one, other) => latencyTo(one) - latencyTo(other));
    };
    const serversInZone = (entry: EntryStandIn, zone: string) =>
        plan.services.flatMap(({ name }) => entry.backendServers(name))
            .filter(({ availabilityZone }) => availabilityZone === zone).map(({ name }) => name);
    await Promise.all(plan.entries.map(start));

    return {
        entries: plan.entries,
        callerUrls,
        getAnnouncementUrls: () => announcementUrls,
        hasRunOnce: false,
        lookUp: (_entry, _service, zone) =>
            Promise.resolve({
                entries: entriesByDistance(zone).map(({ name }) => ({
                    name,
                    address: "127.0.0.1",
                    port: entries.get(name)!.callerPort,
                })),
                timeToLiveSeconds: TIME_TO_LIVE_SECONDS,
            }),
        declareShift: ({ service, fromRegion, toRegion, percent, requestsPerSecond }) => {
            const cap = { requestsPerSecond, bytesPerSecond: 1e9 };
            const shift = { service, from: { region: fromRegion }, to: { region: toRegion }, percent, cap };
            setView({ shifts: new Map([[SHIFT_NAME, shift]]) });
            return Promise.resolve();
        },
        removeShift: () => {
            setView({ shifts: new Map() });
            return Promise.resolve();
        },
        drain: async ({ availabilityZone }) => {
            drainedZone = availabilityZone;
            entries.forEach(entry => serversInZone(entry, availabilityZone).forEach(name => entry.draining.add(name)));
            await waitFor("the drain to complete", () => {
                const isDrained = [...entries.values()]
                    .every(entry => serversInZone(entry, availabilityZone).length === 0);
                return Promise.resolve(isDrained ? true : undefined);
            });
        },
        removeDrain: () => {
            drainedZone = undefined;
            entries.forEach(entry => entry.draining.clear());
            return Promise.resolve();
        },
        failRegion: async region => {
            await Promise.all(
                listInstances(region).map(async ({ name }) => {
                    const entry = entries.get(name)!;
                    entries.delete(name);
                    stoppedEntries.push(entry);
                    announcementUrls.splice(announcementUrls.indexOf(entry.announcementUrl), 1);
                    await entry.kill();
                }),
            );
        },
        recoverRegion: async region => {
            await Promise.all(listInstances(region).map(start));
        },
        readCounters: () => {
            const sums = new Map<string, number>();
            [...stoppedEntries, ...entries.values()].forEach(({ counters }) =>
                counters.forEach((value, name) => sums.set(name, (sums.get(name) ?? 0) + value))
            );
            return Promise.resolve(sums);
        },
        findDeadProcesses: () => [],
        stop: async () => {
            await Promise.all([...entries.values()].map(entry => entry.kill()));
        },
    };
}
