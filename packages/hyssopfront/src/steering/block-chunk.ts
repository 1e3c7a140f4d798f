/**
 * A contiguous range of the sorted client blocks of a table, with the availability zones that declare them.
 */
import {
    type BlockList,
    compareAddresses,
    compareBlocks,
    compareBlocksAndZones,
    type CompareZones,
    containsAddress,
} from "./block-list.js";

/** A larger chunk is split. An update copies every chunk that it modifies. */
export const MAXIMUM_CHUNK_BLOCKS = 8_192;
const NO_PARENT = 0xffff;

/** A block of an earlier chunk that contains the first address of this chunk. */
type EnclosingBlock = { readonly starts: Uint32Array; readonly prefixLength: number; readonly zoneId: number };

/** A sorted part of a table; each chunk is looked up on its own. */
export type BlockChunk = BlockList & {
    /** For each block, the index of the smallest other block of the chunk that contains it, or `NO_PARENT`. */
    readonly parents: Uint16Array;
    /** Blocks of earlier chunks that contain the first address of this chunk; longest prefix last. */
    enclosingBlocks: readonly EnclosingBlock[];
};

/** Returns the index of the last block that starts at or before the address, or -1 when there is none. */
function findLastAtOrBefore(wordsPerAddress: number, chunk: BlockChunk, address: Uint32Array): number {
    let low = 0;
    let high = chunk.size;
    while (low < high) {
        const middle = low + high >>> 1;
        if (compareAddresses(wordsPerAddress, chunk.starts, middle, address, 0) <= 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low - 1;
}

/** Finds the availability zone of the block with the longest prefix that contains the address, or undefined. */
export function findZoneId(wordsPerAddress: number, chunk: BlockChunk, address: Uint32Array): number | undefined {
    let index = findLastAtOrBefore(wordsPerAddress, chunk, address);
    while (index >= 0) {
        if (containsAddress(wordsPerAddress, chunk.starts, index, chunk.prefixLengths[index] as number, address, 0)) {
            return chunk.zoneIds[index];
        }
        index = getParent(chunk, index);
    }
    for (let position = chunk.enclosingBlocks.length - 1; position >= 0; position--) {
        const { starts, prefixLength, zoneId } = chunk.enclosingBlocks[position] as EnclosingBlock;
        if (containsAddress(wordsPerAddress, starts, 0, prefixLength, address, 0)) {
            return zoneId;
        }
    }
    return undefined;
}

function getParent(chunk: BlockChunk, index: number): number {
    const parent = chunk.parents[index] as number;
    return parent === NO_PARENT ? -1 : parent;
}

/** Returns the blocks of this chunk and of earlier chunks that contain the first address of the next chunk. */
export function findBlocksEnclosingNext(
    wordsPerAddress: number,
    chunk: BlockChunk,
    next: BlockChunk,
): EnclosingBlock[] {
    const ownBlocks: EnclosingBlock[] = [];
    const enclosesNext = (starts: Uint32Array, index: number, prefixLength: number) =>
        containsAddress(wordsPerAddress, starts, index, prefixLength, next.starts, 0);
    for (let index = chunk.size - 1; index >= 0; index = getParent(chunk, index)) {
        const prefixLength = chunk.prefixLengths[index] as number;
        if (enclosesNext(chunk.starts, index, prefixLength)) {
            const starts = chunk.starts.slice(index * wordsPerAddress, (index + 1) * wordsPerAddress);
            ownBlocks.unshift({ starts, prefixLength, zoneId: chunk.zoneIds[index] as number });
        }
    }
    return [
        ...chunk.enclosingBlocks.filter(({ starts, prefixLength }) => enclosesNext(starts, 0, prefixLength)),
        ...ownBlocks,
    ];
}

/** Part of a sorted list, from an index (inclusive) to an index (exclusive). */
export type BlockRange = { readonly list: BlockList; readonly from: number; readonly to: number };

/** Blocks of an old chunk, the blocks to remove from its copy, and the blocks to add. */
export type ChunkChange = { readonly old: BlockRange; readonly removed: BlockRange; readonly added: BlockRange };

/**
 * Copies a chunk while removing and adding blocks.
 *
 * @returns One chunk, several when it would exceed the maximum size, or none when no block is left.
 */
export function updateChunk(
    wordsPerAddress: number,
    { old, removed, added }: ChunkChange,
    compareZones: CompareZones,
): BlockChunk[] {
    const capacity = old.to - old.from + added.to - added.from;
    const starts = new Uint32Array(capacity * wordsPerAddress);
    const prefixLengths = new Uint8Array(capacity);
    const zoneIds = new Uint16Array(capacity);
    let size = 0;
    let nextRemoved = removed.from;
    let nextAdded = added.from;

    const append = (list: BlockList, index: number) => {
        for (let word = 0; word < wordsPerAddress; word++) {
            starts[size * wordsPerAddress + word] = list.starts[index * wordsPerAddress + word] as number;
        }
        prefixLengths[size] = list.prefixLengths[index] as number;
        zoneIds[size] = list.zoneIds[index] as number;
        size++;
    };
    const compare = (list: BlockList, listIndex: number, index: number) =>
        compareBlocksAndZones(wordsPerAddress, list, listIndex, old.list, index, compareZones);

    for (let index = old.from; index < old.to; index++) {
        while (nextAdded < added.to && compare(added.list, nextAdded, index) < 0) {
            append(added.list, nextAdded++);
        }
        if (nextRemoved < removed.to && compare(removed.list, nextRemoved, index) === 0) {
            nextRemoved++;
        }
        else {
            append(old.list, index);
        }
    }
    while (nextAdded < added.to) {
        append(added.list, nextAdded++);
    }
    return splitIntoChunks(wordsPerAddress, { size, starts, prefixLengths, zoneIds });
}

function splitIntoChunks(wordsPerAddress: number, list: BlockList): BlockChunk[] {
    const count = list.size > MAXIMUM_CHUNK_BLOCKS
        ? Math.ceil(list.size / (MAXIMUM_CHUNK_BLOCKS / 2))
        : Math.min(1, list.size);
    /** Equal blocks of several availability zones stay in one chunk, because an update searches for them there. */
    const boundary = (part: number) => {
        let index = Math.floor(list.size * part / count);
        while (index > 0 && index < list.size && compareBlocks(wordsPerAddress, list, index, list, index - 1) === 0) {
            index++;
        }
        return index;
    };
    return Array.from({ length: count }, (_, part) => {
        const from = boundary(part);
        const to = boundary(part + 1);
        // Copies the ranges, so that a chunk does not retain the memory of the adjacent chunks.
        const starts = list.starts.slice(from * wordsPerAddress, to * wordsPerAddress);
        const prefixLengths = list.prefixLengths.slice(from, to);
        const partial = { size: to - from, starts, prefixLengths, zoneIds: list.zoneIds.slice(from, to) };
        return { ...partial, parents: findParents(wordsPerAddress, partial), enclosingBlocks: [] };
    });
}

/** Because the blocks are sorted, the parent of a block is the previous block or one of its ancestors. */
function findParents(wordsPerAddress: number, { size, starts, prefixLengths }: BlockList): Uint16Array {
    const parents = new Uint16Array(size).fill(NO_PARENT);
    for (let index = 1; index < size; index++) {
        let parent = index - 1;
        while (
            parent !== NO_PARENT
            && !containsAddress(wordsPerAddress, starts, parent, prefixLengths[parent] as number, starts, index)
        ) {
            parent = parents[parent] as number;
        }
        parents[index] = parent;
    }
    return parents;
}
