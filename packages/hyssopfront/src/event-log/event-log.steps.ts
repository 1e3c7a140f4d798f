import { Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import { createSystemClock } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Readable } from "node:stream";
import { createLineWriter, type LineWriter } from "./line-writer.js";
import { buildRequestTimeline, type LoggedEvent, parseLogLine } from "./request-timeline.js";

setDefaultTimeout(30_000);

/** Longer than the bound of the test, and shorter than the timeout of a step. */
const EXIT_TIMEOUT_MS = 15_000;
const WRITES_PER_FAILURE = 3;
/** More than are needed to write the lines of a test. */
const FLUSHES = 2_000;

const line = (time: number, instance: string, event: string, fields: object, role = "entry") =>
    `12.5 ${instance} ${JSON.stringify({ level: "info", time, instance, role, ...fields, event })}`;

const readAll = async (stream: Readable) => {
    const chunks: Buffer[] = [];
    for await (const chunk of stream) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString();
};

const errorCode = (error: unknown) => (error as NodeJS.ErrnoException | undefined)?.code;

let lines: readonly string[];
let loggedEvents: readonly LoggedEvent[];
let droppedLines: number;
let output: string;
let exitMilliseconds: number;
let writer: LineWriter;
let writtenLines: readonly string[];
let destination: string;
let resumptions: { readonly failedWrites: number; readonly code: string | undefined }[];
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

/** Runs the program that logs and exits, and a shell command that reads from its exit on. Kills it after a timeout. */
const logAndExit = async (count: number, readCommand: string) => {
    const folder = mkdtempSync(join(tmpdir(), "event-log-"));
    const exitMark = join(folder, "exits");
    const read = `until [ -e ${exitMark} ]; do sleep 0.05; done; ${readCommand}`;
    const program = join(import.meta.dirname, "log-and-exit.ts");
    const child = spawn(
        "sh",
        ["-c", `"$0" "$@" | { ${read}; }`, process.execPath, program, String(count), exitMark],
        { detached: true, stdio: ["ignore", "pipe", "pipe"] },
    );
    const { pid } = child;
    assert.ok(pid !== undefined);
    const timeout = setTimeout(() => process.kill(-pid, "SIGKILL"), EXIT_TIMEOUT_MS);
    // The end of standard error is the end of the program, unlike that of its output.
    const [text] = await Promise.all([readAll(child.stdout), readAll(child.stderr)]);
    clearTimeout(timeout);
    rmSync(folder, { recursive: true });
    return text;
};
When(
    "a process logs {int} items and a failure and exits, while its output is read from then on",
    async (count: number) => {
        output = await logAndExit(count, "cat");
    },
);
Then("each of the {int} items and the failure has a whole line", (count: number) => {
    const texts = output.split("\n").slice(0, -1);
    const events = texts.map(parseLogLine);
    assert.deepEqual(texts.filter((_, index) => events[index] === undefined), []);
    const names = events.slice(0, -1).map(event => event?.fields.name);
    assert.deepEqual(names, Array.from({ length: count }, (_, index) => `é${index}`));
    assert.equal(events.at(-1)?.event, "process failed");
});
When(
    "a process logs {int} items and a failure and exits, while its output is not read and is closed 2 s later",
    async (count: number) => {
        const startedAt = performance.now();
        await logAndExit(count, "sleep 2");
        exitMilliseconds = performance.now() - startedAt;
    },
);
Then("it has exited within {int} s", (seconds: number) => {
    assert.ok(exitMilliseconds < seconds * 1_000, `It has not exited after ${exitMilliseconds} ms.`);
});
Given(
    "a log destination that accepts {int} bytes at a time and fails with {word} every third time",
    (maximumBytes: number, code: string) => {
        let writes = 0;
        destination = "";
        resumptions = [];
        droppedLines = 0;
        writtenLines = [];
        const chunks: Buffer[] = [];
        writer = createLineWriter({
            clock: { ...createSystemClock(), sleep: () => new Promise(resolve => setImmediate(resolve)) },
            writeBytes: async bytes => {
                writes += 1;
                if (writes % WRITES_PER_FAILURE === 0) {
                    throw Object.assign(new Error(`${code}, write`), { code });
                }
                const accepted = Buffer.from(bytes.subarray(0, maximumBytes));
                chunks.push(accepted);
                destination = Buffer.concat(chunks).toString();
                return accepted.length;
            },
            onDropped: () => {
                droppedLines += 1;
            },
            onResumed: ({ failedWrites, error }) => resumptions.push({ failedWrites, code: errorCode(error) }),
        });
    },
);
When("{int} lines are written and flushed", async (count: number) => {
    const lines = Array.from({ length: count }, (_, index) => `{"name":"é${index}"}\n`);
    writtenLines = [...writtenLines, ...lines];
    lines.forEach(text => writer.write(text));
    // A flush ends after its timeout, which is short on the clock of this test.
    for (let flushes = 0; flushes < FLUSHES; flushes += 1) {
        await writer.flush();
    }
});
Then("the destination holds exactly these lines", () => assert.equal(destination, writtenLines.join("")));
Then("no line is dropped", () => assert.equal(droppedLines, 0));
Then("{int} lines are dropped", (count: number) => assert.equal(droppedLines, count));
Then("failed writes with {word} are reported", (code: string) => {
    assert.deepEqual([...new Set(resumptions.map(resumption => resumption.code))], [code]);
    assert.ok(resumptions.every(({ failedWrites }) => failedWrites > 0));
});
Then("no failed write is reported", () => assert.deepEqual(resumptions, []));
