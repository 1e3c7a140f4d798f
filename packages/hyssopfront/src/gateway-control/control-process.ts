/**
 * Test program that runs a control instance in its own process, so that tests can kill it. It reads calls as JSON lines
 * from standard input and writes replies to standard output.
 */
import { createSystemClock, NO_COUNTERS } from "@hyssopfront/coordination";
import { createInterface } from "node:readline";
import { type Item, ItemKind } from "../catalog/items.js";
import { requiredVoterCount } from "../formation/formation.js";
import { BackendServerState } from "../registry/backend-record.js";
import { startGatewayControl } from "./start-gateway-control.js";

const DEADLINE_MS = 2_000;
/** Start of the backend server that the calls are about, in Unix milliseconds. */
const STARTED_AT = 1;

type Options = {
    readonly address: string;
    readonly peerPort: number;
    readonly dataFolder: string;
    readonly isFirstStart: boolean;
    readonly seeds: readonly string[];
};
type Call = { readonly id: number; readonly call: string; readonly argument: unknown };

/** States of the backend servers as last published to entries. */
const backendStates = new Map<string, string>();

const { seeds, ...options } = JSON.parse(process.argv[2] ?? "{}") as Options;
const control = await startGatewayControl({
    ...options,
    clock: createSystemClock(),
    counters: NO_COUNTERS,
    log: (_level, event, fields) => {
        if (event === "backend server changed") {
            backendStates.set(String(fields?.server), String(fields?.state));
        }
    },
    random: Math.random,
    availabilityZone: "z1",
    getRegion: () => "r1",
    regions: ["r1"],
    seedAddresses: () => seeds,
    voterCount: requiredVoterCount(2),
    heartbeatMilliseconds: 1_000,
});

const SERVICE: Item = {
    kind: ItemKind.Service,
    name: "orders",
    version: 1,
    value: {
        kind: ItemKind.Service,
        policy: {
            healthPath: "/health",
            maximumConnections: 10,
            coldStartMilliseconds: 0,
            coldRequestsPerSecond: 10,
        },
    },
    source: "{}",
};
const ROUTE: Item = {
    kind: ItemKind.Route,
    name: "orders",
    version: 1,
    value: {
        kind: ItemKind.Route,
        route: {
            host: "orders.example",
            pathPrefix: "/",
            isIdempotent: false,
            timeoutMilliseconds: 1_000,
            latencyObjectiveMilliseconds: 100,
            priority: 0,
            services: [{ service: "orders", weight: 1 }],
            maximumAttempts: 1,
            hasAffinity: false,
            homeRegions: [],
        },
    },
    source: "{}",
};

const announce = (state: BackendServerState, sequence: number) =>
    control.receiveAnnouncement({
        id: "orders-1",
        service: "orders",
        address: "10.0.0.1",
        port: 80,
        availabilityZone: "z1",
        slots: 4,
        state,
        coldMilliseconds: 0,
        startedAt: STARTED_AT,
        sequence,
    });

const calls: Readonly<Record<string, (argument: unknown) => Promise<unknown>>> = {
    voters: async () => control.voters(),
    changeRoute: async () => await control.changeItems([SERVICE, ROUTE], DEADLINE_MS) ?? "accepted",
    readRoutes: async () => (await control.readItems(DEADLINE_MS)).map(item => item.name),
    announce: sequence => announce(BackendServerState.Ready, Number(sequence)),
    drain: sequence => announce(BackendServerState.Draining, Number(sequence)),
    leave: () => control.receiveDeparture("orders-1", STARTED_AT),
    backendState: async () => backendStates.get("orders-1"),
};

const sendReply = (fields: object) => void process.stdout.write(`${JSON.stringify(fields)}\n`);
createInterface({ input: process.stdin }).on("line", line => {
    const { id, call, argument } = JSON.parse(line) as Call;
    const result = calls[call]?.(argument) ?? Promise.reject(new Error(`The call "${call}" does not exist.`));
    result.then(value => sendReply({ id, value }), (error: Error) => sendReply({ id, error: error.message }));
});
