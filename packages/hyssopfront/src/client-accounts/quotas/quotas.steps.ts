import { Before, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import { createManualClock, type ManualClock } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { NO_EVENT_LOG } from "../../event-log/event-log.js";
import { QuotaOutcome } from "./account-state.js";
import { createKnownEntries, type KnownEntries } from "./entry-reach.js";
import type { AccountGrant } from "./quota-messages.js";
import { countBusiestWindow, createQuotaSimulation, createRandom, type QuotaSimulation } from "./simulate-quotas.js";
import { createTokenAllocator, type TokenAllocator } from "./token-allocator.js";

/** Time in which new leaders fill their buckets before the callers start, in milliseconds. */
const START_MS = 2_000;
const WINDOW_MS = 5_000;
const DEFAULT_SEED = 1;

// The largest simulation has 450 entries and 40 s.
setDefaultTimeout(300_000);

/** Traffic of an account, in requests a second over all entries. */
type Traffic = {
    readonly requestsPerSecond: number;
    readonly burst: number;
    readonly demand: number;
    /** Whether requests come at regular intervals, so that they stay below the quota, rather than at random. */
    readonly isRegular?: boolean;
    /** Whether requests come only in the first 4 of 12 s. */
    readonly isIntermittent?: boolean;
};
const ACCOUNTS: Readonly<Record<string, Traffic>> = {
    large: { requestsPerSecond: 300, burst: 60, demand: 600 },
    medium: { requestsPerSecond: 30, burst: 5, demand: 60 },
    withoutBurst: { requestsPerSecond: 100, burst: 1, demand: 200 },
    satisfied: { requestsPerSecond: 100, burst: 50, demand: 80 },
    intermittent: { requestsPerSecond: 40, burst: 40, demand: 200, isIntermittent: true },
    small: { requestsPerSecond: 3, burst: 3, demand: 2.8, isRegular: true },
    smallInExcess: { requestsPerSecond: 3, burst: 3, demand: 12 },
};
const EXCESS_ACCOUNTS = ["large", "medium", "withoutBurst", "smallInExcess"];

let simulation: QuotaSimulation;
let random: () => number;
let endsAt: number;
let quotas: Map<string, { readonly requestsPerSecond: number; readonly burst: number }>;
let clock: ManualClock;
let allocator: TokenAllocator;
let knownEntries: KnownEntries;
let tokens: number;
let grants: AccountGrant[];

Before(() => {
    random = createRandom(DEFAULT_SEED);
    quotas = new Map();
    endsAt = 0;
});

const admitted = (account: string) =>
    simulation.requests.filter(({ account: name, outcome }) =>
        name === account && [QuotaOutcome.Admitted, QuotaOutcome.AdmittedLocally].includes(outcome)
    );
const admittedTimes = (account: string) =>
    admitted(account).map(({ decidedAt }) => decidedAt).sort((first, second) => first - second);
const setAccount = (name: string, requestsPerSecond: number, burst: number) => {
    const quota = { requestsPerSecond, burst };
    quotas.set(name, quota);
    simulation.setAccount({ name, keyHashes: [], priority: undefined, quota, homeRegions: [] });
};
const limitOf = ({ requestsPerSecond, burst }: { readonly requestsPerSecond: number; readonly burst: number }) =>
    (requestsPerSecond * WINDOW_MS / 1_000 + burst) * 1.1 + 20;
const startCallers = (name: string, traffic: Traffic, until: number) => {
    setAccount(name, traffic.requestsPerSecond, traffic.burst);
    const next = () => {
        const now = simulation.now();
        if (traffic.isIntermittent !== true || now % 12_000 < 4_000) {
            const running = simulation.running();
            simulation.send(name, running[Math.floor(random() * running.length)] as number);
        }
        const interval = (traffic.isRegular === true ? 1 : -Math.log(1 - random())) * 1_000 / traffic.demand;
        if (now + interval < until) {
            simulation.at(now + interval, next);
        }
    };
    simulation.at(START_MS, next);
    endsAt = Math.max(endsAt, until);
};
const atSecond = (seconds: number, action: () => void) => simulation.at(seconds * 1_000, action);
const firstEntries = (percent: number) =>
    simulation.running().slice(0, Math.ceil(simulation.running().length * percent / 100));

Given(/^(\d+) entries, of which entry 0 is 40 ms from the leader$/, (count: string) => {
    simulation = createQuotaSimulation({
        entryCount: Number(count),
        random: () => random(),
        // Half of the round trip; the others are in the region of the leader or in a near one.
        getDelay: entry => entry === 0 ? 20 : 0.3 + (entry % 3) * 5,
        log: NO_EVENT_LOG,
    });
});
Given("random numbers with seed {int}", (seed: number) => {
    random = createRandom(seed);
});
Given(
    "callers of all accounts for {int} s",
    (seconds: number) =>
        Object.entries(ACCOUNTS).forEach(([name, traffic]) => startCallers(name, traffic, seconds * 1_000)),
);
Given(
    "callers of shop with {int} requests a second for {int} s",
    (demand: number, seconds: number) =>
        startCallers("shop", { requestsPerSecond: 300, burst: 60, demand }, seconds * 1_000),
);
Given(
    /^the account (\w+) with (\d+) requests? a second and a burst of (\d+)$/,
    (name: string, rate: string, burst: string) => setAccount(name, Number(rate), Number(burst)),
);
Given(
    "the account {word} without a quota",
    (name: string) =>
        simulation.setAccount({ name, keyHashes: [], priority: undefined, quota: undefined, homeRegions: [] }),
);
Given("no request is run", () => simulation.refundAll());

When("from {int} to {int} s, {int} percent of the entries are cut off", (from: number, to: number, percent: number) => {
    atSecond(from, () => {
        const cutOff = firstEntries(percent);
        cutOff.forEach(entry => simulation.setCutOff(entry, true));
        atSecond(to, () => cutOff.forEach(entry => simulation.setCutOff(entry, false)));
    });
});
When(
    "at {int} s, all entries are cut off",
    (seconds: number) =>
        atSecond(seconds, () => simulation.running().forEach(entry => simulation.setCutOff(entry, true))),
);
When(
    "at {int} s, {int} percent of the entries are killed, and others join",
    (seconds: number, percent: number) =>
        atSecond(seconds, () =>
            firstEntries(percent).forEach(entry => {
                simulation.kill(entry);
                simulation.addEntry();
            })),
);
When(
    "at {int} s, the leader fails and another one is elected after {int} ms",
    (seconds: number, milliseconds: number) => atSecond(seconds, () => simulation.changeLeader(milliseconds)),
);
When(
    /^at (\d+) s, each entry gets (\d+) requests? of (\w+)$/,
    (seconds: string, count: string, account: string) =>
        atSecond(
            Number(seconds),
            () =>
                simulation.running().forEach(entry =>
                    Array.from({ length: Number(count) }).forEach(() => simulation.send(account, entry))
                ),
        ),
);
When(
    "from {int} to {int} s, each entry gets a request of {word} every {int} ms",
    (from: number, to: number, account: string, interval: number) =>
        Array.from({ length: (to - from) * 1_000 / interval }, (_, index) => from * 1_000 + index * interval)
            .forEach(time =>
                simulation.at(time, () => simulation.running().forEach(entry => simulation.send(account, entry)))
            ),
);
When(
    /^at (\d+) s, the account (\w+) has (\d+) requests a second and a burst of (\d+)$/,
    (seconds: string, name: string, rate: string, burst: string) =>
        atSecond(Number(seconds), () => setAccount(name, Number(rate), Number(burst))),
);
When("the deployment runs", () => simulation.run(endsAt));
When("the deployment runs for {int} s", (seconds: number) => simulation.run(seconds * 1_000));

Then("no account exceeds its quota in any window", () =>
    quotas.forEach((quota, name) => {
        const busiest = countBusiestWindow(admittedTimes(name), WINDOW_MS);
        assert.ok(busiest <= limitOf(quota), `${name} has run ${busiest} requests in a window.`);
    }));
Then(
    "accounts in excess of their quotas use at least {int} percent of them",
    (percent: number) =>
        EXCESS_ACCOUNTS.forEach(name => {
            const quota = quotas.get(name);
            const usable = (quota?.requestsPerSecond ?? 0) * (endsAt - START_MS) / 1_000;
            const { length } = admitted(name);
            assert.ok(length >= usable * percent / 100, `${name} has run ${length} of ${usable} requests.`);
        }),
);
Then("the small account that stays below its quota is not rejected", () => {
    const rejected = simulation.requests.filter(({ account, outcome }) =>
        account === "small" && outcome !== QuotaOutcome.Admitted
    );
    assert.deepEqual(rejected, []);
    assert.ok(admitted("small").length > 0);
});
Then(
    "entry {int} admits at least {int} percent of the average of the large account",
    (entry: number, percent: number) => {
        const all = admitted("large");
        const own = all.filter(request => request.entry === entry).length;
        const average = all.length / simulation.running().length;
        assert.ok(own >= average * percent / 100, `The entry has admitted ${own}, the average is ${average}.`);
    },
);
Then("{word} has at least {int} requests admitted", (account: string, count: number) => {
    const { length } = admitted(account);
    assert.ok(length >= count, `${length} requests were admitted.`);
});
Then(
    "the large account has at least {int} percent of its quota admitted from {int} to {int} s",
    (percent: number, from: number, to: number) => {
        const { length } = admittedTimes("large").filter(time => time >= from * 1_000 && time < to * 1_000);
        const usable = (quotas.get("large")?.requestsPerSecond ?? 0) * (to - from);
        assert.ok(length >= usable * percent / 100, `${length} of ${usable} requests were admitted.`);
    },
);
Then("the entries make at most {int} calls a second each", (calls: number) => {
    const perSecond = simulation.calls() / simulation.running().length / 10;
    assert.ok(perSecond <= calls, `There were ${perSecond} calls a second.`);
});
Then("the entries admit at least {int} percent of them each", (percent: number) => {
    const all = admitted("shop");
    simulation.running().forEach(number => {
        const { length } = all.filter(({ entry }) => entry === number);
        assert.ok(length >= all.length * percent / 100, `Entry ${number} has admitted ${length} of ${all.length}.`);
    });
});
Then("no request of shop was rejected twice", () => {
    const rejected = simulation.requests.filter(({ attempt, outcome }) =>
        attempt > 0 && outcome !== QuotaOutcome.Admitted
    );
    assert.deepEqual(rejected, []);
});
Then("no call and no timer was started", () => assert.deepEqual([simulation.calls(), simulation.timers()], [0, 0]));
Then("the leader gets no call after {int} s", async (seconds: number) => {
    const calls = simulation.calls();
    await simulation.run((seconds + 5) * 1_000);
    assert.equal(simulation.calls(), calls);
});
Then(
    "shop is within {int} requests a second and a burst of {int} in each window from {float} s",
    (requestsPerSecond: number, burst: number, seconds: number) => {
        const times = admittedTimes("shop").filter(time => time >= seconds * 1_000);
        assert.ok(countBusiestWindow(times, WINDOW_MS) <= limitOf({ requestsPerSecond, burst }));
    },
);

Given(
    "an allocator of the account shop with {int} requests a second and a burst of {int}",
    (requestsPerSecond: number, burst: number) => {
        clock = createManualClock();
        knownEntries = createKnownEntries(clock);
        const findQuota = () => ({ requestsPerSecond, burst });
        allocator = createTokenAllocator({ clock, startedAt: 0, findQuota, knownEntries });
        tokens = 0;
        grants = [];
    },
);
const lease = (entry: string, wanted: number, returned: number) => {
    const [grant] = allocator.lease({ entry, isBusy: true, accounts: [{ name: "shop", wanted, returned }] });
    assert.ok(grant !== undefined);
    tokens += grant.granted - returned;
    return grant;
};
const listEntries = (count: number) =>
    Array.from({ length: count }, (_, index) => ({
        name: `entry-${index}`,
        callerAddress: "",
        availabilityZone: "z1",
        region: "r1",
        isReady: true,
        cores: 1,
    }));
When(
    "{int} entries request {int} tokens each every {int} ms and return them, for {int} s",
    async (count: number, wanted: number, interval: number, seconds: number) => {
        const held = new Map<number, number>();
        for (let time = 0; time < seconds * 1_000; time += interval) {
            Array.from({ length: count }, (_, entry) => {
                const { granted } = lease(`entry-${entry}`, wanted, held.get(entry) ?? 0);
                held.set(entry, granted);
            });
            await clock.advance(interval);
        }
    },
);
Then("at most {int} tokens are at entries", (limit: number) => assert.ok(tokens <= limit, `There are ${tokens}.`));
When("{int} ms after its start an entry requests {int} tokens", async (milliseconds: number, wanted: number) => {
    await clock.advance(milliseconds);
    grants.push(lease("entry-0", wanted, 0));
});
Then("it is granted {int} tokens and more after {int} ms", (granted: number, milliseconds: number) => {
    assert.equal(grants[0]?.granted, granted);
    assert.equal(grants[0]?.retryAfterMilliseconds, milliseconds);
});
Given("it knows {int} entries", (count: number) => knownEntries.update(listEntries(count)));
When(
    "{int} of them is lost and another one is silent, and the others request all tokens for {int} s",
    async (lost: number, seconds: number) => {
        const present = listEntries(4).slice(lost);
        knownEntries.update(present);
        present.forEach(({ name }) => lease(name, 100, 0));
        for (let time = 0; time < seconds * 1_000; time += 100) {
            await clock.advance(100);
            present.slice(1).forEach(({ name }) => lease(name, 100, 0));
        }
    },
);
Then("{int} to {int} tokens are granted", (minimum: number, maximum: number) => {
    assert.ok(tokens >= minimum && tokens <= maximum, `There were ${tokens}.`);
});
