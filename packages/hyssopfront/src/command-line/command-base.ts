/**
 * Base classes of the commands: printing of results, addresses of servers, and exit codes for errors.
 */
import { Command, Option } from "clipanion";
import { readFileSync } from "node:fs";
import { SettingsError } from "../settings/settings.js";
import { CommandError, ExitCode } from "./exit-code.js";
import { type ApiClient, createApiClient } from "./http-client.js";
import { formatJson, formatTable, OutputFormat } from "./output.js";

/** A command that fails with one of the documented exit codes. */
export abstract class BaseCommand extends Command {
    /**
     * Runs the command.
     *
     * @returns The exit code of the process.
     * @throws CommandError or SettingsError, which `execute` prints and converts to an exit code.
     */
    abstract run(): Promise<ExitCode>;

    async execute(): Promise<number> {
        try {
            return await this.run();
        }
        catch (error) {
            if (error instanceof CommandError) {
                const serverSuffix = error.peer === "" ? "" : ` (${error.peer})`;
                this.context.stderr.write(`hyssopfront: ${error.step}${serverSuffix}: ${error.message}\n`);
                return error.code;
            }
            if (error instanceof SettingsError) {
                this.context.stderr.write(`${error.message}\n`);
                return ExitCode.Usage;
            }
            throw error;
        }
    }
}

/** A command that runs until the process receives a signal. */
export abstract class DaemonCommand extends BaseCommand {
    override async execute(): Promise<number> {
        const code = await super.execute();
        if (code !== ExitCode.Success) {
            // Connections opened before the start failed would keep the process running.
            process.exit(code);
        }
        return code;
    }
}

/** A command that prints a result as JSON or as a table. */
export abstract class PrintingCommand extends BaseCommand {
    output = Option.String("--output,-o", OutputFormat.Table, { description: "json or table" });

    override async execute(): Promise<number> {
        // Checked before the command runs, so that a command with an invalid option changes nothing.
        if (!Object.values<string>(OutputFormat).includes(this.output)) {
            this.context.stderr.write("hyssopfront: --output: Use json or table.\n");
            return ExitCode.Usage;
        }
        return super.execute();
    }

    protected isJson(): boolean {
        return this.output === String(OutputFormat.Json);
    }

    protected print(value: unknown, columns: readonly string[], rows: readonly (readonly string[])[]): void {
        this.context.stdout.write(this.isJson() ? formatJson(value) : formatTable(columns, rows));
    }
}

const DEFAULT_CONTROL_ADDRESS = "127.0.0.1:7202";

/** A command that calls the operator API of control instances. */
export abstract class ControlCommand extends PrintingCommand {
    server = Option.Array("--server,-s", {
        description: "Address and operator port of a control instance; may be given several times.",
    });
    tokenFile = Option.String("--token-file", { description: "File with the operators' bearer token." });

    protected createClient(): ApiClient {
        const fromEnvironment = process.env.HYSSOPFRONT_SERVERS?.split(",").filter(text => text !== "");
        return createApiClient({
            servers: this.server ?? fromEnvironment ?? [DEFAULT_CONTROL_ADDRESS],
            token: this.readToken(),
        });
    }

    protected readToken(): string | undefined {
        if (this.tokenFile === undefined) {
            return undefined;
        }
        try {
            return readFileSync(this.tokenFile, "utf8").trim();
        }
        catch (error) {
            throw new CommandError(ExitCode.Usage, "--token-file", "", (error as Error).message);
        }
    }
}
