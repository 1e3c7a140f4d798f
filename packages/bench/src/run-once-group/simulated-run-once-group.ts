/**
 * Simulated run-once group: the state machine of run-once records without replication, with injected connection faults.
 */
import { createSystemClock } from "@hyssopfront/coordination";
import { createContentionNotifier } from "hyssopfront/run-once/contention-notifier.ts";
import {
    awaitContentionRequestSchema,
    BeginResult,
    type RunOnceCommand,
    RunOnceCommandKind,
} from "hyssopfront/run-once/messages.ts";
import type { RunOnceClientOptions } from "hyssopfront/run-once/run-once-client.ts";
import {
    createRunOnceState,
    decodeRunOnceCommand,
    encodeRunOnceCommand,
    type RunOnceState,
} from "hyssopfront/run-once/run-once-state.ts";
import { PeerRequestKind } from "hyssopfront/sessions/messages.ts";

export enum GroupFault {
    /** The call fails and is never applied. */
    RequestLost = "lost",
    /** The call is applied, but its reply is lost. */
    ReplyLost = "replyLost",
    /** The call fails now and is applied later, as if the log entry of a former leader still committed. */
    AppliedLater = "appliedLater",
}

export type SimulatedRunOnceGroup = {
    readonly state: RunOnceState;
    readonly commands: readonly RunOnceCommand[];
    /** Returns the fault of a call, or undefined for none. */
    chooseFault: (kind: PeerRequestKind, payload: unknown) => GroupFault | undefined;
    /** Offset of the group leader's wall clock in milliseconds. */
    clockOffsetMilliseconds: number;
    /** Applies the commands of the calls that failed with `AppliedLater`. */
    applyDelayedCommands(): void;
    /** Replaces the state with one restored from its own snapshot, as when a replica restarts. */
    restart(): void;
    /** Creates the `call` option of the run-once client of one entry. */
    createCall(entry: SimulatedEntryConnection): RunOnceClientOptions["call"];
};

/** Connection of an entry. After a crash of the entry its calls are neither applied nor completed. */
export type SimulatedEntryConnection = { readonly entry: string; readonly incarnation: string; hasCrashed: boolean };

const COMMAND_KINDS: Readonly<Partial<Record<PeerRequestKind, RunOnceCommandKind>>> = {
    [PeerRequestKind.BeginRunOnce]: RunOnceCommandKind.Begin,
    [PeerRequestKind.FinishRunOnce]: RunOnceCommandKind.Finish,
    [PeerRequestKind.ReportIncarnation]: RunOnceCommandKind.Incarnation,
};

/**
 * Creates a group without records.
 */
export function createSimulatedRunOnceGroup(): SimulatedRunOnceGroup {
    const commands: RunOnceCommand[] = [];
    const contention = createContentionNotifier(createSystemClock());
    let delayedCommands: RunOnceCommand[] = [];
    let state = createRunOnceState();

    const toCommand = (
        connection: SimulatedEntryConnection,
        kind: PeerRequestKind,
        payload: unknown,
    ): RunOnceCommand => {
        const { entry, incarnation } = connection;
        const content = kind === PeerRequestKind.ReportIncarnation ? { entry, incarnation } : payload as object;
        const command = { ...content, kind: COMMAND_KINDS[kind], at: Date.now() + group.clockOffsetMilliseconds };
        return decodeRunOnceCommand(encodeRunOnceCommand(command as RunOnceCommand));
    };
    const apply = (command: RunOnceCommand) => {
        commands.push(command);
        const reply = state.apply(command);
        if (command.kind === RunOnceCommandKind.Begin && reply?.result === BeginResult.InProgress) {
            contention.notify(command);
        }
        return reply;
    };
    const group: SimulatedRunOnceGroup = {
        get state() {
            return state;
        },
        commands,
        chooseFault: () => undefined,
        clockOffsetMilliseconds: 0,
        applyDelayedCommands: () => {
            delayedCommands.forEach(apply);
            delayedCommands = [];
        },
        restart: () => {
            const snapshot = state.takeSnapshot();
            state = createRunOnceState();
            state.restoreSnapshot(snapshot);
        },
        createCall: connection => async (_group, kind, payload) => {
            await new Promise(resolve => setImmediate(resolve));
            if (connection.hasCrashed) {
                return new Promise(() => undefined);
            }
            if (kind === PeerRequestKind.AwaitContention) {
                return contention.wait(awaitContentionRequestSchema.parse(payload), new AbortController().signal);
            }
            const command = toCommand(connection, kind, payload);
            switch (group.chooseFault(kind, payload)) {
                case GroupFault.RequestLost:
                    throw new Error("The connection to the group was lost.");
                case GroupFault.ReplyLost:
                    apply(command);
                    throw new Error("The reply of the group was lost.");
                case GroupFault.AppliedLater:
                    delayedCommands.push(command);
                    throw new Error("The leader of the group was lost.");
                case undefined:
                    return apply(command);
            }
        },
    };
    return group;
}
