/**
 * Example of an embedded replica: a replicated counter that tolerates the failure of a minority of its instances.
 */
import {
    createReplica,
    createSystemClock,
    dialPeer,
    listenForPeers,
    openLogStorage,
    parseConsensusReply,
    parseConsensusRequest,
} from "@hyssopfront/coordination";
import { randomUUID } from "node:crypto";

/** Name and peer port of one instance. */
export type CounterInstance = { readonly name: string; readonly port: number };

/**
 * Starts one instance of the counter.
 *
 * @param name Name of the instance to start.
 * @param folder Data folder of the instance.
 * @param instances All instances, in any order.
 * @returns The replica and functions to add to the counter on the leader, to read it on any instance, and to stop.
 */
export async function startCounter(name: string, folder: string, instances: readonly CounterInstance[]) {
    const clock = createSystemClock();
    const clusterId = "counter";
    const self = { clusterId, name, incarnation: randomUUID(), role: "counter", availabilityZone: "zone-1" };
    const address = "127.0.0.1";
    const peers = new Map(
        instances.filter(instance => instance.name !== name)
            .map(peer => [peer.name, dialPeer({ clock, address, port: peer.port, self, expectedName: peer.name })]),
    );
    const storage = await openLogStorage({ folder, clusterId, replicaId: name });
    let count = 0;
    const replica = createReplica({
        groupId: "counter",
        self: name,
        clock,
        random: Math.random,
        storage,
        initialVoters: instances.map(instance => ({ name: instance.name })),
        call: async (peer, message, deadlineMilliseconds) =>
            parseConsensusReply(await peers.get(peer)?.call("consensus", message, deadlineMilliseconds)),
        apply: entry => count += Buffer.from(entry.payload).readInt32BE(),
        takeSnapshot: () => Buffer.from(String(count)),
        restoreSnapshot: payload => count = Number(Buffer.from(payload).toString()),
    });
    const port = instances.find(instance => instance.name === name)?.port ?? 0;
    const handle = (from: { name: string }, _kind: string, payload: unknown) =>
        replica.handle(from.name, parseConsensusRequest(payload));
    const listener = await listenForPeers({ clock, address, port, self, handle });
    replica.start();
    return {
        replica,
        add: async (amount: number) => {
            const payload = Buffer.alloc(4);
            payload.writeInt32BE(amount);
            return (await replica.propose(payload)).result as number;
        },
        read: async () => {
            await replica.readBarrier();
            return count;
        },
        stop: async () => {
            await replica.stop();
            await Promise.all([listener.close(), ...[...peers.values()].map(peer => peer.close())]);
            await storage.close();
        },
    };
}
