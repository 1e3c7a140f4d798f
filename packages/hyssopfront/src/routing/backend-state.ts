/**
 * What an entry has observed of each backend server: requests in flight, latency, rejections and failures.
 */
import type { Clock, Counters } from "@hyssopfront/coordination";
import createDebug from "debug";
import { slotsKey } from "../admission/budgets.js";
import type { AnnouncedBackendServer } from "../announcements/announcement.js";
import { type BackendConnectionPool, createBackendConnectionPool } from "./backend-connection-pool.js";
import { type CircuitBreaker, CircuitState, createCircuitBreaker } from "./circuit-breaker.js";

const debug = createDebug("hyssopfront:routing");

/** Weight of a new sample in the moving averages, which then cover about the last ten requests. */
const SAMPLE_WEIGHT = 0.1;
/** A response slower than this multiple of the median latency of its service does not raise the concurrency limit. */
const SLOW_RESPONSE_FACTOR = 3;
const INITIAL_CONCURRENCY_LIMIT = 2;

/** Observations and connections of one incarnation of a backend server. */
export type BackendState = {
    /** Service and name, as in `service/name`. */
    readonly key: string;
    /** Key of the budget for the slots of the backend server. */
    readonly slotsKey: string;
    readonly service: string;
    readonly name: string;
    readonly availabilityZone: string;
    readonly incarnation: string;
    readonly connectionPool: BackendConnectionPool;
    readonly circuitBreaker: CircuitBreaker;
    inFlight: number;
    /** Moving average of the time to the first byte of a response, in milliseconds. 0 before the first response. */
    latencyMilliseconds: number;
    /** Moving average of the share of rejected requests. */
    rejectionRate: number;
    /**
     * Requests that may be in flight at once during slow start. Grows with timely responses and shrinks with
     * rejections.
     */
    concurrencyLimit: number;
    /** True once the backend server has returned a request id. */
    returnsRequestIds: boolean;
    /** Monotonic milliseconds. */
    lastUsedAt: number;
};

/** The states of all backend servers that the entry uses. */
export type BackendStates = {
    /** Returns the state of the announced incarnation. New connections are opened to the announced address. */
    getOrCreate(backendServer: AnnouncedBackendServer): BackendState;
    /**
     * Records the first byte of a response.
     *
     * @param milliseconds Time since the dispatch.
     * @param medianMilliseconds Median latency of the service, or undefined while unknown.
     */
    recordResponse(state: BackendState, milliseconds: number, medianMilliseconds: number | undefined): void;
    recordRejection(state: BackendState): void;
    recordFailure(state: BackendState): void;
    all(): readonly BackendState[];
    close(): void;
};

/** The state of a backend server is removed and its connections are closed when it was not used for this long. */
const UNUSED_STATE_TIMEOUT_MS = 60_000;
const SWEEP_INTERVAL_MS = 5_000;

/**
 * Creates an empty set of states.
 */
export function createBackendStates(
    clock: Clock,
    random: () => number,
    counters: Counters,
): BackendStates {
    const states = new Map<string, BackendState>();
    let lastSweptAt = clock.monotonicMilliseconds();

    const createState = (backendServer: AnnouncedBackendServer, key: string): BackendState => ({
        key,
        slotsKey: slotsKey(backendServer.service, backendServer.name),
        service: backendServer.service,
        name: backendServer.name,
        availabilityZone: backendServer.availabilityZone,
        incarnation: backendServer.incarnation,
        connectionPool: createBackendConnectionPool({
            clock,
            address: backendServer.address,
            port: backendServer.port,
            onConnect: () => counters.increment("routing.connections_opened", 1, { service: backendServer.service }),
            onUnsolicitedResponse: () =>
                counters.increment("routing.surplus_answers", 1, { service: backendServer.service }),
        }),
        circuitBreaker: createCircuitBreaker(clock, random, circuitState => {
            debug("circuit breaker of %s is now %s", key, circuitState);
            if (circuitState === CircuitState.Open) {
                counters.increment("routing.circuit_opened", 1, { service: backendServer.service });
            }
            if (circuitState === CircuitState.Closed) {
                const state = states.get(key);
                if (state !== undefined) {
                    state.concurrencyLimit = INITIAL_CONCURRENCY_LIMIT;
                }
            }
        }),
        inFlight: 0,
        latencyMilliseconds: 0,
        rejectionRate: 0,
        concurrencyLimit: INITIAL_CONCURRENCY_LIMIT,
        returnsRequestIds: false,
        lastUsedAt: clock.monotonicMilliseconds(),
    });

    const sweep = (now: number) => {
        if (now - lastSweptAt < SWEEP_INTERVAL_MS) {
            return;
        }
        lastSweptAt = now;
        states.forEach((state, key) => {
            if (state.inFlight === 0 && now - state.lastUsedAt > UNUSED_STATE_TIMEOUT_MS) {
                state.connectionPool.close();
                states.delete(key);
            }
        });
    };

    return {
        getOrCreate: backendServer => {
            const key = `${backendServer.service}/${backendServer.name}`;
            const existing = states.get(key);
            if (existing?.incarnation === backendServer.incarnation) {
                // Probes use the announced address. If requests kept an older address, a probe could close the circuit
                // breaker of a backend server that no request reaches.
                existing.connectionPool.setAddress(backendServer.address, backendServer.port);
                return existing;
            }
            existing?.connectionPool.close();
            const state = createState(backendServer, key);
            states.set(key, state);
            sweep(state.lastUsedAt);
            return state;
        },
        recordResponse: (state, milliseconds, medianMilliseconds) => {
            state.circuitBreaker.recordSuccess();
            state.latencyMilliseconds = state.latencyMilliseconds === 0
                ? milliseconds
                : state.latencyMilliseconds + SAMPLE_WEIGHT * (milliseconds - state.latencyMilliseconds);
            state.rejectionRate -= SAMPLE_WEIGHT * state.rejectionRate;
            const isSlow = medianMilliseconds !== undefined && milliseconds > SLOW_RESPONSE_FACTOR * medianMilliseconds;
            if (!isSlow) {
                state.concurrencyLimit = Math.min(100_000, state.concurrencyLimit + 1);
            }
        },
        recordRejection: state => {
            counters.increment("routing.refused");
            state.rejectionRate += SAMPLE_WEIGHT * (1 - state.rejectionRate);
            state.concurrencyLimit = Math.max(
                INITIAL_CONCURRENCY_LIMIT,
                Math.min(state.concurrencyLimit, state.inFlight + 1) / 2,
            );
        },
        recordFailure: state => {
            state.concurrencyLimit = INITIAL_CONCURRENCY_LIMIT;
            state.circuitBreaker.recordFailure();
        },
        all: () => [...states.values()],
        close: () => {
            states.forEach(state => state.connectionPool.close());
            states.clear();
        },
    };
}
