/**
 * Prints the wait of first requests at idle entries and the slots in use when all traffic arrives at one entry, with
 * requests that wait for room and with requests that are refused at once.
 *
 * Usage: node --conditions=source --import tsx packages/bench/src/slopes/routing-waiting.ts
 */
import { measureFirstRequests, measureSingleEntryLoad } from "../quotas/queue-measurement.js";

const BASE = { entries: 7, backendServers: 12, serviceMilliseconds: 200, seed: 1 };
const TIMES = [500, 1_000, 1_500, 2_000];

const print = (line: string) => process.stdout.write(`${line}\n`);
const percent = (share: number) => `${(share * 100).toFixed(0)}%`;

print(`${BASE.entries} entries, ${BASE.backendServers} backend servers, seed ${BASE.seed}`);
for (const slots of [3, 4, 6]) {
    for (const waits of [false, true]) {
        const options = { ...BASE, slots, waits };
        const kind = `${slots} slots, ${waits ? "waiting" : "refused at once"}`;
        const first = await measureFirstRequests(options);
        const served = first.filter(({ result }) => result === "served");
        const longest = Math.max(...first.map(({ waitMilliseconds: waited }) => waited));
        print(`${kind}: ${served.length} of ${first.length} first requests served, longest wait ${longest} ms`);
        const shares = await Promise.all(TIMES.map(time => measureSingleEntryLoad(options, time)));
        const text = shares.map(({ shareOfAll, shareOfLeasable }, index) =>
            `${TIMES[index]} ms ${percent(shareOfAll)} (${percent(shareOfLeasable)})`
        );
        print(`${kind}: slots in use, in brackets of those that floors leave: ${text.join(", ")}`);
    }
}
