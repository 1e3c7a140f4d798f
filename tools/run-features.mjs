/**
 * Runs each folder that contains a feature file in a separate Cucumber process, so that step definitions are local to
 * their folder, and prints the total numbers of passed and failed scenarios. Known failures, which KNOWN-RED.txt lists,
 * are not run but printed.
 *
 * Usage: node tools/run-features.mjs [--include-known-red] [folder prefix ...]
 */
import { spawn } from "node:child_process";
import { existsSync, mkdtempSync, readdirSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, relative, resolve } from "node:path";

const ROOT = resolve(import.meta.dirname, "..");
const PARALLEL_PROCESSES = 3;
const FOLDER_TIMEOUT_MS = 15 * 60_000;

const options = process.argv.slice(2).filter(argument => argument.startsWith("--"));
const prefixes = process.argv.slice(2).filter(argument => !argument.startsWith("--")).map(path => resolve(path));
const includeKnownRed = options.includes("--include-known-red");

const listFolders = folder =>
    readdirSync(folder, { withFileTypes: true })
        .filter(entry => entry.isDirectory() && entry.name !== "node_modules" && entry.name !== "dist")
        .flatMap(entry => {
            const path = join(folder, entry.name);
            return [path, ...listFolders(path)];
        });

const hasFeature = folder => readdirSync(folder).some(name => name.endsWith(".feature"));

/** Returns the names of the known failures. Each entry of the file has a line `scenario: <exact scenario name>`. */
const readKnownRed = () => {
    const path = join(ROOT, "KNOWN-RED.txt");
    if (!existsSync(path)) {
        return [];
    }
    return readFileSync(path, "utf8")
        .split("\n")
        .map(line => /^scenario:\s*(.+?)\s*$/.exec(line)?.[1])
        .filter(name => name !== undefined);
};

const escapeRegExp = text => text.replace(/[.*+?^${}()|[\]\\]/g, "\\$&");

const runFolder = (folder, knownRed) =>
    new Promise(resolvePromise => {
        const reportFolder = mkdtempSync(join(tmpdir(), "features-"));
        const report = join(reportFolder, "report.ndjson");
        const argumentsList = [
            join(ROOT, "node_modules/@cucumber/cucumber/bin/cucumber-js"),
            join(folder, "*.feature"),
            "--import",
            join(folder, "*.steps.ts"),
            "--format",
            `message:${report}`,
            "--format",
            "summary",
            // Otherwise a handle that a test double has left open would keep the process running until the timeout.
            "--exit",
        ];
        if (!includeKnownRed && knownRed.length > 0) {
            argumentsList.push("--name", `^(?!(${knownRed.map(escapeRegExp).join("|")})$)`);
        }
        const child = spawn(process.execPath, argumentsList, {
            cwd: ROOT,
            env: { ...process.env, NODE_OPTIONS: "--conditions=source --import tsx" },
        });
        let output = "";
        child.stdout.on("data", data => output += data);
        child.stderr.on("data", data => output += data);
        const timer = setTimeout(() => child.kill("SIGKILL"), FOLDER_TIMEOUT_MS);
        child.on("close", code => {
            clearTimeout(timer);
            const scenarios = existsSync(report)
                ? countScenarios(readFileSync(report, "utf8"))
                : { passed: 0, failed: 0 };
            rmSync(reportFolder, { recursive: true, force: true });
            resolvePromise({ folder, code, output, ...scenarios });
        });
    });

/** Counts the scenarios of a report in Cucumber messages. A scenario has passed if each of its steps has passed. */
const countScenarios = text => {
    const failedAttempts = new Set();
    const attempts = new Set();
    text.split("\n").filter(line => line !== "").map(line => JSON.parse(line)).forEach(message => {
        if (message.testCaseStarted !== undefined) {
            attempts.add(message.testCaseStarted.id);
        }
        const finished = message.testStepFinished;
        if (finished !== undefined && finished.testStepResult.status !== "PASSED") {
            failedAttempts.add(finished.testCaseStartedId);
        }
    });
    return { passed: attempts.size - failedAttempts.size, failed: failedAttempts.size };
};

const folders = [join(ROOT, "packages"), join(ROOT, "platform")].flatMap(listFolders)
    .filter(hasFeature)
    .filter(folder => prefixes.length === 0 || prefixes.some(prefix => folder.startsWith(prefix)));
/**
 * Scenarios and experiments on whole deployments start a dozen processes each. In parallel, their results would depend
 * on the load that they put on the machine together.
 */
const startsManyProcesses = folder =>
    ["scenarios", "experiments"].some(name => folder.startsWith(join(ROOT, "packages/bench/src", name)));
const knownRed = readKnownRed();
const results = [];
const runQueue = async queue => {
    for (let folder = queue.shift(); folder !== undefined; folder = queue.shift()) {
        const startedAt = Date.now();
        const result = await runFolder(folder, knownRed);
        results.push(result);
        const seconds = ((Date.now() - startedAt) / 1000).toFixed(1);
        console.log(`${relative(ROOT, folder)}: ${result.passed} passed, ${result.failed} failed (${seconds} s)`);
        if (result.code !== 0) {
            console.log(result.output);
        }
    }
};
const parallelQueue = folders.filter(folder => !startsManyProcesses(folder));
await Promise.all(Array.from({ length: PARALLEL_PROCESSES }, () => runQueue(parallelQueue)));
await runQueue(folders.filter(startsManyProcesses));

if (!includeKnownRed) {
    knownRed.forEach(name => console.log(`known red, not run: ${name}`));
}
const passed = results.reduce((sum, result) => sum + result.passed, 0);
const failed = results.reduce((sum, result) => sum + result.failed, 0);
const hasFailed = results.some(result => result.code !== 0) || passed + failed === 0;
console.log(`${passed} passed, ${failed} failed`);
process.exitCode = hasFailed ? 1 : 0;
