/**
 * Report of an experiment: a table for people, a JSON file for programs and a plot.
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { type Chart, drawChart } from "./chart.js";

/** Direction of a goal. */
export enum GoalKind {
    AtMost = "atMost",
    AtLeast = "atLeast",
}

/** Bound that a figure should meet, in the unit of the figure. */
export type Goal = { readonly kind: GoalKind; readonly value: number };

/** Named result of an experiment. */
export type Figure = {
    readonly name: string;
    /** Undefined without a measurement. */
    readonly value: number | undefined;
    readonly unit: string;
    readonly goal?: Goal;
};

/** Result of a run of an experiment. */
export type Report = {
    /** Base name of the files. */
    readonly name: string;
    /** Command that reproduces the run. */
    readonly command: string;
    readonly figures: readonly Figure[];
    /** Context that a reader needs to interpret the figures. */
    readonly notes: readonly string[];
    readonly charts: readonly Chart[];
    /** Instances of the product whose process exited unexpectedly. */
    readonly deadProcesses: readonly string[];
    /** Messages of violated invariants, which fail the run. */
    readonly violations?: readonly string[];
};

/** Result of the comparison of a figure with its goal, as it is printed and written. */
export enum Verdict {
    Met = "met",
    Missed = "MISSED",
    NotMeasured = "NOT MEASURED",
}

/** Compares a figure with its goal. Returns undefined without a goal; without a value the goal is not met. */
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

/** Formats a report as a table of the figures, followed by the notes, the dead processes and the violations. */
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
    const dead = report.deadProcesses.map(name => `The process of ${name} exited unexpectedly.`);
    const violated = (report.violations ?? []).map(message => `Violation: ${message}`);
    return [`# ${report.command}`, "", ...lines, "", ...report.notes, ...dead, ...violated, ""].join("\n");
}

/** Exit code of a run: 1 when a process of the product exited unexpectedly or an invariant was violated. */
export const getExitCode = ({ deadProcesses, violations = [] }: Report) =>
    deadProcesses.length === 0 && violations.length === 0 ? 0 : 1;

/**
 * Writes `<name>.json`, and `<name>.svg` if there are charts; creates the folder if it is missing.
 *
 * @returns Paths of the written files.
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
