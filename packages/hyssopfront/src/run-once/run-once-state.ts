/**
 * Replicated state of one record group. The same commands in the same order give the same state and replies on every
 * replica: time comes only from the commands.
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

export type RunOnceState = {
    /** Applies a command; returns the reply to a `begin`, and undefined for other commands. */
    apply(command: RunOnceCommand): BeginReply | undefined;
    takeSnapshot(): Uint8Array;
    restoreSnapshot(snapshot: Uint8Array): void;
    readonly recordCount: number;
    readonly storedResponseBytes: number;
};

export type RunOnceStateOptions = {
    /** Further records are refused at this number; about 350 bytes of memory each. */
    readonly maximumRecords?: number;
    /** The oldest stored answers are dropped over this sum; their keys answer `unknown` from then on. */
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
    answer: StoredResponse | undefined;
};

type EntryIncarnations = { current: string; retired: string[] };

type SnapshotContent = {
    readonly version: 1;
    readonly now: number;
    readonly records: [string, RunOnceRecord][];
    readonly freedAttempts: [string, number][];
    readonly entries: [string, EntryIncarnations][];
};

/** A `begin` that arrives after its attempt was given up is refused for this long; longer than any request's deadline. */
const FREED_ATTEMPT_RETENTION_MS = 20 * 60_000;
const MAXIMUM_FREED_ATTEMPTS = 200_000;
const RETIRED_INCARNATIONS_KEPT = 16;
const DEFAULT_MAXIMUM_RECORDS = 1_000_000;
const DEFAULT_MAXIMUM_ANSWER_BYTES = 268_435_456;

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Encodes a command for the replicated log. */
export const encodeRunOnceCommand = (command: RunOnceCommand): Uint8Array => encoder.encode(command);

/** Decodes a command of the replicated log. */
export const decodeRunOnceCommand = (payload: Uint8Array): RunOnceCommand =>
    runOnceCommandSchema.parse(decoder.decode(payload));

const recordKeyOf = ({ tenant, service, key }: { tenant: string; service: string; key: string }) =>
    `${tenant}/${service}/${key.toLowerCase()}`;

const sizeOf = (answer: StoredResponse | undefined) =>
    answer === undefined
        ? 0
        : Object.entries(answer.headers).reduce(
            (sum, [name, value]) => sum + name.length + String(value).length,
            answer.body.length,
        );

/**
 * Creates an empty state.
 */
export function createRunOnceState(options: RunOnceStateOptions = {}): RunOnceState {
    const maximumRecords = options.maximumRecords ?? DEFAULT_MAXIMUM_RECORDS;
    const maximumAnswerBytes = options.maximumStoredResponseBytes ?? DEFAULT_MAXIMUM_ANSWER_BYTES;
    // The records are in the order of `beganAt`, because time never steps back here and a new begin is put at the end.
    let records = new Map<string, RunOnceRecord>();
    /** Keys of the records with a stored answer, in the order of completion. */
    let answered = new Set<string>();
    let freedAttempts = new Map<string, number>();
    let entries = new Map<string, EntryIncarnations>();
    let now = 0;
    let answerBytes = 0;

    const dropAnswer = (key: string, record: RunOnceRecord) => {
        answerBytes -= sizeOf(record.answer);
        record.answer = undefined;
        answered.delete(key);
    };
    const remove = (key: string, record: RunOnceRecord) => {
        dropAnswer(key, record);
        records.delete(key);
    };
    const advanceTime = (at: number) => {
        now = Math.max(now, at);
        for (const [key, record] of records) {
            if (record.beganAt + RECORD_RETENTION_MS > now) {
                break;
            }
            remove(key, record);
        }
        for (const [attempt, freedAt] of freedAttempts) {
            if (freedAt + FREED_ATTEMPT_RETENTION_MS > now && freedAttempts.size <= MAXIMUM_FREED_ATTEMPTS) {
                break;
            }
            freedAttempts.delete(attempt);
        }
    };

    /** @returns False when the incarnation was replaced by a later one. */
    const observeIncarnation = (entry: string, incarnation: string): boolean => {
        const known = entries.get(entry);
        if (known === undefined) {
            entries.set(entry, { current: incarnation, retired: [] });
            return true;
        }
        if (known.current === incarnation) {
            return true;
        }
        if (known.retired.includes(incarnation)) {
            return false;
        }
        known.retired = [...known.retired, known.current].slice(-RETIRED_INCARNATIONS_KEPT);
        known.current = incarnation;
        return true;
    };

    const isAbandoned = (record: RunOnceRecord) =>
        now >= record.abandonedAt || entries.get(record.entry)?.current !== record.incarnation;

    const answerKnown = (record: RunOnceRecord, request: BeginRequest): BeginReply => {
        if (record.bodyHash !== request.bodyHash) {
            return { result: BeginResult.BodyMismatch };
        }
        if (record.state === RecordState.InProgress && isAbandoned(record)) {
            record.state = RecordState.Unknown;
        }
        if (record.state === RecordState.InProgress) {
            // A begin whose outcome was unknown is sent again with the same attempt.
            const isSameAttempt = record.attempt === request.attempt;
            return { result: isSameAttempt ? BeginResult.Started : BeginResult.InProgress };
        }
        return record.state === RecordState.Completed && record.answer !== undefined
            ? { result: BeginResult.Completed, answer: record.answer }
            : { result: BeginResult.Unknown };
    };

    const begin = (request: BeginRequest): BeginReply => {
        const isCurrent = observeIncarnation(request.entry, request.incarnation);
        const recordKey = recordKeyOf(request);
        const known = records.get(recordKey);
        if (known !== undefined) {
            return answerKnown(known, request);
        }
        if (!isCurrent || freedAttempts.has(request.attempt)) {
            // The attempt has ended, so that nobody would finish its record.
            return { result: BeginResult.Unknown };
        }
        const age = checkKey(request.key, now, KEY_RETENTION_MS + CLOCK_TOLERANCE_MS);
        if (age === KeyValidity.InFuture) {
            return { result: BeginResult.KeyInFuture };
        }
        if (age !== KeyValidity.Valid) {
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

    const complete = (key: string, record: RunOnceRecord, answer: StoredResponse) => {
        record.state = RecordState.Completed;
        record.answer = answer;
        answered.add(key);
        answerBytes += sizeOf(answer);
        for (const oldest of answered) {
            if (answerBytes <= maximumAnswerBytes) {
                break;
            }
            dropAnswer(oldest, records.get(oldest) as RunOnceRecord);
        }
    };

    const finish = ({ attempt, outcome, ...id }: FinishRequest): void => {
        const recordKey = recordKeyOf(id);
        const record = records.get(recordKey);
        if (outcome.kind === AttemptOutcomeKind.Rejected && (record === undefined || record.attempt !== attempt)) {
            freedAttempts.set(attempt, now);
            return;
        }
        if (record === undefined || record.attempt !== attempt || record.state === RecordState.Completed) {
            return;
        }
        if (outcome.kind === AttemptOutcomeKind.Completed) {
            complete(recordKey, record, outcome.answer);
        }
        else if (outcome.kind === AttemptOutcomeKind.Rejected) {
            remove(recordKey, record);
            freedAttempts.set(attempt, now);
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
                freedAttempts: [...freedAttempts],
                entries: [...entries],
            };
            return encoder.encode({ ...content, answered: [...answered] });
        },
        restoreSnapshot: snapshot => {
            const content = decoder.decode(snapshot) as SnapshotContent & { answered: string[] };
            now = content.now;
            records = new Map(content.records);
            freedAttempts = new Map(content.freedAttempts);
            entries = new Map(content.entries);
            answered = new Set(content.answered);
            answerBytes = [...records.values()].reduce((sum, record) => sum + sizeOf(record.answer), 0);
        },
        get recordCount() {
            return records.size;
        },
        get storedResponseBytes() {
            return answerBytes;
        },
    };
}
