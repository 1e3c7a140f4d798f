/**
 * Proxies on the HTTP connections that cross regions: in front of each entry for the backend servers of another region,
 * and in front of each backend server for the entries of another region.
 */
import type { FaultProxyHandle, ProxyThread } from "../fault-proxy/proxy-thread.js";
import { type DeploymentPlan, regionOfZone } from "./plan.js";

/** One end of a connection; the name is undefined where a proxy is shared by all of a region. */
export type LinkEnd = { readonly name: string | undefined; readonly region: string };

export type RegionLink = { readonly from: LinkEnd; readonly to: LinkEnd; readonly proxy: FaultProxyHandle };

export type RegionLinks = {
    readonly all: readonly RegionLink[];
    /** Opens a proxy in front of a target for the connections from another region. */
    open(fromRegion: string, to: { readonly name: string; readonly availabilityZone: string }, port: number): Promise<
        number
    >;
};

/**
 * Creates the links; there are none at first.
 *
 * @param onOpen Called with each new link, before it carries a connection.
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
                to: { name, region: regionOfZone(plan, availabilityZone) },
                proxy,
            };
            all.push(link);
            onOpen(link);
            return proxy.port;
        },
    };
}
