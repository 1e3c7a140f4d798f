/**
 * A complete deployment on 127.0.0.1: processes of control instances and entries, and stand-in backend servers. Every
 * connection between two instances passes through a fault-injecting proxy.
 */
import { createApiClient } from "hyssopfront/command-line/http-client.ts";
import { applyResource, waitUntilInForce } from "hyssopfront/command-line/resource-client.ts";
import { ResourceKind } from "hyssopfront/resources/resource.ts";
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { type BackendServer, type BackendServerOptions, startBackendServer } from "../backend-server/backend-server.js";
import { Flow, type ProxyFaults } from "../fault-proxy/fault-proxy.js";
import { type FaultProxyHandle, startProxyThread } from "../fault-proxy/proxy-thread.js";
import { findFreePorts } from "./free-ports.js";
import { type DeploymentPlan, getRegion, latencyBetween, type PlannedInstance } from "./plan.js";
import {
    type ProcessSignal,
    type ProductProcess,
    type ProductProcessOptions,
    startProductProcess,
} from "./product-process.js";
import { createRegionLinks, type LinkEndpoint } from "./region-links.js";

const ADDRESS = "127.0.0.1";
const IN_FORCE_TIMEOUT_MS = 30_000;

/** A connection between two instances and the proxy that it passes through. */
export type ProxiedLink = {
    /** Undefined for connections from other entries, which share one proxy in front of the target. */
    readonly from: PlannedInstance | undefined;
    readonly to: PlannedInstance;
    readonly proxy: FaultProxyHandle;
};

export type Deployment = {
    readonly plan: DeploymentPlan;
    /** Base URLs such as `http://127.0.0.1:7101` by entry. */
    readonly callerUrls: ReadonlyMap<string, string>;
    /** Base URLs of the admin listeners by entry. */
    readonly adminUrls: ReadonlyMap<string, string>;
    /** Addresses such as `127.0.0.1:7202` of the operator API by control instance. */
    readonly operatorAddresses: ReadonlyMap<string, string>;
    readonly links: readonly ProxiedLink[];
    readonly backendServers: readonly BackendServer[];
    /** Starts the process of an instance, also again after its end, and waits until it is serving. */
    start(instance: string): Promise<void>;
    /** Sends a signal; if it ends the process, waits for the end and resolves with the exit code. */
    signal(instance: string, signal: ProcessSignal): Promise<number | undefined>;
    getProcess(instance: string): ProductProcess | undefined;
    /** Changes the faults of all chosen links and blocks until the changes are in effect. */
    setFaults(isChosen: (link: ProxiedLink) => boolean, changes: Partial<ProxyFaults>): void;
    /** Cuts the chosen connections, open and new ones. Replaces the previous partition. */
    partition(isCut: (from: LinkEndpoint, to: LinkEndpoint) => boolean, flow: Flow.Held | Flow.Dropped): void;
    /** Ends the partition. Open connections whose bytes were dropped still carry nothing. */
    heal(): void;
    /** Applies the regions, availability zones and services of the plan and waits until they are in force. */
    applyPlan(): Promise<void>;
    /**
     * Starts the backend servers of the plan's services, spread over the availability zones.
     *
     * @param perService Maximum number for each service.
     */
    startBackendServers(options?: Partial<BackendServerOptions>, perService?: number): Promise<void>;
    /** Kills all processes and closes all proxies and backend servers. */
    stop(): Promise<void>;
};

/** Takes the debug filter from `DEPLOYMENT_DEBUG` and the folder for the standard error from `DEPLOYMENT_TRACES`. */
function getTraceOptions(instance: string): ProductProcessOptions {
    const { DEPLOYMENT_DEBUG: debugFilter, DEPLOYMENT_TRACES: folder } = process.env;
    return { debugFilter, errorFile: folder === undefined ? undefined : join(folder, `${instance}.log`) };
}

type Ports = {
    readonly peer: number;
    /** Operator port of a control instance, caller port of an entry. */
    readonly client: number;
    readonly admin: number;
};

/** Prepares a deployment without starting its processes. */
export async function prepareDeployment(plan: DeploymentPlan, folder: string): Promise<Deployment> {
    mkdirSync(folder, { recursive: true });
    const instances = [...plan.controlInstances, ...plan.entries];
    const freePorts = await findFreePorts(3 * instances.length);
    const portsByInstance = new Map<string, Ports>(instances.map(({ name }, index) => [name, {
        peer: freePorts[3 * index]!,
        client: freePorts[3 * index + 1]!,
        admin: freePorts[3 * index + 2]!,
    }]));
    // Requests and responses must not delay the traffic of control instances among themselves and with entries.
    const controlThread = await startProxyThread();
    const trafficThread = await startProxyThread();
    let isCut: (from: LinkEndpoint, to: LinkEndpoint) => boolean = () => false;
    let cutFlow = Flow.Open;
    const createEndpoint = ({ name, availabilityZone }: PlannedInstance): LinkEndpoint => ({
        name,
        region: getRegion(plan, availabilityZone),
    });
    const links = await openLinks();
    const processes = new Map<string, ProductProcess>();
    const regionLinks = createRegionLinks(
        trafficThread,
        plan,
        ({ proxy, from, to }) => proxy.setFaults(flowsBetween(from, to)),
    );
    const entryUrlsByRegion = await openEntryUrlsByRegion();
    const backendServers: BackendServer[] = [];
    const isControl = (name: string) => plan.controlInstances.some(instance => instance.name === name);

    function flowsBetween(from: LinkEndpoint, to: LinkEndpoint): Pick<ProxyFaults, "toServer" | "toClient"> {
        const flow = isCut(from, to) ? cutFlow : Flow.Open;
        return { toServer: flow, toClient: flow };
    }

    function applyPartition(): void {
        regionLinks.all.forEach(({ proxy, from, to }) => proxy.setFaults(flowsBetween(from, to)));
        links.forEach(({ proxy, from, to }) => {
            if (from !== undefined) {
                proxy.setFaults(flowsBetween(createEndpoint(from), createEndpoint(to)));
                return;
            }
            otherEntries(to).forEach(entry =>
                proxy.setFaultsOfClient(entry.name, flowsBetween(createEndpoint(entry), createEndpoint(to)))
            );
        });
        waitUntilFaultsApplied();
    }

    function waitUntilFaultsApplied(): void {
        controlThread.waitUntilApplied();
        trafficThread.waitUntilApplied();
    }

    function otherEntries(to: PlannedInstance): readonly PlannedInstance[] {
        return plan.entries.filter(({ name }) => name !== to.name);
    }

    /** Returns the base URLs of all entries as the backend servers of each region reach them, by region. */
    async function openEntryUrlsByRegion(): Promise<ReadonlyMap<string, readonly string[]>> {
        const urlsByRegion = plan.regions.map(async ({ name: region }) => {
            const urls = plan.entries.map(async entry => {
                const { client } = portsByInstance.get(entry.name)!;
                const isSameRegion = getRegion(plan, entry.availabilityZone) === region;
                return `http://${ADDRESS}:${isSameRegion ? client : await regionLinks.open(region, entry, client)}`;
            });
            return [region, await Promise.all(urls)] as const;
        });
        return new Map(await Promise.all(urlsByRegion));
    }

    /** Opens a proxy in front of a backend server for each other region; returns the port that an entry has to use. */
    async function openBackendServerLinks(
        server: PlannedInstance,
        entries: readonly string[],
        port: number,
    ): Promise<(entry: string) => number> {
        const ownRegion = getRegion(plan, server.availabilityZone);
        const ports = await Promise.all(
            plan.regions.map(async ({ name: region }) =>
                [region, region === ownRegion ? port : await regionLinks.open(region, server, port)] as const
            ),
        );
        const portByRegion = new Map(ports);
        return entry => {
            const planned = plan.entries[entries.indexOf(entry)];
            return planned === undefined ? port : portByRegion.get(getRegion(plan, planned.availabilityZone))!;
        };
    }

    async function openLinks(): Promise<ProxiedLink[]> {
        const open = async (from: PlannedInstance | undefined, to: PlannedInstance): Promise<ProxiedLink> => {
            const [port] = await findFreePorts(1);
            const delayMilliseconds = from === undefined
                ? plan.betweenRegionsMilliseconds
                : latencyBetween(plan, from.availabilityZone, to.availabilityZone);
            const proxy = await (from === undefined ? trafficThread : controlThread).open({
                port,
                targetPort: portsByInstance.get(to.name)!.peer,
                clientNames: from === undefined ? otherEntries(to).map(({ name }) => name) : undefined,
                faults: { delayMilliseconds },
            });
            return { from, to, proxy };
        };
        const openSharedByEntries = async (to: PlannedInstance): Promise<ProxiedLink> => {
            const link = await open(undefined, to);
            otherEntries(to).forEach(({ name, availabilityZone }) => {
                const delayMilliseconds = latencyBetween(plan, availabilityZone, to.availabilityZone);
                link.proxy.setFaultsOfClient(name, { delayMilliseconds });
            });
            return link;
        };
        const toControl = instances.flatMap(from =>
            plan.controlInstances.filter(to => to.name !== from.name).map(to => open(from, to))
        );
        return Promise.all([...toControl, ...plan.entries.map(openSharedByEntries)]);
    }

    const peerPortFor = (source: string, target: string) =>
        source === target
            ? portsByInstance.get(target)!.peer
            : links.find(link => link.from?.name === source && link.to.name === target)!.proxy.port;

    const writeSettings = ({ name, availabilityZone }: PlannedInstance): string => {
        const ports = portsByInstance.get(name)!;
        const roleTable = isControl(name)
            ? `[control]\npeerPort = ${ports.peer}\noperatorPort = ${ports.client}\ndataFolder = "${
                join(folder, name)
            }"`
            : `[entry]\ncallerPort = ${ports.client}\nadminPort = ${ports.admin}\npeerPort = ${ports.peer}\n`
                + `advertisedPeerPort = ${
                    links.find(link => link.from === undefined && link.to.name === name)!.proxy.port
                }`;
        const controlTables = plan.controlInstances.map(instance =>
            `[[controlInstances]]\nname = "${instance.name}"\naddress = "${ADDRESS}"\n`
            + `availabilityZone = "${instance.availabilityZone}"\npeerPort = ${peerPortFor(name, instance.name)}\n`
            + `operatorPort = ${portsByInstance.get(instance.name)!.client}`
        );
        const groupTables = plan.runOnceGroups.map(group =>
            `[[runOnceGroups]]\nname = "${group.name}"\nvoters = ${JSON.stringify(group.voters)}\n`
            + `preferredLeader = "${group.preferredLeader}"`
        );
        const file = join(folder, `${name}.toml`);
        writeFileSync(
            file,
            [
                `clusterId = "${plan.name}"`,
                `[instance]\nname = "${name}"\naddress = "${ADDRESS}"\navailabilityZone = "${availabilityZone}"`,
                roleTable,
                ...controlTables,
                ...groupTables,
            ].join("\n\n"),
        );
        return file;
    };

    const start = async (name: string) => {
        const instance = instances.find(candidate => candidate.name === name)!;
        const role = isControl(name) ? "control" : "entry";
        const started = await startProductProcess([role, writeSettings(instance)], getTraceOptions(name));
        processes.set(name, started);
        await started.waitForLine(isControl(name) ? /^operators at/ : /^callers at/);
    };
    const createUrls = (names: readonly PlannedInstance[], choose: (ports: Ports) => number, scheme = "http://") =>
        new Map(names.map(({ name }) => [name, `${scheme}${ADDRESS}:${choose(portsByInstance.get(name)!)}`]));
    const operatorAddresses = createUrls(plan.controlInstances, ({ client }) => client, "");
    const callerUrls = createUrls(plan.entries, ({ client }) => client);

    const applyPlan = async () => {
        const client = createApiClient({ servers: [...operatorAddresses.values()] });
        for (const region of plan.regions) {
            await applyResource(client, { kind: ResourceKind.Region, name: region.name, spec: { links: [] } });
        }
        for (const { name } of plan.regions) {
            const links = plan.regions
                .filter(other => other.name !== name)
                .map(other => ({ to: other.name, bitsPerSecond: plan.linkBitsPerSecond }));
            await applyResource(client, { kind: ResourceKind.Region, name, spec: { links } });
        }
        const zones = plan.regions.flatMap(region => region.availabilityZones);
        for (const [index, name] of zones.entries()) {
            const spec = { region: getRegion(plan, name), clientBlocks: [`10.${index + 1}.0.0/16`] };
            await applyResource(client, { kind: ResourceKind.AvailabilityZone, name, spec });
        }
        for (const service of plan.services) {
            const spec = {
                availabilityZones: zones,
                slotsPerBackendServer: service.slots,
                connectionsPerBackendServer: service.connections,
                classes: [{ method: "GET", class: "idempotent" }],
                defaultClass: service.defaultClass,
                timeToLiveSeconds: 2,
            };
            await applyResource(client, { kind: ResourceKind.Service, name: service.name, spec });
        }
        await waitUntilInForce(client, ResourceKind.Service, plan.services.at(-1)!.name, IN_FORCE_TIMEOUT_MS);
    };

    return {
        plan,
        callerUrls,
        adminUrls: createUrls(plan.entries, ({ admin }) => admin),
        operatorAddresses,
        links,
        backendServers,
        start,
        signal: (name, signal) => processes.get(name)?.signal(signal) ?? Promise.resolve(undefined),
        getProcess: name => processes.get(name),
        setFaults: (isChosen, changes) => {
            links.filter(isChosen).forEach(({ proxy }) => proxy.setFaults(changes));
            waitUntilFaultsApplied();
        },
        partition: (isChosen, flow) => {
            isCut = isChosen;
            cutFlow = flow;
            applyPartition();
        },
        heal: () => {
            isCut = () => false;
            applyPartition();
        },
        applyPlan,
        startBackendServers: async (options = {}, perService = Infinity) => {
            const zones = plan.regions.flatMap(region => region.availabilityZones);
            const planned = plan.services.flatMap(service =>
                Array.from({ length: Math.min(perService, service.backendServers) }, (_, index) => ({ service, index }))
            );
            backendServers.push(
                ...await Promise.all(planned.map(({ service, index }) => {
                    const name = `${service.name}-${index + 1}`;
                    const availabilityZone = zones[index % zones.length]!;
                    const entries = entryUrlsByRegion.get(getRegion(plan, availabilityZone))!;
                    return startBackendServer({
                        service: service.name,
                        name,
                        availabilityZone,
                        slots: service.slots,
                        entries,
                        prepareAnnouncedPorts: port =>
                            openBackendServerLinks({ name, availabilityZone }, entries, port),
                        ...options,
                    });
                })),
            );
        },
        stop: async () => {
            await Promise.all([...processes.values()].map(child => child.signal("SIGKILL")));
            await Promise.all(backendServers.map(server => server.stop()));
            await Promise.all([controlThread.close(), trafficThread.close()]);
        },
    };
}
