/**
 * Development cluster: all parts of the system in one process on one machine.
 */
import type { Clock } from "@hyssopfront/coordination";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { createApiClient } from "../command-line/http-client.js";
import { applyResource, waitUntilInForce } from "../command-line/resource-client.js";
import type { Control } from "../control/start-control.js";
import { type Entry, startEntry } from "../entry/start-entry.js";
import { RequestClass, ResourceKind } from "../resources/resource.js";
import { parseSettings, type Settings } from "../settings/settings.js";
import { type SampleBackendServer, startSampleBackendServer } from "./sample-backend-server.js";

/** First of the ports that the cluster uses unless another one is given. */
export const DEFAULT_BASE_PORT = 7_100;
const ADDRESS = "127.0.0.1";
const SERVICE = "stoc";
const REGION = "transilvania";
const AVAILABILITY_ZONES = ["sibiu-1", "sibiu-2"];
const BACKEND_SERVERS_PER_ZONE = 2;
const READY_TIMEOUT_MS = 20_000;
const READY_CHECK_INTERVAL_MS = 100;

/** A running development cluster. */
export type DevelopmentCluster = {
    /** Text for the operator with the addresses of the cluster and commands to try. */
    readonly description: string;
    /** Stops all parts gracefully and deletes the data folder. */
    stop(): Promise<void>;
};

/** Options of a development cluster. */
export type DevelopmentClusterOptions = {
    /** Ports up to 204 above this one are used. */
    readonly basePort: number;
    readonly clock: Clock;
    readonly startControl: (settings: Settings, onFailure: (error: Error) => void) => Promise<Control>;
};

const formatTable = (name: string, values: Readonly<Record<string, string | number>>) =>
    [`[${name}]`, ...Object.entries(values).map(([key, value]) => `${key} = ${JSON.stringify(value)}`), ""].join("\n");

function makeSettings(basePort: number, name: string, availabilityZone: string, roleTable: string): Settings {
    const text = [
        `clusterId = "development"`,
        formatTable("instance", { name, address: ADDRESS, availabilityZone }),
        roleTable,
        "[[controlInstances]]",
        `name = "control-1"\naddress = "${ADDRESS}"\navailabilityZone = "${AVAILABILITY_ZONES[0]}"`,
        `peerPort = ${basePort + 101}\noperatorPort = ${basePort + 102}`,
        "[[runOnceGroups]]",
        `name = "${REGION}"\nvoters = ["control-1"]`,
    ].join("\n");
    return parseSettings(text, "the embedded settings");
}

const declareSampleResources = async (operatorPort: number) => {
    const client = createApiClient({ servers: [`${ADDRESS}:${operatorPort}`] });
    await applyResource(client, { kind: ResourceKind.Region, name: REGION, spec: { links: [] } });
    for (const [index, name] of AVAILABILITY_ZONES.entries()) {
        const clientBlocks = [`10.${index + 1}.0.0/16`];
        await applyResource(client, {
            kind: ResourceKind.AvailabilityZone,
            name,
            spec: { region: REGION, clientBlocks },
        });
    }
    await applyResource(client, {
        kind: ResourceKind.Service,
        name: SERVICE,
        spec: {
            availabilityZones: AVAILABILITY_ZONES,
            slotsPerBackendServer: 6,
            connectionsPerBackendServer: 330,
            classes: [{ method: "POST", pathPrefix: "/orders", class: RequestClass.RunOnce }],
            timeToLiveSeconds: 5,
        },
    });
    await waitUntilInForce(client, ResourceKind.Service, SERVICE, READY_TIMEOUT_MS);
};

/**
 * Waits until an entry has slots of backend servers. A new control leader grants them only after it has received the
 * session renewals of all entries.
 */
async function waitUntilServing(clock: Clock, callerPort: number): Promise<void> {
    const deadlineAt = clock.monotonicMilliseconds() + READY_TIMEOUT_MS;
    while (clock.monotonicMilliseconds() < deadlineAt) {
        const response = await request(`http://${ADDRESS}:${callerPort}/${SERVICE}/`);
        await response.body.dump();
        if (response.statusCode === 200) {
            return;
        }
        await clock.sleep(READY_CHECK_INTERVAL_MS);
    }
    throw new Error(`The entry at port ${callerPort} does not serve after ${READY_TIMEOUT_MS / 1_000} s.`);
}

/**
 * Starts a control instance, two entries and four backend servers. Resolves when both entries serve requests.
 *
 * @throws Error when a part cannot be started or an entry does not serve in time; all other parts are then stopped.
 */
export async function startDevelopmentCluster(options: DevelopmentClusterOptions): Promise<DevelopmentCluster> {
    const { basePort, clock } = options;
    const dataFolder = await mkdtemp(join(tmpdir(), "hyssopfront-dev-"));
    const stopFunctions: (() => Promise<void>)[] = [() => rm(dataFolder, { recursive: true, force: true })];
    const stop = async () => {
        for (const stopNext of stopFunctions.splice(0).reverse()) {
            await stopNext();
        }
    };
    try {
        const ports = { peerPort: basePort + 101, operatorPort: basePort + 102 };
        const controlTable = formatTable("control", { ...ports, dataFolder });
        const control = await options.startControl(
            makeSettings(basePort, "control-1", AVAILABILITY_ZONES[0]!, controlTable),
            () => void stop(),
        );
        stopFunctions.push(() => control.stop());
        const entries = await Promise.all(AVAILABILITY_ZONES.map(async (availabilityZone, index): Promise<Entry> => {
            const firstPort = basePort + 10 * index;
            const entryTable = formatTable("entry", {
                callerPort: firstPort + 1,
                adminPort: firstPort + 2,
                peerPort: firstPort + 3,
            });
            return startEntry(makeSettings(basePort, `entry-${index + 1}`, availabilityZone, entryTable), clock);
        }));
        let backendServers: readonly SampleBackendServer[] = [];
        // Functions run in reverse order: backend servers stop after the entries, whose requests they complete.
        stopFunctions.push(async () => {
            await Promise.all(backendServers.map(backendServer => backendServer.stop()));
        });
        stopFunctions.push(async () => {
            await Promise.all(entries.map(entry => entry.stop()));
        });
        backendServers = await Promise.all(
            AVAILABILITY_ZONES.flatMap((availabilityZone, zoneIndex) =>
                Array.from({ length: BACKEND_SERVERS_PER_ZONE }, (_, index) =>
                    startSampleBackendServer({
                        clock,
                        service: SERVICE,
                        name: `${SERVICE}-${zoneIndex + 1}-${index + 1}`,
                        availabilityZone,
                        port: basePort + 201 + BACKEND_SERVERS_PER_ZONE * zoneIndex + index,
                        entries: entries.map(entry => `${ADDRESS}:${entry.callerPort}`),
                    }))
            ),
        );
        await declareSampleResources(control.operatorPort);
        await Promise.all(entries.map(async entry => {
            await entry.ready;
            await waitUntilServing(clock, entry.callerPort);
        }));
        const [firstEntry] = entries;
        return {
            description: [
                `control: operators at ${ADDRESS}:${control.operatorPort}`,
                ...entries.map((entry, index) =>
                    `entry-${index + 1} (${AVAILABILITY_ZONES[index]}): callers at ${ADDRESS}:${entry.callerPort}, `
                    + `admin at ${ADDRESS}:${entry.adminPort}`
                ),
                `try: curl "http://${ADDRESS}:${firstEntry?.callerPort}/v1/lookup?service=${SERVICE}&address=10.2.0.9"`,
                `try: curl "http://${ADDRESS}:${firstEntry?.callerPort}/${SERVICE}/dies/42"`,
                "Ctrl-C stops everything gracefully.",
            ].join("\n"),
            stop,
        };
    }
    catch (error) {
        await stop();
        throw error;
    }
}
