/**
 * Replicated state of one run-once group: a record per idempotency key. It is deterministic: the same commands in the
 * same order give the same state and the same replies on every replica, because time is taken only from the commands.
 */
import { Decoder, Encoder } from "cbor-x";
import { checkKey, KeyValidity } from "./idempotency-key.js";
import {
    AttemptOutcomeKind,
    type BeginReply,
    type BeginRequest,
    BeginResult,
    CLOCK_TOLERANCE_MS,
    type FinishRequest,
    IN_PROGRESS_GRACE_MS,
    KEY_RETENTION_MS,
    RECORD_RETENTION_MS,
    type RunOnceCommand,
    RunOnceCommandKind,
    runOnceCommandSchema,
    type StoredResponse,
} from "./messages.js";

/** Deterministic state of a run-once group. */
export type RunOnceState = {
    /** Applies a command; returns the reply to a `begin`, and undefined for other commands. */
    apply(command: RunOnceCommand): BeginReply | undefined;
    /** Encodes the whole state. */
    takeSnapshot(): Uint8Array;
    /** Replaces the whole state by that of a snapshot. */
    restoreSnapshot(snapshot: Uint8Array): void;
    readonly recordCount: number;
    /** Total size of the bodies and headers of the stored responses. */
    readonly storedResponseBytes: number;
};

/** Limits of a run-once group. They must be the same on every replica. */
export type RunOnceStateOptions = {
    /** At this number of records, new keys are rejected with `Full`. A record takes about 350 bytes of memory. */
    readonly maximumRecords?: number;
    /** Above this total size, the oldest stored responses are dropped. Their keys then have the result `Unknown`. */
    readonly maximumStoredResponseBytes?: number;
};

enum RecordState {
    InProgress = 0,
    Completed = 1,
    Unknown = 2,
}

type RunOnceRecord = {
    state: RecordState;
    attempt: string;
    entry: string;
    incarnation: string;
    bodyHash: string;
    beganAt: number;
    /** Time from which a record in progress counts as unknown. */
    abandonedAt: number;
    /** Stored response, present only while the record is completed and its response has not been dropped. */
    answer: StoredResponse | undefined;
};

/** Current incarnation of an entry and those it has replaced, oldest first. */
type EntryIncarnations = { current: string; retired: string[] };

/** Content of a snapshot. The field names, including those of the records, are part of the stored format. */
type SnapshotContent = {
    readonly version: 1;
    readonly now: number;
    readonly records: [string, RunOnceRecord][];
    readonly freedAttempts: [string, number][];
    readonly entries: [string, EntryIncarnations][];
};

/**
 * Retention of attempts that were reported as rejected, so that a late begin of such an attempt does not start. Longer
 * than the deadline of any request.
 */
const REJECTED_ATTEMPT_RETENTION_MS = 20 * 60_000;
const MAXIMUM_REJECTED_ATTEMPTS = 200_000;
/** Replaced incarnations that are remembered per entry. */
const MAXIMUM_RETIRED_INCARNATIONS = 16;
const DEFAULT_MAXIMUM_RECORDS = 1_000_000;
const DEFAULT_MAXIMUM_STORED_RESPONSE_BYTES = 268_435_456;

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Encodes a command as the payload of a log entry. */
export const encodeRunOnceCommand = (command: RunOnceCommand): Uint8Array => encoder.encode(command);

/**
 * Decodes the payload of a log entry.
 *
 * @throws Error when the payload is not a command.
 */
export const decodeRunOnceCommand = (payload: Uint8Array): RunOnceCommand =>
    runOnceCommandSchema.parse(decoder.decode(payload));

const makeRecordKey = ({ tenant, service, key }: { tenant: string; service: string; key: string }) =>
    `${tenant}/${service}/${key.toLowerCase()}`;

const getResponseSize = (response: StoredResponse | undefined) =>
    response === undefined
        ? 0
        : Object.entries(response.headers).reduce(
            (sum, [name, value]) => sum + name.length + String(value).length,
            response.body.length,
        );

/**
 * Creates a state without records.
 */
export function createRunOnceState(options: RunOnceStateOptions = {}): RunOnceState {
    const maximumRecords = options.maximumRecords ?? DEFAULT_MAXIMUM_RECORDS;
    const maximumStoredResponseBytes = options.maximumStoredResponseBytes ?? DEFAULT_MAXIMUM_STORED_RESPONSE_BYTES;
    // Ordered by `beganAt`: `now` never decreases, and new records are inserted at the end.
    let records = new Map<string, RunOnceRecord>();
    /** Keys of the records with a stored response, in the order of completion. */
    let keysWithResponse = new Set<string>();
    /** Attempts reported as rejected, with the time of the report. */
    let rejectedAttempts = new Map<string, number>();
    let incarnationsByEntry = new Map<string, EntryIncarnations>();
    let now = 0;
    let storedResponseBytes = 0;

    const dropResponse = (key: string, record: RunOnceRecord) => {
        storedResponseBytes -= getResponseSize(record.answer);
        record.answer = undefined;
        keysWithResponse.delete(key);
    };
    const removeRecord = (key: string, record: RunOnceRecord) => {
        dropResponse(key, record);
        records.delete(key);
    };
    const advanceTime = (at: number) => {
        now = Math.max(now, at);
        for (const [key, record] of records) {
            if (record.beganAt + RECORD_RETENTION_MS > now) {
                break;
            }
            removeRecord(key, record);
        }
        for (const [attempt, rejectedAt] of rejectedAttempts) {
            if (
                rejectedAt + REJECTED_ATTEMPT_RETENTION_MS > now && rejectedAttempts.size <= MAXIMUM_REJECTED_ATTEMPTS
            ) {
                break;
            }
            rejectedAttempts.delete(attempt);
        }
    };

    /** @returns False when a later incarnation has replaced this one. */
    const observeIncarnation = (entry: string, incarnation: string): boolean => {
        const incarnations = incarnationsByEntry.get(entry);
        if (incarnations === undefined) {
            incarnationsByEntry.set(entry, { current: incarnation, retired: [] });
            return true;
        }
        if (incarnations.current === incarnation) {
            return true;
        }
        if (incarnations.retired.includes(incarnation)) {
            return false;
        }
        incarnations.retired = [...incarnations.retired, incarnations.current].slice(-MAXIMUM_RETIRED_INCARNATIONS);
        incarnations.current = incarnation;
        return true;
    };

    const isAbandoned = (record: RunOnceRecord) =>
        now >= record.abandonedAt || incarnationsByEntry.get(record.entry)?.current !== record.incarnation;

    const replyFromRecord = (record: RunOnceRecord, request: BeginRequest): BeginReply => {
        if (record.bodyHash !== request.bodyHash) {
            return { result: BeginResult.BodyMismatch };
        }
        if (record.state === RecordState.InProgress && isAbandoned(record)) {
            record.state = RecordState.Unknown;
        }
        if (record.state === RecordState.InProgress) {
            // The client retries a begin with the same attempt when its reply is lost.
            const isSameAttempt = record.attempt === request.attempt;
            return { result: isSameAttempt ? BeginResult.Started : BeginResult.InProgress };
        }
        return record.state === RecordState.Completed && record.answer !== undefined
            ? { result: BeginResult.Completed, answer: record.answer }
            : { result: BeginResult.Unknown };
    };

    const begin = (request: BeginRequest): BeginReply => {
        const isCurrent = observeIncarnation(request.entry, request.incarnation);
        const recordKey = makeRecordKey(request);
        const record = records.get(recordKey);
        if (record !== undefined) {
            return replyFromRecord(record, request);
        }
        if (!isCurrent || rejectedAttempts.has(request.attempt)) {
            // The attempt has already ended, so its record would never be finished.
            return { result: BeginResult.Unknown };
        }
        const validity = checkKey(request.key, now, KEY_RETENTION_MS + CLOCK_TOLERANCE_MS);
        if (validity === KeyValidity.InFuture) {
            return { result: BeginResult.KeyInFuture };
        }
        if (validity !== KeyValidity.Valid) {
            return { result: BeginResult.KeyTooOld };
        }
        if (records.size >= maximumRecords) {
            return { result: BeginResult.Full };
        }
        records.set(recordKey, {
            state: RecordState.InProgress,
            attempt: request.attempt,
            entry: request.entry,
            incarnation: request.incarnation,
            bodyHash: request.bodyHash,
            beganAt: now,
            abandonedAt: now + request.deadlineMilliseconds + IN_PROGRESS_GRACE_MS,
            answer: undefined,
        });
        return { result: BeginResult.Started };
    };

    const complete = (key: string, record: RunOnceRecord, response: StoredResponse) => {
        record.state = RecordState.Completed;
        record.answer = response;
        keysWithResponse.add(key);
        storedResponseBytes += getResponseSize(response);
        for (const oldestKey of keysWithResponse) {
            if (storedResponseBytes <= maximumStoredResponseBytes) {
                break;
            }
            dropResponse(oldestKey, records.get(oldestKey) as RunOnceRecord);
        }
    };

    const finish = ({ attempt, outcome, ...id }: FinishRequest): void => {
        const recordKey = makeRecordKey(id);
        const record = records.get(recordKey);
        if (outcome.kind === AttemptOutcomeKind.Rejected && (record === undefined || record.attempt !== attempt)) {
            rejectedAttempts.set(attempt, now);
            return;
        }
        if (record === undefined || record.attempt !== attempt || record.state === RecordState.Completed) {
            return;
        }
        if (outcome.kind === AttemptOutcomeKind.Completed) {
            complete(recordKey, record, outcome.answer);
        }
        else if (outcome.kind === AttemptOutcomeKind.Rejected) {
            removeRecord(recordKey, record);
            rejectedAttempts.set(attempt, now);
        }
        else {
            record.state = RecordState.Unknown;
        }
    };

    return {
        apply: command => {
            advanceTime(command.at);
            switch (command.kind) {
                case RunOnceCommandKind.Begin:
                    return begin(command);
                case RunOnceCommandKind.Finish:
                    finish(command);
                    return undefined;
                case RunOnceCommandKind.Incarnation:
                    observeIncarnation(command.entry, command.incarnation);
                    return undefined;
            }
        },
        takeSnapshot: () => {
            const content: SnapshotContent = {
                version: 1,
                now,
                records: [...records],
                freedAttempts: [...rejectedAttempts],
                entries: [...incarnationsByEntry],
            };
            return encoder.encode({ ...content, answered: [...keysWithResponse] });
        },
        restoreSnapshot: snapshot => {
            const content = decoder.decode(snapshot) as SnapshotContent & { answered: string[] };
            now = content.now;
            records = new Map(content.records);
            rejectedAttempts = new Map(content.freedAttempts);
            incarnationsByEntry = new Map(content.entries);
            keysWithResponse = new Set(content.answered);
            storedResponseBytes = [...records.values()].reduce(
                (sum, record) => sum + getResponseSize(record.answer),
                0,
            );
        },
        get recordCount() {
            return records.size;
        },
        get storedResponseBytes() {
            return storedResponseBytes;
        },
    };
}
