/**
 * Report of an experiment: a table for people, a JSON file for programs and a plot.
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { type Chart, drawChart } from "./chart.js";

/** How a goal bounds a value. */
export enum GoalKind {
    AtMost = "atMost",
    AtLeast = "atLeast",
}

export type Goal = { readonly kind: GoalKind; readonly value: number };

export type Figure = {
    readonly name: string;
    /** Undefined when nothing was measured. */
    readonly value: number | undefined;
    readonly unit: string;
    readonly goal?: Goal;
};

export type Report = {
    /** Name of the files. */
    readonly name: string;
    /** Command that repeats the run. */
    readonly command: string;
    readonly figures: readonly Figure[];
    /** What a reader must know to judge the figures. */
    readonly notes: readonly string[];
    readonly charts: readonly Chart[];
    /** Instances of the product whose process ended although nothing ended it on purpose. */
    readonly deadProcesses: readonly string[];
    /** Messages of broken invariants, which fail the run. */
    readonly violations?: readonly string[];
};

export enum Verdict {
    Met = "met",
    Missed = "MISSED",
    NotMeasured = "NOT MEASURED",
}

/** Compares a figure with its goal; undefined without a goal. A figure without a value does not meet its goal. */
export function evaluateGoal({ value, goal }: Figure): Verdict | undefined {
    if (goal === undefined) {
        return undefined;
    }
    if (value === undefined) {
        return Verdict.NotMeasured;
    }
    const isMet = goal.kind === GoalKind.AtMost ? value <= goal.value : value >= goal.value;
    return isMet ? Verdict.Met : Verdict.Missed;
}

const formatNumber = (value: number | undefined) => {
    if (value === undefined) {
        return "-";
    }
    return Math.abs(value) >= 100 ? value.toFixed(0) : value.toFixed(Math.abs(value) >= 10 ? 1 : 2);
};
const formatGoal = (goal: Goal | undefined) =>
    goal === undefined ? "" : `${goal.kind === GoalKind.AtMost ? "<=" : ">="} ${goal.value}`;

/** Table of the figures, with the notes below. */
export function formatReport(report: Report): string {
    const rows = [
        ["figure", "value", "unit", "goal", "verdict"],
        ...report.figures.map(figure => [
            figure.name,
            formatNumber(figure.value),
            figure.unit,
            formatGoal(figure.goal),
            evaluateGoal(figure) ?? "",
        ]),
    ];
    const widths = rows[0]!.map((_, column) => Math.max(...rows.map(row => row[column]!.length)));
    const lines = rows.map(row =>
        row.map((cell, column) => column === 1 ? cell.padStart(widths[column]!) : cell.padEnd(widths[column]!))
            .join("  ").trimEnd()
    );
    const dead = report.deadProcesses.map(name => `The process of ${name} ended during the run.`);
    const broken = (report.violations ?? []).map(message => `Violation: ${message}`);
    return [`# ${report.command}`, "", ...lines, "", ...report.notes, ...dead, ...broken, ""].join("\n");
}

/** Exit code of a run: 1 when a process of the product died or an invariant was broken. */
export const exitCodeOf = ({ deadProcesses, violations = [] }: Report) =>
    deadProcesses.length === 0 && violations.length === 0 ? 0 : 1;

/**
 * Writes `<name>.json`, and `<name>.svg` when there are charts.
 *
 * @returns Paths of the files.
 */
export function writeReport(report: Report, folder: string): readonly string[] {
    mkdirSync(folder, { recursive: true });
    const json = join(folder, `${report.name}.json`);
    const figures = report.figures.map(figure => ({ ...figure, verdict: evaluateGoal(figure) }));
    writeFileSync(json, `${JSON.stringify({ ...report, figures }, undefined, 2)}\n`);
    if (report.charts.length === 0) {
        return [json];
    }
    const svg = join(folder, `${report.name}.svg`);
    writeFileSync(svg, drawChart(report.name, report.charts));
    return [json, svg];
}
