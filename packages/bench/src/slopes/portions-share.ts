/**
 * Measures the usable share of a cap and the time in which a quota moves, for leased quotas and both baselines.
 *
 * Usage: node --conditions=source --import tsx packages/bench/src/slopes/portions-share.ts
 */
import { createStaticQuotas, createUncoordinatedLimits } from "hyssopfront/admission/baselines/fixed-quotas.js";
import { measureQuotaMove, measureUsableShare } from "../quotas/share-measurement.js";

const ENTRIES = 7;
const SEED = 1;

const ADMISSIONS = [
    { name: "leased quotas", createBaseline: undefined },
    { name: "static quotas", createBaseline: createStaticQuotas },
    { name: "uncoordinated limits", createBaseline: createUncoordinatedLimits },
];

const SPLITS = [
    { name: "all at one entry", split: (index: number) => index === 0 ? 1 : 0 },
    { name: "spread evenly", split: () => 1 / ENTRIES },
    { name: "spread 7:6:5:4:3:2:1", split: (index: number) => (ENTRIES - index) / 28 },
];

const print = (line: string) => process.stdout.write(`${line}\n`);
const percent = (share: number) => `${(share * 100).toFixed(1)}%`;

print(`${ENTRIES} entries, offered 1.5 times the cap, seed ${SEED}`);
for (const requestsPerSecond of [50, 200, 1_000, 5_000]) {
    for (const { name: split, split: trafficSplit } of SPLITS) {
        for (const { name, createBaseline } of ADMISSIONS) {
            const options = { entries: ENTRIES, requestsPerSecond, offeredLoad: 1.5, seed: SEED };
            const result = await measureUsableShare({ ...options, split: trafficSplit, createBaseline });
            print(
                `cap ${requestsPerSecond}/s, ${split}, ${name}: usable ${percent(result.usableShare)}, highest second `
                    + `${percent(result.highestSecond)}`,
            );
        }
    }
}
for (const offeredLoad of [0.5, 1.5]) {
    for (const { name, createBaseline } of ADMISSIONS) {
        const moveTimes = [];
        for (let seed = 1; seed <= 10; seed++) {
            moveTimes.push(
                await measureQuotaMove({
                    entries: ENTRIES,
                    requestsPerSecond: 1_000,
                    offeredLoad,
                    seed,
                    createBaseline,
                }),
            );
        }
        const times = moveTimes.map(time => time ?? Infinity).sort((a, b) => a - b);
        print(
            `move of all traffic, offered ${offeredLoad} times the cap, ${name}: median ${times[5]} ms, `
                + `longest ${times[9]} ms`,
        );
    }
}
