import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { RatioBudget } from "../../routing/ratio-budget.js";
import { createRetryBudgets } from "./retry-budgets.js";

let share: number;
let slack: number;
let known: number;
let budgets: readonly RatioBudget[];
let repeats: number;

const repeatAll = (budget: RatioBudget) => {
    while (budget.tryWithdraw()) {
        repeats += 1;
    }
};

Given("a service may get repeats for {int} percent of its requests and {int} more", (percent: number, more: number) => {
    share = percent / 100;
    slack = more;
    repeats = 0;
});
Given(/^(\d+) entr(?:ies|y) that (?:each know|knows) of (\d+) entr(?:ies|y)$/, (count: string, others: string) => {
    known = Number(others);
    const budgetsOf = () => createRetryBudgets({ share, slack, entryCount: () => known });
    budgets = Array.from({ length: Number(count) }, () => budgetsOf()("orders"));
});
When("each of them gets {int} requests", (count: number) => {
    budgets.forEach(budget => Array.from({ length: count }, () => budget.deposit()));
});
When("each of them knows of {int} entries", (count: number) => {
    known = count;
});
When("each of them repeats as often as it may", () => budgets.forEach(repeatAll));
Then("at most {int} repeats were sent", (most: number) => assert.ok(repeats <= most, `${repeats} were sent.`));
Then("at least {int} repeats were sent", (fewest: number) => assert.ok(repeats >= fewest, `${repeats} were sent.`));
