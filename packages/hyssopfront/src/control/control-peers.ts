/**
 * Connections to the other control instances.
 */
import {
    type Clock,
    type Counters,
    dialPeer,
    type PeerClient,
    PeerError,
    type PeerIdentity,
    PeerStep,
    type PeerTlsFiles,
} from "@hyssopfront/coordination";
import type { ControlInstanceSettings } from "./control-settings.js";

/** Clients of the other control instances. */
export type ControlPeers = {
    /**
     * Sends a request to an instance by name.
     *
     * @throws PeerError when the name is unknown or the call fails.
     */
    call(instance: string, kind: string, payload: unknown, deadlineMilliseconds: number): Promise<unknown>;
    /** @returns Names of the instances whose connection is established. */
    connected(): readonly string[];
    close(): Promise<void>;
};

/** Connects to all instances except this one, and reconnects when a connection is lost. */
export function dialControlPeers(options: {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly self: PeerIdentity;
    readonly instances: readonly ControlInstanceSettings[];
    readonly tls?: PeerTlsFiles;
}): ControlPeers {
    const { clock, counters, self, tls } = options;
    const others = options.instances.filter(instance => instance.name !== self.name);
    const clients = new Map<string, PeerClient>(others.map(({ name, address, peerPort }) => [
        name,
        dialPeer({ clock, counters, self, tls, address, port: peerPort, expectedName: name }),
    ]));
    return {
        call: (instance, kind, payload, deadlineMilliseconds) => {
            const client = clients.get(instance);
            if (client === undefined) {
                const message = "There is no control instance of this name in the settings.";
                return Promise.reject(
                    new PeerError({ step: PeerStep.Connect, peer: instance, message, isCertainlyNotSent: true }),
                );
            }
            return client.call(kind, payload, deadlineMilliseconds);
        },
        connected: () => [...clients].filter(([, client]) => client.isConnected).map(([name]) => name),
        close: async () => {
            await Promise.all([...clients.values()].map(client => client.close()));
        },
    };
}
