/**
 * Body of the thread that `startProxyThread` starts.
 */
import { createSystemClock } from "@hyssopfront/coordination";
import { parentPort, workerData } from "node:worker_threads";
import { type FaultProxy, startFaultProxy } from "./fault-proxy.js";
import { type ProxyCommand, ProxyCommandKind, type ProxyThreadData } from "./proxy-thread.js";

const clock = createSystemClock();
const proxies = new Map<number, FaultProxy>();
const { executedCommands: carriedOut } = workerData as ProxyThreadData;

async function open(order: Extract<ProxyCommand, { kind: ProxyCommandKind.Open }>): Promise<void> {
    const { id, faults, ...options } = order;
    try {
        const proxy = await startFaultProxy({ clock, ...options });
        proxy.setFaults(faults);
        proxies.set(id, proxy);
        parentPort?.postMessage({ id, port: proxy.port });
    }
    catch (error) {
        parentPort?.postMessage({ id, error });
    }
}

function carryOut(order: ProxyCommand): void {
    switch (order.kind) {
        case ProxyCommandKind.Open:
            void open(order);
            return;
        case ProxyCommandKind.SetFaults:
            proxies.get(order.id)?.setFaults(order.changes);
            return;
        case ProxyCommandKind.SetFaultsOfClient:
            proxies.get(order.id)?.setFaultsOfClient(order.client, order.changes);
            return;
        case ProxyCommandKind.Close:
            void proxies.get(order.id)?.close();
            proxies.delete(order.id);
    }
}

parentPort?.on("message", (order: ProxyCommand) => {
    carryOut(order);
    Atomics.add(carriedOut, 0, 1);
    Atomics.notify(carriedOut, 0);
});
