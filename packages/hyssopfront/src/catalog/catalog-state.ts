/**
 * Replicated state machine of the catalog. It holds the highest version of each item, deletions included, and the latest
 * departures of backend servers.
 */
import { decode, encode } from "cbor-x";
import { type ClientAccount, findSharedKeyHash } from "../client-accounts/client-account.js";
import { createDepartures, type Departure } from "./departures.js";
import { type Item, itemKey, ItemKind } from "./items.js";
import { type ChangePart, createStagedChanges } from "./staged-changes.js";

/** Kinds of commands that the log replicates. */
export enum CommandKind {
    /** Sets and deletes items with the given versions. */
    Change = "change",
    /** Adds a part of a change, which takes effect as `Change` once all of its parts are there. */
    ChangePart = "change-part",
    /** Sets whether an availability zone is evacuated. The version of the item is the log index of the command. */
    Evacuate = "evacuate",
    /** Records the departure of a backend server. */
    Depart = "depart",
}

/** Command of the replicated log. */
export type CatalogCommand =
    | { readonly kind: CommandKind.Change; readonly items: readonly Item[] }
    | { readonly kind: CommandKind.ChangePart } & ChangePart
    | {
        readonly kind: CommandKind.Evacuate;
        readonly availabilityZone: string;
        readonly isActive: boolean;
        /**
         * The command takes effect only if the evacuation of the zone has this version, or `NO_VERSION` if it was never
         * evacuated. Undefined in commands of earlier releases, which always take effect.
         */
        readonly expectedVersion?: number;
    }
    | { readonly kind: CommandKind.Depart; readonly departure: Departure };

/** Version of an item that does not exist; log indexes start at 1. */
export const NO_VERSION = 0;

/** Result of a command. */
export type CommandResult = {
    /** Reason of the rejection, or undefined when the command was accepted. */
    readonly error: string | undefined;
    /** True when the command had no effect, because its item has changed since its sender read it. */
    readonly isSuperseded?: boolean;
    /** True when the command was a part of a change that is not complete yet. */
    readonly isIncomplete?: boolean;
};

/** State machine of the catalog. */
export type CatalogState = {
    /** Applies one committed command. */
    apply(index: number, command: CatalogCommand): CommandResult;
    /** Returns all items, deleted ones included. */
    items(): readonly Item[];
    /** Returns the item with this kind and name, which may be deleted, or undefined if there is none. */
    find(kind: ItemKind, name: string): Item | undefined;
    /** Returns the latest departures, the oldest first. */
    departures(): readonly Departure[];
    /** Returns the numbers of the parts that are there of a change that is not complete. */
    findStagedParts(changeId: string): ReadonlySet<number>;
    /** Encodes all items, departures and parts of changes. */
    takeSnapshot(): Uint8Array;
    /** Replaces all items, departures and parts of changes by those of a snapshot. */
    restoreSnapshot(payload: Uint8Array): void;
};

/** Encodes a command for the log. */
export const encodeCommand = (command: CatalogCommand): Uint8Array => encode(command);
/** Items of earlier releases have a decoded source. */
const upgradeItem = (item: Item): Item => {
    const source: unknown = item.source;
    return source === undefined || typeof source === "string" ? item : { ...item, source: JSON.stringify(source) };
};

/** Decodes a command that `encodeCommand` has encoded. */
export const decodeCommand = (payload: Uint8Array): CatalogCommand => {
    const command = decode(payload) as CatalogCommand;
    return "items" in command ? { ...command, items: command.items.map(upgradeItem) } : command;
};

const ACCEPTED: CommandResult = { error: undefined };
const SUPERSEDED: CommandResult = { error: undefined, isSuperseded: true };
const INCOMPLETE: CommandResult = { error: undefined, isIncomplete: true };

/** Snapshots of earlier releases have no parts of changes, or are a list of the items. */
type Snapshot = {
    readonly items: readonly Item[];
    readonly departures: readonly Departure[];
    readonly stagedParts?: readonly ChangePart[];
};

const decodeSnapshot = (payload: Uint8Array): Snapshot => {
    const decoded = decode(payload) as Snapshot | readonly Item[];
    const snapshot = "items" in decoded ? decoded : { items: decoded, departures: [] };
    return { ...snapshot, items: snapshot.items.map(upgradeItem) };
};

/** Called with what a command or a snapshot has changed. */
export type CatalogObserver = {
    onItems(items: readonly Item[]): void;
    onDepartures(departures: readonly Departure[]): void;
};

/** Observer that ignores all changes. */
export const NO_CATALOG_OBSERVER: CatalogObserver = { onItems: () => undefined, onDepartures: () => undefined };

/** Creates an empty state. */
export function createCatalogState({ onItems, onDepartures }: CatalogObserver): CatalogState {
    let items = new Map<string, Item>();
    let departures = createDepartures([]);
    let stagedChanges = createStagedChanges([]);

    /** A lower or equal version is ignored regardless of its content, so the first content of a version is final. */
    const isNewer = (item: Item) => item.version > (items.get(itemKey(item.kind, item.name))?.version ?? -Infinity);

    const store = (changed: readonly Item[]) => {
        changed.forEach(item => items.set(itemKey(item.kind, item.name), item));
        if (changed.length > 0) {
            onItems(changed);
        }
    };

    const findUnknownService = (changed: readonly Item[]) => {
        const changedServices = new Map(
            changed.filter(({ kind }) => kind === ItemKind.Service).map(item => [item.name, item]),
        );
        const findService = (name: string) => changedServices.get(name) ?? items.get(itemKey(ItemKind.Service, name));
        return changed
            .flatMap(({ value }) => value?.kind === ItemKind.Route ? value.route.services : [])
            .find(({ service }) => findService(service)?.value === undefined)?.service;
    };

    /** Returns the accounts after a change that sets some of them, or none if the change sets no account. */
    const listAccountsAfter = (changed: readonly Item[]): readonly ClientAccount[] => {
        const changedAccounts = new Map(
            changed.filter(({ kind }) => kind === ItemKind.ClientAccount).map(
                item => [itemKey(item.kind, item.name), item],
            ),
        );
        return changedAccounts.size === 0
            ? []
            : [...new Map([...items, ...changedAccounts]).values()]
                .flatMap(({ value }) => value?.kind === ItemKind.ClientAccount ? [value.account] : []);
    };

    const applyChange = (submitted: readonly Item[]): CommandResult => {
        // Only items that take effect are validated: a change that was accepted must not be rejected when it is resent.
        const changed = [...new Map(
            submitted.filter(isNewer).sort((a, b) => a.version - b.version)
                .map(item => [itemKey(item.kind, item.name), item]),
        ).values()];
        const unknownService = findUnknownService(changed);
        if (unknownService !== undefined) {
            return { error: `The service ${unknownService} is not known.` };
        }
        if (findSharedKeyHash(listAccountsAfter(changed)) !== undefined) {
            return { error: "Two client accounts share a key." };
        }
        store(changed);
        return ACCEPTED;
    };

    const applyPart = (part: ChangePart): CommandResult => {
        const items = stagedChanges.add(part);
        return items === undefined ? INCOMPLETE : applyChange(items);
    };

    const applyEvacuation = (
        index: number,
        { availabilityZone, isActive, expectedVersion }: Extract<CatalogCommand, { kind: CommandKind.Evacuate }>,
    ): CommandResult => {
        const kind = ItemKind.Evacuation;
        const current = items.get(itemKey(kind, availabilityZone));
        const isCurrentlyActive = current?.value?.kind === kind && current.value.isActive;
        if (isCurrentlyActive === isActive) {
            return ACCEPTED;
        }
        if (expectedVersion !== undefined && expectedVersion !== (current?.version ?? NO_VERSION)) {
            return SUPERSEDED;
        }
        const value = { kind, isActive } as const;
        store([{ kind, name: availabilityZone, version: index, value, source: undefined }]);
        return ACCEPTED;
    };

    const applyDeparture = (departure: Departure): CommandResult => {
        if (departures.add(departure)) {
            onDepartures([departure]);
        }
        return ACCEPTED;
    };

    return {
        apply: (index, command) => {
            switch (command.kind) {
                case CommandKind.Change:
                    return applyChange(command.items);
                case CommandKind.ChangePart:
                    return applyPart(command);
                case CommandKind.Evacuate:
                    return applyEvacuation(index, command);
                case CommandKind.Depart:
                    return applyDeparture(command.departure);
            }
        },
        items: () => [...items.values()],
        find: (kind, name) => items.get(itemKey(kind, name)),
        departures: () => departures.list(),
        findStagedParts: changeId => stagedChanges.findParts(changeId),
        takeSnapshot: () => {
            const snapshot: Snapshot = {
                items: [...items.values()],
                departures: departures.list(),
                stagedParts: stagedChanges.list(),
            };
            return encode(snapshot);
        },
        restoreSnapshot: payload => {
            const restored = decodeSnapshot(payload);
            items = new Map(restored.items.map(item => [itemKey(item.kind, item.name), item]));
            departures = createDepartures(restored.departures);
            stagedChanges = createStagedChanges(restored.stagedParts ?? []);
            onItems(restored.items);
            onDepartures(restored.departures);
        },
    };
}
