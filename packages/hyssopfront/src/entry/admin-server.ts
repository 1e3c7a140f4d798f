/**
 * Admin server of an entry, which serves its status, metrics and latency histograms as JSON.
 */
import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { readBeforeIdleClose } from "../http/read-before-idle-close.js";
import { rejectInvalidHeaders } from "../http/reject-invalid-headers.js";
import { createAuthorization } from "../operator-api/authorization.js";
import { ApiError, sendError, sendJson } from "../operator-api/responses.js";

/** Functions by path; their results are sent as JSON. */
export type AdminRoutes = Readonly<Record<string, () => unknown>>;

/**
 * Starts the admin server.
 *
 * @param options.token Bearer token that requests must have. Without a token the server listens only on the loopback
 *     address.
 * @returns The server, once it listens.
 * @throws Error when the port is in use.
 */
export async function startAdminServer(options: {
    readonly address: string;
    readonly port: number;
    readonly token: string | undefined;
    readonly routes: AdminRoutes;
}): Promise<Server> {
    const routes = new Map(Object.entries(options.routes));
    const authorize = createAuthorization(options.token);
    const callRoute = (request: IncomingMessage): unknown => {
        authorize(request);
        const route = routes.get((request.url ?? "").split("?")[0] ?? "");
        if (route === undefined) {
            throw new ApiError(404, "notFound", `Use one of ${[...routes.keys()].join(", ")}.`);
        }
        if (request.method !== "GET") {
            throw new ApiError(405, "methodNotAllowed", "Use GET.", {}, { Allow: "GET" });
        }
        return route();
    };
    const handle = (request: IncomingMessage, response: ServerResponse) => {
        try {
            sendJson(response, 200, callRoute(request));
        }
        catch (error) {
            sendError(
                response,
                error instanceof ApiError ? error : new ApiError(500, "failed", (error as Error).message),
            );
        }
    };
    const server = createServer();
    readBeforeIdleClose(server);
    server.on("request", rejectInvalidHeaders(server, handle));
    server.listen(options.port, options.token === undefined ? "127.0.0.1" : options.address);
    await once(server, "listening");
    return server;
}
