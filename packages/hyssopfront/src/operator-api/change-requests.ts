/**
 * Converts puts and deletes into commands, and the responses to commands into HTTP responses.
 */
import { createHash, randomUUID } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { z } from "zod";
import type { ChangeCommand, CommandResponse } from "../resources/messages.js";
import { ChangeResult, CommandKind, requestIdSchema } from "../resources/messages.js";
import { type Resource, type ResourceKind, SPEC_SCHEMAS } from "../resources/resource.js";
import { type PutBody, putBodySchema } from "./messages.js";
import { ApiError } from "./responses.js";

/** Identifies the resource of a request. */
export type ResourceId = { readonly kind: ResourceKind; readonly name: string };

const readHeader = (request: IncomingMessage, name: string) => {
    const value = request.headers[name];
    return Array.isArray(value) ? value.join(", ") : value;
};

/**
 * Reads the header `Request-Id`, or generates an id for a client that does not retry.
 *
 * @throws ApiError 400 when the header is not valid.
 */
export function readRequestId(request: IncomingMessage): string {
    const value = readHeader(request, "request-id");
    if (value === undefined) {
        return randomUUID();
    }
    const parsed = requestIdSchema.safeParse(value);
    if (!parsed.success) {
        throw new ApiError(400, "requestId", "The Request-Id must be 1 to 128 printable ASCII characters.");
    }
    return parsed.data;
}

/** Reads the revision in the header `If-Match`, such as `"12"`. */
function readIfMatch(request: IncomingMessage): number | undefined {
    const value = readHeader(request, "if-match");
    if (value === undefined) {
        return undefined;
    }
    const [, revision] = /^"(\d{1,15})"$/.exec(value.trim()) ?? [];
    if (revision === undefined) {
        throw new ApiError(400, "ifMatch", "If-Match must be one revision in double quotes, such as \"12\".");
    }
    return Number(revision);
}

function validate<T>(schema: z.ZodType<T>, value: unknown, path: readonly string[]): T {
    const parsed = schema.safeParse(value);
    if (parsed.success) {
        return parsed.data;
    }
    const issue = parsed.error.issues[0];
    const unknownKeys = issue?.code === "unrecognized_keys" ? issue.keys.slice(0, 1) : [];
    const field = [...path, ...(issue?.path ?? []), ...unknownKeys].map(String).join(".");
    throw new ApiError(422, "invalid", issue?.message ?? "The value is not valid.", { field });
}

/** Encodes with sorted keys, so that a retry is recognized when its keys are in another order. */
function canonicalJson(value: unknown): string {
    return JSON.stringify(
        value,
        (_key, member: unknown) =>
            member instanceof Object && !Array.isArray(member)
                ? Object.fromEntries(Object.entries(member).sort(([a], [b]) => a < b ? -1 : 1))
                : member,
    );
}

const computeFingerprint = (parts: readonly unknown[]) =>
    createHash("sha256").update(canonicalJson(parts)).digest("hex");

function checkResourceId(body: PutBody, { kind, name }: ResourceId): void {
    if (body.kind !== undefined && body.kind !== kind) {
        throw new ApiError(422, "invalid", `The path names the kind ${kind}.`, { field: "kind" });
    }
    if (body.name !== undefined && body.name !== name) {
        throw new ApiError(422, "invalid", `The path names the object ${name}.`, { field: "name" });
    }
}

/**
 * Creates the command of a put. Without a revision the command creates the resource.
 *
 * @param body Parsed JSON of the request.
 * @throws ApiError 400 or 422.
 */
export function createPutCommand(
    request: IncomingMessage,
    requestId: string,
    resourceId: ResourceId,
    body: unknown,
    proposedAt: number,
): ChangeCommand {
    const put = validate(putBodySchema, body, []);
    checkResourceId(put, resourceId);
    const ifMatch = readIfMatch(request);
    if (ifMatch !== undefined && put.revision !== undefined && ifMatch !== put.revision) {
        throw new ApiError(400, "ifMatch", "If-Match and the revision in the body differ.");
    }
    const expectedRevision = ifMatch ?? put.revision ?? 0;
    const spec = validate<unknown>(SPEC_SCHEMAS[resourceId.kind], put.spec, ["spec"]) as Record<string, unknown>;
    const { kind, name } = resourceId;
    // The fingerprint covers the spec as sent, without defaults: a retry must match after an upgrade that changed one.
    const fingerprint = computeFingerprint([CommandKind.Put, kind, name, expectedRevision, put.spec]);
    return { command: CommandKind.Put, requestId, fingerprint, proposedAt, kind, name, expectedRevision, spec };
}

/**
 * Creates the command of a delete, which requires the header `If-Match`.
 *
 * @throws ApiError 400.
 */
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
    const fingerprint = computeFingerprint([CommandKind.Delete, kind, name, expectedRevision]);
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
 * Converts the response to a command into the status code and body of the HTTP response.
 *
 * @throws ApiError when the change was rejected.
 */
export function toHttpResponse(
    command: ChangeCommand,
    response: CommandResponse,
): { statusCode: number; body: Partial<Resource> & { result: ChangeResult } } {
    const { result, revision, generation, message, field, current } = response;
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
