/**
 * Test program that logs items and a failure, and exits once the log is flushed. An earlier part of the lines is being
 * written at that moment, as its standard output is not read before it has created the file of its second argument.
 */
import { createSystemClock } from "@hyssopfront/coordination";
import { writeFileSync, writeSync } from "node:fs";
import { createEventLog } from "./create-event-log.js";
import { EventLevel } from "./event-log.js";

/** Time in which the pipe fills up, in milliseconds. */
const FILL_MS = 200;
const count = Number(process.argv[2]);
let dropped = 0;
const { log, flush } = createEventLog(createSystemClock(), { instance: "test" }, () => {
    dropped += 1;
});
Array.from({ length: count }).forEach((_, index) =>
    log(EventLevel.Info, "item changed", { name: `é${index}`, isDropped: false })
);
await new Promise(resolve => setTimeout(resolve, FILL_MS));
log(EventLevel.Error, "process failed", { error: "The disk is full." });
writeFileSync(process.argv[3] ?? "", "");
await flush();
writeSync(2, JSON.stringify({ dropped }));
process.exit(1);
