import { After, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import {
    createSystemClock,
    listenForPeers,
    NO_COUNTERS,
    type PeerListener,
    routePeerRequests,
} from "@hyssopfront/coordination";
import { decode, encode } from "cbor-x";
import assert from "node:assert/strict";
import { randomBytes } from "node:crypto";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { deflateRawSync } from "node:zlib";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { SAMPLE_ROUTE } from "../catalog/sample-route.js";
import { ControlRequestKind, GATEWAY_CLUSTER_ID, readFeedRequestSchema } from "../gateway-control/messages.js";
import {
    type ChangeFeed,
    createChangeFeed,
    type FeedBatch,
    type FeedValue,
    feedValuesRequestSchema,
} from "./change-feed.js";
import { createFeedFollower, type FeedFollower } from "./follow-feeds.js";
import { type PackedValues, packValues, unpackValues } from "./packed-values.js";
import { createFeedServer } from "./serve-feed.js";

setDefaultTimeout(30_000);

const HOST = "127.0.0.1";
/** Interval at which a link passes on bytes, in milliseconds. */
const LINK_INTERVAL_MS = 10;

type Item = { readonly version: number; readonly text: string };
type ControlInstance = {
    readonly name: string;
    readonly feed: ChangeFeed;
    readonly listener: PeerListener;
    readonly calls: Calls;
};
/** Calls of the entry. `readEndedAt` is undefined while a read is open. */
type Calls = { reads: number; reports: number; readEndedAt: number | undefined; longestGap: number };
type Link = { readonly server: Server; readonly sockets: Set<Socket>; readonly port: number };

const clock = createSystemClock();
let instances: ControlInstance[] = [];
let links: Link[] = [];
let linkTimer: NodeJS.Timeout | undefined;
let linkBytes: number;
let follower: FeedFollower | undefined;
let items: Map<string, Item>;
let lostConnections: number;
let fetchedValues: number;
let feed: ChangeFeed;
let batch: FeedBatch;
let received: Map<string, unknown>;
let longestPart: number;
let routes: readonly FeedValue[];
let packed: PackedValues;

After(async () => {
    clearInterval(linkTimer);
    await follower?.close();
    follower = undefined;
    await Promise.all(instances.map(({ listener }) => listener.close()));
    links.forEach(({ server, sockets }) => {
        server.close();
        sockets.forEach(socket => socket.destroy());
    });
    instances = [];
    links = [];
});

/** Relays connections to a port and shares the bandwidth towards the entry among all links. */
async function openLink(pending: { readonly socket: Socket; bytes: Buffer }[]): Promise<Link & { target: number }> {
    const sockets = new Set<Socket>();
    const link = { target: 0, sockets, port: 0, server: createServer() };
    link.server.on("connection", (near: Socket) => {
        const far = connect(link.target, HOST);
        const queue = { socket: near, bytes: Buffer.alloc(0) };
        pending.push(queue);
        far.on("data", data => {
            queue.bytes = Buffer.concat([queue.bytes, data]);
            far.pause();
        });
        near.on("data", data => far.write(data));
        near.on("drain", () => far.resume());
        [near, far].forEach(socket => {
            sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("close", () => {
                near.destroy();
                far.destroy();
            });
        });
        const resume = setInterval(() => queue.bytes.length < 16_384 && far.resume(), LINK_INTERVAL_MS);
        near.on("close", () => clearInterval(resume));
    });
    link.server.listen(0, HOST);
    await new Promise(resolve => link.server.once("listening", resolve));
    link.port = (link.server.address() as AddressInfo).port;
    return link;
}

async function startInstance(
    port: number,
    availabilityZone: string,
): Promise<{ instance: ControlInstance; port: number }> {
    const name = `${HOST}:${port}`;
    const instanceFeed = createChangeFeed({ clock, feedId: name });
    const feedServer = createFeedServer(instanceFeed);
    const calls: Calls = { reads: 0, reports: 0, readEndedAt: undefined, longestGap: 0 };
    const startRead = () => {
        calls.reads += 1;
        const gap = clock.monotonicMilliseconds() - (calls.readEndedAt ?? Infinity);
        calls.longestGap = Math.max(calls.longestGap, gap);
        calls.readEndedAt = undefined;
    };
    const listener = await listenForPeers({
        clock,
        address: HOST,
        port: 0,
        self: { clusterId: GATEWAY_CLUSTER_ID, name, incarnation: "1", role: "control", availabilityZone },
        handle: routePeerRequests({
            [ControlRequestKind.ReadFeed]: (_from, payload, signal) => {
                startRead();
                return feedServer.read(readFeedRequestSchema.parse(payload).read, signal).finally(() => {
                    calls.readEndedAt = clock.monotonicMilliseconds();
                });
            },
            [ControlRequestKind.ReadFeedValues]: async (_from, payload) =>
                feedServer.readValues(feedValuesRequestSchema.parse(payload).keys),
            [ControlRequestKind.ReportEntry]: async () => {
                calls.reports += 1;
                return {};
            },
        }),
    });
    return { instance: { name, feed: instanceFeed, listener, calls }, port: listener.port };
}

Given(
    "an entry that follows {int} control instances through a link of {float} Mbit\\/s",
    async (count: number, megabits: number) => {
        const pending: { readonly socket: Socket; bytes: Buffer }[] = [];
        items = new Map();
        lostConnections = 0;
        fetchedValues = 0;
        linkBytes = 0;
        for (let index = 0; index < count; index += 1) {
            const link = await openLink(pending);
            const { instance, port } = await startInstance(link.port, `z${index}`);
            link.target = port;
            links.push(link);
            instances.push(instance);
        }
        let turn = 0;
        linkTimer = setInterval(() => {
            let budget = Math.floor(megabits * 1e6 / 8 * LINK_INTERVAL_MS / 1_000);
            turn += 1;
            pending.forEach((_, index) => {
                const queue = pending[(index + turn) % pending.length];
                if (queue !== undefined && queue.bytes.length > 0 && !queue.socket.destroyed) {
                    const part = queue.bytes.subarray(0, budget);
                    queue.bytes = queue.bytes.subarray(part.length);
                    budget -= part.length;
                    linkBytes += part.length;
                    queue.socket.write(part);
                }
            });
        }, LINK_INTERVAL_MS);
        const self = {
            clusterId: GATEWAY_CLUSTER_ID,
            name: "entry-1",
            incarnation: "1",
            role: "entry",
            availabilityZone: "z0",
        };
        follower = createFeedFollower({
            clock,
            counters: {
                ...NO_COUNTERS,
                increment: (name, value = 1) => {
                    fetchedValues += name === "feeds.fetched_values" ? value : 0;
                },
            },
            log: (_level, event) => {
                lostConnections += event === "control instance disconnected" ? 1 : 0;
            },
            self,
            entry: () => ({
                name: "entry-1",
                callerAddress: `${HOST}:1`,
                availabilityZone: "z0",
                region: "r",
                isReady: true,
                cores: 1,
            }),
            getDistance: ({ availabilityZone }) => Number(availabilityZone.slice(1)),
            isMissing: ({ key, value, version }) =>
                value === undefined && Number(version) > (items.get(key)?.version ?? 0),
            onBatch: ({ values }) =>
                values.forEach(({ key, value }) => value === undefined || items.set(key, decode(value) as Item)),
        });
        follower.follow(instances.map(({ name }) => name));
        await clock.sleep(400);
    },
);

/** Items that do not compress, so that the size of a change is known. */
const setItems = (changed: readonly ControlInstance[], count: number, bytes: number) => {
    const texts = Array.from({ length: count }, () => randomBytes(bytes).toString("base64").slice(0, bytes));
    changed.forEach(instance =>
        texts.forEach((text, index) => instance.feed.set(`item/${index}`, () => ({ version: 1, text }), 1))
    );
};
When("each control instance gets the same {int} items of {int} bytes", (count: number, bytes: number) => {
    setItems(instances, count, bytes);
});
When(
    "each control instance but the nearest one gets the same {int} items of {int} bytes",
    (count: number, bytes: number) => setItems(instances.slice(1), count, bytes),
);
async function changeValues(milliseconds: number, interval: number, change: (index: number) => void): Promise<void> {
    const endsAt = clock.monotonicMilliseconds() + milliseconds;
    for (let index = 0; clock.monotonicMilliseconds() < endsAt; index += 1) {
        change(index);
        await clock.sleep(interval);
    }
}
When(
    "a value of each control instance changes every {int} ms for {int} s",
    async (interval: number, seconds: number) => {
        instances.forEach(({ calls }) => Object.assign(calls, { reads: 0, reports: 0, longestGap: 0 }));
        await changeValues(
            seconds * 1_000,
            interval,
            index =>
                instances.forEach(instance =>
                    instance.feed.set(`item/${index % 100}`, () => ({ version: index, text: "" }), index)
                ),
        );
    },
);
Then("each instance but the nearest one has got at most {int} reads and no report", (reads: number) => {
    instances.slice(1).forEach(({ calls }) => {
        assert.ok(calls.reads <= reads && calls.reads > 0, `${calls.reads} reads.`);
        assert.equal(calls.reports, 0);
    });
});
Then(
    "it was never without an open read for more than {int} ms",
    (milliseconds: number) =>
        instances.slice(1).forEach(({ calls }) =>
            assert.ok(calls.longestGap <= milliseconds, `${calls.longestGap} ms without a read.`)
        ),
);
When("the nearest control instance stops", async () => {
    const [nearest] = instances.splice(0, 1);
    await nearest?.listener.close();
});
Then("the entry has {int} items within {int} s", async (count: number, seconds: number) => {
    const endsAt = Date.now() + seconds * 1_000;
    while (items.size < count && Date.now() < endsAt) {
        await clock.sleep(20);
    }
    assert.equal(items.size, count);
});
Then("no connection to a control instance was lost", () => assert.equal(lostConnections, 0));
Then("the link carried at most {float} MB", (megabytes: number) => {
    assert.ok(linkBytes <= megabytes * 1e6, `It carried ${linkBytes} bytes.`);
});
Then("after {int} s, no value was fetched from another instance", async (seconds: number) => {
    await clock.sleep(seconds * 1_000);
    assert.equal(fetchedValues, 0);
});

When("{int} routes are encoded for a reader", (count: number) => {
    routes = Array.from({ length: count }, (_, index) => ({
        key: `item/route/r-${index.toString(36)}`,
        value: encode({
            kind: "route",
            name: `r-${index.toString(36)}`,
            version: 45,
            value: {
                kind: "route",
                route: { ...SAMPLE_ROUTE, pathPrefix: `/p${index}/` },
            },
        }),
    }));
    packed = packValues(routes);
});
Then("they take at most {int} bytes, and decoding returns them", (bytes: number) => {
    assert.ok(packed.bytes.length <= bytes, `They take ${packed.bytes.length} bytes.`);
    assert.deepEqual(
        unpackValues(packed).map(({ key, value }) => [key, decode(value as Uint8Array)]),
        routes.map(({ key, value }) => [key, decode(value as Uint8Array)]),
    );
});
Then("decoding a reply of {int} MB in {int} kB fails", (megabytes: number, kilobytes: number) => {
    const bytes = deflateRawSync(encode([{ key: "x".repeat(megabytes * 1e6) }]));
    assert.ok(bytes.length <= kilobytes * 1e3);
    assert.throws(() => unpackValues({ bytes, isCompressed: true }));
});

const readOnce = (afterPosition: number, feedId = "f") =>
    feed.read({ feedId, afterPosition, waitMilliseconds: 0 }, new AbortController().signal);
Given("a feed with {int} values of {int} bytes", (count: number, bytes: number) => {
    feed = createChangeFeed({ clock, feedId: "f" });
    Array.from({ length: count }, (_, index) => feed.set(`key-${index}`, () => `${index} ${"x".repeat(bytes)}`));
});
When("a reader of another feed reads from position {int}", async (position: number) => {
    batch = await readOnce(position, "other");
});
Then("it gets the first values", () => {
    assert.deepEqual([batch.feedId, batch.values[0]?.key], ["f", "key-0"]);
    assert.ok(batch.values.length < 300);
});
When("values change at random while a reader reads in parts, with seed {int}", async (seed: number) => {
    const random = xoroshiro128plus(seed);
    const nextInteger = (limit: number) => (random.next() >>> 0) % limit;
    received = new Map();
    longestPart = 0;
    let position = 0;
    for (let part = 0; part < 60; part += 1) {
        const { position: next, values } = await readOnce(position);
        position = next;
        values.forEach(({ key, value }) => received.set(key, decode(value as Uint8Array)));
        longestPart = Math.max(longestPart, values.reduce((sum, { value }) => sum + (value?.length ?? 0), 0));
        Array.from({ length: part < 40 ? nextInteger(40) : 0 }, () => {
            const key = `key-${nextInteger(320)}`;
            feed.set(key, () => `${key} in part ${part} ${"x".repeat(1_000)}`);
        });
    }
});
Then(
    "the reader has the last value of each key, and each part was at most {int} bytes long",
    (bytes: number) => {
        const keys = [...received.keys()];
        assert.ok(keys.length >= 300);
        let values = feed.readValues(keys);
        const expected = new Map<string, unknown>();
        for (let read = 0; read < keys.length;) {
            values.values.forEach(({ key, value }) => expected.set(key, decode(value as Uint8Array)));
            read += values.keyCount;
            values = feed.readValues(keys.slice(read));
        }
        keys.forEach(key => assert.equal(received.get(key), expected.get(key)));
        assert.ok(longestPart <= bytes, `${longestPart} bytes.`);
    },
);
