/**
 * Validates the requests of callers, and extracts what the request path needs from them.
 */
import type { IncomingMessage } from "node:http";
import { type ConfigurationView, EMPTY_CONFIGURATION_VIEW } from "../configuration/configuration-view.js";
import { nameSchema, RequestClass, type ServiceSpec } from "../resources/resource.js";
import {
    DEADLINE_HEADER,
    DEFAULT_TENANT,
    FailureReason,
    HEDGE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    MAXIMUM_DEADLINE_MS,
    TENANT_HEADER,
} from "./messages.js";

/** A validated request. */
export type InspectedRequest = {
    readonly service: string;
    readonly specification: ServiceSpec;
    readonly method: string;
    /** Path and query without the service, as sent to the backend server. */
    readonly path: string;
    readonly tenant: string;
    readonly requestClass: RequestClass;
    /** Time from the arrival of the request to its deadline. */
    readonly deadlineMilliseconds: number;
    readonly idempotencyKey: string | undefined;
    readonly allowsHedging: boolean;
    /** Length of the body in bytes, or undefined for a chunked body. */
    readonly contentLength: number | undefined;
};

/** Status, reason and message of the response to an invalid request. */
export type Rejection = { readonly status: number; readonly reason: FailureReason; readonly message: string };

/** Settings of the inspection. */
export type InspectionLimits = { readonly defaultDeadlineMilliseconds: number; readonly maximumBodyBytes: number };

/** Headers that must not occur more than once. */
const SINGLE_VALUE_HEADERS: ReadonlySet<string> = new Set([
    "content-length",
    DEADLINE_HEADER,
    HEDGE_HEADER,
    "host",
    IDEMPOTENCY_KEY_HEADER,
    TENANT_HEADER,
    "transfer-encoding",
]);

const badRequest = (message: string): Rejection => ({ status: 400, reason: FailureReason.BadRequest, message });
const badFraming = (message: string): Rejection => ({ status: 400, reason: FailureReason.BadFraming, message });

/**
 * Validates the framing, the path and the headers of a request.
 *
 * @param view Current configuration.
 * @returns The validated request, or its rejection.
 */
export function inspectRequest(
    request: IncomingMessage,
    view: ConfigurationView,
    limits: InspectionLimits,
): InspectedRequest | Rejection {
    const framing = checkFraming(request);
    if (framing !== undefined) {
        return framing;
    }
    const target = splitTarget(request.url ?? "");
    if (typeof target === "string") {
        return badRequest(target);
    }
    const specification = view.services.get(target.service);
    if (specification === undefined && view.revision === EMPTY_CONFIGURATION_VIEW.revision) {
        return {
            status: 503,
            reason: FailureReason.NoBackendServer,
            message: "This entry has started and has no configuration yet.",
        };
    }
    if (specification === undefined) {
        return {
            status: 404,
            reason: FailureReason.UnknownService,
            message: `The service ${target.service} is not declared.`,
        };
    }
    const { headers } = request;
    const tenant = (headers[TENANT_HEADER] as string | undefined) ?? DEFAULT_TENANT;
    if (tenant !== DEFAULT_TENANT && !nameSchema.safeParse(tenant).success) {
        return badRequest("Hyssop-Tenant must consist of lower case letters, digits and inner hyphens.");
    }
    const deadlineText = headers[DEADLINE_HEADER] as string | undefined;
    if (deadlineText !== undefined && !/^\d{1,9}$/.test(deadlineText)) {
        return badRequest("Hyssop-Deadline-Ms must be a whole number of milliseconds.");
    }
    const lengthText = headers["content-length"];
    const isChunked = headers["transfer-encoding"] !== undefined;
    const contentLength = isChunked ? undefined : Number(lengthText ?? 0);
    if ((contentLength ?? 0) > limits.maximumBodyBytes) {
        return {
            status: 413,
            reason: FailureReason.BodyTooLarge,
            message: `The body is larger than ${limits.maximumBodyBytes} bytes.`,
        };
    }
    const method = request.method ?? "GET";
    return {
        service: target.service,
        specification,
        method,
        path: target.path,
        tenant,
        requestClass: classifyRequest(specification, method, target.decodedPath),
        deadlineMilliseconds: Math.min(
            MAXIMUM_DEADLINE_MS,
            deadlineText === undefined ? limits.defaultDeadlineMilliseconds : Number(deadlineText),
        ),
        idempotencyKey: headers[IDEMPOTENCY_KEY_HEADER] as string | undefined,
        allowsHedging: headers[HEDGE_HEADER] !== "off",
        contentLength,
    };
}

/** Rejects requests whose end two parsers could locate differently (RFC 9112, section 6.3). */
function checkFraming(request: IncomingMessage): Rejection | undefined {
    // Without a length, HTTP/1.0 has only close-delimited responses, whose truncation the caller cannot detect.
    if (request.httpVersion !== "1.1") {
        return badRequest("Only HTTP/1.1 is served.");
    }
    let seenNames: Set<string> | undefined;
    const { rawHeaders } = request;
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = (rawHeaders[index] as string).toLowerCase();
        if (!SINGLE_VALUE_HEADERS.has(name)) {
            continue;
        }
        seenNames ??= new Set();
        if (seenNames.has(name)) {
            return badFraming(`The header ${name} occurs more than once.`);
        }
        seenNames.add(name);
    }
    if (request.headers.host === undefined) {
        return badRequest("The Host header is missing.");
    }
    if (request.headers.expect !== undefined && request.headers.expect.toLowerCase() !== "100-continue") {
        return badRequest("The only supported expectation is 100-continue.");
    }
    const encoding = request.headers["transfer-encoding"];
    if (encoding !== undefined && request.headers["content-length"] !== undefined) {
        return badFraming("Content-Length and Transfer-Encoding cannot be combined.");
    }
    if (encoding !== undefined && encoding.toLowerCase() !== "chunked") {
        return badFraming("The only supported Transfer-Encoding is chunked.");
    }
    return undefined;
}

type Target = { readonly service: string; readonly path: string; readonly decodedPath: string };

/** Splits `/{service}/{path...}`. Returns an error message if the target is invalid. */
function splitTarget(url: string): Target | string {
    if (!url.startsWith("/")) {
        return "The request target must be a path.";
    }
    const queryStart = url.indexOf("?");
    const fullPath = queryStart < 0 ? url : url.slice(0, queryStart);
    const query = queryStart < 0 ? "" : url.slice(queryStart);
    const serviceEnd = fullPath.indexOf("/", 1);
    const service = serviceEnd < 0 ? fullPath.slice(1) : fullPath.slice(1, serviceEnd);
    const path = serviceEnd < 0 ? "/" : fullPath.slice(serviceEnd);
    const decodedPath = decodePath(path);
    // If the backend server could interpret the path as a different one, the request could get the wrong class.
    if (decodedPath === undefined || isAmbiguousPath(decodedPath)) {
        return "The path must not contain empty, . or .. segments, backslashes or bad escapes.";
    }
    return { service, path: path + query, decodedPath };
}

const isAmbiguousPath = (path: string) => path.includes("\\") || /\/\/|\/\.\.?(\/|$)/.test(path);

function decodePath(path: string): string | undefined {
    if (!path.includes("%")) {
        return path;
    }
    try {
        const decoded = decodeURIComponent(path);
        const hasEncodedSlash = /%2f/i.test(path);
        const hasControlCharacter = [...decoded].some(character => character < " ");
        return hasEncodedSlash || hasControlCharacter ? undefined : decoded;
    }
    catch {
        return undefined;
    }
}

/**
 * Returns the class of a request: that of the first matching rule, else the default of the service, else a default by
 * method, which is idempotent for GET and HEAD and run-once for the others.
 *
 * @param path Decoded path without the service and the query.
 */
export function classifyRequest(specification: ServiceSpec, method: string, path: string): RequestClass {
    const rule = specification.classes.find(candidate =>
        (candidate.method === undefined || candidate.method === method) && path.startsWith(candidate.pathPrefix)
    );
    const builtIn = method === "GET" || method === "HEAD" ? RequestClass.Idempotent : RequestClass.RunOnce;
    return rule?.class ?? specification.defaultClass ?? builtIn;
}
