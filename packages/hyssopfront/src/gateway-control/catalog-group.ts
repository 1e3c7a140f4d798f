/**
 * The replicated catalog on one control instance. The storage is opened again after a failure of the disk, so that an
 * instance whose disk was full or hung for a while takes part again without a restart.
 */
import {
    type Clock,
    type ConsensusReply,
    type Counters,
    createReplica,
    type LogStorage,
    NotLeaderError,
    openLogStorage,
    parseConsensusReply,
    parseConsensusRequest,
    ProposalRefusedError,
    type Replica,
    type ReplicaStatus,
} from "@hyssopfront/coordination";
import {
    type CatalogCommand,
    type CommandResult,
    createCatalogState,
    decodeCommand,
    encodeCommand,
} from "../catalog/catalog-state.js";
import type { Item } from "../catalog/items.js";
import { errorFields, EventLevel, type EventLog } from "../event-log/event-log.js";
import type { MemberPeers } from "../formation/member-peers.js";
import { loadOrStoreInitialVoters } from "./initial-voters.js";
import { ControlRequestKind, proposeReplySchema } from "./messages.js";

const GROUP_ID = "catalog";
/** Pause before the storage is opened again, in milliseconds. */
const REOPEN_PAUSE_MS = 500;
/** Pause before a command is tried again, in milliseconds; an election takes several times as long. */
const RETRY_PAUSE_MS = 50;
/** Longest wait for one answer of the leader, in milliseconds. */
const LEADER_REPLY_DEADLINE_MS = 2_000;

/** The command has no certain outcome within the time allowed. */
export class CatalogUnavailableError extends Error {
    constructor(readonly operation: string, cause: unknown) {
        super(`The control group gave no answer in time at ${operation}.`, { cause });
        this.name = "CatalogUnavailableError";
    }
}

export type CatalogGroup = {
    replica(): Replica | undefined;
    items(): readonly Item[];
    handleConsensus(from: string, payload: unknown): Promise<ConsensusReply>;
    /** Proposes on this instance; rejects with NotLeaderError elsewhere than on the leader. */
    proposeLocally(command: Uint8Array): Promise<CommandResult>;
    /**
     * Brings a command to the leader. It may be applied more than once, which changes nothing.
     *
     * @throws CatalogUnavailableError when it is not certain by the deadline that the command was applied.
     */
    submit(command: CatalogCommand, deadlineMilliseconds: number): Promise<CommandResult>;
    /**
     * Waits until this instance has applied all that was acknowledged before the call.
     *
     * @throws CatalogUnavailableError when no leader answers in time.
     */
    catchUp(deadlineMilliseconds: number): Promise<void>;
    /** Runs until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
};

export type CatalogGroupOptions = {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly log: EventLog;
    readonly random: () => number;
    readonly self: string;
    readonly clusterId: string;
    readonly dataFolder: string;
    /** Voters of a group that starts for the first time; empty when the group exists. */
    readonly initialVoters: readonly string[];
    readonly peers: MemberPeers;
    readonly onItems: (items: readonly Item[]) => void;
    readonly onStatus: (status: ReplicaStatus) => void;
};

type OpenGroup = { readonly replica: Replica; readonly storage: LogStorage; readonly items: () => readonly Item[] };

/** Creates the group, not yet running. */
export function createCatalogGroup(options: CatalogGroupOptions): CatalogGroup {
    const { clock, counters, log, self } = options;
    let open: OpenGroup | undefined;

    const logStatus = (() => {
        let last = "";
        return ({ role, term, leader, members }: ReplicaStatus) => {
            const voters = members.filter(member => member.isVoter).map(member => member.name);
            const line = JSON.stringify([role, term, leader, voters]);
            if (line !== last) {
                last = line;
                log(EventLevel.Info, "control group changed", { role, term, leader, voters });
            }
        };
    })();

    const openGroup = async (reportFailure: (error: Error) => void): Promise<OpenGroup> => {
        const initialVoters = await loadOrStoreInitialVoters(options.dataFolder, options.initialVoters);
        const storage = await openLogStorage({
            folder: options.dataFolder,
            clusterId: options.clusterId,
            replicaId: self,
            isFolderPrivate: true,
            counters,
        });
        const state = createCatalogState(options.onItems);
        const replica = createReplica({
            groupId: GROUP_ID,
            self,
            clock,
            random: options.random,
            storage,
            counters,
            initialVoters: initialVoters.map(name => ({ name })),
            call: async (peer, message, deadlineMilliseconds) =>
                parseConsensusReply(
                    await options.peers.call(peer, ControlRequestKind.Consensus, message, deadlineMilliseconds),
                ),
            apply: entry => state.apply(entry.index, decodeCommand(entry.payload)),
            takeSnapshot: state.takeSnapshot,
            restoreSnapshot: payload => state.restoreSnapshot(payload),
            onStateChange: status => {
                logStatus(status);
                options.onStatus(status);
                if (status.failure !== undefined) {
                    reportFailure(status.failure);
                }
            },
        });
        replica.start();
        return { replica, storage, items: state.items };
    };

    const close = async ({ replica, storage }: OpenGroup) => {
        await replica.stop();
        await storage.close().catch(error => log(EventLevel.Warning, "storage not closed", errorFields(error)));
    };

    const runOnce = async (signal: AbortSignal) => {
        let fail: (error: Error) => void = () => undefined;
        const failed = new Promise<Error | undefined>(resolve => {
            fail = resolve;
            signal.addEventListener("abort", () => resolve(undefined), { once: true });
        });
        open = await openGroup(error => fail(error));
        log(EventLevel.Info, "storage opened", { lastIndex: open.storage.lastIndex });
        const error = await failed;
        const closing = open;
        open = undefined;
        await close(closing);
        if (error !== undefined) {
            throw error;
        }
    };

    const requireReplica = () => {
        if (open === undefined) {
            throw new NotLeaderError("propose", undefined);
        }
        return open.replica;
    };

    const proposeOnReplica = async (command: Uint8Array) =>
        (await requireReplica().propose(command)).result as CommandResult;

    const proposeToLeader = async (command: Uint8Array, deadlineMilliseconds: number): Promise<CommandResult> => {
        const leader = requireReplica().status().leader;
        if (leader === undefined || leader === self) {
            return proposeOnReplica(command);
        }
        const deadline = Math.min(LEADER_REPLY_DEADLINE_MS, deadlineMilliseconds);
        const reply = await options.peers.call(leader, ControlRequestKind.Propose, { command }, deadline);
        return { error: proposeReplySchema.parse(reply).error };
    };

    const retryUntil = async <T>(
        operation: string,
        deadlineMilliseconds: number,
        attempt: (remainingMilliseconds: number) => Promise<T>,
    ): Promise<T> => {
        const endsAt = clock.monotonicMilliseconds() + deadlineMilliseconds;
        for (;;) {
            try {
                return await attempt(endsAt - clock.monotonicMilliseconds());
            }
            catch (error) {
                if (clock.monotonicMilliseconds() + RETRY_PAUSE_MS >= endsAt || error instanceof ProposalRefusedError) {
                    throw new CatalogUnavailableError(operation, error);
                }
                counters.increment("catalog.retries", 1, { step: operation });
            }
            await clock.sleep(RETRY_PAUSE_MS);
        }
    };

    return {
        replica: () => open?.replica,
        items: () => open?.items() ?? [],
        handleConsensus: (from, payload) => requireReplica().handle(from, parseConsensusRequest(payload)),
        proposeLocally: proposeOnReplica,
        submit: (command, deadlineMilliseconds) => {
            const encoded = encodeCommand(command);
            return retryUntil("submit", deadlineMilliseconds, remaining => proposeToLeader(encoded, remaining));
        },
        catchUp: deadlineMilliseconds =>
            retryUntil("catch up", deadlineMilliseconds, async () => {
                await requireReplica().readBarrier();
            }),
        run: async signal => {
            while (!signal.aborted) {
                try {
                    await runOnce(signal);
                }
                catch (error) {
                    log(EventLevel.Error, "storage failed", errorFields(error));
                    counters.increment("catalog.storage_failures");
                }
                if (!signal.aborted) {
                    await clock.sleep(REOPEN_PAUSE_MS, signal).catch(() => undefined);
                }
            }
        },
    };
}
