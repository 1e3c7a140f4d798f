/**
 * Types shared by both sides of a peer connection.
 */

/** Identity of a peer, as sent in the handshake. */
export type PeerIdentity = {
    readonly clusterId: string;
    readonly name: string;
    /** Random for each start of the process. Distinguishes a restarted peer from one that reconnected. */
    readonly incarnation: string;
    readonly role: string;
    readonly availabilityZone: string;
};

/**
 * Handles one request of a peer.
 *
 * @param signal Aborts when the connection is lost or the deadline of the caller has passed.
 * @returns The reply payload. When the promise is rejected, the caller is sent a failure.
 */
export type PeerRequestHandler = (
    from: PeerIdentity,
    kind: string,
    payload: unknown,
    signal: AbortSignal,
) => Promise<unknown>;

/** A maintained connection to one address: it is dialed again with back-off and jitter when it is lost. */
export type PeerClient = {
    /** Identity of the peer, or undefined while disconnected. */
    readonly remote: PeerIdentity | undefined;
    readonly isConnected: boolean;
    /**
     * Sends one request.
     *
     * @param deadlineMilliseconds Time after which the call is rejected.
     * @returns The reply payload, not checked against a schema.
     * @throws PeerError with the step, the peer and whether the request was certainly not sent.
     */
    call(kind: string, payload: unknown, deadlineMilliseconds: number): Promise<unknown>;
    close(): Promise<void>;
};

/** An open listening socket. */
export type PeerListener = {
    readonly port: number;
    readonly connectedPeers: readonly PeerIdentity[];
    close(): Promise<void>;
};
