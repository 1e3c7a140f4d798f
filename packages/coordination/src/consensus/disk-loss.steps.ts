import { Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { ReplicaRole } from "./replica-types.js";
import { createSimulatedGroup, type SimulatedGroup } from "./simulated-group.steps.js";

const startGroup = async (seed: number): Promise<SimulatedGroup> => {
    const group = createSimulatedGroup(["a", "b", "c", "d", "e"], seed);
    group.nodes.forEach((_, name) => group.start(name));
    await group.until(() => group.leader() !== undefined, 5_000, "The first election");
    return group;
};

const propose = (group: SimulatedGroup, count: number, label: string) =>
    Array.from({ length: count }, (_, at) => group.propose(group.leader()!.name, `${label} ${at}`))
        .forEach(proposal => proposal.catch(() => undefined));

const followersOf = (group: SimulatedGroup) =>
    [...group.nodes.values()].filter(node => node.name !== group.leader()?.name);

/** Replicas lose their disks, by default the leader and one follower. */
const loseDisks = async (
    group: SimulatedGroup,
    seed: number,
    wiped = [group.leader()!.name, followersOf(group)[seed % 4]!.name],
) => {
    const acknowledgedBefore = group.acknowledged.size;
    assert.ok(acknowledgedBefore > 0, "Nothing was acknowledged, so that nothing could be lost.");
    group.wipeWhileOthersLosePower(wiped);
    await group.until(() => group.leader() !== undefined, 10_000, "The election after the loss");
    propose(group, 5, "later change");
    await group.until(() => group.acknowledged.size >= acknowledgedBefore + 5, 10_000, "The group serves again");
    const areVoters = () => {
        const status = group.leader()?.replica!.status();
        return status !== undefined &&
            status.members.every(({ name, isVoter, storeId }) =>
                isVoter && storeId === group.nodes.get(name)!.disk.storeId
            ) && [...group.nodes.values()].every(node => node.replica!.status().appliedIndex === status.lastIndex);
    };
    await group.until(areVoters, 20_000, "The wiped replicas are voters again");
    group.assertNothingLost();
    group.nodes.forEach(node => node.replica?.stop());
};

const forEachSeed = async (count: number, firstSeed: number, run: (seed: number) => Promise<void>) => {
    for (let seed = firstSeed; seed < firstSeed + count; seed++) {
        await run(seed).catch((error: unknown) => {
            throw new Error(`The group with seed ${seed} failed: ${String(error)}`, { cause: error });
        });
    }
};

Then(
    "in {int} groups of 5 replicas, seed {int} and later, no change acknowledged before is lost and the group serves again",
    (count: number, firstSeed: number) =>
        forEachSeed(count, firstSeed, async seed => {
            const group = await startGroup(seed);
            propose(group, 20, "change");
            await group.until(() => group.acknowledged.size > 0, 1_000, "A change is acknowledged", 1);
            await loseDisks(group, seed);
        }),
);

Then(
    "in {int} such groups whose followers were killed, seed {int} and later, no acknowledged change is lost either",
    (count: number, firstSeed: number) =>
        forEachSeed(count, firstSeed, async seed => {
            const group = await startGroup(seed);
            propose(group, 20, "change");
            await group.advance(4 + seed % 3);
            followersOf(group).forEach(node => {
                node.kill();
                group.start(node.name);
            });
            await group.until(() => group.acknowledged.size > 0, 2_000, "A change is acknowledged", 1);
            await loseDisks(group, seed);
        }),
);

Then(
    "in {int} groups of 5 replicas, seed {int} and later, whose {word} has a disk that hangs, no acknowledged change is lost",
    (count: number, firstSeed: number, role: string) =>
        forEachSeed(count, firstSeed, async seed => {
            const group = await startGroup(seed);
            const hanging = role === "leader" ? group.leader()! : followersOf(group)[seed % 4]!;
            hanging.disk.isHanging = true;
            propose(group, 20, "change");
            await group.until(() => group.acknowledged.size > 0, 1_000, "A change is acknowledged", 1);
            const others = [...group.nodes.keys()].filter(name => name !== hanging.name);
            hanging.disk.isHanging = false;
            await loseDisks(group, seed, [others[seed % 4]!, others[(seed + 1 + seed % 3) % 4]!]);
        }),
);

Then(
    "in {int} groups of 3 replicas, seed {int} and later, no replica becomes leader without the acknowledged changes for {int} s",
    (count: number, firstSeed: number, seconds: number) =>
        forEachSeed(count, firstSeed, async seed => {
            const group = createSimulatedGroup(["a", "b", "c"], seed);
            group.nodes.forEach((_, name) => group.start(name));
            const findElected = () =>
                [...group.nodes.values()].find(({ replica }) => replica?.status().role === ReplicaRole.Leader)?.name;
            await group.until(() => findElected() !== undefined, 5_000, "The first election", 1);
            const leader = findElected()!;
            const [holder, lagging] = [...group.nodes.keys()].filter(name => name !== leader) as [string, string];
            group.isolate(lagging);
            await group.until(() => group.leader() !== undefined, 1_000, "The first lease");
            propose(group, 5, "change");
            await group.until(() => group.acknowledged.size > 0, 1_000, "A change is acknowledged", 1);
            assert.equal(group.nodes.get(lagging)!.disk.entries.length, 0, "The third replica holds an entry.");
            [leader, holder].forEach(name => {
                group.wipe(name);
                group.start(name, []);
            });
            group.nodes.get(lagging)!.crash();
            group.start(lagging);
            group.cutLinks.clear();
            for (let passed = 0; passed < seconds * 1_000; passed += 50) {
                await group.advance(50);
                assert.equal(group.leader()?.name, undefined, "A replica without the changes became leader.");
            }
            group.nodes.forEach(node => node.replica?.stop());
        }),
);

Then(
    "in {int} groups of 3 replicas, seed {int} and later, of which {int} lost their disks at the start, changes are acknowledged within {int} s",
    (count: number, firstSeed: number, wiped: number, seconds: number) =>
        forEachSeed(count, firstSeed, async seed => {
            const group = createSimulatedGroup(["a", "b", "c"], seed);
            group.nodes.forEach((_, name) => group.start(name));
            ["a", "b"].slice(0, wiped).forEach(name => {
                group.wipe(name);
                group.start(name, []);
            });
            await group.until(() => group.leader() !== undefined, seconds * 1_000, "The first election");
            propose(group, 5, "change");
            await group.until(() => group.acknowledged.size > 0, 1_000, "A change is acknowledged");
            group.nodes.forEach(node => node.replica?.stop());
        }),
);
