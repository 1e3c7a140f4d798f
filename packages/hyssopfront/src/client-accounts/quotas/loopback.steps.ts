import { After, Given, Then, When } from "@cucumber/cucumber";
import { createSystemClock, NO_COUNTERS } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import { Agent, createServer, request as sendRequest, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { type Item, ItemKind, type ItemValue } from "../../catalog/items.js";
import { SAMPLE_ROUTE } from "../../catalog/sample-route.js";
import { NO_EVENT_LOG } from "../../event-log/event-log.js";
import type { GatewayControl } from "../../gateway-control/gateway-control.js";
import { startGatewayControl } from "../../gateway-control/start-gateway-control.js";
import { SAMPLE_HEADER_NAMES as NAMES } from "../../gateway/sample-header-names.js";
import { type Gateway, startGateway } from "../../gateway/start-gateway.js";
import { createPrometheusMetrics } from "../../metrics/prometheus-metrics.js";
import { BackendServerState } from "../../registry/backend-record.js";
import { type AccountQuota, hashApiKey } from "../client-account.js";

/** Depends on the process id, because test processes run concurrently. */
const PEER_PORT = 20_000 + process.pid % 20_000;
const CONTROL_ADDRESS = "127.0.8.1";
const ENTRY_ADDRESS = "127.0.8.2";
const DEADLINE_MS = 5_000;
const READY_TIMEOUT_MS = 10_000;
const HEARTBEAT_MS = 1_000;
/** Time in which the bucket of the account is filled. */
const FILL_MS = 1_500;

/** Connections of the callers. An entry rejects requests on many new ones at once, because they wait to be accepted. */
const CONNECTIONS = 5;

type Response = { readonly status: number; readonly retryAfterMilliseconds: number | undefined };

const clock = createSystemClock();
let agent: Agent;
let folder: string | undefined;
let control: GatewayControl;
let gateway: Gateway;
let callerPort: number;
let metrics: ReturnType<typeof createPrometheusMetrics>;
let responses: readonly Response[];
let backend: Server | undefined;
let backendRequests: number;
let events: string[];
let isControlStopped: boolean;
let lastRequest = 0;

const waitUntil = async (isDone: () => boolean | Promise<boolean>) => {
    const endsAt = Date.now() + READY_TIMEOUT_MS;
    while (Date.now() < endsAt) {
        if (await isDone()) {
            return;
        }
        await clock.sleep(20);
    }
    assert.fail("The condition was not met in time.");
};
const findFreePort = async (address: string) => {
    const server = createServer().listen(0, address);
    await new Promise(resolve => server.once("listening", resolve));
    const { port } = server.address() as AddressInfo;
    await new Promise(resolve => server.close(resolve));
    return port;
};

const send = (account: string) =>
    new Promise<Response>((resolve, reject) => {
        lastRequest += 1;
        const request = sendRequest({
            host: ENTRY_ADDRESS,
            port: callerPort,
            path: "/orders/1",
            agent,
            headers: {
                host: SAMPLE_ROUTE.host,
                authorization: `Bearer ${account}-key`,
                [NAMES.requestId]: `q${lastRequest}`,
                [NAMES.deadline]: "2000",
            },
        }, response => {
            const retryAfter = response.headers[NAMES.retryAfter];
            response.resume();
            response.once("end", () =>
                resolve({
                    status: response.statusCode ?? 0,
                    retryAfterMilliseconds: retryAfter === undefined ? undefined : Number(retryAfter) * 1_000,
                }));
        });
        request.once("error", reject);
        request.end();
    });
const sendAll = (account: string, count: number) => Promise.all(Array.from({ length: count }, () => send(account)));
const countStatus = (status: number) => responses.filter(response => response.status === status).length;

After(async () => {
    if (folder === undefined) {
        return;
    }
    agent.destroy();
    await gateway.stop();
    if (!isControlStopped) {
        await control.stop();
    }
    backend?.closeAllConnections();
    backend?.close();
    backend = undefined;
    rmSync(folder, { recursive: true, force: true });
    folder = undefined;
});

Given("a control instance and an entry, both on loopback addresses", async () => {
    folder = mkdtempSync(join(tmpdir(), "account-quotas-"));
    agent = new Agent({ keepAlive: true, maxSockets: CONNECTIONS });
    events = [];
    isControlStopped = false;
    backendRequests = 0;
    const getRegion = () => "r1";
    const common = { clock, random: Math.random, availabilityZone: "z1", getRegion, regions: ["r1"] };
    control = await startGatewayControl({
        ...common,
        counters: NO_COUNTERS,
        log: NO_EVENT_LOG,
        address: CONTROL_ADDRESS,
        peerPort: PEER_PORT,
        dataFolder: folder,
        isFirstStart: true,
        seedAddresses: () => [CONTROL_ADDRESS],
        voterCount: 1,
        heartbeatMilliseconds: HEARTBEAT_MS,
    });
    callerPort = await findFreePort(ENTRY_ADDRESS);
    metrics = createPrometheusMetrics();
    gateway = await startGateway({
        ...common,
        metrics,
        log: (_level, event) => void events.push(event),
        hash: text => text.length,
        name: "entry-1",
        address: ENTRY_ADDRESS,
        callerPort,
        cores: 1,
        controlPeerPort: PEER_PORT,
        seedAddresses: () => [CONTROL_ADDRESS],
        headerNames: NAMES,
        retryShare: 0.2,
        retrySlack: 50,
        stopMilliseconds: 900,
    });
});
Given(
    "a service with the accounts shop, with {int} requests a second and a burst of {int}, and free, without a quota",
    async (requestsPerSecond: number, burst: number) => {
        const account = (name: string, quota: AccountQuota | undefined): ItemValue => ({
            kind: ItemKind.ClientAccount,
            account: { name, keyHashes: [hashApiKey(`${name}-key`)], priority: undefined, quota, homeRegions: [] },
        });
        const policy = { healthPath: "/", maximumConnections: 50, coldStartMilliseconds: 0, coldRequestsPerSecond: 0 };
        const values: readonly (readonly [string, ItemValue])[] = [
            ["orders", { kind: ItemKind.Service, policy }],
            ["orders", {
                kind: ItemKind.Route,
                route: { ...SAMPLE_ROUTE, pathPrefix: "/orders/", services: [{ service: "orders", weight: 1 }] },
            }],
            ["shop", account("shop", { requestsPerSecond, burst })],
            ["free", account("free", undefined)],
        ];
        const items = values.map(([name, value]): Item => ({
            kind: value.kind,
            name,
            version: 1,
            value,
            source: "{}",
        }));
        await waitUntil(async () => {
            const error = await control.changeItems(items, DEADLINE_MS).catch(String);
            return error === undefined;
        });
        await waitUntil(gateway.isReady);
        await waitUntil(async () => (await send("shop")).status === 503);
        await clock.sleep(FILL_MS);
    },
);
Given("no backend server", () => assert.equal(backend, undefined));

When(/^(\d+) requests of (\w+) are sent$/, async (count: string, account: string) => {
    responses = await sendAll(account, Number(count));
});
When("a backend server starts", async () => {
    const server = createServer((message, response) => {
        backendRequests += 1;
        response.writeHead(200, {
            [NAMES.requestId]: String(message.headers[NAMES.requestId.toLowerCase()]),
            [NAMES.responseSignature]: "s1",
            "content-length": "2",
        });
        response.end("ok");
    }).listen(0, CONTROL_ADDRESS);
    backend = server;
    await new Promise(resolve => server.once("listening", resolve));
    const announcement = {
        id: "orders-1",
        service: "orders",
        address: CONTROL_ADDRESS,
        port: (server.address() as AddressInfo).port,
        availabilityZone: "z1",
        slots: 100,
        state: BackendServerState.Ready,
        coldMilliseconds: 0,
        startedAt: 1,
        sequence: 1,
    };
    assert.equal(await control.receiveAnnouncement(announcement), true);
    await waitUntil(async () => (await send("free")).status === 200);
});
When("a request of shop is sent after its time to retry", async () => {
    // That of the last one, because earlier times may have passed while the others were sent.
    await clock.sleep(responses.findLast(({ status }) => status === 429)?.retryAfterMilliseconds ?? 0);
    responses = [await send("shop")];
});
When("the control instance stops", async () => {
    await control.stop();
    isControlStopped = true;
});
When("{int} requests of shop are sent until one gets 503", async (count: number) => {
    await waitUntil(async () => {
        await clock.sleep(FILL_MS);
        responses = await sendAll("shop", count);
        return countStatus(503) > 0;
    });
});
Then(
    "all get status {int}",
    (status: number) => assert.deepEqual(responses.filter(response => response.status !== status), []),
);
Then("the entry has made no calls for tokens of free", async () => {
    assert.doesNotMatch(await metrics.text(), /quota_requests_total\{[^}]*free/);
});
Then(
    "{int} to {int} of them get status 200 and the others {int} with a time to retry of at most {int} s",
    (minimum: number, maximum: number, status: number, seconds: number) => {
        const accepted = countStatus(200);
        assert.ok(accepted >= minimum && accepted <= maximum, `${accepted} requests were accepted.`);
        assert.equal(accepted + countStatus(status), responses.length);
        responses.filter(response => response.status === status).forEach(({ retryAfterMilliseconds = 0 }) =>
            assert.ok(retryAfterMilliseconds > 0 && retryAfterMilliseconds <= seconds * 1_000)
        );
        backendRequests -= accepted;
    },
);
Then("the backend server has got only these", () => {
    // The requests of the other account and the one that waited for the backend server are counted as well.
    assert.equal(backendRequests, 21);
});
Then("the entry has logged that it lost the leader once", () => {
    assert.equal(events.filter(event => event === "quota leader lost").length, 1);
});
