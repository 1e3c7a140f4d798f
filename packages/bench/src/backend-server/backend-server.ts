/**
 * Stand-in backend server: models slots, service times, cold start, rejections, deadlines, cancellation and faults, and
 * records every request that it ran.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { type Announcer, createAnnouncer, type LoadReport } from "./announcer.js";
import { type BackendServerFault, type PreparedResponse, sendFaultyResponse, sendResponse } from "./faults.js";

export enum RunOutcome {
    Running = "running",
    Completed = "completed",
    /** The connection closed before the response was ready. */
    Cancelled = "cancelled",
    /** The deadline passed while the request ran. */
    DeadlinePassed = "deadlinePassed",
}

/** One request that the backend server ran or started to run. */
export type RunRecord = {
    /** Value of the `test-request-id` header. */
    readonly id: string;
    readonly method: string;
    readonly path: string;
    readonly tenant: string | undefined;
    readonly idempotencyKey: string | undefined;
    /** Remaining time in milliseconds that the entry sent in `hyssop-deadline-ms`. */
    readonly deadlineMilliseconds: number | undefined;
    readonly headers: IncomingMessage["headers"];
    readonly bodyBytes: number;
    /** Number of the connection that carried it, counted from 1. */
    readonly connection: number;
    /** Start of the run in milliseconds of `performance.now()`. */
    readonly startedAt: number;
    readonly wasLeaving: boolean;
    outcome: RunOutcome;
};

export type BackendServerOptions = {
    readonly service: string;
    readonly name: string;
    readonly availabilityZone: string;
    readonly slots?: number;
    readonly serviceMilliseconds?: number | (() => number);
    /** Time after the start during which requests take `coldStartFactor` times as long; 0 by default. */
    readonly coldStartMilliseconds?: number;
    readonly coldStartFactor?: number;
    /** Base URLs such as `http://127.0.0.1:7101` of the entries that it announces itself to. */
    readonly entries?: readonly string[];
    /** Delay of delayed responses and bodies; 500 by default. */
    readonly faultDelayMilliseconds?: number;
    /** Returns the fault of a request, or undefined for none. Called once for each request that ran. */
    readonly chooseFault?: (request: IncomingMessage) => BackendServerFault | undefined;
    /** Converts the true load report into the one that is announced; undefined values are left out. */
    readonly reportLoad?: (report: LoadReport) => LoadReport;
    /** Returns the `hyssop-request-id` of each request in its response. */
    readonly echoesRequestId?: boolean;
    /** Runs requests that arrive while it is leaving, so that its records show them, instead of rejecting them. */
    readonly runsWhileLeaving?: boolean;
    /** Called with the listening port before the first announcement; returns the port to announce to an entry. */
    readonly prepareAnnouncedPorts?: (port: number) => Promise<(entry: string) => number>;
    /** Whether it keeps records; true by default. Measurements with many requests turn them off. */
    readonly keepsRecords?: boolean;
    /** Opens a forwarder to the port of the server; returns the forwarder's port, which is announced instead. */
    readonly openForwarder?: (port: number) => Promise<number>;
};

export type BackendServer = {
    readonly service: string;
    readonly name: string;
    readonly availabilityZone: string;
    readonly port: number;
    readonly incarnation: string;
    readonly records: readonly RunRecord[];
    readonly running: number;
    /** Requests rejected before they ran. */
    readonly rejected: number;
    readonly openConnections: number;
    /** Stalled connections that the other end has not closed. */
    readonly openStalledConnections: number;
    /** Connections accepted since the start. */
    readonly acceptedConnections: number;
    readonly announcer: Announcer;
    /** Bytes that the open connections have handed to the operating system. */
    bytesWritten(): number;
    setFaults(chooseFault: BackendServerOptions["chooseFault"]): void;
    setServiceMilliseconds(serviceMilliseconds: number): void;
    setRejecting(isRejecting: boolean): void;
    /** Keeps every open connection open, but responds to no further request on it. New connections work. */
    stallOpenConnections(): void;
    /** Withdraws from all entries, or only from the given ones, and rejects new requests. */
    leave(entries?: readonly string[]): Promise<void>;
    /** Closes the listening socket and resets all connections at once, as if the process were killed. */
    stop(): Promise<void>;
};

type State = {
    readonly options: BackendServerOptions;
    readonly startedAt: number;
    readonly records: RunRecord[];
    readonly connectionNumbers: Map<Socket, number>;
    readonly stalledSockets: WeakSet<Socket>;
    chooseFault: BackendServerOptions["chooseFault"];
    serviceMilliseconds: () => number;
    running: number;
    rejected: number;
    accepted: number;
    isRejecting: boolean;
    isLeaving: boolean;
};

const toFunction = (value: number | (() => number)) => typeof value === "function" ? value : () => value;

/**
 * Starts the stand-in on a free port of 127.0.0.1 and announces it to the entries.
 */
export async function startBackendServer(options: BackendServerOptions): Promise<BackendServer> {
    const state: State = {
        options,
        startedAt: performance.now(),
        records: [],
        connectionNumbers: new Map(),
        stalledSockets: new WeakSet(),
        chooseFault: options.chooseFault,
        serviceMilliseconds: toFunction(options.serviceMilliseconds ?? 0),
        running: 0,
        rejected: 0,
        accepted: 0,
        isRejecting: false,
        isLeaving: false,
    };
    const slots = options.slots ?? 6;
    const server = createServer({ keepAliveTimeout: 60_000, noDelay: true }, (request, response) => {
        void handleRequest(state, slots, request, response);
    });
    server.on("connection", socket => {
        state.accepted += 1;
        state.connectionNumbers.set(socket, state.accepted);
        socket.on("close", () => state.connectionNumbers.delete(socket));
        socket.on("error", () => undefined);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const port = (server.address() as AddressInfo).port;
    const forwardedPort = await options.openForwarder?.(port);
    const nextIncarnation = () => `${options.name}-${port}-${Math.round(performance.now() * 1_000)}`;
    const incarnation = nextIncarnation();
    let announcedIncarnation = incarnation;
    const announcedPortFor = await options.prepareAnnouncedPorts?.(port) ?? (() => port);
    const announcer = createAnnouncer({
        entries: options.entries ?? [],
        service: options.service,
        name: options.name,
        createAnnouncement: entry => ({
            address: "127.0.0.1",
            port: forwardedPort ?? announcedPortFor(entry),
            availabilityZone: options.availabilityZone,
            incarnation: announcedIncarnation,
            slots,
            leaving: state.isLeaving,
            ...(options.reportLoad ?? (report => report))({
                freeSlots: slots - state.running,
                load: Math.min(1, state.running / slots),
            }),
        }),
        onDraining: () => {
            state.isLeaving = true;
        },
        onDrainEnded: () => {
            state.isLeaving = false;
            announcedIncarnation = nextIncarnation();
        },
    });
    await announcer.start();
    return createBackendServer(state, server, port, incarnation, announcer);
}

function createBackendServer(
    state: State,
    server: Server,
    port: number,
    incarnation: string,
    announcer: Announcer,
): BackendServer {
    return {
        service: state.options.service,
        name: state.options.name,
        availabilityZone: state.options.availabilityZone,
        port,
        incarnation,
        records: state.records,
        get running() {
            return state.running;
        },
        get rejected() {
            return state.rejected;
        },
        get openConnections() {
            return state.connectionNumbers.size;
        },
        get openStalledConnections() {
            return [...state.connectionNumbers.keys()].filter(socket => state.stalledSockets.has(socket)).length;
        },
        get acceptedConnections() {
            return state.accepted;
        },
        announcer,
        // `socket.bytesWritten` includes bytes that are still buffered in the process.
        bytesWritten: () =>
            [...state.connectionNumbers.keys()]
                .reduce((sum, socket) => sum + socket.bytesWritten - socket.writableLength, 0),
        setFaults: chooseFault => {
            state.chooseFault = chooseFault;
        },
        setServiceMilliseconds: milliseconds => {
            state.serviceMilliseconds = () => milliseconds;
        },
        setRejecting: isRejecting => {
            state.isRejecting = isRejecting;
        },
        stallOpenConnections: () =>
            [...state.connectionNumbers.keys()].forEach(socket => state.stalledSockets.add(socket)),
        leave: async entries => {
            state.isLeaving = true;
            await announcer.withdraw(entries);
        },
        stop: async () => {
            announcer.stop();
            const closed = new Promise<void>(resolve => server.close(() => resolve()));
            [...state.connectionNumbers.keys()].forEach(socket => socket.resetAndDestroy());
            await closed;
        },
    };
}

async function handleRequest(
    state: State,
    slots: number,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    const { options } = state;
    response.on("error", () => undefined);
    if (state.stalledSockets.has(request.socket)) {
        request.resume();
        return;
    }
    if (request.method === "OPTIONS") {
        request.resume();
        response.writeHead(204).end();
        return;
    }
    const chunks: Buffer[] = [];
    try {
        for await (const chunk of request) {
            chunks.push(chunk as Buffer);
        }
    }
    catch {
        return;
    }
    const deadline = request.headers["hyssop-deadline-ms"];
    const deadlineMilliseconds = deadline === undefined ? undefined : Number(deadline);
    const hasDeadlinePassed = deadlineMilliseconds !== undefined && deadlineMilliseconds <= 0;
    const rejectsAsLeaving = state.isLeaving && options.runsWhileLeaving !== true;
    if (state.isRejecting || rejectsAsLeaving || state.running >= slots || hasDeadlinePassed) {
        state.rejected += 1;
        response.writeHead(503, { "hyssop-refused": "true", "content-length": 0 }).end();
        return;
    }
    const body = Buffer.concat(chunks);
    const record: RunRecord = {
        id: String(request.headers["test-request-id"] ?? ""),
        method: request.method ?? "",
        path: request.url ?? "",
        tenant: request.headers["hyssop-tenant"] as string | undefined,
        idempotencyKey: request.headers["idempotency-key"] as string | undefined,
        deadlineMilliseconds,
        headers: request.headers,
        bodyBytes: body.length,
        connection: state.connectionNumbers.get(request.socket) ?? 0,
        startedAt: performance.now(),
        wasLeaving: state.isLeaving,
        outcome: RunOutcome.Running,
    };
    if (options.keepsRecords !== false) {
        state.records.push(record);
    }
    await runRequest(state, request, response, record, body);
}

async function runRequest(
    state: State,
    request: IncomingMessage,
    response: ServerResponse,
    record: RunRecord,
    body: Buffer,
): Promise<void> {
    const { options } = state;
    const isCold = performance.now() - state.startedAt < (options.coldStartMilliseconds ?? 0);
    const serviceMilliseconds = state.serviceMilliseconds() * (isCold ? options.coldStartFactor ?? 10 : 1);
    state.running += 1;
    try {
        if (serviceMilliseconds > 0) {
            record.outcome = await waitForServiceTime(response, serviceMilliseconds, record.deadlineMilliseconds);
        }
        else {
            record.outcome = response.destroyed ? RunOutcome.Cancelled : RunOutcome.Completed;
        }
    }
    finally {
        state.running -= 1;
    }
    if (record.outcome === RunOutcome.Cancelled) {
        return;
    }
    if (record.outcome === RunOutcome.DeadlinePassed) {
        response.destroy();
        return;
    }
    const prepared = prepareResponse(options, request, record, body);
    const fault = state.chooseFault?.(request);
    if (fault === undefined) {
        sendResponse(response, prepared);
        return;
    }
    await sendFaultyResponse(
        fault,
        response,
        prepared,
        () => new Promise(resolve => setTimeout(resolve, options.faultDelayMilliseconds ?? 500)),
    );
}

/** Waits for the service time; ends early when the connection closes or the deadline passes. */
function waitForServiceTime(
    response: ServerResponse,
    milliseconds: number,
    deadline: number | undefined,
): Promise<RunOutcome> {
    return new Promise(resolve => {
        const exceedsDeadline = deadline !== undefined && deadline < milliseconds;
        const settle = (outcome: RunOutcome) => {
            clearTimeout(timer);
            response.off("close", onClose);
            resolve(outcome);
        };
        const onClose = () => settle(RunOutcome.Cancelled);
        const timer = setTimeout(
            () => settle(exceedsDeadline ? RunOutcome.DeadlinePassed : RunOutcome.Completed),
            exceedsDeadline ? deadline : milliseconds,
        );
        response.on("close", onClose);
    });
}

/** Prepares a body that starts with the request id and is padded to the size that `test-answer-bytes` requests. */
function prepareResponse(
    options: BackendServerOptions,
    request: IncomingMessage,
    record: RunRecord,
    body: Buffer,
): PreparedResponse {
    const prefix = `${record.id}|${options.name}|${body.length}|`;
    const size = Math.max(prefix.length, Number(request.headers["test-answer-bytes"] ?? 0));
    const requestId = request.headers["hyssop-request-id"];
    const headers: Record<string, string> = options.echoesRequestId === true && typeof requestId === "string"
        ? { "hyssop-request-id": requestId }
        : {};
    return { status: 200, headers, body: Buffer.from(prefix.padEnd(size, "x")) };
}
