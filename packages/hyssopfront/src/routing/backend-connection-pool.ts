/**
 * Connections to one backend server. Each carries one request at a time, and is reused only after a complete response.
 */
import type { Clock } from "@hyssopfront/coordination";
import type { Socket } from "node:net";
import { buildConnector, Client } from "undici";

/** A connection to a backend server. */
export type BackendConnection = {
    readonly client: Client;
    /** Origin URL of the address and port that the connection was opened to. */
    readonly origin: string;
    /** True once a complete response was read on the connection. */
    isReused: boolean;
    /** Time of the last complete response in monotonic milliseconds. */
    lastUsedAt: number;
    /** True once the connection was closed. */
    isClosed: boolean;
    /** True once the socket was reset. undici treats a reset as the end of a response without a length. */
    isReset: boolean;
    /** Continues to read a response. Set while the reading is paused. */
    resumeReading: (() => void) | undefined;
    /** Undefined until the connection is established. */
    socket: Socket | undefined;
    /** Called whenever bytes have been received, before they are parsed, until the connection is released or discarded. */
    onBytesReceived: (() => void) | undefined;
};

/** Connection pool of one backend server. */
export type BackendConnectionPool = {
    /**
     * Acquires the most recently used idle connection, or opens a new one.
     *
     * @param limit Maximum number of open connections.
     * @param maximumIdleMilliseconds A connection that was idle for longer is used only if the limit allows no new one.
     * @returns The connection, or undefined if the limit is reached.
     */
    acquire(limit: number, maximumIdleMilliseconds?: number): BackendConnection | undefined;
    /** Returns a connection to the pool after a complete and correctly delimited response. */
    release(connection: BackendConnection): void;
    /** Closes a connection that must not carry another request. */
    discard(connection: BackendConnection): void;
    /** From now on, closes each connection after one response. */
    disableReuse(): void;
    /** Closes all idle connections. */
    closeIdle(): void;
    /** From now on, opens connections to this address and port, and does not reuse connections to another one. */
    setAddress(address: string, port: number): void;
    /** Closes the idle connections now, and the others once they are released. */
    close(): void;
    readonly openCount: number;
    readonly idleCount: number;
};

/** Options of a connection pool. */
export type BackendConnectionPoolOptions = {
    readonly clock: Clock;
    readonly address: string;
    readonly port: number;
    readonly connectTimeoutMilliseconds?: number;
    /** Idle connections are closed after this time, so that one that died while idle is seldom used. Default: 4 s. */
    readonly idleTimeoutMilliseconds?: number;
    /** Called for each new connection. */
    readonly onConnect?: () => void;
    /** Called when the backend server sent bytes on an idle connection, where no response is expected. */
    readonly onUnsolicitedResponse?: () => void;
};

/** Code of a reset of the connection, instead of ECONNRESET. */
const RESET_CODE = "ERR_BACKEND_CONNECTION_RESET";

/** Returns true for bytes that came without a request, and false if the connection was only closed or reset. */
const isUnsolicited = (error: Error & { code?: string }) =>
    error.message === "bad response" || error.code?.startsWith("HPE_") === true;

const formatOrigin = (address: string, port: number) =>
    `http://${address.includes(":") ? `[${address}]` : address}:${port}`;

/**
 * Sets `isReset` when the socket is reset. Node.js reports a reset that arrives together with the last bytes as an
 * orderly end. In that case the socket no longer has a remote address, which it still has after an orderly end.
 *
 * undici 7 throws from the socket's events if a response ends with its connection while its reading is paused. These
 * listeners run before those of undici and keep it from ending a paused response.
 */
function trackEnd(socket: Socket, connection: BackendConnection): void {
    socket.once("error", (error: NodeJS.ErrnoException) => {
        connection.isReset = true;
        if (error.code === "ECONNRESET") {
            // undici takes this code, but no other one, for the possible end of a response.
            error.code = RESET_CODE;
        }
    });
    socket.once("end", () => {
        connection.isReset ||= socket.remoteAddress === undefined;
        connection.resumeReading?.();
    });
}

/**
 * Creates an empty pool. Once the backend server has sent bytes on an idle connection, connections are no longer
 * reused: the next such bytes could arrive after a request was sent and be mistaken for its response.
 */
export function createBackendConnectionPool(options: BackendConnectionPoolOptions): BackendConnectionPool {
    const { clock } = options;
    let { address, port } = options;
    let origin = formatOrigin(address, port);
    const idleTimeoutMilliseconds = options.idleTimeoutMilliseconds ?? 4_000;
    let idleConnections: BackendConnection[] = [];
    let openConnections = 0;
    let isClosing = false;
    let allowsReuse = true;

    const discard = (connection: BackendConnection) => {
        connection.onBytesReceived = undefined;
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
                    const socket = args[1] ?? undefined;
                    if (socket !== undefined) {
                        connection.socket = socket;
                        trackEnd(socket, connection);
                        socket.on("readable", () => connection.onBytesReceived?.());
                    }
                    callback(...args);
                }),
            // The deadline of each request bounds both times.
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
            resumeReading: undefined,
            socket: undefined,
            onBytesReceived: undefined,
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
            connection.onBytesReceived = undefined;
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
                origin = formatOrigin(address, port);
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
