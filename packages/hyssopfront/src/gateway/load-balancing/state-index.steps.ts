import { Given, Then, When } from "@cucumber/cucumber";
import { createManualClock } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { ItemKind } from "../../catalog/items.js";
import { SAMPLE_ROUTE } from "../../catalog/sample-route.js";
import { type BackendRecord, BackendServerState, isNewerRecord } from "../../registry/backend-record.js";
import { SAMPLE_BACKEND_RECORD } from "../../registry/sample-backend-record.js";
import { type BackendServers, createBackendServers } from "../backend-servers.js";
import { type CatalogView, createCatalogView } from "../catalog-view.js";

const SERVICES = ["stoc", "orders", "dispatch", "billing", "search"];
const STATES = [BackendServerState.Ready, BackendServerState.Draining, BackendServerState.Lost];

let servers: BackendServers;
let newest: Map<string, BackendRecord>;
let batchMilliseconds: readonly number[];
let catalog: CatalogView;
let version: number;
let lookupMilliseconds: number;

const createServers = () =>
    createBackendServers({
        clock: createManualClock(),
        random: () => 0.5,
        getRegion: zone => zone,
        onConnect: () => undefined,
    });
const createRecord = (number: number, changes: Partial<BackendRecord> = {}): BackendRecord => ({
    ...SAMPLE_BACKEND_RECORD,
    id: `server-${number}`,
    service: SERVICES[number % SERVICES.length] as string,
    address: `10.0.${number >> 8}.${number & 255}`,
    ...changes,
});
/** Runs an action and returns the CPU time that it took, in milliseconds. */
const measureCpu = (action: () => void) => {
    const before = process.cpuUsage();
    action();
    const { user, system } = process.cpuUsage(before);
    return (user + system) / 1_000;
};

When(
    "{int} random records of {int} backend servers are merged, with seed {int}",
    (count: number, serverCount: number, seed: number) => {
        const random = xoroshiro128plus(seed);
        const nextInteger = (limit: number) => (random.next() >>> 0) % limit;
        servers = createServers();
        newest = new Map();
        Array.from({ length: count }, (_, index) => {
            const number = nextInteger(serverCount);
            const service = SERVICES[nextInteger(20) === 0 ? nextInteger(SERVICES.length) : number % SERVICES.length];
            const record = createRecord(number, {
                service: service as string,
                state: STATES[nextInteger(STATES.length)] as BackendServerState,
                startedAt: 1 + nextInteger(1 + Math.floor(index / 100)),
                sequence: 1 + nextInteger(index + 2),
            });
            if (isNewerRecord(record, newest.get(record.id))) {
                newest.set(record.id, record);
            }
            servers.merge(record);
        });
    },
);
Then("each service has the backend servers whose newest record is ready", () => {
    SERVICES.forEach(service => {
        const expected = [...newest.values()]
            .filter(record => record.service === service && record.state === BackendServerState.Ready)
            .map(({ id }) => id).sort();
        assert.deepEqual(servers.listUsable(service).map(({ record }) => record.id).sort(), expected);
    });
    assert.ok(SERVICES.some(service => servers.listUsable(service).length > 0));
});
When(
    "{int} backend servers of 5 services are merged in batches of {int}",
    (count: number, batchSize: number) => {
        servers = createServers();
        batchMilliseconds = Array.from({ length: count / batchSize }, (_, batch) =>
            measureCpu(() => {
                Array.from({ length: batchSize }, (_unused, index) => {
                    servers.merge(createRecord(batch * batchSize + index));
                });
                SERVICES.forEach(servers.listUsable);
            }));
    },
);
Then("no batch took more than {int} ms of CPU time", (milliseconds: number) => {
    assert.ok(Math.max(...batchMilliseconds) <= milliseconds, `They took ${batchMilliseconds.join(", ")} ms.`);
});

When(
    /^(\S+) of (\S+), started at (\d+) and then (\S+) of (\S+), started at (\d+) is announced at the same address$/,
    (id1: string, service1: string, startedAt1: string, id2: string, service2: string, startedAt2: string) => {
        servers = createServers();
        servers.merge(createRecord(1, { id: id1, service: service1, startedAt: Number(startedAt1) }));
        servers.merge(createRecord(1, { id: id2, service: service2, startedAt: Number(startedAt2) }));
    },
);
const listIds = (service: string) => servers.listUsable(service).map(({ record }) => record.id);
Then("stoc has no backend server and orders has new-1", () => {
    assert.deepEqual([listIds("stoc"), listIds("orders")], [[], ["new-1"]]);
});
When("{word} turns out not to be there", (id: string) => {
    const server = servers.listAll().find(({ record }) => record.id === id);
    assert.ok(server !== undefined && servers.stopUsing(server));
});
Then("stoc has old-1 and orders has none", () => {
    assert.deepEqual([listIds("stoc"), listIds("orders")], [["old-1"], []]);
});

const setRoute = (name: string, pathPrefix: string | undefined) => {
    version += 1;
    const value = pathPrefix === undefined
        ? undefined
        : { kind: ItemKind.Route, route: { ...SAMPLE_ROUTE, pathPrefix } } as const;
    catalog.merge({ kind: ItemKind.Route, name, version, value, source: undefined });
};
const createCatalog = () => {
    catalog = createCatalogView();
    version = 0;
};
const findRouteName = (path: string) => catalog.findRoute("gateway.example", path)?.name ?? "nothing";
Given("routes a to \\/, b to \\/shop\\/ and c to \\/shop\\/orders\\/", () => {
    createCatalog();
    setRoute("a", "/");
    setRoute("b", "/shop/");
    setRoute("c", "/shop/orders/");
});
When("route c moves to \\/moved\\/", () => setRoute("c", "/moved/"));
When("route {word} is removed", (name: string) => setRoute(name, undefined));
Then(
    /^(\S+) goes to (\w+), (\S+) to (\w+) and (\S+) to (\w+)$/,
    (path1: string, name1: string, path2: string, name2: string, path3: string, name3: string) => {
        assert.deepEqual([path1, path2, path3].map(findRouteName), [name1, name2, name3]);
    },
);
Given("{int} routes of one host", (count: number) => {
    createCatalog();
    Array.from({ length: count }, (_, index) => setRoute(`r${index}`, `/r${index}/`));
});
When("{int} paths are looked up", (count: number) => {
    lookupMilliseconds = measureCpu(() => {
        Array.from(
            { length: count },
            (_, index) => assert.equal(findRouteName(`/r${index % 5_000}/a/b`), `r${index % 5_000}`),
        );
    });
});
When("{int} paths of {int} slashes are looked up", (count: number, slashes: number) => {
    lookupMilliseconds = measureCpu(() => {
        Array.from({ length: count }, (_, index) => {
            assert.equal(findRouteName(`/r${index}${"/".repeat(slashes)}`), `r${index}`);
        });
    });
});
Then("the lookups took at most {int} ms of CPU time", (milliseconds: number) => {
    assert.ok(lookupMilliseconds <= milliseconds, `They took ${lookupMilliseconds} ms.`);
});
