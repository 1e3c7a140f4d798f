/**
 * The operator sends a change that adds as many routes as the largest one on the pages.
 */
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { createPatch, runCase, sleep, startDeployment } from "../stand-ins-2/harness.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
/** Routes of the largest change on the pages; a tenth of it without the trouble. */
const ROUTES = HAS_TROUBLE ? 1_732 : 173;
const ACK_MS = 5_000;
const ACK_MS_PER_ROUTE = 3;
/** Time for which the operator sends the change again. */
const RESENDING_MS = 40_000;
/** Time for which the operator waits for an answer to this large body. */
const ANSWER_MS = 5_000;
/** Longer than `stable_window_ms`, after the start of the machines. */
const SETTLE_MS = 8_000;

await runCase(async () => {
    const deployment = await startDeployment({
        acknowledgementMs: ACK_MS,
        recordFile: join(import.meta.dirname, "record.txt"),
    });
    const { record } = deployment;
    try {
        const first = await deployment.callControl(
            "config.patch",
            createPatch({
                services: ["huvo11a", "kafi81c"],
                routes: [{ name: "r-2b9wu3f", path_prefix: "/lepu270/", service: "huvo11a" }],
            }),
        );
        record(`first configuration: ${first.status}`);
        if (first.status !== 200) {
            throw new Error("The first configuration was not accepted.");
        }
        await deployment.waitUntilReady();
        await sleep(SETTLE_MS);
        const routes = Array.from({ length: ROUTES }, (_, index) => ({
            name: `r-${(0x10000 + index).toString(16)}`,
            host: "hulo84.example",
            path_prefix: `/xapu221/ny${index}/`,
            weighted_services: [{ service: "huvo11a", weight: 90 }, { service: "kafi81c", weight: 10 }],
            sticky: true,
            allowed_regions: ["transilvania", "muntenia"],
        }));
        const patch = createPatch({ version: 9, services: [], routes });
        patch.upsert.resources = patch.upsert.resources.filter(({ resource_type }) => resource_type === "routes");
        const bound = ACK_MS + ACK_MS_PER_ROUTE * ROUTES;
        record(`change with ${ROUTES} routes, ${JSON.stringify(patch).length} bytes; bound ${bound} ms`);
        const startedAt = performance.now();
        let acknowledgedAfter;
        while (acknowledgedAfter === undefined && performance.now() - startedAt < RESENDING_MS) {
            for (const address of deployment.controlAddresses) {
                const options = { addresses: [address], attempts: 1, waitMs: ANSWER_MS };
                const reply = await deployment.callControl("config.patch", patch, options);
                record(`${address}: ${reply.status} ${reply.body.toString().slice(0, 120)}`);
                if (reply.status === 200) {
                    acknowledgedAfter = performance.now() - startedAt;
                    break;
                }
            }
        }
        const ended = deployment.machines.filter(({ child }) => child.hasEnded).length;
        record(`processes that ended: ${ended}`);
        record(`acknowledged after ${acknowledgedAfter?.toFixed(0) ?? "(never)"} ms`);
        return acknowledgedAfter === undefined || acknowledgedAfter > bound;
    }
    finally {
        await deployment.close();
    }
});
