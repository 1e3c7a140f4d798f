/**
 * Run-once group on a control instance: applies commands to the replicated state and handles the requests of entries to
 * the group leader.
 */
import {
    type Clock,
    NotLeaderError,
    PeerFailureCode,
    type PeerIdentity,
    PeerRequestError,
    type Replica,
    ReplicaRole,
} from "@hyssopfront/coordination";
import type { RunOnceStateMachine } from "../control/start-control.js";
import { PeerRequestKind } from "../sessions/messages.js";
import { createContentionNotifier } from "./contention-notifier.js";
import { createFinishDelay } from "./finish-delay.js";
import {
    AttemptOutcomeKind,
    awaitContentionRequestSchema,
    type BeginReply,
    beginRequestSchema,
    BeginResult,
    finishRequestSchema,
    NOT_LEADER_CODE,
    type RunOnceCommand,
    RunOnceCommandKind,
} from "./messages.js";
import { createRunOnceState, decodeRunOnceCommand, encodeRunOnceCommand } from "./run-once-state.js";

/**
 * Creates the state machine of one run-once group.
 *
 * @param clock Clock whose wall-clock time the leader puts into its commands.
 */
export function createRunOnceStateMachine(clock: Clock): RunOnceStateMachine {
    const state = createRunOnceState();
    const contentionNotifier = createContentionNotifier(clock);

    const finishDelay = createFinishDelay(clock);

    /** The outcome of a rejected attempt is not delayed, because its caller waits for the key to be released. */
    const isDelayable = (command: RunOnceCommand) =>
        command.kind === RunOnceCommandKind.Finish && command.outcome.kind !== AttemptOutcomeKind.Rejected;

    const propose = async (replica: Replica, command: RunOnceCommand) => {
        if (isDelayable(command)) {
            await finishDelay.wait();
        }
        const proposed = replica.propose(encodeRunOnceCommand(command));
        if (command.kind === RunOnceCommandKind.Begin) {
            finishDelay.onBegin();
        }
        return proposed;
    };

    const toCommand = (kind: string, from: PeerIdentity, payload: unknown): RunOnceCommand => {
        const at = clock.wallTime().getTime();
        switch (kind) {
            case PeerRequestKind.BeginRunOnce:
                return { kind: RunOnceCommandKind.Begin, at, ...beginRequestSchema.parse(payload) };
            case PeerRequestKind.FinishRunOnce:
                return { kind: RunOnceCommandKind.Finish, at, ...finishRequestSchema.parse(payload) };
            case PeerRequestKind.ReportIncarnation:
                return { kind: RunOnceCommandKind.Incarnation, at, entry: from.name, incarnation: from.incarnation };
            default:
                throw new PeerRequestError(PeerFailureCode.UnknownKind, `The kind of request ${kind} is not known.`);
        }
    };

    return {
        apply: entry => state.apply(decodeRunOnceCommand(entry.payload)),
        takeSnapshot: state.takeSnapshot,
        restoreSnapshot: state.restoreSnapshot,
        handle: async (replica, kind, from, payload, signal) => {
            if (kind === PeerRequestKind.AwaitContention) {
                const { role, leader } = replica.status();
                if (role !== ReplicaRole.Leader) {
                    throw new PeerRequestError(NOT_LEADER_CODE, leader ?? "");
                }
                return contentionNotifier.wait(awaitContentionRequestSchema.parse(payload), signal);
            }
            const command = toCommand(kind, from, payload);
            if (command.kind === RunOnceCommandKind.Begin && command.entry !== from.name) {
                throw new PeerRequestError("forbidden", `${from.name} cannot begin a request of ${command.entry}.`);
            }
            try {
                const { result } = await propose(replica, command);
                const isInProgress = (result as BeginReply | undefined)?.result === BeginResult.InProgress;
                if (command.kind === RunOnceCommandKind.Begin && isInProgress) {
                    contentionNotifier.notify(command);
                }
                return result ?? {};
            }
            catch (error) {
                if (error instanceof NotLeaderError) {
                    throw new PeerRequestError(NOT_LEADER_CODE, error.leader ?? "");
                }
                throw error;
            }
        },
    };
}
