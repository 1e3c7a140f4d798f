/**
 * Requests to the operator API of control instances.
 */
import { request } from "undici";
import type { ControlCluster } from "./control-cluster.js";

export type OperatorResponse = { readonly statusCode: number; readonly body: Readonly<Record<string, unknown>> };

/**
 * Sends one request to the operator API of the named instance.
 *
 * @throws Error when the connection fails or no response arrives within `timeoutMilliseconds`, 10 s by default.
 */
export async function sendOperatorRequest(
    cluster: Pick<ControlCluster, "instances">,
    name: string,
    method: string,
    path: string,
    options: {
        readonly headers?: Readonly<Record<string, string>>;
        readonly body?: unknown;
        readonly timeoutMilliseconds?: number;
    } = {},
): Promise<OperatorResponse> {
    const instance = cluster.instances.find(candidate => candidate.name === name);
    const response = await request(`http://127.0.0.1:${instance?.operatorPort}${path}`, {
        method: method as "GET",
        headers: { ...options.body === undefined ? {} : { "Content-Type": "application/json" }, ...options.headers },
        body: options.body === undefined ? undefined : JSON.stringify(options.body),
        signal: AbortSignal.timeout(options.timeoutMilliseconds ?? 10_000),
    });
    return { statusCode: response.statusCode, body: await response.body.json() as Record<string, unknown> };
}
