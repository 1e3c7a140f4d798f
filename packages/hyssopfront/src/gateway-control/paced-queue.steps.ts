import { Given, Then, When } from "@cucumber/cucumber";
import { createManualClock } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { NO_EVENT_LOG } from "../event-log/event-log.js";
import { type ChangeFeed, createChangeFeed } from "../feed/change-feed.js";
import type { CatalogGroup } from "./catalog-group.js";
import { catchUpWithCatalog } from "./catch-up.js";
import { createPacedQueue, type PacedQueue } from "./paced-queue.js";

let queue: PacedQueue<number>;
let handled: number[];
let turns: number;
let feed: ChangeFeed;
let passOn: () => void;

const nextTurn = () => new Promise<void>(resolve => setImmediate(resolve));

Given("a queue whose values take {int} ms each", (milliseconds: number) => {
    handled = [];
    const clock = {
        ...createManualClock(),
        monotonicMilliseconds: () => handled.length * milliseconds,
    };
    queue = createPacedQueue(clock, value => handled.push(value));
});
When("{int} values are added, and then {int} more", (count: number, others: number) => {
    const values = Array.from({ length: count + others }, (_, value) => value);
    queue.add(values.slice(0, count));
    queue.add(values.slice(count));
});
When("the queue is waited for", async () => {
    turns = 0;
    let isHandled = false;
    const waiting = queue.waitUntilHandled().then(() => {
        isHandled = true;
    });
    while (!isHandled) {
        turns += 1;
        await nextTurn();
    }
    await waiting;
});
Then("{int} values are handled in order", (count: number) => {
    assert.deepEqual(handled, Array.from({ length: count }, (_, value) => value));
});
Then("other tasks have run at least {int} times meanwhile", (count: number) => {
    assert.ok(turns >= count, `Other tasks have run ${turns} times.`);
});

Given("a catalog that has caught up, with an item that is not passed on yet", async () => {
    const clock = createManualClock();
    feed = createChangeFeed({ clock, feedId: "feed" });
    const announced = new Promise<void>(resolve => {
        passOn = resolve;
    });
    const catalog = { catchUp: () => Promise.resolve(), items: () => [] } as unknown as CatalogGroup;
    void catchUpWithCatalog(
        { clock, log: NO_EVENT_LOG, catalog, feed, announced: () => announced },
        new AbortController().signal,
    );
    await nextTurn();
});
When("the item is passed on", async () => {
    passOn();
    await nextTurn();
});
Then("the feed is not complete", () => assert.equal(feed.isComplete, false));
Then("the feed is complete", () => assert.equal(feed.isComplete, true));
