/**
 * Sorted lists of client CIDR blocks in typed arrays, with the availability zones that declare them.
 */
import { wordMask } from "./address.js";

/** Blocks of one address family, sorted by address, then by prefix length, then by availability zone. */
export type BlockList = {
    readonly size: number;
    /** Network addresses: the 32-bit words of each block follow those of the block before it. */
    readonly starts: Uint32Array;
    readonly prefixLengths: Uint8Array;
    /** Numbers of the availability zones, as the owner of the list assigns them. */
    readonly zoneIds: Uint16Array;
};

/** Orders two availability zones that declare the same block; lookups return the last of them. */
export type CompareZones = (zoneId: number, otherZoneId: number) => number;

/**
 * Function to call between the steps of a long computation. Returns undefined while no yield is needed, and otherwise a
 * promise that resolves after a turn of the event loop.
 */
export type YieldIfNeeded = () => Promise<void> | undefined;

const RADIX = 256;

/**
 * Compares the block at `index` with a block of another list, by address, then by prefix length.
 *
 * @returns A negative number, 0 or a positive number, as a comparison function for sorting does.
 */
export function compareBlocks(
    wordsPerAddress: number,
    list: BlockList,
    index: number,
    other: BlockList,
    otherIndex: number,
): number {
    const order = compareAddresses(wordsPerAddress, list.starts, index, other.starts, otherIndex);
    return order === 0 ? (list.prefixLengths[index] ?? 0) - (other.prefixLengths[otherIndex] ?? 0) : order;
}

/**
 * Compares two addresses numerically.
 *
 * @returns -1, 0 or 1.
 */
export function compareAddresses(
    wordsPerAddress: number,
    starts: Uint32Array,
    index: number,
    otherStarts: Uint32Array,
    otherIndex: number,
): number {
    for (let word = 0; word < wordsPerAddress; word++) {
        const own = starts[index * wordsPerAddress + word] as number;
        const other = otherStarts[otherIndex * wordsPerAddress + word] as number;
        if (own !== other) {
            return own < other ? -1 : 1;
        }
    }
    return 0;
}

/** True when the block at `index` contains the address at `otherIndex`. */
export function containsAddress(
    wordsPerAddress: number,
    starts: Uint32Array,
    index: number,
    prefixLength: number,
    address: Uint32Array,
    addressIndex: number,
): boolean {
    for (let word = 0, bits = prefixLength; word < wordsPerAddress && bits > 0; word++, bits -= 32) {
        const difference = (starts[index * wordsPerAddress + word] as number)
            ^ (address[addressIndex * wordsPerAddress + word] as number);
        if ((difference & wordMask(bits)) !== 0) {
            return false;
        }
    }
    return true;
}

/** Compares as `compareBlocks` does, then by availability zone. */
export function compareBlocksAndZones(
    wordsPerAddress: number,
    list: BlockList,
    index: number,
    other: BlockList,
    otherIndex: number,
    compareZones: CompareZones,
): number {
    const order = compareBlocks(wordsPerAddress, list, index, other, otherIndex);
    const zoneId = list.zoneIds[index] as number;
    const otherZoneId = other.zoneIds[otherIndex] as number;
    return order !== 0 || zoneId === otherZoneId ? order : compareZones(zoneId, otherZoneId);
}

/**
 * Sorts blocks and removes duplicates. Uses a radix sort that yields between its passes, because a comparison sort of
 * that many blocks would block the event loop and delay lookups.
 *
 * @param wordsPerAddress Number of 32-bit words in an address.
 * @param list Blocks in any order, except that equal blocks must be ordered by availability zone.
 * @param yieldIfNeeded Called between the passes.
 * @returns A new list.
 */
export async function sortBlocks(
    wordsPerAddress: number,
    list: BlockList,
    yieldIfNeeded: YieldIfNeeded,
): Promise<BlockList> {
    const { size, starts, prefixLengths } = list;
    let order = new Uint32Array(size).map((_, index) => index);
    let scratch = new Uint32Array(size);
    const keys = new Uint8Array(size);
    const sortByKeys = () => {
        const positions = new Uint32Array(RADIX + 1);
        keys.forEach(key => positions[key + 1] = (positions[key + 1] as number) + 1);
        if (positions.includes(size)) {
            return;
        }
        for (let digit = 1; digit < RADIX; digit++) {
            positions[digit] = (positions[digit] as number) + (positions[digit - 1] as number);
        }
        for (let position = 0; position < size; position++) {
            const index = order[position] as number;
            const target = positions[keys[index] as number] as number;
            positions[keys[index] as number] = target + 1;
            scratch[target] = index;
        }
        [order, scratch] = [scratch, order];
    };
    keys.set(prefixLengths.subarray(0, size));
    sortByKeys();
    for (let word = wordsPerAddress - 1; word >= 0; word--) {
        for (let shift = 0; shift < 32; shift += 8) {
            for (let index = 0; index < size; index++) {
                keys[index] = (starts[index * wordsPerAddress + word] as number) >>> shift & 0xff;
            }
            sortByKeys();
            await yieldIfNeeded();
        }
    }
    const distinct = order.filter((index, position) => !isDuplicate(wordsPerAddress, list, order, position, index));
    await yieldIfNeeded();
    return selectBlocks(wordsPerAddress, list, distinct);
}

/** True for a block that the same availability zone declares twice; duplicates are adjacent after sorting. */
function isDuplicate(
    wordsPerAddress: number,
    list: BlockList,
    order: Uint32Array,
    position: number,
    index: number,
): boolean {
    const previous = order[position - 1];
    return previous !== undefined && list.zoneIds[previous] === list.zoneIds[index]
        && compareBlocks(wordsPerAddress, list, index, list, previous) === 0;
}

function selectBlocks(wordsPerAddress: number, list: BlockList, indexes: Uint32Array): BlockList {
    const size = indexes.length;
    const starts = new Uint32Array(size * wordsPerAddress);
    const prefixLengths = new Uint8Array(size);
    const zoneIds = new Uint16Array(size);
    for (let position = 0; position < size; position++) {
        const index = indexes[position] as number;
        for (let word = 0; word < wordsPerAddress; word++) {
            starts[position * wordsPerAddress + word] = list.starts[index * wordsPerAddress + word] as number;
        }
        prefixLengths[position] = list.prefixLengths[index] as number;
        zoneIds[position] = list.zoneIds[index] as number;
    }
    return { size, starts, prefixLengths, zoneIds };
}

/** Returns the blocks of the first list that are not in the second, in order. Both lists must be sorted. */
export function subtractBlocks(
    wordsPerAddress: number,
    list: BlockList,
    other: BlockList,
    compareZones: CompareZones,
): BlockList {
    const kept = new Uint32Array(list.size);
    let size = 0;
    for (let index = 0, otherIndex = 0; index < list.size; index++) {
        const compare = () => compareBlocksAndZones(wordsPerAddress, other, otherIndex, list, index, compareZones);
        while (otherIndex < other.size && compare() < 0) {
            otherIndex++;
        }
        if (otherIndex === other.size || compare() !== 0) {
            kept[size++] = index;
        }
    }
    return selectBlocks(wordsPerAddress, list, kept.subarray(0, size));
}
