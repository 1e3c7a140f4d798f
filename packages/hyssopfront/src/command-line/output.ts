/**
 * Formats the output of commands as JSON or as a table.
 */

/** Values of the option `--output`. */
export enum OutputFormat {
    Json = "json",
    Table = "table",
}

/**
 * Formats rows as a table with aligned columns.
 *
 * @param columns Column titles, which are printed in upper case.
 * @param rows Cells of each row, in the order of the columns.
 * @returns Lines, each terminated by a line feed.
 */
export function formatTable(columns: readonly string[], rows: readonly (readonly string[])[]): string {
    const lines = [columns.map(column => column.toUpperCase()), ...rows];
    const widths = columns.map((_, index) => Math.max(...lines.map(line => (line[index] ?? "").length)));
    return lines
        .map(line => line.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join("  ").trimEnd())
        .map(line => `${line}\n`)
        .join("");
}

/** Formats a value as indented JSON, terminated by a line feed. */
export function formatJson(value: unknown): string {
    return `${JSON.stringify(value, undefined, 2)}\n`;
}
