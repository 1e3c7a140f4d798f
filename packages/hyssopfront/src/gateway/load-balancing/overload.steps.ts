import { Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import {
    type SimulatedPlace,
    type SimulatedService,
    simulateService,
    type SimulationResult,
} from "./simulated-service.js";

const SECOND_MS = 1_000;
/** Requests of each region rise and fall by this share over this time, one region after the other. */
const SWING = 0.55;
const SWING_PERIOD_MS = 36_000;
/** Part of a request's worth that a late answer earns. */
const LATE_WORTH = 0.2;
const SEEDS = [1, 2, 3];

setDefaultTimeout(60 * SECOND_MS);

const place = (region: string, zone: string, servers: number): SimulatedPlace => ({
    region,
    availabilityZone: `${region}-${zone}`,
    servers,
});
const PLACES = [
    place("east", "a", 2),
    place("middle", "a", 3),
    place("west", "a", 1),
    place("east", "b", 2),
    place("middle", "b", 3),
    place("west", "b", 1),
];
const PHASES: Readonly<Record<string, number>> = { east: 0.1, middle: 0.43, west: 0.77 };
/** Zones in the order in which they are evacuated: each in another region. */
const EVACUATED = ["middle-a", "east-a", "west-a"];

let service: SimulatedService;
let results: readonly SimulationResult[];

Given("a service of 12 backend servers with 5 slots each, and objects that fit into their memories", () => {
    service = {
        places: PLACES,
        entriesPerRegion: 2,
        slots: 5,
        queue: 15,
        remembered: 53,
        objectsPerRegion: 102,
        firstRunMilliseconds: 0,
        laterRunMilliseconds: 0,
        objectiveMilliseconds: 0,
        deadlineMilliseconds: 2 * SECOND_MS,
        requestsPerSecond: () => 0,
        isEvacuated: () => false,
        slownessOf: () => 1,
    };
});
Given(
    "its first run of an object takes {int} ms, later ones {int} ms, and answers are due within {int} ms",
    (firstRunMilliseconds: number, laterRunMilliseconds: number, objectiveMilliseconds: number) => {
        service = { ...service, firstRunMilliseconds, laterRunMilliseconds, objectiveMilliseconds };
    },
);
Given(
    "{int} requests arrive each second, and {int} of 6 zones are evacuated after {int} s",
    (rate: number, zones: number, seconds: number) => {
        const evacuated = EVACUATED.slice(0, zones);
        service = {
            ...service,
            requestsPerSecond: (region, now) => {
                const turn = now / SWING_PERIOD_MS + (PHASES[region] ?? 0);
                return rate / 3 * (1 + SWING * Math.sin(2 * Math.PI * turn));
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
            slownessOf: (id, now) => slow.includes(id) && now >= from * SECOND_MS && now < to * SECOND_MS ? factor : 1,
        };
    },
);
When("{int} s pass", async (seconds: number) => {
    results = await Promise.all(SEEDS.map(seed => simulateService(service, seconds * SECOND_MS, seed)));
});
Then("at least {int} percent of the worth is earned", (percent: number) => {
    const shares = results.map(({ asked, inObjective, late }) => (inObjective + LATE_WORTH * late) / asked);
    shares.forEach((share, index) =>
        assert.ok(share * 100 >= percent, `Seed ${SEEDS[index]} earns ${(share * 100).toFixed(1)} percent.`)
    );
});
