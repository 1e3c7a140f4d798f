/**
 * Commands for resources: apply, get, describe, delete, watch.
 */
import { Command, Option } from "clipanion";
import { readFileSync } from "node:fs";
import { parse } from "smol-toml";
import { request } from "undici";
import { z } from "zod";
import { ConditionType, type ResourceWithStatus } from "../operator-api/messages.js";
import { COLLECTION_NAMES, nameSchema, ResourceKind } from "../resources/resource.js";
import { ControlCommand } from "./command-base.js";
import { CommandError, ExitCode } from "./exit-code.js";
import { formatJson } from "./output.js";
import {
    applyResource,
    findCondition,
    parseKind,
    readResource,
    type ResourceDeclaration,
    resourcePath,
    waitUntilInForce,
} from "./resource-client.js";

const RESOURCES = "Resources";
const fileSchema = z.strictObject({
    resources: z.array(z.strictObject({ kind: z.enum(ResourceKind), name: nameSchema, spec: z.unknown() })),
});

/**
 * Reads the declared resources of a TOML or JSON file.
 *
 * @throws CommandError that names the file, and the key if the content is invalid.
 */
export function readDeclarations(file: string): readonly ResourceDeclaration[] {
    let content: unknown;
    try {
        const text = readFileSync(file, "utf8");
        content = file.endsWith(".json") ? JSON.parse(text) : parse(text);
    }
    catch (error) {
        throw new CommandError(ExitCode.Usage, file, "", (error as Error).message.split("\n")[0] ?? "");
    }
    const result = fileSchema.safeParse(content);
    if (!result.success) {
        const issue = result.error.issues[0];
        throw new CommandError(ExitCode.Usage, file, "", `${issue?.path.join(".")}: ${issue?.message}`);
    }
    return result.data.resources as readonly ResourceDeclaration[];
}

const parseSeconds = (text: string) => {
    const seconds = Number(text);
    if (!Number.isFinite(seconds) || seconds < 0) {
        throw new CommandError(ExitCode.Usage, "--wait-seconds", "", "Use a number of seconds.");
    }
    return seconds * 1_000;
};

export class ApplyCommand extends ControlCommand {
    static override readonly paths = [["apply"]];
    static override readonly usage = Command.Usage({
        category: RESOURCES,
        description: "Declare the resources of a file and wait until they are in force.",
        details: "The file is TOML (tables `[[resources]]`) or JSON, with kind, name and spec of each resource, in an "
            + "order in which each refers to earlier ones.",
        examples: [["Declare a service", "$0 apply -f services.toml"]],
    });

    file = Option.String("--file,-f", { required: true, description: "TOML or JSON file." });
    waitSeconds = Option.String("--wait-seconds", "15", {
        description: "Time to wait until all resources are in force; 0 does not wait.",
    });

    async run(): Promise<ExitCode> {
        const waitMilliseconds = parseSeconds(this.waitSeconds);
        const declarations = readDeclarations(this.file);
        const client = this.createClient();
        const results: Record<string, unknown>[] = [];
        for (const declaration of declarations) {
            results.push(await applyResource(client, declaration));
        }
        if (waitMilliseconds > 0) {
            for (const { kind, name } of declarations) {
                await waitUntilInForce(client, kind, name, waitMilliseconds);
            }
        }
        const inForce = waitMilliseconds > 0 ? "yes" : "not waited for";
        this.print(
            { resources: results },
            ["kind", "name", "result", "revision", "in force"],
            results.map(({ kind, name, result, revision }) => [kind, name, result, revision, inForce].map(String)),
        );
        return ExitCode.Success;
    }
}

const formatInForce = (resource: ResourceWithStatus) => {
    const inForce = findCondition(resource, ConditionType.InForce);
    return inForce === undefined ? "" : `${inForce.status} (${inForce.reason})`;
};

export class GetCommand extends ControlCommand {
    static override readonly paths = [["get"]];
    static override readonly usage = Command.Usage({
        category: RESOURCES,
        description: "List the resources of a kind, or show one.",
        examples: [["List the services", "$0 get services"], ["Show one as JSON", "$0 get service stoc -o json"]],
    });

    kind = Option.String();
    name = Option.String({ required: false });

    async run(): Promise<ExitCode> {
        const kind = parseKind(this.kind);
        const client = this.createClient();
        const items = this.name === undefined ? await this.list(kind) : [await readResource(client, kind, this.name)];
        const found = items.filter(item => item !== undefined);
        if (this.name !== undefined && found.length === 0) {
            throw new CommandError(ExitCode.Rejected, "get", "", `There is no ${kind} ${this.name}.`);
        }
        this.print(
            this.name === undefined ? { items: found } : found[0],
            ["name", "generation", "revision", "in force"],
            found.map(item => [item.name, String(item.generation), String(item.revision), formatInForce(item)]),
        );
        return ExitCode.Success;
    }

    private async list(kind: ResourceKind): Promise<readonly ResourceWithStatus[]> {
        const response = await this.createClient().sendChecked({
            method: "GET",
            path: `/v1/${COLLECTION_NAMES[kind]}`,
        });
        return response.body.items as readonly ResourceWithStatus[];
    }
}

export class DescribeCommand extends ControlCommand {
    static override readonly paths = [["describe"]];
    static override readonly usage = Command.Usage({
        category: RESOURCES,
        description: "Show a resource with its conditions and the reasons for delays.",
        examples: [["Describe a drain", "$0 describe drain sibiu-2"]],
    });

    kind = Option.String();
    name = Option.String();

    async run(): Promise<ExitCode> {
        const kind = parseKind(this.kind);
        const resource = await readResource(this.createClient(), kind, this.name);
        if (resource === undefined) {
            throw new CommandError(ExitCode.Rejected, "describe", "", `There is no ${kind} ${this.name}.`);
        }
        if (!this.isJson()) {
            const { generation, revision, spec } = resource;
            this.context.stdout.write(`${kind} ${this.name}, generation ${generation}, revision ${revision}\n`);
            this.context.stdout.write(`spec: ${formatJson(spec)}`);
        }
        this.print(
            resource,
            ["condition", "status", "reason", "since", "message"],
            resource.status.conditions.map(({ type, status, reason, lastTransitionTime, message }) => [
                type,
                status,
                reason,
                lastTransitionTime ?? "",
                message,
            ]),
        );
        return ExitCode.Success;
    }
}

export class DeleteCommand extends ControlCommand {
    static override readonly paths = [["delete"]];
    static override readonly usage = Command.Usage({
        category: RESOURCES,
        description: "Delete a resource that no other refers to.",
        examples: [["End a drain", "$0 delete drain sibiu-2"]],
    });

    kind = Option.String();
    name = Option.String();

    async run(): Promise<ExitCode> {
        const kind = parseKind(this.kind);
        const client = this.createClient();
        const current = await readResource(client, kind, this.name);
        if (current === undefined) {
            throw new CommandError(ExitCode.Rejected, "delete", "", `There is no ${kind} ${this.name}.`);
        }
        const response = await client.sendChecked({
            method: "DELETE",
            path: resourcePath(kind, this.name),
            headers: { "if-match": `"${current.revision}"` },
        });
        this.print(response.body, ["kind", "name", "result"], [[kind, this.name, "deleted"]]);
        return ExitCode.Success;
    }
}

/** The server sends a line at least every 10 s, so the connection is considered lost after three missing lines. */
const WATCH_IDLE_TIMEOUT_MS = 30_000;

export class WatchCommand extends ControlCommand {
    static override readonly paths = [["watch"]];
    static override readonly usage = Command.Usage({
        category: RESOURCES,
        description: "Print each change as a line of JSON, from a revision on.",
        examples: [["Follow all changes from now on", "$0 watch"], ["Resume", "$0 watch --from-revision 120"]],
    });

    fromRevision = Option.String("--from-revision", { description: "Revision after which changes are printed." });

    async run(): Promise<ExitCode> {
        // The first request finds a server that responds, and the latest revision.
        const { server, body: status } = await this.createClient().sendChecked({ method: "GET", path: "/v1/status" });
        const from = this.fromRevision ?? String(status.configurationRevision);
        const token = this.readToken();
        try {
            const response = await request(`http://${server}/v1/watch?fromRevision=${encodeURIComponent(from)}`, {
                headers: token === undefined ? {} : { authorization: `Bearer ${token}` },
                bodyTimeout: WATCH_IDLE_TIMEOUT_MS,
            });
            if (response.statusCode !== 200) {
                const body = await response.body.json() as { message?: string };
                throw new CommandError(ExitCode.Rejected, "watch", server, body.message ?? String(response.statusCode));
            }
            for await (const chunk of response.body) {
                this.context.stdout.write(chunk as Buffer);
            }
        }
        catch (error) {
            if (error instanceof CommandError) {
                throw error;
            }
            throw new CommandError(ExitCode.Unreachable, "watch", server, (error as Error).message);
        }
        return ExitCode.Success;
    }
}
