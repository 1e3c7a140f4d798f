/**
 * Identities and byte counts of the peers in measurements over sockets.
 */
import type { Counters, PeerIdentity } from "@hyssopfront/coordination";

/** Identity of a peer in the cluster of the measurements. */
export const identify = (name: string, role: string): PeerIdentity => ({
    clusterId: "slopes",
    name,
    incarnation: "1",
    role,
    availabilityZone: "zone-1",
});

/** Counters that sum the bytes of the frames sent and received. */
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
