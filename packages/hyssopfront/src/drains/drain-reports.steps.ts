import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import {
    type ConfigurationView,
    EMPTY_CONFIGURATION_VIEW,
    type RegisteredEntry,
} from "../configuration/configuration-view.js";
import type { DrainReport } from "../sessions/messages.js";
import { DrainPhase } from "./drain-phase.js";
import { createDrainReports, type DrainReports, type DrainSummary } from "./drain-reports.js";

const ZONE = "sibiu-2";
let reports: DrainReports;
let view: ConfigurationView;
let drainName: string;

const toEntry = (name: string): RegisteredEntry => ({
    name,
    address: "10.0.0.1",
    callerPort: 7101,
    peerPort: 7103,
    availabilityZone: "sibiu-1",
    isLeaving: false,
});

const report = (entry: string, state: Partial<DrainReport>, inFlight: number) =>
    reports.record(entry, {
        drains: [{ name: drainName, phase: DrainPhase.Complete, share: 1, isOverdue: false, ...state }],
        inFlight: inFlight === 0 ? [] : [{ service: "stoc", name: "stoc-1", availabilityZone: ZONE, inFlight }],
    });

const summary = (): DrainSummary => {
    const [only] = reports.summarize(view);
    assert.ok(only !== undefined);
    return only;
};

Given(
    "entries {string} and {string} and a drain {string} of the availability zone {string}",
    (one: string, other: string, drain: string, availabilityZone: string) => {
        reports = createDrainReports();
        drainName = drain;
        view = {
            ...EMPTY_CONFIGURATION_VIEW,
            entries: new Map([one, other].map(name => [name, toEntry(name)])),
            availabilityZones: new Map([[ZONE, { region: "transilvania", clientBlocks: [] }]]),
            drains: new Map([[drain, { target: { availabilityZone }, paceSeconds: 10 }]]),
        };
    },
);

When(
    "{string} reports the drain complete with {int} requests in flight",
    (entry: string, inFlight: number) => report(entry, {}, inFlight),
);

When("{string} reports that {int} percent of the load has moved", (entry: string, percent: number) => {
    report(entry, { phase: DrainPhase.Running, share: percent / 100 }, 0);
});

When("{string} reports the drain rejected because of {string}", (entry: string, reason: string) => {
    report(entry, { phase: DrainPhase.Rejected, share: 0, reason }, 0);
});

When("a new leadership starts", () => reports.clear());

Then(
    "the target is not drained because of {string} and the message names {string}",
    (reason: string, entry: string) => {
        assert.equal(summary().isDrained, false);
        assert.equal(summary().reason, reason);
        assert.ok(summary().message.includes(entry), summary().message);
    },
);

Then("the message contains {string}", (text: string) => {
    assert.ok(summary().message.includes(text), summary().message);
});

Then("the target is drained", () => {
    assert.equal(summary().isDrained, true);
});
