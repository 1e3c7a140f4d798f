import { Given, Then, When } from "@cucumber/cucumber";
import { decode, encode } from "cbor-x";
import fc from "fast-check";
import assert from "node:assert/strict";
import type { CommandResponse, ResourceCommand } from "./messages.js";
import { CommandKind, decodeCommand } from "./messages.js";
import type { AppliedCommand, ResourceLimits, ResourceState } from "./resource-state.js";
import { createResourceState } from "./resource-state.js";
import { ResourceKind } from "./resource.js";
import { RESPONSE_RETENTION_MS } from "./response-store.js";

const LIMITS: ResourceLimits = { resourcesPerKind: 6, specBytes: 400, totalSpecBytes: 2_000, entries: 3 };

let state: ResourceState;
let revision: number;
let applied: AppliedCommand[];
let restoreOutcome: string;

const apply = (command: ResourceCommand): AppliedCommand => {
    revision += 1;
    const result = state.apply(revision, command);
    applied.push(result);
    return result;
};

const change = (
    command: CommandKind.Put | CommandKind.Delete,
    kind: ResourceKind,
    name: string,
    expectedRevision: number,
    spec: Record<string, unknown> = {},
    requestId = `request-${revision}`,
    proposedAt = 0,
): ResourceCommand => {
    const fingerprint = JSON.stringify([command, kind, name, expectedRevision, spec]).slice(0, 64).padEnd(64);
    return { command, requestId, fingerprint, proposedAt, kind, name, expectedRevision, spec } as ResourceCommand;
};

const put = (kind: ResourceKind, name: string, spec: Record<string, unknown>, expected = 0, requestId?: string) =>
    change(CommandKind.Put, kind, name, expected, spec, requestId);

const link = (bitsPerSecond: number) => ({ links: [{ to: "hame", bitsPerSecond }] });
const getRevision = (kind: ResourceKind, name: string) => state.get(kind, name)?.revision ?? 0;
const lastResponse = (): CommandResponse => applied[applied.length - 1]?.response as CommandResponse;

Given(
    "a state with the region {string}, its zone {string} and the service {string}",
    (region: string, zone: string, service: string) => {
        state = createResourceState();
        revision = 0;
        applied = [];
        apply(put(ResourceKind.Region, region, { links: [] }));
        apply(put(ResourceKind.AvailabilityZone, zone, { region, clientBlocks: [] }));
        apply(put(ResourceKind.Service, service, { availabilityZones: [zone] }));
        applied = [];
    },
);

When("two operators change the region {string} from the same revision", (name: string) => {
    apply(put(ResourceKind.Region, "hame", { links: [] }));
    applied = [];
    const expected = getRevision(ResourceKind.Region, name);
    apply(put(ResourceKind.Region, name, link(1), expected, "first"));
    apply(put(ResourceKind.Region, name, link(2), expected, "second"));
});

Then(
    "one change is {string} and the other is {string} with the winner",
    (firstResult: string, secondResult: string) => {
        assert.deepEqual(applied.map(command => command.response.result), [firstResult, secondResult]);
        assert.deepEqual(lastResponse().current, state.get(ResourceKind.Region, "itasuomi"));
        assert.deepEqual(state.get(ResourceKind.Region, "itasuomi")?.spec, link(1));
    },
);

When("a change is applied, another operator changes the resource, and the first change is retried", () => {
    apply(put(ResourceKind.Region, "hame", { links: [] }));
    applied = [];
    const first = put(ResourceKind.Region, "itasuomi", link(1), getRevision(ResourceKind.Region, "itasuomi"), "id");
    apply(first);
    apply(put(ResourceKind.Region, "itasuomi", link(2), getRevision(ResourceKind.Region, "itasuomi"), "other"));
    apply(first);
});

Then("the retry gets the first response without a change record", () => {
    assert.deepEqual(lastResponse(), applied[0]?.response);
    assert.deepEqual(applied[2]?.changes, []);
    assert.deepEqual(state.get(ResourceKind.Region, "itasuomi")?.spec, link(2));
});

When("a conflicting create is retried after the resource was deleted", () => {
    apply(put(ResourceKind.Region, "hame", { links: [] }));
    const create = put(ResourceKind.Region, "hame", { links: [] }, 0, "late");
    apply(create);
    apply(change(CommandKind.Delete, ResourceKind.Region, "hame", getRevision(ResourceKind.Region, "hame")));
    apply(create);
});

Then("the retry gets the response {string} again", (result: string) => {
    assert.equal(lastResponse().result, result);
    assert.equal(state.get(ResourceKind.Region, "hame"), undefined);
});

When("the request id of a change is used for another body", () => {
    apply(put(ResourceKind.Region, "hame", { links: [] }, 0, "id"));
    apply(put(ResourceKind.Region, "lansirannikko", { links: [] }, 0, "id"));
});

Then("the response is {string}", (result: string) => {
    assert.equal(lastResponse().result, result);
    assert.equal(state.get(ResourceKind.Region, "lansirannikko"), undefined);
});

When(/^the (\w+) "([^"]*)" is put with the spec (.*)$/, (kind: ResourceKind, name: string, spec: string) => {
    apply(put(kind, name, JSON.parse(spec) as Record<string, unknown>));
});

When("the region {string} is deleted", (name: string) => {
    apply(change(CommandKind.Delete, ResourceKind.Region, name, getRevision(ResourceKind.Region, name)));
});

Then("the response is {string} at the field {string}", (result: string, field: string) => {
    assert.deepEqual([lastResponse().result, lastResponse().field], [result, field]);
    assert.deepEqual(applied[applied.length - 1]?.changes, []);
});

Then("a spec over the limit is {string} and a resource over the count is {string}", (size: string, count: string) => {
    state = createResourceState(LIMITS);
    assert.equal(apply(put(ResourceKind.Region, "large", { links: "x".repeat(400) })).response.result, size);
    const results = Array.from(
        { length: 7 },
        (_, index) => apply(put(ResourceKind.Region, `region-${index}`, { links: [] })).response.result,
    );
    assert.deepEqual(results, [...Array.from({ length: 6 }, () => "created"), count]);
});

Then("a response in a full store is kept at 23 hours and evicted at 25 hours", () => {
    state = createResourceState({ ...LIMITS, storedResponses: { retained: 2 } });
    const first = put(ResourceKind.Region, "hame", { links: [] }, 0, "first");
    const at = (hours: number) =>
        change(CommandKind.Delete, ResourceKind.Region, "x", 1, {}, `at-${hours}`, hours * RESPONSE_RETENTION_MS / 24);
    [first, at(1), at(2), at(23)].forEach(command => apply(command));
    assert.equal(apply(first).response.result, "created");
    apply(at(25));
    assert.equal(apply(first).response.result, "conflict");
});

When(
    "{int} random commands are applied to a replica and to one that restores a snapshot after each {int}, with seed {int}",
    (count: number, every: number, seed: number) => {
        const names = fc.constantFrom("a", "b", "c");
        const expected = fc.integer({ min: 0, max: 40 });
        const region = fc.tuple(names, expected, fc.integer({ min: 1, max: 3 })).map(([name, at, bitsPerSecond]) =>
            put(ResourceKind.Region, name, { links: [{ to: "a", bitsPerSecond }] }, at, `r${at % 25}`)
        );
        const withoutLinks = names.map(name => put(ResourceKind.Region, name, { links: [] }, 0, `p${name}`));
        const deletion = fc.tuple(names, expected).map(([name, at]) =>
            change(CommandKind.Delete, ResourceKind.Region, name, at, {}, `d${at}`)
        );
        const entry = fc.tuple(names, fc.boolean()).map(([name, isLeaving]): ResourceCommand => ({
            command: CommandKind.RegisterEntry,
            entry: { name, address: "127.0.0.1", callerPort: 1, peerPort: 2, availabilityZone: "z", isLeaving },
        }));
        const removal = names.map((name): ResourceCommand => ({ command: CommandKind.RemoveEntry, name }));
        const commands = fc.sample(fc.oneof(region, withoutLinks, deletion, entry, removal), { numRuns: count, seed });
        let other = createResourceState(LIMITS);
        state = createResourceState(LIMITS);
        commands.forEach((command, index) => {
            const expectedResult = state.apply(index + 1, command);
            assert.deepEqual(other.apply(index + 1, command), expectedResult, `seed ${seed}, command ${index}`);
            if (index % every === 0) {
                const restored = createResourceState(LIMITS);
                restored.restoreSnapshot(other.takeSnapshot());
                other = restored;
            }
        });
        restoreOutcome = JSON.stringify([other.items(), other.revision, other.configurationRevision]);
        assert.deepEqual(decode(other.takeSnapshot()), decode(state.takeSnapshot()));
    },
);

Then("both replicas have equal items, responses and revisions", () => {
    assert.equal(restoreOutcome, JSON.stringify([state.items(), state.revision, state.configurationRevision]));
    assert.ok(state.items().length > 0);
});

When(
    "a snapshot of version {int} readable from version {int} is restored",
    (version: number, readableFrom: number) => {
        const snapshot = encode({ ...decode(state.takeSnapshot()), version, readableFrom, added: "later" });
        const restored = createResourceState();
        try {
            restored.restoreSnapshot(snapshot);
            assert.deepEqual(restored.items(), state.items());
            restoreOutcome = "done";
        }
        catch (error) {
            assert.deepEqual(restored.items(), []);
            restoreOutcome = (error as Error).message;
        }
    },
);

Then("the restore is {string}", (outcome: string) => {
    assert.equal(restoreOutcome, outcome);
});

Then("decoding a command of version 2 fails and names both versions", () => {
    assert.throws(() => decodeCommand(encode({ version: 2, command: {} })), /of version 2; this program reads 1/);
});
