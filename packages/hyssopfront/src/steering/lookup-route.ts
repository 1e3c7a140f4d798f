/**
 * HTTP route for lookups.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { parseAddress } from "./address.js";
import type { EntrySelection, LookupCaller } from "./entry-selection.js";

const LOOKUP_PATH = "/v1/lookup";

/** HTTP status and message of a lookup that failed. */
type LookupError = { readonly status: number; readonly message: string };

/**
 * Creates the handler of `GET /v1/lookup?service=S&address=IP` or `&availabilityZone=Z`. Without either parameter, the
 * remote address of the connection is used.
 *
 * @returns Handler that resolves with true after it has responded, and with false, without a response, for any other
 *     path.
 */
export function createLookupRoute(
    entrySelection: EntrySelection,
): (request: IncomingMessage, response: ServerResponse) => Promise<boolean> {
    return async (request, response) => {
        const [path, query = ""] = (request.url ?? "").split("?", 2);
        if (path !== LOOKUP_PATH) {
            return false;
        }
        const result = lookUp(entrySelection, request, new URLSearchParams(query));
        const isError = "status" in result;
        const body = JSON.stringify(isError ? { message: result.message } : result);
        response.writeHead(isError ? result.status : 200, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
            "cache-control": isError ? "no-store" : `max-age=${result.timeToLiveSeconds}`,
            ...(isError && result.status === 405 ? { "allow": "GET" } : {}),
        });
        response.end(body);
        return true;
    };
}

function lookUp(entrySelection: EntrySelection, request: IncomingMessage, query: URLSearchParams) {
    if (request.method !== "GET") {
        return { status: 405, message: "Use GET for lookups." };
    }
    const service = query.get("service");
    if (!service) {
        return { status: 400, message: "The parameter service is missing." };
    }
    if (!entrySelection.isReady()) {
        return { status: 503, message: "This entry has no configuration yet. Ask another entry." };
    }
    const caller = readCaller(entrySelection, request, query);
    if ("status" in caller) {
        return caller;
    }
    return entrySelection.lookUp(service, caller) ??
        { status: 404, message: `The service ${service} is not declared.` };
}

function readCaller(
    entrySelection: EntrySelection,
    request: IncomingMessage,
    query: URLSearchParams,
): LookupCaller | LookupError {
    const availabilityZone = query.get("availabilityZone") ?? undefined;
    const addressParameter = query.get("address") ?? undefined;
    const text = addressParameter ?? request.socket.remoteAddress ?? "";
    const address = parseAddress(text);
    if (addressParameter !== undefined && address === undefined) {
        return { status: 400, message: `The parameter address must be an IP address, not ${JSON.stringify(text)}.` };
    }
    if (availabilityZone !== undefined && !entrySelection.hasAvailabilityZone(availabilityZone)) {
        return { status: 400, message: `The availability zone ${JSON.stringify(availabilityZone)} is not declared.` };
    }
    return { availabilityZone, address };
}
