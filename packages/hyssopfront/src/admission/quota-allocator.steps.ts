import { Given, Then, When } from "@cucumber/cucumber";
import { sampleView } from "@hyssopfront/bench/quotas/sample-view.js";
import { createManualClock, type ManualClock } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import type { QuotaGrant } from "../sessions/messages.js";
import { BudgetUnit } from "./admission.js";
import { shiftRequestsKey } from "./budgets.js";
import { ALLOCATOR_TERM_KEY } from "./entry-admission.js";
import { createQuotaAllocator, type QuotaAllocator } from "./quota-allocator.js";

const KEY = shiftRequestsKey("evening");

type Process = {
    incarnation: string;
    sentAt: number;
    term: number;
    quota: number;
    floor: number;
    omitsSentAt?: boolean;
};

let clock: ManualClock;
let allocator: QuotaAllocator;
let term: number;
let revision: number;
let cap: number;
let names: string[];
let processes: Map<string, Process>;
let grants: Map<string, QuotaGrant | undefined>;

const applyView = () =>
    allocator.applyView(sampleView({ revision: ++revision, entries: names, requestsPerSecond: cap }));

const sendRenewal = (entry: string, process: Process, wanted: number) => {
    const { incarnation, quota, floor } = process;
    const sentAt = process.omitsSentAt ? undefined : process.sentAt;
    return allocator.renew({
        entry,
        incarnation,
        sentAt,
        appliedRevision: revision,
        demands: [
            { key: ALLOCATOR_TERM_KEY, unit: BudgetUnit.Concurrent, wanted: 0, held: process.term },
            { key: KEY, unit: BudgetUnit.RequestsPerSecond, wanted, held: quota, portion: quota, floor },
        ],
    });
};

/** Renews like an entry, and applies the grants. */
const renew = (entry: string, wanted: number) => {
    const process = processes.get(entry);
    assert.ok(process !== undefined);
    process.sentAt++;
    const reply = sendRenewal(entry, process, wanted);
    const grant = reply.find(({ key }) => key === KEY);
    process.term = reply.find(({ key }) => key === ALLOCATOR_TERM_KEY)?.portion ?? process.term;
    if (grant?.limit !== undefined) {
        process.quota = grant.portion;
        process.floor = grant.floor ?? 0;
    }
    grants.set(entry, grant);
};

const startProcess = (entry: string, incarnation: string) =>
    processes.set(entry, { incarnation, sentAt: 0, term: 0, quota: 0, floor: 0 });

Given(
    "a leader with a cap of {int} requests and entries {string} and {string} that have reported",
    async (limit: number, first: string, second: string) => {
        clock = createManualClock();
        // Without a cache, each of several renewals at the same time uses the newest demands.
        allocator = createQuotaAllocator({ clock, cacheMillisecondsPerHolder: 0 });
        [term, revision, cap, names] = [1, 0, limit, [first, second]];
        processes = new Map();
        grants = new Map();
        applyView();
        allocator.startLeading(term);
        await clock.advance(20_000);
        names.forEach(name => startProcess(name, "first"));
        [first, second, first, second].forEach(name => renew(name, 0));
    },
);

Given("{string} does not send the time of its renewals", (entry: string) => {
    startProcess(entry, "without-times");
    const process = processes.get(entry);
    assert.ok(process !== undefined);
    process.omitsSentAt = true;
    renew(entry, 0);
    renew(entry, 0);
});

When("{string} demands {int} requests", renew);

When("{int} milliseconds pass at the leader", (milliseconds: number) => clock.advance(milliseconds));

When("the cap is lowered to {int} requests", (limit: number) => {
    cap = limit;
    applyView();
});

When("a new term starts", () => allocator.startLeading(++term));

When("a report of {string} from the earlier term arrives", (entry: string) => {
    const process = processes.get(entry);
    assert.ok(process !== undefined && process.term < term);
    sendRenewal(entry, { ...process, sentAt: process.sentAt + 1 }, 0);
    sendRenewal(entry, { ...process, sentAt: process.sentAt + 2 }, 0);
});

When("{string} restarts and reports twice", (entry: string) => {
    startProcess(entry, "second");
    renew(entry, 0);
    renew(entry, 0);
});

When("a delayed message of the ended process of {string} arrives", (entry: string) => {
    sendRenewal(entry, { incarnation: "first", sentAt: 99, term: term - 1, quota: 50, floor: 50 }, 10);
});

Then("the new process of {string} still receives grants", (entry: string) => {
    renew(entry, 0);
    assert.ok(grants.get(entry) !== undefined);
});

When("{string} is removed from the configuration", (entry: string) => {
    names = names.filter(name => name !== entry);
    applyView();
});

When("the session of {string} ends", (entry: string) => allocator.endSession(entry, "first"));

Then("{string} is granted {int}", (entry: string, quota: number) => {
    const grant = grants.get(entry);
    assert.ok(grant?.limit !== undefined, "The reply contains no new grant.");
    assert.ok(Math.abs(grant.portion - quota) <= 1, `${grant.portion} were granted instead of ${quota}.`);
});

Then(
    "{string} is granted exactly {int}",
    (entry: string, quota: number) => assert.equal(grants.get(entry)?.portion, quota),
);

Then("{string} may keep {int} without a new grant", (entry: string, quota: number) => {
    const grant = grants.get(entry);
    assert.equal(grant?.limit, undefined);
    assert.ok(Math.abs((grant?.portion ?? 0) - quota) <= 1, `${grant?.portion} may be kept instead of ${quota}.`);
});
