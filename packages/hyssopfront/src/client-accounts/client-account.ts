/**
 * Client accounts, on whose behalf callers send requests. A caller proves its account with an API key.
 */
import { createHash } from "node:crypto";

/** Requests that an account may have run over all entries together. */
export type AccountQuota = {
    /** Sustained rate, in requests per second. */
    readonly requestsPerSecond: number;
    /** Requests that may be run at once after a time without any. */
    readonly burst: number;
};

/** A client account of the catalog. */
export type ClientAccount = {
    readonly name: string;
    /** Hashes of the API keys, as `hashApiKey` returns them. An entry never gets the keys themselves. */
    readonly keyHashes: readonly string[];
    /** Takes precedence over the priority of the route; 0 is the highest. Undefined if the route's applies. */
    readonly priority: number | undefined;
    /** Undefined if the account has no limit. */
    readonly quota: AccountQuota | undefined;
    /** Regions that may serve the account; empty if all may. */
    readonly homeRegions: readonly string[];
};

/**
 * Hashes an API key for storage and lookup. Keys are long random texts, so the hash needs no salt.
 *
 * @returns SHA-256 of the key in URL-safe Base64.
 */
export const hashApiKey = (key: string): string => createHash("sha256").update(key).digest("base64url");

/**
 * Returns the first key hash that more than one of the accounts has, or undefined if no key is shared.
 */
export function findSharedKeyHash(accounts: readonly ClientAccount[]): string | undefined {
    const owners = new Map<string, string>();
    return accounts
        .flatMap(({ name, keyHashes }) => keyHashes.map(keyHash => ({ name, keyHash })))
        .find(({ name, keyHash }) => {
            const owner = owners.get(keyHash) ?? name;
            owners.set(keyHash, owner);
            return owner !== name;
        })?.keyHash;
}

/**
 * Combines the regions that may serve a route with those that may serve an account.
 *
 * @returns The regions that may serve the request, empty if all may; undefined if no region may.
 */
export function intersectHomeRegions(
    routeRegions: readonly string[],
    accountRegions: readonly string[],
): readonly string[] | undefined {
    if (accountRegions.length === 0) {
        return routeRegions;
    }
    if (routeRegions.length === 0) {
        return accountRegions;
    }
    const common = routeRegions.filter(region => accountRegions.includes(region));
    return common.length === 0 ? undefined : common;
}
