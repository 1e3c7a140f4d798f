/**
 * Declares and reads resources through the operators' API.
 */
import { setTimeout as delay } from "node:timers/promises";
import type { ConditionStatus, ResourceWithStatus } from "../operator-api/messages.js";
import { ConditionType } from "../operator-api/messages.js";
import { COLLECTION_NAMES, ResourceKind } from "../resources/resource.js";
import { CommandError, ExitCode } from "./exit-code.js";
import { type ApiClient, type ApiResponse, exitCodeFor } from "./http-client.js";

/** An object in a file for `apply`. */
export type ResourceDeclaration = { readonly kind: ResourceKind; readonly name: string; readonly spec: unknown };

/**
 * Finds a kind by its name, its plural or its path segment, in any case.
 *
 * @throws CommandError with the known kinds.
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

export const resourcePath = (kind: ResourceKind, name: string): string => `/v1/${COLLECTION_NAMES[kind]}/${name}`;

/** Reads one object; undefined when there is none. */
export async function readResource(
    client: ApiClient,
    kind: ResourceKind,
    name: string,
): Promise<ResourceWithStatus | undefined> {
    const answer = await client.send({ method: "GET", path: resourcePath(kind, name) });
    if (answer.status === 404) {
        return undefined;
    }
    assertSuccess(answer, `read ${kind} ${name}`);
    return answer.body as unknown as ResourceWithStatus;
}

function assertSuccess(answer: ApiResponse, step: string): void {
    if (answer.status >= 400) {
        throw new CommandError(exitCodeFor(answer), step, answer.server, String(answer.body.message ?? answer.status));
    }
}

/** Creates or replaces an object at the revision that is current now. */
export async function applyResource(
    client: ApiClient,
    declaration: ResourceDeclaration,
): Promise<Record<string, unknown>> {
    const current = await readResource(client, declaration.kind, declaration.name);
    const answer = await client.sendChecked({
        method: "PUT",
        path: resourcePath(declaration.kind, declaration.name),
        body: { spec: declaration.spec, revision: current?.revision ?? 0 },
    });
    return answer.body;
}

const POLL_INTERVAL_MS = 100;

/** Condition of an object by type. */
export const findCondition = (resource: ResourceWithStatus | undefined, type: ConditionType) =>
    resource?.status.conditions.find(condition => condition.type === type);

/**
 * Waits until a change is in force.
 *
 * @throws CommandError with `NotInForce`, naming what holds the change up, after the given time.
 */
export async function waitUntilInForce(
    client: ApiClient,
    kind: ResourceKind,
    name: string,
    milliseconds: number,
): Promise<ResourceWithStatus> {
    const end = Date.now() + milliseconds;
    for (;;) {
        const resource = await readResource(client, kind, name);
        const condition = findCondition(resource, ConditionType.InForce);
        if (resource !== undefined && condition?.status === ("True" as ConditionStatus)) {
            return resource;
        }
        if (Date.now() > end) {
            const reason = condition?.message ?? "The object does not exist.";
            throw new CommandError(
                ExitCode.NotInForce,
                `${kind} ${name}`,
                "",
                `Not in force after ${milliseconds / 1_000} s. ${reason}`,
            );
        }
        await delay(POLL_INTERVAL_MS);
    }
}
