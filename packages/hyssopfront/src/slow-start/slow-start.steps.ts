import { After, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import { createSystemClock, NO_COUNTERS } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { type Item, ItemKind, type ItemValue } from "../catalog/items.js";
import { NO_EVENT_LOG } from "../event-log/event-log.js";
import type { GatewayControl } from "../gateway-control/gateway-control.js";
import { startGatewayControl } from "../gateway-control/start-gateway-control.js";
import { SAMPLE_HEADER_NAMES as NAMES } from "../gateway/sample-header-names.js";
import { type Gateway, startGateway } from "../gateway/start-gateway.js";
import { createPrometheusMetrics } from "../metrics/prometheus-metrics.js";
import { type BackendAnnouncement, BackendServerState } from "../registry/backend-record.js";
import { allocateSlowStartQuotas, type SlowStartQuotas } from "./slow-start-quotas.js";

const HOST = "127.0.11.1";
const SERVICE = "orders";
/** Timeout for the first election and for an item to reach every entry, in milliseconds. */
const READY_TIMEOUT_MS = 10_000;
const CHANGE_DEADLINE_MS = 2_000;
const STOP_MS = 500;
const SECOND_MS = 1_000;

setDefaultTimeout(3 * READY_TIMEOUT_MS);

type Entry = {
    readonly gateway: Gateway;
    readonly callerPort: number;
    /** Requests that received a successful response. */
    successes: number;
};

const clock = createSystemClock();
let folder: string | undefined;
let control: GatewayControl;
let entries: readonly Entry[];
let backendServer: Server | undefined;
let announcement: BackendAnnouncement;
let arrivals: number[];
let lastRequestNumber = 0;
let candidates: readonly string[];
let quotas: SlowStartQuotas;
let previousQuotas: SlowStartQuotas;

async function freePorts(count: number): Promise<readonly number[]> {
    const probes = Array.from({ length: count }, () => createServer().listen(0, HOST));
    await Promise.all(probes.map(probe => new Promise(resolve => probe.once("listening", resolve))));
    const ports = probes.map(probe => (probe.address() as AddressInfo).port);
    await Promise.all(probes.map(probe => new Promise(resolve => probe.close(resolve))));
    return ports;
}

async function waitUntil(check: () => boolean, message: string): Promise<void> {
    const endsAt = clock.monotonicMilliseconds() + READY_TIMEOUT_MS;
    while (!check() && clock.monotonicMilliseconds() < endsAt) {
        await clock.sleep(20);
    }
    assert.ok(check(), message);
}

const item = (value: ItemValue): Item => ({ kind: value.kind, name: SERVICE, version: 1, value, source: "{}" });

async function declareService(coldRequestsPerSecond: number): Promise<void> {
    const policy = {
        healthPath: "/health",
        maximumConnections: 400,
        coldStartMilliseconds: 3_000,
        coldRequestsPerSecond,
    };
    const route = {
        host: HOST,
        pathPrefix: "/",
        isIdempotent: false,
        timeoutMilliseconds: 500,
        latencyObjectiveMilliseconds: 200,
        priority: 0,
        services: [{ service: SERVICE, weight: 1 }],
        maximumAttempts: 1,
        hasAffinity: true,
        homeRegions: [],
    };
    const items = [item({ kind: ItemKind.Service, policy }), item({ kind: ItemKind.Route, route })];
    assert.equal(await control.changeItems(items, CHANGE_DEADLINE_MS), undefined);
}

/** Announces the backend server and waits for the record to reach every entry. */
async function announce(): Promise<void> {
    assert.ok(await control.receiveAnnouncement(announcement));
    await clock.sleep(100);
}

async function sendRequest(entry: Entry): Promise<void> {
    lastRequestNumber += 1;
    const response = await fetch(`http://${HOST}:${entry.callerPort}/1`, {
        method: "POST",
        headers: {
            [NAMES.requestId]: `q${lastRequestNumber}`,
            [NAMES.deadline]: "500",
            cookie: `${NAMES.affinityCookie}=o${lastRequestNumber}`,
        },
    });
    await response.arrayBuffer();
    entry.successes += response.ok ? 1 : 0;
}
const sendRequests = async (count: number) => {
    await Promise.all(entries.flatMap(entry => Array.from({ length: count }, () => sendRequest(entry))));
};

After(async () => {
    if (folder === undefined) {
        return;
    }
    await Promise.all(entries.map(({ gateway }) => gateway.stop()));
    await control.stop();
    backendServer?.close();
    backendServer?.closeAllConnections();
    backendServer = undefined;
    rmSync(folder, { recursive: true, force: true });
    folder = undefined;
});

Given("a control instance and {int} entries", async (count: number) => {
    folder = mkdtempSync(join(tmpdir(), "slow-start-"));
    arrivals = [];
    const [peerPort, ...callerPorts] = await freePorts(count + 1);
    assert.ok(peerPort !== undefined);
    control = await startGatewayControl({
        clock,
        counters: NO_COUNTERS,
        log: NO_EVENT_LOG,
        random: Math.random,
        address: HOST,
        peerPort,
        availabilityZone: "z1",
        getRegion: () => "r1",
        regions: ["r1"],
        dataFolder: folder,
        isFirstStart: true,
        seedAddresses: () => [HOST],
        voterCount: 1,
        heartbeatMilliseconds: 1_500,
    });
    entries = await Promise.all(callerPorts.map(async (callerPort, index) => ({
        callerPort,
        successes: 0,
        gateway: await startGateway({
            clock,
            metrics: createPrometheusMetrics(),
            log: NO_EVENT_LOG,
            random: () => 0.5,
            hash: text =>
                [...text].reduce((hash, letter) => Math.imul(hash ^ letter.charCodeAt(0), 16_777_619) >>> 0, 7),
            name: `entry-${index + 1}`,
            address: HOST,
            callerPort,
            availabilityZone: "z1",
            cores: 1,
            getRegion: () => "r1",
            regions: ["r1"],
            controlPeerPort: peerPort,
            seedAddresses: () => [HOST],
            headerNames: NAMES,
            retryShare: 0.2,
            retrySlack: 50,
            stopMilliseconds: STOP_MS,
        }),
    })));
    await waitUntil(() => entries.every(({ gateway }) => gateway.isReady()), "Some entry is not ready.");
});
Given(
    "a backend server that is cold for {int} ms and limited to {int} requests per second",
    async (coldMilliseconds: number, coldRequestsPerSecond: number) => {
        await declareService(coldRequestsPerSecond);
        backendServer = createServer((request, response) => {
            arrivals.push(clock.monotonicMilliseconds());
            const id = request.headers[NAMES.requestId] ?? "";
            response.writeHead(200, { [NAMES.requestId]: id, [NAMES.responseSignature]: "s1" }).end("done");
        });
        backendServer.listen(0, HOST);
        await new Promise(resolve => backendServer?.once("listening", resolve));
        announcement = {
            id: "orders-1",
            service: SERVICE,
            address: HOST,
            port: (backendServer.address() as AddressInfo).port,
            availabilityZone: "z1",
            slots: 20,
            state: BackendServerState.Ready,
            coldMilliseconds,
            startedAt: 1,
            sequence: 1,
        };
        await announce();
    },
);
When("{int} entries stop, including all that have a quota", async (count: number) => {
    // The entries with a quota are those that respond successfully.
    await sendRequests(1);
    const entriesWithQuota = entries.filter(({ successes }) => successes > 0);
    const stopping = [...entriesWithQuota, ...entries.filter(({ successes }) => successes === 0)].slice(0, count);
    assert.ok(entriesWithQuota.length > 0 && entriesWithQuota.length <= count);
    await Promise.all(stopping.map(({ gateway }) => gateway.stop()));
    entries = entries.filter(entry => !stopping.includes(entry));
    arrivals = [];
});
When("it announces itself again, cold for {int} ms", async (coldMilliseconds: number) => {
    announcement = { ...announcement, coldMilliseconds, sequence: announcement.sequence + 1 };
    await announce();
});
When("{int} callers send a request to each entry concurrently", sendRequests);
When(
    "{int} callers send a request to each entry concurrently after {int} ms",
    async (count: number, milliseconds: number) => {
        await clock.sleep(milliseconds);
        await sendRequests(count);
    },
);
Then(
    "the backend server received at least {int} requests, and at most {int} in any second",
    (fewest: number, most: number) => {
        const counts = arrivals.map(start => arrivals.filter(at => at >= start && at < start + SECOND_MS).length);
        assert.ok(Math.max(0, ...counts) <= most, `It received ${Math.max(...counts)} requests in a second.`);
        assert.ok(arrivals.length >= fewest, `It received ${arrivals.length} requests.`);
    },
);

const allocateQuotas = (requestsPerSecond: number) => {
    previousQuotas = quotas;
    quotas = allocateSlowStartQuotas({ current: quotas, requestsPerSecond, candidates });
};
const allocateInitialQuotas = (requestsPerSecond: number, count: number) => {
    candidates = Array.from({ length: count }, (_, index) => `entry-${index + 1}`);
    quotas = {};
    allocateQuotas(requestsPerSecond);
};
When("{float} requests per second are divided among {int} entries", allocateInitialQuotas);
When("they are divided again among the same entries in another order", () => {
    candidates = candidates.toReversed();
    allocateQuotas(3);
});
When("they are divided again without the first of the entries with a quota", () => {
    candidates = candidates.filter(name => name !== Object.keys(quotas)[0]);
    allocateQuotas(3);
});
Then("the quotas are {word}", (expected: string) => {
    assert.equal(Object.values(quotas).join() || "none", expected);
});
Then("the quotas have not changed", () => assert.deepEqual(quotas, previousQuotas));
Then("the quotas have changed", () => assert.notDeepEqual(quotas, previousQuotas));
