/**
 * Test program that writes many log lines and reports its duration, dropped lines and memory on standard error. The
 * test never reads its standard output.
 */
import { createSystemClock } from "@hyssopfront/coordination";
import { writeSync } from "node:fs";
import { createEventLog } from "./create-event-log.js";
import { EventLevel } from "./event-log.js";

const count = Number(process.argv[2]);
const LINES_PER_TURN = 1_000;
let dropped = 0;
const { log } = createEventLog(createSystemClock(), { instance: "test" }, () => {
    dropped += 1;
});
const startedAt = performance.now();
for (let written = 0; written < count; written += LINES_PER_TURN) {
    Array.from({ length: LINES_PER_TURN }).forEach((_, index) =>
        log(EventLevel.Warning, "request ended", { request: `q${written + index}`, reason: "x".repeat(60) })
    );
    await new Promise(resolve => setImmediate(resolve));
}
const milliseconds = performance.now() - startedAt;
writeSync(2, JSON.stringify({ milliseconds, dropped, memoryBytes: process.memoryUsage.rss() }));
process.kill(process.pid, "SIGKILL");
