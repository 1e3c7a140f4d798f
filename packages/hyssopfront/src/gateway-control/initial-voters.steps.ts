import { After, Then, When } from "@cucumber/cucumber";
import { type FileSystem, NODE_FILE_SYSTEM } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import type { FileHandle } from "node:fs/promises";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { loadOrStoreInitialVoters } from "./initial-voters.js";

let root: string | undefined;
let dataFolder: string;
let syncedPaths: Set<string>;

const recordSync = (handle: FileHandle, path: string): FileHandle =>
    new Proxy(handle, {
        get: (target, name) => {
            const member = Reflect.get(target, name) as unknown;
            if (typeof member !== "function") {
                return member;
            }
            return (...values: unknown[]) => {
                if (name === "sync") {
                    syncedPaths.add(path);
                }
                return Reflect.apply(member, target, values) as unknown;
            };
        },
    });

When("the first voters are stored in the folder {}, of which nothing exists", async (folder: string) => {
    root = mkdtempSync(join(tmpdir(), "initial-voters-"));
    dataFolder = join(root, folder);
    syncedPaths = new Set();
    const fileSystem: FileSystem = {
        ...NODE_FILE_SYSTEM,
        open: async (path, flags) => recordSync(await NODE_FILE_SYSTEM.open(path, flags), String(path)),
    };
    await loadOrStoreInitialVoters(fileSystem, dataFolder, ["control-1"]);
});
Then("each of its ancestors has been synced", () => {
    for (let folder = dataFolder; folder !== root; folder = dirname(folder)) {
        assert.ok(syncedPaths.has(dirname(folder)), `${dirname(folder)} has not been synced.`);
    }
});
After(() => {
    if (root !== undefined) {
        rmSync(root, { recursive: true, force: true });
        root = undefined;
    }
});
