/**
 * Runs all checks of the specifications and prints one line for each. Exits with 1 when a check fails.
 *
 * Usage: npm run model [-- --trace]
 *
 * With --trace, the steps that lead to each violation are printed too.
 */
import { CHECKS, MAXIMUM_STATES } from "./checks.js";
import { explore } from "./explorer/explore.js";

const showsTraces = process.argv.includes("--trace");
const printLine = (text: string) => process.stdout.write(`${text}\n`);

const passed = CHECKS.map(({ name, specification, hasDefect }) => {
    const startedAt = performance.now();
    const { states, isExhaustive, violation } = explore(specification, MAXIMUM_STATES);
    const isPassed = hasDefect ? violation !== undefined : isExhaustive && violation === undefined;
    const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1);
    const result = violation === undefined
        ? (isExhaustive ? "no violation in any reachable state" : "not exhaustive")
        : `found: ${violation.invariant}, in ${violation.trace.length} steps`;
    printLine(`${isPassed ? "ok    " : "FAILED"} ${name}: ${states} states, ${seconds} s, ${result}`);
    if (showsTraces && violation !== undefined) {
        violation.trace.forEach(step => printLine(`           ${step}`));
    }
    return isPassed;
});
process.exitCode = passed.every(Boolean) ? 0 : 1;
