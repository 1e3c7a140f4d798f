/**
 * Bounds the requests that callers pipeline, and keeps the order of the responses when a connection is closed.
 */
import type { Clock, Counters } from "@hyssopfront/coordination";
import { type IncomingMessage, type Server, type ServerResponse, STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import { EventLevel, type EventLog } from "../event-log/event-log.js";

/** Limits on the pipelined requests of callers. */
export type PipelineLimits = {
    /** Requests of one connection that are in progress at once. */
    readonly maximumRequestsInProgress: number;
    /** Requests of all connections that were sent before the response to an earlier one on their connection. */
    readonly maximumPipelinedRequests: number;
};

const DEFAULT_PIPELINE_LIMITS: PipelineLimits = {
    // Clients that pipeline send some tens of requests ahead.
    maximumRequestsInProgress: 128,
    // Each takes about 2 KB and its headers; up to 2,600 arrive in the 64 KiB that are parsed at once.
    maximumPipelinedRequests: 4_096,
};

/** Statuses for requests that cannot be parsed, by the code of the error. All others get 400. */
const ERROR_STATUSES: Readonly<Record<string, number>> = {
    ERR_HTTP_REQUEST_TIMEOUT: 408,
    HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
    HPE_HEADER_OVERFLOW: 431,
};
const BAD_REQUEST = 400;

type Exchange = { readonly message: IncomingMessage; readonly response: ServerResponse };

type WaitingRequest = Exchange & {
    /** Arrival, in monotonic milliseconds. */
    readonly arrivedAt: number;
    readonly serve: (waitedMilliseconds: number) => void;
};

/** The requests of one connection. */
type Pipeline = {
    /** In the order of their arrival. Each remains here until its response has been sent or its connection is closed. */
    readonly inProgress: Set<Exchange>;
    waiting: WaitingRequest[];
    /** Requests that count towards the limit for all connections. */
    counted: number;
    /** True while nothing is read from the connection. */
    isHeld: boolean;
    /** True once the connection closes after the requests that have arrived. Further ones are dropped. */
    isClosing: boolean;
    /** Status for the last request, which could not be parsed; sent once the earlier ones have ended. */
    errorStatus: number | undefined;
};

/** The pipelined requests of a server's connections. */
export type Pipelines = {
    /**
     * Serves a request, possibly after earlier ones on its connection have ended. A request behind one that closes the
     * connection is dropped.
     */
    start(message: IncomingMessage, response: ServerResponse, serve: (waitedMilliseconds: number) => void): void;
    /** Drops all requests behind this one, whose response closes the connection. */
    dropRequestsBehind(message: IncomingMessage): void;
};

const formatStatus = (status: number) =>
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`;

/**
 * Tracks the requests of a server from now on, and responds to those that cannot be parsed: Node sends such a response
 * at once, in front of those to earlier requests, so that a caller takes it for the response to a request that has run.
 *
 * @param server Server with the option `requireHostHeader: false`, since Node forwards what is behind a request without a
 *     host, although it closes the connection.
 */
export function createPipelines(
    server: Server,
    { clock, counters, log, limits = {} }: {
        readonly clock: Clock;
        readonly counters: Counters;
        readonly log: EventLog;
        readonly limits?: Partial<PipelineLimits>;
    },
): Pipelines {
    const { maximumRequestsInProgress, maximumPipelinedRequests } = { ...DEFAULT_PIPELINE_LIMITS, ...limits };
    const pipelines = new Map<Socket, Pipeline>();
    let pipelinedRequests = 0;

    const updateCount = (pipeline: Pipeline) => {
        const counted = Math.max(0, pipeline.inProgress.size + pipeline.waiting.length - 1);
        pipelinedRequests += counted - pipeline.counted;
        pipeline.counted = counted;
    };
    const hold = (connection: Socket, pipeline: Pipeline) => {
        pipeline.isHeld = true;
        // Node resumes the reading at the end of each request that it parses.
        process.nextTick(() => {
            if (pipeline.isHeld) {
                connection.pause();
            }
        });
    };
    const cutOffLargest = () => {
        const [connection, { counted }] = [...pipelines].reduce((largest, other) =>
            other[1].counted > largest[1].counted ? other : largest
        );
        counters.increment("gateway.callers_cut_off", 1, { reason: "pipelining" });
        log(EventLevel.Warning, "caller cut off", { reason: "pipelining", requests: counted });
        forget(connection);
        connection.destroy();
    };
    /** Ends the exchanges, also those whose responses wait for earlier ones, for which Node emits no event. */
    const end = (pipeline: Pipeline, exchanges: readonly Exchange[]) =>
        exchanges.forEach(exchange => {
            pipeline.inProgress.delete(exchange);
            const { response } = exchange;
            if (!response.socket) {
                response.destroy();
                response.emit("close");
            }
        });
    const forget = (connection: Socket) => {
        const pipeline = pipelines.get(connection);
        if (pipeline !== undefined) {
            pipelines.delete(connection);
            pipeline.waiting = [];
            end(pipeline, [...pipeline.inProgress]);
            updateCount(pipeline);
        }
    };

    const serveNow = (connection: Socket, pipeline: Pipeline, request: WaitingRequest) => {
        const { message, response } = request;
        const exchange: Exchange = { message, response };
        pipeline.inProgress.add(exchange);
        response.once("close", () => {
            pipeline.inProgress.delete(exchange);
            advance(connection, pipeline);
        });
        request.serve(clock.monotonicMilliseconds() - request.arrivedAt);
    };
    /** Responds to a request that could not be parsed, unless a response to its beginning has begun. */
    const respondToError = (connection: Socket, { inProgress }: Pipeline, status: number) => {
        if (connection.writable && ![...inProgress].some(({ response }) => response.headersSent)) {
            connection.write(formatStatus(status));
        }
        connection.destroy();
    };
    /** Continues with what has waited for an earlier request. */
    const advance = (connection: Socket, pipeline: Pipeline) => {
        if (!pipelines.has(connection)) {
            return;
        }
        while (pipeline.waiting.length > 0 && pipeline.inProgress.size < maximumRequestsInProgress) {
            serveNow(connection, pipeline, pipeline.waiting.shift() as WaitingRequest);
        }
        updateCount(pipeline);
        if (pipeline.waiting.length > 0) {
            return;
        }
        // A request whose body cannot be parsed remains in progress until its connection is closed.
        if (
            pipeline.errorStatus !== undefined && [...pipeline.inProgress].every(({ message }) => !message.complete)
        ) {
            respondToError(connection, pipeline, pipeline.errorStatus);
            return;
        }
        if (pipeline.isHeld && !pipeline.isClosing) {
            pipeline.isHeld = false;
            connection.resume();
        }
    };

    server.on("connection", (connection: Socket) => {
        const pipeline: Pipeline = {
            inProgress: new Set(),
            waiting: [],
            counted: 0,
            isHeld: false,
            isClosing: false,
            errorStatus: undefined,
        };
        pipelines.set(connection, pipeline);
        connection.on("resume", () => {
            if (pipeline.isHeld) {
                connection.pause();
            }
        });
        connection.once("close", () => forget(connection));
    });
    const fail = (error: NodeJS.ErrnoException, connection: Socket) => {
        const pipeline = pipelines.get(connection);
        if (pipeline === undefined || !connection.writable) {
            connection.destroy(error);
            return;
        }
        pipeline.isClosing = true;
        pipeline.errorStatus ??= ERROR_STATUSES[error.code ?? ""] ?? BAD_REQUEST;
        hold(connection, pipeline);
        advance(connection, pipeline);
    };
    server.on("clientError", (error: NodeJS.ErrnoException, connection) => fail(error, connection as Socket));

    return {
        start: (message, response, serve) => {
            const { socket } = message;
            const pipeline = pipelines.get(socket);
            if (pipeline === undefined || pipeline.isClosing) {
                return;
            }
            if (message.headers.host === undefined && message.httpVersion === "1.1") {
                fail(new Error("The request has no host."), socket);
                return;
            }
            pipeline.waiting.push({ message, response, serve, arrivedAt: clock.monotonicMilliseconds() });
            advance(socket, pipeline);
            if (pipeline.waiting.length > 0 && !pipeline.isHeld) {
                hold(socket, pipeline);
            }
            if (pipelinedRequests > maximumPipelinedRequests) {
                cutOffLargest();
            }
        },
        dropRequestsBehind: message => {
            const pipeline = pipelines.get(message.socket);
            if (pipeline === undefined) {
                return;
            }
            pipeline.isClosing = true;
            pipeline.waiting = [];
            const exchanges = [...pipeline.inProgress];
            end(pipeline, exchanges.slice(exchanges.findIndex(exchange => exchange.message === message) + 1));
            updateCount(pipeline);
            hold(message.socket, pipeline);
        },
    };
}
