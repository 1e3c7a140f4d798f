import { Given, Then, When } from "@cucumber/cucumber";
import { createManualClock, type ManualClock } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { type Item, ItemKind } from "../catalog/items.js";
import {
    type ConnectedEntries,
    createConnectedEntries,
    type EntryReport,
    selectEntriesForCaller,
} from "./connected-entries.js";
import { createHomeRegionIndex } from "./home-regions.js";

let clock: ManualClock;
let entries: ConnectedEntries;
let disconnect: Map<string, () => void>;

const report = (name: string, region: string, isReady = true, cores = 1): EntryReport => ({
    name,
    callerAddress: `${name}:80`,
    availabilityZone: `${region}-1`,
    region,
    isReady,
    cores,
});
const getRegion = (name: string) => name === "a" ? "moldova" : "muntenia";
const RESTRICTED_ROUTE: Item = {
    kind: ItemKind.Route,
    name: "restricted",
    version: 1,
    value: {
        kind: ItemKind.Route,
        route: {
            host: "restricted.example",
            pathPrefix: "/",
            isIdempotent: true,
            timeoutMilliseconds: 100,
            latencyObjectiveMilliseconds: 100,
            priority: 0,
            services: [{ service: "stoc", weight: 1 }],
            maximumAttempts: 1,
            hasAffinity: false,
            homeRegions: ["muntenia"],
        },
    },
    source: undefined,
};
const selectNames = (region: string, host: string) =>
    selectEntriesForCaller(entries.list(), {
        callerRegion: region,
        homeRegions: createHomeRegionIndex(() => [RESTRICTED_ROUTE]).find(host),
        regions: 2,
        random: () => 0.5,
    }).map(({ name }) => name);
Given("entry a in region moldova, entry b in region muntenia and entry c in region muntenia", () => {
    clock = createManualClock();
    entries = createConnectedEntries({ clock, onChange: () => undefined });
    disconnect = new Map(["a", "b", "c"].map(name => [name, entries.connect(report(name, getRegion(name)))]));
});
When("entry {word} is not ready", (name: string) => entries.update(report(name, getRegion(name), false)));
When(
    "entry {word} has {float} cores",
    (name: string, cores: number) => entries.update(report(name, getRegion(name), true, cores)),
);
When("the connection of entry {word} is lost and {int} ms pass", async (name: string, milliseconds: number) => {
    disconnect.get(name)?.();
    await clock.advance(milliseconds);
});
Then("a caller in {word} for an unrestricted host gets {word}", (region: string, name: string) => {
    assert.deepEqual(selectNames(region, "unrestricted.example"), [name]);
});
Then(
    "a caller in {word} for an unrestricted host gets {word} and {word}",
    (region: string, one: string, other: string) => {
        assert.deepEqual(selectNames(region, "unrestricted.example"), [one, other]);
    },
);
Then(
    "a caller in {word} for an unrestricted host gets {word}, {word} and {word}",
    (region: string, one: string, two: string, three: string) => {
        assert.deepEqual([...selectNames(region, "unrestricted.example")].sort(), [one, two, three]);
    },
);
Then("a caller in {word} for a host restricted to muntenia gets {word}", (region: string, name: string) => {
    assert.deepEqual(selectNames(region, "restricted.example"), [name]);
});
Then(
    "a caller in {word} for a host restricted to muntenia gets {word} and {word}",
    (region: string, one: string, other: string) =>
        assert.deepEqual(selectNames(region, "restricted.example"), [one, other]),
);
Then("{int} routes of one host have the home region {string}", (count: number, region: string) => {
    const routes = Array.from({ length: count }, () => RESTRICTED_ROUTE);
    assert.deepEqual(createHomeRegionIndex(() => routes).find("restricted.example"), [region]);
});
