/**
 * An upstream announces its departure, which is acknowledged, and serves on for some seconds. All processes are killed
 * and start again. A heartbeat that the upstream had sent before its departure arrives late.
 */
import { BOUNDS, createFirstItems, runCase, sleep } from "../stand-ins/harness.mjs";

const HOST = "jepu9.example";
/** Time for which the late heartbeat is on its way. */
const HEARTBEAT_DELAY_MS = 4_500;
/** Processes that were killed are back within a second. */
const DOWN_MS = 800;
const REQUEST_INTERVAL_MS = 25;
/** How long the upstream serves on after the acknowledgement. */
const SERVES_ON_MS = 15_000;

await runCase(import.meta.dirname, ["sibiu-a", "ploiesti-a", "iasi-a"], async (deployment, hasTrouble) => {
    const { now, log, entries, machines, order, signal } = deployment;
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
    const zones = ["sibiu-a", "ploiesti-a", "iasi-a", "brasov-b", "pitesti-b", "bacau-b"];
    const upstreams = await Promise.all(
        zones.map((zone, number) =>
            deployment.startUpstream({ service: "stoc", zone, number, slots: 6, work: () => 20 + Math.random() * 20 })
        ),
    );
    const [leaving] = upstreams;
    await deployment.waitUntilReady();
    await sleep(4_000);

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

    const lateBeat = leaving.makeBeat();
    const beatSentAt = now();
    log(`upstream ${leaving.id}: sends heartbeat ${lateBeat.seq}, which is held up on its way`);
    await sleep(100);
    const departure = await leaving.leave();
    if (departure === undefined) {
        throw new Error("The departure was not acknowledged.");
    }
    await sleep(200);
    if (hasTrouble) {
        [...machines.keys()].forEach(name => signal(name, "SIGKILL"));
        await Promise.all([...machines.values()].map(({ hasExited }) => hasExited));
        await sleep(DOWN_MS);
        [...machines.keys()].forEach(name => deployment.startOne(name));
    }
    const startedAt = now();
    await sleep(Math.max(0, beatSentAt + HEARTBEAT_DELAY_MS - now()));
    await leaving.deliverLateBeat(lateBeat);
    await sleep(Math.max(0, departure.acknowledgedAt + SERVES_ON_MS - now()));
    isSending = false;
    await traffic;
    const sent = await Promise.all(requests);

    // In touch again two stable windows after all processes of the core were killed, and a little later.
    const judgedFrom = Math.max(
        departure.acknowledgedAt + BOUNDS.drain_ms,
        startedAt + 2 * BOUNDS.stable_window_ms + 300,
    );
    const sentAt = new Map(sent.map(request => [request.requestId, request.sentAt]));
    const late = leaving.runs.filter(({ requestId, arrivedAt }) =>
        arrivedAt > judgedFrom && (sentAt.get(requestId) ?? 0) > judgedFrom
    );
    const judged = sent.filter(request => request.sentAt > judgedFrom);
    const served = judged.filter(({ status }) => status === 200).length;
    log(`judged from ${(judgedFrom / 1_000).toFixed(3)} s`);
    if (served < judged.length / 2) {
        throw new Error(`Only ${served} of ${judged.length} judged requests were served.`);
    }
    return {
        isBroken: late.length > 0,
        summary: `DRAIN: ${late.length} of ${judged.length} requests reached the upstream that had left, `
            + `${Math.round(judgedFrom - departure.acknowledgedAt)} ms or more after the acknowledgement; `
            + `${served} served`,
    };
});
