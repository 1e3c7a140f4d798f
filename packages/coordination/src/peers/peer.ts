/**
 * Types shared by both sides of a peer connection.
 */

/** Identity of a peer, as sent in the handshake. */
export type PeerIdentity = {
    readonly clusterId: string;
    readonly name: string;
    /** Random for each start of the process. Distinguishes a restarted peer from one that reconnected. */
    readonly incarnation: string;
    /** Kind of process, which handlers may check; the handshake does not check it. */
    readonly role: string;
    readonly availabilityZone: string;
};

/**
 * Handles one request of a peer.
 *
 * @param from Identity of the peer.
 * @param kind Kind of the request, which selects the operation.
 * @param payload Decoded payload, not checked against a schema.
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
     * @param kind Kind of the request, at most 256 characters.
     * @param payload Plain data that `encodeFrame` accepts.
     * @param deadlineMilliseconds Time after which the call is rejected; limited to one day.
     * @returns The reply payload, not checked against a schema.
     * @throws PeerError with the step, the peer and whether the request was certainly not sent.
     */
    call(kind: string, payload: unknown, deadlineMilliseconds: number): Promise<unknown>;
    /** Closes the connection, rejects the calls that are waiting for a reply, and stops dialing. */
    close(): Promise<void>;
};

/** An open listening socket. */
export type PeerListener = {
    /** Port on which it listens, also if a free one was selected. */
    readonly port: number;
    /** Identities of the peers whose connections are established. */
    readonly connectedPeers: readonly PeerIdentity[];
    /** Closes the socket and all connections, and aborts the signals of the running requests. */
    close(): Promise<void>;
};
