/**
 * Maps caller addresses to availability zones. Follows the configuration in short steps that do not delay lookups.
 */
import type { Clock } from "@hyssopfront/coordination";
import type { AvailabilityZoneSpec } from "../resources/resource.js";
import { type AddressWords, IPV4_WORDS, IPV6_WORDS, parseBlock } from "./address.js";
import { type BlockList, sortBlocks, subtractBlocks, type YieldIfNeeded } from "./block-list.js";
import { type BlockTable, createEmptyBlockTable, findZoneIdInTable, updateBlockTable } from "./block-table.js";
import { createYieldIfNeeded } from "./yield-if-needed.js";

/** Number of blocks that are parsed between two checks of the clock. */
const PARSE_BATCH_BLOCKS = 512;
/** Larger groups copy the chunks less often, but a single step over them takes longer than 20 ms. */
const MAXIMUM_GROUP_BLOCKS = 32_768;

type Zones = ReadonlyMap<string, AvailabilityZoneSpec>;
type FamilyTables = { readonly ipv4: BlockTable; readonly ipv6: BlockTable };
type SortedBlocks = { readonly ipv4: BlockList; readonly ipv6: BlockList };

/** Longest-prefix match from the addresses of callers to availability zones. */
export type ClientZoneTable = {
    /** Returns the availability zone whose client block contains the address with the longest prefix, or undefined. */
    find(address: AddressWords): string | undefined;
    /**
     * Replaces the availability zones. Lookups use the previous zones until the update is complete. Calls must not
     * overlap.
     *
     * @returns Resolves when lookups use the new zones.
     */
    update(zones: Zones): Promise<void>;
};

/**
 * Creates an empty table. A block that several availability zones declare belongs to the first of them by name, so that
 * every entry gives the same result.
 *
 * @param clock Bounds the duration of the steps of an update.
 */
export function createClientZoneTable(clock: Clock): ClientZoneTable {
    let tables: FamilyTables = { ipv4: createEmptyBlockTable(IPV4_WORDS), ipv6: createEmptyBlockTable(IPV6_WORDS) };
    let appliedZones: Zones = new Map();
    const zoneNames: (string | undefined)[] = [];
    const yieldIfNeeded = createYieldIfNeeded(clock);

    const assignZoneId = (name: string) => {
        const existing = zoneNames.indexOf(name);
        if (existing >= 0) {
            return existing;
        }
        const free = zoneNames.indexOf(undefined);
        const zoneId = free < 0 ? zoneNames.length : free;
        zoneNames[zoneId] = name;
        return zoneId;
    };

    // A lookup returns the last of several equal blocks, so the first name is sorted last.
    const compareZones = (zoneId: number, otherZoneId: number) =>
        (zoneNames[zoneId] ?? "") < (zoneNames[otherZoneId] ?? "") ? 1 : -1;

    const applyZones = async (current: FamilyTables, names: readonly string[], zones: Zones) => {
        const old = await readBlocks(names, appliedZones, assignZoneId, yieldIfNeeded);
        const declared = await readBlocks(names, zones, assignZoneId, yieldIfNeeded);
        const updateFamily = async (table: BlockTable, oldList: BlockList, newList: BlockList) => {
            const removed = subtractBlocks(table.wordsPerAddress, oldList, newList, compareZones);
            await yieldIfNeeded();
            const added = subtractBlocks(table.wordsPerAddress, newList, oldList, compareZones);
            await yieldIfNeeded();
            return updateBlockTable(table, removed, added, compareZones, yieldIfNeeded);
        };
        return {
            ipv4: await updateFamily(current.ipv4, old.ipv4, declared.ipv4),
            ipv6: await updateFamily(current.ipv6, old.ipv6, declared.ipv6),
        };
    };

    const update = async (zones: Zones) => {
        // In the order of `compareZones`, which `sortBlocks` requires of equal blocks.
        const names = [...new Set([...appliedZones.keys(), ...zones.keys()])].sort().reverse();
        const changed = names.filter(name => zones.get(name)?.clientBlocks !== appliedZones.get(name)?.clientBlocks);
        let next = tables;
        for (const group of groupByBlocks(changed, zones)) {
            next = await applyZones(next, group, zones);
        }
        tables = next;
        appliedZones = zones;
        zoneNames.forEach((name, zoneId) => {
            if (name !== undefined && !zones.has(name)) {
                zoneNames[zoneId] = undefined;
            }
        });
    };

    return {
        find: address => {
            const zoneId = findZoneIdInTable(address.length === IPV4_WORDS ? tables.ipv4 : tables.ipv6, address);
            return zoneId === undefined ? undefined : zoneNames[zoneId];
        },
        update,
    };
}

/** Divides availability zones into groups that are applied together, which bounds the memory of an update. */
function groupByBlocks(names: readonly string[], zones: Zones): string[][] {
    const groups: string[][] = [];
    let blocks = Infinity;
    names.forEach(name => {
        const count = zones.get(name)?.clientBlocks.length ?? 0;
        if (blocks + count > MAXIMUM_GROUP_BLOCKS) {
            groups.push([]);
            blocks = 0;
        }
        blocks += count;
        groups.at(-1)?.push(name);
    });
    return groups;
}

/** Parses and sorts the blocks of the named availability zones, in steps. */
async function readBlocks(
    names: readonly string[],
    zones: Zones,
    assignZoneId: (name: string) => number,
    yieldIfNeeded: YieldIfNeeded,
): Promise<SortedBlocks> {
    const getBlocks = (name: string) => zones.get(name)?.clientBlocks ?? [];
    const capacity = names.reduce((sum, name) => sum + getBlocks(name).length, 0);
    const ipv4 = createBlockListBuilder(IPV4_WORDS, capacity);
    const ipv6 = createBlockListBuilder(IPV6_WORDS, capacity);
    for (const name of names) {
        const zoneId = assignZoneId(name);
        const blocks = getBlocks(name);
        for (let from = 0; from < blocks.length; from += PARSE_BATCH_BLOCKS) {
            const end = Math.min(blocks.length, from + PARSE_BATCH_BLOCKS);
            for (let index = from; index < end; index++) {
                const { words, prefixLength } = parseBlock(blocks[index] as string);
                (words.length === IPV4_WORDS ? ipv4 : ipv6).add(words, prefixLength, zoneId);
            }
            await yieldIfNeeded();
        }
    }
    return {
        ipv4: await sortBlocks(IPV4_WORDS, ipv4.build(), yieldIfNeeded),
        ipv6: await sortBlocks(IPV6_WORDS, ipv6.build(), yieldIfNeeded),
    };
}

/** Creates a builder of an unsorted block list with a fixed capacity. */
function createBlockListBuilder(wordsPerAddress: number, capacity: number) {
    const starts = new Uint32Array(capacity * wordsPerAddress);
    const prefixLengths = new Uint8Array(capacity);
    const zoneIds = new Uint16Array(capacity);
    let size = 0;
    return {
        add: (address: AddressWords, prefixLength: number, zoneId: number) => {
            starts.set(address, size * wordsPerAddress);
            prefixLengths[size] = prefixLength;
            zoneIds[size++] = zoneId;
        },
        build: (): BlockList => ({
            size,
            starts: starts.subarray(0, size * wordsPerAddress),
            prefixLengths: prefixLengths.subarray(0, size),
            zoneIds: zoneIds.subarray(0, size),
        }),
    };
}
