/**
 * Replica of the catalog on one control instance. The storage is reopened after a disk failure, so that an instance
 * whose disk was temporarily full or unresponsive rejoins the group without a restart.
 */
import {
    type Clock,
    type ConsensusReply,
    type Counters,
    createReplica,
    type FileSystem,
    type LogStorage,
    NODE_FILE_SYSTEM,
    NotLeaderError,
    openLogStorage,
    parseConsensusReply,
    parseConsensusRequest,
    ProposalRefusedError,
    type Replica,
    type ReplicaStatus,
    StorageError,
    withDeadline,
} from "@hyssopfront/coordination";
import {
    type CatalogCommand,
    type CatalogObserver,
    type CatalogState,
    type CommandResult,
    createCatalogState,
    decodeCommand,
    encodeCommand,
} from "../catalog/catalog-state.js";
import type { Item, ItemKind } from "../catalog/items.js";
import { errorFields, EventLevel, type EventLog } from "../event-log/event-log.js";
import type { MemberPeers } from "../formation/member-peers.js";
import { loadOrStoreInitialVoters } from "./initial-voters.js";
import { ControlRequestKind, proposeReplySchema } from "./messages.js";

const GROUP_ID = "catalog";
/** Pause before the storage is reopened, in milliseconds. */
const REOPEN_PAUSE_MS = 500;
/** Pause before an operation is retried, in milliseconds. An election takes several times as long. */
const RETRY_PAUSE_MS = 50;
/** Interval at which a change checks whether the group has its voters, in milliseconds. */
const GROWTH_CHECK_INTERVAL_MS = 20;
/** Deadline of one call to the leader, in milliseconds. */
const LEADER_REPLY_DEADLINE_MS = 2_000;

/** Thrown when the outcome of an operation is unknown at its deadline. */
export class CatalogUnavailableError extends Error {
    constructor(readonly step: string, cause: unknown) {
        super(`The control group gave no answer in time at ${step}.`, { cause });
        this.name = "CatalogUnavailableError";
    }
}

/** Replica of the catalog, and operations on the whole group. */
export type CatalogGroup = {
    /** Returns the replica, or `undefined` while the storage is not open. */
    replica(): Replica | undefined;
    /**
     * Returns all items as applied on this instance, deleted ones included. While the storage is not open, and until it
     * has applied as much again, these are the items before.
     */
    items(): readonly Item[];
    /** Returns one item in the same way, or undefined if it is unknown. */
    find(kind: ItemKind, name: string): Item | undefined;
    /** Returns the numbers of the parts that this instance has applied of a change that is not complete. */
    findStagedParts(changeId: string): ReadonlySet<number>;
    /** Handles a consensus message of another instance. Rejects with NotLeaderError while the storage is not open. */
    handleConsensus(from: string, payload: unknown): Promise<ConsensusReply>;
    /** Proposes an encoded command on this instance. Rejects with NotLeaderError when it is not the leader. */
    proposeLocally(command: Uint8Array): Promise<CommandResult>;
    /**
     * Proposes a command to the leader, with retries. Commands are idempotent, so it may be applied more than once.
     *
     * @throws CatalogUnavailableError when the command is not known to have been applied by the deadline.
     */
    submit(command: CatalogCommand, deadlineMilliseconds: number): Promise<CommandResult>;
    /**
     * Waits until this instance has applied all commands that were acknowledged before the call.
     *
     * @throws CatalogUnavailableError when no leader responds by the deadline.
     */
    catchUp(deadlineMilliseconds: number): Promise<void>;
    /** Runs the replica until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
};

/** Dependencies and settings of the catalog group. */
export type CatalogGroupOptions = {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly log: EventLog;
    readonly random: () => number;
    readonly self: string;
    readonly clusterId: string;
    readonly dataFolder: string;
    /** File system to use, which tests replace by one that fails. Default: the file system of Node.js. */
    readonly fileSystem?: FileSystem;
    /** Size in bytes from which the log continues in a new segment. Default: that of the log storage. */
    readonly segmentBytes?: number;
    /** Number of entries after which the log is compacted into a snapshot. Default: that of the replica. */
    readonly snapshotEveryEntries?: number;
    /** Voters of a group that is bootstrapped. Empty when the group already exists. */
    readonly initialVoters: readonly string[];
    readonly peers: MemberPeers;
    /** Returns true on the leader while the group has too few voters and more are joining. Commands wait until then. */
    readonly isGrowing: () => boolean;
    /** Called with what a command or a snapshot has changed, but not again when the log is applied again. */
    readonly observer: CatalogObserver;
    readonly onStatus: (status: ReplicaStatus) => void;
};

/** Returns the log fields that describe an error of the storage: its step, the path and the code of the system. */
const storageFields = (error: unknown) => {
    if (!(error instanceof StorageError)) {
        return {};
    }
    const { code, path = error.path } = (error.cause ?? {}) as NodeJS.ErrnoException;
    return { step: error.step, path, code };
};

/** State and the index of the last command or snapshot in it. */
type AppliedState = { readonly state: CatalogState; index: number };

type OpenGroup = { readonly replica: Replica; readonly storage: LogStorage };

/** Creates the group without starting it. */
export function createCatalogGroup(options: CatalogGroupOptions): CatalogGroup {
    const { clock, counters, log, self, fileSystem = NODE_FILE_SYSTEM } = options;
    let open: OpenGroup | undefined;
    /** Failures since the storage was open last, and the monotonic time of the first one in milliseconds. */
    let closure: { readonly since: number; readonly failures: number } | undefined;
    /** State with the most applied commands. A storage that is opened again applies its log from the start. */
    let latest: AppliedState | undefined;

    const advance = (applied: AppliedState, index: number) => {
        applied.index = index;
        latest = latest === undefined || index >= latest.index ? applied : latest;
    };

    const isNews = ({ kind, name, version }: Item) => version > (latest?.state.find(kind, name)?.version ?? -Infinity);

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
        const initialVoters = await loadOrStoreInitialVoters(fileSystem, options.dataFolder, options.initialVoters);
        const storage = await openLogStorage({
            folder: options.dataFolder,
            clusterId: options.clusterId,
            replicaId: self,
            isFolderPrivate: true,
            fileSystem,
            segmentBytes: options.segmentBytes,
            counters,
        });
        const state: CatalogState = createCatalogState({
            ...options.observer,
            onItems: items => {
                const changed = latest === undefined || latest.state === state ? items : items.filter(isNews);
                if (changed.length > 0) {
                    options.observer.onItems(changed);
                }
            },
        });
        const applied: AppliedState = { state, index: 0 };
        const replica = createReplica({
            groupId: GROUP_ID,
            self,
            clock,
            random: options.random,
            storage,
            counters,
            snapshotEveryEntries: options.snapshotEveryEntries,
            initialVoters: initialVoters.map(name => ({ name })),
            call: async (peer, message, deadlineMilliseconds) =>
                parseConsensusReply(
                    await options.peers.call(peer, ControlRequestKind.Consensus, message, deadlineMilliseconds),
                ),
            apply: entry => {
                const result = state.apply(entry.index, decodeCommand(entry.payload));
                advance(applied, entry.index);
                return result;
            },
            takeSnapshot: state.takeSnapshot,
            restoreSnapshot: (payload, index) => {
                state.restoreSnapshot(payload);
                advance(applied, index);
            },
            onStateChange: status => {
                logStatus(status);
                options.onStatus(status);
                if (status.failure !== undefined) {
                    reportFailure(status.failure);
                }
            },
        });
        replica.start();
        return { replica, storage };
    };

    const close = async ({ replica, storage }: OpenGroup) => {
        await replica.stop();
        await storage.close().catch(error => log(EventLevel.Warning, "closing the storage failed", errorFields(error)));
    };

    const describeClosure = () =>
        closure === undefined ? {} : {
            failures: closure.failures,
            closedMilliseconds: Math.round(clock.monotonicMilliseconds() - closure.since),
        };

    const logFailure = (error: unknown) => {
        closure = {
            since: closure?.since ?? clock.monotonicMilliseconds(),
            failures: (closure?.failures ?? 0) + 1,
        };
        log(EventLevel.Error, "storage failed", {
            ...errorFields(error),
            ...storageFields(error),
            ...describeClosure(),
        });
        counters.increment("catalog.storage_failures");
    };

    const runUntilFailure = async (signal: AbortSignal) => {
        let fail: (error: Error) => void = () => undefined;
        let stop: () => void = () => undefined;
        const failed = new Promise<Error | undefined>(resolve => {
            fail = resolve;
            stop = () => resolve(undefined);
        });
        signal.addEventListener("abort", stop, { once: true });
        try {
            const opened = await openGroup(error => fail(error));
            open = opened;
            log(EventLevel.Info, "storage opened", { lastIndex: opened.storage.lastIndex, ...describeClosure() });
            closure = undefined;
            const error = await failed;
            open = undefined;
            await close(opened);
            if (error !== undefined) {
                throw error;
            }
        }
        finally {
            signal.removeEventListener("abort", stop);
        }
    };

    const requireReplica = () => {
        if (open === undefined) {
            throw new NotLeaderError("propose", undefined);
        }
        return open.replica;
    };

    const proposeOnReplica = async (command: Uint8Array, deadlineMilliseconds: number) => {
        const endsAt = clock.monotonicMilliseconds() + deadlineMilliseconds;
        while (options.isGrowing()) {
            if (clock.monotonicMilliseconds() >= endsAt) {
                throw new NotLeaderError("propose", undefined);
            }
            await clock.sleep(GROWTH_CHECK_INTERVAL_MS);
        }
        return (await requireReplica().propose(command)).result as CommandResult;
    };

    /** Returns the instance to propose to. While the storage is not open, the connected ones are tried in turn. */
    const findLeader = (attempt: number) => {
        const connected = options.peers.connected();
        return open === undefined ? connected[attempt % connected.length] : open.replica.status().leader;
    };

    const proposeToLeader = async (
        command: Uint8Array,
        deadlineMilliseconds: number,
        attempt: number,
    ): Promise<CommandResult> => {
        const leader = findLeader(attempt);
        if (leader === undefined || leader === self) {
            return withDeadline(clock, deadlineMilliseconds, proposeOnReplica(command, deadlineMilliseconds));
        }
        const deadline = Math.min(LEADER_REPLY_DEADLINE_MS, deadlineMilliseconds);
        const reply = await options.peers.call(leader, ControlRequestKind.Propose, { command }, deadline);
        const { error, isSuperseded, isIncomplete } = proposeReplySchema.parse(reply);
        return { error, isSuperseded, isIncomplete };
    };

    const retryUntil = async <T>(
        step: string,
        deadlineMilliseconds: number,
        operation: (remainingMilliseconds: number, attempt: number) => Promise<T>,
    ): Promise<T> => {
        const endsAt = clock.monotonicMilliseconds() + deadlineMilliseconds;
        for (let attempt = 0;; attempt += 1) {
            try {
                return await operation(endsAt - clock.monotonicMilliseconds(), attempt);
            }
            catch (error) {
                if (
                    clock.monotonicMilliseconds() + RETRY_PAUSE_MS >= endsAt || error instanceof ProposalRefusedError
                ) {
                    throw new CatalogUnavailableError(step, error);
                }
                counters.increment("catalog.retries", 1, { step });
            }
            await clock.sleep(RETRY_PAUSE_MS);
        }
    };

    return {
        replica: () => open?.replica,
        items: () => latest?.state.items() ?? [],
        find: (kind, name) => latest?.state.find(kind, name),
        findStagedParts: changeId => latest?.state.findStagedParts(changeId) ?? new Set(),
        handleConsensus: (from, payload) => requireReplica().handle(from, parseConsensusRequest(payload)),
        proposeLocally: command => proposeOnReplica(command, LEADER_REPLY_DEADLINE_MS),
        submit: (command, deadlineMilliseconds) => {
            const encoded = encodeCommand(command);
            return retryUntil(
                "submit",
                deadlineMilliseconds,
                (remaining, attempt) => proposeToLeader(encoded, remaining, attempt),
            );
        },
        catchUp: deadlineMilliseconds =>
            retryUntil("catch up", deadlineMilliseconds, async remaining => {
                await withDeadline(clock, remaining, requireReplica().readBarrier());
            }),
        run: async signal => {
            while (!signal.aborted) {
                try {
                    await runUntilFailure(signal);
                }
                catch (error) {
                    logFailure(error);
                }
                if (!signal.aborted) {
                    await clock.sleep(REOPEN_PAUSE_MS, signal).catch(() => undefined);
                }
            }
        },
    };
}
