import { Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { join } from "node:path";
import type { Readable } from "node:stream";
import { buildRequestTimeline, type LoggedEvent, parseLogLine } from "./request-timeline.js";

setDefaultTimeout(30_000);

const line = (time: number, instance: string, event: string, fields: object, role = "entry") =>
    `12.5 ${instance} ${JSON.stringify({ level: "info", time, instance, role, ...fields, event })}`;

const readAll = async (stream: Readable) => {
    const chunks: Buffer[] = [];
    for await (const chunk of stream) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString();
};

let lines: readonly string[];
let loggedEvents: readonly LoggedEvent[];
let droppedLines: number;
let writeReport: { readonly milliseconds: number; readonly dropped: number; readonly memoryBytes: number };

Given("logs in which request q7 failed at stoc-1 on entry-1 after stoc-1 drained and was ejected there", () => {
    lines = [
        line(3_000, "entry-1", "request ended", { request: "q7", status: 502 }),
        line(2_900, "entry-1", "attempt ended", { request: "q7", server: "stoc-1" }),
        line(2_000, "entry-1", "backend server ejected", { server: "stoc-1" }),
        line(1_900, "core-1", "backend server changed", { server: "stoc-1", state: "draining" }, "control"),
        line(1_950, "core-1", "backend server changed", { server: "stoc-2", state: "draining" }, "control"),
        line(2_000, "entry-2", "backend server ejected", { server: "stoc-1" }),
        line(2_100, "entry-1", "backend server ejected", { server: "stoc-2" }),
        line(3_500, "entry-1", "backend server ejected", { server: "stoc-1" }),
        "not a line of the log",
    ];
});
Then("the timeline of {word} is {string}", (id: string, timeline: string) => {
    assert.equal(buildRequestTimeline(lines, id).map(({ event }) => event).join(", "), timeline);
});
When("a process writes {int} lines to a pipe that is not read", async (count: number) => {
    const child = spawn(process.execPath, [join(import.meta.dirname, "write-lines.ts"), String(count)], {
        stdio: ["ignore", "pipe", "pipe"],
    });
    const chunks: Buffer[] = [];
    child.stderr.on("data", (chunk: Buffer) => chunks.push(chunk));
    await once(child.stderr, "end");
    child.stdout.destroy();
    child.kill("SIGKILL");
    writeReport = JSON.parse(Buffer.concat(chunks).toString()) as typeof writeReport;
});
Then(
    "it finishes within {int} s, has dropped lines and uses less than {int} MiB",
    (seconds: number, mebibytes: number) => {
        assert.ok(writeReport.milliseconds < seconds * 1_000, `It took ${writeReport.milliseconds} ms.`);
        assert.ok(writeReport.dropped > 0);
        assert.ok(writeReport.memoryBytes < mebibytes * 1024 * 1024, `It uses ${writeReport.memoryBytes} bytes.`);
    },
);
When("a process writes {int} lines about requests at once, every tenth about a failure", async (count: number) => {
    const child = spawn(process.execPath, [join(import.meta.dirname, "write-mixed-lines.ts"), String(count)], {
        stdio: ["ignore", "pipe", "pipe"],
    });
    const [output, errors] = await Promise.all([readAll(child.stdout), readAll(child.stderr)]);
    loggedEvents = output.split("\n").map(parseLogLine).filter(event => event !== undefined);
    droppedLines = (JSON.parse(errors) as { readonly dropped: number }).dropped;
});
Then(
    "{int} lines are about successful requests and {int} about failures",
    (successes: number, failures: number) => {
        assert.equal(loggedEvents.length, successes + failures);
        const isFailure = ({ fields }: LoggedEvent) => String(fields.request).endsWith("0");
        assert.equal(loggedEvents.filter(isFailure).length, failures);
    },
);
Then("{int} lines are counted as dropped", (count: number) => assert.equal(droppedLines, count));
