/**
 * Deterministic state machine of the consensus group for the configuration: declared resources, registered entries and
 * stored responses to changes.
 */
import { isDeepStrictEqual } from "node:util";
import type {
    ChangeCommand,
    CommandResponse,
    CurrentResource,
    EntryRegistration,
    ResourceCommand,
} from "./messages.js";
import { ChangeResult, CommandKind } from "./messages.js";
import { checkReferences, findReferrer } from "./references.js";
import { COLLECTION_NAMES, MAXIMUM_RESOURCES_PER_KIND, type Resource, ResourceKind } from "./resource.js";
import { createResponseStore } from "./response-store.js";
import type { EntryRecord, ResourceRecord } from "./snapshot.js";
import { decodeSnapshot, encodeSnapshot } from "./snapshot.js";

/** Maximum size of a spec as JSON. A command with a spec of this size and its envelope fits in a frame of 4 MiB. */
export const MAXIMUM_SPEC_BYTES = 3 * 1024 * 1024;
/** Maximum size of all specs together. Limits the memory of the state; 780,000 client blocks take about 16 MiB. */
export const MAXIMUM_TOTAL_SPEC_BYTES = 64 * 1024 * 1024;
/** Maximum number of registered entries. */
export const MAXIMUM_ENTRIES = 2_000;
/** Larger specs are left out of responses to conflicts, because stored responses would keep them in memory. */
export const MAXIMUM_CONFLICT_SPEC_BYTES = 4 * 1024;

/** Collection name in the keys of entries in the publication. */
export const ENTRIES_COLLECTION = "entries";

/** A change to publish: `value` is the new resource or entry, or undefined for a deletion. */
export type ChangeRecord = { readonly key: string; readonly revision: number; readonly value: unknown };

/** Effect of one command: the response to it, and the changes to publish, which are none when it is rejected. */
export type AppliedCommand = { readonly response: CommandResponse; readonly changes: readonly ChangeRecord[] };

/** Replicated state. It depends only on the commands applied, so it is equal on all replicas. */
export type ResourceState = {
    /** Revision of the last command. */
    readonly revision: number;
    /** Revision of the last command that changed a resource or an entry. */
    readonly configurationRevision: number;
    /** Applies a command. The revision is its index in the replicated log. */
    apply(revision: number, command: ResourceCommand): AppliedCommand;
    get(kind: ResourceKind, name: string): Resource | undefined;
    /** Resources of a kind, sorted by name. */
    list(kind: ResourceKind): readonly Resource[];
    /** Wall-clock time at which the last change of the resource was proposed. */
    acceptedAt(kind: ResourceKind, name: string): Date | undefined;
    entries(): readonly EntryRegistration[];
    /** All resources and entries as change records. */
    items(): readonly ChangeRecord[];
    takeSnapshot(): Uint8Array;
    /**
     * Replaces the state.
     *
     * @throws SnapshotFormatError when the snapshot cannot be read; the state is unchanged then.
     */
    restoreSnapshot(payload: Uint8Array): void;
};

/** Limits of the state: counts of resources, entries and stored responses, and sizes of specs in bytes of JSON. */
export type ResourceLimits = {
    readonly resourcesPerKind: number;
    readonly specBytes: number;
    readonly totalSpecBytes: number;
    readonly entries: number;
    readonly storedResponses?: { readonly maximum?: number; readonly retained?: number };
};

const DEFAULT_LIMITS: ResourceLimits = {
    resourcesPerKind: MAXIMUM_RESOURCES_PER_KIND,
    specBytes: MAXIMUM_SPEC_BYTES,
    totalSpecBytes: MAXIMUM_TOTAL_SPEC_BYTES,
    entries: MAXIMUM_ENTRIES,
};

/** Key of a resource in the publication, such as `services/stoc`. */
export function resourceKey(kind: ResourceKind, name: string): string {
    return `${COLLECTION_NAMES[kind]}/${name}`;
}

/** Key of an entry in the publication, such as `entries/entry-1`. */
export function entryKey(name: string): string {
    return `${ENTRIES_COLLECTION}/${name}`;
}

const reject = (result: ChangeResult, message: string, details: Partial<CommandResponse> = {}): AppliedCommand => ({
    response: { result, revision: 0, generation: 0, message, ...details },
    changes: [],
});

const toCurrentResource = ({ resource, bytes }: ResourceRecord): CurrentResource =>
    bytes <= MAXIMUM_CONFLICT_SPEC_BYTES ? resource : { ...resource, spec: undefined };

/**
 * Creates an empty state.
 *
 * @param limits Must be equal on all replicas of a group.
 */
export function createResourceState(limits: ResourceLimits = DEFAULT_LIMITS): ResourceState {
    const records = new Map(Object.values(ResourceKind).map(kind => [kind, new Map<string, ResourceRecord>()]));
    const entries = new Map<string, EntryRecord>();
    const responses = createResponseStore(limits.storedResponses);
    let revision = 0;
    let configurationRevision = 0;
    let totalBytes = 0;
    /** Latest proposal time seen, so that the age of stored responses does not depend on the clock of a replica. */
    let stateTime = 0;

    const getRecords = (kind: ResourceKind) => records.get(kind) ?? new Map<string, ResourceRecord>();
    const allResources = () =>
        [...records.values()].flatMap(recordsByName => [...recordsByName.values()].map(record => record.resource));
    const exists = (kind: ResourceKind, name: string) => getRecords(kind).has(name);

    const conflict = (kind: ResourceKind, name: string, existing: ResourceRecord | undefined, expected: number) =>
        reject(
            ChangeResult.Conflict,
            existing === undefined
                ? `The ${kind} ${name} does not exist, but revision ${expected} was expected.`
                : `The ${kind} ${name} has revision ${existing.resource.revision}, not ${expected}.`,
            existing === undefined ? {} : { current: toCurrentResource(existing) },
        );

    const checkSize = (existing: ResourceRecord | undefined, kind: ResourceKind, bytes: number) => {
        if (bytes > limits.specBytes) {
            return reject(
                ChangeResult.TooLarge,
                `The spec takes ${bytes} bytes; the limit is ${limits.specBytes} bytes.`,
                { field: "spec" },
            );
        }
        if (existing === undefined && getRecords(kind).size >= limits.resourcesPerKind) {
            return reject(
                ChangeResult.LimitReached,
                `There are ${limits.resourcesPerKind} objects of kind ${kind}, which is the limit.`,
                { field: "kind" },
            );
        }
        if (totalBytes - (existing?.bytes ?? 0) + bytes > limits.totalSpecBytes) {
            return reject(
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
        const existing = getRecords(kind).get(name);
        if ((existing?.resource.revision ?? 0) !== expectedRevision) {
            return conflict(kind, name, existing, expectedRevision);
        }
        const encoded = JSON.stringify(spec);
        const bytes = Buffer.byteLength(encoded);
        const rejected = checkSize(existing, kind, bytes);
        if (rejected !== undefined) {
            return rejected;
        }
        const error = checkReferences(kind, name, spec, exists);
        if (error !== undefined) {
            return reject(ChangeResult.Invalid, error.message, { field: error.field });
        }
        if (existing !== undefined && JSON.stringify(existing.resource.spec) === encoded) {
            const { generation, revision: unchanged } = existing.resource;
            return { response: { result: ChangeResult.Unchanged, revision: unchanged, generation }, changes: [] };
        }
        const generation = (existing?.resource.generation ?? 0) + 1;
        const resource: Resource = { kind, name, generation, revision, spec };
        getRecords(kind).set(name, { resource, bytes, acceptedAt: command.proposedAt });
        totalBytes += bytes - (existing?.bytes ?? 0);
        const result = existing === undefined ? ChangeResult.Created : ChangeResult.Updated;
        return {
            response: { result, revision, generation },
            changes: [{ key: resourceKey(kind, name), revision, value: resource }],
        };
    };

    const remove = ({ kind, name, expectedRevision }: ChangeCommand): AppliedCommand => {
        const existing = getRecords(kind).get(name);
        if (existing === undefined) {
            return reject(ChangeResult.NotFound, `The ${kind} ${name} does not exist.`);
        }
        if (existing.resource.revision !== expectedRevision) {
            return conflict(kind, name, existing, expectedRevision);
        }
        const referrer = findReferrer(kind, name, allResources());
        if (referrer !== undefined) {
            return reject(ChangeResult.InUse, referrer.message, {
                field: referrer.field,
                current: toCurrentResource(existing),
            });
        }
        getRecords(kind).delete(name);
        totalBytes -= existing.bytes;
        return {
            response: { result: ChangeResult.Deleted, revision, generation: existing.resource.generation },
            changes: [{ key: resourceKey(kind, name), revision, value: undefined }],
        };
    };

    const change = (command: ChangeCommand): AppliedCommand => {
        stateTime = Math.max(stateTime, command.proposedAt);
        const stored = responses.get(command.requestId);
        if (stored !== undefined) {
            return stored.fingerprint === command.fingerprint
                ? { response: stored.answer, changes: [] }
                : reject(
                    ChangeResult.RequestIdReused,
                    `The request id ${command.requestId} was used for another request.`,
                );
        }
        if (!responses.evictExpired(stateTime)) {
            return reject(ChangeResult.TooManyChanges, "Too many changes were made in the last 24 h.");
        }
        const applied = command.command === CommandKind.Put ? put(command) : remove(command);
        const { requestId, fingerprint } = command;
        responses.add({ requestId, fingerprint, at: stateTime, answer: applied.response });
        return applied;
    };

    const registerEntry = (entry: EntryRegistration): AppliedCommand => {
        const existing = entries.get(entry.name);
        if (existing !== undefined && isDeepStrictEqual(existing.entry, entry)) {
            return {
                response: { result: ChangeResult.Unchanged, revision: existing.revision, generation: 0 },
                changes: [],
            };
        }
        if (existing === undefined && entries.size >= limits.entries) {
            return reject(ChangeResult.LimitReached, `There are ${limits.entries} entries, which is the limit.`);
        }
        entries.set(entry.name, { entry, revision });
        const result = existing === undefined ? ChangeResult.Created : ChangeResult.Updated;
        return {
            response: { result, revision, generation: 0 },
            changes: [{ key: entryKey(entry.name), revision, value: entry }],
        };
    };

    const removeEntry = (name: string): AppliedCommand => {
        if (!entries.delete(name)) {
            return reject(ChangeResult.NotFound, `The entry ${name} is not registered.`);
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
        records.forEach(recordsByName => recordsByName.clear());
        snapshot.records.forEach(record => getRecords(record.resource.kind).set(record.resource.name, record));
        totalBytes = snapshot.records.reduce((sum, record) => sum + record.bytes, 0);
        entries.clear();
        snapshot.entries.forEach(record => entries.set(record.entry.name, record));
        responses.restore(snapshot.answers);
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
        get: (kind, name) => getRecords(kind).get(name)?.resource,
        list: kind =>
            [...getRecords(kind).values()].map(record => record.resource)
                .sort((a, b) => a.name < b.name ? -1 : 1),
        acceptedAt: (kind, name) => {
            const record = getRecords(kind).get(name);
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
                records: [...records.values()].flatMap(recordsByName => [...recordsByName.values()]),
                entries: [...entries.values()],
                answers: responses.all(),
            }),
        restoreSnapshot,
    };
}
