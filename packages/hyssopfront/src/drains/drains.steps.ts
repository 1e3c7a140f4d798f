import { Given, Then, When } from "@cucumber/cucumber";
import { createManualClock, type ManualClock } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import type { AnnouncedBackendServer } from "../announcements/announcement.js";
import { type ConfigurationView, EMPTY_CONFIGURATION_VIEW } from "../configuration/configuration-view.js";
import type { DrainSpec } from "../resources/resource.js";
import { DrainPhase } from "./drain-phase.js";
import { computeDrainProgress } from "./drain-progress.js";
import { createDrainTracker, type DrainState, type DrainTracker } from "./drain-tracker.js";

const SERVICE = "taulupalvelu";

let clock: ManualClock;
let view: ConfigurationView;
let listener: (changed: ConfigurationView) => void;
let servers: AnnouncedBackendServer[];
let tracker: DrainTracker;
let lastDrain: string;

const startTracker = () => {
    tracker = createDrainTracker({
        clock,
        configuration: {
            view: () => view,
            holdsViewLease: () => true,
            onChange: added => {
                listener = added;
                return () => undefined;
            },
        },
        announcements: { backendServers: service => servers.filter(server => server.service === service) },
    });
};

const setDrains = (drains: ReadonlyMap<string, DrainSpec>) => {
    view = { ...view, revision: view.revision + 1, drains };
    listener(view);
};

const declareDrain = (target: DrainSpec["target"], paceSeconds: number, deadlineSeconds?: number) => {
    lastDrain = `drain-${view.drains.size + 1}`;
    setDrains(new Map([...view.drains, [lastDrain, { target, paceSeconds, deadlineSeconds }]]));
};

const changeServers = (availabilityZone: string, change: Partial<AnnouncedBackendServer>) => {
    servers = servers.map(server => server.availabilityZone === availabilityZone ? { ...server, ...change } : server);
};

const state = () => tracker.state(lastDrain) as DrainState;

const assertShare = (actual: number, expected: number) =>
    assert.ok(Math.abs(actual - expected) < 1e-6, `drained by ${actual}, expected ${expected}`);

Given(
    "availability zones {string} and {string} of region {string} and {string} of region {string}",
    (first: string, second: string, region: string, third: string, otherRegion: string) => {
        clock = createManualClock();
        const zones = [[first, region], [second, region], [third, otherRegion]] as const;
        view = {
            ...EMPTY_CONFIGURATION_VIEW,
            revision: 1,
            availabilityZones: new Map(
                zones.map(([name, zoneRegion]) => [name, { region: zoneRegion, clientBlocks: [] }]),
            ),
        };
        servers = [];
        startTracker();
    },
);

Given(
    "each of them has an entry and 2 backend servers of service {string} with {int} slots, {int} in use",
    (service: string, slots: number, used: number) => {
        const zones = [...view.availabilityZones.keys()];
        servers = zones.flatMap(availabilityZone =>
            ["a", "b"].map(letter => ({
                service,
                name: `${availabilityZone}-${letter}`,
                address: "127.0.0.1",
                port: 1,
                availabilityZone,
                incarnation: "first",
                slots,
                freeSlots: slots - used,
                leaving: false,
                validUntil: Infinity,
                isDirect: true,
            }))
        );
        view = {
            ...view,
            revision: 2,
            services: new Map([[service, {
                availabilityZones: zones,
                slotsPerBackendServer: slots,
                connectionsPerBackendServer: 390,
                classes: [],
                answerBytesEstimate: 8_192,
                timeToLiveSeconds: 5,
            }]]),
            entries: new Map(zones.map(availabilityZone => [`entry-${availabilityZone}`, {
                name: `entry-${availabilityZone}`,
                address: "127.0.0.1",
                callerPort: 1,
                peerPort: 2,
                availabilityZone,
                isLeaving: false,
            }])),
        };
        listener(view);
    },
);

When(
    "{string} is drained over {int} seconds",
    (availabilityZone: string, pace: number) => declareDrain({ availabilityZone }, pace),
);

When(
    "{string} is drained over {int} seconds with a deadline of {int} seconds",
    (availabilityZone: string, pace: number, deadline: number) => declareDrain({ availabilityZone }, pace, deadline),
);

When("region {string} is drained over {int} seconds", (region: string, pace: number) => declareDrain({ region }, pace));

When(
    "backend server {string} is drained over {int} seconds",
    (name: string, pace: number) => declareDrain({ backendServer: { service: SERVICE, name } }, pace),
);

When("{int} seconds pass", async (seconds: number) => {
    await clock.advance(seconds * 1_000);
    state();
});

When("the backend servers of {string} are full", (zone: string) => changeServers(zone, { freeSlots: 0 }));
When("the backend servers of {string} have free slots", (zone: string) => changeServers(zone, { freeSlots: 4 }));
When(
    "the backend servers of {string} report neither free slots nor load",
    (zone: string) => changeServers(zone, { freeSlots: undefined }),
);
When("the drains are deleted", () => setDrains(new Map()));
When("the entry restarts", () => startTracker());

Then(
    "{string} is drained by {float}",
    (availabilityZone: string, share: number) => assertShare(tracker.locationShare({ availabilityZone }), share),
);

Then(
    "region {string} is drained by {float}",
    (region: string, share: number) => assertShare(tracker.locationShare({ region }), share),
);

Then(
    "a backend server of {string} is drained by {float}",
    (availabilityZone: string, share: number) =>
        assertShare(tracker.backendServerShare({ service: SERVICE, name: "any", availabilityZone }), share),
);

Then("an entry of {string} is drained by {float}", (availabilityZone: string, share: number) => {
    const entry = [...view.entries.values()].find(candidate => candidate.availabilityZone === availabilityZone);
    assert.ok(entry !== undefined);
    assertShare(tracker.entryShare(entry), share);
    assertShare(tracker.entryShare({ ...entry, isLeaving: true }), 1);
});

Then(
    "backend server {string} is drained by {float} and {string} by {float}",
    (name: string, share: number, other: string, otherShare: number) => {
        assertShare(tracker.backendServerShare({ service: SERVICE, name, availabilityZone: "hame-1" }), share);
        assertShare(
            tracker.backendServerShare({ service: SERVICE, name: other, availabilityZone: "hame-1" }),
            otherShare,
        );
    },
);

Then("the drain is rejected because {string}", (reason: string) => {
    assert.equal(state().phase, DrainPhase.Rejected);
    assert.equal(state().reason, reason);
});

Then("the drain is paused, and {string} is drained by {float}", (availabilityZone: string, share: number) => {
    assert.equal(state().phase, DrainPhase.Paused);
    assertShare(tracker.locationShare({ availabilityZone }), share);
});

Then("the drain is overdue", () => assert.equal(state().isOverdue, true));
Then("the drain is not overdue", () => assert.equal(state().isOverdue, false));

const computeProgress = (entry: string, name: string, inFlight: number, unreported?: string) => {
    const target = view.drains.get(lastDrain)?.target;
    assert.ok(target !== undefined);
    const report = { entry, service: SERVICE, name, availabilityZone: "hame-1", inFlight };
    const reporting = new Set([...view.entries.keys()].filter(other => other !== unreported));
    return computeDrainProgress(view, target, [report], reporting);
};

Then(
    "the progress with {int} requests of entry {string} on {string} is {string}",
    (inFlight: number, entry: string, name: string, message: string) => {
        const progress = computeProgress(entry, name, inFlight);
        assert.deepEqual(progress, { inFlight, isDrained: inFlight === 0, message });
    },
);

Then("the progress without a report of entry {string} is {string}", (entry: string, message: string) => {
    assert.deepEqual(computeProgress("entry-hame-1", "hame-1-a", 0, entry), { inFlight: 0, isDrained: false, message });
});
