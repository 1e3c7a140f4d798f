/**
 * HTTP routes through which backend servers announce themselves.
 */
import { type Clock, DeadlineError, withDeadline } from "@hyssopfront/coordination";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { z } from "zod";
import { nameSchema } from "../resources/resource.js";
import { announcementSchema } from "./announcement.js";
import { AnnouncementRejectedError, type Announcements } from "./create-announcements.js";

/** Maximum size of the body of an announcement; about ten times the usual size. */
export const MAXIMUM_BODY_BYTES = 4_096;
/** Time within which the body must arrive. */
const BODY_DEADLINE_MS = 1_000;
const ANNOUNCEMENT_PATH = /^\/v1\/announcements\/([^/?]*)\/([^/?]*)(?:\?(.*))?$/;

/** An error with the status and headers of its response. */
class RouteError extends Error {
    constructor(readonly status: number, message: string, readonly headers: Record<string, string> = {}) {
        super(message);
    }
}

/**
 * Creates the routes `PUT` and `DELETE /v1/announcements/{service}/{name}`. The query parameter `incarnation` of a
 * deletion names the incarnation that leaves. Without it, the current incarnation leaves.
 *
 * @returns Handler that resolves with false when the path belongs to another route, and otherwise with true after the
 *     response was written.
 */
export function createAnnouncementRoutes(options: {
    readonly clock: Clock;
    readonly announcements: Pick<Announcements, "announce" | "leave">;
}): (request: IncomingMessage, response: ServerResponse) => Promise<boolean> {
    const { clock, announcements } = options;

    const handlePut = async (request: IncomingMessage, service: string, name: string) => {
        // The lifetime starts with the request, so that a slow body does not extend it.
        const receivedAt = clock.monotonicMilliseconds();
        const body = parseBody(await withDeadline(clock, BODY_DEADLINE_MS, readBody(request)));
        return announcements.announce(service, name, body, receivedAt);
    };

    const handle = async (request: IncomingMessage, response: ServerResponse, match: RegExpExecArray) => {
        const service = parseName(match[1], "service");
        const name = parseName(match[2], "name");
        if (request.method === "PUT") {
            sendJson(response, 200, await handlePut(request, service, name));
            return;
        }
        if (request.method !== "DELETE") {
            throw new RouteError(405, "Use PUT or DELETE.", { allow: "PUT, DELETE" });
        }
        const incarnation = new URLSearchParams(match[3] ?? "").get("incarnation") ?? undefined;
        if (incarnation !== undefined && (incarnation === "" || incarnation.length > 64)) {
            throw new RouteError(400, "incarnation: Use 1 to 64 characters.");
        }
        if (!announcements.leave(service, name, incarnation)) {
            throw new RouteError(404, `The backend server ${name} of ${service} is not known; name its incarnation.`);
        }
        response.writeHead(204).end();
    };

    /**
     * Reads and discards the rest of a rejected body. Closing the connection with unread data could reset it before the
     * client has read the response.
     */
    const discardBody = async (request: IncomingMessage) => {
        if (request.complete || request.destroyed) {
            return;
        }
        request.resume();
        const closed = new Promise<void>(resolve => request.once("close", resolve));
        await withDeadline(clock, BODY_DEADLINE_MS, closed).catch(() => request.destroy());
    };

    return async (request, response) => {
        const match = ANNOUNCEMENT_PATH.exec(request.url ?? "") ?? undefined;
        if (match === undefined) {
            return false;
        }
        try {
            await handle(request, response, match);
        }
        catch (error) {
            sendError(response, error);
            await discardBody(request);
        }
        return true;
    };
}

async function readBody(request: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    let length = 0;
    // Keeps the connection open when reading stops early, so that the response can be written.
    for await (const chunk of request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
        length += chunk.length;
        if (length > MAXIMUM_BODY_BYTES) {
            throw new RouteError(413, `The body is longer than ${MAXIMUM_BODY_BYTES} bytes.`);
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}

function parseBody(text: string) {
    let value: unknown;
    try {
        value = JSON.parse(text);
    }
    catch {
        throw new RouteError(400, "The body is not valid JSON.");
    }
    return validate(announcementSchema, value, "body");
}

function parseName(text: string | undefined, field: string): string {
    return validate(nameSchema, text, field);
}

function validate<T>(schema: z.ZodType<T>, value: unknown, field: string): T {
    const result = schema.safeParse(value);
    if (result.success) {
        return result.data;
    }
    const issue = result.error.issues[0];
    const path = [field, ...issue?.path ?? []].join(".");
    throw new RouteError(400, `${path}: ${issue?.message ?? "The value is not accepted."}`);
}

function sendJson(response: ServerResponse, status: number, value: unknown, headers: Record<string, string> = {}) {
    response.writeHead(status, { "content-type": "application/json", ...headers }).end(JSON.stringify(value));
}

function sendError(response: ServerResponse, error: unknown): void {
    if (response.destroyed || response.headersSent) {
        return;
    }
    const [status, headers] = findStatusAndHeaders(error);
    const message = status === 500 ? "The request failed." : (error as Error).message;
    sendJson(response, status, { message }, headers);
}

function findStatusAndHeaders(error: unknown): readonly [number, Record<string, string>] {
    if (error instanceof RouteError) {
        return [error.status, error.headers];
    }
    if (error instanceof AnnouncementRejectedError) {
        return [503, { "retry-after": "1" }];
    }
    return error instanceof DeadlineError ? [408, {}] : [500, {}];
}
