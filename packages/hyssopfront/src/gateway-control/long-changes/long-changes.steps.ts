import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { rmSync } from "node:fs";
import {
    type CatalogCommand,
    type CatalogState,
    createCatalogState,
    encodeCommand,
    NO_CATALOG_OBSERVER,
} from "../../catalog/catalog-state.js";
import { type Item, ItemKind } from "../../catalog/items.js";
import { CatalogUnavailableError } from "../catalog-group.js";
import { type CatalogCluster, clock } from "../full-disks/catalog-cluster.steps.js";
import { findInstance, startCluster } from "../full-disks/groups.steps.js";
import { waitFor } from "../full-disks/operator.steps.js";
import { submitChange } from "../submit-change.js";

/** Deadline of one call of an operator, in milliseconds. */
const CALL_MS = 2_000;
const SERVICES = ["stock", "orders"];

type Catalog = Parameters<typeof submitChange>[0]["catalog"];

let cluster: CatalogCluster;
let catalog: Catalog;
let commands: CatalogCommand[];
let results: (string | undefined)[];
let failure: Error | undefined;
let calls: number;
let elapsedMilliseconds: number;

const serviceItem = (name: string): Item => ({
    kind: ItemKind.Service,
    name,
    version: 1,
    value: {
        kind: ItemKind.Service,
        policy: { healthPath: "/", maximumConnections: 1, coldStartMilliseconds: 0, coldRequestsPerSecond: Infinity },
    },
    source: JSON.stringify({ name }),
});
const routeItem = (name: string, padding = ""): Item => {
    const route = {
        host: "orders.example",
        pathPrefix: `/${name}/${padding}`,
        isIdempotent: true,
        timeoutMilliseconds: 1_500,
        latencyObjectiveMilliseconds: 200,
        priority: 1,
        services: SERVICES.map(service => ({ service, weight: 50 })),
        maximumAttempts: 2,
        hasAffinity: true,
        homeRegions: ["transilvania", "muntenia"],
    };
    // With the comment, an item is as long as that of a platform with the same route.
    const source = JSON.stringify({ name, ...route, comment: "x".repeat(100) });
    return { kind: ItemKind.Route, name, version: 1, value: { kind: ItemKind.Route, route }, source };
};
const createChange = (count: number) => [
    ...SERVICES.map(serviceItem),
    ...Array.from({ length: count }, (_, number) => routeItem(`route-${number}`)),
];

/** Sends a change until it is acknowledged, as an operator does. */
const change = async (items: readonly Item[]) => {
    const startedAt = clock.monotonicMilliseconds();
    for (calls = 1;; calls += 1) {
        try {
            results.push(await submitChange({ clock, catalog }, items, CALL_MS));
            elapsedMilliseconds = clock.monotonicMilliseconds() - startedAt;
            return;
        }
        catch (error) {
            failure = error as Error;
            if (!(error instanceof CatalogUnavailableError) || clock.monotonicMilliseconds() - startedAt > 60_000) {
                return;
            }
        }
    }
};

/** Creates a catalog of one instance that accepts some commands of each call, and then none until the next one. */
const createCatalog = (commandsOfCall = Infinity) => {
    const state: CatalogState = createCatalogState(NO_CATALOG_OBSERVER);
    let accepted = 0;
    catalog = {
        findStagedParts: changeId => {
            accepted = 0;
            return state.findStagedParts(changeId);
        },
        submit: async command => {
            accepted += 1;
            const isTooLate = accepted > commandsOfCall;
            await clock.sleep(1);
            if (isTooLate) {
                throw new CatalogUnavailableError("submit", new Error("The deadline has passed."));
            }
            commands.push(command);
            return state.apply(commands.length, command);
        },
    };
};
const reset = () => {
    commands = [];
    results = [];
    failure = undefined;
};

Given("{int} control instances", async (count: number) => {
    reset();
    ({ cluster } = await startCluster(count));
    // A follower, because it passes the commands on to the leader.
    ({ catalog } = await findInstance(cluster, "follower"));
});
Given("a catalog", () => {
    reset();
    createCatalog();
});
Given("a catalog of which each call times out after {int} commands", (count: number) => {
    reset();
    createCatalog(count);
});

When(
    "an operator changes {int} routes with two weighted services and two regions each",
    (count: number) => change(createChange(count)),
);
When(
    "two operators change the same {int} routes at the same time",
    (count: number) => Promise.all([change(createChange(count)), change(createChange(count))]),
);
When(
    "an operator sets a route with {int} bytes",
    (bytes: number) => change([...SERVICES.map(serviceItem), routeItem("large", "x".repeat(bytes))]),
);
When("a follower loses its disk", async () => {
    const instance = await findInstance(cluster, "follower");
    await instance.stop();
    rmSync(instance.folder, { recursive: true });
    cluster.start(instance.name, false);
});

Then("it is acknowledged within {int} s and {int} ms for each route", (seconds: number, milliseconds: number) => {
    assert.deepEqual(results, [undefined], `The change was not acknowledged: ${failure?.message}`);
    const routes = cluster.leader()?.catalog.items().length ?? 0;
    const bound = seconds * 1_000 + milliseconds * routes;
    assert.ok(elapsedMilliseconds <= bound, `It was acknowledged after ${elapsedMilliseconds} ms.`);
});
Then("all instances hold the {int} routes", async (count: number) => {
    const countRoutes = () =>
        [...cluster.instances.values()].map(({ catalog: held }) =>
            held.items().filter(({ kind }) => kind === ItemKind.Route).length
        );
    await waitFor(
        () => countRoutes().every(held => held === count),
        () => `The instances hold ${countRoutes().join()}`,
    );
});
Then("it is acknowledged in less than {int} calls", (bound: number) => {
    assert.deepEqual(results, [undefined], `The change was not acknowledged: ${failure?.message}`);
    assert.ok(calls < bound, `It took ${calls} calls.`);
});
Then("each command takes at most {int} bytes and {int} KiB", (bytes: number, kibibytes: number) => {
    const longest = Math.max(...commands.map(command => encodeCommand(command).length));
    assert.ok(longest <= bytes + kibibytes * 1_024, `A command takes ${longest} bytes.`);
});
Then("both are acknowledged", () => assert.deepEqual(results, [undefined, undefined]));
Then("it is rejected with {string}", (message: string) => assert.match(failure?.message ?? "", new RegExp(message)));
Then("nothing was submitted", () => assert.deepEqual(commands, []));
