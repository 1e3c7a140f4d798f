/**
 * Proxies for HTTP connections between regions: in front of each entry for the backend servers of every other region,
 * and in front of each backend server for the entries of every other region.
 */
import type { FaultProxyHandle, ProxyThread } from "../fault-proxy/proxy-thread.js";
import { type DeploymentPlan, getRegion } from "./plan.js";

/** One end of a connection. The name is undefined if all instances or backend servers of a region share the proxy. */
export type LinkEndpoint = { readonly name: string | undefined; readonly region: string };

export type RegionLink = { readonly from: LinkEndpoint; readonly to: LinkEndpoint; readonly proxy: FaultProxyHandle };

export type RegionLinks = {
    readonly all: readonly RegionLink[];
    /** Opens a proxy in front of a target for connections from another region; resolves with the port of the proxy. */
    open(fromRegion: string, to: { readonly name: string; readonly availabilityZone: string }, port: number): Promise<
        number
    >;
};

/**
 * Creates an empty set of links.
 *
 * @param onOpen Called with each new link before it carries a connection.
 */
export function createRegionLinks(
    thread: ProxyThread,
    plan: DeploymentPlan,
    onOpen: (link: RegionLink) => void,
): RegionLinks {
    const all: RegionLink[] = [];
    return {
        all,
        open: async (fromRegion, { name, availabilityZone }, targetPort) => {
            const faults = { delayMilliseconds: plan.betweenRegionsMilliseconds };
            const proxy = await thread.open({ targetPort, faults });
            const link = {
                from: { name: undefined, region: fromRegion },
                to: { name, region: getRegion(plan, availabilityZone) },
                proxy,
            };
            all.push(link);
            onOpen(link);
            return proxy.port;
        },
    };
}
