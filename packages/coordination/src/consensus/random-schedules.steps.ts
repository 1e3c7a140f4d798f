/**
 * Random fault schedules against a group under load.
 */
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { MembershipChange } from "./membership.js";
import type { SimulatedGroup } from "./simulated-group.steps.js";
import { createSimulatedGroup } from "./simulated-group.steps.js";

enum Fault {
    Crash = "crash",
    CrashAll = "crashAll",
    Restart = "restart",
    Kill = "kill",
    Isolate = "isolate",
    CutOneWay = "cutOneWay",
    HealNetwork = "healNetwork",
    Suspend = "suspend",
    Resume = "resume",
    Lossy = "lossy",
    Slow = "slow",
    Wipe = "wipe",
    WipeInPowerLoss = "wipeInPowerLoss",
    Transfer = "transfer",
    RemoveOrAdd = "removeOrAdd",
}

type FaultStep = { readonly fault: Fault; readonly node: number; readonly other: number; readonly pause: number };

const faultStep: fc.Arbitrary<FaultStep> = fc.record({
    fault: fc.constantFrom(...Object.values(Fault)),
    node: fc.nat(4),
    other: fc.nat(4),
    pause: fc.integer({ min: 10, max: 2_500 }),
});

const NAMES = ["a", "b", "c", "d", "e"];

/** Runs random schedules derived from one seed; the error of a failure includes the seed and the schedule. */
export async function runRandomSchedules(count: number, seed: number): Promise<void> {
    process.stdout.write(`random schedules, seed ${seed}\n`);
    let acknowledged = 0;
    const property = fc.asyncProperty(
        fc.integer({ min: 1, max: 1_000_000 }),
        fc.constantFrom(3, 5),
        fc.array(faultStep, { minLength: 15, maxLength: 30, size: "max" }),
        async (groupSeed, size, steps) => {
            acknowledged += await runSchedule(groupSeed, size, steps);
        },
    );
    await fc.assert(property, { seed, numRuns: count, endOnFailure: true, includeErrorInReport: true });
    assert.ok(
        acknowledged > 100 * count,
        `Only ${acknowledged} proposals were acknowledged, so the schedules tested too little.`,
    );
}

async function runSchedule(seed: number, size: number, steps: readonly FaultStep[]): Promise<number> {
    const group = createSimulatedGroup(NAMES.slice(0, size), seed, () => ({
        snapshotEveryEntries: 100,
        snapshotChunkBytes: 500,
    }));
    group.nodes.forEach((_, name) => group.start(name));
    await group.until(() => group.leader() !== undefined, 5_000, "The first election");
    let isLoadRunning = true;
    const load = runLoad(group, () => isLoadRunning);
    for (const step of steps) {
        injectFault(group, size, step);
        await group.advance(step.pause);
    }
    group.cutLinks.clear();
    Object.assign(group.conditions, { loss: 0, duplication: 0, maximumDelay: 4 });
    group.nodes.forEach(node => {
        group.resume(node.name);
        if (node.replica === undefined) {
            group.start(node.name);
        }
    });
    await group.advance(5_000);
    isLoadRunning = false;
    await group.outcomeOf(load, 20_000);
    await group.until(() => isConverged(group), 10_000, "All members converge after the faults").catch(
        (error: Error) => {
            const statuses = [...group.nodes.values()].map(node => ({ name: node.name, ...node.replica?.status() }));
            throw new Error(`${error.message} ${JSON.stringify(statuses)}`);
        },
    );
    group.assertNothingLost();
    group.nodes.forEach(node => node.replica?.stop());
    return group.acknowledged.size;
}

/** Whether all members have applied the whole log of the leader and every wiped voter is a voter again. */
function isConverged(group: SimulatedGroup): boolean {
    const status = group.leader()?.replica!.status();
    return status !== undefined && status.members.length === group.nodes.size
        && status.members.every(member =>
            member.isVoter && member.storeId === group.nodes.get(member.name)!.disk.storeId
        )
        && [...group.nodes.values()].every(node => node.replica!.status().appliedIndex === status.lastIndex);
}

/** Proposes on each lease holder and reads on random replicas while the load is running. */
async function runLoad(group: SimulatedGroup, isLoaded: () => boolean): Promise<void> {
    const running = new Set<Promise<unknown>>();
    const track = (operation: Promise<unknown>) => {
        const settled = operation.catch(() => undefined).finally(() => running.delete(settled));
        running.add(settled);
    };
    for (let number = 1; isLoaded(); number++) {
        const names = [...group.nodes.values()].filter(node => node.replica !== undefined && !node.isSuspended)
            .map(node => node.name);
        names.filter(name => group.nodes.get(name)!.replica!.holdsLeaderLease())
            .forEach(name => track(group.propose(name, `change ${number}`)));
        const reader = names[Math.floor(group.random() * names.length)];
        if (reader !== undefined) {
            track(group.read(reader));
        }
        track(restoreRemovedMembers(group));
        await group.clock.sleep(20 + 40 * group.random());
    }
    await Promise.all(running);
}

/** Adds and promotes members that a schedule has removed. */
async function restoreRemovedMembers(group: SimulatedGroup): Promise<void> {
    const replica = group.leader()?.replica;
    const members = replica?.status().members ?? [];
    const missing = [...group.nodes.values()].find(node =>
        node.replica !== undefined && members.every(member => member.name !== node.name)
    );
    const learner = members.find(member => !member.isVoter && !member.isReturning);
    if (group.random() < 0.9 || replica === undefined) {
        return;
    }
    if (missing !== undefined) {
        const change = { kind: MembershipChange.AddLearner, name: missing.name, storeId: missing.disk.storeId };
        await replica.changeMembership(change);
        return;
    }
    if (learner !== undefined) {
        await replica.changeMembership({ kind: MembershipChange.Promote, name: learner.name });
    }
}

/**
 * A wiped disk is a lost replica, so a disk may be wiped only while all replicas run as voters with their own store.
 */
function isWipeAllowed(group: SimulatedGroup, size: number): boolean {
    return group.nodes.size === size && [...group.nodes.values()].every(node => node.replica !== undefined)
        && isMembershipConverged(group, size);
}

function isMembershipConverged(group: SimulatedGroup, size: number): boolean {
    const status = group.leader()?.replica!.status();
    return status !== undefined && status.members.length === size && status.replacedStores.length === 0
        && status.members.every(member =>
            member.isVoter && member.storeId === group.nodes.get(member.name)?.disk.storeId
        );
}

function injectFault(group: SimulatedGroup, size: number, { fault, node, other }: FaultStep): void {
    const name = NAMES[node % size]!;
    const otherName = NAMES[other % size]!;
    const target = group.nodes.get(name)!;
    switch (fault) {
        case Fault.Crash:
            target.crash();
            break;
        case Fault.CrashAll:
            group.nodes.forEach(each => each.crash());
            group.nodes.forEach(each => group.start(each.name));
            break;
        case Fault.Restart:
            target.crash();
            group.start(name);
            break;
        case Fault.Kill:
            target.kill();
            group.start(name);
            break;
        case Fault.Isolate:
            group.isolate(name);
            break;
        case Fault.CutOneWay:
            group.cutLink(name, otherName);
            break;
        case Fault.HealNetwork:
            group.cutLinks.clear();
            Object.assign(group.conditions, { loss: 0, duplication: 0, maximumDelay: 4 });
            break;
        case Fault.Suspend:
            target.isSuspended = true;
            break;
        case Fault.Resume:
            group.nodes.forEach(each => group.resume(each.name));
            break;
        case Fault.Lossy:
            Object.assign(group.conditions, { loss: 0.1, duplication: 0.1 });
            break;
        case Fault.Slow:
            Object.assign(group.conditions, { maximumDelay: 300 });
            break;
        case Fault.Wipe:
            if (isWipeAllowed(group, size)) {
                group.wipe(name);
                group.start(name);
            }
            break;
        case Fault.WipeInPowerLoss:
            if (isWipeAllowed(group, size)) {
                const tolerated = Math.floor((size - 1) / 2);
                group.wipeWhileOthersLosePower(
                    Array.from({ length: tolerated }, (_, at) => NAMES[(node + at) % size]!),
                );
            }
            break;
        case Fault.Transfer:
            void group.leader()?.replica!.transferLeadership(otherName);
            break;
        case Fault.RemoveOrAdd:
            // Two voters do not tolerate a lost disk, so a removal must not leave two of which one has just been wiped.
            if (!isMembershipConverged(group, size)) {
                break;
            }
            void group.leader()?.replica!.changeMembership({ kind: MembershipChange.Remove, name }).catch(() =>
                undefined
            );
            break;
    }
}
