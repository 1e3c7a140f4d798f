import { After, Given, Then, When } from "@cucumber/cucumber";
import {
    createManualClock,
    type ManualClock,
    type Member,
    MembershipChange,
    type MembershipRequest,
    type Replica,
    ReplicaRole,
} from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { createFormation, type Formation } from "./formation.js";

const SELF = "a";
/** Time without a message after which a connection ends, in milliseconds. */
const SILENT_CONNECTION_MS = 2_000;
const VOTERS = [SELF, "b", "c", "d", "e"];

let clock: ManualClock;
let members: readonly Member[];
/** Monotonic time since which a member has been silent, in milliseconds. */
let silentSince: Map<string, number>;
let laggingLearners: Set<string>;
let changes: MembershipRequest[];
let formation: Formation;
let stopping = new AbortController();

const silenceOf = (name: string) => {
    const now = clock.monotonicMilliseconds();
    return now - (silentSince.get(name) ?? now);
};

const changeMembership = (change: MembershipRequest) => {
    if (change.kind === MembershipChange.Promote && laggingLearners.has(change.name)) {
        return Promise.reject(new Error("The learner has not caught up."));
    }
    changes.push(change);
    const others = members.filter(({ name }) => name !== change.name);
    members = change.kind === MembershipChange.Remove
        ? others
        : [...others, { name: change.name, isVoter: change.kind === MembershipChange.Promote }];
    return Promise.resolve();
};

/** The parts of a leading replica that the formation uses. */
const createLeader = () =>
    ({
        status: () => ({ role: ReplicaRole.Leader, leader: SELF, members, matchIndex: {} }),
        holdsLeaderLease: () => true,
        leaderlessForMilliseconds: () => 0,
        silentForMilliseconds: (name: string) => name === SELF ? undefined : silenceOf(name),
        changeMembership,
    }) as unknown as Replica;

const start = (learners: readonly string[]) => {
    clock = createManualClock();
    members = [
        ...VOTERS.map(name => ({ name, isVoter: true })),
        ...learners.map(name => ({ name, isVoter: false })),
    ];
    silentSince = new Map();
    laggingLearners = new Set();
    changes = [];
    stopping = new AbortController();
    const replica = createLeader();
    formation = createFormation({
        clock,
        self: SELF,
        replica: () => replica,
        peers: {
            call: () => Promise.reject(new Error("No instance is called.")),
            maintainConnections: () => undefined,
            connected: () => members.map(({ name }) => name).filter(name => silenceOf(name) < SILENT_CONNECTION_MS),
            close: () => Promise.resolve(),
        },
        seeds: () => VOTERS.slice(0, 3),
        voterCount: VOTERS.length,
        onChange: () => undefined,
    });
    void formation.run(stopping.signal);
};

After(() => stopping.abort());

Given("a leader of 5 voters and no learner", () => start([]));
Given("a leader of 5 voters and the learner {string}", (name: string) => start([name]));
Given("the learner {string} has not caught up", (name: string) => laggingLearners.add(name));

When("the learner {string} has caught up", (name: string) => laggingLearners.delete(name));
When("the learner {string} joins", (name: string) => {
    members = [...members, { name, isVoter: false }];
});
When(/^the (?:voter|learner) "(.)" is silent$/, (name: string) => silentSince.set(name, clock.monotonicMilliseconds()));
When("{int} ms pass", (milliseconds: number) => clock.advance(milliseconds));

Then("after {int} ms the changes are {string}", async (milliseconds: number, expected: string) => {
    await clock.advance(milliseconds);
    assert.equal(changes.splice(0).map(({ kind, name }) => `${kind} ${name}`).join(", "), expected);
});
Then("after {int} ms there is no change", async (milliseconds: number) => {
    await clock.advance(milliseconds);
    assert.deepEqual(changes, []);
});
