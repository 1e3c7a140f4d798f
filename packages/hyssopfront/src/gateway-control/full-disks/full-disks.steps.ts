import { Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type CatalogCluster, clock, type Instance } from "./catalog-cluster.steps.js";
import { CHANGE_FAULTS, CONFLICT_FAULTS, ELECTION_FAULTS, SEED_FAULTS, START_FAULTS } from "./disk-faults.steps.js";
import { createFailingDisk, type DiskFault } from "./failing-disk.steps.js";
import { createCluster, findInstance, startCluster, waitForVoters } from "./groups.steps.js";
import { type Operator, waitFor, waitForLeader } from "./operator.steps.js";

/** Groups that run at the same time. */
const PARALLEL_GROUPS = 5;
/** Command that the leader appends without the knowledge of others. */
const UNKNOWN_COMMAND = new Uint8Array([0xf6]);
const ELECTION_INTERVAL_MS = 200;

setDefaultTimeout(120_000);

let cluster: CatalogCluster;
let operator: Operator;
let slowest: Awaited<ReturnType<Operator["changeUntil"]>>;

/** Runs a check for each fault, each with a group of its own. */
const forEachFault = async (
    faults: Readonly<Record<string, DiskFault>>,
    check: (fault: DiskFault, name: string) => Promise<void>,
) => {
    const remaining = Object.entries(faults);
    await Promise.all(Array.from({ length: PARALLEL_GROUPS }, async () => {
        for (let next = remaining.shift(); next !== undefined; next = remaining.shift()) {
            const [name, fault] = next;
            await check(fault, name).catch((error: unknown) => {
                throw new Error(`Fault "${name}": ${String(error)}`, { cause: error });
            });
        }
    }));
};

/** Transfers the leadership between the other instances until the fault has shown. */
const transferUntil = async (hasShown: () => boolean, tested: CatalogCluster, victim: Instance) => {
    while (!hasShown()) {
        const leader = await waitForLeader(tested);
        const target = [...tested.instances.values()].find(instance => instance !== leader && instance !== victim);
        await leader.catalog.replica()?.transferLeadership(target?.name);
        await clock.sleep(ELECTION_INTERVAL_MS);
    }
};

/** Gives one leader after another entries that conflict with those of the next leader, until the fault has shown. */
const conflictUntil = async (hasShown: () => boolean, tested: CatalogCluster, change: () => Promise<unknown>) => {
    while (!hasShown()) {
        // Each leader gets the time to acknowledge a change. Otherwise one change could wait for many elections.
        await change();
        const leader = await waitForLeader(tested);
        tested.setCut(leader.name, true);
        const proposal = leader.catalog.proposeLocally(UNKNOWN_COMMAND).catch(() => undefined);
        await waitForLeader(tested);
        tested.setCut(leader.name, false);
        await proposal;
        await clock.sleep(ELECTION_INTERVAL_MS);
    }
};

const checkFault = async (role: string, fault: DiskFault, name: string, milliseconds: number) => {
    const tested = await startCluster(3);
    const victim = await findInstance(tested.cluster, role);
    const changing = new AbortController();
    const changes = tested.operator.changeUntil(changing.signal);
    changes.catch(() => undefined);
    victim.disk.fill(fault);
    const hasShown = () => victim.lines.some(({ event }) => event === "storage failed");
    const show = () => {
        if (name in ELECTION_FAULTS) {
            return transferUntil(hasShown, tested.cluster, victim);
        }
        return name in CONFLICT_FAULTS
            ? conflictUntil(hasShown, tested.cluster, () => tested.operator.change())
            : waitFor(hasShown, () => "No operation failed.");
    };
    await Promise.race([show(), changes]);
    await clock.sleep(milliseconds);
    victim.disk.free();
    changing.abort();
    await changes;
    await tested.operator.change();
    await tested.operator.checkReads();
    await tested.operator.checkFullReplica(victim);
    await tested.operator.checkFiles();
};

Then(
    "for each file operation that fails for {int} ms on the disk of the {word}, while an item is changed:",
    async (milliseconds: number, role: string, _checks: unknown) => {
        await forEachFault(
            { ...CHANGE_FAULTS, ...ELECTION_FAULTS, ...CONFLICT_FAULTS },
            (fault, name) => checkFault(role, fault, name, milliseconds),
        );
    },
);

Then(
    "for each file operation that fails for {int} ms at the first start of a seed, the group forms with it",
    async (milliseconds: number) => {
        await forEachFault({ ...SEED_FAULTS, ...START_FAULTS }, async fault => {
            const tested = createCluster(3);
            const disk = createFailingDisk();
            disk.fill(fault);
            const seed = tested.cluster.start("control-1", true, disk);
            ["control-2", "control-3"].forEach(name => tested.cluster.start(name, true));
            await waitFor(() => disk.failures() > 0, () => "No operation failed.");
            await clock.sleep(milliseconds);
            disk.free();
            await tested.operator.change();
            await tested.operator.checkFullReplica(seed);
            await tested.operator.checkFiles();
        });
    },
);

Then(
    "for each file operation that fails for {int} ms at the start of a replacement, it becomes a voter",
    async (milliseconds: number) => {
        await forEachFault(START_FAULTS, async fault => {
            const tested = await startCluster(3);
            await tested.operator.change();
            const removed = await findInstance(tested.cluster, "follower");
            await removed.stop();
            const disk = createFailingDisk();
            disk.fill(fault);
            const replacement = tested.cluster.start("control-4", false, disk);
            await waitFor(() => disk.failures() > 0, () => "No operation failed.");
            await clock.sleep(milliseconds);
            await tested.operator.change();
            disk.free();
            await waitForVoters(
                tested.cluster,
                names => names.includes(replacement.name) && !names.includes(removed.name),
            );
            await tested.operator.checkFullReplica(replacement);
            await tested.operator.checkFiles();
        });
    },
);

Given("{int} instances", async (count: number) => {
    ({ cluster, operator } = await startCluster(count));
});
const changeWhileFilling = async (
    milliseconds: number,
    fillDisks: (fill: (instance: Instance) => Promise<void>) => Promise<void>,
) => {
    const changing = new AbortController();
    const changes = operator.changeUntil(changing.signal);
    changes.catch(() => undefined);
    await fillDisks(async instance => {
        instance.disk.fill(() => true);
        await Promise.race([clock.sleep(milliseconds), changes]);
        instance.disk.free();
    });
    changing.abort();
    slowest = await changes;
};

When(
    "the disks are full for {int} ms one after another in {int} rounds, and then {int} times that of the leader",
    (milliseconds: number, rounds: number, leaders: number) =>
        changeWhileFilling(milliseconds, async fill => {
            for (const instance of Array.from({ length: rounds }, () => [...cluster.instances.values()]).flat()) {
                await fill(instance);
            }
            for (let count = 0; count < leaders; count += 1) {
                // The next leader gets the time to acknowledge a change, so that no change waits for two elections.
                await operator.change();
                await fill(await waitForLeader(cluster));
            }
        }),
);
When(
    "the disk of the leader is full for {int} ms {int} times, each time right after an election",
    (milliseconds: number, leaders: number) =>
        changeWhileFilling(milliseconds, async fill => {
            for (let count = 0; count < leaders; count += 1) {
                await fill(await waitForLeader(cluster));
            }
        }),
);
Then("changes were acknowledged in at most {int} s", async (seconds: number) => {
    const { milliseconds, description } = slowest;
    assert.ok(milliseconds <= seconds * 1_000, `A change took ${milliseconds} ms: ${description}`);
    await operator.change();
});
Then("all instances have them in their files", () => operator.checkFiles());
