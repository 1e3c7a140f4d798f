/**
 * Test program that logs requests, of which every tenth failed, and reports the dropped lines on standard error.
 */
import { createManualClock } from "@hyssopfront/coordination";
import { createEventLog } from "./create-event-log.js";
import { EventLevel } from "./event-log.js";

const count = Number(process.argv[2]);
const LINES_PER_FAILURE = 10;
let dropped = 0;
const { log, flush } = createEventLog(createManualClock(), { instance: "test" }, () => {
    dropped += 1;
});
Array.from({ length: count }).forEach((_, index) =>
    log(index % LINES_PER_FAILURE === 0 ? EventLevel.Warning : EventLevel.Info, "request ended", {
        request: `q${index}`,
    })
);
await flush();
process.stderr.write(JSON.stringify({ dropped }));
