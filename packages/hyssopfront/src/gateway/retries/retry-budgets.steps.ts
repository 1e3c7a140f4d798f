import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { RatioBudget } from "../../routing/ratio-budget.js";
import { createRetryBudgets } from "./retry-budgets.js";

let share: number;
let slack: number;
let knownEntries: number;
let budgets: readonly RatioBudget[];
let retries: number;

const retryUntilExhausted = (budget: RatioBudget) => {
    while (budget.tryWithdraw()) {
        retries += 1;
    }
};

Given(
    "a service may get retries for {int} percent of its requests and {int} in addition",
    (percent: number, additional: number) => {
        share = percent / 100;
        slack = additional;
        retries = 0;
    },
);
Given(/^(\d+) entr(?:ies|y) that (?:each know|knows) of (\d+) entr(?:ies|y)$/, (count: string, known: string) => {
    knownEntries = Number(known);
    const createBudgets = () => createRetryBudgets({ share, slack, entryCount: () => knownEntries });
    budgets = Array.from({ length: Number(count) }, () => createBudgets()("orders"));
});
When("each of them gets {int} requests", (count: number) => {
    budgets.forEach(budget => Array.from({ length: count }, () => budget.deposit()));
});
When("each of them knows of {int} entries", (count: number) => {
    knownEntries = count;
});
When("each of them retries until its budget is used up", () => budgets.forEach(retryUntilExhausted));
Then("at most {int} retries were sent", (most: number) => assert.ok(retries <= most, `${retries} were sent.`));
Then("at least {int} retries were sent", (fewest: number) => assert.ok(retries >= fewest, `${retries} were sent.`));
