/**
 * Keeps a local publication up to date from the first upstream that replies and is not behind.
 */
import type { Clock } from "../clock/clock.js";
import { withDeadline } from "../clock/deadline.js";
import { type Counters, NO_COUNTERS } from "../counters/counters.js";
import {
    BatchKind,
    type DeltaBatch,
    type PublicationBatch,
    publicationBatchSchema,
    type PublicationReadRequest,
    type PublishedItem,
    type SnapshotBatch,
} from "./messages.js";
import type { Publication } from "./publication.js";

/** Longest wait of one long poll. Limits the time until the follower leaves an upstream that is known to be behind. */
export const POLL_WAIT_MS = 1_000;
/** Time after the wait of a long poll within which an upstream must have replied. */
export const REPLY_TIMEOUT_MARGIN_MS = 2_000;
/** Interval at which an idle follower checks against another upstream whether its own has fallen behind. */
export const PROBE_INTERVAL_MS = 5_000;
/** Delay after all upstreams have failed in a row; doubles with each further round. */
export const RETRY_BASE_MS = 100;
/** Longest delay after all upstreams have failed in a row. */
export const RETRY_MAXIMUM_MS = 1_000;
/** Restarts of a snapshot after which its read fails: the publication then changes faster than it can be read. */
const MAXIMUM_SNAPSHOT_RESTARTS = 5;

/** Options of `followPublication`. */
export type FollowPublicationOptions = {
    readonly clock: Clock;
    /** Returns a uniform number in [0, 1), for the jitter of the retry delay. */
    readonly random?: () => number;
    /** Default: no counters. */
    readonly counters?: Counters;
    /** Local publication to update. Serve it with `servePublication` to relay it to other followers. */
    readonly publication: Publication;
    /** Returns the names of the upstreams in order of preference; called before each poll. */
    readonly upstreams: () => readonly string[];
    /** Sends one read request to an upstream. The reply is validated by the follower. */
    readonly read: (upstream: string, request: PublicationReadRequest, signal: AbortSignal) => Promise<unknown>;
    /** Returns the latest revision that is known from another source; an upstream below it counts as behind. */
    readonly latestKnownRevision?: () => number;
    /** Longest wait of one long poll. Default: 1 s. */
    readonly waitMilliseconds?: number;
    /** Interval at which an idle follower probes another upstream. Default: 5 s. */
    readonly probeMilliseconds?: number;
};

/** Running follower of a publication. */
export type Follower = {
    /** Local publication that the follower updates. */
    readonly publication: Publication;
    /** Name of the upstream that is currently read. */
    readonly upstream: string | undefined;
    /** Cancels the read in progress and stops following. The local publication keeps its state. */
    stop(): Promise<void>;
};

enum PollResult {
    Progress = "progress",
    Idle = "idle",
    /** The revision of the upstream is below that of this follower, or below the latest known revision. */
    Behind = "behind",
    Failed = "failed",
}

/**
 * Starts to follow a publication. The local publication never goes back to a lower revision, whatever an upstream
 * sends.
 */
export function followPublication(options: FollowPublicationOptions): Follower {
    const { clock, publication } = options;
    const counters = options.counters ?? NO_COUNTERS;
    const random = options.random ?? Math.random;
    const stopping = new AbortController();
    let upstream: string | undefined;
    let lastProbeAt = clock.monotonicMilliseconds();
    let probeCount = 0;

    const sendRead = async (name: string, request: PublicationReadRequest): Promise<PublicationBatch> => {
        const attempt = new AbortController();
        const onStop = () => attempt.abort(stopping.signal.reason);
        stopping.signal.addEventListener("abort", onStop, { once: true });
        const aborted = new Promise<never>((_, reject) => {
            attempt.signal.addEventListener("abort", () => reject(attempt.signal.reason), { once: true });
        });
        aborted.catch(() => undefined);
        try {
            stopping.signal.throwIfAborted();
            const reply = Promise.race([options.read(name, request, attempt.signal), aborted]);
            const deadline = request.waitMilliseconds + REPLY_TIMEOUT_MARGIN_MS;
            return publicationBatchSchema.parse(await withDeadline(clock, deadline, reply));
        }
        finally {
            stopping.signal.removeEventListener("abort", onStop);
            // Cancels a read that did not reply in time.
            attempt.abort(new Error("The read has ended."));
        }
    };

    const applyDelta = (batch: DeltaBatch): PollResult => {
        if (batch.revision < publication.revision) {
            return PollResult.Behind;
        }
        if (batch.revision === publication.revision) {
            return PollResult.Idle;
        }
        requireContiguousDelta(batch, publication.revision);
        const itemsByRevision = new Map<number, PublishedItem[]>();
        batch.items.filter(item => item.revision > publication.revision).forEach(item => {
            const revisionItems = itemsByRevision.get(item.revision) ?? [];
            revisionItems.push(item);
            itemsByRevision.set(item.revision, revisionItems);
        });
        itemsByRevision.forEach((items, revision) => publication.publish(revision, items));
        if (publication.revision < batch.revision) {
            publication.publish(batch.revision, []);
        }
        return PollResult.Progress;
    };

    const readSnapshot = async (name: string, first: SnapshotBatch): Promise<PollResult> => {
        let items: readonly PublishedItem[] = [];
        let batch = first;
        for (let restarts = 0; restarts <= MAXIMUM_SNAPSHOT_RESTARTS;) {
            if (batch.position === 0 && items.length > 0) {
                items = [];
                restarts += 1;
            }
            if (batch.position !== items.length) {
                throw new Error(`The snapshot continues at position ${batch.position} instead of ${items.length}.`);
            }
            items = items.concat(batch.items);
            if (batch.isLast) {
                return applySnapshot(batch.revision, items);
            }
            const cursor = { revision: batch.revision, position: items.length };
            const next = await sendRead(name, { afterRevision: publication.revision, waitMilliseconds: 0, cursor });
            if (next.kind !== BatchKind.Snapshot || (next.items.length === 0 && !next.isLast)) {
                throw new Error("The upstream did not send the next chunk of the snapshot.");
            }
            batch = next;
        }
        throw new Error("The snapshot was restarted too often while it was read.");
    };

    const applySnapshot = (revision: number, items: readonly PublishedItem[]): PollResult => {
        if (revision <= publication.revision) {
            return PollResult.Behind;
        }
        publication.replace(revision, items);
        counters.increment("publication.snapshots_read");
        return PollResult.Progress;
    };

    const poll = async (name: string): Promise<PollResult> => {
        try {
            const knownRevision = options.latestKnownRevision?.() ?? 0;
            const waitMilliseconds = options.waitMilliseconds ?? POLL_WAIT_MS;
            const batch = await sendRead(name, { afterRevision: publication.revision, waitMilliseconds });
            stopping.signal.throwIfAborted();
            const result = batch.kind === BatchKind.Snapshot ? await readSnapshot(name, batch) : applyDelta(batch);
            return result === PollResult.Idle && publication.revision < knownRevision ? PollResult.Behind : result;
        }
        catch {
            return PollResult.Failed;
        }
    };

    /** Reads one other upstream without waiting, and selects it when it is ahead, or preferred and not behind. */
    const probe = async (upstreamNames: readonly string[], current: string): Promise<string> => {
        const others = upstreamNames.filter(name => name !== current);
        const candidate = others[probeCount % Math.max(others.length, 1)];
        if (candidate === undefined || clock.monotonicMilliseconds() - lastProbeAt < probeIntervalMilliseconds()) {
            return current;
        }
        probeCount += 1;
        lastProbeAt = clock.monotonicMilliseconds();
        try {
            const { revision } = await sendRead(candidate, {
                afterRevision: publication.revision,
                waitMilliseconds: 0,
            });
            const isPreferred = upstreamNames.indexOf(candidate) < upstreamNames.indexOf(current);
            const isBetter = revision > publication.revision || (isPreferred && revision === publication.revision);
            return isBetter ? candidate : current;
        }
        catch {
            return current;
        }
    };
    const probeIntervalMilliseconds = () => options.probeMilliseconds ?? PROBE_INTERVAL_MS;

    const backOff = (failedRounds: number) => {
        const retryDelay = Math.min(RETRY_BASE_MS * 2 ** Math.min(failedRounds, 16), RETRY_MAXIMUM_MS);
        return clock.sleep(retryDelay * (0.5 + random() / 2), stopping.signal).catch(() => undefined);
    };

    const run = async () => {
        let failures = 0;
        while (!stopping.signal.aborted) {
            const upstreamNames = options.upstreams();
            const current = upstream !== undefined && upstreamNames.includes(upstream) ? upstream : upstreamNames[0];
            upstream = current;
            if (current === undefined) {
                await backOff(0);
                continue;
            }
            const result = await poll(current);
            if (result === PollResult.Progress) {
                failures = 0;
            }
            else if (result === PollResult.Idle) {
                failures = 0;
                upstream = await probe(upstreamNames, current);
            }
            else {
                failures += 1;
                counters.increment("publication.upstream_changes", 1, { reason: result });
                upstream = upstreamNames[(upstreamNames.indexOf(current) + 1) % upstreamNames.length];
                if (failures % upstreamNames.length === 0) {
                    await backOff(failures / upstreamNames.length - 1);
                }
            }
        }
    };
    const task = run();

    return {
        publication,
        get upstream() {
            return upstream;
        },
        stop: async () => {
            stopping.abort(new Error("The follower was stopped."));
            await task;
        },
    };
}

/** Rejects a delta that leaves out changes, or contains changes outside of its revisions. */
function requireContiguousDelta(batch: DeltaBatch, heldRevision: number): void {
    const revisions = batch.items.map(item => item.revision);
    const isAscending = revisions.every((revision, index) => revision >= (revisions[index - 1] ?? 0));
    const isWithin = revisions.every(revision => revision > batch.afterRevision && revision <= batch.revision);
    if (batch.afterRevision > heldRevision || !isAscending || !isWithin) {
        throw new Error(`A delta after revision ${batch.afterRevision} does not follow on revision ${heldRevision}.`);
    }
}
