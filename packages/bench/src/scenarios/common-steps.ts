/**
 * Steps shared by the scenarios that run on a complete deployment. Each scenario folder calls `defineCommonSteps` once.
 */
import { After, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { History } from "../checker/history.js";
import { COOPERATIVE_PLAN, PURUKUORMA_PLAN } from "../deployment/plan.js";
import { type Load, LoadKind, summarizeResponses } from "./load.js";
import { type ScenarioWorld, startScenarioWorld, waitUntil } from "./scenario-world.js";

const PLANS = { cooperative: COOPERATIVE_PLAN, Purukuorma: PURUKUORMA_PLAN };

export type CommonWorld = {
    readonly scenario: ScenarioWorld;
    readonly load: Load;
    readonly history: History;
    /** Waits until that many more requests of the load have completed. */
    waitForCompletions(count: number): Promise<void>;
};

/**
 * Defines the shared steps and the cleanup after each scenario.
 *
 * @returns State of the current scenario; its getters throw before the scenario has created the state.
 */
export function defineCommonSteps(): CommonWorld {
    let scenario: ScenarioWorld | undefined;
    let history: History | undefined;
    setDefaultTimeout(90_000);

    const current = () => {
        assert.ok(scenario !== undefined);
        return scenario;
    };
    const load = () => {
        const [first] = current().loads;
        assert.ok(first !== undefined);
        return first;
    };
    const waitForCompletions = async (count: number) => {
        const wanted = load().completed + count;
        await waitUntil(`${count} more completed requests`, () => load().completed >= wanted);
    };

    After(async () => {
        await scenario?.close();
        scenario = undefined;
        history = undefined;
    });

    Given(
        "the {word} deployment with {int} backend servers of each service",
        async (plan: keyof typeof PLANS, count: number) => {
            scenario = await startScenarioWorld(PLANS[plan], count);
            await scenario.waitUntilEntriesReady();
        },
    );

    Given("a running load of lookups, idempotent and run-once requests", async () => {
        current().startLoad();
        await waitForCompletions(50);
    });

    Given("operators that change {int} resource(s)", async (count: number) => {
        for (let number = 0; number < count; number += 1) {
            current().startOperator();
        }
        await waitUntil(
            "the first change of each operator",
            () => current().operators.every(({ acknowledgedChanges }) => acknowledgedChanges > 0),
        );
    });

    When("the load completes {int} more requests", waitForCompletions);

    When("each operator makes {int} more changes", async (count: number) => {
        const wanted = current().operators.map(({ acknowledgedChanges }) => acknowledgedChanges + count);
        await waitUntil(
            `${count} more changes of each operator`,
            () => current().operators.every(({ acknowledgedChanges }, index) => acknowledgedChanges >= wanted[index]!),
        );
    });

    Then("the checker finds no violation", async () => {
        history = await current().stopAndCheck();
    });

    Then("every request eventually completed", () => {
        const incomplete = load().requests.filter(({ isCompleted }) => !isCompleted);
        assert.deepEqual(
            incomplete.slice(0, 5),
            [],
            `${incomplete.length} of ${load().requests.length} requests did not complete.`,
        );
    });

    const describeIncomplete = () =>
        load().requests.filter(({ isCompleted }) => !isCompleted).map(({ name, lastResponse }) => ({
            name,
            status: lastResponse?.status,
            reason: lastResponse?.reason,
            error: lastResponse?.error,
        }));

    Then("every request eventually completed, and no connection broke", () => {
        assert.deepEqual(describeIncomplete().slice(0, 5), []);
        const broken = load().attempts.filter(({ error }) => error !== undefined && !error.includes("ECONNREFUSED"));
        assert.deepEqual(broken.slice(0, 3), [], `${broken.length} attempts ended with a broken connection.`);
    });

    Then("every idempotent request completed, and every run-once request completed or has an unknown outcome", () => {
        const incomplete = load().requests
            .filter(({ isCompleted, kind, lastResponse }) =>
                !isCompleted && (kind === LoadKind.Idempotent || lastResponse?.outcome !== "unknown")
            );
        assert.deepEqual(
            incomplete.slice(0, 3),
            [],
            `${incomplete.length} of ${load().requests.length} requests did not complete: ${
                JSON.stringify(describeIncomplete())
            }, ${summarizeResponses(load().attempts)}`,
        );
    });

    return {
        get scenario() {
            return current();
        },
        get load() {
            return load();
        },
        get history() {
            assert.ok(history !== undefined);
            return history;
        },
        waitForCompletions,
    };
}
