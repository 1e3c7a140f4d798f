/**
 * Prints build time, memory, time of a lookup and time of the update of one site, over four numbers of client blocks,
 * and the longest time for which the event loop was held up. Round robin is the baseline.
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

const SITES = 130;
const ENTRIES = 450;
const LOOKUPS = 200_000;
const SIZES = [13_000, 130_000, 390_000, 780_000];

const print = (line: string) => process.stdout.write(`${line}\n`);

const memoryInUse = async () => {
    // Freed array buffers are given back some turns after the collection that found them.
    for (let turn = 0; turn < 5; turn++) {
        (globalThis as { gc?: () => void }).gc?.();
        await new Promise(resolve => setTimeout(resolve, 20));
    }
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
};

/** Measures the longest time between two turns of the event loop while the work runs. */
const longestStall = async (work: () => Promise<void>) => {
    let isRunning = true;
    let longest = 0;
    let last = performance.now();
    const watch = async () => {
        while (isRunning) {
            await new Promise(resolve => setImmediate(resolve));
            const now = performance.now();
            longest = Math.max(longest, now - last);
            last = now;
        }
    };
    const watching = watch();
    const startedAt = performance.now();
    await work();
    const milliseconds = performance.now() - startedAt;
    isRunning = false;
    await watching;
    return { milliseconds, longest };
};

const microseconds = (calls: number, call: (index: number) => unknown) => {
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
        availabilityZones: SITES,
        blocksPerAvailabilityZone: blocks / SITES,
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
    const steering = createEntrySelection({
        clock: createSystemClock(),
        configuration,
        drains: { entryShare: () => 0 },
        availabilityZone: "zone-1",
    });
    const build = await longestStall(() => steering.waitForUpdate());
    const memory = await memoryInUse() - before;

    const words = addresses.map(address => parseAddress(address));
    const lookUp = (index: number) => steering.lookUp("stoc", { address: words[index % 4_096] });
    const parseAndLookUp = (index: number) =>
        steering.lookUp("stoc", { address: parseAddress(addresses[index % 4_096] as string) });
    microseconds(LOOKUPS, parseAndLookUp);
    const lookupTime = microseconds(LOOKUPS, lookUp);
    const wholeTime = microseconds(LOOKUPS, parseAndLookUp);
    const roundRobin = createRoundRobin(configuration);
    microseconds(LOOKUPS, () => roundRobin("stoc"));
    const roundRobinTime = microseconds(LOOKUPS, () => roundRobin("stoc"));

    const update = async (change: (old: readonly string[]) => string[]) => {
        const old = view.availabilityZones.get("zone-65");
        const spec = { region: old?.region ?? "", clientBlocks: change(old?.clientBlocks ?? []) };
        view = {
            ...view,
            revision: view.revision + 1,
            availabilityZones: new Map([...view.availabilityZones, ["zone-65", spec]]),
        };
        return longestStall(async () => {
            notify(view);
            await steering.waitForUpdate();
        });
    };
    const oneBlock = await update(old => [...old, randomClientBlock(random)]);
    const wholeSite = await update(old => randomClientBlocks(old.length, random));
    print(
        `${blocks} blocks: build ${build.milliseconds.toFixed(0)} ms (longest stall ${build.longest.toFixed(1)} ms), `
            + `memory ${(memory / 1e6).toFixed(1)} MB, lookup ${lookupTime.toFixed(2)} us, with parsing `
            + `${wholeTime.toFixed(2)} us, round robin ${roundRobinTime.toFixed(2)} us, one block of a site added `
            + `${oneBlock.milliseconds.toFixed(1)} ms (stall ${oneBlock.longest.toFixed(1)} ms), all blocks of a site `
            + `replaced ${wholeSite.milliseconds.toFixed(1)} ms (stall ${wholeSite.longest.toFixed(1)} ms)`,
    );
    steering.close();
};

print(`${SITES} sites, ${ENTRIES} entries, a third of the blocks IPv6`);
for (const blocks of SIZES) {
    await measure(blocks);
}
