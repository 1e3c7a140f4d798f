/**
 * Program of the thread that `startProxyThread` starts. It executes commands in the order of arrival.
 */
import { createSystemClock } from "@hyssopfront/coordination";
import { parentPort, workerData } from "node:worker_threads";
import { type FaultProxy, startFaultProxy } from "./fault-proxy.js";
import { type ProxyCommand, ProxyCommandKind, type ProxyThreadData } from "./proxy-thread.js";

const clock = createSystemClock();
const proxies = new Map<number, FaultProxy>();
const { executedCommands } = workerData as ProxyThreadData;

async function open(command: Extract<ProxyCommand, { kind: ProxyCommandKind.Open }>): Promise<void> {
    const { id, faults, ...options } = command;
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

function execute(command: ProxyCommand): void {
    switch (command.kind) {
        case ProxyCommandKind.Open:
            void open(command);
            return;
        case ProxyCommandKind.SetFaults:
            proxies.get(command.id)?.setFaults(command.changes);
            return;
        case ProxyCommandKind.SetFaultsOfClient:
            proxies.get(command.id)?.setFaultsOfClient(command.client, command.changes);
            return;
        case ProxyCommandKind.Close:
            void proxies.get(command.id)?.close();
            proxies.delete(command.id);
    }
}

parentPort?.on("message", (command: ProxyCommand) => {
    execute(command);
    Atomics.add(executedCommands, 0, 1);
    Atomics.notify(executedCommands, 0);
});
