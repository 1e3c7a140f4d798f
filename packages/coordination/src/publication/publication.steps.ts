import { After, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { z } from "zod";
import { createManualClock, type ManualClock } from "../clock/manual-clock.js";
import { createFrameDecoder, encodeFrame } from "../framing/frames.js";
import { type Follower, followPublication } from "./follow-publication.js";
import { BatchKind, type PublicationBatch, type PublicationReadRequest, type PublishedItem } from "./messages.js";
import { createPublication, type Publication } from "./publication.js";
import { servePublication } from "./serve-publication.js";

setDefaultTimeout(30_000);

type Upstream = { publication: Publication; isFailing: boolean };

let clock: ManualClock;
let publication: Publication;
let batch: PublicationBatch;
let snapshot: PublishedItem[];
let chunks: number;
let expected: readonly PublishedItem[];
let seen: number[];
let upstreams: Map<string, Upstream>;
let follower: Follower;
let relayFollower: Follower;
let knownRevision: number;
let seed: number;
let running: Follower[] = [];

const neverAborted = new AbortController().signal;
const runEventLoop = async (iterations = 5) => {
    for (let iteration = 0; iteration < iterations; iteration += 1) {
        await new Promise(resolve => setImmediate(resolve));
    }
};
const advance = async (milliseconds: number) => {
    for (let passed = 0; passed < milliseconds; passed += 50) {
        await runEventLoop(2);
        await clock.advance(Math.min(50, milliseconds - passed));
    }
    await runEventLoop();
};
/** Encodes and decodes a message as a frame, as a peer connection does. */
const sendInFrame = (message: unknown) => {
    const decoder = createFrameDecoder(z.unknown());
    decoder.append(encodeFrame(message));
    return decoder.next();
};
const readFrom = (from: Upstream | undefined, request: PublicationReadRequest, signal: AbortSignal) =>
    from === undefined || from.isFailing
        ? Promise.reject(new Error("The upstream fails."))
        : servePublication(from.publication)(undefined, sendInFrame(request), signal).then(sendInFrame);
const follow = (names: readonly string[], upstreamsByName: Map<string, Upstream>) => {
    const opened = followPublication({
        clock,
        random: () => 0.5,
        publication: createPublication({ clock }),
        upstreams: () => names,
        read: (name, request, signal) => readFrom(upstreamsByName.get(name), request, signal),
        latestKnownRevision: () => knownRevision,
    });
    running.push(opened);
    return opened;
};
const getUpstream = (name: string) => upstreams.get(name) as Upstream;

After(async () => {
    await Promise.all(running.map(each => each.stop()));
    running = [];
});

Given("a publication at revision {int}", (revision: number) => {
    clock = createManualClock();
    publication = createPublication({ clock });
    for (let next = 1; next <= revision; next += 1) {
        publication.publish(next, [{ key: `key-${next}`, value: next }]);
    }
});

When(
    "a reader polls after revision {int} for {int} ms and revision {int} is published after {int} ms",
    async (after: number, wait: number, revision: number, delay: number) => {
        const poll = publication.read(after, wait, neverAborted);
        await clock.advance(delay);
        publication.publish(revision, [{ key: "key-1", value: undefined }]);
        batch = await poll;
    },
);

When(
    "a reader polls after revision {int} for {int} ms and {int} ms pass",
    async (after: number, wait: number, passed: number) => {
        const poll = publication.read(after, wait, neverAborted);
        await clock.advance(passed);
        batch = await poll;
    },
);

Then("it received the delta from {int} to {int}", (afterRevision: number, revision: number) => {
    const items = [{ key: "key-1", revision, value: undefined }];
    assert.deepEqual(batch, { kind: BatchKind.Delta, afterRevision, revision, items });
});

Then("it received the empty delta at {int}", (revision: number) => {
    assert.equal(batch.revision, revision);
    assert.deepEqual([batch.kind, batch.items], [BatchKind.Delta, []]);
});

Given(
    "a publication whose history keeps {int} items and whose batches have a target size of {int} bytes",
    (items: number, bytes) => {
        clock = createManualClock();
        publication = createPublication({ clock, historyItems: items, batchBytes: bytes });
    },
);

When("{int} items are published and a snapshot is read while further changes are published", async (count: number) => {
    for (let revision = 1; revision <= count; revision += 1) {
        publication.publish(revision, [{ key: `key-${revision % 30}`, value: revision }]);
    }
    expected = publication.items();
    snapshot = [];
    chunks = 0;
    let cursor: { revision: number; position: number } | undefined;
    for (let isLast = false; !isLast; chunks += 1) {
        const next = await publication.read(0, 0, neverAborted, cursor);
        assert.ok(next.kind === BatchKind.Snapshot && next.position === snapshot.length && next.revision === count);
        snapshot.push(...next.items);
        isLast = next.isLast;
        cursor = { revision: next.revision, position: snapshot.length };
        publication.publish(publication.revision + 1, [{ key: "key-1", value: "later" }]);
    }
});

Then("the snapshot has several chunks and the items of its first revision", () => {
    assert.ok(chunks > 2);
    assert.deepEqual(snapshot, expected);
});

Then("publishing revision {int} is rejected and the state is unchanged", (revision: number) => {
    assert.throws(() => publication.publish(revision, [{ key: "key-1", value: "reverted" }]), RangeError);
    assert.equal(publication.get("key-1"), 1);
});

When(
    "revisions {int} and {int} are published under two observers, one of which throws",
    async (first: number, second: number) => {
        seen = [];
        const throwing = publication.changes.observe(() => {
            throw new Error("The observer fails.");
        }).catch((error: unknown) => error);
        void publication.changes.observe(change => seen.push(change.revision));
        await runEventLoop();
        [first, second].forEach(revision => publication.publish(revision, []));
        assert.match(String(await throwing), /The observer fails/);
    },
);

Then("the other observer saw the revisions {int} and {int}", (first: number, second: number) => {
    assert.deepEqual(seen, [first, second]);
});

Given("followers of the upstreams {string} and {string}", (near: string, far: string) => {
    const names = [near, far];
    clock = createManualClock();
    knownRevision = 0;
    const create = () => ({ publication: createPublication({ clock }), isFailing: false });
    upstreams = new Map(names.map(name => [name, create()]));
    follower = follow(names, upstreams);
    relayFollower = follow(["relay"], new Map([["relay", { publication: follower.publication, isFailing: false }]]));
});

const publish = (name: string, revision: number) =>
    getUpstream(name).publication.publish(revision, [{ key: "key", value: revision }]);

When("both publish revision {int}", async (revision: number) => {
    upstreams.forEach((_, name) => publish(name, revision));
    await advance(100);
});

When("{string} fails and {string} publishes revision {int}", async (failing: string, other: string, revision) => {
    getUpstream(failing).isFailing = true;
    publish(other, revision);
    await advance(2_500);
});

When("{string} recovers with revision {int}", async (name: string, revision: number) => {
    getUpstream(name).isFailing = false;
    publish(name, revision);
    await advance(7_000);
});

When(
    "{string} stops publishing while {string} publishes revision {int}",
    async (_behind: string, ahead: string, revision) => {
        publish(ahead, revision);
        await advance(7_000);
    },
);

When(
    "only {string} publishes revision {int} and the follower learns of it from another source",
    (name: string, revision) => {
        publish(name, revision);
        knownRevision = revision;
    },
);

Then("within {int} ms the follower holds revision {int}", async (milliseconds: number, revision: number) => {
    await advance(milliseconds);
    assert.equal(follower.publication.revision, revision);
});

Then("the follower holds revision {int} from {string}", (revision: number, name: string) => {
    assert.deepEqual([follower.publication.revision, follower.upstream], [revision, name]);
    assert.equal(follower.publication.get("key"), revision);
    assert.equal(relayFollower.publication.get("key"), revision);
});

When("both restart with an empty publication", () => {
    upstreams.forEach(each => {
        each.publication = createPublication({ clock });
    });
});

Then("the follower still holds revision {int} after {int} seconds", async (revision: number, seconds: number) => {
    await advance(seconds * 1_000);
    assert.deepEqual([follower.publication.revision, follower.publication.get("key")], [revision, revision]);
});

Then("the follower of the follower holds revision {int}", (revision: number) => {
    assert.equal(relayFollower.publication.get("key"), revision);
});

Given("random publications with seed {int}", (fixed: number) => {
    seed = fixed;
    process.stdout.write(`seed ${seed}\n`);
});

const action = fc.oneof(
    { weight: 6, arbitrary: fc.record({ key: fc.nat(9), value: fc.option(fc.nat(), { nil: undefined }) }) },
    { weight: 2, arbitrary: fc.record({ failing: fc.constantFrom("near", "far") }) },
    { weight: 2, arbitrary: fc.record({ milliseconds: fc.nat(3_000) }) },
);

Then("the relay follower never goes back and ends in the state of the publisher", async () => {
    await fc.assert(
        fc.asyncProperty(fc.array(action, { maxLength: 40 }), async actions => {
            clock = createManualClock();
            knownRevision = 0;
            const source = createPublication({ clock, historyItems: 6, batchBytes: 60 });
            const names = ["near", "far"];
            upstreams = new Map(names.map(name => [name, { publication: source, isFailing: false }]));
            const first = follow(names, upstreams);
            const second = follow(
                ["relay"],
                new Map([["relay", { publication: first.publication, isFailing: false }]]),
            );
            const revisions: number[] = [];
            void second.publication.changes.observe(change => revisions.push(change.revision));
            await runEventLoop();
            for (const step of actions) {
                if ("key" in step) {
                    source.publish(source.revision + 1, [{ key: `key-${step.key}`, value: step.value }]);
                }
                else if ("failing" in step) {
                    getUpstream(step.failing).isFailing = !getUpstream(step.failing).isFailing;
                }
                else {
                    await clock.advance(step.milliseconds);
                }
            }
            upstreams.forEach(each => each.isFailing = false);
            await advance(4_000);
            assert.ok(revisions.every((revision, index) => revision > (revisions[index - 1] ?? 0)));
            const sorted = (items: readonly PublishedItem[]) => [...items].sort((a, b) => a.key < b.key ? -1 : 1);
            assert.deepEqual(sorted(second.publication.items()), sorted(source.items()));
            assert.equal(second.publication.revision, source.revision);
            await Promise.all([first.stop(), second.stop()]);
        }),
        { seed, numRuns: 60 },
    );
});
