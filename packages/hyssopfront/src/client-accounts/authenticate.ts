/**
 * Finds the client account of a request by the bearer token that the caller sends (RFC 6750).
 */
import type { AccountIndex } from "./account-index.js";
import { type ClientAccount, hashApiKey } from "./client-account.js";

/** Header with the credentials of a caller. It is never forwarded to a backend server once there are accounts. */
export const CREDENTIALS_HEADER = "authorization";

const BEARER_CREDENTIALS = /^bearer +(\S+) *$/i;

/** Why a request is not accepted; a field of the log. */
export enum AuthenticationFailure {
    MissingKey = "no API key",
    UnknownKey = "unknown API key",
}

/**
 * Decides on whose behalf a request is sent.
 *
 * @param credentials Value of the credentials header, if the caller sent one.
 * @param allowsAnonymous True if requests of the route need no key.
 * @returns The account; undefined for an anonymous request; or the reason why the request is rejected.
 */
export function authenticate(
    accounts: AccountIndex,
    credentials: string | undefined,
    allowsAnonymous: boolean,
): ClientAccount | AuthenticationFailure | undefined {
    if (accounts.isEmpty) {
        return undefined;
    }
    if (credentials === undefined) {
        return allowsAnonymous ? undefined : AuthenticationFailure.MissingKey;
    }
    const key = BEARER_CREDENTIALS.exec(credentials)?.[1];
    return (key === undefined ? undefined : accounts.findByKeyHash(hashApiKey(key))) ??
        AuthenticationFailure.UnknownKey;
}
