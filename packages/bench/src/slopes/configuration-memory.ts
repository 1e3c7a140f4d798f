/**
 * Measures the memory that an entry needs for the configuration, against the number of client blocks: the followed
 * publication, the view and the lookup table.
 *
 * Usage: node --conditions=source --expose-gc --import tsx packages/bench/src/slopes/configuration-memory.ts
 */
import {
    createFrameDecoder,
    createManualClock,
    createPublication,
    encodeFrame,
    publicationBatchSchema,
} from "@hyssopfront/coordination";
import type { ConfigurationSource } from "hyssopfront/configuration/configuration-view.ts";
import { buildView } from "hyssopfront/control/view-builder.ts";
import { createEntrySelection } from "hyssopfront/steering/entry-selection.ts";

const BLOCK_COUNTS = [97_500, 195_000, 390_000, 780_000];
const AVAILABILITY_ZONES = 26;
const MEGABYTE = 1_000_000;

const usedBytes = () => {
    (globalThis as { gc?: () => void }).gc?.();
    const { heapUsed, external, arrayBuffers } = process.memoryUsage();
    return heapUsed + Math.max(external, arrayBuffers);
};

const makeZone = (zone: number, blocks: number) => ({
    kind: "AvailabilityZone",
    name: `zone-${zone}`,
    generation: 1,
    revision: 1,
    spec: {
        region: `region-${zone % 10}`,
        clientBlocks: Array.from({ length: blocks }, (_, index) => {
            const number = zone * blocks + index;
            return `${10 + (number >> 16) % 200}.${(number >> 8) & 255}.${number & 255}.0/24`;
        }),
    },
});

/** Encodes and decodes a value, so that it takes as much memory as a received one. */
const encodeAndDecode = (value: unknown): unknown => {
    const decoder = createFrameDecoder(publicationBatchSchema);
    decoder.append(
        encodeFrame({ kind: "delta", afterRevision: 0, revision: 1, items: [{ key: "k", revision: 1, value }] }),
    );
    const batch = decoder.next();
    return batch !== undefined && batch.kind === "delta" ? batch.items[0]?.value : undefined;
};

const rows: unknown[] = [];
for (const blocks of BLOCK_COUNTS) {
    const clock = createManualClock();
    const before = usedBytes();
    const publication = createPublication({ clock });
    for (let zone = 0; zone < AVAILABILITY_ZONES; zone++) {
        const value = encodeAndDecode(makeZone(zone, blocks / AVAILABILITY_ZONES));
        publication.publish(zone + 1, [{ key: `availability-zones/zone-${zone}`, value }]);
    }
    const view = buildView(publication.revision, publication.items());
    const withView = usedBytes();
    const configuration: ConfigurationSource = {
        view: () => view,
        holdsViewLease: () => true,
        onChange: () => () => undefined,
    };
    const entrySelection = createEntrySelection({
        clock: { ...clock, sleep: () => new Promise(resolve => setImmediate(resolve)) },
        configuration,
        drains: { entryShare: () => 0 },
        availabilityZone: "zone-0",
    });
    await entrySelection.waitForUpdate();
    const withTable = usedBytes();
    rows.push({
        blocks,
        "publication and view, MB": ((withView - before) / MEGABYTE).toFixed(1),
        "lookup table, MB": ((withTable - withView) / MEGABYTE).toFixed(1),
        "all, MB": ((withTable - before) / MEGABYTE).toFixed(1),
    });
    entrySelection.close();
}
// eslint-disable-next-line no-console -- the table is the result of this script
console.table(rows);
