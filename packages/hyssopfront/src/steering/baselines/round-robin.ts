/**
 * Baseline for comparisons: round-robin entry selection that ignores where callers and entries are.
 */
import type { ConfigurationSource } from "../../configuration/configuration-view.js";
import { type LookupResponse, MAXIMUM_RESPONSE_ENTRIES } from "../entry-selection.js";

/**
 * Creates a lookup that ignores the caller and starts with the next entry at each call.
 *
 * @param configuration Source of the services and entries.
 * @returns Function that returns the response for a service, or undefined when the service is not declared.
 */
export function createRoundRobin(configuration: ConfigurationSource): (service: string) => LookupResponse | undefined {
    let next = 0;
    return service => {
        const view = configuration.view();
        const spec = view.services.get(service);
        if (spec === undefined) {
            return undefined;
        }
        const entries = [...view.entries.values()];
        const first = next++ % Math.max(1, entries.length);
        return {
            service,
            entries: [...entries.slice(first), ...entries.slice(0, first)].slice(0, MAXIMUM_RESPONSE_ENTRIES)
                .map(({ name, address, callerPort, availabilityZone }) => ({
                    name,
                    address,
                    port: callerPort,
                    availabilityZone,
                })),
            timeToLiveSeconds: spec.timeToLiveSeconds,
            revision: view.revision,
            stale: !configuration.holdsViewLease(),
        };
    };
}
