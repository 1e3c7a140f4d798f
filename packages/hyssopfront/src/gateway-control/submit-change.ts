/**
 * Submits changes of the catalog. A command of the log has a limited size, and a long one would hold up the heartbeats
 * behind it, so a long change is submitted in parts. It takes effect as a whole.
 */
import type { Clock } from "@hyssopfront/coordination";
import { encode } from "cbor-x";
import { createHash } from "node:crypto";
import { CommandKind, type CommandResult } from "../catalog/catalog-state.js";
import type { Item } from "../catalog/items.js";
import { createYieldIfNeeded } from "../steering/yield-if-needed.js";
import { type CatalogGroup, CatalogUnavailableError } from "./catalog-group.js";

/** Size of the items of a part, in bytes. It passes a link of 4 Mbit/s in a third of a second. */
const MAXIMUM_PART_BYTES = 128 * 1024;
/** Size of one item, in bytes, so that it fits into a command of the log and into a reply of the feed. */
const MAXIMUM_ITEM_BYTES = 512 * 1024;
/** Parts that are submitted at the same time. */
const PARTS_IN_FLIGHT = 4;

/** Thrown when a change has an item that is too large to be stored. */
export class ItemTooLargeError extends Error {
    readonly step = "submit the change";
    constructor({ kind, name }: Item, bytes: number) {
        super(`The ${kind} ${name} takes ${bytes} bytes. At most ${MAXIMUM_ITEM_BYTES} are accepted.`);
        this.name = "ItemTooLargeError";
    }
}

type Part = { readonly items: Item[]; bytes: number };

/** Divides items into parts of limited size. Lets other tasks run meanwhile. */
async function divideIntoParts(clock: Clock, items: readonly Item[]) {
    const yieldIfNeeded = createYieldIfNeeded(clock);
    const hash = createHash("sha256");
    const parts: Part[] = [];
    for (const item of items) {
        await yieldIfNeeded();
        const encoded = encode(item);
        if (encoded.length > MAXIMUM_ITEM_BYTES) {
            throw new ItemTooLargeError(item, encoded.length);
        }
        hash.update(encoded);
        const last = parts.at(-1);
        if (last === undefined || last.bytes + encoded.length > MAXIMUM_PART_BYTES) {
            parts.push({ items: [item], bytes: encoded.length });
        }
        else {
            last.items.push(item);
            last.bytes += encoded.length;
        }
    }
    return { changeId: hash.digest("hex"), parts: parts.map(part => part.items) };
}

/**
 * Submits a change. Resolves once it is committed and in force as a whole, or was rejected as a whole. A change that is
 * submitted again continues with the parts that are not there yet.
 *
 * @returns The reason why the change is invalid, or undefined when it is accepted.
 * @throws ItemTooLargeError when an item is too large. Nothing has been submitted then.
 * @throws CatalogUnavailableError when the outcome is unknown at the deadline.
 */
export async function submitChange(
    { clock, catalog }: {
        readonly clock: Clock;
        readonly catalog: Pick<CatalogGroup, "findStagedParts" | "submit">;
    },
    items: readonly Item[],
    deadlineMilliseconds: number,
): Promise<string | undefined> {
    const endsAt = clock.monotonicMilliseconds() + deadlineMilliseconds;
    const { changeId, parts } = await divideIntoParts(clock, items);
    if (parts.length <= 1) {
        return (await catalog.submit({ kind: CommandKind.Change, items }, deadlineMilliseconds)).error;
    }
    const submitPart = (part: number): Promise<CommandResult> =>
        catalog.submit(
            { kind: CommandKind.ChangePart, changeId, part, partCount: parts.length, items: parts[part] ?? [] },
            endsAt - clock.monotonicMilliseconds(),
        );
    const lastPart = parts.length - 1;
    // A round has no result if another instance has completed the change, or other changes have replaced its parts.
    while (clock.monotonicMilliseconds() < endsAt) {
        const staged = catalog.findStagedParts(changeId);
        const missing = [...parts.keys()].filter(part => part === lastPart || !staged.has(part));
        for (let from = 0; from < missing.length; from += PARTS_IN_FLIGHT) {
            const results = await Promise.all(missing.slice(from, from + PARTS_IN_FLIGHT).map(submitPart));
            const result = results.find(({ isIncomplete }) => isIncomplete !== true);
            if (result !== undefined) {
                return result.error;
            }
        }
    }
    throw new CatalogUnavailableError("submit", new Error("The change is not complete."));
}
