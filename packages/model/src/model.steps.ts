import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { CHECKS, MAXIMUM_STATES } from "./checks.js";
import { type ExplorationResult, explore } from "./explorer/explore.js";

const EXPLORATION_TIMEOUT_MS = 10 * 60_000;
const shortChecks = CHECKS.filter(check => !check.isLong);
let result: ExplorationResult;

Then(
    "each short check without a defect visits all states and finds no violation",
    { timeout: EXPLORATION_TIMEOUT_MS },
    () => {
        const checks = shortChecks.filter(check => !check.hasDefect);
        assert.ok(checks.length >= 5);
        checks.forEach(({ name, specification }) => {
            const { violation, isExhaustive } = explore(specification, MAXIMUM_STATES);
            assert.equal(violation, undefined, `${name}: ${violation?.trace.join("; ")}`);
            assert.ok(isExhaustive, name);
        });
    },
);

Then("each short check with a defect finds a violation", { timeout: EXPLORATION_TIMEOUT_MS }, () => {
    const checks = shortChecks.filter(check => check.hasDefect);
    assert.ok(checks.length >= 10);
    checks.forEach(({ name, specification }) => {
        assert.notEqual(explore(specification, MAXIMUM_STATES).violation, undefined, name);
    });
});

When(
    "the specification of the check {string} is explored up to {int} states",
    (name: string, maximumStates: number) => {
        const check = CHECKS.find(candidate => candidate.name === name);
        assert.ok(check !== undefined);
        result = explore(check.specification, maximumStates);
    },
);

Then("the exploration is not exhaustive", () => {
    assert.equal(result.isExhaustive, false);
});
