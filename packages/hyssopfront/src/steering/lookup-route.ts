/**
 * HTTP route of lookups.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { parseAddress } from "./address.js";
import type { EntrySelection, LookupCaller } from "./entry-selection.js";

const PATH = "/v1/lookup";

type Refusal = { readonly status: number; readonly message: string };

/**
 * Creates the handler of `GET /v1/lookup?service=S&address=IP` or `&availabilityZone=Z`. Without either, the address
 * of the connection counts.
 *
 * @returns A function that answers lookups and returns false, without an answer, for any other path.
 */
export function createLookupRoute(
    steering: EntrySelection,
): (request: IncomingMessage, response: ServerResponse) => Promise<boolean> {
    return async (request, response) => {
        const [path, query = ""] = (request.url ?? "").split("?", 2);
        if (path !== PATH) {
            return false;
        }
        const answer = lookUp(steering, request, new URLSearchParams(query));
        const isRefusal = "status" in answer;
        const body = JSON.stringify(isRefusal ? { message: answer.message } : answer);
        response.writeHead(isRefusal ? answer.status : 200, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
            "cache-control": isRefusal ? "no-store" : `max-age=${answer.timeToLiveSeconds}`,
            ...(isRefusal && answer.status === 405 ? { "allow": "GET" } : {}),
        });
        response.end(body);
        return true;
    };
}

function lookUp(steering: EntrySelection, request: IncomingMessage, query: URLSearchParams) {
    if (request.method !== "GET") {
        return { status: 405, message: "Use GET for lookups." };
    }
    const service = query.get("service");
    if (!service) {
        return { status: 400, message: "The parameter service is missing." };
    }
    if (!steering.isReady()) {
        return { status: 503, message: "This entry has no configuration yet. Ask another entry." };
    }
    const caller = readCaller(steering, request, query);
    if ("status" in caller) {
        return caller;
    }
    return steering.lookUp(service, caller) ?? { status: 404, message: `The service ${service} is not declared.` };
}

function readCaller(
    steering: EntrySelection,
    request: IncomingMessage,
    query: URLSearchParams,
): LookupCaller | Refusal {
    const availabilityZone = query.get("availabilityZone") ?? undefined;
    const named = query.get("address") ?? undefined;
    const text = named ?? request.socket.remoteAddress ?? "";
    const address = parseAddress(text);
    if (named !== undefined && address === undefined) {
        return { status: 400, message: `The parameter address must be an IP address, not ${JSON.stringify(text)}.` };
    }
    if (availabilityZone !== undefined && !steering.hasAvailabilityZone(availabilityZone)) {
        return { status: 400, message: `The availability zone ${JSON.stringify(availabilityZone)} is not declared.` };
    }
    return { availabilityZone, address };
}
