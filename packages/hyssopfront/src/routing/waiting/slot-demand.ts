/**
 * Spreads the slots that waiting requests need over backend servers, so that an entry asks for about as many slots as
 * requests wait and not for some of every backend server.
 */
import type { Admission } from "../../admission/admission.js";
import { hashText } from "../../admission/budgets.js";
import type { AnnouncedBackendServer } from "../../announcements/announcement.js";
import type { ConfigurationSource } from "../../configuration/configuration-view.js";
import type { BackendStates } from "../backend-state.js";
import { CircuitState } from "../circuit-breaker.js";

/** Grants after which a backend server whose portion did not grow counts as taken; the first may be an older answer. */
const GRANTS_UNTIL_TAKEN = 2;

export type SlotDemandOptions = {
    /** Name of this entry. */
    readonly entry: string;
    readonly admission: Admission;
    readonly states: BackendStates;
    readonly configuration: ConfigurationSource;
};

/** Requests that may run in the same places. */
export type QueuedRequestGroup = {
    /** Backend servers by place, the preferred place first. */
    readonly priorityLevels: readonly (readonly AnnouncedBackendServer[])[];
    readonly count: number;
};

export type SlotDemand = {
    /**
     * Replaces what is asked for.
     *
     * @returns Slots asked for.
     */
    update(groups: readonly QueuedRequestGroup[]): number;
    /** Counts the grants, to see which portions do not grow. */
    onGrants(): void;
};

type Ask = { amount: number; portion: number; grants: number };

/** Asks for nothing. */
export function createSlotDemand({ entry, admission, states, configuration }: SlotDemandOptions): SlotDemand {
    let asks = new Map<string, Ask>();
    let grants = 0;

    /** Slots of the backend server that the entry does not hold. */
    const slotsBeyondPortion = (server: AnnouncedBackendServer) => {
        const state = states.getOrCreate(server);
        if (state.circuitBreaker.state !== CircuitState.Closed) {
            return 0;
        }
        const limit = configuration.view().services.get(server.service)?.slotsPerBackendServer ?? 0;
        return Math.max(0, Math.min(server.slots, limit) - portionOf(server));
    };

    const portionOf = (server: AnnouncedBackendServer) => {
        const { slotsKey, inFlight } = states.getOrCreate(server);
        return inFlight + admission.available(slotsKey);
    };

    /** True when the grantor did not give what was asked for, because other entries hold it. */
    const isTaken = (key: string) => {
        const ask = asks.get(key);
        return ask !== undefined && grants - ask.grants >= GRANTS_UNTIL_TAKEN;
    };

    /** Asks for one slot of each backend server in turn, until there are enough or all are asked for. */
    const spread = (servers: readonly AnnouncedBackendServer[], count: number, next: Map<string, Ask>) => {
        // Entries differ in this order, so that they do not all ask for the same few slots.
        const turns = servers
            .map(server => ({ server, key: states.getOrCreate(server).slotsKey, room: slotsBeyondPortion(server) }))
            .filter(({ key, room }) => room > (next.get(key)?.amount ?? 0))
            .map(turn => ({ ...turn, order: hashText(`${entry}|${turn.key}`) }))
            .sort((one, other) => one.order - other.order);
        let rest = count;
        for (let open = turns; rest > 0 && open.length > 0;) {
            for (const { server, key } of open) {
                if (rest <= 0) {
                    break;
                }
                const ask = next.get(key) ?? continued(asks.get(key), portionOf(server));
                ask.amount += 1;
                next.set(key, ask);
                rest -= isTaken(key) ? 0 : 1;
            }
            open = open.filter(({ key, room }) => room > (next.get(key)?.amount ?? 0));
        }
        return rest;
    };

    /** A portion that grew since the last update counts as asked for anew. */
    const continued = (known: Ask | undefined, portion: number): Ask =>
        known === undefined || portion > known.portion
            ? { amount: 0, portion, grants }
            : { amount: 0, portion: known.portion, grants: known.grants };

    return {
        update: groups => {
            const next = new Map<string, Ask>();
            groups.forEach(({ priorityLevels: places, count }) => {
                places.reduce((rest, servers) => rest > 0 ? spread(servers, rest, next) : 0, count);
            });
            asks.forEach((_ask, key) => next.has(key) || admission.setQueuedDemand(key, 0));
            next.forEach(({ amount }, key) => admission.setQueuedDemand(key, amount));
            asks = next;
            return [...next.values()].reduce((sum, { amount }) => sum + amount, 0);
        },
        onGrants: () => {
            grants += 1;
        },
    };
}
