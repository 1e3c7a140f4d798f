import { Given, Then, When } from "@cucumber/cucumber";
import { createSystemClock } from "@hyssopfront/coordination";
import { decode } from "cbor-x";
import assert from "node:assert/strict";
import { type ChangeFeed, createChangeFeed, type FeedBatch } from "./change-feed.js";

const clock = createSystemClock();
let feed: ChangeFeed;
let batch: FeedBatch;
let batches: Set<FeedBatch>;
let readerValues: readonly Map<string, unknown>[];

const readOnce = () => feed.read({ feedId: "f", afterPosition: 0, waitMilliseconds: 0 }, new AbortController().signal);
Given("a feed with one value", () => {
    feed = createChangeFeed({ clock, feedId: "f" });
    feed.set("key-0", () => "value");
});
/** Follows the feed until the signal aborts, and returns the last value of each key. */
async function followFeed(pauseMilliseconds: number, signal: AbortSignal): Promise<Map<string, unknown>> {
    const values = new Map<string, unknown>();
    for (let position = 0; !signal.aborted;) {
        const read = await feed.read({ feedId: "f", afterPosition: position, waitMilliseconds: 1_000 }, signal);
        batches.add(read);
        position = read.position;
        read.values.forEach(({ key, value }) => {
            values.set(key, decode(value as Uint8Array));
        });
        await clock.sleep(pauseMilliseconds);
    }
    return values;
}
async function changeValues(milliseconds: number, interval: number, change: (index: number) => void): Promise<void> {
    const endsAt = clock.monotonicMilliseconds() + milliseconds;
    for (let index = 0; clock.monotonicMilliseconds() < endsAt; index += 1) {
        change(index);
        await clock.sleep(interval);
    }
}
When(
    "values change every {int} ms for {int} ms, while {int} readers that pause between {int} and {int} ms follow the feed",
    async (interval: number, milliseconds: number, count: number, shortest: number, longest: number) => {
        batches = new Set();
        const stopping = new AbortController();
        const readers = Array.from(
            { length: count },
            (_, index) => followFeed(shortest + (longest - shortest) * index / (count - 1), stopping.signal),
        );
        await changeValues(milliseconds, interval, index => feed.set(`key-${index % 50}`, () => `value ${index}`));
        await clock.sleep(400);
        stopping.abort();
        readerValues = await Promise.all(readers);
    },
);
Then("each reader has all values, and at most {int} different batches were read", async (count: number) => {
    const all = new Map((await readOnce()).values.map(({ key, value }) => [key, decode(value as Uint8Array)]));
    assert.equal(all.size, 50);
    readerValues.forEach(values => assert.deepEqual([...values].sort(), [...all].sort()));
    assert.ok(batches.size <= count, `${batches.size} batches.`);
});
let readMilliseconds: number;
When("a value changes {int} ms after the last one while a reader waits", async (milliseconds: number) => {
    const { position } = await readOnce();
    const request = { feedId: "f", afterPosition: position, waitMilliseconds: 4_000 };
    await clock.sleep(milliseconds);
    const read = feed.read(request, new AbortController().signal);
    const changedAt = clock.monotonicMilliseconds();
    feed.set("key-1", () => "changed");
    batch = await read;
    readMilliseconds = clock.monotonicMilliseconds() - changedAt;
});
Then("the reader gets it within {int} ms", (milliseconds: number) => {
    assert.deepEqual(batch.values.map(({ key }) => key), ["key-1"]);
    assert.ok(readMilliseconds <= milliseconds, `It took ${readMilliseconds} ms.`);
});
When(
    "one value changes every {int} ms for {int} ms, while a reader that pauses {int} ms follows the feed",
    async (interval: number, milliseconds: number, pause: number) => {
        batches = new Set();
        const stopping = new AbortController();
        const reader = followFeed(pause, stopping.signal);
        await changeValues(milliseconds, interval, index => feed.set("key-1", () => index));
        stopping.abort();
        await reader;
    },
);
Then("each read returned the value", () => {
    assert.ok(batches.size >= 2, `${batches.size} reads.`);
    batches.forEach(({ values }) => assert.ok(values.some(({ key }) => key === "key-1")));
});
