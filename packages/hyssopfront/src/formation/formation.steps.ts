import { After, Given, Then, When } from "@cucumber/cucumber";
import {
    createManualClock,
    type ManualClock,
    type Member,
    MembershipChange,
    type MembershipRequest,
    type Replica,
    ReplicaRole,
    type ReplicaStatus,
} from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { createFormation, type Formation, JOIN_REQUEST_KIND, LEAVE_REQUEST_KIND } from "./formation.js";

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
let requests: { readonly name: string; readonly kind: string }[];
/** Names to which the instance maintains connections. */
let contacts: readonly string[];
let isStorageOpen: boolean;
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
    formation.handleStatus(getStatus());
    return Promise.resolve();
};

/** The parts of the status of a leader that the formation uses. */
const getStatus = () =>
    ({ role: ReplicaRole.Leader, leader: SELF, members, matchIndex: {} }) as unknown as ReplicaStatus;

/** The parts of a leading replica that the formation uses. */
const createLeader = () =>
    ({
        status: getStatus,
        holdsLeaderLease: () => true,
        leaderlessForMilliseconds: () => 0,
        silentForMilliseconds: (name: string) => name === SELF ? undefined : silenceOf(name),
        changeMembership,
    }) as unknown as Replica;

const start = (initialMembers: readonly Member[]) => {
    clock = createManualClock();
    members = initialMembers;
    silentSince = new Map();
    laggingLearners = new Set();
    changes = [];
    requests = [];
    contacts = [];
    isStorageOpen = true;
    stopping = new AbortController();
    const replica = createLeader();
    formation = createFormation({
        clock,
        self: SELF,
        replica: () => isStorageOpen ? replica : undefined,
        peers: {
            call: (name, kind) => {
                requests.push({ name, kind });
                return Promise.resolve({ members: [] });
            },
            maintainConnections: names => {
                contacts = names;
            },
            connected: () => members.map(({ name }) => name).filter(name => silenceOf(name) < SILENT_CONNECTION_MS),
            close: () => Promise.resolve(),
        },
        seeds: () => VOTERS.slice(0, 3),
        voterCount: VOTERS.length,
        onChange: () => undefined,
    });
    formation.handleStatus(getStatus());
    void formation.run(stopping.signal);
};

After(() => stopping.abort());

const voters = VOTERS.map(name => ({ name, isVoter: true }));
Given("a leader of 5 voters and no learner", () => start(voters));
Given("a leader of 5 voters and the learner {string}", (name: string) => start([...voters, { name, isVoter: false }]));
Given("a leader of 3 voters", () => start(voters.slice(0, 3)));
Given("a replica that is not a member", () => start([]));
Given("the learner {string} has not caught up", (name: string) => laggingLearners.add(name));

When("the learner {string} has caught up", (name: string) => laggingLearners.delete(name));
When("the learner {string} joins", (name: string) => {
    members = [...members, { name, isVoter: false }];
});
When(/^the (?:voter|learner) "(.)" is silent$/, (name: string) => silentSince.set(name, clock.monotonicMilliseconds()));
When("{string} asks to join", (name: string) => void formation.handleJoin(name));
When("the storage of the leader closes", () => {
    isStorageOpen = false;
});
When("the voter {string} is about to stop", (name: string) => formation.handleLeave(name));
When("it is about to stop", async () => {
    requests = [];
    await formation.leave();
});
When("{int} ms pass", (milliseconds: number) => clock.advance(milliseconds));

Then("after {int} ms the changes are {string}", async (milliseconds: number, expected: string) => {
    await clock.advance(milliseconds);
    assert.equal(changes.splice(0).map(({ kind, name }) => `${kind} ${name}`).join(", "), expected);
});
Then("after {int} ms it is connected to {string}", async (milliseconds: number, expected: string) => {
    await clock.advance(milliseconds);
    assert.equal([...contacts].sort().join(", "), expected);
});
Then("after {int} ms there is no change", async (milliseconds: number) => {
    await clock.advance(milliseconds);
    assert.deepEqual(changes, []);
});

const listReceivers = (kind: string) =>
    [...new Set(requests.filter(request => request.kind === kind).map(({ name }) => name))].join(", ");
Then("after {int} ms it has asked {string} to join", async (milliseconds: number, expected: string) => {
    await clock.advance(milliseconds);
    assert.equal(listReceivers(JOIN_REQUEST_KIND), expected);
});
Then("it has asked {string} to be replaced", (expected: string) => {
    assert.equal(listReceivers(LEAVE_REQUEST_KIND), expected);
});
Then("after {int} ms it has asked none to join", async (milliseconds: number) => {
    await clock.advance(milliseconds);
    assert.equal(listReceivers(JOIN_REQUEST_KIND), "");
});
