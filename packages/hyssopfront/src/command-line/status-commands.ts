/**
 * Commands that show the state of the system and the latencies of requests.
 */
import { Command, Option } from "clipanion";
import type { HistogramSummary } from "../metrics/histograms.js";
import { ControlCommand } from "./command-base.js";
import { CommandError, ExitCode } from "./exit-code.js";
import { createApiClient } from "./http-client.js";

const OBSERVATION = "Observation";
const DEFAULT_ADMIN_ADDRESS = "127.0.0.1:7102";

export class StatusCommand extends ControlCommand {
    static override readonly paths = [["status"]];
    static override readonly usage = Command.Usage({
        category: OBSERVATION,
        description: "Show leader, revision in force, sessions and replicas as a control instance sees them.",
        examples: [["Show the state", "$0 status"], ["As JSON", "$0 status -o json"]],
    });

    async run(): Promise<ExitCode> {
        const { body } = await this.createClient().sendChecked({ method: "GET", path: "/v1/status" });
        const rows = Object.entries(body).map(([key, value]) => [
            key,
            typeof value === "object" ? JSON.stringify(value) : String(value),
        ]);
        this.print(body, ["item", "value"], rows);
        return ExitCode.Success;
    }
}

export class HistogramsCommand extends ControlCommand {
    static override readonly paths = [["histograms"]];
    static override readonly usage = Command.Usage({
        category: OBSERVATION,
        description: "Show the latencies that an entry measured, by tenant and class.",
        examples: [["Show them", "$0 histograms --admin 127.0.0.1:7102"]],
    });

    admin = Option.Array("--admin,-a", { description: "Address and admin port of an entry." });

    async run(): Promise<ExitCode> {
        const client = createApiClient({ servers: this.admin ?? [DEFAULT_ADMIN_ADDRESS], token: this.readToken() });
        const { body } = await client.sendChecked({ method: "GET", path: "/v1/histograms" });
        const summaries = body.histograms as HistogramSummary[] | undefined;
        if (summaries === undefined) {
            throw new CommandError(ExitCode.Rejected, "histograms", "", "The response contains no histograms.");
        }
        this.print(
            body,
            ["tenant", "class", "count", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms", "max ms"],
            summaries.map(summary => [
                summary.tenant,
                summary.class,
                String(summary.count),
                ...[summary.p50Ms, summary.p90Ms, summary.p99Ms, summary.p999Ms, summary.maximumMs].map(value =>
                    value.toFixed(2)
                ),
            ]),
        );
        return ExitCode.Success;
    }
}
