/**
 * Closed-loop load generator for lookups at one entry. Sends its result to the parent process and exits.
 *
 * Usage: node --conditions=source --import tsx packages/bench/src/experiments/lookup-load.ts <JSON of LookupLoad>
 */
import { Pool } from "undici";

/** Load that one process generates. */
export type LookupLoad = {
    /** Base address of the entry. */
    readonly url: string;
    readonly service: string;
    readonly connections: number;
    readonly warmUpMilliseconds: number;
    readonly milliseconds: number;
};

/** Message to the parent process. */
export type LookupLoadResult = {
    /** Successful lookups after the warm-up. */
    readonly count: number;
    /** Responses with a status other than 200, warm-up included. */
    readonly failures: number;
    /** Event loop utilization from 0 to 1; near 1 this process is the bottleneck instead of the entry. */
    readonly utilization: number;
};

const load = JSON.parse(process.argv[2] ?? "") as LookupLoad;
const pool = new Pool(load.url, { connections: load.connections });
const measureFrom = performance.now() + load.warmUpMilliseconds;
const end = measureFrom + load.milliseconds;
let count = 0;
let failures = 0;

const lookUpUntilEnd = async (connection: number) => {
    for (let index = connection; performance.now() < end; index += 1) {
        const address = `10.${1 + index % 6}.${index % 251}.${index % 241}`;
        const response = await pool.request({
            method: "GET",
            path: `/v1/lookup?service=${load.service}&address=${address}`,
        });
        await response.body.text();
        if (response.statusCode !== 200) {
            failures += 1;
        }
        else if (performance.now() >= measureFrom) {
            count += 1;
        }
    }
};

const utilizationBefore = performance.eventLoopUtilization();
await Promise.all(Array.from({ length: load.connections }, (_, index) => lookUpUntilEnd(index)));
const utilization = performance.eventLoopUtilization(utilizationBefore).utilization;
process.send?.({ count, failures, utilization } satisfies LookupLoadResult, () => process.exit());
