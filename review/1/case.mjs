/**
 * An operator ends an evacuation. The first control instance it asks is frozen, so after a second it asks another one,
 * which acknowledges. Later the operator evacuates the zone again. Then the first instance wakes.
 */
import { BOUNDS, createFirstItems, runCase, sleep } from "../stand-ins/harness.mjs";

const HOST = "jepu9.example";
const ZONE = "brasov-b";
const ZONES_OF_UPSTREAMS = ["sibiu-a", "ploiesti-a", "iasi-a", "brasov-b", "pitesti-b", "bacau-b"];
/** Within the 3.5 s that the site file has for a freeze. */
const FREEZE_MS = 3_000;
const REQUEST_INTERVAL_MS = 25;

await runCase(import.meta.dirname, ["sibiu-a", "ploiesti-a", "brasov-b"], async (deployment, hasTrouble) => {
    const { now, log, controls, entries, order, signal } = deployment;
    deployment.startAll(true);
    await sleep(2_000);
    await order(
        "config.patch",
        createFirstItems([{
            service: "stoc",
            host: HOST,
            prefix: "/stoc/",
            kind: "safe",
            timeout: 2_000,
            objective: 250,
            attempts: 2,
        }]),
    );
    const upstreams = await Promise.all(
        ZONES_OF_UPSTREAMS.map((zone, number) =>
            deployment.startUpstream({ service: "stoc", zone, number, slots: 6, work: () => 20 + Math.random() * 20 })
        ),
    );
    const target = upstreams.find(({ zone }) => zone === ZONE);
    await deployment.waitUntilReady();
    await sleep(5_000);

    const requests = [];
    let isSending = true;
    const traffic = (async () => {
        for (let count = 0; isSending; count += 1) {
            const entry = entries[count % entries.length];
            const options = { method: "GET", path: `/stoc/${count}`, host: HOST, deadline: 2_000, key: count % 70 };
            requests.push(deployment.sendRequest(entry, options));
            await sleep(REQUEST_INTERVAL_MS);
        }
    })();
    await sleep(2_000);

    await order(`evacuate.start&of=${ZONE}`);
    await sleep(3_000);
    const frozen = controls[3];
    if (hasTrouble) {
        signal(frozen.name, "SIGSTOP");
    }
    const frozenAt = now();
    await sleep(100);
    await order(`evacuate.end&of=${ZONE}`, undefined, [frozen]);
    await sleep(300);
    const { acknowledgedAt } = await order(`evacuate.start&of=${ZONE}`, undefined, [controls[1]]);
    await sleep(Math.max(0, frozenAt + FREEZE_MS - now()));
    if (hasTrouble) {
        signal(frozen.name, "SIGCONT");
    }
    const thawedAt = now();
    await sleep(13_000);
    isSending = false;
    await traffic;
    const sent = await Promise.all(requests);

    // In touch again one stable window after the thaw, with a second to spare.
    const judgedFrom = Math.max(acknowledgedAt + BOUNDS.evacuation_ms, thawedAt + BOUNDS.stable_window_ms + 1_000);
    const sentAt = new Map(sent.map(request => [request.requestId, request.sentAt]));
    const late = target.runs.filter(({ requestId, arrivedAt }) =>
        arrivedAt > judgedFrom && (sentAt.get(requestId) ?? 0) > judgedFrom
    );
    const served = sent.filter(({ status }) => status === 200).length;
    log(`judged from ${(judgedFrom / 1_000).toFixed(3)} s; the zone was evacuated at ${acknowledgedAt / 1_000} s`);
    if (served < sent.length / 2) {
        throw new Error(`Only ${served} of ${sent.length} requests were served.`);
    }
    return {
        isBroken: late.length > 0,
        summary: `EVAC: ${late.length} requests ran in ${ZONE} later than ${BOUNDS.evacuation_ms} ms after its `
            + `evacuation was acknowledged; ${served} of ${sent.length} requests served`,
    };
});
