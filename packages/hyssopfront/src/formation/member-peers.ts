/**
 * Connections between control instances, which are named by their addresses.
 */
import { type Clock, type Counters, dialPeer, type PeerClient, type PeerIdentity } from "@hyssopfront/coordination";

/** Returns the name of the control instance that listens for its peers at an address and port. */
export const memberName = (address: string, port: number) => `${address}:${port}`;

/** Parses a member name into its address and port. */
export function parseMemberName(name: string): { readonly address: string; readonly port: number } {
    const separator = name.lastIndexOf(":");
    return { address: name.slice(0, separator), port: Number(name.slice(separator + 1)) };
}

/** Connections of one control instance to the others. */
export type MemberPeers = {
    /** Calls an instance by name, and dials it first when there is no connection yet. Rejects with PeerError. */
    call(name: string, kind: string, payload: unknown, deadlineMilliseconds: number): Promise<unknown>;
    /** Maintains connections to these instances and closes all others. */
    maintainConnections(names: readonly string[]): void;
    /** Returns the names of the connected instances. */
    connected(): readonly string[];
    /** Closes all connections. */
    close(): Promise<void>;
};

/** Creates the connections, initially none. `onConnected` is called each time a connection is established. */
export function createMemberPeers(options: {
    readonly clock: Clock;
    readonly counters?: Counters;
    readonly self: PeerIdentity;
    readonly onConnected?: (name: string) => void;
    readonly onDisconnected?: (name: string, reason: Error | undefined) => void;
}): MemberPeers {
    const { clock, counters, self } = options;
    const clients = new Map<string, PeerClient>();

    const getClient = (name: string) => {
        const existing = clients.get(name);
        if (existing !== undefined) {
            return existing;
        }
        const client = dialPeer({
            clock,
            counters,
            self,
            ...parseMemberName(name),
            expectedName: name,
            onStateChange: (remote, reason) =>
                remote === undefined ? options.onDisconnected?.(name, reason) : options.onConnected?.(name),
        });
        clients.set(name, client);
        return client;
    };

    return {
        call: (name, kind, payload, deadlineMilliseconds) => getClient(name).call(kind, payload, deadlineMilliseconds),
        maintainConnections: names => {
            names.filter(name => name !== self.name).forEach(getClient);
            [...clients].filter(([name]) => !names.includes(name)).forEach(([name, client]) => {
                clients.delete(name);
                void client.close();
            });
        },
        connected: () => [...clients].filter(([, client]) => client.isConnected).map(([name]) => name),
        close: async () => {
            await Promise.all([...clients.values()].map(client => client.close()));
        },
    };
}
