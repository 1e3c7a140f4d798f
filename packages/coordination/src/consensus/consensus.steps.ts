import { Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { NotLeaderError, ProposalRefusedError } from "./errors.js";
import { MembershipChange } from "./membership.js";
import { runRandomSchedules } from "./random-schedules.steps.js";
import type { ReplicaOptions } from "./replica-types.js";
import { ReplicaRole } from "./replica-types.js";
import type { SimulatedGroup, SimulatedNode } from "./simulated-group.steps.js";
import { createSimulatedGroup } from "./simulated-group.steps.js";

// Simulated time does not depend on the speed of the machine, so this timeout only ends a run that hangs.
setDefaultTimeout(120_000);

let group: SimulatedGroup;
/** The replica affected by the latest fault. */
let faulty: SimulatedNode;
let elected: string;
let proposalCount: number;
let outcomes: (number | Error)[];

const createGroup = async (size: number, seed: number, options?: (name: string) => Partial<ReplicaOptions>) => {
    process.stdout.write(`simulation seed ${seed}\n`);
    group = createSimulatedGroup(["a", "b", "c", "d", "e"].slice(0, size), seed, options);
    proposalCount = 0;
    group.nodes.forEach((_, name) => group.start(name));
    await group.until(() => group.leader() !== undefined, 5_000, "The first election");
    elected = group.leader()!.name;
};

const proposeAll = async (count: number) => {
    for (let round = 0; round < count; round++) {
        const outcome = await group.outcomeOf(group.propose(group.leader()!.name, `change ${++proposalCount}`));
        assert.equal(typeof outcome, "number", String(outcome));
    }
};

const crash = (node: SimulatedNode) => {
    faulty = node;
    node.crash();
};

const followers = () => [...group.nodes.values()].filter(node => node.name !== group.leader()!.name);

const awaitOtherLeader = async (limit: number) => {
    await group.until(() => (group.leader() ?? faulty) !== faulty, limit, "The election");
    elected = group.leader()!.name;
};

const heal = () => {
    group.cutLinks.clear();
    Object.assign(group.conditions, { loss: 0, duplication: 0, maximumDelay: 4 });
    group.nodes.forEach(node => {
        group.resume(node.name);
        if (node.replica === undefined) {
            group.start(node.name);
        }
    });
};

const awaitConvergence = async (limit: number) => {
    const hasConverged = () => {
        const applied = [...group.nodes.values()].map(node => node.replica!.status().appliedIndex);
        return group.leader() !== undefined &&
            applied.every(index => index === group.leader()!.replica!.status().lastIndex);
    };
    await group.until(hasConverged, limit, "Convergence");
    group.assertNothingLost();
};

const awaitCaughtUp = (name: string) => {
    const hasMatch = () => {
        const { matchIndex, lastIndex } = group.leader()!.replica!.status();
        return matchIndex[name] === lastIndex;
    };
    return group.until(hasMatch, 3_000, "The leader knows that the learner has caught up");
};

const isNotLeaderError = (outcome: unknown) => outcome instanceof NotLeaderError;

Given("a group of {int} replicas with seed {int}", (size: number, seed: number) => createGroup(size, seed));

Given(
    "a group of {int} replicas with seed {int} that does not restore wiped voters",
    (size: number, seed: number) => createGroup(size, seed, () => ({ rejoinsWipedVoters: false })),
);

Given(
    "a group of {int} replicas with seed {int} that compacts every {int} entries and sends chunks of {int} bytes",
    (size: number, seed: number, snapshotEveryEntries: number, snapshotChunkBytes: number) =>
        createGroup(size, seed, () => ({ snapshotEveryEntries, snapshotChunkBytes })),
);

Given(
    "a group of {int} replicas with seed {int} in which replica {string} is preferred",
    (size: number, seed: number, preferred: string) =>
        createGroup(size, seed, name => ({ leadershipPreference: name === preferred ? 1 : 0 })),
);

Given(
    "a group of {int} replicas with seed {int} that allows at most {int} pending proposals",
    (size: number, seed: number, maximumPendingProposals: number) =>
        createGroup(size, seed, () => ({ maximumPendingProposals, maximumPayloadBytes: 1_000 })),
);

When("{int} proposals are acknowledged", proposeAll);

When("the leader is isolated", () => {
    faulty = group.leader()!;
    group.isolate(faulty.name);
});

When("the leader is suspended", () => {
    faulty = group.leader()!;
    faulty.isSuspended = true;
});

When("the leader can send messages but not receive them", () => {
    faulty = group.leader()!;
    followers().forEach(other => group.cutLink(other.name, faulty.name));
});

When("a follower no longer receives messages from the leader", () => {
    faulty = followers()[0]!;
    group.cutLink(group.leader()!.name, faulty.name);
});

Then("the follower knows no leader after {int} ms and rejects a read at once", async (milliseconds: number) => {
    await group.advance(milliseconds);
    const replica = faulty.replica!;
    assert.equal(replica.status().leader, undefined);
    assert.ok(replica.leaderlessForMilliseconds() > 0);
    assert.ok(isNotLeaderError(await replica.readBarrier().catch((error: unknown) => error)));
});

Then("the follower knows the leader again within {int} ms", async (milliseconds: number) => {
    await group.until(() => faulty.replica!.status().leader === elected, milliseconds, "The leader is known");
    assert.equal(faulty.replica!.leaderlessForMilliseconds(), 0);
});

When(
    "messages take {int} to {int} ms and the leader crashes",
    (minimumDelay: number, maximumDelay: number) => {
        Object.assign(group.conditions, { minimumDelay, maximumDelay });
        crash(group.leader()!);
    },
);

Then("the leader keeps its lease and its term for {int} ms", async (milliseconds: number) => {
    for (let passed = 0; passed < milliseconds; passed += 10) {
        await group.advance(10);
        assert.equal(group.leader()?.name, elected);
    }
    assert.equal(group.leader()!.replica!.status().term, 1);
});

Then(
    "in {int} groups of {int} replicas another replica becomes leader within {int} ms after the leader is isolated",
    async (count: number, size: number, limit: number) => {
        // The failover target is 3 s; the difference is left for the other steps of a failover that callers notice.
        for (let seed = 1; seed <= count; seed++) {
            await createGroup(size, seed);
            Object.assign(group.conditions, { minimumDelay: 18, maximumDelay: 22 });
            await group.advance(1_000 + 10 * seed);
            faulty = group.leader()!;
            group.isolate(faulty.name);
            await awaitOtherLeader(limit);
            group.nodes.forEach(node => node.crash());
        }
    },
);

When("the leader crashes", () => crash(group.leader()!));

When("the leader crashes at once", () => crash(group.leader()!));

When("the leader crashes {int} ms later", async (milliseconds: number) => {
    await group.advance(milliseconds);
    group.leader()!.crash();
});

When("a follower crashes", () => crash(followers()[0]!));

When("the crashed replica restarts", () => group.start(faulty.name));

When("the crashed replica restarts on a network that loses {int} percent of the messages", (percent: number) => {
    Object.assign(group.conditions, { loss: percent / 100, duplication: percent / 100, maximumDelay: 20 });
    group.start(faulty.name);
});

When("{int} ms have passed for the isolated replica", async (milliseconds: number) => {
    // One minute in small steps, then a jump of all clocks by at most another minute, because the isolated replica only
    // repeats its pre-votes.
    await group.advance(60_000);
    const { term } = faulty.replica!.status();
    assert.equal(term, 1, "The isolated replica increased its term, which would disrupt the others.");
    await group.clock.advance(Math.min(milliseconds, 120_000) - 60_000);
});

When("all faults are healed", heal);

When("all replicas crash and restart", () => {
    group.nodes.forEach(node => crash(node));
    heal();
    // A copy is identical to no node, so that the next step accepts every leader.
    faulty = { ...faulty, name: "none" };
});

Then(
    "it reports no lease and rejects proposals and reads after {int} ms",
    async (milliseconds: number) => {
        // The added tenth of a heartbeat interval covers messages still in flight.
        await group.advance(milliseconds + 10);
        const replica = faulty.replica!;
        assert.equal(replica.holdsLeaderLease(), false);
        assert.equal(replica.leadingForMilliseconds(), undefined);
        assert.ok(isNotLeaderError(await replica.propose(Buffer.from("late")).catch((error: unknown) => error)));
        assert.ok(isNotLeaderError(await group.outcomeOf(replica.readBarrier())));
    },
);

Then("another replica becomes leader within {int} ms", awaitOtherLeader);

Then("the suspended leader resumes and rejects a proposal and a read at once", async () => {
    const replica = faulty.replica!;
    group.resume(faulty.name);
    assert.equal(replica.status().role, ReplicaRole.Leader);
    assert.equal(replica.holdsLeaderLease(), false);
    assert.ok(isNotLeaderError(await replica.propose(Buffer.from("late")).catch((error: unknown) => error)));
    assert.ok(isNotLeaderError(await group.outcomeOf(replica.readBarrier())));
    await awaitConvergence(3_000);
});

Then("all replicas converge within {int} ms and no acknowledged proposal is lost", awaitConvergence);

Then("the replica elected meanwhile is still the leader", () => assert.equal(group.leader()!.name, elected));

When("the disk of a follower is wiped and it restarts", () => {
    faulty = followers()[0]!;
    group.wipe(faulty.name);
    group.start(faulty.name);
});

When("its disk is wiped once more as soon as it is a learner", async () => {
    const isLearner = () =>
        group.leader()?.replica!.status().members.some(member => member.name === faulty.name && !member.isVoter)
            ?? false;
    await group.until(isLearner, 4_000, "The wiped replica is a learner", 1);
    group.wipe(faulty.name);
    group.start(faulty.name);
});

let crashedFollower: SimulatedNode;

When("the other follower crashes", () => {
    crashedFollower = followers().find(node => node.name !== faulty.name)!;
    crashedFollower.crash();
});

Then("a proposal is not acknowledged although the wiped replica has its entry", async () => {
    const leader = group.leader()!;
    const pending = leader.replica!.propose(Buffer.from("unacknowledged")).catch((error: unknown) => error);
    const index = leader.replica!.status().lastIndex;
    await group.until(() => faulty.replica!.status().lastIndex >= index, 3_000, "The wiped replica receives the entry");
    await group.advance(2_000);
    assert.ok(await pending instanceof Error);
    assert.ok([...group.nodes.values()].every(node => (node.replica?.status().commitIndex ?? 0) < index));
    // A copy is identical to no node, so that the later step for another leader accepts every leader.
    faulty = { ...crashedFollower, name: crashedFollower.name };
});

When("the wiped replica is added as a learner and promoted", async () => {
    const leader = group.leader()!;
    const [wiped] = leader.replica!.status().replacedStores;
    const add = { kind: MembershipChange.AddLearner, name: wiped!.name };
    assert.equal(await group.outcomeOf(leader.replica!.changeMembership(add)), undefined);
    await awaitCaughtUp(wiped!.name);
    const promote = { kind: MembershipChange.Promote, name: wiped!.name };
    assert.equal(await group.outcomeOf(leader.replica!.changeMembership(promote)), undefined);
    faulty = group.nodes.get(wiped!.name)!;
});

Then("it is a voter with its new store within {int} ms", async (limit: number) => {
    const isVoter = () =>
        group.leader()?.replica!.status().members.some(member =>
            member.name === faulty.name && member.storeId === faulty.disk.storeId && member.isVoter
        ) ?? false;
    await group.until(isVoter, limit, "The wiped replica is a voter");
});

When("the disks of two followers are wiped and they restart", () =>
    followers().slice(0, 2).forEach(({ name }) => {
        group.wipe(name);
        group.start(name);
    }));

Then(
    "they are voters with their new stores within {int} ms, and there are never fewer than {int} voters",
    async (limit: number, minimum: number) => {
        const voters = () => group.leader()?.replica!.status().members.filter(member => member.isVoter) ?? [];
        const areAllVoters = () => {
            const current = voters();
            assert.ok(group.leader() === undefined || current.length >= minimum, `${current.length} voters.`);
            return [...group.nodes.values()].every(({ name, disk }) =>
                current.some(voter => voter.name === name && voter.storeId === disk.storeId)
            );
        };
        await group.until(areAllVoters, limit, "All replicas are voters", 1);
    },
);

When("{int} percent of the messages are lost", (percent: number) => {
    group.conditions.loss = percent / 100;
});

When("the disk of the first learner hangs", async () => {
    const learner = () => group.leader()?.replica!.status().members.find(member => !member.isVoter);
    await group.until(() => learner() !== undefined, 4_000, "A wiped replica is a learner", 1);
    faulty = group.nodes.get(learner()!.name)!;
    faulty.disk.isHanging = true;
});

Then("the other one is a voter with its new store within {int} ms", async (limit: number) => {
    const areVoters = () =>
        [...group.nodes.values()].filter(node => node !== faulty).every(({ name, disk }) =>
            group.leader()?.replica!.status().members.some(member =>
                member.name === name && member.isVoter && member.storeId === disk.storeId
            ) ?? false
        );
    await group.until(areVoters, limit, "The other replicas are voters");
});

When("the disks of both followers are wiped and they restart while the leader is isolated", () => {
    const wiped = followers();
    group.isolate(group.leader()!.name);
    wiped.forEach(node => {
        group.wipe(node.name);
        group.start(node.name);
    });
});

Then("no replica becomes leader for {int} ms", async (milliseconds: number) => {
    await group.advance(500);
    for (let passed = 0; passed < milliseconds; passed += 50) {
        await group.advance(50);
        assert.equal(group.leader(), undefined);
    }
});

const addLearnerDuringFault = async (fault: string) => {
    group.addNode("f");
    group.start("f", []);
    const leader = group.leader()!;
    const change = leader.replica!.changeMembership({ kind: MembershipChange.AddLearner, name: "f" });
    const isAppended = () => leader.replica!.status().members.length === 6;
    await group.until(isAppended, 1_000, "The membership change is appended", 1);
    faulty = leader;
    if (fault === "crashes") {
        leader.crash();
    }
    else {
        group.isolate(leader.name);
    }
    assert.ok(await group.outcomeOf(change) instanceof Error);
};

When("a new replica is being added as a learner while the leader crashes", () => addLearnerDuringFault("crashes"));

When(
    "a new replica is being added as a learner while the leader is isolated",
    () => addLearnerDuringFault("is isolated"),
);

Then("the old leader has {int} members again within {int} ms", async (count: number, limit: number) => {
    assert.equal(faulty.replica!.status().members.length, count + 1);
    await group.until(
        () => faulty.replica!.status().members.length === count,
        limit,
        "The membership change is reverted",
    );
    await group.until(() => faulty.replica!.status().leader === elected, limit, "The old leader becomes follower");
});

Then("all replicas have the same membership, with or without the new replica", () => {
    const members = [...group.nodes.values()].map(node => node.replica!.status())
        .filter(status => status.leader !== undefined).map(status => status.members);
    members.forEach(list => assert.deepEqual(list, members[0]));
    assert.ok(members.length >= 5);
});

When("the leader is isolated while it removes itself and all replicas restart", async () => {
    faulty = group.leader()!;
    const change = faulty.replica!.changeMembership({ kind: MembershipChange.Remove, name: faulty.name });
    await group.until(() => faulty.replica!.status().members.length === 1, 1_000, "The removal is appended", 1);
    group.isolate(faulty.name);
    // The removal becomes durable on the leader only.
    await group.advance(20);
    faulty.crash();
    assert.ok(await group.outcomeOf(change) instanceof Error);
    const [other] = [...group.nodes.values()].filter(node => node !== faulty);
    assert.equal(other!.replica!.status().members.length, 2);
    other!.crash();
    heal();
});

Then(
    "the removal is committed within {int} ms, another replica is leader and no acknowledged proposal is lost",
    async (limit: number) => {
        const isRemoved = () =>
            (group.leader() ?? faulty) !== faulty
            && group.leader()!.replica!.status().members.every(member => member.name !== faulty.name);
        await group.until(isRemoved, limit, "The removal is committed");
        group.assertNothingLost();
    },
);

const addLearner = async (restrict: () => void) => {
    group.addNode("d");
    group.start("d", []);
    restrict();
    const { storeId } = group.nodes.get("d")!.disk;
    const change = { kind: MembershipChange.AddLearner, name: "d", storeId };
    assert.equal(await group.outcomeOf(group.leader()!.replica!.changeMembership(change)), undefined);
};
When("a new replica that is isolated is added as a learner", () => addLearner(() => group.isolate("d")));
When("a new replica is added as a learner whose disk hangs once it has stored the term", async () => {
    await addLearner(() => {
        const { disk } = group.nodes.get("d")!;
        let { hardState } = disk;
        Object.defineProperty(disk, "hardState", {
            get: () => hardState,
            set: (stored: typeof hardState) => {
                hardState = stored;
                disk.isHanging = true;
            },
        });
    });
    assert.equal(group.nodes.get("d")!.disk.isHanging, true);
});
When("its disk no longer hangs", () => {
    group.nodes.get("d")!.disk.isHanging = false;
});

const promote = () =>
    group.outcomeOf(group.leader()!.replica!.changeMembership({ kind: MembershipChange.Promote, name: "d" }));

Then("its promotion is rejected", async () => {
    await group.advance(1_000);
    const outcome = await promote();
    assert.match(String(outcome), /has not caught up/);
});

Then("its promotion succeeds within {int} ms", async (limit: number) => {
    await awaitConvergence(limit);
    await awaitCaughtUp("d");
    assert.equal(await promote(), undefined);
});

Then("a crashed voter can be removed, after which two of three voters form a quorum", async () => {
    crash(followers().find(node => node.name !== "d")!);
    const change = { kind: MembershipChange.Remove, name: faulty.name };
    assert.equal(await group.outcomeOf(group.leader()!.replica!.changeMembership(change)), undefined);
    assert.equal(group.leader()!.replica!.status().members.length, 3);
    followers().find(node => node !== faulty)!.crash();
    await proposeAll(5);
});

Then("the removal of the other follower is rejected and further proposals are acknowledged", async () => {
    const other = followers().find(node => node !== faulty)!;
    const change = { kind: MembershipChange.Remove, name: other.name };
    const outcome = await group.outcomeOf(group.leader()!.replica!.changeMembership(change));
    assert.match(String(outcome), /no majority of voters that respond/);
    await proposeAll(5);
});

Then("each log has at most {int} entries", (limit: number) => {
    group.nodes.forEach(node => {
        const { firstIndex, lastIndex } = node.replica!.status();
        assert.ok(lastIndex - firstIndex < limit, `${node.name} has ${lastIndex - firstIndex + 1} entries.`);
    });
});

Then("replica {string} becomes leader within {int} ms", async (name: string, limit: number) => {
    await group.until(() => group.leader()?.name === name, limit, `${name} becomes leader`);
});

When(
    "replica {string} crashes and restarts once another replica is leader within {int} ms",
    async (name: string, milliseconds: number) => {
        crash(group.nodes.get(name)!);
        await awaitOtherLeader(milliseconds);
        group.start(name);
    },
);

Then("no acknowledged proposal is lost when leadership is transferred during proposals", async () => {
    const leader = group.leader()!;
    const pending = Array.from(
        { length: 20 },
        (_, at) => group.propose(leader.name, `moving ${at}`).catch(() => undefined),
    );
    assert.equal(await group.outcomeOf(leader.replica!.transferLeadership()), true);
    assert.equal(leader.replica!.holdsLeaderLease(), false);
    await group.until(() => group.leader() !== undefined, 2_000, "Leadership is transferred");
    assert.notEqual(group.leader()!.name, leader.name);
    await Promise.all(pending);
    await awaitConvergence(3_000);
});

When("the leader transfers leadership and is isolated as soon as the target campaigns", async () => {
    faulty = group.leader()!;
    void faulty.replica!.transferLeadership();
    const others = [...group.nodes.values()].filter(node => node !== faulty);
    const isCampaigning = () => others.some(node => node.replica!.status().role === ReplicaRole.Candidate);
    await group.until(isCampaigning, 1_000, "The transfer target campaigns", 1);
    group.isolate(faulty.name);
});

When("the disk of the leader is full", async () => {
    faulty = group.leader()!;
    faulty.disk.fault = "ENOSPC";
    const outcome = await group.outcomeOf(group.propose(faulty.name, "lost"));
    assert.ok(outcome instanceof Error);
});

Then("the leader stops with the storage error", () => {
    const { role, failure } = faulty.replica!.status();
    assert.equal(role, ReplicaRole.Stopped);
    assert.match(String(failure), /StorageError: ENOSPC/);
});

When("{int} proposals are made at once", async (count: number) => {
    const { name } = group.leader()!;
    const all = Promise.all(
        Array.from({ length: count }, (_, at) => group.propose(name, `at once ${at}`).catch((error: Error) => error)),
    );
    outcomes = await group.outcomeOf(all) as (number | Error)[];
});

Then("{int} are rejected without being appended and the others are acknowledged", async (count: number) => {
    assert.equal(outcomes.filter(outcome => outcome instanceof ProposalRefusedError).length, count);
    assert.equal(outcomes.filter(outcome => typeof outcome === "number").length, outcomes.length - count);
    await awaitConvergence(1_000);
    assert.equal(group.acknowledged.size, outcomes.length - count);
});

Then("a proposal over the payload limit is rejected without being appended", async () => {
    const { lastIndex } = group.leader()!.replica!.status();
    const outcome = await group.outcomeOf(group.propose(group.leader()!.name, "x".repeat(1_001)));
    assert.ok(outcome instanceof ProposalRefusedError);
    assert.equal(group.leader()!.replica!.status().lastIndex, lastIndex);
});

Then(
    "{int} random fault schedules with seed {int} preserve all guarantees",
    (count: number, seed: number) => runRandomSchedules(count, seed),
);
