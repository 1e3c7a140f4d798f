import { After, Given, Then, When } from "@cucumber/cucumber";
import { createRandom } from "@hyssopfront/bench/quotas/fault-schedule.js";
import { createViewWithClientBlocks } from "@hyssopfront/bench/steering/sample-blocks.js";
import { createManualClock } from "@hyssopfront/coordination";
import fc from "fast-check";
import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { type ConfigurationView, EMPTY_CONFIGURATION_VIEW } from "../configuration/configuration-view.js";
import { parseAddress, parseBlock } from "./address.js";
import { containsAddress } from "./block-list.js";
import { type ClientZoneTable, createClientZoneTable } from "./client-zone-table.js";
import { createEntrySelection, type EntrySelection, type LookupResponse } from "./entry-selection.js";
import { createLookupRoute } from "./lookup-route.js";

const SEED = 20_261_206;
const CALLERS = 9_000;

let table: ClientZoneTable;
let zones: Map<string, { region: string; clientBlocks: string[] }>;
let longestStep: number;
let view: ConfigurationView;
let setView: (changed: ConfigurationView) => void;
let drained: Map<string, number>;
let holdsLease: boolean;
let entrySelection: EntrySelection;
let response: LookupResponse | undefined;
let now: number;
let firstEntries: string[];
let server: Server | undefined;

const withBlocks = (clientBlocks: string[]) => ({ region: "region-1", clientBlocks });

/** Searches all blocks. Of blocks with equally long prefixes, the one of the first availability zone by name wins. */
const searchLinearly = (address: Uint32Array) => {
    const matches = [...zones].flatMap(([name, { clientBlocks }]) =>
        clientBlocks.map(block => ({ name, ...parseBlock(block) }))
            .filter(({ words }) => words.length === address.length)
            .filter(({ words, prefixLength }) => containsAddress(words.length, words, 0, prefixLength, address, 0))
    );
    return matches.sort((a, b) => b.prefixLength - a.prefixLength || (a.name < b.name ? -1 : 1))[0]?.name;
};

/** Few distinct octets, so that blocks are nested, equal and adjacent. */
const smallOctet = fc.constantFrom(0, 1, 2, 127, 128, 255);
const smallAddress = fc.oneof(
    fc.tuple(fc.constantFrom(10, 11), smallOctet, smallOctet, smallOctet).map(octets => octets.join(".")),
    fc.tuple(fc.constantFrom("2a00", "2a01"), smallOctet, smallOctet, smallOctet)
        .map(([first, second, third, last]) => `${first}:${second}:${third}::${last}`),
);
const smallBlock = fc.tuple(smallAddress, fc.nat(128)).map(([address, length]) =>
    `${address}/${address.includes(":") ? length : Math.min(32, length % 33)}`
);

Then(
    "random tables give the same result as a linear search of all blocks after each of several updates",
    { timeout: 30_000 },
    async function() {
        this.log(`seed ${SEED}`);
        const change = fc.record({
            zone: fc.constantFrom("zone-a", "zone-b", "zone-c"),
            blocks: fc.array(smallBlock, { maxLength: 40 }),
        });
        const cases = fc.tuple(
            fc.array(change, { minLength: 1, maxLength: 6 }),
            fc.array(smallAddress, { minLength: 20 }),
        );
        const property = fc.asyncProperty(cases, async ([changes, addresses]) => {
            table = createClientZoneTable(createManualClock());
            zones = new Map();
            for (const { zone, blocks } of changes) {
                zones = new Map([...zones, [zone, withBlocks(blocks)]]);
                await table.update(zones);
                addresses.forEach(text => {
                    const address = parseAddress(text) as Uint32Array;
                    assert.equal(table.find(address), searchLinearly(address), text);
                });
            }
        });
        await fc.assert(property, { seed: SEED, numRuns: 200, endOnFailure: true });
        // Thousands of blocks, so that chunks are split and blocks enclose the start of later chunks.
        table = createClientZoneTable(createManualClock());
        const random = createRandom(SEED);
        for (let revision = 1; revision <= 2; revision++) {
            const { availabilityZones } = createViewWithClientBlocks({
                revision,
                availabilityZones: 3,
                blocksPerAvailabilityZone: 9_000,
                entries: 1,
                random,
            });
            zones = new Map(availabilityZones);
            await table.update(zones);
            const parsed = [...zones].flatMap(([name, { clientBlocks }]) =>
                clientBlocks.map(block => ({ name, ...parseBlock(block) }))
            );
            for (let index = 0; index < parsed.length; index += 97) {
                const address = (parsed[index] as { words: Uint32Array }).words;
                const longest = parsed.filter(({ words, prefixLength }) =>
                    words.length === address.length && containsAddress(words.length, words, 0, prefixLength, address, 0)
                ).sort((a, b) =>
                    b.prefixLength - a.prefixLength || (a.name < b.name ? -1 : 1)
                )[0];
                assert.equal(table.find(address), longest?.name);
            }
        }
    },
);

Given(
    "a table in which {string} and then {string} declare the block {word}",
    async (first: string, second: string, block: string) => {
        table = createClientZoneTable(createManualClock());
        zones = new Map([[first, withBlocks([block])]]);
        await table.update(zones);
        zones = new Map([...zones, [second, withBlocks([block])]]);
        await table.update(zones);
    },
);

Then(
    "the address {word} belongs to {string}",
    (address: string, zone: string) => assert.equal(table.find(parseAddress(address) as Uint32Array), zone),
);

When(
    "{string} no longer declares the block",
    (zone: string) => table.update(new Map([...zones, [zone, withBlocks([])]])),
);

When(
    "{int} availability zones with {int} blocks each are applied and each clock reading takes 1 millisecond",
    async (availabilityZones: number, blocksPerAvailabilityZone: number) => {
        now = 0;
        longestStep = 0;
        let yieldedAt = 0;
        table = createClientZoneTable({ ...createManualClock(), monotonicMilliseconds: () => ++now });
        const options = {
            revision: 1,
            availabilityZones,
            blocksPerAvailabilityZone,
            entries: 1,
            random: createRandom(SEED),
        };
        const update = table.update(createViewWithClientBlocks(options).availabilityZones).then(() => "done");
        let outcome: unknown;
        while (outcome !== "done") {
            longestStep = Math.max(longestStep, now - yieldedAt);
            yieldedAt = now;
            outcome = await Promise.race([update, new Promise(resolve => setImmediate(resolve))]);
        }
        longestStep = Math.max(longestStep, now - yieldedAt);
    },
);

Then(
    "the update read the clock at least {int} times and never ran for more than {int} milliseconds without yielding",
    (readings: number, milliseconds: number) => {
        assert.ok(now >= readings, `${now} readings`);
        assert.ok(longestStep <= milliseconds, `${longestStep} ms without yielding`);
    },
);

Given(
    "entries in two availability zones of region {string} and one of {string}",
    async (region: string, other: string) => {
        const inZone = (availabilityZone: string) => (letter: string) => ({
            name: `${availabilityZone}-${letter}`,
            address: "127.0.0.1",
            callerPort: 7_101,
            peerPort: 7_103,
            availabilityZone,
            isLeaving: false,
        });
        const entries = [
            ...["a", "b", "c"].map(inZone(`${region}-1`)),
            inZone(`${region}-2`)("a"),
            inZone(`${other}-1`)("a"),
        ];
        view = {
            ...EMPTY_CONFIGURATION_VIEW,
            revision: 7,
            availabilityZones: new Map([
                [`${region}-1`, { region, clientBlocks: ["10.1.0.0/16"] }],
                [`${region}-2`, { region, clientBlocks: ["10.2.0.0/16"] }],
                [`${other}-1`, { region: other, clientBlocks: [] }],
            ]),
            services: new Map([["stoc", {
                availabilityZones: [`${region}-1`],
                slotsPerBackendServer: 6,
                connectionsPerBackendServer: 330,
                classes: [],
                answerBytesEstimate: 8_192,
                timeToLiveSeconds: 5,
            }]]),
            entries: new Map(entries.map(entry => [entry.name, entry])),
        };
        drained = new Map();
        holdsLease = true;
        now = 0;
        entrySelection = createEntrySelection({
            clock: { ...createManualClock(), monotonicMilliseconds: () => now },
            availabilityZone: `${other}-1`,
            drains: {
                entryShare: ({ availabilityZone, isLeaving }) => isLeaving ? 1 : drained.get(availabilityZone) ?? 0,
            },
            configuration: {
                view: () => view,
                holdsViewLease: () => holdsLease,
                onChange: listener => {
                    setView = listener;
                    return () => undefined;
                },
            },
        });
        await entrySelection.waitForUpdate();
    },
);

When("a caller at {word} looks up {string}", (address: string, service: string) => {
    response = entrySelection.lookUp(service, { address: parseAddress(address) });
});

Then(
    "the availability zones in the response are {string}",
    (expected: string) =>
        assert.equal(response?.entries.map(({ availabilityZone }) => availabilityZone).join(", "), expected),
);

const lookUpAll = () => {
    now += 100;
    return Array.from({ length: CALLERS }, (_, index) => {
        const address = parseAddress(`10.1.${index >> 8}.${index & 0xff}`);
        return entrySelection.lookUp("stoc", { address })?.entries[0]?.name ?? "";
    });
};

const largestShare = (names: readonly string[]) =>
    Math.max(...[...new Set(names)].map(name => names.filter(other => other === name).length)) / names.length;

Then(
    "none of the 3 entries of {string} is first for more than {float} of {int} callers",
    (zone: string, share: number, callers: number) => {
        firstEntries = lookUpAll();
        assert.equal(firstEntries.length, callers);
        assert.ok(firstEntries.every(name => name.startsWith(zone)));
        assert.ok(largestShare(firstEntries) <= share, `largest share ${largestShare(firstEntries)}`);
    },
);

When("entry {string} is leaving", async (name: string) => {
    const entry = view.entries.get(name);
    assert.ok(entry !== undefined);
    setView({ ...view, revision: 8, entries: new Map([...view.entries, [name, { ...entry, isLeaving: true }]]) });
    await entrySelection.waitForUpdate();
});

Then(
    "only callers of {string} changed their entry, and neither of the others is first for more than {float}",
    (name: string, share: number) => {
        const current = lookUpAll();
        assert.ok(current.every((entry, index) => entry === firstEntries[index] || firstEntries[index] === name));
        assert.ok(!current.includes(name) && largestShare(current) <= share, `largest share ${largestShare(current)}`);
    },
);

When("{string} is drained by {float}", (zone: string, share: number) => drained.set(zone, share));

Then(
    "a share between {float} and {float} of the callers left {string}, including all that leave at a drain by {float}",
    (low: number, high: number, zone: string, earlier: number) => {
        const hasLeft = lookUpAll().map(name => !name.startsWith(zone));
        const share = hasLeft.filter(left => left).length / CALLERS;
        assert.ok(share >= low && share <= high, `share ${share}`);
        drained.set(zone, earlier);
        assert.ok(lookUpAll().every((name, index) => name.startsWith(zone) || hasLeft[index]));
    },
);

When("every availability zone is drained", () => view.availabilityZones.forEach((_spec, zone) => drained.set(zone, 1)));

When("the view lease has ended", () => {
    holdsLease = false;
});

Then("the response is stale and has a time to live of {int} second", (seconds: number) => {
    assert.equal(response?.stale, true);
    assert.equal(response?.timeToLiveSeconds, seconds);
});

Then("{string} gets the status {int}", async (request: string, status: number) => {
    const [method, target] = request.split(" ");
    const route = createLookupRoute(entrySelection);
    server = createServer((incoming, outgoing) => void route(incoming, outgoing));
    await new Promise<void>(resolve => server?.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const httpResponse = await fetch(`http://127.0.0.1:${port}${target}`, { method });
    assert.equal(httpResponse.status, status);
    const body = await httpResponse.json() as LookupResponse;
    assert.ok(status === 200 ? body.entries.length === 5 && body.revision === 7 : "message" in body);
});

After(() => {
    server?.closeAllConnections();
    server?.close();
    server = undefined;
});
