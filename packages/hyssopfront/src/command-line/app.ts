/**
 * Command line of the hyssopfront binary.
 */
import { Builtins, Cli } from "clipanion";
import { CheckCommand, ControlDaemonCommand, DevelopmentCommand, EntryDaemonCommand } from "./daemon-commands.js";
import { ExplainCommand } from "./log-commands.js";
import { ApplyCommand, DeleteCommand, DescribeCommand, GetCommand, WatchCommand } from "./resource-commands.js";
import { HistogramsCommand, StatusCommand } from "./status-commands.js";
import { DrainCommand, LookupCommand, ShiftCommand } from "./steering-commands.js";

/** Creates the command line with all commands registered. */
export function createCommandLine(version: string): Cli {
    const commandLine = new Cli({ binaryLabel: "hyssopfront", binaryName: "hyssopfront", binaryVersion: version });
    [
        Builtins.HelpCommand,
        Builtins.VersionCommand,
        ControlDaemonCommand,
        EntryDaemonCommand,
        DevelopmentCommand,
        CheckCommand,
        ApplyCommand,
        GetCommand,
        DescribeCommand,
        DeleteCommand,
        WatchCommand,
        DrainCommand,
        ShiftCommand,
        LookupCommand,
        StatusCommand,
        HistogramsCommand,
        ExplainCommand,
    ].forEach(command => commandLine.register(command));
    return commandLine;
}
