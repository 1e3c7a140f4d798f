import { After, Given, Then, When } from "@cucumber/cucumber";
import { createManualClock, type ManualClock, NO_COUNTERS } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { RenewSessionResult, SESSION_LEASE_MS } from "./messages.js";
import { type Session, startSession } from "./session.js";

const STEP_MS = 10;

let clock: ManualClock;
let session: Session | undefined;
let leader: string;
let silent: string | undefined;
let silentSince: number;
/** Instance and time of the renewals that were granted. */
let renewals: { instance: string; at: number }[];

const now = () => clock.monotonicMilliseconds();

const advance = async (milliseconds: number) => {
    for (let passed = 0; passed < milliseconds; passed += STEP_MS) {
        await clock.advance(STEP_MS);
    }
};

/** Answers as a control instance that is reached over a connection without delay. */
const answerRenewal = async (instance: string, deadlineMilliseconds: number) => {
    if (instance === silent) {
        await clock.sleep(deadlineMilliseconds);
        throw new Error("The deadline has passed.");
    }
    if (instance !== leader) {
        return { result: RenewSessionResult.NotLeader, leader };
    }
    renewals.push({ instance, at: now() });
    return { result: RenewSessionResult.Renewed, leaseMilliseconds: SESSION_LEASE_MS, revision: 1, grants: [] };
};

const beSilent = (instance: string) => {
    silent = instance;
    silentSince = now();
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
        silent = undefined;
        renewals = [];
        session = startSession({
            clock,
            counters: NO_COUNTERS,
            controlInstances: Array.from({ length: count }, (_, index) => `control-${index + 1}`),
            call: (instance, _kind, _payload, deadlineMilliseconds) => answerRenewal(instance, deadlineMilliseconds),
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
            demands: () => [],
            applyGrants: () => undefined,
        });
        await advance(1_000);
        assert.ok(session.holdsViewLease());
    },
);

When(
    "{string} falls silent, and the others name it until they elect {string} after {int} ms",
    async (old: string, elected: string, milliseconds: number) => {
        beSilent(old);
        await advance(milliseconds);
        leader = elected;
    },
);

When("{string} falls silent for {int} ms and goes on to lead", async (instance: string, milliseconds: number) => {
    beSilent(instance);
    await advance(milliseconds);
    silent = undefined;
});

Then(
    "the entry has renewed its session at {string} within {int} ms after the silence began",
    async (instance: string, milliseconds: number) => {
        await advance(Math.max(0, silentSince + milliseconds - now()));
        const found = renewals.find(renewal => renewal.instance === instance && renewal.at > silentSince);
        assert.ok(found !== undefined, `The renewals were ${JSON.stringify(renewals)}.`);
    },
);
