/**
 * Server side of peer connections.
 */
import { once } from "node:events";
import { type AddressInfo, createServer as createTcpServer, type Server, type Socket } from "node:net";
import { createServer as createTlsServer, type Server as TlsServer } from "node:tls";
import type { Clock } from "../clock/clock.js";
import { type Counters, NO_COUNTERS } from "../counters/counters.js";
import { type AddressWait, listen } from "../listening/listen.js";
import {
    createConnection,
    HEARTBEAT_INTERVAL_MS,
    INACTIVITY_TIMEOUT_MS,
    MAXIMUM_OUTGOING_BYTES,
} from "./connection.js";
import { HANDSHAKE_TIMEOUT_MS, performHandshake } from "./handshake.js";
import type { PeerIdentity, PeerListener, PeerRequestHandler } from "./peer.js";
import { serveRequests } from "./serve-requests.js";
import {
    type PeerTlsFiles,
    readTlsMaterial,
    TLS_RELOAD_INTERVAL_MS,
    type TlsMaterial,
    watchTlsMaterial,
} from "./tls.js";

/** Connections that a listener accepts: 450 nodes, with two connections each while they reconnect. */
export const MAXIMUM_CONNECTIONS = 1_024;
/** Concurrent requests of one connection, long polls included. */
export const MAXIMUM_REQUESTS_PER_CONNECTION = 256;
/** Concurrent requests of all connections of a listener. */
export const MAXIMUM_REQUESTS = 8_192;

/** Options of `listenForPeers`. Durations are in milliseconds, sizes in bytes. */
export type ListenForPeersOptions = {
    readonly clock: Clock;
    /** Address to listen on. */
    readonly address: string;
    /** Port to listen on; 0 selects any free port. */
    readonly port: number;
    /** How to wait for the port while it is in use. Default: the start fails at once. */
    readonly addressWait?: AddressWait;
    /** Identity of this process, which is sent to the peers. */
    readonly self: PeerIdentity;
    /** Handles the requests of all peers, such as one created by `routePeerRequests`. */
    readonly handle: PeerRequestHandler;
    /** Default: no counters. */
    readonly counters?: Counters;
    /** Files for mutual TLS. Default: plain TCP, without authentication of the peers. */
    readonly tls?: PeerTlsFiles;
    /** Interval at which the TLS files are checked for changes. Default: 5 s. */
    readonly tlsReloadMilliseconds?: number;
    /** Interval at which heartbeats are sent on an otherwise idle connection. Default: 500 ms. */
    readonly heartbeatMilliseconds?: number;
    /** Time without a received frame, or without progress of a write, that ends a connection. Default: 2 s. */
    readonly silenceMilliseconds?: number;
    /** Timeout for the TLS handshake, and for the hello frame after it. Default: 1 s. */
    readonly handshakeMilliseconds?: number;
    /** Bytes that may be buffered for a slow peer; a reply over the limit ends its connection. Default: 12 MiB. */
    readonly maximumOutgoingBytes?: number;
    /** Connections over the limit are closed. Default: 1,024. */
    readonly maximumConnections?: number;
    /** Running requests of one connection; requests over the limit are rejected. Default: 256. */
    readonly maximumRequestsOfAConnection?: number;
    /** Running requests of all connections; requests over the limit are rejected. Default: 8,192. */
    readonly maximumRequests?: number;
};

/**
 * Opens a listening socket and serves the peers that connect to it.
 *
 * @returns The listener, once its socket is listening.
 * @throws ListenError when the address is in use; the reason of the abort when the wait for it is ended; Error when a TLS
 * file cannot be read.
 */
export async function listenForPeers(options: ListenForPeersOptions): Promise<PeerListener> {
    const { clock } = options;
    const counters = options.counters ?? NO_COUNTERS;
    const closing = new AbortController();
    const sockets = new Set<Socket>();
    const tasks = new Set<Promise<void>>();
    const connectedPeers = new Set<PeerIdentity>();
    const requestLimit = { running: 0, maximum: options.maximumRequests ?? MAXIMUM_REQUESTS };

    const serveConnection = async (socket: Socket) => {
        const connection = createConnection(socket, {
            clock,
            counters,
            heartbeatMilliseconds: options.heartbeatMilliseconds ?? HEARTBEAT_INTERVAL_MS,
            inactivityTimeoutMilliseconds: options.silenceMilliseconds ?? INACTIVITY_TIMEOUT_MS,
            maximumOutgoingBytes: options.maximumOutgoingBytes ?? MAXIMUM_OUTGOING_BYTES,
        });
        const frames = connection.frames();
        let remote: PeerIdentity | undefined;
        try {
            remote = await performHandshake(connection, frames, {
                clock,
                self: options.self,
                handshakeTimeoutMilliseconds: options.handshakeMilliseconds ?? HANDSHAKE_TIMEOUT_MS,
                address: `${socket.remoteAddress ?? "unknown"}:${socket.remotePort ?? 0}`,
            });
            connectedPeers.add(remote);
            counters.increment("peers.connections_accepted");
            void connection.keepAlive();
            await serveRequests({
                clock,
                counters,
                connection,
                frames,
                from: remote,
                handle: options.handle,
                maximumRequestsPerConnection: options.maximumRequestsOfAConnection ?? MAXIMUM_REQUESTS_PER_CONNECTION,
                requestLimit,
            });
        }
        catch {
            counters.increment(remote === undefined ? "peers.handshake_failures" : "peers.connections_lost");
        }
        finally {
            if (remote !== undefined) {
                connectedPeers.delete(remote);
            }
        }
    };

    const material = options.tls === undefined ? undefined : await readTlsMaterial(options.tls);
    const server = material === undefined ? createTcpServer() : createPeerTlsServer(material, options);
    server.maxConnections = options.maximumConnections ?? MAXIMUM_CONNECTIONS;
    server.on("drop", () => counters.increment("peers.connections_refused"));
    // Tracks raw sockets from the start, so that close() also destroys those whose TLS handshake is still in progress.
    server.on("connection", (socket: Socket) => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
    });
    server.on("tlsClientError", () => counters.increment("peers.tls_handshake_failures"));
    server.on(material === undefined ? "connection" : "secureConnection", (socket: Socket) => {
        const task = serveConnection(socket).finally(() => tasks.delete(task));
        tasks.add(task);
    });
    await listen(server, {
        listener: "peers",
        address: options.address,
        port: options.port,
        wait: options.addressWait,
    });
    // Emitted, for instance, when no file descriptor is left for an accepted connection. The server keeps listening.
    server.on("error", () => counters.increment("peers.accept_failures"));
    const tlsWatcher = options.tls === undefined || material === undefined ? Promise.resolve() : watchTlsMaterial({
        clock,
        counters,
        files: options.tls,
        intervalMilliseconds: options.tlsReloadMilliseconds ?? TLS_RELOAD_INTERVAL_MS,
        current: material,
        onChange: next => (server as TlsServer).setSecureContext({ ...next, minVersion: "TLSv1.3" }),
        signal: closing.signal,
    });

    return {
        port: (server.address() as AddressInfo).port,
        get connectedPeers() {
            return [...connectedPeers];
        },
        close: async () => {
            closing.abort(new Error("The listener was closed."));
            const closed = server.listening ? once(server, "close") : Promise.resolve();
            server.close();
            sockets.forEach(socket => socket.destroy());
            await Promise.all([closed, tlsWatcher, ...tasks]);
        },
    };
}

function createPeerTlsServer(material: TlsMaterial, options: ListenForPeersOptions): Server {
    return createTlsServer({
        ...material,
        minVersion: "TLSv1.3",
        requestCert: true,
        rejectUnauthorized: true,
        handshakeTimeout: options.handshakeMilliseconds ?? HANDSHAKE_TIMEOUT_MS,
    });
}
