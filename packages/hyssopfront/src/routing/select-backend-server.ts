/**
 * Chooses a backend server for one dispatch and takes what the dispatch needs from the shared limits.
 */
import type { Clock, Counters } from "@hyssopfront/coordination";
import type { Admission, Reservation } from "../admission/admission.js";
import { connectionShare, linkKey, shiftBytesKey, shiftRequestsKey } from "../admission/budgets.js";
import type { AnnouncedBackendServer, AnnouncementSource } from "../announcements/announcement.js";
import type { ConfigurationSource, ConfigurationView } from "../configuration/configuration-view.js";
import { isInPlace, regionOf } from "../configuration/places.js";
import { RequestClass } from "../resources/resource.js";
import type { BackendConnection } from "./backend-connection-pool.js";
import type { BackendState, BackendStates } from "./backend-state.js";
import { BlockedShiftCause, findBlockedShiftCause } from "./blocked-shift-cause.js";
import { CircuitState } from "./circuit-breaker.js";
import type { InspectedRequest } from "./inspect-request.js";
import type { Candidate, LoadBalancingPolicy } from "./load-balancing-policy.js";
import { FailureReason, REPLAYABLE_BODY_BYTES, REQUEST_HEADER_BYTES_ESTIMATE } from "./messages.js";
import { findShifts, type NamedShift, sampleShift } from "./shifts-and-drains.js";

export type Selection = {
    readonly backendServer: AnnouncedBackendServer;
    readonly state: BackendState;
    readonly connection: BackendConnection;
    readonly reservation: Reservation;
    /** Budgets that count the bytes of the request and of the answer. */
    readonly requestByteKeys: readonly string[];
    readonly responseByteKeys: readonly string[];
    readonly shift: string | undefined;
    /** The shift that would have moved the request, had there been a slot at its destination. */
    readonly blockedShift?: BlockedShift;
};

export type BlockedShift = {
    readonly shift: string;
    readonly backendServers: readonly AnnouncedBackendServer[];
};

/** Why no backend server could be chosen. */
export enum SelectionFailure {
    /** None is announced, usable and outside drains. */
    NoBackendServer = "noBackendServer",
    /** All are at their limits. */
    NoCapacity = "noRoom",
    /** The circuits of all are open. */
    CircuitOpen = "circuitOpen",
}

/** What callers are told when there is no choice; all of it is certain not to have run. */
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

export type SelectorOptions = {
    readonly availabilityZone: string;
    readonly configuration: ConfigurationSource;
    readonly announcements: AnnouncementSource;
    readonly admission: Admission;
    readonly clock: Clock;
    readonly random: () => number;
    readonly counters: Counters;
    readonly states: BackendStates;
    readonly policy: LoadBalancingPolicy;
    /** False for backend servers that must get no new work, such as drained ones. */
    readonly acceptsNewWork: (backendServer: AnnouncedBackendServer, view: ConfigurationView) => boolean;
    /** Starts the probe of a backend server whose circuit is open. */
    readonly startProbe: (backendServer: AnnouncedBackendServer, state: BackendState) => void;
};

export type SelectionRequest = {
    readonly request: InspectedRequest;
    /** Availability zone that the request originates in. */
    readonly origin: string;
    /** Uniform in [0, 1), the same for all attempts of the request; decides whether a shift moves it. */
    readonly shiftSample: number;
    /** Backend servers already tried for the request. */
    readonly excluded: ReadonlySet<string>;
    /** True when the request was refused before and waits; its refusal was counted as demand then. */
    readonly isQueued?: boolean;
};

/** Where a request may run. */
type Eligible = {
    readonly usable: readonly AnnouncedBackendServer[];
    readonly shift: NamedShift | undefined;
    /** Where the shift leads; empty without a shift. */
    readonly moved: readonly AnnouncedBackendServer[];
    readonly staying: readonly AnnouncedBackendServer[];
};

/** One search for a backend server. */
type Search = {
    readonly options: SelectorOptions;
    readonly view: ConfigurationView;
    readonly wanted: SelectionRequest;
    /** Keys of budgets that were found without room, each of which is to learn of the request's demand once. */
    readonly lacking: Set<string>;
};

/**
 * Run-once requests use no connection that was idle for longer: one that the backend server closes as the request is
 * written would leave its outcome unknown for good.
 */
const RUN_ONCE_IDLE_MS = 1_000;

type Demand = { readonly key: string; readonly amount: number };

type Costs = {
    readonly demands: readonly Demand[];
    readonly requestByteKeys: readonly string[];
    readonly responseByteKeys: readonly string[];
};

/**
 * Creates a function that chooses; it returns a choice whose units are taken, or why there is none.
 */
export function createBackendServerSelector(
    options: SelectorOptions,
): (wanted: SelectionRequest) => Selection | SelectionFailure {
    return wanted => {
        const view = options.configuration.view();
        const { usable, shift, moved, staying } = findEligible(options, view, wanted);
        if (usable.length === 0) {
            return SelectionFailure.NoBackendServer;
        }
        const search: Search = { options, view, wanted, lacking: new Set() };
        if (shift !== undefined) {
            const choice = chooseFrom(search, moved, shift, Window.Kept) ??
                chooseFrom(search, moved, shift, Window.Exceeded);
            if (choice !== undefined) {
                return choice;
            }
        }
        const displacedFrom = shift === undefined ? undefined : noteUnmoved(search, shift, moved);
        for (const { servers, window } of searchOrder(options, view, staying)) {
            const choice = chooseFrom(search, servers, undefined, window);
            if (choice !== undefined) {
                return displacedFrom === undefined ? choice : { ...choice, blockedShift: displacedFrom };
            }
        }
        return usable.every(server => options.states.getOrCreate(server).circuitBreaker.state !== CircuitState.Closed)
            ? SelectionFailure.CircuitOpen
            : SelectionFailure.NoCapacity;
    };
}

/**
 * Lists the backend servers on which a request may run, the places to prefer first.
 */
export function listByPriority(
    options: SelectorOptions,
    wanted: SelectionRequest,
): readonly (readonly AnnouncedBackendServer[])[] {
    const view = options.configuration.view();
    const { moved, staying } = findEligible(options, view, wanted);
    const places = options.policy.prefersNearby ? tiersOf(options, view, staying) : [staying];
    return [moved, ...places].filter(servers => servers.length > 0);
}

function findEligible(options: SelectorOptions, view: ConfigurationView, wanted: SelectionRequest): Eligible {
    const isCutOff = !options.configuration.holdsViewLease();
    const usable = options.announcements.backendServers(wanted.request.service)
        .filter(server => (!isCutOff || server.isDirect) && options.acceptsNewWork(server, view));
    const shifts = findShifts(view, wanted.request.service, wanted.origin);
    if (shifts.length === 0) {
        return { usable, shift: undefined, moved: [], staying: usable };
    }
    const shift = sampleShift(shifts, wanted.shiftSample);
    const moved = shift === undefined
        ? []
        : usable.filter(server => isInPlace(view, server.availabilityZone, shift.specification.to));
    // What a shift cannot carry stays in its origin: only the shift may lead to its destination.
    const staying = usable.filter(server =>
        shifts.every(({ specification: { from, to } }) =>
            !isInPlace(view, server.availabilityZone, to) || isInPlace(view, server.availabilityZone, from)
        )
    );
    return { usable, shift, moved, staying };
}

/** The slow start holds a backend server back only while others nearby have room; it never refuses a request. */
enum Window {
    Kept,
    Exceeded,
}

type SearchStep = { readonly servers: readonly AnnouncedBackendServer[]; readonly window: Window };

/** Own availability zone, own region, others. */
function searchOrder(
    options: SelectorOptions,
    view: ConfigurationView,
    servers: readonly AnnouncedBackendServer[],
): readonly SearchStep[] {
    if (!options.policy.prefersNearby) {
        return [{ servers, window: Window.Kept }, { servers, window: Window.Exceeded }];
    }
    const [own, near, far] = tiersOf(options, view, servers);
    return [
        { servers: own, window: Window.Kept },
        { servers: near, window: Window.Kept },
        { servers: own, window: Window.Exceeded },
        { servers: near, window: Window.Exceeded },
        { servers: far, window: Window.Kept },
        { servers: far, window: Window.Exceeded },
    ];
}

type Tiers = [AnnouncedBackendServer[], AnnouncedBackendServer[], AnnouncedBackendServer[]];

function tiersOf(
    { availabilityZone }: SelectorOptions,
    view: ConfigurationView,
    servers: readonly AnnouncedBackendServer[],
): Tiers {
    const region = regionOf(view, availabilityZone);
    const tiers: Tiers = [[], [], []];
    servers.forEach(server => {
        const isNear = region !== undefined && regionOf(view, server.availabilityZone) === region;
        const tier = server.availabilityZone === availabilityZone ? 0 : isNear ? 1 : 2;
        tiers[tier].push(server);
    });
    return tiers;
}

function chooseFrom(
    search: Search,
    servers: readonly AnnouncedBackendServer[],
    shift: NamedShift | undefined,
    window: Window,
): Selection | undefined {
    let candidates = servers.flatMap(server => {
        const candidate = toCandidate(search, server, window);
        return candidate === undefined ? [] : [candidate];
    });
    while (candidates.length > 0) {
        const chosen = search.options.policy.select(candidates, search.options.random);
        const choice = take(search, chosen, shift);
        if (choice !== undefined) {
            return choice;
        }
        candidates = candidates.filter(candidate => candidate !== chosen);
    }
    return undefined;
}

/**
 * Counts a request that its shift does not move, and notes it as demand for the rates that moving it takes.
 *
 * @returns The shift and its backend servers if the request lacks only a slot of theirs.
 */
function noteUnmoved(
    { options, view, wanted, lacking }: Search,
    shift: NamedShift,
    moved: readonly AnnouncedBackendServer[],
): BlockedShift | undefined {
    const cause = findBlockedShiftCause(options, shift.name, moved, lacking);
    if (wanted.isQueued !== true) {
        options.counters.increment("routing.shift_without_room", 1, { shift: shift.name, cause });
        const [server] = moved;
        // Without a free slot no reservation was tried that would have noted the demand.
        if (server !== undefined && lacking.size === 0) {
            const state = options.states.getOrCreate(server);
            const { demands } = costsOf(options, view, wanted, server, state, shift);
            options.admission.recordRejectedDemand(demands.filter(({ key }) => key !== state.slotsKey));
        }
    }
    return cause === BlockedShiftCause.Slots ? { shift: shift.name, backendServers: moved } : undefined;
}

function toCandidate(
    { wanted, options: { states, admission, startProbe: probe, counters } }: Search,
    backendServer: AnnouncedBackendServer,
    window: Window,
): Candidate | undefined {
    if (wanted.excluded.has(backendServer.name)) {
        return undefined;
    }
    const state = states.getOrCreate(backendServer);
    if (state.circuitBreaker.state !== CircuitState.Closed) {
        probe(backendServer, state);
        return undefined;
    }
    const limit = window === Window.Kept ? Math.min(state.concurrencyLimit, backendServer.slots) : backendServer.slots;
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

function take(
    { options, view, wanted, lacking }: Search,
    { backendServer, state }: Candidate,
    shift: NamedShift | undefined,
): Selection | undefined {
    if (!options.announcements.isUsable(backendServer)) {
        return undefined;
    }
    const costs = costsOf(options, view, wanted, backendServer, state, shift);
    const lacks = ({ key, amount }: Demand) =>
        lacking.has(key) || wanted.isQueued === true && options.admission.available(key) < amount;
    const lack = costs.demands.find(lacks);
    if (lack !== undefined) {
        lacking.add(lack.key);
        return undefined;
    }
    const reservation = options.admission.tryReserve(costs.demands);
    if (typeof reservation === "string") {
        lacking.add(reservation);
        return undefined;
    }
    const connection = state.connectionPool.acquire(
        connectionShare(view, wanted.request.service),
        wanted.request.requestClass === RequestClass.RunOnce ? RUN_ONCE_IDLE_MS : undefined,
    );
    if (connection === undefined) {
        options.counters.increment("routing.connection_limit_reached");
        reservation.release();
        return undefined;
    }
    return { backendServer, state, connection, reservation, shift: shift?.name, ...costs };
}

/** Gives back what was taken for a choice that is not dispatched. */
export function releaseSelection({ reservation, state, connection }: Selection): void {
    reservation.release();
    if (connection.isReused) {
        state.connectionPool.release(connection);
        return;
    }
    state.connectionPool.discard(connection);
}

function costsOf(
    options: SelectorOptions,
    view: ConfigurationView,
    wanted: SelectionRequest,
    backendServer: AnnouncedBackendServer,
    state: BackendState,
    shift: NamedShift | undefined,
): Costs {
    const { request } = wanted;
    const requestBytes = reservedRequestBytes(request);
    const answerBytes = request.specification.answerBytesEstimate;
    const demands: Demand[] = [{ key: state.slotsKey, amount: 1 }];
    const requestByteKeys: string[] = [];
    const responseByteKeys: string[] = [];
    const here = regionOf(view, options.availabilityZone) ?? "";
    const there = regionOf(view, backendServer.availabilityZone) ?? "";
    if (here !== there) {
        const [outward, inward] = [linkKey(here, there), linkKey(there, here)];
        demands.push({ key: outward, amount: requestBytes }, { key: inward, amount: answerBytes });
        requestByteKeys.push(outward);
        responseByteKeys.push(inward);
    }
    if (shift !== undefined) {
        const bytes = shiftBytesKey(shift.name);
        demands.push(
            { key: shiftRequestsKey(shift.name), amount: 1 },
            { key: bytes, amount: requestBytes + answerBytes },
        );
        requestByteKeys.push(bytes);
        responseByteKeys.push(bytes);
    }
    return { demands, requestByteKeys, responseByteKeys };
}

/** Bytes of a request that are reserved before its dispatch; a longer body is paced while it is sent. */
export const reservedRequestBytes = ({ contentLength }: InspectedRequest): number =>
    Math.min(contentLength ?? 0, REPLAYABLE_BODY_BYTES) + REQUEST_HEADER_BYTES_ESTIMATE;
