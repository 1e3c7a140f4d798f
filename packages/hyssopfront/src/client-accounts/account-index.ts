/**
 * Index of the client accounts of a catalog by the hashes of their keys.
 */
import type { ClientAccount } from "./client-account.js";

/** The accounts that an entry knows. */
export type AccountIndex = {
    /** Sets an account, or removes it if `account` is undefined. */
    set(name: string, account: ClientAccount | undefined): void;
    findByKeyHash(keyHash: string): ClientAccount | undefined;
    list(): readonly ClientAccount[];
    /** True if there is no account. */
    readonly isEmpty: boolean;
};

/** Creates an empty index. */
export function createAccountIndex(): AccountIndex {
    const accounts = new Map<string, ClientAccount>();
    const accountsByKeyHash = new Map<string, ClientAccount>();
    return {
        set: (name, account) => {
            // A key may already belong to another account, if the items of one change arrive in another order.
            accounts.get(name)?.keyHashes
                .filter(keyHash => accountsByKeyHash.get(keyHash)?.name === name)
                .forEach(keyHash => accountsByKeyHash.delete(keyHash));
            if (account === undefined) {
                accounts.delete(name);
                return;
            }
            accounts.set(name, account);
            account.keyHashes.forEach(keyHash => accountsByKeyHash.set(keyHash, account));
        },
        findByKeyHash: keyHash => accountsByKeyHash.get(keyHash),
        list: () => [...accounts.values()],
        get isEmpty() {
            return accounts.size === 0;
        },
    };
}
