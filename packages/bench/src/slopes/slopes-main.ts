/**
 * Runs the measurements behind docs/CAPACITY.md, which show how costs grow with the size of a deployment, one after the
 * other in a process of its own.
 *
 * Usage: npm run slopes [-- name ...]
 */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

type Measurement = {
    readonly name: string;
    readonly file: string;
    readonly nodeOptions?: readonly string[];
    readonly scriptArguments?: readonly string[];
};

const FOLDER = mkdtempSync(join(tmpdir(), "hyssopfront-slopes-"));
process.once("exit", () => rmSync(FOLDER, { recursive: true, force: true }));
const RESTART_SIZES = [1_000, 10_000, 100_000, 400_000];

const MEASUREMENTS: readonly Measurement[] = [
    { name: "lookup-table", file: "lookup-table.ts", nodeOptions: ["--expose-gc"] },
    { name: "peers", file: "peers-connections.ts", scriptArguments: ["8"] },
    { name: "followers", file: "configuration-followers.ts", scriptArguments: ["20"] },
    { name: "announcements", file: "announcements-pull.ts" },
    { name: "grantor", file: "portions-grantor.ts" },
    { name: "portions", file: "portions-share.ts" },
    { name: "commit", file: "consensus-commit.ts" },
    ...RESTART_SIZES.flatMap(entries =>
        ["build", "restart"].map(action => ({
            name: "restart",
            file: "consensus-restart.ts",
            nodeOptions: ["--expose-gc"],
            scriptArguments: [action, join(FOLDER, String(entries)), String(entries)],
        }))
    ),
    { name: "configuration-memory", file: "configuration-memory.ts", nodeOptions: ["--expose-gc"] },
];
/** Far above the duration of the longest measurement. Ends a measurement that hangs. */
const MEASUREMENT_TIMEOUT_MS = 10 * 60_000;

const write = (text: string) => process.stdout.write(`${text}\n`);

const run = async ({ name, file, nodeOptions = [], scriptArguments = [] }: Measurement): Promise<boolean> => {
    const script = join(import.meta.dirname, file);
    write(
        `\n# ${name}: ${
            [
                "node --conditions=source --import tsx",
                ...nodeOptions,
                `packages/bench/src/slopes/${file}`,
                ...scriptArguments,
            ].join(" ")
        }`,
    );
    const child = spawn(
        process.execPath,
        ["--conditions=source", "--import", "tsx", ...nodeOptions, script, ...scriptArguments],
        { stdio: ["ignore", "inherit", "inherit"] },
    );
    const timer = setTimeout(() => child.kill("SIGKILL"), MEASUREMENT_TIMEOUT_MS);
    const [code] = await once(child, "exit") as [number | undefined];
    clearTimeout(timer);
    return code === 0;
};

const selectedNames = process.argv.slice(2);
const unknownNames = selectedNames.filter(name => !MEASUREMENTS.some(measurement => measurement.name === name));
if (unknownNames.length > 0) {
    write(`Unknown measurements: ${unknownNames.join(", ")}. Use ${MEASUREMENTS.map(({ name }) => name).join(", ")}.`);
    process.exit(1);
}
let failures = 0;
for (
    const measurement of MEASUREMENTS.filter(({ name }) => selectedNames.length === 0 || selectedNames.includes(name))
) {
    if (!await run(measurement)) {
        failures += 1;
        write(`# ${measurement.name} failed`);
    }
}
process.exitCode = failures === 0 ? 0 : 1;
