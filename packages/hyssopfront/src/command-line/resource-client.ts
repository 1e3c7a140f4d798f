/**
 * Applies and reads resources through the operator API.
 */
import { setTimeout as delay } from "node:timers/promises";
import type { ConditionStatus, ResourceWithStatus } from "../operator-api/messages.js";
import { ConditionType } from "../operator-api/messages.js";
import { COLLECTION_NAMES, ResourceKind } from "../resources/resource.js";
import { CommandError, ExitCode } from "./exit-code.js";
import { type ApiClient, type ApiResponse, exitCodeFor } from "./http-client.js";

/** A resource as declared in a file for `apply`. */
export type ResourceDeclaration = { readonly kind: ResourceKind; readonly name: string; readonly spec: unknown };

/**
 * Parses a kind, given as its name, its plural or its path segment, in upper or lower case.
 *
 * @throws CommandError that lists the known kinds.
 */
export function parseKind(text: string): ResourceKind {
    const wanted = text.toLowerCase().replaceAll("-", "");
    const kind = Object.values(ResourceKind).find(candidate => {
        const singular = candidate.toLowerCase();
        return [singular, `${singular}s`].includes(wanted);
    });
    if (kind === undefined) {
        const known = Object.values(COLLECTION_NAMES).join(", ");
        throw new CommandError(ExitCode.Usage, "kind", "", `"${text}" is not a kind. Use one of ${known}.`);
    }
    return kind;
}

/** Path of a resource in the operator API. */
export const resourcePath = (kind: ResourceKind, name: string): string => `/v1/${COLLECTION_NAMES[kind]}/${name}`;

/**
 * Reads a resource.
 *
 * @returns The resource; undefined when it does not exist.
 * @throws CommandError when the request fails.
 */
export async function readResource(
    client: ApiClient,
    kind: ResourceKind,
    name: string,
): Promise<ResourceWithStatus | undefined> {
    const response = await client.send({ method: "GET", path: resourcePath(kind, name) });
    if (response.status === 404) {
        return undefined;
    }
    assertSuccess(response, `read ${kind} ${name}`);
    return response.body as unknown as ResourceWithStatus;
}

function assertSuccess(response: ApiResponse, step: string): void {
    if (response.status >= 400) {
        throw new CommandError(
            exitCodeFor(response),
            step,
            response.server,
            String(response.body.message ?? response.status),
        );
    }
}

/**
 * Creates a resource, or replaces its current revision.
 *
 * @returns Body of the response.
 * @throws CommandError when the request fails, with `Conflict` when another change came in between.
 */
export async function applyResource(
    client: ApiClient,
    declaration: ResourceDeclaration,
): Promise<Record<string, unknown>> {
    const current = await readResource(client, declaration.kind, declaration.name);
    const response = await client.sendChecked({
        method: "PUT",
        path: resourcePath(declaration.kind, declaration.name),
        body: { spec: declaration.spec, revision: current?.revision ?? 0 },
    });
    return response.body;
}

const POLL_INTERVAL_MS = 100;

/** Finds the condition of a resource by type. */
export const findCondition = (resource: ResourceWithStatus | undefined, type: ConditionType) =>
    resource?.status.conditions.find(condition => condition.type === type);

/**
 * Waits until the current generation of a resource is in force on all entries.
 *
 * @returns The resource once it is in force.
 * @throws CommandError with `NotInForce` and the reason of the delay when it is not in force within the given time.
 */
export async function waitUntilInForce(
    client: ApiClient,
    kind: ResourceKind,
    name: string,
    timeoutMilliseconds: number,
): Promise<ResourceWithStatus> {
    const deadline = Date.now() + timeoutMilliseconds;
    for (;;) {
        const resource = await readResource(client, kind, name);
        const condition = findCondition(resource, ConditionType.InForce);
        if (resource !== undefined && condition?.status === ("True" as ConditionStatus)) {
            return resource;
        }
        if (Date.now() > deadline) {
            const reason = condition?.message ?? "The object does not exist.";
            throw new CommandError(
                ExitCode.NotInForce,
                `${kind} ${name}`,
                "",
                `Not in force after ${timeoutMilliseconds / 1_000} s. ${reason}`,
            );
        }
        await delay(POLL_INTERVAL_MS);
    }
}
