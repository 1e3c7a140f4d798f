/**
 * TCP proxy that injects faults between real sockets: it delays, rate-limits, holds back or drops bytes, resets
 * connections and refuses new ones.
 */
import type { Clock } from "@hyssopfront/coordination";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { type DirectionFaults, Flow, pumpBytes, resetSocket } from "./pump.js";

export { Flow };

/** Faults of a connection. A change keeps the faults that it does not name. */
export type ProxyFaults = {
    /** Delay of each direction in milliseconds. */
    readonly delayMilliseconds: number;
    /** Byte rate of each direction; Infinity for no limit. */
    readonly bytesPerSecond: number;
    readonly toServer: Flow;
    readonly toClient: Flow;
};

export type ProxyConnection = {
    /** Changes the faults of this connection while it runs. */
    setFaults(changes: Partial<ProxyFaults>): void;
    /** Resets the connection on both sides. */
    reset(): void;
};

export type FaultProxy = {
    readonly port: number;
    /** Open connections in the order in which they were accepted. */
    readonly connections: readonly ProxyConnection[];
    /** Changes the faults of all open connections and of new ones. */
    setFaults(changes: Partial<ProxyFaults>): void;
    /** Like `setFaults`, but only for the connections of one of the `clientNames`. */
    setFaultsOfClient(name: string, changes: Partial<ProxyFaults>): void;
    /** Changes the faults of new connections only. */
    setFaultsOfNewConnections(changes: Partial<ProxyFaults>): void;
    /** Refuses new connections, or accepts them again. Open connections are not affected. */
    refuseConnections(isRefusing: boolean): Promise<void>;
    /** Resets all open connections. */
    reset(): void;
    close(): Promise<void>;
};

const NO_FAULTS: ProxyFaults = {
    delayMilliseconds: 0,
    bytesPerSecond: Infinity,
    toServer: Flow.Open,
    toClient: Flow.Open,
};

/**
 * Starts a proxy on 127.0.0.1.
 *
 * @param options.targetPort Port on 127.0.0.1 to which connections are forwarded.
 * @param options.port Port of the proxy; a free one is chosen by default.
 */
export async function startFaultProxy(options: {
    readonly clock: Clock;
    readonly targetPort: number;
    readonly port?: number;
    /** Names of clients that can have faults of their own. A client is recognized by its name in its first bytes. */
    readonly clientNames?: readonly string[];
}): Promise<FaultProxy> {
    const connections = new Set<ProxyConnection>();
    const clientNames = new WeakMap<ProxyConnection, string>();
    const faultsByClient = new Map<string, Partial<ProxyFaults>>();
    let faultsOfNewConnections = NO_FAULTS;
    const server = createServer({ allowHalfOpen: true }, client => {
        const target = connect({ host: "127.0.0.1", port: options.targetPort, allowHalfOpen: true });
        const connection = proxyConnection(options.clock, client, target, faultsOfNewConnections, () => {
            connections.delete(connection);
        });
        connections.add(connection);
        client.prependOnceListener("data", (bytes: Buffer) => {
            const name = options.clientNames?.find(candidate => bytes.includes(candidate));
            if (name !== undefined) {
                clientNames.set(connection, name);
                connection.setFaults(faultsByClient.get(name) ?? {});
            }
        });
    });
    const listen = async (port: number) => {
        server.listen(port, "127.0.0.1");
        await once(server, "listening");
    };
    await listen(options.port ?? 0);
    const { port } = server.address() as AddressInfo;
    const reset = () => connections.forEach(connection => connection.reset());

    return {
        port,
        get connections() {
            return [...connections];
        },
        setFaults: changes => {
            faultsOfNewConnections = { ...faultsOfNewConnections, ...changes };
            connections.forEach(connection => connection.setFaults(changes));
        },
        setFaultsOfClient: (name, changes) => {
            faultsByClient.set(name, { ...faultsByClient.get(name), ...changes });
            connections.forEach(connection => {
                if (clientNames.get(connection) === name) {
                    connection.setFaults(changes);
                }
            });
        },
        setFaultsOfNewConnections: changes => {
            faultsOfNewConnections = { ...faultsOfNewConnections, ...changes };
        },
        refuseConnections: async isRefusing => {
            if (isRefusing) {
                server.close();
            }
            else if (!server.listening) {
                await listen(port);
            }
        },
        reset,
        close: async () => {
            server.close();
            reset();
        },
    };
}

function proxyConnection(
    clock: Clock,
    client: Socket,
    target: Socket,
    initialFaults: ProxyFaults,
    onClose: () => void,
): ProxyConnection {
    let faults = initialFaults;
    let notifyChange: () => void = () => undefined;
    let changed = new Promise<void>(resolve => notifyChange = resolve);
    const closing = new AbortController();
    const directionFaults = (flow: "toServer" | "toClient") => (): DirectionFaults => ({
        delayMilliseconds: faults.delayMilliseconds,
        bytesPerSecond: faults.bytesPerSecond,
        flow: faults[flow],
        changed,
    });
    const reset = () => {
        closing.abort(new Error("The proxy connection was reset."));
        resetSocket(client);
        resetSocket(target);
    };
    const options = { clock, signal: closing.signal };
    client.setNoDelay(true);
    target.setNoDelay(true);
    void Promise.all([
        pumpBytes({ ...options, from: client, to: target, faults: directionFaults("toServer") }),
        pumpBytes({ ...options, from: target, to: client, faults: directionFaults("toClient") }),
    ]).finally(() => {
        reset();
        onClose();
    });
    return {
        setFaults: changes => {
            faults = { ...faults, ...changes };
            notifyChange();
            changed = new Promise<void>(resolve => notifyChange = resolve);
        },
        reset,
    };
}
