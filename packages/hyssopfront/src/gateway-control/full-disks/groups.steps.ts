/**
 * Groups of catalog replicas that are ended after each scenario.
 */
import { After, setDefaultTimeout } from "@cucumber/cucumber";
import { type CatalogCluster, createCatalogCluster, type Instance } from "./catalog-cluster.steps.js";
import { createOperator, describe, waitFor, waitForLeader } from "./operator.steps.js";

setDefaultTimeout(120_000);

let clusters: CatalogCluster[] = [];

After(async () => {
    await Promise.all(clusters.map(({ end }) => end()));
    clusters = [];
});

const listNames = (count: number) => Array.from({ length: count }, (_, index) => `control-${index + 1}`);
/** Creates a group without running instances. */
export const createCluster = (count: number, padding?: string) => {
    const created = createCatalogCluster({
        seeds: listNames(count).slice(0, 3),
        voterCount: count,
        segmentBytes: 1_024,
        snapshotEveryEntries: 16,
    });
    clusters.push(created);
    return { cluster: created, operator: createOperator(created, padding) };
};
/** Starts a group and waits until all instances are voters. */
export const startCluster = async (count: number, padding?: string) => {
    const created = createCluster(count, padding);
    listNames(count).forEach(name => created.cluster.start(name, true));
    await waitForVoters(created.cluster, names => names.length === count);
    return created;
};
/** Waits until all instances know the same voters. */
export const waitForVoters = (tested: CatalogCluster, isExpected: (names: readonly string[]) => boolean) =>
    waitFor(
        () =>
            tested.leader() !== undefined && [...tested.instances.values()].every(({ catalog }) => {
                const members = catalog.replica()?.status().members ?? [];
                return members.every(({ isVoter }) => isVoter) && isExpected(members.map(({ name }) => name));
            }),
        () => `The voters are not as expected: ${describe(tested)}`,
    );

/** Returns the leader or a follower. */
export const findInstance = async (tested: CatalogCluster, role: string): Promise<Instance> => {
    const leader = await waitForLeader(tested);
    return role === "leader"
        ? leader
        : [...tested.instances.values()].find(instance => instance !== leader) as Instance;
};

/** Fills the disk of an instance and waits until its storage is closed. */
export const closeStorage = async (tested: CatalogCluster, { disk, catalog }: Instance) => {
    disk.fill(() => true);
    await createOperator(tested).change();
    await waitFor(() => catalog.replica() === undefined, () => `The storage is not closed: ${describe(tested)}`);
};
