/**
 * Distributes the slots that queued requests need over backend servers, so that an entry requests about as many slots
 * as it has queued requests, instead of slots of every backend server.
 */
import type { Admission } from "../../admission/admission.js";
import { hashText } from "../../admission/budgets.js";
import type { AnnouncedBackendServer } from "../../announcements/announcement.js";
import type { ConfigurationSource } from "../../configuration/configuration-view.js";
import type { BackendStates } from "../backend-state.js";
import { CircuitState } from "../circuit-breaker.js";

/**
 * Grants after which a backend server whose quota did not grow counts as fully allocated. The first grant may be
 * the reply to a session renewal that was sent before the slots were requested.
 */
const GRANTS_UNTIL_FULLY_ALLOCATED = 2;

/** Dependencies of the slot demand of one service. */
export type SlotDemandOptions = {
    /** Name of this entry. */
    readonly entry: string;
    readonly admission: Admission;
    readonly states: BackendStates;
    readonly configuration: ConfigurationSource;
};

/** Requests that need a slot of the same backend servers. */
export type QueuedRequestGroup = {
    /** Backend servers by priority level, the preferred level first. */
    readonly priorityLevels: readonly (readonly AnnouncedBackendServer[])[];
    /** Number of requests. */
    readonly count: number;
};

/** Slots that an entry requests for the queued requests of one service. */
export type SlotDemand = {
    /**
     * Replaces the requested slots.
     *
     * @param groups Queued requests of the service, and requests that a blocked shift has left in its origin.
     * @returns Number of slots that the next session renewal requests in addition to those in use.
     */
    update(groups: readonly QueuedRequestGroup[]): number;
    /** Counts the grants, to detect quotas that do not grow. */
    onGrants(): void;
};

/** Slots requested of one backend server, with the quota and the number of grants when the request began. */
type SlotRequest = { amount: number; quota: number; grants: number };

/**
 * Creates the slot demand of one service, which initially requests no slots.
 *
 * @returns The slot demand, which reports its demand through the admission.
 */
export function createSlotDemand({ entry, admission, states, configuration }: SlotDemandOptions): SlotDemand {
    let slotRequests = new Map<string, SlotRequest>();
    let grants = 0;

    /** Returns the slots of a backend server beyond the entry's quota, or 0 while its circuit is not closed. */
    const slotsBeyondQuota = (server: AnnouncedBackendServer) => {
        const state = states.getOrCreate(server);
        if (state.circuitBreaker.state !== CircuitState.Closed) {
            return 0;
        }
        const limit = configuration.view().services.get(server.service)?.slotsPerBackendServer ?? 0;
        return Math.max(0, Math.min(server.slots, limit) - getQuota(server));
    };

    const getQuota = (server: AnnouncedBackendServer) => {
        const { slotsKey, inFlight } = states.getOrCreate(server);
        return inFlight + admission.available(slotsKey);
    };

    /** True if the quota allocator did not grant the requested slots, because other entries hold them. */
    const isFullyAllocated = (key: string) => {
        const slotRequest = slotRequests.get(key);
        return slotRequest !== undefined && grants - slotRequest.grants >= GRANTS_UNTIL_FULLY_ALLOCATED;
    };

    /**
     * Requests one slot of each backend server in turn, until there are enough or all slots are requested. A fully
     * allocated backend server is requested as well, but does not count.
     *
     * @returns Number of requests that are left without a slot.
     */
    const distribute = (servers: readonly AnnouncedBackendServer[], count: number, next: Map<string, SlotRequest>) => {
        // The order depends on the entry, so that the entries do not all request the same few slots.
        const candidates = servers
            .map(server => ({ server, key: states.getOrCreate(server).slotsKey, slotsLeft: slotsBeyondQuota(server) }))
            .filter(({ key, slotsLeft }) => slotsLeft > (next.get(key)?.amount ?? 0))
            .map(candidate => ({ ...candidate, order: hashText(`${entry}|${candidate.key}`) }))
            .sort((one, other) => one.order - other.order);
        let remaining = count;
        for (let available = candidates; remaining > 0 && available.length > 0;) {
            for (const { server, key } of available) {
                if (remaining <= 0) {
                    break;
                }
                const slotRequest = next.get(key) ?? continueOrStart(slotRequests.get(key), getQuota(server));
                slotRequest.amount += 1;
                next.set(key, slotRequest);
                remaining -= isFullyAllocated(key) ? 0 : 1;
            }
            available = available.filter(({ key, slotsLeft }) => slotsLeft > (next.get(key)?.amount ?? 0));
        }
        return remaining;
    };

    /** Continues the request of the previous update, or starts a new one if the quota has grown since. */
    const continueOrStart = (previous: SlotRequest | undefined, quota: number): SlotRequest =>
        previous === undefined || quota > previous.quota
            ? { amount: 0, quota, grants }
            : { amount: 0, quota: previous.quota, grants: previous.grants };

    return {
        update: groups => {
            const next = new Map<string, SlotRequest>();
            groups.forEach(({ priorityLevels, count }) => {
                priorityLevels.reduce(
                    (remaining, servers) => remaining > 0 ? distribute(servers, remaining, next) : 0,
                    count,
                );
            });
            slotRequests.forEach((_slotRequest, key) => next.has(key) || admission.setQueuedDemand(key, 0));
            next.forEach(({ amount }, key) => admission.setQueuedDemand(key, amount));
            slotRequests = next;
            return [...next.values()].reduce((sum, { amount }) => sum + amount, 0);
        },
        onGrants: () => {
            grants += 1;
        },
    };
}
