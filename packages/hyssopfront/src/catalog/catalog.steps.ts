import { Given, Then, When } from "@cucumber/cucumber";
import { encode } from "cbor-x";
import assert from "node:assert/strict";
import {
    type CatalogState,
    CommandKind,
    type CommandResult,
    createCatalogState,
    decodeCommand,
    NO_CATALOG_OBSERVER,
} from "./catalog-state.js";
import type { Departure } from "./departures.js";
import { type Item, ItemKind, type Route } from "./items.js";

let state: CatalogState;
let commandResult: CommandResult;
let index = 0;
let restoredDepartures: Departure[];
let decodedItem: unknown;

const routeTo = (service: string, timeoutMilliseconds: number): Route => ({
    host: "orders.example",
    pathPrefix: "/",
    isIdempotent: true,
    timeoutMilliseconds,
    latencyObjectiveMilliseconds: 100,
    priority: 0,
    services: [{ service, weight: 1 }],
    maximumAttempts: 2,
    hasAffinity: true,
    homeRegions: [],
});
const routeItem = (name: string, version: number, route: Route | undefined): Item => ({
    kind: ItemKind.Route,
    name,
    version,
    value: route === undefined ? undefined : { kind: ItemKind.Route, route },
    source: undefined,
});
const serviceItem = (name: string, version: number, isSet: boolean): Item => ({
    kind: ItemKind.Service,
    name,
    version,
    value: isSet
        ? {
            kind: ItemKind.Service,
            policy: {
                healthPath: "/health",
                maximumConnections: 100,
                coldStartMilliseconds: 1_000,
                coldRequestsPerSecond: 10,
            },
        }
        : undefined,
    source: undefined,
});
const submitChange = (...items: readonly Item[]) => {
    commandResult = state.apply(++index, { kind: CommandKind.Change, items });
};
const find = (kind: ItemKind, name: string) =>
    state.items().find(item => item.kind === kind && item.name === name)?.value;

Given("a catalog with service {word} at version {int}", (name: string, version: number) => {
    state = createCatalogState(NO_CATALOG_OBSERVER);
    submitChange(serviceItem(name, version, true));
});
When(
    "route {word} at version {int} routes to {word} with a timeout of {int} ms",
    (name: string, version: number, service: string, timeout: number) =>
        submitChange(routeItem(name, version, routeTo(service, timeout))),
);
When("route {word} is deleted at version {int}", (name: string, version: number) => {
    submitChange(routeItem(name, version, undefined));
});
When("service {word} is deleted at version {int}", (name: string, version: number) => {
    submitChange(serviceItem(name, version, false));
});
When(
    "one change sets route {word} to {word} and route {word} to {word}, both at version {int}",
    (first: string, knownService: string, second: string, unknownService: string, version: number) =>
        submitChange(
            routeItem(first, version, routeTo(knownService, 100)),
            routeItem(second, version, routeTo(unknownService, 100)),
        ),
);
const submitPart = (part: number, partCount: number, changeId: string, ...items: readonly Item[]) => {
    commandResult = state.apply(++index, { kind: CommandKind.ChangePart, changeId, part, partCount, items });
};
When(
    "part {int} of {int} of change {word} routes {word} to {word}",
    (part: number, partCount: number, changeId: string, name: string, service: string) =>
        submitPart(part, partCount, changeId, routeItem(name, 1, routeTo(service, 100))),
);
When(
    "part {int} of {int} of {int} other changes follow",
    (part: number, partCount: number, count: number) =>
        Array.from({ length: count }, (_, number) => `other-${number}`).forEach(changeId =>
            submitPart(part, partCount, changeId)
        ),
);
When("availability zone {word} is evacuated", (availabilityZone: string) => {
    commandResult = state.apply(++index, { kind: CommandKind.Evacuate, availabilityZone, isActive: true });
});
When("the catalog is restored from its snapshot", () => {
    const snapshot = state.takeSnapshot();
    restoredDepartures = [];
    state = createCatalogState({
        ...NO_CATALOG_OBSERVER,
        onDepartures: departures => restoredDepartures.push(...departures),
    });
    state.restoreSnapshot(snapshot);
});
When("the catalog is restored from a snapshot of an earlier release", () => {
    const snapshot = encode(state.items());
    state = createCatalogState(NO_CATALOG_OBSERVER);
    state.restoreSnapshot(snapshot);
});
const createDecodedSource = (text: string) => ({
    ...routeItem("orders", 1, routeTo("stoc", 100)),
    source: JSON.parse(text) as unknown,
});
When("a command of an earlier release sets route orders with the source {}", (text: string) => {
    decodedItem = createDecodedSource(text);
    commandResult = state.apply(++index, decodeCommand(encode({ kind: CommandKind.Change, items: [decodedItem] })));
});
When("the catalog is restored from a snapshot with such a route", () => {
    state = createCatalogState(NO_CATALOG_OBSERVER);
    state.restoreSnapshot(encode({ items: [decodedItem], departures: [] }));
});
Then("the source of route orders is {}", (text: string) => {
    assert.equal(state.find(ItemKind.Route, "orders")?.source, text);
});
When("{word}, started at {int}, departs", (id: string, startedAt: number) => {
    commandResult = state.apply(++index, { kind: CommandKind.Depart, departure: { id, startedAt } });
});
When("{int} other backend servers depart", (count: number) => {
    Array.from({ length: count }, (_, number) => ({ id: `other-${number}`, startedAt: 1 })).forEach(departure => {
        state.apply(++index, { kind: CommandKind.Depart, departure });
    });
});
Then("the restored departures are {word}, started at {int}", (id: string, startedAt: number) => {
    assert.deepEqual(restoredDepartures, [{ id, startedAt }]);
});
Then("{int} departures are kept, and that of {word} is not among them", (count: number, id: string) => {
    assert.equal(state.departures().length, count);
    assert.ok(!state.departures().some(departure => departure.id === id));
});
Then("the change was accepted", () => assert.deepEqual(commandResult, { error: undefined }));
Then("the change is incomplete", () => assert.equal(commandResult.isIncomplete, true));
Then("routes {string} exist", (expected: string) => {
    const routes = state.items().filter(({ kind }) => kind === ItemKind.Route).map(({ name }) => name);
    assert.equal(routes.join(", "), expected);
});
Then("the change was rejected", () => assert.notEqual(commandResult.error, undefined));
Then("route {word} has a timeout of {int} ms", (name: string, timeout: number) => {
    const value = find(ItemKind.Route, name);
    assert.equal(value?.kind === ItemKind.Route ? value.route.timeoutMilliseconds : undefined, timeout);
});
Then("there is no route {word}", (name: string) => assert.equal(find(ItemKind.Route, name), undefined));
Then("availability zone {word} is evacuated in the catalog", (name: string) => {
    const value = find(ItemKind.Evacuation, name);
    assert.ok(value?.kind === ItemKind.Evacuation && value.isActive);
});
