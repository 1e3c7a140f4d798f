/**
 * Measures the propagation of configuration to followers: bytes, CPU time and delay of a change with several numbers of
 * followers, directly from one publisher and through one relay per availability zone. Followers and relays run in a
 * second process and are connected over sockets on 127.0.0.1.
 *
 * Usage: node --conditions=source --import tsx packages/bench/src/slopes/configuration-followers.ts [changes]
 */
import {
    type Counters,
    createPublication,
    createSystemClock,
    dialPeer,
    followPublication,
    listenForPeers,
    type Publication,
    servePublication,
} from "@hyssopfront/coordination";
import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { createByteCount, identify } from "./measurement-peers.js";

const FOLLOWER_COUNTS = [10, 50, 150, 450];
const AVAILABILITY_ZONES = 26;
const DEFAULT_CHANGES = 40;
const CHANGE_INTERVAL_MS = 250;
const CALL_MARGIN_MS = 2_000;
const READ_KIND = "configuration.read";
/** Objects that a restarted follower reads: 10 regions, 26 availability zones, services, shifts and entries. */
const OBJECTS = 600;

type UsageReport = { readonly cpuMilliseconds: number; readonly bytes: number; readonly connections: number };
type Command = { readonly kind: "report" } | { readonly kind: "end" };

const clock = createSystemClock();
const follow = (port: number, counters: Counters): Publication => {
    const client = dialPeer({
        clock,
        counters,
        self: identify(`follower-${Math.random()}`, "entry"),
        address: "127.0.0.1",
        port,
    });
    const publication = createPublication({ clock, counters });
    followPublication({
        clock,
        counters,
        publication,
        upstreams: () => ["upstream"],
        read: (_upstream, request) => client.call(READ_KIND, request, request.waitMilliseconds + CALL_MARGIN_MS),
    });
    return publication;
};

const serve = (publication: Publication, counters: Counters) =>
    listenForPeers({
        clock,
        counters,
        self: identify("upstream", "entry"),
        address: "127.0.0.1",
        port: 0,
        handle: async (from, _kind, payload, signal) => servePublication(publication)(from, payload, signal),
    });

/** Program of the process with the followers and relays. Reports each revision once all followers have received it. */
const runFollowers = async (port: number, followers: number, usesRelays: boolean) => {
    const { count, counters } = createByteCount();
    const upstreamPorts = usesRelays
        ? await Promise.all(Array.from({ length: Math.min(AVAILABILITY_ZONES, followers) }, async () => {
            const publication = follow(port, counters);
            return (await serve(publication, counters)).port;
        }))
        : [port];
    const publications = Array.from(
        { length: followers },
        (_, index) => follow(upstreamPorts[index % upstreamPorts.length] as number, counters),
    );
    let reportedRevision = 0;
    const reportRevision = () => {
        const least = Math.min(...publications.map(({ revision }) => revision));
        if (least > reportedRevision) {
            reportedRevision = least;
            process.send?.({ revision: least });
        }
    };
    publications.forEach(publication => {
        void publication.changes.observe(reportRevision);
    });
    process.on("message", (command: Command) => {
        if (command.kind === "end") {
            process.exit(0);
        }
        const { user, system } = process.cpuUsage();
        process.send?.({ cpuMilliseconds: (user + system) / 1_000, bytes: count.bytes, connections: followers });
    });
    process.send?.({ ready: true });
};

const requestReport = async (child: ChildProcess): Promise<UsageReport> => {
    const receivedReport = new Promise<UsageReport>(resolve => {
        const onMessage = (message: UsageReport | { revision: number }) => {
            if ("cpuMilliseconds" in message) {
                child.off("message", onMessage);
                resolve(message);
            }
        };
        child.on("message", onMessage);
    });
    child.send({ kind: "report" });
    return receivedReport;
};

const quantile = (values: readonly number[], share: number) =>
    [...values].sort((one, other) => one - other)[Math.min(values.length - 1, Math.floor(values.length * share))] ?? 0;

const measure = async (followers: number, usesRelays: boolean, changes: number) => {
    const { count, counters } = createByteCount();
    const publication = createPublication({ clock, counters });
    const objects = Array.from(
        { length: OBJECTS },
        (_, index) => ({ key: `objects/${index}`, value: makeValue(index) }),
    );
    publication.publish(1, objects);
    const listener = await serve(publication, counters);
    const child = fork(import.meta.filename, [
        "followers",
        String(listener.port),
        String(followers),
        String(usesRelays),
    ]);
    const reachedAt = new Map<number, number>();
    child.on("message", (message: { revision?: number }) => {
        if (message.revision !== undefined) {
            reachedAt.set(message.revision, clock.monotonicMilliseconds());
        }
    });
    const waitForRevision = async (revision: number) => {
        while (![...reachedAt.keys()].some(reachedRevision => reachedRevision >= revision)) {
            await once(child, "message");
        }
    };
    await waitForRevision(1);
    const before = await requestReport(child);
    const cpuBefore = process.cpuUsage();
    const bytesBefore = count.bytes;
    const startedAt = clock.monotonicMilliseconds();
    const delays: number[] = [];
    for (let change = 1; change <= changes; change++) {
        const publishedAt = clock.monotonicMilliseconds();
        publication.publish(change + 1, [{ key: `objects/${change}`, value: makeValue(change) }]);
        await waitForRevision(change + 1);
        delays.push(clock.monotonicMilliseconds() - publishedAt);
        await clock.sleep(CHANGE_INTERVAL_MS);
    }
    const seconds = (clock.monotonicMilliseconds() - startedAt) / 1_000;
    const { user, system } = process.cpuUsage(cpuBefore);
    const after = await requestReport(child);
    child.send({ kind: "end" });
    await once(child, "exit");
    await listener.close();
    return {
        followers,
        relays: usesRelays ? Math.min(AVAILABILITY_ZONES, followers) : 0,
        "publisher ms CPU a change": ((user + system) / 1_000 / changes).toFixed(2),
        "publisher bytes a change": Math.round((count.bytes - bytesBefore) / changes),
        "bytes/s a follower": Math.round((after.bytes - before.bytes) / seconds / followers),
        "all have it, p50 ms": quantile(delays, 0.5).toFixed(1),
        "all have it, p99 ms": quantile(delays, 0.99).toFixed(1),
    };
};

function makeValue(index: number) {
    return {
        kind: "Shift",
        name: `shift-${index}`,
        generation: 1,
        revision: index,
        spec: {
            service: "stoc",
            from: { region: "transilvania" },
            to: { region: "moldova" },
            percent: index % 100,
            cap: { requestsPerSecond: 1_000, bytesPerSecond: 10_000_000 },
        },
    };
}

if (process.argv[2] === "followers") {
    await runFollowers(Number(process.argv[3]), Number(process.argv[4]), process.argv[5] === "true");
}
else {
    const changes = Number(process.argv[2] ?? DEFAULT_CHANGES);
    for (const usesRelays of [false, true]) {
        const rows: unknown[] = [];
        for (const followers of FOLLOWER_COUNTS) {
            rows.push(await measure(followers, usesRelays, changes));
        }
        // eslint-disable-next-line no-console -- the table is the result of this script
        console.table(rows);
    }
    process.exit(0);
}
