/**
 * Headers of requests and responses that are not forwarded.
 */

/**
 * Headers that apply to one connection only (RFC 9110, section 7.6.1), and `expect`, which the entry handles itself.
 */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
    "connection",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

const NO_NAMES: ReadonlySet<string> = new Set();

const splitTokens = (value: string) => value.split(",").map(token => token.trim().toLowerCase());

/** Returns the header names listed in a `Connection` header, which are hop-by-hop too. */
function namesInConnectionHeader(value: string | undefined): ReadonlySet<string> {
    if (value === undefined || value === "keep-alive" || value === "close") {
        return NO_NAMES;
    }
    return new Set(splitTokens(value));
}

/**
 * Selects the headers of a caller's request that are forwarded, without those that the entry handles or sets itself.
 *
 * @param rawHeaders Alternating names and values, as returned by the parser of Node.js.
 * @param connection Joined values of the `Connection` headers.
 * @returns Alternating names and values.
 */
export function selectRequestHeaders(rawHeaders: readonly string[], connection: string | undefined): string[] {
    const connectionHeaders = namesInConnectionHeader(connection);
    const selected: string[] = [];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        const name = (rawHeaders[index] as string).toLowerCase();
        const isEntryHeader = name === "hyssop-deadline-ms" || name === "hyssop-request-id" || name === "hyssop-hedge";
        if (!isEntryHeader && !HOP_BY_HOP_HEADERS.has(name) && !connectionHeaders.has(name)) {
            selected.push(name, rawHeaders[index + 1] as string);
        }
    }
    return selected;
}

/** Selects the headers of a backend server's response that are forwarded. Only the entry sets `hyssop-` headers. */
export function selectResponseHeaders(
    headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | string[]> {
    const connection = headers.connection;
    const connectionHeaders = namesInConnectionHeader(Array.isArray(connection) ? connection.join(",") : connection);
    const selected: Record<string, string | string[]> = {};
    for (const name of Object.keys(headers)) {
        const value = headers[name];
        if (
            value !== undefined && !HOP_BY_HOP_HEADERS.has(name) && !connectionHeaders.has(name) &&
            !name.startsWith("hyssop-")
        ) {
            selected[name] = value;
        }
    }
    return selected;
}
