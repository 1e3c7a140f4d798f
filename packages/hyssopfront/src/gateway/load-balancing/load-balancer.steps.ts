import { After, Given, Then, When } from "@cucumber/cucumber";
import { createManualClock } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { BackendServerState } from "../../registry/backend-record.js";
import { type BackendServer, type BackendServers, createBackendServers } from "../backend-servers.js";
import { createLoadBalancer, type LoadBalancer, NoServer } from "./load-balancer.js";
import { spreadHash } from "./simulated-service.js";

const OBJECTS = Array.from({ length: 100 }, (_, index) => `object-${index}`);
const SLOTS = 6;

const clock = createManualClock();
let servers: BackendServers;
let chooser: LoadBalancer;
let evacuated: Set<string>;
let before: Map<string, string>;

const regionOf = (zone: string) => zone.split("-")[0] as string;
const record = (zone: string, number: number) => ({
    id: `${zone}-${number}`,
    service: "stoc",
    address: `${zone}-${number}`,
    port: 80,
    availabilityZone: zone,
    slots: SLOTS,
    state: BackendServerState.Ready,
    coldMilliseconds: 0,
    startedAt: 1,
    sequence: 1,
    coldPortions: {},
});
const choose = (affinityKey: string, homeRegions: readonly string[] = []) =>
    chooser.chooseServer({ service: "stoc", affinityKey, homeRegions, excluded: new Set() });
const chosen = (key: string, homeRegions: readonly string[] = []): BackendServer => {
    const server = choose(key, homeRegions);
    assert.ok(typeof server !== "string", `There is ${String(server)} for ${key}.`);
    return server;
};
const load = (requests: number, isMeant: (id: string) => boolean) =>
    servers.listAll().filter(({ record: { id } }) => isMeant(id)).forEach(server => {
        const running = Math.min(requests, SLOTS);
        server.load = {
            running,
            waiting: requests - running,
            inFlightAtReport: 0,
            reportedAt: clock.monotonicMilliseconds(),
        };
    });
const placeAll = () => new Map(OBJECTS.map(key => [key, chosen(key).record.id]));
const countNorth = () => OBJECTS.filter(key => chosen(key).region === "north").length;

After(() => servers?.close());

Given("regions north and south with 4 backend servers of 6 slots each, in two zones a region", () => {
    evacuated = new Set();
    servers = createBackendServers({
        clock,
        random: () => 0.5,
        regionOf,
        onConnect: () => undefined,
    });
    ["north-a", "north-b", "south-a", "south-b"].forEach(zone =>
        [1, 2].forEach(number => servers.merge(record(zone, number)))
    );
    chooser = createLoadBalancer({
        clock,
        servers,
        region: "north",
        regions: ["north", "south"],
        hash: spreadHash,
        entryName: "entry-1",
        connectionLimit: () => Infinity,
        isEvacuated: zone => evacuated.has(zone),
        evacuationGeneration: () => evacuated.size,
    });
});
When("zone {word} is evacuated", (zone: string) => void evacuated.add(zone));
When("each of 100 objects from north has a backend server", () => {
    before = placeAll();
});
When("backend server {word} goes", (id: string) => {
    const gone = servers.listAll().find(server => server.record.id === id);
    assert.ok(gone !== undefined);
    servers.merge({ ...gone.record, state: BackendServerState.Left });
});
When(
    /^all backend servers (?:are idle|have (\d+) requests for 6 slots), and (\S+) has (\d+)(?: requests for 6 slots)?$/,
    (requests: string | undefined, id: string, requestsThere: string) => {
        before = placeAll();
        load(Number(requests ?? 0), () => true);
        load(Number(requestsThere), other => other === id);
    },
);
When("all backend servers have {int} requests for 6 slots", (requests: number) => load(requests, () => true));
When("all backend servers but {word} have {int} requests for 6 slots", (id: string, requests: number) => {
    load(0, other => other === id);
    load(requests, other => other !== id);
});
Then("{int} of 100 objects from north are in north", (count: number) => assert.equal(countNorth(), count));
Then("between {int} and {int} of 100 objects from north are in north", (least: number, most: number) => {
    assert.ok(countNorth() >= least && countNorth() <= most, `${countNorth()} are in north.`);
});
Then("no object is in zone {word}", (zone: string) => {
    assert.ok(OBJECTS.every(key => chosen(key).record.availabilityZone !== zone));
});
Then("objects of other backend servers stay there or leave north, at most {int} of them", (most: number) => {
    const after = placeAll();
    const moved = OBJECTS.filter(key => before.get(key) !== "north-a-1" && after.get(key) !== before.get(key));
    assert.ok(moved.length <= most, `${moved.length} moved.`);
    assert.ok(moved.every(key => after.get(key)?.startsWith("south")));
});
Then("each object of {word} goes to the next backend server in its order", (id: string) => {
    const own = OBJECTS.filter(key => before.get(key) === id);
    const next = new Set(own.map(key => chosen(key).record.id));
    assert.ok(own.length > 0 && !next.has(id));
    OBJECTS.filter(key => before.get(key) !== id).forEach(key => assert.equal(chosen(key).record.id, before.get(key)));
});
When("{int} ms pass without an answer", (milliseconds: number) => clock.advance(milliseconds));
Then("each object stays with its backend server", () => assert.deepEqual(placeAll(), before));
Then("there is no room", () => OBJECTS.forEach(key => assert.equal(choose(key), NoServer.NoCapacity)));
Then("there is no room for objects of {word}, and the others stay", (id: string) => {
    const own = OBJECTS.filter(key => before.get(key) === id);
    assert.ok(own.length > 0);
    own.forEach(key => assert.equal(choose(key), NoServer.NoCapacity));
    OBJECTS.filter(key => before.get(key) !== id).forEach(key => assert.equal(chosen(key).record.id, before.get(key)));
});
Then("each object goes to {word}", (id: string) => {
    assert.ok(OBJECTS.every(key => chosen(key).record.id === id));
});
Then("each object from north that is bound to south is in south", () => {
    assert.ok(OBJECTS.every(key => chosen(key, ["south"]).region === "south"));
});
