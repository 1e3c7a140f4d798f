/**
 * Control instances as real processes on 127.0.0.1, for tests and measurements.
 */
import type { ControlInstanceSettings, ControlSettings } from "hyssopfront/control/control-settings.ts";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdirSync, writeFileSync } from "node:fs";
import { createServer, type Server } from "node:net";
import { join, resolve } from "node:path";

const MAIN_FILE = resolve(import.meta.dirname, "../../../hyssopfront/src/control/processes/control-main.ts");

export type ControlCluster = {
    readonly clusterId: string;
    readonly instances: readonly ControlInstanceSettings[];
    /** Starts the process of an instance and waits until its ports are open. */
    start(name: string): Promise<void>;
    /** Sends a signal; if it ends the process, waits for the end and resolves with the exit code. */
    signal(name: string, signal: "SIGKILL" | "SIGTERM" | "SIGSTOP" | "SIGCONT"): Promise<number | undefined>;
    isRunning(name: string): boolean;
    /** Standard error of a process up to now. */
    errorOutput(name: string): string;
    /** Kills all processes. */
    stop(): Promise<void>;
};

/**
 * Ports below the ephemeral ports of the system: an outgoing connection could take the port of an instance while the
 * instance is down.
 */
const FIRST_PORT = 15_000;
const LAST_PORT = 31_000;
const BLOCK_PORTS = 20;

/** Control instances on ports that no other user of this module gets before `release`. */
export type ReservedInstances = {
    readonly instances: readonly ControlInstanceSettings[];
    release(): Promise<void>;
};

const listenAt = async (port: number): Promise<Server | undefined> => {
    const server = createServer().listen(port, "127.0.0.1");
    try {
        await once(server, "listening");
        return server;
    }
    catch {
        return undefined;
    }
};

/** Reserves a block of ports by listening on its first port and assigns the ports after it to the instances. */
export async function reserveControlInstances(count: number): Promise<ReservedInstances> {
    const blocks = Math.floor((LAST_PORT - FIRST_PORT) / BLOCK_PORTS);
    for (let attempt = 0; attempt < blocks; attempt += 1) {
        const first = FIRST_PORT + (process.pid + attempt) % blocks * BLOCK_PORTS;
        const reservation = await listenAt(first);
        if (reservation !== undefined) {
            const instances = Array.from({ length: count }, (_, index) => ({
                name: `control-${index + 1}`,
                address: "127.0.0.1",
                peerPort: first + 1 + 2 * index,
                operatorPort: first + 2 + 2 * index,
                availabilityZone: `zone-${index + 1}`,
            }));
            return {
                instances,
                release: () => new Promise(resolveClosed => reservation.close(() => resolveClosed())),
            };
        }
    }
    throw new Error(`No block of ports is free between ${FIRST_PORT} and ${LAST_PORT}.`);
}

/** Creates the settings of one of the instances. */
export function makeControlSettings(
    clusterId: string,
    instances: readonly ControlInstanceSettings[],
    name: string,
    folder: string,
): ControlSettings {
    const { address, availabilityZone, peerPort, operatorPort } = instances.find(instance =>
        instance.name === name
    ) as ControlInstanceSettings;
    return {
        clusterId,
        instance: { name, address, availabilityZone },
        control: { peerPort, operatorPort, dataFolder: join(folder, name) },
        controlInstances: instances,
    };
}

/** Prepares a cluster without starting its processes. */
export async function prepareControlCluster(count: number, folder: string): Promise<ControlCluster> {
    const clusterId = "bench";
    const { instances, release } = await reserveControlInstances(count);
    const processes = new Map<string, ChildProcess>();
    const errors = new Map<string, string>();
    mkdirSync(folder, { recursive: true });

    const isRunning = (name: string) => {
        const child = processes.get(name);
        return child !== undefined && typeof child.exitCode !== "number" && typeof child.signalCode !== "string";
    };

    const start = async (name: string) => {
        const settingsFile = join(folder, `${name}.json`);
        writeFileSync(settingsFile, JSON.stringify(makeControlSettings(clusterId, instances, name, folder)));
        const child = spawn(process.execPath, ["--conditions=source", "--import", "tsx", MAIN_FILE, settingsFile], {
            stdio: ["ignore", "pipe", "pipe"],
            // The child must not inherit the options of the test runner.
            env: { ...process.env, NODE_OPTIONS: "" },
        });
        processes.set(name, child);
        child.stderr?.on("data", data => errors.set(name, (errors.get(name) ?? "") + String(data)));
        const ready = once(child.stdout as NonNullable<ChildProcess["stdout"]>, "data");
        const ended = once(child, "exit").then(([code]) => {
            throw new Error(`${name} exited with code ${String(code)} before it was ready: ${errors.get(name) ?? ""}`);
        });
        ended.catch(() => undefined);
        await Promise.race([ready, ended]);
    };

    const signal: ControlCluster["signal"] = async (name, sent) => {
        const child = processes.get(name);
        if (child === undefined || !isRunning(name)) {
            return undefined;
        }
        const exited = once(child, "exit");
        child.kill(sent);
        if (sent === "SIGSTOP" || sent === "SIGCONT") {
            return undefined;
        }
        const [code] = await exited as [number | undefined];
        return code ?? undefined;
    };

    return {
        clusterId,
        instances,
        start,
        signal,
        isRunning,
        errorOutput: name => errors.get(name) ?? "",
        stop: async () => {
            await Promise.all([...processes.keys()].map(name => signal(name, "SIGKILL")));
            await release();
        },
    };
}
