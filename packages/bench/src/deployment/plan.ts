/**
 * Plans of the two deployments that the product runs in today.
 */
import { RequestClass } from "hyssopfront/resources/resource.ts";

export type PlannedInstance = { readonly name: string; readonly availabilityZone: string };

export type PlannedService = {
    readonly name: string;
    readonly backendServers: number;
    readonly slots: number;
    readonly connections: number;
    readonly defaultClass: RequestClass;
};

export type DeploymentPlan = {
    readonly name: string;
    readonly regions: readonly { readonly name: string; readonly availabilityZones: readonly string[] }[];
    /** One-way latency between two availability zones of a region. */
    readonly betweenZonesMilliseconds: number;
    /** One-way latency between two regions. */
    readonly betweenRegionsMilliseconds: number;
    readonly linkBitsPerSecond: number;
    readonly entries: readonly PlannedInstance[];
    readonly controlInstances: readonly PlannedInstance[];
    readonly runOnceGroups: readonly {
        readonly name: string;
        readonly voters: readonly string[];
        readonly preferredLeader: string;
    }[];
    readonly services: readonly PlannedService[];
};

const listZones = (region: string) => [`${region}-1`, `${region}-2`];

/** Places 7 entries and 5 control instances in three regions: 3, 2 and 2 entries and 2, 2 and 1 control instances. */
function placeInstances(regions: readonly string[]): Pick<DeploymentPlan, "entries" | "controlInstances"> {
    const zones = regions.flatMap(listZones);
    const entryZones = [...zones, zones[0]!];
    const controlZones = zones.slice(0, 5);
    return {
        entries: entryZones.map((availabilityZone, index) => ({ name: `entry-${index + 1}`, availabilityZone })),
        controlInstances: controlZones.map((availabilityZone, index) => ({
            name: `control-${index + 1}`,
            availabilityZone,
        })),
    };
}

/** Creates a run-once group in each region with two control instances; the third voter is in another region. */
function placeRunOnceGroups(regions: readonly string[]): DeploymentPlan["runOnceGroups"] {
    return [
        { name: regions[0]!, voters: ["control-1", "control-2", "control-3"], preferredLeader: "control-1" },
        { name: regions[1]!, voters: ["control-3", "control-4", "control-5"], preferredLeader: "control-3" },
    ];
}

const createPlan = (
    regions: readonly string[],
    rest: Omit<DeploymentPlan, "regions" | "entries" | "controlInstances" | "runOnceGroups">,
): DeploymentPlan => ({
    ...rest,
    regions: regions.map(name => ({ name, availabilityZones: listZones(name) })),
    ...placeInstances(regions),
    runOnceGroups: placeRunOnceGroups(regions),
});

export const COOPERATIVE_PLAN = createPlan(["transilvania", "muntenia", "moldova"], {
    name: "cooperative",
    betweenZonesMilliseconds: 0.5,
    betweenRegionsMilliseconds: 20,
    linkBitsPerSecond: 4e9,
    services: [
        { name: "stoc", backendServers: 14, slots: 6, connections: 330, defaultClass: RequestClass.Idempotent },
        { name: "comenzi", backendServers: 12, slots: 4, connections: 330, defaultClass: RequestClass.RunOnce },
        { name: "expeditie", backendServers: 12, slots: 3, connections: 330, defaultClass: RequestClass.RunOnce },
    ],
});

export const PURUKUORMA_PLAN = createPlan(["itasuomi", "hame", "lansirannikko"], {
    name: "purukuorma",
    betweenZonesMilliseconds: 0.5,
    betweenRegionsMilliseconds: 12,
    linkBitsPerSecond: 280e6,
    services: [
        { name: "taulupalvelu", backendServers: 20, slots: 5, connections: 390, defaultClass: RequestClass.Idempotent },
        { name: "tilauspalvelu", backendServers: 12, slots: 4, connections: 390, defaultClass: RequestClass.RunOnce },
        { name: "maksupalvelu", backendServers: 12, slots: 3, connections: 390, defaultClass: RequestClass.RunOnce },
    ],
});

/**
 * Returns the name of the region of an availability zone.
 *
 * @throws Error when the plan does not contain the availability zone.
 */
export function getRegion(plan: DeploymentPlan, availabilityZone: string): string {
    const region = plan.regions.find(({ availabilityZones }) => availabilityZones.includes(availabilityZone));
    if (region === undefined) {
        throw new Error(`The plan ${plan.name} does not contain the availability zone ${availabilityZone}.`);
    }
    return region.name;
}

/** Returns the one-way latency between two availability zones in milliseconds. */
export function latencyBetween(plan: DeploymentPlan, one: string, other: string): number {
    if (one === other) {
        return 0;
    }
    return getRegion(plan, one) === getRegion(plan, other)
        ? plan.betweenZonesMilliseconds
        : plan.betweenRegionsMilliseconds;
}
