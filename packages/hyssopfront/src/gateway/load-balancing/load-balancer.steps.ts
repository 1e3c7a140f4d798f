import { After, type DataTable, Given, Then, When } from "@cucumber/cucumber";
import { createManualClock } from "@hyssopfront/coordination";
import fc from "fast-check";
import assert from "node:assert/strict";
import { BackendServerState } from "../../registry/backend-record.js";
import { SAMPLE_BACKEND_RECORD } from "../../registry/sample-backend-record.js";
import { type BackendServer, type BackendServers, createBackendServers } from "../backend-servers.js";
import { createLoadBalancer, type Headroom, type LoadBalancer, SelectionFailure } from "./load-balancer.js";
import { findFirstByWeight, rankByWeight } from "./region-shares.js";
import { hashText } from "./simulated-service.js";

const OBJECTS = Array.from({ length: 100 }, (_, index) => `object-${index}`);
const SLOTS = 6;

const clock = createManualClock();
let servers: BackendServers;
let loadBalancer: LoadBalancer;
let evacuated: Set<string>;
let choices: readonly { readonly first: string; readonly second: string }[];
let headroom: Headroom | undefined;
let serversBefore: Map<string, string>;

const getRegion = (zone: string) => zone.split("-")[0] as string;
const record = (zone: string, number: number) => ({
    ...SAMPLE_BACKEND_RECORD,
    id: `${zone}-${number}`,
    address: `${zone}-${number}`,
    availabilityZone: zone,
    slots: SLOTS,
});
const selectServer = (affinityKey: string, homeRegions: readonly string[] = []) =>
    loadBalancer.selectServer({ service: "stoc", affinityKey, homeRegions, excluded: new Set(), headroom });
const expectServer = (key: string, homeRegions: readonly string[] = []): BackendServer => {
    const server = selectServer(key, homeRegions);
    assert.ok(typeof server !== "string", `Got ${String(server)} instead of a backend server for ${key}.`);
    return server;
};
const reportLoad = (requests: number, isSelected: (id: string) => boolean) =>
    servers.listAll().filter(({ record: { id } }) => isSelected(id)).forEach(server => {
        const running = Math.min(requests, SLOTS);
        server.load = {
            running,
            waiting: requests - running,
            inFlightAtReport: 0,
            reportedAt: clock.monotonicMilliseconds(),
        };
    });
const assignAll = () => new Map(OBJECTS.map(key => [key, expectServer(key).record.id]));
const countNorth = () => OBJECTS.filter(key => expectServer(key).region === "north").length;

After(() => servers?.close());

Given("regions north and south with 4 backend servers of 6 slots each, in two zones a region", () => {
    evacuated = new Set();
    headroom = undefined;
    servers = createBackendServers({
        clock,
        random: () => 0.5,
        getRegion,
        onConnect: () => undefined,
    });
    ["north-a", "north-b", "south-a", "south-b"].forEach(zone =>
        [1, 2].forEach(number => servers.merge(record(zone, number)))
    );
    loadBalancer = createLoadBalancer({
        clock,
        servers,
        region: "north",
        regions: ["north", "south"],
        hash: hashText,
        entryName: "entry-1",
        connectionLimit: () => Infinity,
        isEvacuated: zone => evacuated.has(zone),
        evacuationGeneration: () => evacuated.size,
    });
});
When("zone {word} is evacuated", (zone: string) => void evacuated.add(zone));
When("each of 100 objects from north has a backend server", () => {
    serversBefore = assignAll();
});
When("backend server {word} leaves", (id: string) => {
    const leaving = servers.listAll().find(server => server.record.id === id);
    assert.ok(leaving !== undefined);
    servers.merge({ ...leaving.record, state: BackendServerState.Left });
});
When(
    /^all other backend servers (?:are idle|have (\d+) requests for 6 slots), and (\S+) has (\d+) requests$/,
    (requests: string | undefined, id: string, requestsOfServer: string) => {
        serversBefore = assignAll();
        reportLoad(Number(requests ?? 0), () => true);
        reportLoad(Number(requestsOfServer), other => other === id);
    },
);
When("only {word} reports its load, which is {int} requests", (id: string, requests: number) => {
    serversBefore = assignAll();
    reportLoad(requests, other => other === id);
});
When(
    "no backend server reports its load, and this entry has {int} requests at {word}",
    (requests: number, id: string) => {
        serversBefore = assignAll();
        servers.listAll().filter(({ record }) => record.id === id).forEach(server => {
            server.inFlight = requests;
        });
    },
);
When("all backend servers have {int} requests for 6 slots", (requests: number) => reportLoad(requests, () => true));
When("all backend servers but {word} have {int} requests for 6 slots", (id: string, requests: number) => {
    reportLoad(0, other => other === id);
    reportLoad(requests, other => other !== id);
});
Then("{int} of 100 objects from north are in north", (count: number) => assert.equal(countNorth(), count));
Then("between {int} and {int} of 100 objects from north are in north", (least: number, most: number) => {
    assert.ok(countNorth() >= least && countNorth() <= most, `${countNorth()} are in north.`);
});
/** Selects the backend servers of objects from north, and for each object its second choice. */
const selectTwo = (key: string) => {
    const select = (excluded: readonly string[]) => {
        const server = loadBalancer.selectServer({
            service: "stoc",
            affinityKey: key,
            homeRegions: [],
            excluded: new Set(excluded),
        });
        assert.ok(typeof server === "object");
        return server.record.id;
    };
    const first = select([]);
    return { first, second: select([first]) };
};
const countBy = (texts: readonly string[]) => {
    const counts = new Map<string, number>();
    texts.forEach(text => counts.set(text, (counts.get(text) ?? 0) + 1));
    return [...counts.values()];
};
Then(
    "each of {int} backend servers in north has between {int} and {int} of {int} objects from north",
    (servers: number, least: number, most: number, objects: number) => {
        choices = Array.from({ length: objects }, (_, index) => selectTwo(`${index}`));
        const counts = countBy(choices.map(({ first }) => first));
        assert.ok(counts.length === servers && counts.every(count => count >= least && count <= most), `${counts}`);
    },
);
Then("their second choices are spread evenly, between {int} and {int} for each pair", (least: number, most: number) => {
    const counts = countBy(choices.map(({ first, second }) => `${first} ${second}`));
    assert.ok(counts.length === 12 && counts.every(count => count >= least && count <= most), `${counts}`);
});
Then("no object is in zone {word}", (zone: string) => {
    assert.ok(OBJECTS.every(key => expectServer(key).record.availabilityZone !== zone));
});
Then("objects of other backend servers stay or move out of north, at most {int} of them", (most: number) => {
    const serversAfter = assignAll();
    const moved = OBJECTS.filter(key =>
        serversBefore.get(key) !== "north-a-1" && serversAfter.get(key) !== serversBefore.get(key)
    );
    assert.ok(moved.length <= most, `${moved.length} moved.`);
    assert.ok(moved.every(key => serversAfter.get(key)?.startsWith("south")));
});
Then("each object of {word} goes to the next backend server in its ranking", (id: string) => {
    const keys = OBJECTS.filter(key => serversBefore.get(key) === id);
    const next = new Set(keys.map(key => expectServer(key).record.id));
    assert.ok(keys.length > 0 && !next.has(id));
    OBJECTS.filter(key => serversBefore.get(key) !== id).forEach(key =>
        assert.equal(expectServer(key).record.id, serversBefore.get(key))
    );
});
When("{int} ms pass without a response", (milliseconds: number) => clock.advance(milliseconds));
Then("each object stays with its backend server", () => assert.deepEqual(assignAll(), serversBefore));
Then(
    "there is no capacity",
    () => OBJECTS.forEach(key => assert.equal(selectServer(key), SelectionFailure.NoCapacity)),
);
Then("there is no capacity for objects of {word}, and the others stay", (id: string) => {
    const keys = OBJECTS.filter(key => serversBefore.get(key) === id);
    assert.ok(keys.length > 0);
    keys.forEach(key => assert.equal(selectServer(key), SelectionFailure.NoCapacity));
    OBJECTS.filter(key => serversBefore.get(key) !== id).forEach(key =>
        assert.equal(expectServer(key).record.id, serversBefore.get(key))
    );
});
Then("each object goes to {word}", (id: string) => {
    assert.ok(OBJECTS.every(key => expectServer(key).record.id === id));
});
Then("each object from north whose home region is south is in south", () => {
    assert.ok(OBJECTS.every(key => expectServer(key, ["south"]).region === "south"));
});
When(/^the backend servers report ([\d, and]+) requests$/, (requests: string) => {
    const loads = requests.match(/\d+/g)?.map(Number) ?? [];
    servers.listAll().forEach(({ record: { id } }, index) => reportLoad(loads[index] ?? 0, other => other === id));
});
When("requests leave a headroom, so that at most {float} requests a slot run", (maximumLoadRatio: number) => {
    headroom = { maximumLoadRatio };
});
Then("the first 16 objects go to these backend servers", (table: DataTable) => {
    assert.deepEqual(OBJECTS.slice(0, 16).map(key => expectServer(key).record.id), table.raw().flat());
});
Then(
    "the first of up to {int} random candidates is the same as in the ranking, with seed {int}",
    (maximum: number, seed: number) => {
        // Few different weights and hashes, so that weights of 0 and equal distances are frequent.
        const candidate = fc.record({ weight: fc.constantFrom(0, 0, 0.5, 1, 3), hash: fc.integer({ min: 0, max: 5 }) });
        fc.assert(
            fc.property(fc.array(candidate, { maxLength: maximum }), candidates => {
                const getWeight = ({ weight }: (typeof candidates)[number]) => weight;
                const getHash = ({ hash }: (typeof candidates)[number]) => hash * 0x2aaaaaaa;
                const [first] = rankByWeight(candidates, getWeight, getHash);
                assert.equal(findFirstByWeight(candidates, getWeight, getHash), first);
            }),
            { seed, numRuns: 2_000 },
        );
    },
);
