/**
 * Authorization of operators by a bearer token.
 */
import { createHash, timingSafeEqual } from "node:crypto";
import { readFile } from "node:fs/promises";
import type { IncomingMessage } from "node:http";
import { ApiError } from "./responses.js";

const digest = (text: string) => createHash("sha256").update(text).digest();

/** In characters. Shorter tokens could be guessed. */
const MINIMUM_TOKEN_LENGTH = 16;

/**
 * Reads the token from a file.
 *
 * @param tokenFile Path of the file; undefined when no token is required.
 * @throws Error when the file cannot be read or does not contain a valid token.
 */
export async function readToken(tokenFile: string | undefined): Promise<string | undefined> {
    if (tokenFile === undefined) {
        return undefined;
    }
    const token = (await readFile(tokenFile, "utf8")).trim();
    if (token.length < MINIMUM_TOKEN_LENGTH || /\s/.test(token)) {
        throw new Error(
            `The token file ${tokenFile} must hold one token of at least ${MINIMUM_TOKEN_LENGTH} characters.`,
        );
    }
    return token;
}

/**
 * Creates the authorization check of requests.
 *
 * @param token Required token. Without one all requests are authorized, and the port must listen on loopback only.
 * @returns A function that throws ApiError 401 when the token of the request is missing or wrong.
 */
export function createAuthorization(token: string | undefined): (request: IncomingMessage) => void {
    if (token === undefined) {
        return () => undefined;
    }
    const expected = digest(token);
    return request => {
        const [, presentedToken] = /^Bearer +(\S+)$/i.exec(request.headers.authorization ?? "") ?? [];
        // Digests have equal lengths, so the time of the comparison reveals nothing about the token.
        if (presentedToken === undefined || !timingSafeEqual(digest(presentedToken), expected)) {
            throw new ApiError(401, "unauthorized", "A valid bearer token is needed.", {}, {
                "WWW-Authenticate": "Bearer",
                "Connection": "close",
            });
        }
    };
}
