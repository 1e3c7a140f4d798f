/**
 * Selects a backend server for one dispatch, and reserves the budget units and the connection that the dispatch needs.
 */
import type { Clock, Counters } from "@hyssopfront/coordination";
import type { Admission, Reservation } from "../admission/admission.js";
import { connectionShare, linkKey, shiftBytesKey, shiftRequestsKey } from "../admission/budgets.js";
import type { AnnouncedBackendServer, AnnouncementSource } from "../announcements/announcement.js";
import type { ConfigurationSource, ConfigurationView } from "../configuration/configuration-view.js";
import { getRegion, isInLocation } from "../configuration/locations.js";
import { RequestClass } from "../resources/resource.js";
import type { BackendConnection } from "./backend-connection-pool.js";
import type { BackendState, BackendStates } from "./backend-state.js";
import { BlockedShiftCause, findBlockedShiftCause } from "./blocked-shift-cause.js";
import { CircuitState } from "./circuit-breaker.js";
import type { InspectedRequest } from "./inspect-request.js";
import type { Candidate, LoadBalancingPolicy } from "./load-balancing-policy.js";
import { FailureReason, REPLAYABLE_BODY_BYTES, REQUEST_HEADER_BYTES_ESTIMATE } from "./messages.js";
import { findShifts, type NamedShift, sampleShift } from "./shifts-and-drains.js";

/** A selected backend server with the resources reserved for one dispatch. */
export type Selection = {
    readonly backendServer: AnnouncedBackendServer;
    readonly state: BackendState;
    readonly connection: BackendConnection;
    readonly reservation: Reservation;
    /** Keys of the budgets that count the bytes of the request and of the response. */
    readonly requestByteKeys: readonly string[];
    readonly responseByteKeys: readonly string[];
    /** Name of the shift that moves the request to its destination. */
    readonly shift: string | undefined;
    /** The shift that did not move the request because its destination had no free slot. */
    readonly blockedShift?: BlockedShift;
};

/** A shift without a free slot, and the backend servers at its destination. */
export type BlockedShift = {
    readonly shift: string;
    readonly backendServers: readonly AnnouncedBackendServer[];
};

/** Why no backend server could be selected. */
export enum SelectionFailure {
    /** No announced backend server is usable and accepts new requests. */
    NoBackendServer = "noBackendServer",
    /** All usable backend servers, or the budgets on the way to them, are at their limits. */
    NoCapacity = "noRoom",
    /** The circuit breakers of all usable backend servers are open. */
    CircuitOpen = "circuitOpen",
}

/** Local responses to requests for which no backend server was selected. None of these requests was run. */
export const SELECTION_FAILURE_RESPONSES: Readonly<
    Record<SelectionFailure, { readonly reason: FailureReason; readonly message: string }>
> = {
    [SelectionFailure.NoBackendServer]: {
        reason: FailureReason.NoBackendServer,
        message: "No backend server is available.",
    },
    [SelectionFailure.NoCapacity]: { reason: FailureReason.NoCapacity, message: "No backend server has room." },
    [SelectionFailure.CircuitOpen]: { reason: FailureReason.CircuitOpen, message: "No backend server can be reached." },
};

/** Dependencies of the selection. */
export type SelectorOptions = {
    /** Availability zone of this entry. */
    readonly availabilityZone: string;
    readonly configuration: ConfigurationSource;
    readonly announcements: AnnouncementSource;
    readonly admission: Admission;
    readonly clock: Clock;
    readonly random: () => number;
    readonly counters: Counters;
    readonly states: BackendStates;
    readonly policy: LoadBalancingPolicy;
    /** Returns false for backend servers that must not get new requests, such as drained ones. */
    readonly acceptsNewRequests: (backendServer: AnnouncedBackendServer, view: ConfigurationView) => boolean;
    /** Probes a backend server whose circuit breaker is open, if a probe is due. */
    readonly startProbe: (backendServer: AnnouncedBackendServer, state: BackendState) => void;
};

/** A request for which a backend server is to be selected. */
export type SelectionRequest = {
    readonly request: InspectedRequest;
    /** Availability zone that the request originates in. */
    readonly origin: string;
    /**
     * Uniform in [0, 1). It is the same for all attempts of the request, and decides whether a shift moves the request.
     */
    readonly shiftSample: number;
    /** Names of the backend servers that were already tried for the request. */
    readonly excluded: ReadonlySet<string>;
    /** True when the request waits in the queue. Its demand was already recorded when it was queued. */
    readonly isQueued?: boolean;
};

/** Backend servers on which a request may run. */
type EligibleServers = {
    readonly usable: readonly AnnouncedBackendServer[];
    readonly shift: NamedShift | undefined;
    /** Servers at the destination of the shift. Empty if no shift moves the request. */
    readonly shifted: readonly AnnouncedBackendServer[];
    /** Servers that the request may use when no shift moves it. */
    readonly unshifted: readonly AnnouncedBackendServer[];
};

/** State of one search for a backend server. */
type Search = {
    readonly options: SelectorOptions;
    readonly view: ConfigurationView;
    readonly selectionRequest: SelectionRequest;
    /**
     * Keys of the budgets found exhausted. They are not tried again, so that each records the demand of the request
     * once.
     */
    readonly exhaustedKeys: Set<string>;
};

/**
 * Longest idle time of a connection that is reused for a run-once request. If the backend server closes an idle
 * connection while the request is being written, the outcome of the request stays unknown.
 */
const RUN_ONCE_MAXIMUM_IDLE_MS = 1_000;

/** Units that a request needs from one budget. */
type Demand = { readonly key: string; readonly amount: number };

type BudgetDemands = {
    readonly demands: readonly Demand[];
    readonly requestByteKeys: readonly string[];
    readonly responseByteKeys: readonly string[];
};

/**
 * Creates the function that selects backend servers.
 *
 * @returns A function that returns a selection with its resources reserved, or why no backend server could be selected.
 */
export function createBackendServerSelector(
    options: SelectorOptions,
): (selectionRequest: SelectionRequest) => Selection | SelectionFailure {
    return selectionRequest => {
        const view = options.configuration.view();
        const { usable, shift, shifted, unshifted } = findEligibleServers(options, view, selectionRequest);
        if (usable.length === 0) {
            return SelectionFailure.NoBackendServer;
        }
        const search: Search = { options, view, selectionRequest, exhaustedKeys: new Set() };
        if (shift !== undefined) {
            const selection = selectFrom(search, shifted, shift, SlowStart.Enforced) ??
                selectFrom(search, shifted, shift, SlowStart.Ignored);
            if (selection !== undefined) {
                return selection;
            }
        }
        const blockedShift = shift === undefined ? undefined : recordBlockedShift(search, shift, shifted);
        for (const { servers, slowStart } of searchOrder(options, view, unshifted)) {
            const selection = selectFrom(search, servers, undefined, slowStart);
            if (selection !== undefined) {
                return blockedShift === undefined ? selection : { ...selection, blockedShift };
            }
        }
        return usable.every(server => options.states.getOrCreate(server).circuitBreaker.state !== CircuitState.Closed)
            ? SelectionFailure.CircuitOpen
            : SelectionFailure.NoCapacity;
    };
}

/**
 * Lists the backend servers on which a request may run.
 *
 * @returns Nonempty groups of backend servers by descending priority: the destination of the shift, then by locality.
 */
export function listByPriority(
    options: SelectorOptions,
    selectionRequest: SelectionRequest,
): readonly (readonly AnnouncedBackendServer[])[] {
    const view = options.configuration.view();
    const { shifted, unshifted } = findEligibleServers(options, view, selectionRequest);
    const tiers = options.policy.prefersNearby ? groupByLocality(options, view, unshifted) : [unshifted];
    return [shifted, ...tiers].filter(servers => servers.length > 0);
}

function findEligibleServers(
    options: SelectorOptions,
    view: ConfigurationView,
    selectionRequest: SelectionRequest,
): EligibleServers {
    // Without a view lease, only backend servers that announced themselves to this entry are used.
    const isWithoutViewLease = !options.configuration.holdsViewLease();
    const usable = options.announcements.backendServers(selectionRequest.request.service)
        .filter(server => (!isWithoutViewLease || server.isDirect) && options.acceptsNewRequests(server, view));
    const shifts = findShifts(view, selectionRequest.request.service, selectionRequest.origin);
    if (shifts.length === 0) {
        return { usable, shift: undefined, shifted: [], unshifted: usable };
    }
    const shift = sampleShift(shifts, selectionRequest.shiftSample);
    const shifted = shift === undefined
        ? []
        : usable.filter(server => isInLocation(view, server.availabilityZone, shift.specification.to));
    // Requests that a shift has no capacity for stay in its origin: only the shift may send requests to its destination.
    const unshifted = usable.filter(server =>
        shifts.every(({ specification: { from, to } }) =>
            !isInLocation(view, server.availabilityZone, to) || isInLocation(view, server.availabilityZone, from)
        )
    );
    return { usable, shift, shifted, unshifted };
}

/**
 * Whether the concurrency limits of the slow start apply. They apply only while other backend servers nearby have
 * capacity, so that the slow start never causes a rejection.
 */
enum SlowStart {
    Enforced,
    Ignored,
}

type SearchStep = { readonly servers: readonly AnnouncedBackendServer[]; readonly slowStart: SlowStart };

/**
 * Lists the search steps in order. A backend server in the region of the entry that exceeds its slow start is preferred
 * to one in another region.
 */
function searchOrder(
    options: SelectorOptions,
    view: ConfigurationView,
    servers: readonly AnnouncedBackendServer[],
): readonly SearchStep[] {
    if (!options.policy.prefersNearby) {
        return [{ servers, slowStart: SlowStart.Enforced }, { servers, slowStart: SlowStart.Ignored }];
    }
    const [sameZone, sameRegion, otherRegions] = groupByLocality(options, view, servers);
    return [
        { servers: sameZone, slowStart: SlowStart.Enforced },
        { servers: sameRegion, slowStart: SlowStart.Enforced },
        { servers: sameZone, slowStart: SlowStart.Ignored },
        { servers: sameRegion, slowStart: SlowStart.Ignored },
        { servers: otherRegions, slowStart: SlowStart.Enforced },
        { servers: otherRegions, slowStart: SlowStart.Ignored },
    ];
}

/** Backend servers in the same availability zone, in the rest of the same region, and in other regions. */
type LocalityTiers = [AnnouncedBackendServer[], AnnouncedBackendServer[], AnnouncedBackendServer[]];

function groupByLocality(
    { availabilityZone }: SelectorOptions,
    view: ConfigurationView,
    servers: readonly AnnouncedBackendServer[],
): LocalityTiers {
    const region = getRegion(view, availabilityZone);
    const tiers: LocalityTiers = [[], [], []];
    servers.forEach(server => {
        const isSameRegion = region !== undefined && getRegion(view, server.availabilityZone) === region;
        const tier = server.availabilityZone === availabilityZone ? 0 : isSameRegion ? 1 : 2;
        tiers[tier].push(server);
    });
    return tiers;
}

function selectFrom(
    search: Search,
    servers: readonly AnnouncedBackendServer[],
    shift: NamedShift | undefined,
    slowStart: SlowStart,
): Selection | undefined {
    let candidates = servers.flatMap(server => {
        const candidate = toCandidate(search, server, slowStart);
        return candidate === undefined ? [] : [candidate];
    });
    while (candidates.length > 0) {
        const chosen = search.options.policy.select(candidates, search.options.random);
        const selection = tryReserveCandidate(search, chosen, shift);
        if (selection !== undefined) {
            return selection;
        }
        candidates = candidates.filter(candidate => candidate !== chosen);
    }
    return undefined;
}

/**
 * Counts a request that its shift could not move, and records its demand for the rate budgets of the shift.
 *
 * @returns The shift and the backend servers at its destination if only a free slot was missing.
 */
function recordBlockedShift(
    { options, view, selectionRequest, exhaustedKeys }: Search,
    shift: NamedShift,
    shifted: readonly AnnouncedBackendServer[],
): BlockedShift | undefined {
    const cause = findBlockedShiftCause(options, shift.name, shifted, exhaustedKeys);
    if (selectionRequest.isQueued !== true) {
        options.counters.increment("routing.shift_without_room", 1, { shift: shift.name, cause });
        const [server] = shifted;
        // Without a free slot no reservation was tried, so the demand for the rate budgets has not been recorded yet.
        if (server !== undefined && exhaustedKeys.size === 0) {
            const state = options.states.getOrCreate(server);
            const { demands } = deriveBudgetDemands(options, view, selectionRequest, server, state, shift);
            options.admission.recordRejectedDemand(demands.filter(({ key }) => key !== state.slotsKey));
        }
    }
    return cause === BlockedShiftCause.Slots ? { shift: shift.name, backendServers: shifted } : undefined;
}

function toCandidate(
    { selectionRequest, options: { states, admission, startProbe, counters } }: Search,
    backendServer: AnnouncedBackendServer,
    slowStart: SlowStart,
): Candidate | undefined {
    if (selectionRequest.excluded.has(backendServer.name)) {
        return undefined;
    }
    const state = states.getOrCreate(backendServer);
    if (state.circuitBreaker.state !== CircuitState.Closed) {
        startProbe(backendServer, state);
        return undefined;
    }
    const limit = slowStart === SlowStart.Enforced
        ? Math.min(state.concurrencyLimit, backendServer.slots)
        : backendServer.slots;
    if (state.inFlight >= limit) {
        return undefined;
    }
    const freeSlots = admission.available(state.slotsKey);
    if (freeSlots < 1) {
        return undefined;
    }
    if (backendServer.load === undefined) {
        counters.increment("announcements.load_missing");
    }
    return { backendServer, state, freeSlots };
}

function tryReserveCandidate(
    { options, view, selectionRequest, exhaustedKeys }: Search,
    { backendServer, state }: Candidate,
    shift: NamedShift | undefined,
): Selection | undefined {
    if (!options.announcements.isUsable(backendServer)) {
        return undefined;
    }
    const budgetDemands = deriveBudgetDemands(options, view, selectionRequest, backendServer, state, shift);
    const isExhausted = ({ key, amount }: Demand) =>
        exhaustedKeys.has(key) || selectionRequest.isQueued === true && options.admission.available(key) < amount;
    const exhausted = budgetDemands.demands.find(isExhausted);
    if (exhausted !== undefined) {
        exhaustedKeys.add(exhausted.key);
        return undefined;
    }
    const reservation = options.admission.tryReserve(budgetDemands.demands);
    if (typeof reservation === "string") {
        exhaustedKeys.add(reservation);
        return undefined;
    }
    const connection = state.connectionPool.acquire(
        connectionShare(view, selectionRequest.request.service),
        selectionRequest.request.requestClass === RequestClass.RunOnce ? RUN_ONCE_MAXIMUM_IDLE_MS : undefined,
    );
    if (connection === undefined) {
        options.counters.increment("routing.connection_limit_reached");
        reservation.release();
        return undefined;
    }
    return { backendServer, state, connection, reservation, shift: shift?.name, ...budgetDemands };
}

/** Releases the reservation and the connection of a selection that is not dispatched. */
export function releaseSelection({ reservation, state, connection }: Selection): void {
    reservation.release();
    if (connection.isReused) {
        state.connectionPool.release(connection);
        return;
    }
    state.connectionPool.discard(connection);
}

function deriveBudgetDemands(
    options: SelectorOptions,
    view: ConfigurationView,
    selectionRequest: SelectionRequest,
    backendServer: AnnouncedBackendServer,
    state: BackendState,
    shift: NamedShift | undefined,
): BudgetDemands {
    const { request } = selectionRequest;
    const requestBytes = reservedRequestBytes(request);
    const responseBytes = request.specification.answerBytesEstimate;
    const demands: Demand[] = [{ key: state.slotsKey, amount: 1 }];
    const requestByteKeys: string[] = [];
    const responseByteKeys: string[] = [];
    const entryRegion = getRegion(view, options.availabilityZone) ?? "";
    const backendRegion = getRegion(view, backendServer.availabilityZone) ?? "";
    if (entryRegion !== backendRegion) {
        const [outboundLink, inboundLink] = [linkKey(entryRegion, backendRegion), linkKey(backendRegion, entryRegion)];
        demands.push({ key: outboundLink, amount: requestBytes }, { key: inboundLink, amount: responseBytes });
        requestByteKeys.push(outboundLink);
        responseByteKeys.push(inboundLink);
    }
    if (shift !== undefined) {
        const bytesKey = shiftBytesKey(shift.name);
        demands.push(
            { key: shiftRequestsKey(shift.name), amount: 1 },
            { key: bytesKey, amount: requestBytes + responseBytes },
        );
        requestByteKeys.push(bytesKey);
        responseByteKeys.push(bytesKey);
    }
    return { demands, requestByteKeys, responseByteKeys };
}

/**
 * Returns the bytes of a request that are reserved before its dispatch. The rest of a longer body is paced while it is
 * sent.
 */
export const reservedRequestBytes = ({ contentLength }: InspectedRequest): number =>
    Math.min(contentLength ?? 0, REPLAYABLE_BODY_BYTES) + REQUEST_HEADER_BYTES_ESTIMATE;
