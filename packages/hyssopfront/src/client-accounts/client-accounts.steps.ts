import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { CommandKind, createCatalogState, NO_CATALOG_OBSERVER } from "../catalog/catalog-state.js";
import { type Item, ItemKind } from "../catalog/items.js";
import { type AccountIndex, createAccountIndex } from "./account-index.js";
import { authenticate } from "./authenticate.js";
import { type ClientAccount, hashApiKey, intersectHomeRegions } from "./client-account.js";

let accounts: AccountIndex;
let catalog = createCatalogState(NO_CATALOG_OBSERVER);
let index = 0;
let changeError: string | undefined;

const createAccount = (name: string, keys: readonly string[]): ClientAccount => ({
    name,
    keyHashes: keys.map(hashApiKey),
    priority: undefined,
    quota: undefined,
    homeRegions: [],
});
const setAccount = (name: string, ...keys: readonly string[]) => accounts.set(name, createAccount(name, keys));
const splitRegions = (text: string) => text.split(", ").filter(region => region !== "");

Given("no account", () => {
    accounts = createAccountIndex();
});
Given("the account {word} with the keys {word} and {word}", (name: string, first: string, second: string) => {
    accounts = createAccountIndex();
    setAccount(name, first, second);
});
When(
    "the account {word} has the keys {word} and {word}",
    (name: string, first: string, second: string) => setAccount(name, first, second),
);
When("the account {word} is removed", (name: string) => accounts.set(name, undefined));
Then("a request with the key {word} belongs to {word}", (key: string, name: string) => {
    const account = authenticate(accounts, `Bearer ${key}`, false);
    assert.equal(typeof account === "object" ? account.name : account, name);
});
Then(/^a request with the key (\w+) is rejected because of an (.+)$/, (key: string, reason: string) => {
    assert.equal(authenticate(accounts, `Bearer ${key}`, false), reason);
});
Then(
    /^credentials "(.*)" on a route that (allows|does not allow) anonymous requests give (.+)$/,
    (credentials: string, allows: string, result: string) => {
        const account = authenticate(
            accounts,
            credentials === "" ? undefined : credentials,
            allows === "allows",
        );
        assert.equal(typeof account === "object" ? account.name : account ?? "anonymous", result);
    },
);
Then(
    "a route in {string} and an account in {string} are served in {string}",
    (route: string, account: string, result: string) => {
        const regions = intersectHomeRegions(splitRegions(route), splitRegions(account));
        assert.equal(regions === undefined ? "none" : regions.join(", ") || "all", result);
    },
);

const toItem = (name: string, keys: readonly string[], version: number): Item => ({
    kind: ItemKind.ClientAccount,
    name,
    version,
    value: { kind: ItemKind.ClientAccount, account: createAccount(name, keys) },
    source: undefined,
});
const submit = (items: readonly Item[]) => {
    changeError = catalog.apply(++index, { kind: CommandKind.Change, items }).error;
};

Given(
    "a catalog with the account {word} with the keys {word} and {word}",
    (name: string, first: string, second: string) => {
        catalog = createCatalogState(NO_CATALOG_OBSERVER);
        submit([toItem(name, [first, second], 1)]);
    },
);
When(/^a change sets (.+)$/, (changes: string) => {
    submit(
        changes.split(" and ").map(change => {
            const [name, , ...keys] = change.split(" ");
            return toItem(name as string, keys, 2);
        }),
    );
});
Then("the change is {word}", (result: string) => {
    assert.equal(changeError === undefined ? "accepted" : "rejected", result);
    const changedAccounts = catalog.items().filter(({ version }) => version === 2);
    assert.equal(changedAccounts.length === 0, result === "rejected");
});
