/**
 * Peer connections of an entry to the other registered entries.
 */
import {
    type Clock,
    type Counters,
    dialPeer,
    type PeerClient,
    type PeerIdentity,
    type PeerTlsFiles,
} from "@hyssopfront/coordination";
import type { ConfigurationView } from "../configuration/configuration-view.js";

/** Peer connections to the other entries. */
export type EntryPeers = {
    /** Connects to entries that are new or have a new address, and closes connections to entries that were removed. */
    applyView(view: ConfigurationView): void;
    /** Calls an entry by name. Rejects when the entry is not registered or the call fails. */
    call(entry: string, kind: string, payload: unknown, deadlineMilliseconds: number): Promise<unknown>;
    /** Names of the entries that this entry connects to. */
    names(): readonly string[];
    close(): Promise<void>;
};

type EntryConnection = { readonly address: string; readonly port: number; readonly client: PeerClient };

/** Creates the set of connections, which is empty until the first view is applied. */
export function createEntryPeers(options: {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly self: PeerIdentity;
    readonly tls?: PeerTlsFiles;
}): EntryPeers {
    const connections = new Map<string, EntryConnection>();
    const { clock, counters, self, tls } = options;

    const disconnect = (name: string) => {
        const entry = connections.get(name);
        connections.delete(name);
        return entry?.client.close();
    };

    return {
        applyView: view => {
            [...connections].forEach(([name, { address, port }]) => {
                const entry = view.entries.get(name);
                if (entry === undefined || entry.address !== address || entry.peerPort !== port) {
                    void disconnect(name);
                }
            });
            view.entries.forEach(({ name, address, peerPort: port }) => {
                if (name !== self.name && !connections.has(name)) {
                    const client = dialPeer({ clock, counters, self, tls, address, port, expectedName: name });
                    connections.set(name, { address, port, client });
                }
            });
        },
        call: (entry, kind, payload, deadlineMilliseconds) => {
            const client = connections.get(entry)?.client;
            return client === undefined
                ? Promise.reject(new Error(`There is no connection to the entry ${entry}.`))
                : client.call(kind, payload, deadlineMilliseconds);
        },
        names: () => [...connections.keys()],
        close: async () => {
            await Promise.all([...connections.keys()].map(disconnect));
        },
    };
}
