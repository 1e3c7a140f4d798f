import { After, Given, Then, When } from "@cucumber/cucumber";
import { createManualClock, type ManualClock, NO_COUNTERS } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { RenewSessionResult, SESSION_LEASE_MS } from "./messages.js";
import { type Session, startSession } from "./session.js";

const STEP_MS = 10;

let clock: ManualClock;
let session: Session | undefined;
let leader: string;
let unresponsiveInstance: string | undefined;
let unresponsiveSince: number;
/** Instance and time of each successful renewal. */
let renewals: { instance: string; at: number }[];

const now = () => clock.monotonicMilliseconds();

const advance = async (milliseconds: number) => {
    for (let passed = 0; passed < milliseconds; passed += STEP_MS) {
        await clock.advance(STEP_MS);
    }
};

/** Replies like a control instance, without network delay. */
const replyToRenewal = async (instance: string, deadlineMilliseconds: number) => {
    if (instance === unresponsiveInstance) {
        await clock.sleep(deadlineMilliseconds);
        throw new Error("The deadline has passed.");
    }
    if (instance !== leader) {
        return { result: RenewSessionResult.NotLeader, leader };
    }
    renewals.push({ instance, at: now() });
    return { result: RenewSessionResult.Renewed, leaseMilliseconds: SESSION_LEASE_MS, revision: 1, grants: [] };
};

const stopResponding = (instance: string) => {
    unresponsiveInstance = instance;
    unresponsiveSince = now();
};

After(async () => {
    if (session !== undefined) {
        const ended = session.end();
        await advance(10_000);
        await ended;
        session = undefined;
    }
});

Given(
    "an entry with a session at {string}, the leader of {int} control instances",
    async (first: string, count: number) => {
        clock = createManualClock();
        leader = first;
        unresponsiveInstance = undefined;
        renewals = [];
        session = startSession({
            clock,
            counters: NO_COUNTERS,
            controlInstances: Array.from({ length: count }, (_, index) => `control-${index + 1}`),
            call: (instance, _kind, _payload, deadlineMilliseconds) => replyToRenewal(instance, deadlineMilliseconds),
            describeEntry: () => ({
                entry: "entry-1",
                incarnation: "a",
                address: "127.0.0.1",
                callerPort: 1,
                peerPort: 2,
                availabilityZone: "zone-1",
                isLeaving: false,
                appliedRevision: 1,
            }),
            collectDemands: () => [],
            applyGrants: () => undefined,
        });
        await advance(1_000);
        assert.ok(session.holdsViewLease());
    },
);

When(
    "{string} stops responding, and the others name it until they elect {string} after {int} ms",
    async (old: string, elected: string, milliseconds: number) => {
        stopResponding(old);
        await advance(milliseconds);
        leader = elected;
    },
);

When(
    "{string} stops responding for {int} ms and remains the leader",
    async (instance: string, milliseconds: number) => {
        stopResponding(instance);
        await advance(milliseconds);
        unresponsiveInstance = undefined;
    },
);

Then(
    "the entry has renewed its session at {string} within {int} ms after the failure",
    async (instance: string, milliseconds: number) => {
        await advance(Math.max(0, unresponsiveSince + milliseconds - now()));
        const found = renewals.find(renewal => renewal.instance === instance && renewal.at > unresponsiveSince);
        assert.ok(found !== undefined, `The renewals were ${JSON.stringify(renewals)}.`);
    },
);
