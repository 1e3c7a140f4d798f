/**
 * A control machine is replaced as planned. Once its successor has had the time to catch up, two others lose their
 * disks.
 */
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { createPatch, runCase, sleep, startDeployment } from "../stand-ins-2/harness.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const SETTLE_MS = 8_000;
/** Time between the start of the successor and the SIGTERM, as `x` of the site file. */
const OVERLAP_MS = 2_000;
const CATCH_UP_MS = 4_000;
/** Time after the successor counts as caught up at which the two machines are lost. */
const MARGIN_MS = 500;
const DOWN_MS = 1_000;
const RECOVERY_MS = 15_000;
/** Time for which the operator asks for the configuration, and for which it waits for one answer. */
const READING_MS = 20_000;
const ANSWER_MS = 3_000;

await runCase(async () => {
    const deployment = await startDeployment({ recordFile: join(import.meta.dirname, "record.txt") });
    const { record, machines, controlAddresses } = deployment;
    try {
        const change = (version, attempts) =>
            deployment.callControl(
                "config.patch",
                createPatch({
                    version,
                    services: ["huvo11a"],
                    routes: [{ name: "r-2b9wu3f", path_prefix: "/lepu270/", service: "huvo11a" }],
                }),
                { attempts },
            );
        const first = await change(7, 20);
        record(`first configuration: ${first.status}`);
        await deployment.waitUntilReady();
        await sleep(SETTLE_MS);
        const control = machines.filter(({ isFront }) => !isFront);
        const removed = control[4];
        const startedAt = performance.now();
        const successor = deployment.addControl(removed.zone);
        await sleep(OVERLAP_MS);
        removed.child.kill("SIGTERM");
        record(`SIGTERM to ${removed.node}`);
        await removed.child.ended;
        controlAddresses.splice(controlAddresses.indexOf(removed.ip), 1);
        await sleep(Math.max(0, startedAt + CATCH_UP_MS + MARGIN_MS - performance.now()));
        const second = await change(9, 20);
        record(`change to version 9: ${second.status}`);
        if (second.status !== 200) {
            throw new Error("The change was not accepted.");
        }
        if (HAS_TROUBLE) {
            const lost = control.slice(0, 2);
            lost.forEach(({ child }) => child.kill("SIGKILL"));
            await Promise.all(lost.map(({ child }) => child.ended));
            lost.forEach(deployment.wipeDisk);
            record(`${lost.map(({ node }) => node).join(" and ")} lost their disks`);
            await sleep(DOWN_MS);
            lost.forEach(machine => deployment.start(machine, false));
        }
        await sleep(RECOVERY_MS);
        let isRead = false;
        const readingSince = performance.now();
        for (let attempt = 0; !isRead && performance.now() - readingSince < READING_MS; attempt += 1) {
            const address = controlAddresses[attempt % controlAddresses.length];
            const reply = await deployment.callControl("config.get", undefined, {
                attempts: 1,
                addresses: [address],
                waitMs: ANSWER_MS,
            });
            const body = reply.body.toString();
            record(`config.get at ${address}: ${reply.status} ${body.slice(0, 120)}`);
            isRead = reply.status === 200 && body.includes("\"version\":9");
        }
        record(`successor ${successor.node}; read back: ${isRead}`);
        return !isRead;
    }
    finally {
        await deployment.close();
    }
});
