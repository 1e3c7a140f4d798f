/**
 * Measures the wait of first requests at idle entries and the slots in use when all traffic arrives at one entry, both
 * with a request queue and with requests that are rejected immediately when no slot is free.
 *
 * Usage: node --conditions=source --import tsx packages/bench/src/slopes/routing-waiting.ts
 */
import { measureFirstRequests, measureSingleEntryLoad } from "../quotas/queue-measurement.js";

const BASE = { entries: 7, backendServers: 12, serviceMilliseconds: 200, seed: 1 };
const DURATIONS_MS = [500, 1_000, 1_500, 2_000];

const print = (line: string) => process.stdout.write(`${line}\n`);
const percent = (share: number) => `${(share * 100).toFixed(0)}%`;

print(`${BASE.entries} entries, ${BASE.backendServers} backend servers, seed ${BASE.seed}`);
for (const slots of [3, 4, 6]) {
    for (const queuesRequests of [false, true]) {
        const options = { ...BASE, slots, queuesRequests };
        const label = `${slots} slots, ${queuesRequests ? "waiting" : "rejected immediately"}`;
        const first = await measureFirstRequests(options);
        const served = first.filter(({ result }) => result === "served");
        const longest = Math.max(...first.map(({ waitMilliseconds }) => waitMilliseconds));
        print(`${label}: ${served.length} of ${first.length} first requests served, longest wait ${longest} ms`);
        const shares = await Promise.all(DURATIONS_MS.map(time => measureSingleEntryLoad(options, time)));
        const text = shares.map(({ shareOfAll, shareOfLeasable }, index) =>
            `${DURATIONS_MS[index]} ms ${percent(shareOfAll)} (${percent(shareOfLeasable)})`
        );
        print(`${label}: slots in use, in parentheses of those that quota floors leave: ${text.join(", ")}`);
    }
}
