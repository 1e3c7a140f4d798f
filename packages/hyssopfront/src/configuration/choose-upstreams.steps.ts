import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { chooseUpstreams } from "./choose-upstreams.js";
import { type ConfigurationView, EMPTY_CONFIGURATION_VIEW, type RegisteredEntry } from "./configuration-view.js";

const CONTROL_INSTANCES = ["control-1", "control-2"];
let view: ConfigurationView;
let zone: string;

const listUpstreams = (entry: string) => chooseUpstreams(view, entry, zone, CONTROL_INSTANCES).join(", ");

Given("{int} entries in the availability zone {string}", (count: number, availabilityZone: string) => {
    zone = availabilityZone;
    const entries = Array.from({ length: count }, (_, index): RegisteredEntry => ({
        name: `entry-${index + 1}`,
        address: "10.0.0.1",
        callerPort: 7101,
        peerPort: 7103,
        availabilityZone,
        isLeaving: false,
    }));
    const elsewhere = { ...entries[0]!, name: "entry-0", availabilityZone: "sibiu-2" };
    view = { ...EMPTY_CONFIGURATION_VIEW, entries: new Map([...entries, elsewhere].map(entry => [entry.name, entry])) };
});

When("{string} leaves", (name: string) => {
    view = { ...view, entries: new Map(view.entries).set(name, { ...view.entries.get(name)!, isLeaving: true }) };
});

Then("each entry reads from {string}", (upstreams: string) => {
    const names = [...view.entries.values()].filter(entry => entry.availabilityZone === zone);
    assert.deepEqual(names.map(({ name }) => listUpstreams(name)), names.map(() => upstreams));
});

Then("{string} reads from {string}", (entry: string, upstreams: string) => {
    assert.equal(listUpstreams(entry), upstreams);
});
