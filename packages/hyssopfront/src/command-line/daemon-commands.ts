/**
 * Commands that run a process (control, entry, dev), and the command that checks settings files.
 */
import { createSystemClock } from "@hyssopfront/coordination";
import { Command, Option } from "clipanion";
import { startControl } from "../control/start-control.js";
import { DEFAULT_BASE_PORT, startDevelopmentCluster } from "../dev/start-development-cluster.js";
import { startEntry } from "../entry/start-entry.js";
import { createMetrics } from "../metrics/metrics.js";
import { createRunOnceStateMachine } from "../run-once/run-once-state-machine.js";
import { readSettings, type Settings, SettingsError } from "../settings/settings.js";
import { BaseCommand, DaemonCommand } from "./command-base.js";
import { CommandError, ExitCode } from "./exit-code.js";

const PROCESSES = "Processes";

type Stoppable = { stop(): Promise<void> };

/** Waits for SIGTERM or SIGINT, then stops gracefully. During the stop SIGINT exits at once, SIGTERM does nothing. */
async function runUntilSignal(daemon: Stoppable): Promise<ExitCode> {
    await new Promise<void>(resolve => {
        process.on("SIGTERM", () => resolve());
        process.once("SIGINT", () => resolve());
    });
    process.once("SIGINT", () => process.exit(ExitCode.Usage));
    await daemon.stop();
    return ExitCode.Success;
}

/** Waits until a process has started; a failure becomes a CommandError. */
const startDaemon = async <T>(step: string, starting: Promise<T>): Promise<T> =>
    starting.catch((error: Error) => {
        throw new CommandError(ExitCode.Usage, step, "", error.message);
    });

const assertTablePresent = (file: string, settings: Settings, table: "entry" | "control") => {
    if (settings[table] === undefined) {
        throw new SettingsError(file, "check", [{ key: table, message: "This table is needed for this command." }]);
    }
};

/**
 * Starts a control instance with metrics, the state machine for run-once requests and the authentication of operators.
 *
 * @param onFailure Called when the instance has failed and cannot continue.
 * @throws Error when the settings have no table `control`.
 */
export function startControlInstance(settings: Settings, onFailure: (error: Error) => void) {
    const clock = createSystemClock();
    const { control } = settings;
    if (control === undefined) {
        throw new Error("The settings have no table \"control\".");
    }
    const counters = createMetrics({ prefix: "hyssopfront.control.", statsd: settings.statsd });
    const { tokenFile } = settings.operators;
    const operators = tokenFile === undefined ? undefined : { tokenFile };
    return startControl({ ...settings, control, operators }, clock, {
        counters,
        createRunOnceStateMachine: () => createRunOnceStateMachine(clock),
        onFailure,
    });
}

export class ControlDaemonCommand extends DaemonCommand {
    static override readonly paths = [["control"]];
    static override readonly usage = Command.Usage({
        category: PROCESSES,
        description: "Run a control instance until SIGTERM.",
        examples: [["Run it", "$0 control control-1.toml"]],
    });

    settings = Option.String();

    async run(): Promise<ExitCode> {
        const settings = readSettings(this.settings);
        assertTablePresent(this.settings, settings, "control");
        const control = await startDaemon(
            "control",
            startControlInstance(settings, error => {
                this.context.stderr.write(`hyssopfront: control: ${error.message}\n`);
                process.exit(ExitCode.Rejected);
            }),
        );
        this.context.stdout.write(`operators at port ${control.operatorPort}, peers at port ${control.peerPort}\n`);
        return runUntilSignal(control);
    }
}

export class EntryDaemonCommand extends DaemonCommand {
    static override readonly paths = [["entry"]];
    static override readonly usage = Command.Usage({
        category: PROCESSES,
        description: "Run an entry instance until SIGTERM.",
        examples: [["Run it", "$0 entry entry-1.toml"]],
    });

    settings = Option.String();

    async run(): Promise<ExitCode> {
        const settings = readSettings(this.settings);
        assertTablePresent(this.settings, settings, "entry");
        const entry = await startDaemon("entry", startEntry(settings, createSystemClock()));
        this.context.stdout.write(`callers at port ${entry.callerPort}, admin at port ${entry.adminPort}\n`);
        void entry.ready.then(() => this.context.stdout.write("ready\n"));
        return runUntilSignal(entry);
    }
}

export class DevelopmentCommand extends DaemonCommand {
    static override readonly paths = [["dev"]];
    static override readonly usage = Command.Usage({
        category: PROCESSES,
        description: "Run control, entries of two availability zones and sample backend servers in one process.",
        examples: [["Run it; Ctrl-C stops it", "$0 dev"]],
    });

    basePort = Option.String("--base-port", String(DEFAULT_BASE_PORT), { description: "First of the ports to use." });

    async run(): Promise<ExitCode> {
        const basePort = Number(this.basePort);
        if (!Number.isInteger(basePort) || basePort < 1_024 || basePort > 65_000) {
            throw new CommandError(ExitCode.Usage, "--base-port", "", "Use a port from 1024 to 65000.");
        }
        const development = await startDaemon(
            "dev",
            startDevelopmentCluster({ basePort, startControl: startControlInstance, clock: createSystemClock() }),
        );
        this.context.stdout.write(`${development.description}\n`);
        return runUntilSignal(development);
    }
}

export class CheckCommand extends BaseCommand {
    static override readonly paths = [["check"]];
    static override readonly usage = Command.Usage({
        category: PROCESSES,
        description: "Check settings files without starting anything.",
        examples: [["Check two files", "$0 check control-1.toml entry-1.toml"]],
    });

    files = Option.Rest({ required: 1 });

    async run(): Promise<ExitCode> {
        const results = this.files.map(file => this.checkFile(file));
        return Promise.resolve(results.every(Boolean) ? ExitCode.Success : ExitCode.Usage);
    }

    /** Prints the problems of a file instead of throwing, so that one run reports those of all files. */
    private checkFile(file: string): boolean {
        try {
            readSettings(file);
        }
        catch (error) {
            if (error instanceof SettingsError) {
                this.context.stderr.write(`${error.message}\n`);
                return false;
            }
            throw error;
        }
        this.context.stdout.write(`${file}: no problems\n`);
        return true;
    }
}
