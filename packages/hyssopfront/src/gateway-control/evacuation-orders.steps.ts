import { Given, Then, When } from "@cucumber/cucumber";
import { createManualClock, type ManualClock } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import {
    type CatalogCommand,
    type CatalogState,
    CommandKind,
    createCatalogState,
    NO_CATALOG_OBSERVER,
} from "../catalog/catalog-state.js";
import { ItemKind } from "../catalog/items.js";
import { CallerLeftError, submitEvacuation } from "./evacuation-orders.js";

const ZONE = "iasi-a";
const DEADLINE_MS = 2_000;
/** Longer than the pauses of an order. */
const PAUSE_MS = 200;

let clock: ManualClock;
/** State of the leader. */
let state: CatalogState;
/** State that the instance of the order has applied. */
let appliedState: CatalogState;
let lastIndex: number;
let isCallerWaiting: boolean;
let outcome: Promise<unknown>;
/** Lets commands reach the leader. */
let deliver: () => void;
let isDelivered: Promise<void>;

const apply = (command: CatalogCommand) => {
    lastIndex += 1;
    return state.apply(lastIndex, command);
};
const evacuate = (isActive: boolean) => apply({ kind: CommandKind.Evacuate, availabilityZone: ZONE, isActive });
const findEvacuation = () => state.find(ItemKind.Evacuation, ZONE);
const giveOrder = (isActive: boolean) => {
    const catalog = {
        find: (kind: ItemKind, name: string) => appliedState.find(kind, name),
        submit: async (command: CatalogCommand) => {
            await isDelivered;
            return apply(command);
        },
    };
    const order = { availabilityZone: ZONE, isActive, isCallerWaiting: () => isCallerWaiting };
    outcome = submitEvacuation({ clock, catalog }, order, DEADLINE_MS).then(() => undefined, (error: unknown) => error);
};

Given("zone iasi-a is evacuated at version {int}", (version: number) => {
    clock = createManualClock(new Date(0));
    state = createCatalogState(NO_CATALOG_OBSERVER);
    appliedState = state;
    isCallerWaiting = true;
    isDelivered = Promise.resolve();
    lastIndex = version - 1;
    evacuate(true);
});
Given("the instance of the order has not applied that evacuation yet", () => {
    appliedState = createCatalogState(NO_CATALOG_OBSERVER);
});
When("the caller of an order to end the evacuation leaves before it is submitted", async () => {
    giveOrder(false);
    isCallerWaiting = false;
    await clock.advance(PAUSE_MS);
});
When("an order to end the evacuation is on its way to the leader", async () => {
    isDelivered = new Promise(resolve => {
        deliver = resolve;
    });
    giveOrder(false);
    await clock.advance(PAUSE_MS);
});
When("its caller leaves, ends the evacuation at another instance and then evacuates the zone again", () => {
    isCallerWaiting = false;
    evacuate(false);
    evacuate(true);
});
When("the order reaches the leader", async () => {
    deliver();
    await new Promise(resolve => setImmediate(resolve));
    await clock.advance(PAUSE_MS);
});
When("an order to end the evacuation is given and the instance catches up", async () => {
    giveOrder(false);
    await clock.advance(PAUSE_MS);
    appliedState = state;
    await clock.advance(PAUSE_MS);
});
When("an order to evacuate the zone is given", async () => {
    giveOrder(true);
    await clock.advance(PAUSE_MS);
});
Then("the order fails as its caller has left", async () => assert.ok(await outcome instanceof CallerLeftError));
Then("the order succeeds", async () => assert.equal(await outcome, undefined));
const isEvacuated = () => {
    const value = findEvacuation()?.value;
    return value?.kind === ItemKind.Evacuation && value.isActive;
};
Then("the zone is evacuated", () => assert.ok(isEvacuated()));
Then("the zone is not evacuated", () => assert.ok(!isEvacuated()));
Then("the evacuation has version {int}", (version: number) => assert.equal(findEvacuation()?.version, version));
