/**
 * Connections to one backend server. Each carries one request at a time and is kept only after a whole answer.
 */
import type { Clock } from "@hyssopfront/coordination";
import type { Socket } from "node:net";
import { buildConnector, Client } from "undici";

export type BackendConnection = {
    readonly client: Client;
    /** Address and port that it was opened to. */
    readonly origin: string;
    /** True once a whole answer was read on it. */
    isReused: boolean;
    /** Monotonic milliseconds of the last whole answer. */
    lastUsedAt: number;
    /** Set when the socket was closed. */
    isClosed: boolean;
    /** Set when the socket was reset; undici takes a reset for the end of an answer without a length. */
    isReset: boolean;
};

export type BackendConnectionPool = {
    /**
     * Takes the idle connection that was used last, or a new one.
     *
     * @param maximumIdleMilliseconds Longer idle connections are used only when the limit allows no new one.
     * @returns Undefined when the limit is reached.
     */
    acquire(limit: number, maximumIdleMilliseconds?: number): BackendConnection | undefined;
    /** Gives a connection back after its answer was read whole and correctly delimited. */
    release(connection: BackendConnection): void;
    /** Closes a connection that must not carry another request. */
    discard(connection: BackendConnection): void;
    /** Closes each connection after one answer from now on. */
    disableReuse(): void;
    /** Closes all idle connections. */
    closeIdle(): void;
    /** Opens connections to this address and port from now on, and reuses none that leads elsewhere. */
    setAddress(address: string, port: number): void;
    /** Closes the idle connections now and the others once they are given back. */
    close(): void;
    readonly openCount: number;
    readonly idleCount: number;
};

export type BackendConnectionPoolOptions = {
    readonly clock: Clock;
    readonly address: string;
    readonly port: number;
    readonly connectTimeoutMilliseconds?: number;
    /** Idle connections are closed after this time, so that one that fell silent while idle is seldom used. */
    readonly idleTimeoutMilliseconds?: number;
    /** Called for each new connection. */
    readonly onConnect?: () => void;
    /** Called when the backend server sent bytes on an idle connection. */
    readonly onUnsolicitedResponse?: () => void;
};

/** True for bytes that came without a request; an orderly or broken end of the connection is none. */
const isUnsolicited = (error: Error & { code?: string }) =>
    error.message === "bad response" || error.code?.startsWith("HPE_") === true;

const originOf = (address: string, port: number) =>
    `http://${address.includes(":") ? `[${address}]` : address}:${port}`;

/**
 * Notes when a socket is reset. Node reports a reset that arrives together with the last bytes as an orderly end; the
 * socket then has no remote address any more, which one that was ended in order still has.
 */
function trackReset(socket: Socket | null, connection: BackendConnection): void {
    socket?.once("error", () => {
        connection.isReset = true;
    });
    socket?.once("end", () => {
        connection.isReset ||= socket.remoteAddress === undefined;
    });
}

/**
 * Creates an empty pool. Once the backend server has sent bytes on an idle connection, no connection is reused any more:
 * the next such bytes could come after a request was sent and pass for its answer.
 */
export function createBackendConnectionPool(options: BackendConnectionPoolOptions): BackendConnectionPool {
    const { clock } = options;
    let { address, port } = options;
    let origin = originOf(address, port);
    const idleTimeoutMilliseconds = options.idleTimeoutMilliseconds ?? 4_000;
    let idleConnections: BackendConnection[] = [];
    let openConnections = 0;
    let isClosing = false;
    let allowsReuse = true;

    const discard = (connection: BackendConnection) => {
        if (!connection.isClosed) {
            connection.isClosed = true;
            openConnections -= 1;
        }
        idleConnections = idleConnections.filter(other => other !== connection);
        void connection.client.destroy();
    };

    const openSocket = buildConnector({
        timeout: options.connectTimeoutMilliseconds ?? 1_000,
        autoSelectFamily: false,
    });

    const connect = (): BackendConnection => {
        const client = new Client(origin, {
            pipelining: 1,
            connect: (connectOptions, callback) =>
                openSocket(connectOptions, (...args) => {
                    trackReset(args[1], connection);
                    callback(...args);
                }),
            // Both times are bounded by the deadline of each request.
            headersTimeout: 0,
            bodyTimeout: 0,
            keepAliveTimeout: idleTimeoutMilliseconds,
            keepAliveMaxTimeout: idleTimeoutMilliseconds,
        });
        const connection: BackendConnection = {
            client,
            origin,
            isReused: false,
            lastUsedAt: -Infinity,
            isClosed: false,
            isReset: false,
        };
        openConnections += 1;
        options.onConnect?.();
        client.on("disconnect", (_origin, _targets, error) => {
            if (idleConnections.includes(connection)) {
                if (isUnsolicited(error)) {
                    options.onUnsolicitedResponse?.();
                    allowsReuse = false;
                }
                discard(connection);
            }
        });
        return connection;
    };

    const discardIdle = () => [...idleConnections].forEach(discard);

    return {
        acquire: (limit, maximumIdleMilliseconds = Infinity) => {
            const idleSince = idleConnections.at(-1)?.lastUsedAt ?? -Infinity;
            const isRecentlyUsed = clock.monotonicMilliseconds() - idleSince <= maximumIdleMilliseconds;
            return !isRecentlyUsed && openConnections < limit
                ? connect()
                : idleConnections.pop() ?? (openConnections < limit ? connect() : undefined);
        },
        release: connection => {
            if (isClosing || connection.isClosed || connection.origin !== origin || !allowsReuse) {
                discard(connection);
                return;
            }
            connection.isReused = true;
            connection.lastUsedAt = clock.monotonicMilliseconds();
            idleConnections.push(connection);
        },
        discard,
        closeIdle: discardIdle,
        setAddress: (nextAddress, nextPort) => {
            if (nextAddress !== address || nextPort !== port) {
                address = nextAddress;
                port = nextPort;
                origin = originOf(address, port);
                discardIdle();
            }
        },
        disableReuse: () => {
            allowsReuse = false;
            discardIdle();
        },
        close: () => {
            isClosing = true;
            discardIdle();
        },
        get openCount() {
            return openConnections;
        },
        get idleCount() {
            return idleConnections.length;
        },
    };
}
