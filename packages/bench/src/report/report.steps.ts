import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createSeededRandom } from "../random/seeded-random.js";
import { evaluateGoal, formatReport, getExitCode, type GoalKind, type Report, writeReport } from "./report.js";
import { peakOverWindow, sumByInterval, summarize, type TimedAmount } from "./statistics.js";

let values: number[] = [];
let amounts: TimedAmount[] = [];
let folder: string | undefined;

const makeReport = (changes: Partial<Report>): Report => ({
    name: "sample",
    command: "npm run bench -- sample",
    figures: [],
    notes: [],
    charts: [],
    deadProcesses: [],
    ...changes,
});

After(() => {
    if (folder !== undefined) {
        rmSync(folder, { recursive: true });
        folder = undefined;
    }
});

Given("the values 1 to {int} in random order with seed {int}", (count: number, seed: number) => {
    const random = createSeededRandom(seed);
    values = Array.from({ length: count }, (_, index) => ({ value: index + 1, order: random() }))
        .sort((one, other) => one.order - other.order)
        .map(({ value }) => value);
});
Given("no values", () => {
    values = [];
});
Given(
    "{int} amounts at {int} ms and {int} at {int} ms",
    (earlierCount: number, earlierAt: number, laterCount: number, laterAt: number) => {
        const repeat = (count: number, time: number) => Array.from({ length: count }, () => ({ at: time, amount: 1 }));
        amounts = [...repeat(laterCount, laterAt), ...repeat(earlierCount, earlierAt)];
    },
);

Then(
    "p50 is {int}, p99 is {int}, p99.9 is {int} and the maximum is {int}",
    (p50: number, p99: number, p999: number, maximum: number) =>
        assert.deepEqual(summarize(values), { count: values.length, p50, p99, p999, maximum }),
);
Then("every percentile is undefined", () =>
    assert.deepEqual(summarize(values), {
        count: 0,
        p50: undefined,
        p99: undefined,
        p999: undefined,
        maximum: undefined,
    }));
Then("a figure of them with a goal has the verdict {string}", (verdict: string) => {
    const goal = { kind: "atMost" as GoalKind, value: 1 };
    assert.equal(evaluateGoal({ name: "p50", value: summarize(values).p50, unit: "ms", goal }), verdict);
});
Then(
    "the peak over {int} ms is {int}",
    (window: number, peak: number) => assert.equal(peakOverWindow(amounts, window), peak),
);
Then(
    "the sums of intervals of {int} ms are {int} and {int}",
    (interval: number, one: number, other: number) =>
        assert.deepEqual(sumByInterval(amounts, 0, 2 * interval, interval), [one, other]),
);
Then(
    "a value of {float} with a goal {word} {int} has the verdict {string}",
    (value: number, kind: GoalKind, bound: number, verdict: string) =>
        assert.equal(evaluateGoal({ name: "x", value, unit: "ms", goal: { kind, value: bound } }), verdict),
);
Then("a report with dead processes results in exit code 1 and names them", () => {
    const report = makeReport({ deadProcesses: ["entry-3"] });
    assert.equal(getExitCode(report), 1);
    assert.match(formatReport(report), /process of entry-3 exited/);
});
Then("a report without dead processes results in exit code 0", () => assert.equal(getExitCode(makeReport({})), 0));

When("a report with a chart named {string} is written", (title: string) => {
    folder = mkdtempSync(join(tmpdir(), "report-"));
    const figures = [{ name: "x", value: 2, unit: "ms", goal: { kind: "atMost" as GoalKind, value: 1 } }];
    const series = ["one", "other"].map(name => ({ name, points: [[0, 1], [1, 2]] as [number, number][] }));
    writeReport(makeReport({ figures, charts: [{ title, xLabel: "s", yLabel: "ms", series }] }), folder);
});
Then("the JSON file contains the figures with their verdicts", () => {
    const written = JSON.parse(readFileSync(join(folder!, "sample.json"), "utf8")) as { figures: object[] };
    assert.deepEqual(written.figures, [
        { name: "x", value: 2, unit: "ms", goal: { kind: "atMost", value: 1 }, verdict: "MISSED" },
    ]);
});
Then("the SVG file escapes the name and has a line for each series", () => {
    const svg = readFileSync(join(folder!, "sample.svg"), "utf8");
    assert.ok(svg.includes("a &lt; b &amp; c"));
    assert.equal(svg.match(/<polyline/g)?.length, 2);
});
