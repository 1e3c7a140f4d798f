import { Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import {
    type SimulatedService,
    type SimulatedZone,
    simulateService,
    type SimulationResult,
} from "./simulated-service.js";

const SECOND_MS = 1_000;
/** The request rate of each region is a sine wave with this relative amplitude and period. */
const RATE_AMPLITUDE = 0.55;
const RATE_PERIOD_MS = 36_000;
/** Score of a response that misses the latency objective; one that meets it scores 1. */
const LATE_RESPONSE_VALUE = 0.2;
const SEEDS = [1, 2, 3];

setDefaultTimeout(60 * SECOND_MS);

const createZone = (region: string, zone: string, servers: number): SimulatedZone => ({
    region,
    availabilityZone: `${region}-${zone}`,
    servers,
});
const ZONES = [
    createZone("east", "a", 2),
    createZone("middle", "a", 3),
    createZone("west", "a", 1),
    createZone("east", "b", 2),
    createZone("middle", "b", 3),
    createZone("west", "b", 1),
];
const RATE_PHASES: Readonly<Record<string, number>> = { east: 0.1, middle: 0.43, west: 0.77 };
/** Zones in the order of their evacuation, each in a different region. */
const EVACUATION_ORDER = ["middle-a", "east-a", "west-a"];

let service: Omit<SimulatedService, "countedFrom">;
let simulatedMilliseconds: number;

const simulate = (countedFrom: number): Promise<readonly SimulationResult[]> =>
    Promise.all(SEEDS.map(seed => simulateService({ ...service, countedFrom }, simulatedMilliseconds, seed)));

Given("a service of 12 backend servers with 5 slots each, and objects that fit into their caches", () => {
    service = {
        zones: ZONES,
        entriesPerRegion: 2,
        slots: 5,
        queueLength: 15,
        cachedObjects: 53,
        objectsPerRegion: 102,
        firstRunMilliseconds: 0,
        laterRunMilliseconds: 0,
        objectiveMilliseconds: 0,
        timeoutMilliseconds: 2 * SECOND_MS,
        deadlineMilliseconds: 2 * SECOND_MS,
        isIdempotent: false,
        cachesLostAt: Infinity,
        requestsPerSecond: () => 0,
        isEvacuated: () => false,
        getSlowdown: () => 1,
    };
});
Given(
    "a service of {int} backend servers with {int} slots each, which {int} entries use with a timeout of {int} ms",
    (servers: number, slots: number, entries: number, timeoutMilliseconds: number) => {
        const regions = ["east", "middle", "west"];
        service = {
            ...service,
            zones: regions.map(region => createZone(region, "a", servers / regions.length)),
            entriesPerRegion: entries / regions.length,
            slots,
            queueLength: 3 * slots,
            cachedObjects: 16,
            objectsPerRegion: 14 * servers / regions.length,
            timeoutMilliseconds,
            deadlineMilliseconds: 4 * SECOND_MS,
            isIdempotent: true,
            // Backend servers of one service differ in speed.
            getSlowdown: id => 0.8 + Number(id.split("-")[2]) % 6 / 10,
        };
    },
);
Given("{int} requests arrive each second, and all caches are lost after {int} s", (rate: number, seconds: number) => {
    service = { ...service, requestsPerSecond: () => rate / 3, cachesLostAt: seconds * SECOND_MS };
});
Given(
    "the first request for an object takes {int} ms, later ones {int} ms, and the latency objective is {int} ms",
    (firstRunMilliseconds: number, laterRunMilliseconds: number, objectiveMilliseconds: number) => {
        service = { ...service, firstRunMilliseconds, laterRunMilliseconds, objectiveMilliseconds };
    },
);
Given(
    "{int} requests arrive each second, and {int} of 6 zones are evacuated after {int} s",
    (rate: number, zones: number, seconds: number) => {
        const evacuated = EVACUATION_ORDER.slice(0, zones);
        service = {
            ...service,
            requestsPerSecond: (region, now) => {
                const phase = now / RATE_PERIOD_MS + (RATE_PHASES[region] ?? 0);
                return rate / 3 * (1 + RATE_AMPLITUDE * Math.sin(2 * Math.PI * phase));
            },
            isEvacuated: (zone, now) => now >= seconds * SECOND_MS && evacuated.includes(zone),
        };
    },
);
Given(
    "{int} backend servers are {int} times slower between {int} s and {int} s",
    (count: number, factor: number, from: number, to: number) => {
        const slow = ["middle-a-1", "east-a-1"].slice(0, count);
        service = {
            ...service,
            getSlowdown: (id, now) => slow.includes(id) && now >= from * SECOND_MS && now < to * SECOND_MS ? factor : 1,
        };
    },
);
When("{int} s pass", (seconds: number) => {
    simulatedMilliseconds = seconds * SECOND_MS;
});
Then(
    "at least {int} percent of the requests of the last {int} s get a response",
    async (percent: number, seconds: number) => {
        const results = await simulate(simulatedMilliseconds - seconds * SECOND_MS);
        results.forEach(({ requests, inObjective, late }, index) => {
            const share = (inObjective + late) / requests;
            assert.ok(share * 100 >= percent, `Seed ${SEEDS[index]}: ${(share * 100).toFixed(1)} percent.`);
        });
    },
);
Then("at least {int} percent of the maximum score is reached", async (percent: number) => {
    const results = await simulate(0);
    const shares = results.map(({ requests, inObjective, late }) =>
        (inObjective + LATE_RESPONSE_VALUE * late) / requests
    );
    shares.forEach((share, index) =>
        assert.ok(share * 100 >= percent, `Seed ${SEEDS[index]} reaches ${(share * 100).toFixed(1)} percent.`)
    );
});
