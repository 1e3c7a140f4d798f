/**
 * A whole deployment of real processes on 127.0.0.1: control instances, entries and stand-in backend servers, with a
 * fault-injecting proxy on each connection between two instances.
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
import { type DeploymentPlan, latencyBetween, type PlannedInstance, regionOfZone } from "./plan.js";
import {
    type ProcessSignal,
    type ProductProcess,
    type ProductProcessOptions,
    startProductProcess,
} from "./product-process.js";
import { createRegionLinks, type LinkEnd } from "./region-links.js";

const ADDRESS = "127.0.0.1";
const IN_FORCE_MS = 30_000;

/** A connection between two instances, as the proxy on it sees it. */
export type ProxiedLink = {
    /** Undefined for connections from other entries, which share one proxy before their target. */
    readonly from: PlannedInstance | undefined;
    readonly to: PlannedInstance;
    readonly proxy: FaultProxyHandle;
};

export type Deployment = {
    readonly plan: DeploymentPlan;
    /** Base addresses such as `http://127.0.0.1:7101` by entry. */
    readonly callerUrls: ReadonlyMap<string, string>;
    readonly adminUrls: ReadonlyMap<string, string>;
    /** Addresses with operator ports by control instance. */
    readonly operatorAddresses: ReadonlyMap<string, string>;
    readonly links: readonly ProxiedLink[];
    readonly backendServers: readonly BackendServer[];
    /** Starts or restarts the process of an instance and waits until it serves. */
    start(instance: string): Promise<void>;
    signal(instance: string, sent: ProcessSignal): Promise<number | undefined>;
    processOf(instance: string): ProductProcess | undefined;
    /** Changes the faults of all links that are chosen. */
    setFaults(isChosen: (link: ProxiedLink) => boolean, changes: Partial<ProxyFaults>): void;
    /** Cuts the connections that are chosen, open and new ones, in place of those cut before. */
    partition(isCut: (from: LinkEnd, to: LinkEnd) => boolean, flow: Flow.Held | Flow.Dropped): void;
    /** Lets bytes pass on all connections; those whose bytes were dropped stay silent. */
    heal(): void;
    /** Declares the regions, availability zones and services of the plan and waits until they are in force. */
    applyPlan(): Promise<void>;
    /** Starts the backend servers of the plan's services, spread over the availability zones. */
    startBackendServers(options?: Partial<BackendServerOptions>, perService?: number): Promise<void>;
    /** Ends all processes, proxies and backend servers at once. */
    stop(): Promise<void>;
};

/** Keeps the debug lines of an instance when a trace of a deployment is wanted. */
function traceOf(instance: string): ProductProcessOptions {
    const { DEPLOYMENT_DEBUG: debugFilter, DEPLOYMENT_TRACES: folder } = process.env;
    return { debugFilter, errorFile: folder === undefined ? undefined : join(folder, `${instance}.log`) };
}

type Ports = { readonly peer: number; readonly own: number; readonly admin: number };

/** Prepares a deployment; no process is started. */
export async function prepareDeployment(plan: DeploymentPlan, folder: string): Promise<Deployment> {
    mkdirSync(folder, { recursive: true });
    const instances = [...plan.controlInstances, ...plan.entries];
    const freePorts = await findFreePorts(3 * instances.length);
    const portsOf = new Map<string, Ports>(instances.map(({ name }, index) => [name, {
        peer: freePorts[3 * index]!,
        own: freePorts[3 * index + 1]!,
        admin: freePorts[3 * index + 2]!,
    }]));
    // Requests and their answers must not hold up what control instances say to each other and to entries.
    const controlThread = await startProxyThread();
    const trafficThread = await startProxyThread();
    let isCut: (from: LinkEnd, to: LinkEnd) => boolean = () => false;
    let cutFlow = Flow.Open;
    const endOf = ({ name, availabilityZone }: PlannedInstance): LinkEnd => ({
        name,
        region: regionOfZone(plan, availabilityZone),
    });
    const links = await openLinks();
    const processes = new Map<string, ProductProcess>();
    const regionLinks = createRegionLinks(
        trafficThread,
        plan,
        ({ proxy, from, to }) => proxy.setFaults(flowsBetween(from, to)),
    );
    const regionEntries = await openRegionEntries();
    const backendServers: BackendServer[] = [];
    const isControl = (name: string) => plan.controlInstances.some(instance => instance.name === name);

    function flowsBetween(from: LinkEnd, to: LinkEnd): Pick<ProxyFaults, "toServer" | "toClient"> {
        const flow = isCut(from, to) ? cutFlow : Flow.Open;
        return { toServer: flow, toClient: flow };
    }

    function applyPartition(): void {
        regionLinks.all.forEach(({ proxy, from, to }) => proxy.setFaults(flowsBetween(from, to)));
        links.forEach(({ proxy, from, to }) => {
            if (from !== undefined) {
                proxy.setFaults(flowsBetween(endOf(from), endOf(to)));
                return;
            }
            otherEntries(to).forEach(entry =>
                proxy.setFaultsOfClient(entry.name, flowsBetween(endOf(entry), endOf(to)))
            );
        });
        settleFaults();
    }

    function settleFaults(): void {
        controlThread.waitUntilApplied();
        trafficThread.waitUntilApplied();
    }

    function otherEntries(to: PlannedInstance): readonly PlannedInstance[] {
        return plan.entries.filter(({ name }) => name !== to.name);
    }

    /** Base address of each entry as the backend servers of each region see it. */
    async function openRegionEntries(): Promise<ReadonlyMap<string, readonly string[]>> {
        const seen = plan.regions.map(async ({ name: region }) => {
            const urls = plan.entries.map(async entry => {
                const { own } = portsOf.get(entry.name)!;
                const isNear = regionOfZone(plan, entry.availabilityZone) === region;
                return `http://${ADDRESS}:${isNear ? own : await regionLinks.open(region, entry, own)}`;
            });
            return [region, await Promise.all(urls)] as const;
        });
        return new Map(await Promise.all(seen));
    }

    /** Opens a proxy before a backend server for each other region and tells which port an entry is to use. */
    async function preparePorts(
        server: PlannedInstance,
        entries: readonly string[],
        port: number,
    ): Promise<(entry: string) => number> {
        const ownRegion = regionOfZone(plan, server.availabilityZone);
        const ports = await Promise.all(
            plan.regions.map(async ({ name: region }) =>
                [region, region === ownRegion ? port : await regionLinks.open(region, server, port)] as const
            ),
        );
        const portOfRegion = new Map(ports);
        return entry => {
            const planned = plan.entries[entries.indexOf(entry)];
            return planned === undefined ? port : portOfRegion.get(regionOfZone(plan, planned.availabilityZone))!;
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
                targetPort: portsOf.get(to.name)!.peer,
                clientNames: from === undefined ? otherEntries(to).map(({ name }) => name) : undefined,
                faults: { delayMilliseconds },
            });
            return { from, to, proxy };
        };
        const openShared = async (to: PlannedInstance): Promise<ProxiedLink> => {
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
        return Promise.all([...toControl, ...plan.entries.map(openShared)]);
    }

    const portSeenFrom = (viewer: string, target: string) =>
        viewer === target
            ? portsOf.get(target)!.peer
            : links.find(link => link.from?.name === viewer && link.to.name === target)!.proxy.port;

    const writeSettings = ({ name, availabilityZone }: PlannedInstance): string => {
        const ports = portsOf.get(name)!;
        const own = isControl(name)
            ? `[control]\npeerPort = ${ports.peer}\noperatorPort = ${ports.own}\ndataFolder = "${join(folder, name)}"`
            : `[entry]\ncallerPort = ${ports.own}\nadminPort = ${ports.admin}\npeerPort = ${ports.peer}\n`
                + `advertisedPeerPort = ${
                    links.find(link => link.from === undefined && link.to.name === name)!.proxy.port
                }`;
        const controlTables = plan.controlInstances.map(instance =>
            `[[controlInstances]]\nname = "${instance.name}"\naddress = "${ADDRESS}"\n`
            + `availabilityZone = "${instance.availabilityZone}"\npeerPort = ${portSeenFrom(name, instance.name)}\n`
            + `operatorPort = ${portsOf.get(instance.name)!.own}`
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
                own,
                ...controlTables,
                ...groupTables,
            ].join("\n\n"),
        );
        return file;
    };

    const start = async (name: string) => {
        const instance = instances.find(candidate => candidate.name === name)!;
        const role = isControl(name) ? "control" : "entry";
        const started = await startProductProcess([role, writeSettings(instance)], traceOf(name));
        processes.set(name, started);
        await started.waitForLine(isControl(name) ? /^operators at/ : /^callers at/);
    };
    const urlsOf = (names: readonly PlannedInstance[], choose: (ports: Ports) => number, scheme = "http://") =>
        new Map(names.map(({ name }) => [name, `${scheme}${ADDRESS}:${choose(portsOf.get(name)!)}`]));
    const operatorAddresses = urlsOf(plan.controlInstances, ({ own }) => own, "");
    const callerUrls = urlsOf(plan.entries, ({ own }) => own);

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
            const spec = { region: regionOfZone(plan, name), clientBlocks: [`10.${index + 1}.0.0/16`] };
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
        await waitUntilInForce(client, ResourceKind.Service, plan.services.at(-1)!.name, IN_FORCE_MS);
    };

    return {
        plan,
        callerUrls,
        adminUrls: urlsOf(plan.entries, ({ admin }) => admin),
        operatorAddresses,
        links,
        backendServers,
        start,
        signal: (name, sent) => processes.get(name)?.signal(sent) ?? Promise.resolve(undefined),
        processOf: name => processes.get(name),
        setFaults: (isChosen, changes) => {
            links.filter(isChosen).forEach(({ proxy }) => proxy.setFaults(changes));
            settleFaults();
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
                    const entries = regionEntries.get(regionOfZone(plan, availabilityZone))!;
                    return startBackendServer({
                        service: service.name,
                        name,
                        availabilityZone,
                        slots: service.slots,
                        entries,
                        prepareAnnouncedPorts: port => preparePorts({ name, availabilityZone }, entries, port),
                        ...options,
                    });
                })),
            );
        },
        stop: async () => {
            await Promise.all([...processes.values()].map(one => one.signal("SIGKILL")));
            await Promise.all(backendServers.map(one => one.stop()));
            await Promise.all([controlThread.close(), trafficThread.close()]);
        },
    };
}
