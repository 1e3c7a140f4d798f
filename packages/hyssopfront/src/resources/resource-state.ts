/**
 * Deterministic state of the main group's log: declared objects, registered entries and answers of changes.
 */
import { isDeepStrictEqual } from "node:util";
import type { ChangeCommand, CommandResponse, CurrentObject, EntryRegistration, ResourceCommand } from "./messages.js";
import { ChangeResult, CommandKind } from "./messages.js";
import { checkReferences, findReferrer } from "./references.js";
import { COLLECTION_NAMES, MAXIMUM_OBJECTS_PER_KIND, type Resource, ResourceKind } from "./resource.js";
import { createResponseStore } from "./response-store.js";
import type { EntryRecord, ResourceRecord } from "./snapshot.js";
import { decodeSnapshot, encodeSnapshot } from "./snapshot.js";

/** Fits a command with its envelope in a frame of 4 MiB. */
export const MAXIMUM_SPEC_BYTES = 3 * 1024 * 1024;
/** Bounds the memory of the state: 780,000 client blocks take about 16 MiB. */
export const MAXIMUM_TOTAL_SPEC_BYTES = 64 * 1024 * 1024;
export const MAXIMUM_ENTRIES = 2_000;
/** Larger specs are left out of conflicts, because stored answers would keep them in memory. */
export const MAXIMUM_CONFLICT_SPEC_BYTES = 4 * 1024;

export const ENTRIES_COLLECTION = "entries";

/** A change for the publication; an undefined value is a deletion. */
export type ChangeRecord = { readonly key: string; readonly revision: number; readonly value: unknown };

export type AppliedCommand = { readonly response: CommandResponse; readonly changes: readonly ChangeRecord[] };

export type ResourceState = {
    /** Revision of the last command. */
    readonly revision: number;
    /** Revision of the last command that changed an object or an entry. */
    readonly configurationRevision: number;
    /** Applies the command at a revision of the log. */
    apply(revision: number, command: ResourceCommand): AppliedCommand;
    get(kind: ResourceKind, name: string): Resource | undefined;
    /** Objects of a kind, by name. */
    list(kind: ResourceKind): readonly Resource[];
    /** Wall-clock time at which the last change of the object was proposed. */
    acceptedAt(kind: ResourceKind, name: string): Date | undefined;
    entries(): readonly EntryRegistration[];
    /** All objects and entries as change records. */
    items(): readonly ChangeRecord[];
    takeSnapshot(): Uint8Array;
    /** Replaces the state. Throws SnapshotFormatError and keeps the state when the snapshot cannot be read. */
    restoreSnapshot(payload: Uint8Array): void;
};

export type ResourceLimits = {
    readonly objectsPerKind: number;
    readonly specBytes: number;
    readonly totalSpecBytes: number;
    readonly entries: number;
    readonly storedResponses?: { readonly maximum?: number; readonly retained?: number };
};

const DEFAULT_LIMITS: ResourceLimits = {
    objectsPerKind: MAXIMUM_OBJECTS_PER_KIND,
    specBytes: MAXIMUM_SPEC_BYTES,
    totalSpecBytes: MAXIMUM_TOTAL_SPEC_BYTES,
    entries: MAXIMUM_ENTRIES,
};

/** Key of an object in the publication, such as `services/stoc`. */
export function resourceKey(kind: ResourceKind, name: string): string {
    return `${COLLECTION_NAMES[kind]}/${name}`;
}

/** Key of an entry in the publication, such as `entries/entry-1`. */
export function entryKey(name: string): string {
    return `${ENTRIES_COLLECTION}/${name}`;
}

const refusal = (result: ChangeResult, message: string, details: Partial<CommandResponse> = {}): AppliedCommand => ({
    response: { result, revision: 0, generation: 0, message, ...details },
    changes: [],
});

const currentOf = ({ resource, bytes }: ResourceRecord): CurrentObject =>
    bytes <= MAXIMUM_CONFLICT_SPEC_BYTES ? resource : { ...resource, spec: undefined };

/**
 * Creates an empty state.
 *
 * @param limits Must be equal on all replicas of a group.
 */
export function createResourceState(limits: ResourceLimits = DEFAULT_LIMITS): ResourceState {
    const records = new Map(Object.values(ResourceKind).map(kind => [kind, new Map<string, ResourceRecord>()]));
    const entries = new Map<string, EntryRecord>();
    const answers = createResponseStore(limits.storedResponses);
    let revision = 0;
    let configurationRevision = 0;
    let totalBytes = 0;
    /** Latest proposal time seen, so that the age of answers does not depend on a replica's own clock. */
    let stateTime = 0;

    const recordsOf = (kind: ResourceKind) => records.get(kind) ?? new Map<string, ResourceRecord>();
    const allResources = () => [...records.values()].flatMap(ofKind => [...ofKind.values()].map(it => it.resource));
    const exists = (kind: ResourceKind, name: string) => recordsOf(kind).has(name);

    const conflict = (kind: ResourceKind, name: string, found: ResourceRecord | undefined, expected: number) =>
        refusal(
            ChangeResult.Conflict,
            found === undefined
                ? `The ${kind} ${name} does not exist, but revision ${expected} was expected.`
                : `The ${kind} ${name} has revision ${found.resource.revision}, not ${expected}.`,
            found === undefined ? {} : { current: currentOf(found) },
        );

    const checkSize = (found: ResourceRecord | undefined, kind: ResourceKind, bytes: number) => {
        if (bytes > limits.specBytes) {
            return refusal(
                ChangeResult.TooLarge,
                `The spec takes ${bytes} bytes; the limit is ${limits.specBytes} bytes.`,
                { field: "spec" },
            );
        }
        if (found === undefined && recordsOf(kind).size >= limits.objectsPerKind) {
            return refusal(
                ChangeResult.LimitReached,
                `There are ${limits.objectsPerKind} objects of kind ${kind}, which is the limit.`,
                { field: "kind" },
            );
        }
        if (totalBytes - (found?.bytes ?? 0) + bytes > limits.totalSpecBytes) {
            return refusal(
                ChangeResult.LimitReached,
                `All specs together would take more than ${limits.totalSpecBytes} bytes.`,
                { field: "spec" },
            );
        }
        return undefined;
    };

    const put = (command: ChangeCommand & { command: CommandKind.Put }): AppliedCommand => {
        const { kind, name, expectedRevision } = command;
        const spec = command.spec as Resource["spec"];
        const found = recordsOf(kind).get(name);
        if ((found?.resource.revision ?? 0) !== expectedRevision) {
            return conflict(kind, name, found, expectedRevision);
        }
        const encoded = JSON.stringify(spec);
        const bytes = Buffer.byteLength(encoded);
        const refused = checkSize(found, kind, bytes);
        if (refused !== undefined) {
            return refused;
        }
        const error = checkReferences(kind, name, spec, exists);
        if (error !== undefined) {
            return refusal(ChangeResult.Invalid, error.message, { field: error.field });
        }
        if (found !== undefined && JSON.stringify(found.resource.spec) === encoded) {
            const { generation, revision: unchanged } = found.resource;
            return { response: { result: ChangeResult.Unchanged, revision: unchanged, generation }, changes: [] };
        }
        const generation = (found?.resource.generation ?? 0) + 1;
        const resource: Resource = { kind, name, generation, revision, spec };
        recordsOf(kind).set(name, { resource, bytes, acceptedAt: command.proposedAt });
        totalBytes += bytes - (found?.bytes ?? 0);
        const result = found === undefined ? ChangeResult.Created : ChangeResult.Updated;
        return {
            response: { result, revision, generation },
            changes: [{ key: resourceKey(kind, name), revision, value: resource }],
        };
    };

    const remove = ({ kind, name, expectedRevision }: ChangeCommand): AppliedCommand => {
        const found = recordsOf(kind).get(name);
        if (found === undefined) {
            return refusal(ChangeResult.NotFound, `The ${kind} ${name} does not exist.`);
        }
        if (found.resource.revision !== expectedRevision) {
            return conflict(kind, name, found, expectedRevision);
        }
        const referrer = findReferrer(kind, name, allResources());
        if (referrer !== undefined) {
            return refusal(ChangeResult.InUse, referrer.message, {
                field: referrer.field,
                current: currentOf(found),
            });
        }
        recordsOf(kind).delete(name);
        totalBytes -= found.bytes;
        return {
            response: { result: ChangeResult.Deleted, revision, generation: found.resource.generation },
            changes: [{ key: resourceKey(kind, name), revision, value: undefined }],
        };
    };

    const change = (command: ChangeCommand): AppliedCommand => {
        stateTime = Math.max(stateTime, command.proposedAt);
        const stored = answers.get(command.requestId);
        if (stored !== undefined) {
            return stored.fingerprint === command.fingerprint
                ? { response: stored.answer, changes: [] }
                : refusal(
                    ChangeResult.RequestIdReused,
                    `The request id ${command.requestId} was used for another request.`,
                );
        }
        if (!answers.makeRoom(stateTime)) {
            return refusal(ChangeResult.TooManyChanges, "Too many changes were made in the last 24 h.");
        }
        const applied = command.command === CommandKind.Put ? put(command) : remove(command);
        const { requestId, fingerprint } = command;
        answers.add({ requestId, fingerprint, at: stateTime, answer: applied.response });
        return applied;
    };

    const registerEntry = (entry: EntryRegistration): AppliedCommand => {
        const found = entries.get(entry.name);
        if (found !== undefined && isDeepStrictEqual(found.entry, entry)) {
            return {
                response: { result: ChangeResult.Unchanged, revision: found.revision, generation: 0 },
                changes: [],
            };
        }
        if (found === undefined && entries.size >= limits.entries) {
            return refusal(ChangeResult.LimitReached, `There are ${limits.entries} entries, which is the limit.`);
        }
        entries.set(entry.name, { entry, revision });
        const result = found === undefined ? ChangeResult.Created : ChangeResult.Updated;
        return {
            response: { result, revision, generation: 0 },
            changes: [{ key: entryKey(entry.name), revision, value: entry }],
        };
    };

    const removeEntry = (name: string): AppliedCommand => {
        if (!entries.delete(name)) {
            return refusal(ChangeResult.NotFound, `The entry ${name} is not registered.`);
        }
        return {
            response: { result: ChangeResult.Deleted, revision, generation: 0 },
            changes: [{ key: entryKey(name), revision, value: undefined }],
        };
    };

    const dispatch = (command: ResourceCommand): AppliedCommand => {
        switch (command.command) {
            case CommandKind.Put:
            case CommandKind.Delete:
                return change(command);
            case CommandKind.RegisterEntry:
                return registerEntry(command.entry);
            case CommandKind.RemoveEntry:
                return removeEntry(command.name);
        }
    };

    const restoreSnapshot = (payload: Uint8Array) => {
        const snapshot = decodeSnapshot(payload);
        records.forEach(ofKind => ofKind.clear());
        snapshot.records.forEach(record => recordsOf(record.resource.kind).set(record.resource.name, record));
        totalBytes = snapshot.records.reduce((sum, record) => sum + record.bytes, 0);
        entries.clear();
        snapshot.entries.forEach(record => entries.set(record.entry.name, record));
        answers.restore(snapshot.answers);
        ({ revision, configurationRevision, stateTime } = snapshot);
    };

    return {
        get revision() {
            return revision;
        },
        get configurationRevision() {
            return configurationRevision;
        },
        apply: (atRevision, command) => {
            revision = atRevision;
            const applied = dispatch(command);
            if (applied.changes.length > 0) {
                configurationRevision = atRevision;
            }
            return applied;
        },
        get: (kind, name) => recordsOf(kind).get(name)?.resource,
        list: kind =>
            [...recordsOf(kind).values()].map(record => record.resource)
                .sort((a, b) => a.name < b.name ? -1 : 1),
        acceptedAt: (kind, name) => {
            const record = recordsOf(kind).get(name);
            return record === undefined ? undefined : new Date(record.acceptedAt);
        },
        entries: () => [...entries.values()].map(record => record.entry),
        items: () => [
            ...allResources().map(resource => ({
                key: resourceKey(resource.kind, resource.name),
                revision: resource.revision,
                value: resource,
            })),
            ...[...entries.values()].map(({ entry, revision: entryRevision }) => ({
                key: entryKey(entry.name),
                revision: entryRevision,
                value: entry,
            })),
        ],
        takeSnapshot: () =>
            encodeSnapshot({
                revision,
                configurationRevision,
                stateTime,
                records: [...records.values()].flatMap(ofKind => [...ofKind.values()]),
                entries: [...entries.values()],
                answers: answers.all(),
            }),
        restoreSnapshot,
    };
}
