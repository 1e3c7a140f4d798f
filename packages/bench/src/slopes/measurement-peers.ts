/**
 * Identities and byte counters of the peers in measurements over sockets.
 */
import type { Counters, PeerIdentity } from "@hyssopfront/coordination";

/** Creates the identity of a peer in the cluster of the measurements. */
export const identify = (name: string, role: string): PeerIdentity => ({
    clusterId: "slopes",
    name,
    incarnation: "1",
    role,
    availabilityZone: "zone-1",
});

/** Creates counters that add up the bytes of the frames sent and received. */
export const createByteCount = () => {
    const count = { bytes: 0 };
    const counters: Counters = {
        increment: (name, amount = 1) => {
            if (name === "peers.bytes_sent" || name === "peers.bytes_received") {
                count.bytes += amount;
            }
        },
        gauge: () => undefined,
    };
    return { count, counters };
};
