/**
 * Measures the bytes and CPU time that peer connections take with several numbers of peers. The listener runs in this
 * process and all clients in a second one, connected over sockets on 127.0.0.1.
 *
 * Usage: node --conditions=source --import tsx packages/bench/src/slopes/peers-connections.ts [seconds per phase]
 *
 * Bytes are those of the frames, without TCP and IP headers. CPU time is that of the listening process, unless it is
 * named as that of the clients, which is the sum for all clients.
 */
import { createSystemClock, dialPeer, encodeFrame, listenForPeers, type PeerClient } from "@hyssopfront/coordination";
import { BudgetUnit } from "hyssopfront/admission/admission.js";
import { type RenewSessionReply, type RenewSessionRequest, RenewSessionResult } from "hyssopfront/sessions/messages.js";
import {
    decodeRenewal,
    decodeRenewalReply,
    encodeRenewal,
    encodeRenewalReply,
} from "hyssopfront/sessions/renewal-encoding.js";
import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { createByteCount, identify } from "./measurement-peers.js";

const PEER_COUNTS = [10, 50, 150, 450];
const DEFAULT_PHASE_SECONDS = 10;
const RENEWAL_INTERVAL_MS = 500;
/** Concurrent calls of each client when the throughput is measured. */
const CONCURRENT_CALLS = 4;
const CALL_DEADLINE_MS = 10_000;
const HEARTBEAT_BYTES = encodeFrame({ type: "heartbeat" }).length;

enum Phase {
    /** Heartbeats only. */
    Idle = "idle",
    /** Each client renews its session every 500 ms. */
    Renewal = "renewal",
    /** Each client sends its next call as soon as a reply arrives. */
    Throughput = "throughput",
}

type Usage = { readonly calls: number; readonly bytes: number; readonly cpuMilliseconds: number };
type PhaseCommand = { readonly phase: Phase; readonly seconds: number };

const clock = createSystemClock();
/** A renewal of typical size: the demands of an entry for the slots of twelve backend servers. */
const request: RenewSessionRequest = {
    entry: "entry-1",
    incarnation: "0197a3c0-0000-7000-8000-000000000000",
    address: "10.20.30.40",
    callerPort: 9_000,
    peerPort: 9_001,
    availabilityZone: "sibiu-1",
    isLeaving: false,
    appliedRevision: 1_234,
    sentAt: 1_234_567.8,
    demands: Array.from({ length: 12 }, (_, index) => ({
        key: `slots/expeditie/backend-${index}`,
        unit: BudgetUnit.Concurrent,
        wanted: 2.5,
        held: 2,
        portion: 2,
        floor: 1,
        availabilityZone: "sibiu-1",
    })),
};
const reply: RenewSessionReply = {
    result: RenewSessionResult.Renewed,
    leaseMilliseconds: 5_000,
    revision: 1_234,
    grants: request.demands.map(({ key }) => ({ key, portion: 2, floor: 1, limit: 6 })),
};

const measure = async (bytes: () => number, work: () => Promise<number>): Promise<Usage> => {
    const bytesBefore = bytes();
    const cpuBefore = process.cpuUsage();
    const calls = await work();
    const { user, system } = process.cpuUsage(cpuBefore);
    return { calls, bytes: bytes() - bytesBefore, cpuMilliseconds: (user + system) / 1_000 };
};

const callUntil = async (client: PeerClient, phase: Phase, endAt: number): Promise<number> => {
    let calls = 0;
    while (clock.monotonicMilliseconds() < endAt) {
        decodeRenewalReply(await client.call("renew", encodeRenewal(request), CALL_DEADLINE_MS), request.demands);
        calls += 1;
        if (phase === Phase.Renewal) {
            await clock.sleep(RENEWAL_INTERVAL_MS);
        }
    }
    return calls;
};

const runPhase = async (clients: readonly PeerClient[], { phase, seconds }: PhaseCommand): Promise<number> => {
    const endAt = clock.monotonicMilliseconds() + seconds * 1_000;
    if (phase === Phase.Idle) {
        await clock.sleep(seconds * 1_000);
        return 0;
    }
    const tasks = clients.flatMap(client =>
        Array.from({ length: phase === Phase.Throughput ? CONCURRENT_CALLS : 1 }, () => callUntil(client, phase, endAt))
    );
    return (await Promise.all(tasks)).reduce((sum, calls) => sum + calls, 0);
};

/** Program of the process with the clients. */
const runClients = async (port: number, peers: number) => {
    const { count, counters } = createByteCount();
    const clients = Array.from(
        { length: peers },
        (_, index) =>
            dialPeer({ clock, address: "127.0.0.1", port, self: identify(`entry-${index}`, "entry"), counters }),
    );
    while (clients.some(client => !client.isConnected)) {
        await clock.sleep(50);
    }
    process.on("message", async (command: PhaseCommand) => {
        process.send?.(await measure(() => count.bytes, () => runPhase(clients, command)));
    });
    process.on("disconnect", () => process.exit());
    process.send?.("connected");
};

const format = (value: number) => value.toFixed(value < 10 ? 2 : 0);

const measurePeers = async (peers: number, seconds: number) => {
    const { count, counters } = createByteCount();
    const listener = await listenForPeers({
        clock,
        address: "127.0.0.1",
        port: 0,
        self: identify("control-1", "control"),
        handle: async (_from, _kind, payload) => encodeRenewalReply(reply, decodeRenewal(payload).demands),
        counters,
    });
    const child = fork(process.argv[1] as string, [String(listener.port), String(peers)]);
    await once(child, "message");
    const measurePhase = async (phase: Phase) => {
        let clients: Usage | undefined;
        const server = await measure(() => count.bytes, async () => {
            clients = await runInChild(child, { phase, seconds });
            return clients.calls;
        });
        return { server, clients: clients as Usage };
    };
    const idle = await measurePhase(Phase.Idle);
    const renewals = await measurePhase(Phase.Renewal);
    const throughput = await measurePhase(Phase.Throughput);
    child.disconnect();
    await once(child, "exit");
    await listener.close();

    const heartbeats = idle.server.bytes / HEARTBEAT_BYTES;
    const row = {
        peers,
        heartbeatBytes: HEARTBEAT_BYTES,
        heartbeatCpuMicroseconds: format(idle.server.cpuMilliseconds * 1_000 / heartbeats),
        idleCpuPercent: format(idle.server.cpuMilliseconds / seconds / 10),
        idleClientsCpuPercent: format(idle.clients.cpuMilliseconds / seconds / 10),
        idleBytesPerSecondOfAPeer: format(idle.server.bytes / seconds / peers),
        renewalBytes: format(renewals.server.bytes / renewals.server.calls),
        renewalCpuMicroseconds: format(renewals.server.cpuMilliseconds * 1_000 / renewals.server.calls),
        renewalCpuPercent: format(renewals.server.cpuMilliseconds / seconds / 10),
        renewalClientsCpuPercent: format(renewals.clients.cpuMilliseconds / seconds / 10),
        callsPerSecond: format(throughput.server.calls / seconds),
        callCpuMicroseconds: format(throughput.server.cpuMilliseconds * 1_000 / throughput.server.calls),
        callClientsCpuMicroseconds: format(throughput.clients.cpuMilliseconds * 1_000 / throughput.server.calls),
    };
    process.stdout.write(`${JSON.stringify(row)}\n`);
};

const runInChild = async (child: ChildProcess, command: PhaseCommand): Promise<Usage> => {
    const result = once(child, "message");
    child.send(command);
    return (await result)[0] as Usage;
};

if (process.send === undefined) {
    const seconds = Number(process.argv[2] ?? DEFAULT_PHASE_SECONDS);
    for (const peers of PEER_COUNTS) {
        await measurePeers(peers, seconds);
    }
}
else {
    await runClients(Number(process.argv[2]), Number(process.argv[3]));
}
