/**
 * Turns puts and deletes into commands, and answers of commands into HTTP answers.
 */
import { createHash, randomUUID } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { z } from "zod";
import type { ChangeCommand, CommandResponse } from "../resources/messages.js";
import { ChangeResult, CommandKind, requestIdSchema } from "../resources/messages.js";
import { type Resource, type ResourceKind, SPEC_SCHEMAS } from "../resources/resource.js";
import { type PutBody, putBodySchema } from "./messages.js";
import { ApiError } from "./responses.js";

/** The object that a request is about. */
export type ResourceId = { readonly kind: ResourceKind; readonly name: string };

const header = (request: IncomingMessage, name: string) => {
    const value = request.headers[name];
    return Array.isArray(value) ? value.join(", ") : value;
};

/** Reads the `Request-Id`, or makes one for a client that does not resend. */
export function readRequestId(request: IncomingMessage): string {
    const given = header(request, "request-id");
    if (given === undefined) {
        return randomUUID();
    }
    const parsed = requestIdSchema.safeParse(given);
    if (!parsed.success) {
        throw new ApiError(400, "requestId", "The Request-Id must be 1 to 128 printable ASCII characters.");
    }
    return parsed.data;
}

/** Reads the revision of `If-Match`, as `"12"`. */
function readIfMatch(request: IncomingMessage): number | undefined {
    const given = header(request, "if-match");
    if (given === undefined) {
        return undefined;
    }
    const [, revision] = /^"(\d{1,15})"$/.exec(given.trim()) ?? [];
    if (revision === undefined) {
        throw new ApiError(400, "ifMatch", "If-Match must be one revision in double quotes, such as \"12\".");
    }
    return Number(revision);
}

function parse<T>(schema: z.ZodType<T>, value: unknown, path: readonly string[]): T {
    const parsed = schema.safeParse(value);
    if (parsed.success) {
        return parsed.data;
    }
    const issue = parsed.error.issues[0];
    const unknownKeys = issue?.code === "unrecognized_keys" ? issue.keys.slice(0, 1) : [];
    const field = [...path, ...(issue?.path ?? []), ...unknownKeys].map(String).join(".");
    throw new ApiError(422, "invalid", issue?.message ?? "The value is not valid.", { field });
}

/** Encodes with sorted keys, so that a resend by another JSON writer is recognized. */
function canonicalJson(value: unknown): string {
    return JSON.stringify(
        value,
        (_key, member: unknown) =>
            member instanceof Object && !Array.isArray(member)
                ? Object.fromEntries(Object.entries(member).sort(([a], [b]) => a < b ? -1 : 1))
                : member,
    );
}

const fingerprintOf = (parts: readonly unknown[]) => createHash("sha256").update(canonicalJson(parts)).digest("hex");

function checkResourceId(body: PutBody, { kind, name }: ResourceId): void {
    if (body.kind !== undefined && body.kind !== kind) {
        throw new ApiError(422, "invalid", `The path names the kind ${kind}.`, { field: "kind" });
    }
    if (body.name !== undefined && body.name !== name) {
        throw new ApiError(422, "invalid", `The path names the object ${name}.`, { field: "name" });
    }
}

/**
 * Makes the command of a put. Without a revision it creates.
 *
 * @param body Parsed JSON of the request.
 * @throws ApiError 400 or 422.
 */
export function createPutCommand(
    request: IncomingMessage,
    requestId: string,
    target: ResourceId,
    body: unknown,
    proposedAt: number,
): ChangeCommand {
    const put = parse(putBodySchema, body, []);
    checkResourceId(put, target);
    const ifMatch = readIfMatch(request);
    if (ifMatch !== undefined && put.revision !== undefined && ifMatch !== put.revision) {
        throw new ApiError(400, "ifMatch", "If-Match and the revision in the body differ.");
    }
    const expectedRevision = ifMatch ?? put.revision ?? 0;
    const spec = parse<unknown>(SPEC_SCHEMAS[target.kind], put.spec, ["spec"]) as Record<string, unknown>;
    const { kind, name } = target;
    // The spec as sent, not with defaults: a resend must match after an upgrade that changed a default.
    const fingerprint = fingerprintOf([CommandKind.Put, kind, name, expectedRevision, put.spec]);
    return { command: CommandKind.Put, requestId, fingerprint, proposedAt, kind, name, expectedRevision, spec };
}

/** Makes the command of a delete, which needs an `If-Match`. */
export function createDeleteCommand(
    request: IncomingMessage,
    requestId: string,
    { kind, name }: ResourceId,
    proposedAt: number,
): ChangeCommand {
    const expectedRevision = readIfMatch(request);
    if (expectedRevision === undefined) {
        throw new ApiError(400, "ifMatch", "A delete needs If-Match with the revision of the object.");
    }
    const fingerprint = fingerprintOf([CommandKind.Delete, kind, name, expectedRevision]);
    return { command: CommandKind.Delete, requestId, fingerprint, proposedAt, kind, name, expectedRevision };
}

const STATUS_CODES: Readonly<Record<ChangeResult, number>> = {
    [ChangeResult.Created]: 201,
    [ChangeResult.Updated]: 200,
    [ChangeResult.Unchanged]: 200,
    [ChangeResult.Deleted]: 200,
    [ChangeResult.Conflict]: 409,
    [ChangeResult.NotFound]: 404,
    [ChangeResult.Invalid]: 422,
    [ChangeResult.InUse]: 409,
    [ChangeResult.TooLarge]: 413,
    [ChangeResult.LimitReached]: 422,
    [ChangeResult.RequestIdReused]: 409,
    [ChangeResult.TooManyChanges]: 503,
};

/**
 * Makes the body of a successful change.
 *
 * @throws ApiError for a refused one.
 */
export function toHttpResponse(
    command: ChangeCommand,
    answer: CommandResponse,
): { statusCode: number; body: Partial<Resource> & { result: ChangeResult } } {
    const { result, revision, generation, message, field, current } = answer;
    const statusCode = STATUS_CODES[result];
    if (statusCode >= 300) {
        throw new ApiError(
            statusCode,
            result,
            message ?? "The change was refused.",
            { field, current },
            result === ChangeResult.TooManyChanges ? { "Retry-After": "60" } : {},
        );
    }
    const { kind, name } = command;
    const spec = command.command === CommandKind.Put ? { spec: command.spec as Resource["spec"] } : {};
    return { statusCode, body: { kind, name, generation, revision, ...spec, result } };
}
