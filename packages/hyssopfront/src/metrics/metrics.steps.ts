import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { createHistograms, type Histograms, LatencyClass } from "./histograms.js";
import { createMetrics, type Metrics } from "./metrics.js";

let statsdServer: Socket | undefined;
let received = "";
let metrics: Metrics;
let histograms: Histograms;

After(async () => {
    await metrics?.close();
    statsdServer?.close();
    statsdServer = undefined;
    received = "";
});

const openUdpSocket = async () => {
    const socket = createSocket("udp4");
    socket.bind(0, "127.0.0.1");
    await once(socket, "listening");
    return socket;
};

const createFor = (port: number) => createMetrics({ prefix: "hyssopfront.", statsd: { address: "127.0.0.1", port } });

Given("a StatsD server", async () => {
    statsdServer = await openUdpSocket();
    statsdServer.on("message", message => received += `${message.toString()}\n`);
    metrics = createFor((statsdServer.address() as AddressInfo).port);
});

Given("a StatsD address where nothing listens", async () => {
    const closed = await openUdpSocket();
    const { port } = closed.address() as AddressInfo;
    closed.close();
    metrics = createFor(port);
});

When(
    "the counter {string} is incremented {int} times for tenant {string}",
    (name: string, count: number, tenant: string) => {
        Array.from({ length: count }).forEach(() => metrics.increment(name, 1, { tenant }));
    },
);

Then("the StatsD server receives the counter {string} with a sum of {int}", async (name: string, sum: number) => {
    const pattern = new RegExp(`^hyssopfront\\.${name}:(\\d+)\\|c`, "gm");
    const total = () => [...received.matchAll(pattern)].reduce((value, match) => value + Number(match[1]), 0);
    while (total() < sum) {
        await once(statsdServer!, "message");
    }
    assert.equal(total(), sum);
});

Then("the values of the process show {int} for {string}", (value: number, key: string) => {
    assert.equal(metrics.values().counters[key], value);
});

When("latencies are recorded for {int} tenants", (count: number) => {
    histograms = createHistograms();
    Array.from({ length: count }).forEach((_, index) => histograms.record(`t-${index}`, LatencyClass.Lookup, 1.5));
});

Then("at most {int} histograms exist and none of the {int} latencies is lost", (most: number, count: number) => {
    const summaries = histograms.summaries();
    assert.ok(summaries.length <= most);
    assert.equal(summaries.reduce((sum, summary) => sum + summary.count, 0), count);
});
