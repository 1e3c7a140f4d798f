import { Given, Then, When } from "@cucumber/cucumber";
import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { parseSettings, SettingsError } from "./settings.js";

const FILE = "settings.toml";
const SEED = 20_261_204;
const COMMON = `clusterId = "sibiu"
[instance]
name = "control-1"
address = "127.0.0.1"
availabilityZone = "sibiu-1"
`;
const CONTROL = `[control]
peerPort = 7201
operatorPort = 7202
dataFolder = "data"
`;
const ENTRY = `[entry]
callerPort = 7101
adminPort = 7102
peerPort = 7103
`;
const LISTS = `[[controlInstances]]
name = "control-1"
address = "127.0.0.1"
peerPort = 7201
operatorPort = 7202
availabilityZone = "sibiu-1"
[[controlInstances]]
name = "control-2"
address = "127.0.0.1"
peerPort = 7203
operatorPort = 7204
availabilityZone = "sibiu-2"
[[runOnceGroups]]
name = "sibiu"
voters = ["control-1"]
`;

let text: string;

const replaceLast = (search: string, replacement: string) => {
    const index = text.lastIndexOf(search);
    assert.notEqual(index, -1);
    text = text.slice(0, index) + replacement + text.slice(index + search.length);
};

Given("the settings of an entry", () => {
    text = COMMON + ENTRY + LISTS;
});

Given("the settings of a control instance", () => {
    text = COMMON + CONTROL + LISTS;
});

When(/^the line "(.*)" is added at the top$/, (line: string) => {
    text = `${line}\n${text}`;
});

When(/^"(.*)" is replaced with "(.*)"$/, (search: string, replacement: string) => {
    assert.ok(text.includes(search));
    text = text.replace(search, replacement);
});

When(/^the last "(.*)" becomes "(.*)"$/, (search: string, replacement: string) => {
    replaceLast(search, replacement);
});

When("the key {string} is left out of the instance", (key: string) => {
    text = text.replace(new RegExp(`^${key} = .*\n`, "m"), "");
});

Then("the settings are accepted", () => {
    assert.equal(parseSettings(text, FILE).clusterId, "sibiu");
});

Then(/^the settings are rejected at "(.*)" with "(.*)"$/, (key: string, message: string) => {
    assert.throws(() => parseSettings(text, FILE), (error: unknown) => {
        assert.ok(error instanceof SettingsError);
        const problem = error.problems.find(candidate => candidate.key === key);
        assert.ok(problem !== undefined, error.message);
        assert.ok(problem.message.toLowerCase().includes(message.toLowerCase()), problem.message);
        assert.ok(error.message.startsWith(FILE));
        return true;
    });
});

Then("{int} random edits are either accepted or rejected with a settings error", (count: number) => {
    const original = text;
    const edit = fastCheck.tuple(
        fastCheck.nat(original.length),
        fastCheck.nat(40),
        fastCheck.string({ maxLength: 20 }),
    );
    fastCheck.assert(
        fastCheck.property(edit, ([at, length, inserted]) => {
            try {
                parseSettings(original.slice(0, at) + inserted + original.slice(at + length), FILE);
            }
            catch (error) {
                assert.ok(error instanceof SettingsError, String(error));
            }
        }),
        { numRuns: count, seed: SEED },
    );
});
