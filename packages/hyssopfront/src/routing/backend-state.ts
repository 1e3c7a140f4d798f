/**
 * What an entry itself has seen of each backend server: requests in flight, latency, refusals, failures.
 */
import type { Clock, Counters } from "@hyssopfront/coordination";
import createDebug from "debug";
import { slotsKey } from "../admission/budgets.js";
import type { AnnouncedBackendServer } from "../announcements/announcement.js";
import { type BackendConnectionPool, createBackendConnectionPool } from "./backend-connection-pool.js";
import { type CircuitBreaker, CircuitState, createCircuitBreaker } from "./circuit-breaker.js";

const debug = createDebug("hyssopfront:routing");

/** Weight of a new observation in the moving averages; about the last ten requests count. */
const SAMPLE_WEIGHT = 0.1;
/** An answer slower than this multiple of the usual latency of its service holds the slow start back. */
const SLOW_RESPONSE_FACTOR = 3;
const INITIAL_CONCURRENCY_LIMIT = 2;

export type BackendState = {
    readonly key: string;
    readonly slotsKey: string;
    readonly service: string;
    readonly name: string;
    readonly availabilityZone: string;
    readonly incarnation: string;
    readonly connectionPool: BackendConnectionPool;
    readonly circuitBreaker: CircuitBreaker;
    inFlight: number;
    /** Moving average of the time to the first byte of an answer, in milliseconds; 0 before the first. */
    latencyMilliseconds: number;
    /** Moving average of the share of refused requests. */
    rejectionRate: number;
    /** Requests that may be in flight at once; grows with good answers and shrinks with refusals. */
    concurrencyLimit: number;
    /** True once it has returned a request id. */
    returnsRequestIds: boolean;
    lastUsedAt: number;
};

export type BackendStates = {
    /** State of the incarnation, whose new connections lead to the address that the announcement names. */
    getOrCreate(backendServer: AnnouncedBackendServer): BackendState;
    /** @param usualMilliseconds Usual latency of the service; undefined while unknown. */
    recordResponse(state: BackendState, milliseconds: number, medianMilliseconds: number | undefined): void;
    recordRejection(state: BackendState): void;
    recordFailure(state: BackendState): void;
    all(): readonly BackendState[];
    close(): void;
};

/** Backend servers that were not used for this long are forgotten with their connections. */
const UNUSED_STATE_TIMEOUT_MS = 60_000;
const SWEEP_INTERVAL_MS = 5_000;

/**
 * Creates an empty registry.
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
            debug("circuit of %s is %s", key, circuitState);
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
                // Probes use the announced address too: if connections kept an older one, a probe could close the circuit
                // of a backend server that no request reaches.
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
