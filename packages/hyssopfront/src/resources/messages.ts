/**
 * Replicated commands of the resource state and the responses to them.
 */
import { decode, encode } from "cbor-x";
import { z } from "zod";
import { nameSchema, type Resource, ResourceKind } from "./resource.js";

/** Version of the command encoding; a replica stops at a command of a later version instead of skipping it. */
export const COMMAND_VERSION = 1;
export const MAXIMUM_REQUEST_ID_LENGTH = 128;

/** Kinds of commands in the replicated log. */
export enum CommandKind {
    Put = "put",
    Delete = "delete",
    RegisterEntry = "registerEntry",
    RemoveEntry = "removeEntry",
}

/** Request id that a client chooses: printable ASCII without spaces. */
export const requestIdSchema = z.string().min(1).max(MAXIMUM_REQUEST_ID_LENGTH)
    .regex(/^[\x21-\x7e]+$/, "Use printable ASCII without spaces.");

const changeFields = {
    requestId: requestIdSchema,
    /** Digest of the request as the operator sent it. Distinguishes a retry from another request with the same id. */
    fingerprint: z.string().length(64),
    /** Wall-clock milliseconds, set by the leader. Only used for the age of stored responses and for display. */
    proposedAt: z.number().nonnegative(),
    kind: z.enum(ResourceKind),
    name: nameSchema,
    /** Revision that the resource must have; 0 when the resource must not exist. */
    expectedRevision: z.int().nonnegative(),
};

/** Command that creates or replaces a resource. */
export const putCommandSchema = z.object({
    command: z.literal(CommandKind.Put),
    ...changeFields,
    /**
     * Validated by the schema of its kind before the proposal and not when the command is applied, because replicas of
     * different versions may have different schemas.
     */
    spec: z.record(z.string(), z.unknown()),
});
/** Command that deletes a resource. */
export const deleteCommandSchema = z.object({ command: z.literal(CommandKind.Delete), ...changeFields });

export const entryRegistrationSchema = z.object({
    name: nameSchema,
    address: z.string().max(64),
    callerPort: z.int(),
    peerPort: z.int(),
    availabilityZone: nameSchema,
    isLeaving: z.boolean(),
});
/** Address and ports of a registered entry. */
export type EntryRegistration = z.infer<typeof entryRegistrationSchema>;

const registerEntrySchema = z.object({
    command: z.literal(CommandKind.RegisterEntry),
    entry: entryRegistrationSchema,
});
const removeEntrySchema = z.object({ command: z.literal(CommandKind.RemoveEntry), name: nameSchema });

export const changeCommandSchema = z.discriminatedUnion("command", [putCommandSchema, deleteCommandSchema]);
/** A change that an operator requests. */
export type ChangeCommand = z.infer<typeof changeCommandSchema>;

export const resourceCommandSchema = z.discriminatedUnion("command", [
    putCommandSchema,
    deleteCommandSchema,
    registerEntrySchema,
    removeEntrySchema,
]);
/** Any command of the replicated log. */
export type ResourceCommand = z.infer<typeof resourceCommandSchema>;

/** Result of a command. */
export enum ChangeResult {
    Created = "created",
    Updated = "updated",
    /** The put has the current spec, or the registration the current data. */
    Unchanged = "unchanged",
    Deleted = "deleted",
    /** The revision of the resource differs from the expected one. */
    Conflict = "conflict",
    NotFound = "notFound",
    /** The spec refers to a resource that does not exist, or its references contradict each other. */
    Invalid = "invalid",
    /** Other resources refer to the resource, so it cannot be deleted. */
    InUse = "inUse",
    TooLarge = "tooLarge",
    /** The number of resources or the total size of specs is at its limit. */
    LimitReached = "limitReached",
    RequestIdReused = "requestIdReused",
    /** The store of responses is full until the oldest ones expire. */
    TooManyChanges = "tooManyChanges",
}

/** Current state of the resource that a rejected change was for, without its spec when the spec is large. */
export type CurrentResource = Omit<Resource, "spec"> & { readonly spec?: Resource["spec"] };

/** Response to a command, equal on all replicas. */
export type CommandResponse = {
    readonly result: ChangeResult;
    /** Revision of the resource after the change; 0 when the change was rejected. */
    readonly revision: number;
    readonly generation: number;
    readonly message?: string;
    /** Path of the field that caused the rejection, such as `spec.links.0.to`. */
    readonly field?: string;
    readonly current?: CurrentResource;
};

/** The command cannot be decoded by this version. */
export class CommandFormatError extends Error {
    readonly step = "decode command";
    override readonly name = "CommandFormatError";
}

/** Encodes a command for the replicated log. */
export function encodeCommand(command: ResourceCommand): Uint8Array {
    return encode({ version: COMMAND_VERSION, command });
}

/**
 * Decodes a command of the replicated log.
 *
 * @throws CommandFormatError when a later version wrote it or when it is malformed.
 */
export function decodeCommand(payload: Uint8Array): ResourceCommand {
    const decoded = decode(payload) as { version?: unknown; command?: unknown } | undefined;
    if (decoded?.version !== COMMAND_VERSION) {
        throw new CommandFormatError(
            `The log holds a command of version ${String(decoded?.version)}; this program reads ${COMMAND_VERSION}.`,
        );
    }
    const parsed = resourceCommandSchema.safeParse(decoded.command);
    if (!parsed.success) {
        throw new CommandFormatError(`The log holds a malformed command: ${z.prettifyError(parsed.error)}.`);
    }
    return parsed.data;
}
