/**
 * Measures build time, memory, lookup time, the time to update one availability zone and the longest delay of the event
 * loop, against the number of client blocks. Round robin is the baseline for the lookup time.
 *
 * Usage: node --expose-gc --conditions=source --import tsx packages/bench/src/slopes/lookup-table.ts
 */
import { createSystemClock } from "@hyssopfront/coordination";
import type { ConfigurationSource, ConfigurationView } from "hyssopfront/configuration/configuration-view.js";
import { parseAddress } from "hyssopfront/steering/address.js";
import { createRoundRobin } from "hyssopfront/steering/baselines/round-robin.js";
import { createEntrySelection } from "hyssopfront/steering/entry-selection.js";
import { createRandom } from "../quotas/fault-schedule.js";
import { createViewWithClientBlocks, randomClientBlock, randomClientBlocks } from "../steering/sample-blocks.js";

const AVAILABILITY_ZONES = 130;
const ENTRIES = 450;
const LOOKUPS = 200_000;
const SIZES = [13_000, 130_000, 390_000, 780_000];

const print = (line: string) => process.stdout.write(`${line}\n`);

const memoryInUse = async () => {
    // The memory of collected array buffers is released some turns of the event loop after the collection.
    for (let turn = 0; turn < 5; turn++) {
        (globalThis as { gc?: () => void }).gc?.();
        await new Promise(resolve => setTimeout(resolve, 20));
    }
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
};

/** Measures the duration of the work and the longest time between two turns of the event loop meanwhile. */
const measureStall = async (work: () => Promise<void>) => {
    let isRunning = true;
    let longest = 0;
    let last = performance.now();
    const recordDelays = async () => {
        while (isRunning) {
            await new Promise(resolve => setImmediate(resolve));
            const now = performance.now();
            longest = Math.max(longest, now - last);
            last = now;
        }
    };
    const recording = recordDelays();
    const startedAt = performance.now();
    await work();
    const milliseconds = performance.now() - startedAt;
    isRunning = false;
    await recording;
    return { milliseconds, longest };
};

const measureMicroseconds = (calls: number, call: (index: number) => unknown) => {
    const startedAt = performance.now();
    for (let index = 0; index < calls; index++) {
        call(index);
    }
    return (performance.now() - startedAt) * 1_000 / calls;
};

const measure = async (blocks: number) => {
    const random = createRandom(1);
    let view: ConfigurationView = createViewWithClientBlocks({
        revision: 1,
        availabilityZones: AVAILABILITY_ZONES,
        blocksPerAvailabilityZone: blocks / AVAILABILITY_ZONES,
        entries: ENTRIES,
        random,
    });
    let notify: (changed: ConfigurationView) => void = () => undefined;
    const configuration: ConfigurationSource = {
        view: () => view,
        holdsViewLease: () => true,
        onChange: listener => {
            notify = listener;
            return () => undefined;
        },
    };
    const addresses = Array.from({ length: 4_096 }, () => randomClientBlock(random).split("/")[0] as string);
    const before = await memoryInUse();
    const entrySelection = createEntrySelection({
        clock: createSystemClock(),
        configuration,
        drains: { entryShare: () => 0 },
        availabilityZone: "zone-1",
    });
    const build = await measureStall(() => entrySelection.waitForUpdate());
    const memory = await memoryInUse() - before;

    const parsedAddresses = addresses.map(address => parseAddress(address));
    const lookUp = (index: number) => entrySelection.lookUp("stoc", { address: parsedAddresses[index % 4_096] });
    const parseAndLookUp = (index: number) =>
        entrySelection.lookUp("stoc", { address: parseAddress(addresses[index % 4_096] as string) });
    measureMicroseconds(LOOKUPS, parseAndLookUp);
    const lookupTime = measureMicroseconds(LOOKUPS, lookUp);
    const parsedLookupTime = measureMicroseconds(LOOKUPS, parseAndLookUp);
    const roundRobin = createRoundRobin(configuration);
    measureMicroseconds(LOOKUPS, () => roundRobin("stoc"));
    const roundRobinTime = measureMicroseconds(LOOKUPS, () => roundRobin("stoc"));

    const update = async (change: (old: readonly string[]) => string[]) => {
        const old = view.availabilityZones.get("zone-65");
        const spec = { region: old?.region ?? "", clientBlocks: change(old?.clientBlocks ?? []) };
        view = {
            ...view,
            revision: view.revision + 1,
            availabilityZones: new Map([...view.availabilityZones, ["zone-65", spec]]),
        };
        return measureStall(async () => {
            notify(view);
            await entrySelection.waitForUpdate();
        });
    };
    const oneBlock = await update(old => [...old, randomClientBlock(random)]);
    const allBlocks = await update(old => randomClientBlocks(old.length, random));
    print(
        `${blocks} blocks: build ${build.milliseconds.toFixed(0)} ms (longest stall ${build.longest.toFixed(1)} ms), `
            + `memory ${(memory / 1e6).toFixed(1)} MB, lookup ${lookupTime.toFixed(2)} us, with parsing `
            + `${parsedLookupTime.toFixed(2)} us, round robin ${
                roundRobinTime.toFixed(2)
            } us, one block of a zone added `
            + `${oneBlock.milliseconds.toFixed(1)} ms (stall ${oneBlock.longest.toFixed(1)} ms), all blocks of a zone `
            + `replaced ${allBlocks.milliseconds.toFixed(1)} ms (stall ${allBlocks.longest.toFixed(1)} ms)`,
    );
    entrySelection.close();
};

print(`${AVAILABILITY_ZONES} availability zones, ${ENTRIES} entries, a third of the blocks IPv6`);
for (const blocks of SIZES) {
    await measure(blocks);
}
