/**
 * An entry gets SIGTERM. Clients that hold an earlier answer of the directory still connect to it. Their requests wait
 * for slots of the upstream, and are answered within their deadline.
 */
import { BOUNDS, createFirstItems, runCase, sleep } from "../stand-ins/harness.mjs";

const HOST = "hulo84.example";
const DEADLINE_MS = 2_500;
/** Below the longest work of an order in the site file, 1,440 ms. */
const WORK_MS = 1_180;
const SLOTS = 4;
const UPSTREAMS = 12;
/** Four requests run and four wait, so that each takes about twice the time of its work. */
const CLIENTS_PER_UPSTREAM = 8;
/** A client may hold an answer of the directory for three times its `ttl_s`, which is 2. */
const HOLD_MS = 6_000;
/** A connection that ends later than this before the deadline is not counted as cut off. */
const MARGIN_MS = 100;
/** A request that was sent earlier than this after the SIGTERM may be cut in the last sixth of `grace_s`. */
const EXCUSED_UNTIL_MS = 3_000;

await runCase(import.meta.dirname, ["sibiu-a", "ploiesti-a", "iasi-a"], async (deployment, hasTrouble) => {
    const { now, log, order } = deployment;
    deployment.startAll(true);
    await sleep(2_000);
    await order(
        "config.patch",
        createFirstItems([{
            service: "comenzi",
            host: HOST,
            prefix: "/comenzi/",
            kind: "unsafe",
            timeout: 2_500,
            objective: 400,
            attempts: 2,
        }]),
    );
    const zones = ["sibiu-a", "brasov-b"];
    let work = 20;
    const upstreams = await Promise.all(
        Array.from({ length: UPSTREAMS }, (_, number) =>
            deployment.startUpstream({
                service: "comenzi",
                zone: zones[number % zones.length],
                number,
                slots: SLOTS,
                work: () => work,
            })),
    );
    await deployment.waitUntilReady();
    await sleep(3_000);
    const [stopped] = deployment.entries;
    const send = (entry, key, path) =>
        deployment.sendRequest(entry, { method: "POST", path, host: HOST, deadline: DEADLINE_MS, key, body: "order" });

    // Requests for one object go to one upstream; the objects are chosen so that all upstreams are equally busy.
    const keys = [];
    const counts = new Map();
    for (let key = 0; keys.length < UPSTREAMS * CLIENTS_PER_UPSTREAM; key += 1) {
        const { requestId } = await send(stopped, key, `/comenzi/first-${key}`);
        const upstream = upstreams.find(({ runs }) => runs.some(run => run.requestId === requestId));
        const count = counts.get(upstream) ?? 0;
        if (upstream !== undefined && count < CLIENTS_PER_UPSTREAM) {
            counts.set(upstream, count + 1);
            keys.push(key);
        }
        if (key > 2_000) {
            throw new Error("The objects are not spread over the upstreams.");
        }
    }
    work = WORK_MS;

    const requests = [];
    let isSending = true;
    /** A client that opens a new connection for each request and keeps to the entries of its last lookup. */
    const runClient = async (key, number) => {
        await sleep(WORK_MS * 2 * number / keys.length);
        let entries = [];
        let heldUntil = now() + HOLD_MS * Math.random();
        for (let count = 0; isSending; count += 1) {
            if (now() >= heldUntil || entries.length === 0) {
                entries = await deployment.resolveHost(HOST, "sibiu-a");
                heldUntil = Math.max(heldUntil, now() + (count === 0 ? 0 : HOLD_MS));
            }
            const entry = entries[Math.floor(Math.random() * entries.length)];
            if (entry === undefined) {
                await sleep(200);
                continue;
            }
            const request = await send(entry, key, `/comenzi/${key}-${count}`);
            requests.push(request);
            if (request.status !== 200) {
                await sleep(200);
            }
            if (request.seen.includes("ECONNREFUSED")) {
                entries = entries.filter(other => other !== entry);
            }
        }
    };
    const clients = keys.map(runClient);
    // Lookups are spread over the time for which they are held.
    await sleep(8_000 + Math.random() * 2_000);
    if (hasTrouble) {
        deployment.signal(stopped.name, "SIGTERM");
    }
    const stoppedAt = now();
    const exited = deployment.machines.get(stopped.name).hasExited.then(() =>
        log(`platform: ${stopped.name} has ended`)
    );
    await sleep(BOUNDS.grace_s * 1_000);
    if (hasTrouble) {
        deployment.signal(stopped.name, "SIGKILL");
        await exited;
    }
    await sleep(3_000);
    isSending = false;
    await Promise.all(clients);

    const runs = new Map(upstreams.flatMap(upstream => upstream.runs.map(run => [run.requestId, run])));
    const lost = requests.filter(({ requestId, sentAt, endedAt, status, entry }) =>
        entry === stopped.name && runs.has(requestId) && status === undefined
        && sentAt > stoppedAt + EXCUSED_UNTIL_MS && endedAt - sentAt < DEADLINE_MS - MARGIN_MS
    );
    lost.forEach(({ requestId, sentAt, endedAt, seen }) =>
        log(
            `lost: ${requestId} was sent ${Math.round(sentAt - stoppedAt)} ms after the SIGTERM, ran, and ended after `
                + `${Math.round(endedAt - sentAt)} ms with "${seen}"`,
        )
    );
    const served = requests.filter(({ status }) => status === 200).length;
    const afterStop = requests.filter(({ sentAt, entry }) =>
        entry === stopped.name && sentAt > stoppedAt + EXCUSED_UNTIL_MS
    );
    return {
        isBroken: lost.length > 0,
        summary: `LOST: ${lost.length} of ${afterStop.length} requests that ${stopped.name} got later than `
            + `${EXCUSED_UNTIL_MS} ms after its SIGTERM ran and were cut off; ${served} of ${requests.length} served`,
    };
});
