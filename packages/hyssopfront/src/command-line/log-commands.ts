/**
 * Commands that read the log files of instances.
 */
import { Command, Option } from "clipanion";
import { readFileSync } from "node:fs";
import { buildRequestTimeline } from "../event-log/request-timeline.js";
import { PrintingCommand } from "./command-base.js";
import { CommandError, ExitCode } from "./exit-code.js";

export class ExplainCommand extends PrintingCommand {
    static override readonly paths = [["explain"]];
    static override readonly usage = Command.Usage({
        category: "Observation",
        description: "Show what happened to a request, from the log files of the gateway's instances.",
        examples: [["Explain a failed request", "$0 explain 9c41d07be2a35f68 entry-1.log entry-2.log"]],
    });

    request = Option.String({ name: "REQUEST-ID" });
    files = Option.Rest({ name: "FILE", required: 1 });

    async run(): Promise<ExitCode> {
        const lines = this.files.flatMap(file => readFileSync(file, "utf8").split("\n"));
        const timeline = buildRequestTimeline(lines, this.request);
        if (timeline.length === 0) {
            throw new CommandError(
                ExitCode.Rejected,
                "explain",
                "",
                `No log line contains the request id ${this.request}.`,
            );
        }
        const rows = timeline.map(({ time, instance, event, fields }) => [
            new Date(time).toISOString(),
            instance,
            event,
            Object.entries(fields).filter(([name]) => name !== "request")
                .map(([name, value]) => `${name}=${JSON.stringify(value)}`).join(" "),
        ]);
        this.print({ events: timeline }, ["time", "instance", "event", "details"], rows);
        return ExitCode.Success;
    }
}
