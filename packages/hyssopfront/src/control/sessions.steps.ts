import { Given, Then, When } from "@cucumber/cucumber";
import type { ManualClock, Replica } from "@hyssopfront/coordination";
import { createManualClock, NO_COUNTERS, ReplicaRole } from "@hyssopfront/coordination";
import fc from "fast-check";
import assert from "node:assert/strict";
import { CommandKind, encodeCommand, type EntryRegistration } from "../resources/messages.js";
import {
    type RenewSessionRequest,
    RenewSessionResult,
    SESSION_LEASE_MS,
    SESSION_RENEWAL_INTERVAL_MS,
} from "../sessions/messages.js";
import { describeConditions } from "./in-force.js";
import { createLeader, type Leader } from "./leader.js";
import { createMainGroup } from "./main-group.js";
import { createSessionTable, type SessionTable } from "./session-table.js";

const RENEWAL_STEP_MS = 500;

let clock: ManualClock;
let sessionTable: SessionTable;
let committedRevision: number;
let registeredEntries: EntryRegistration[];
let lastRenewalAt: number;
let leader: Leader;
let hasLeaderLease: boolean;
let losesLeaderLeaseOnPropose: boolean;

const createRegistration = (name: string, peerPort = 100): EntryRegistration => ({
    name,
    address: "127.0.0.1",
    callerPort: 1,
    peerPort,
    availabilityZone: "zone-1",
    isLeaving: false,
});

const createRequest = (
    name: string,
    appliedRevision: number,
    { incarnation = "a", peerPort = 100 } = {},
): RenewSessionRequest => {
    const { name: entry, ...rest } = createRegistration(name, peerPort);
    return { entry, ...rest, incarnation, appliedRevision, demands: [] };
};

const makeSessionTable = () =>
    createSessionTable({
        clock,
        self: "control-1",
        registeredEntries: () => registeredEntries,
        configurationRevision: () => committedRevision,
    });

const renew = (name: string, appliedRevision: number) => {
    lastRenewalAt = clock.monotonicMilliseconds();
    return sessionTable.renew(createRequest(name, appliedRevision)).isGranted;
};

const findCondition = (revision: number, type: string) =>
    describeConditions(revision, undefined, sessionTable.status()).find(condition => condition.type === type);

Given("a leader at revision {int} with the entries {string} and {string} at that revision", (
    revision: number,
    first: string,
    second: string,
) => {
    clock = createManualClock();
    committedRevision = revision;
    registeredEntries = [createRegistration(first), createRegistration(second)];
    sessionTable = makeSessionTable();
    sessionTable.startLeading(1, 0, revision);
    assert.equal(renew(first, revision), true);
    assert.equal(renew(second, revision), true);
    assert.equal(sessionTable.status().revision, revision);
});

When("revision {int} is committed and only {string} applies it", (revision: number, name: string) => {
    committedRevision = revision;
    const before = lastRenewalAt;
    assert.equal(renew(name, revision), true);
    lastRenewalAt = before;
});

const renewUntil = async (name: string, until: number) => {
    while (clock.monotonicMilliseconds() < until) {
        await clock.advance(Math.min(RENEWAL_STEP_MS, until - clock.monotonicMilliseconds()));
        assert.equal(sessionTable.renew(createRequest(name, committedRevision)).isGranted, true);
    }
};

Then("revision {int} is not in force, and after {int} seconds it is stalled by {string}", async (
    revision: number,
    seconds: number,
    name: string,
) => {
    assert.equal(findCondition(revision, "InForce")?.status, "False");
    assert.equal(findCondition(revision, "Stalled")?.status, "False");
    await renewUntil("entry-1", clock.monotonicMilliseconds() + seconds * 1_000);
    checkStalled(revision, name);
});

Then("revision {int} is stalled by {string}", (revision: number, name: string) => checkStalled(revision, name));

const checkStalled = (revision: number, name: string) => {
    const stalled = findCondition(revision, "Stalled");
    assert.equal(stalled?.status, "True");
    assert.match(stalled?.message ?? "", new RegExp(`Entry ${name} has applied revision 10, not 11`));
    assert.doesNotMatch(stalled?.message ?? "", /entry-1/);
};

When(
    "{string} renews until {int} milliseconds have passed since the last renewal of {string}",
    (name: string, milliseconds: number, _other: string) => renewUntil(name, lastRenewalAt + milliseconds),
);

When(
    "{string} renews until {int} milliseconds have passed since the election",
    (name: string, milliseconds: number) => renewUntil(name, milliseconds),
);

When(
    "both entries renew for {int} seconds, {string} at revision {int}",
    async (seconds: number, behind: string, revision: number) => {
        for (let elapsed = 0; elapsed < seconds * 1_000; elapsed += SESSION_RENEWAL_INTERVAL_MS) {
            await clock.advance(SESSION_RENEWAL_INTERVAL_MS);
            assert.deepEqual([renew("entry-1", committedRevision), renew(behind, revision)], [true, true]);
        }
    },
);

When("{int} milliseconds pass", (milliseconds: number) => clock.advance(milliseconds));

Then(/^revision (\d+) is (not )?in force$/, (revision: string, negation: unknown) => {
    assert.equal(findCondition(Number(revision), "InForce")?.status === "True", typeof negation !== "string");
});

Then(
    "{string} gets no lease at revision {int}, and gets one at revision {int}",
    (name: string, below: number, at: number) => {
        assert.deepEqual([renew(name, below), renew(name, at)], [false, true]);
    },
);

When("a new leader starts at revision {int} and only {string} reports", (revision: number, name: string) => {
    sessionTable = makeSessionTable();
    sessionTable.startLeading(2, 0, revision);
    assert.equal(renew(name, revision), true);
});

When("a new leader starts at revision {int}", (revision: number) => {
    committedRevision = revision;
    sessionTable = makeSessionTable();
    sessionTable.startLeading(2, 0, revision);
});

Then("revision {int} is not in force, and {string} is listed as not reported", (revision: number, name: string) => {
    const condition = findCondition(revision, "InForce");
    assert.deepEqual([condition?.status, condition?.reason], ["Unknown", "EntryNotHeardByNewLeader"]);
    assert.match(condition?.message ?? "", new RegExp(name));
});

Then("{string} at another port is rejected until its lease has ended", async (name: string) => {
    const other = createRequest(name, 10, { incarnation: "b", peerPort: 200 });
    await clock.advance(SESSION_LEASE_MS);
    assert.match(sessionTable.findNameConflict(other) ?? "", /holds a session at 127.0.0.1:100/);
    await clock.advance(11);
    assert.equal(sessionTable.findNameConflict(other), undefined);
});

Then("another incarnation of {string} at the same port takes over, and the earlier one is rejected", (name: string) => {
    const next = createRequest(name, 10, { incarnation: "b" });
    assert.equal(renew(name, 10), true);
    assert.equal(sessionTable.findNameConflict(next), undefined);
    assert.equal(sessionTable.renew(next).isGranted, true);
    assert.match(sessionTable.findNameConflict(createRequest(name, 10)) ?? "", /was replaced/);
});

Then(
    "{string} cannot be removed before its lease has ended, and gets none while it is removed",
    async (name: string) => {
        await clock.advance(SESSION_LEASE_MS);
        assert.equal(sessionTable.beginRemoval(name), false);
        await clock.advance(11);
        assert.equal(sessionTable.beginRemoval(name), true);
        assert.equal(renew(name, 10), false);
        sessionTable.finishRemoval(name);
        assert.equal(renew(name, 10), true);
    },
);

type EntryState = { incarnation: number; applied: number; leaseEndsAt: number };
type DelayedRenewal = { entry: number; request: RenewSessionRequest; sentAt: number; term: number };

/**
 * Runs one history and checks after each step that every entry with a lease has applied the highest revision that a
 * leader has reported in force.
 *
 * Actions of a step: 0 to 2 send and deliver a renewal, 3 sends one that is delayed, 4 delivers a delayed one,
 * 5 commits a change, 6 and 7 apply changes, 8 advances the clock, 9 elects a leader, restarts the entry or does
 * nothing.
 */
const runHistory = async (steps: readonly { action: number; entry: number; amount: number }[]) => {
    clock = createManualClock();
    committedRevision = 1;
    registeredEntries = [0, 1, 2].map(index => createRegistration(`entry-${index}`));
    sessionTable = makeSessionTable();
    let term = 1;
    sessionTable.startLeading(term, 0, committedRevision);
    const entries = registeredEntries.map((): EntryState => ({ incarnation: 0, applied: 0, leaseEndsAt: 0 }));
    const delayed: DelayedRenewal[] = [];
    let highestReported = 0;
    const deliver = ({ entry, request, sentAt, term: sentTerm }: DelayedRenewal) => {
        const state = entries[entry] as EntryState;
        const isCurrent = request.incarnation === String(state.incarnation);
        // The connections of an ended process are closed, so its requests do not reach a leader that is elected later.
        if ((!isCurrent && sentTerm !== term) || sessionTable.findNameConflict(request) !== undefined) {
            return;
        }
        if (sessionTable.renew(request).isGranted && isCurrent) {
            state.leaseEndsAt = Math.max(state.leaseEndsAt, sentAt + SESSION_LEASE_MS);
        }
    };
    for (const { action, entry, amount } of steps) {
        const state = entries[entry] as EntryState;
        if (action < 4) {
            const request = createRequest(`entry-${entry}`, state.applied, { incarnation: String(state.incarnation) });
            delayed.push({ entry, request, sentAt: clock.monotonicMilliseconds(), term });
        }
        if (action < 3 || action === 4) {
            delayed.splice(action === 4 ? amount % (delayed.length + 1) : -1, 1).forEach(deliver);
        }
        if (action === 5) {
            committedRevision += 1;
        }
        if (action === 6 || action === 7) {
            state.applied = Math.min(committedRevision, state.applied + 1 + amount % 3);
        }
        if (action === 8) {
            await clock.advance(amount);
        }
        if (action === 9 && amount % 3 === 0) {
            term += 1;
            sessionTable.startLeading(term, clock.monotonicMilliseconds(), committedRevision);
        }
        if (action === 9 && amount % 3 === 1) {
            entries[entry] = { incarnation: state.incarnation + 1, applied: 0, leaseEndsAt: 0 };
        }
        const { revision } = sessionTable.status();
        highestReported = Math.max(highestReported, revision);
        entries.forEach(({ leaseEndsAt, applied }, index) => {
            const holdsLease = clock.monotonicMilliseconds() < leaseEndsAt;
            assert.ok(
                !holdsLease || applied >= highestReported,
                `entry ${index} at ${applied}, reported ${highestReported}`,
            );
        });
    }
    return highestReported;
};

Then(
    "{int} random histories of {int} steps with failovers, restarts and delayed renewals satisfy this, with seed {int}",
    async (histories: number, length: number, seed: number) => {
        const step = fc.record({
            action: fc.integer({ min: 0, max: 9 }),
            entry: fc.integer({ min: 0, max: 2 }),
            amount: fc.integer({ min: 0, max: 2_500 }),
        });
        let reported = 0;
        await fc.assert(
            fc.asyncProperty(fc.array(step, { minLength: length, maxLength: length }), async steps => {
                reported += await runHistory(steps) > 1 ? 1 : 0;
            }),
            { numRuns: histories, seed },
        );
        assert.ok(reported > histories / 2, `Only ${reported} histories reported a revision in force.`);
    },
);

Given("a leader on a replica whose leader lease can end", () => {
    hasLeaderLease = true;
    losesLeaderLeaseOnPropose = false;
    const mainGroup = createMainGroup({ clock, counters: NO_COUNTERS, onViewChange: () => undefined });
    let index = 0;
    const propose = (payload: Uint8Array) => {
        index += 1;
        hasLeaderLease = hasLeaderLease && !losesLeaderLeaseOnPropose;
        return Promise.resolve({ index, result: mainGroup.apply(index, payload) });
    };
    const replica = {
        status: () => ({ role: ReplicaRole.Leader, term: 1, leader: "control-1" }),
        holdsLeaderLease: () => hasLeaderLease,
        leadingForMilliseconds: () => hasLeaderLease ? 1 : undefined,
        readBarrier: () => Promise.resolve(index),
        propose,
    } as unknown as Replica;
    sessionTable = createSessionTable({
        clock,
        self: "control-1",
        registeredEntries: mainGroup.state.entries,
        configurationRevision: () => mainGroup.state.configurationRevision,
    });
    const quotaAllocator = {
        startLeading: () => undefined,
        renew: () => {
            assert.ok(hasLeaderLease, "Quotas were granted without a leader lease.");
            return [];
        },
        endSession: () => assert.fail("A session ended without a leader lease."),
    };
    leader = createLeader({
        clock,
        counters: NO_COUNTERS,
        replica,
        mainGroup,
        sessionTable,
        quotaAllocator,
    });
    return propose(encodeCommand({ command: CommandKind.RegisterEntry, entry: createRegistration("entry-1") }));
});

When("its leader lease ends", async () => {
    assert.equal((await leader.renewSession(createRequest("entry-1", 1))).result, RenewSessionResult.Renewed);
    hasLeaderLease = false;
});

Then("renewals get the result {string}, no status is reported, and no session ends", async (result: string) => {
    assert.equal((await leader.renewSession(createRequest("entry-1", 1))).result, result);
    assert.equal(await leader.inForceStatus(), undefined);
    assert.equal((await leader.endSession({ entry: "entry-1", incarnation: "a" })).result, result);
});

Then("a leader lease that ends while an entry is registered gives the entry no session lease", async () => {
    hasLeaderLease = true;
    losesLeaderLeaseOnPropose = true;
    assert.equal((await leader.renewSession(createRequest("entry-2", 1))).result, RenewSessionResult.NotLeader);
    assert.deepEqual(sessionTable.status().holders.map(holder => holder.entry), ["entry-1"]);
});
