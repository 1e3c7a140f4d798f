/**
 * Faults of disks: the file operations that fail in turn.
 */
import { type DiskFault, DiskOperation } from "./failing-disk.steps.js";

const VOTE = /^vote/;
const SEGMENT = /^log-/;
const SNAPSHOT = /^snapshot/;
const IDENTITY = /^identity/;
const VOTERS = /^first-voters/;

const on = (pattern: RegExp, ...operations: readonly DiskOperation[]): DiskFault => (operation, name) =>
    operations.includes(operation) && pattern.test(name);
const onHeader = (operation: DiskOperation): DiskFault => (actual, name, position) =>
    actual === operation && SEGMENT.test(name) && position === 0;
const onRecords = (operation: DiskOperation): DiskFault => (actual, name, position) =>
    actual === operation && SEGMENT.test(name) && position > 0;

/** Faults that only an election shows. */
export const ELECTION_FAULTS: Readonly<Record<string, DiskFault>> = {
    "creation of the vote": on(VOTE, DiskOperation.Create),
    "write of the vote": on(VOTE, DiskOperation.Write),
    "sync of the vote": on(VOTE, DiskOperation.Sync),
    "rename of the vote": on(VOTE, DiskOperation.Rename),
};

/** Faults that only a conflict of entries shows. */
export const CONFLICT_FAULTS: Readonly<Record<string, DiskFault>> = {
    "truncation of a conflict": on(SEGMENT, DiskOperation.Truncate),
};

/** Faults that changes show. */
export const CHANGE_FAULTS: Readonly<Record<string, DiskFault>> = {
    "all operations": () => true,
    "all operations that need room": operation =>
        operation !== DiskOperation.Unlink && operation !== DiskOperation.Truncate,
    "creation of a segment": on(SEGMENT, DiskOperation.Create),
    "write of the header of a segment": onHeader(DiskOperation.Write),
    "sync of the header of a segment": onHeader(DiskOperation.Sync),
    "append": onRecords(DiskOperation.Write),
    "sync of an append": onRecords(DiskOperation.Sync),
    "append, and truncation when the log is opened": (operation, name, position) =>
        onRecords(DiskOperation.Write)(operation, name, position) ||
        on(SEGMENT, DiskOperation.Truncate)(operation, name, 0),
    "sync of the folder": on(/./, DiskOperation.SyncFolder),
    "creation of a snapshot": on(SNAPSHOT, DiskOperation.Create),
    "write of a snapshot": on(SNAPSHOT, DiskOperation.Write),
    "sync of a snapshot": on(SNAPSHOT, DiskOperation.Sync),
    "rename of a snapshot": on(SNAPSHOT, DiskOperation.Rename),
    "removal of a segment": on(SEGMENT, DiskOperation.Unlink),
    "removal of any file": on(/./, DiskOperation.Unlink),
};

/** Faults that the first start of an instance shows. */
export const START_FAULTS: Readonly<Record<string, DiskFault>> = {
    "all operations": () => true,
    "creation of the folder": on(/./, DiskOperation.MakeFolder),
    "creation of the identity": on(IDENTITY, DiskOperation.Create),
    "write of the identity": on(IDENTITY, DiskOperation.Write),
    "sync of the identity": on(IDENTITY, DiskOperation.Sync),
    "rename of the identity": on(IDENTITY, DiskOperation.Rename),
    "sync of the folder": on(/./, DiskOperation.SyncFolder),
    "write of the vote": on(VOTE, DiskOperation.Write),
    "write of the header of a segment": onHeader(DiskOperation.Write),
};

/** Faults that the first start of a seed shows. */
export const SEED_FAULTS: Readonly<Record<string, DiskFault>> = {
    "creation of the list of voters": on(VOTERS, DiskOperation.Create),
    "write of the list of voters": on(VOTERS, DiskOperation.Write),
    "sync of the list of voters": on(VOTERS, DiskOperation.Sync),
    "rename of the list of voters": on(VOTERS, DiskOperation.Rename),
};
