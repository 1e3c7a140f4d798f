import { After, Given, Then, When } from "@cucumber/cucumber";
import {
    type Clock,
    createFrameDecoder,
    createManualClock,
    encodeFrame,
    type ManualClock,
} from "@hyssopfront/coordination";
import fc from "fast-check";
import assert from "node:assert/strict";
import { z } from "zod";
import { ANNOUNCEMENT_LIFETIME_MS } from "./announcement.js";
import { AnnouncementRejectedError, type Announcements, createAnnouncements } from "./create-announcements.js";

const SERVICE = "stoc";

type Entry = {
    announcements: Announcements;
    clock: Clock;
    /** Time for which this process alone was suspended, in milliseconds; only its own clock has advanced by it. */
    suspendedMilliseconds: number;
    isIsolated: boolean;
    replyDelay: number;
    polls: number;
};

let clock: ManualClock;
let entries = new Map<string, Entry>();
let samples: { readonly at: number; readonly usableAt: readonly string[] }[];
let announcedAt: number;
let seed: number;

const entry = (name: string) => entries.get(name) as Entry;
const makeAnnouncement = (incarnation: string, changes: object = {}) => ({
    address: "127.0.0.1",
    port: 9_000,
    availabilityZone: "sibiu-1",
    incarnation,
    slots: 6,
    freeSlots: 3,
    load: 0.5,
    leaving: false,
    ...changes,
});
const findEntriesWhereUsable = (name: string) =>
    [...entries].filter(([, { announcements }]) =>
        announcements.backendServers(SERVICE).some(server => server.name === name && announcements.isUsable(server))
    ).map(([at]) => at);

const sleepOrHang = async (owner: Entry, milliseconds: number) => {
    await clock.sleep(milliseconds);
    if (owner.isIsolated) {
        await new Promise(() => undefined);
    }
};
/** Encodes and decodes a message in a frame, as a peer connection does. */
const sendInFrame = (message: unknown) => {
    const decoder = createFrameDecoder(z.unknown());
    decoder.append(encodeFrame(message));
    return decoder.next();
};
const createEntry = (name: string, epoch: string): Entry => {
    const created: Entry = {
        announcements: undefined as never,
        clock: undefined as never,
        suspendedMilliseconds: 0,
        isIsolated: false,
        replyDelay: 20,
        polls: 0,
    };
    const offset = name.charCodeAt(0) * 1e6;
    created.clock = {
        ...clock,
        monotonicMilliseconds: () => clock.monotonicMilliseconds() + offset + created.suspendedMilliseconds,
    };
    created.announcements = createAnnouncements({
        clock: created.clock,
        random: () => 0.5,
        epoch,
        isDraining: () => false,
        maximumBackendServers: 8,
        pull: async (other, request) => {
            created.polls += 1;
            const target = entry(other);
            await sleepOrHang(created, 20);
            await sleepOrHang(target, 0);
            const reply = await target.announcements.handlePull(sendInFrame(request), new AbortController().signal);
            await sleepOrHang(target, created.replyDelay);
            await sleepOrHang(created, 0);
            return sendInFrame(reply);
        },
    });
    return created;
};
const connect = () =>
    entries.forEach(({ announcements }, name) => {
        announcements.setOtherEntries([...entries.keys()].filter(other => other !== name));
    });
const createEntries = (names: string) => {
    clock = createManualClock();
    entries = new Map(names.split(",").map(name => [name, createEntry(name, `${name}1`)]));
    samples = [];
    connect();
};
const stopEntries = async () => {
    await Promise.all([...entries.values()].map(({ announcements }) => announcements.stop()));
};
const turnEventLoop = async () => {
    for (let turn = 0; turn < 3; turn += 1) {
        await new Promise(resolve => setImmediate(resolve));
    }
};
const advance = async (milliseconds: number, name = "die-1") => {
    for (let passed = 0; passed < milliseconds; passed += 20) {
        await turnEventLoop();
        await clock.advance(Math.min(20, milliseconds - passed));
        samples.push({ at: clock.monotonicMilliseconds(), usableAt: findEntriesWhereUsable(name) });
    }
    await turnEventLoop();
};
const announce = (name: string, incarnation: string, to: string, changes: object = {}) => {
    announcedAt = clock.monotonicMilliseconds();
    return entry(to).announcements.announce(SERVICE, name, makeAnnouncement(incarnation, changes));
};

After(() => stopEntries());

Given("the entries {string}", async (names: string) => {
    createEntries(names);
    await advance(100);
});

Given("the entries {string} where {string} pulls only from {string}", async (names: string, one: string, from) => {
    createEntries(names);
    entry(one).announcements.setOtherEntries([from]);
    await advance(100);
});

When("{string} announces incarnation {string} to {string}", (name: string, incarnation: string, to: string) => {
    assert.deepEqual(announce(name, incarnation, to), { draining: false, renewWithinMs: 500 });
});

When(
    "{string} announces incarnation {string} with port {int} to {string}",
    (name: string, incarnation: string, port: number, to: string) => {
        announce(name, incarnation, to, { port });
    },
);

Then(
    "port {int} of {string} is used at {string} and port {int} at {string}",
    (port: number, name: string, at: string, otherPort: number, other: string) => {
        const used = [at, other].map(one => entry(one).announcements.backendServers(SERVICE));
        assert.deepEqual(used.map(([server]) => [server?.name, server?.port]), [[name, port], [name, otherPort]]);
    },
);

When(
    "{string} announces incarnation {string} to {string} and is told to leave",
    (name: string, incarnation: string, to: string) => {
        assert.equal(announce(name, incarnation, to).draining, true);
    },
);

When(
    "{string} announces incarnation {string} to {string} every {int} ms for {int} ms",
    async (name: string, incarnation: string, to: string, interval: number, duration: number) => {
        for (let passed = 0; passed < duration; passed += interval) {
            const changes = { freeSlots: passed / interval % 6, load: undefined };
            to.split(",").forEach(one => announce(name, incarnation, one, changes));
            await advance(interval);
        }
    },
);

Then("after the first second {string} was usable at every entry at all times", (name: string) => {
    assert.equal(name, "die-1");
    const later = samples.filter(({ at }) => at > 1_100);
    assert.deepEqual(later.filter(({ usableAt }) => usableAt.length !== entries.size), []);
    assert.ok(later.length > 400);
});

Then("no entry polled more than {int} times", (maximum: number) => {
    entries.forEach(({ polls }, name) => assert.ok(polls > 0 && polls <= maximum, `${name} polled ${polls} times.`));
});

Then("{string} cannot announce incarnation {string} to {string}", (name: string, incarnation: string, to: string) => {
    assert.throws(() => announce(name, incarnation, to), AnnouncementRejectedError);
});

When("{int} ms pass", (milliseconds: number) => advance(milliseconds));

Then("{string} is usable at {string}", (name: string, at: string) => {
    assert.deepEqual(findEntriesWhereUsable(name).join(","), at);
});

When("the entry {string} is isolated", (name: string) => {
    entry(name).isIsolated = true;
});

When("the entry {string} is no longer isolated", (name: string) => {
    entry(name).isIsolated = false;
});

When("{string} of incarnation {string} leaves at {string}", (name: string, incarnation: string, at: string) => {
    assert.equal(entry(at).announcements.leave(SERVICE, name, incarnation), true);
});

When("replies to {string} take {int} ms", (name: string, milliseconds: number) => {
    entry(name).replyDelay = milliseconds;
});

Then(
    "{string} was usable at {string} for some time and never {int} ms after its announcement",
    (name: string, at: string, limit: number) => {
        const times = samples.filter(({ usableAt }) => usableAt.includes(at)).map(sample => sample.at - announcedAt);
        assert.equal(name, "die-1");
        assert.ok(times.length > 0);
        assert.ok(times.every(time => time < limit), String(times));
    },
);

Then(
    "every entry uses incarnation {string} of {string}, direct only at {string}",
    (incarnation: string, name: string, direct: string) => {
        const used = [...entries].map(([at, { announcements }]) => {
            const [server] = announcements.backendServers(SERVICE);
            return [at, server?.name, server?.incarnation, server?.isDirect];
        });
        assert.deepEqual(used, [...entries.keys()].map(at => [at, name, incarnation, at === direct]));
    },
);

Then(
    "a dispatch to incarnation {string} of {string} is rejected at every entry",
    (incarnation: string, name: string) => {
        entries.forEach(({ announcements }) => {
            const [server] = announcements.backendServers(SERVICE);
            assert.ok(server !== undefined && server.name === name);
            assert.equal(announcements.isUsable(server), true);
            assert.equal(announcements.isUsable({ ...server, incarnation }), false);
        });
    },
);

const restart = async (name: string, epoch: string) => {
    await entry(name).announcements.stop();
    entries.set(name, createEntry(name, epoch));
    connect();
};
When("the entry {string} restarts", (name: string) => restart(name, `${name}2`));

When("{string} is suspended for {int} ms", async (name: string, milliseconds: number) => {
    entry(name).suspendedMilliseconds += milliseconds;
    await advance(300);
});

When("{int} backend servers announce to {string}", (count: number, to: string) => {
    Array.from({ length: count }, (_, index) => announce(`other-${index}`, "i1", to));
});

Given("random histories with seed {int}", (givenSeed: number) => {
    seed = givenSeed;
    process.stdout.write(`seed ${seed}\n`);
    entries = new Map();
});

const NAMES = ["a", "b", "c"];
const step = fc.record({
    pass: fc.nat(700),
    action: fc.constantFrom(
        "announce",
        "announce",
        "announceToAll",
        "announceToAll",
        "leave",
        "isolate",
        "delay",
        "restart",
    ),
    at: fc.constantFrom(...NAMES),
    delay: fc.nat(1_200),
});

Then("no entry uses a backend server 2 s after its last announcement or its departure", async () => {
    let usableSampleCount = 0;
    await fc.assert(
        fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 25 }), async steps => {
            createEntries(NAMES.join(","));
            let incarnation = 1;
            let hasLeft = false;
            let lifetimeStartedAt = -Infinity;
            for (const { pass, action, at, delay } of steps) {
                if (action === "announce" || action === "announceToAll") {
                    // After it has left, a backend server announces itself only as a new incarnation.
                    incarnation += hasLeft ? 1 : 0;
                    hasLeft = false;
                    (action === "announce" ? [at] : NAMES).forEach(to => announce("die-1", `i${incarnation}`, to));
                    lifetimeStartedAt = clock.monotonicMilliseconds();
                }
                else if (action === "leave" && !hasLeft) {
                    hasLeft = true;
                    entry(at).announcements.leave(SERVICE, "die-1", `i${incarnation}`);
                    assert.equal(findEntriesWhereUsable("die-1").includes(at), false);
                    lifetimeStartedAt = clock.monotonicMilliseconds();
                }
                else if (action === "isolate") {
                    entry(at).isIsolated = !entry(at).isIsolated;
                }
                else if (action === "delay") {
                    entry(at).replyDelay = delay;
                }
                else if (action === "restart") {
                    await restart(at, `${at}${clock.monotonicMilliseconds()}`);
                }
                const before = samples.length;
                await advance(pass);
                const bound = lifetimeStartedAt + ANNOUNCEMENT_LIFETIME_MS;
                samples.slice(before).filter(({ usableAt }) => usableAt.length > 0).forEach(({ at: sampledAt }) => {
                    usableSampleCount += 1;
                    assert.ok(sampledAt < bound, `Used at ${sampledAt}, allowed before ${bound}.`);
                });
            }
            await stopEntries();
        }),
        { seed, numRuns: 80 },
    );
    assert.ok(usableSampleCount > 1_000);
});
