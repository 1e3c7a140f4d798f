/**
 * One process that looks up at an entry as fast as it answers. It sends its counts to its parent and ends.
 *
 * Usage: node --conditions=source --import tsx packages/bench/src/experiments/lookup-load.ts <JSON of LookupLoad>
 */
import { Pool } from "undici";

export type LookupLoad = {
    readonly url: string;
    readonly service: string;
    readonly connections: number;
    readonly warmUpMilliseconds: number;
    readonly milliseconds: number;
};

export type LookupLoadResult = {
    readonly count: number;
    readonly failures: number;
    /** Share of the time in which this process was busy; near 1 it limits the figure itself. */
    readonly utilization: number;
};

const load = JSON.parse(process.argv[2] ?? "") as LookupLoad;
const pool = new Pool(load.url, { connections: load.connections });
const measureFrom = performance.now() + load.warmUpMilliseconds;
const end = measureFrom + load.milliseconds;
let count = 0;
let failures = 0;

const lookUpUntilEnd = async (connection: number) => {
    for (let turn = connection; performance.now() < end; turn += 1) {
        const address = `10.${1 + turn % 6}.${turn % 251}.${turn % 241}`;
        const answer = await pool.request({
            method: "GET",
            path: `/v1/lookup?service=${load.service}&address=${address}`,
        });
        await answer.body.text();
        if (answer.statusCode !== 200) {
            failures += 1;
        }
        else if (performance.now() >= measureFrom) {
            count += 1;
        }
    }
};

const before = performance.eventLoopUtilization();
await Promise.all(Array.from({ length: load.connections }, (_, index) => lookUpUntilEnd(index)));
const busyShare = performance.eventLoopUtilization(before).utilization;
process.send?.({ count, failures, utilization: busyShare } satisfies LookupLoadResult, () => process.exit());
