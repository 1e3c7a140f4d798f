/**
 * Longest-prefix match over the client blocks of all availability zones, updated chunk by chunk.
 */
import {
    type BlockChunk,
    type BlockRange,
    type ChunkChange,
    findBlocksEnclosingNext,
    findZoneId,
    MAXIMUM_CHUNK_BLOCKS,
    updateChunk,
} from "./block-chunk.js";
import {
    type BlockList,
    compareAddresses,
    compareBlocks,
    type CompareZones,
    type YieldIfNeeded,
} from "./block-list.js";

/** An immutable table of one address family. An update returns a new table that shares the unmodified chunks. */
export type BlockTable = {
    /** Number of 32-bit words in an address. */
    readonly wordsPerAddress: number;
    /** Chunks in the order of their addresses. */
    readonly chunks: readonly BlockChunk[];
};

const EMPTY_LIST: BlockList = {
    size: 0,
    starts: new Uint32Array(),
    prefixLengths: new Uint8Array(),
    zoneIds: new Uint16Array(),
};

/** Creates an empty table for addresses of the given number of 32-bit words. */
export function createEmptyBlockTable(wordsPerAddress: number): BlockTable {
    return { wordsPerAddress, chunks: [] };
}

/**
 * Finds the availability zone of an address.
 *
 * @param address 32-bit words of the address; must be of the address family of the table.
 * @returns Number of the zone whose block contains the address with the longest prefix, or undefined.
 */
export function findZoneIdInTable({ wordsPerAddress, chunks }: BlockTable, address: Uint32Array): number | undefined {
    let low = 0;
    let high = chunks.length;
    while (low < high) {
        const middle = low + high >>> 1;
        if (compareAddresses(wordsPerAddress, (chunks[middle] as BlockChunk).starts, 0, address, 0) <= 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    const chunk = chunks[low - 1];
    return chunk && findZoneId(wordsPerAddress, chunk, address);
}

/**
 * Removes and adds blocks of any availability zones.
 *
 * @param removed Blocks that their zones no longer declare, sorted; each must be in the table.
 * @param added Blocks that their zones now declare, sorted; none may be in the table for the same zone.
 * @param compareZones Orders the zones that declare the same block.
 * @param yieldIfNeeded Called between chunks, so that a large update does not delay lookups.
 * @returns The new table; the given one stays usable.
 */
export async function updateBlockTable(
    table: BlockTable,
    removed: BlockList,
    added: BlockList,
    compareZones: CompareZones,
    yieldIfNeeded: YieldIfNeeded,
): Promise<BlockTable> {
    const { wordsPerAddress } = table;
    const chunks: BlockChunk[] = [];
    const old: readonly (BlockChunk | undefined)[] = table.chunks.length === 0 ? [undefined] : table.chunks;
    let removedFrom = 0;
    let addedFrom = 0;
    for (const [position, chunk] of old.entries()) {
        const next = old[position + 1];
        const removedTo = next === undefined
            ? removed.size
            : findFirstAtOrAfter(wordsPerAddress, removed, removedFrom, next, 0);
        const addedTo = next === undefined
            ? added.size
            : findFirstAtOrAfter(wordsPerAddress, added, addedFrom, next, 0);
        if (removedFrom === removedTo && addedFrom === addedTo) {
            chunks.push(...(chunk === undefined ? [] : [chunk]));
            continue;
        }
        const removedRange = { list: removed, from: removedFrom, to: removedTo };
        const addedRange = { list: added, from: addedFrom, to: addedTo };
        for (const part of splitChange(wordsPerAddress, chunk ?? EMPTY_LIST, removedRange, addedRange)) {
            chunks.push(...updateChunk(wordsPerAddress, part, compareZones));
            await yieldIfNeeded();
        }
        removedFrom = removedTo;
        addedFrom = addedTo;
    }
    return { wordsPerAddress, chunks: linkEnclosingBlocks(wordsPerAddress, chunks) };
}

/** Splits the change of one chunk into parts that each add about one chunk's worth of blocks at most. */
function splitChange(wordsPerAddress: number, old: BlockList, removed: BlockRange, added: BlockRange): ChunkChange[] {
    const parts: ChunkChange[] = [];
    let oldFrom = 0;
    let removedFrom = removed.from;
    let addedFrom = added.from;
    do {
        let end = Math.min(added.to, addedFrom + MAXIMUM_CHUNK_BLOCKS);
        // Equal blocks of several availability zones stay in one chunk, because an update searches for them there.
        while (end < added.to && compareBlocks(wordsPerAddress, added.list, end, added.list, end - 1) === 0) {
            end++;
        }
        const isLast = end === added.to;
        const oldTo = isLast ? old.size : findFirstAtOrAfter(wordsPerAddress, old, oldFrom, added.list, end);
        const removedTo = isLast
            ? removed.to
            : findFirstAtOrAfter(wordsPerAddress, removed.list, removedFrom, added.list, end);
        parts.push({
            old: { list: old, from: oldFrom, to: oldTo },
            removed: { list: removed.list, from: removedFrom, to: removedTo },
            added: { list: added.list, from: addedFrom, to: end },
        });
        oldFrom = oldTo;
        removedFrom = removedTo;
        addedFrom = end;
    }
    while (addedFrom < added.to);
    return parts;
}

/** Computes the enclosing blocks of each chunk. Copies the chunk objects, because the old table still uses them. */
function linkEnclosingBlocks(wordsPerAddress: number, chunks: readonly BlockChunk[]): BlockChunk[] {
    const linked: BlockChunk[] = [];
    chunks.forEach(chunk => {
        const previous = linked.at(-1);
        linked.push({
            ...chunk,
            enclosingBlocks: previous === undefined ? [] : findBlocksEnclosingNext(wordsPerAddress, previous, chunk),
        });
    });
    return linked;
}

/** Returns the index of the first block, starting at `from`, that does not sort before a block of another list. */
function findFirstAtOrAfter(
    wordsPerAddress: number,
    list: BlockList,
    from: number,
    other: BlockList,
    otherIndex: number,
): number {
    let low = from;
    let high = list.size;
    while (low < high) {
        const middle = low + high >>> 1;
        if (compareBlocks(wordsPerAddress, list, middle, other, otherIndex) < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}
