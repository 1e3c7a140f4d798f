/**
 * An entry with a control instance and backend servers that stand in for real ones, for tests on loopback addresses.
 */
import { createSystemClock, listenForPeers, type PeerListener, routePeerRequests } from "@hyssopfront/coordination";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { itemKey, ItemKind, type ItemValue, type Route } from "../catalog/items.js";
import { SAMPLE_ROUTE } from "../catalog/sample-route.js";
import { type ChangeFeed, createChangeFeed, feedReadRequestSchema } from "../feed/change-feed.js";
import { createFeedServer } from "../feed/serve-feed.js";
import { ControlRequestKind, FeedKey, GATEWAY_CLUSTER_ID } from "../gateway-control/messages.js";
import { createPrometheusMetrics, type PrometheusMetrics } from "../metrics/prometheus-metrics.js";
import type { BackendRecord } from "../registry/backend-record.js";
import { SAMPLE_BACKEND_RECORD } from "../registry/sample-backend-record.js";
import { SAMPLE_HEADER_NAMES } from "./sample-header-names.js";
import { type Gateway, type GatewayOptions, startGateway } from "./start-gateway.js";

/** Address of the entry and its stand-ins. */
export const TEST_HOST = "127.0.0.1";
/** Time in which a change of the feed reaches the entry, in milliseconds. */
export const FEED_DELAY_MS = 120;

const clock = createSystemClock();

/** An entry that reads its catalog from a feed of the test. */
export type TestEntry = {
    readonly feed: ChangeFeed;
    readonly control: PeerListener;
    readonly gateway: Gateway;
    readonly callerPort: number;
    readonly metrics: PrometheusMetrics;
};

async function findFreePort(): Promise<number> {
    const probe = createServer().listen(0, TEST_HOST);
    await once(probe, "listening");
    const { port } = probe.address() as AddressInfo;
    probe.close();
    await once(probe, "close");
    return port;
}

/** Starts an entry with an empty feed that is not complete yet. */
export async function startTestEntry(
    options: Pick<GatewayOptions, "log" | "stopMilliseconds"> & Partial<GatewayOptions>,
): Promise<TestEntry> {
    const feed = createChangeFeed({ clock, feedId: String(Math.random()) });
    // The listener sends its name in the handshake, so its port must be known before it listens.
    const port = await findFreePort();
    const control = await listenForPeers({
        clock,
        address: TEST_HOST,
        port,
        self: {
            clusterId: GATEWAY_CLUSTER_ID,
            name: `${TEST_HOST}:${port}`,
            incarnation: "1",
            role: "control",
            availabilityZone: "z1",
        },
        handle: routePeerRequests({
            [ControlRequestKind.ReadFeed]: async (_from, payload, signal) =>
                createFeedServer(feed).read(feedReadRequestSchema.parse((payload as { read: unknown }).read), signal),
            [ControlRequestKind.ReportEntry]: async () => ({}),
        }),
    });
    const callerPort = await findFreePort();
    const metrics = createPrometheusMetrics();
    const gateway = await startGateway({
        clock,
        metrics,
        random: () => 0.5,
        hash: text => [...text].reduce((hash, letter) => Math.imul(hash ^ letter.charCodeAt(0), 16_777_619) >>> 0, 7),
        name: "entry-1",
        address: TEST_HOST,
        callerPort,
        availabilityZone: "z1",
        cores: 1,
        getRegion: () => "r1",
        regions: ["r1"],
        controlPeerPort: port,
        seedAddresses: () => [TEST_HOST],
        headerNames: SAMPLE_HEADER_NAMES,
        retryShare: 0.2,
        retrySlack: 50,
        ...options,
    });
    return { feed, control, gateway, callerPort, metrics };
}

/** Publishes a service with a route to it, whose path prefix is the name of the service. */
export function publishService(feed: ChangeFeed, service: string, route: Partial<Route>, version = 1): void {
    const values: readonly ItemValue[] = [
        {
            kind: ItemKind.Service,
            policy: {
                healthPath: "/health",
                maximumConnections: 500,
                coldStartMilliseconds: 3_000,
                coldRequestsPerSecond: 5,
            },
        },
        {
            kind: ItemKind.Route,
            route: { ...SAMPLE_ROUTE, pathPrefix: `/${service}/`, services: [{ service, weight: 1 }], ...route },
        },
    ];
    values.forEach(value =>
        feed.set(
            FeedKey.Item + itemKey(value.kind, service),
            () => ({ kind: value.kind, name: service, version, value, source: undefined }),
        )
    );
}

/** Marks the feed as complete and waits until the entry is ready. */
export async function waitUntilReady({ feed, gateway }: TestEntry): Promise<void> {
    feed.markComplete();
    while (!gateway.isReady()) {
        await clock.sleep(5);
    }
}

/** A backend server that gets its requests as text. */
export type TestBackendServer = {
    /** Ids of the requests, in the order in which they arrived. */
    readonly requestIds: readonly string[];
    readonly sockets: ReadonlySet<Socket>;
    close(): void;
};

/** Responds to the request with this id on the connection that it came on. */
export type RawBehavior = (socket: Socket, id: string, path: string) => void;

/** Starts a backend server for requests without bodies and waits until the entry knows it. */
export async function startTestBackendServer(
    feed: ChangeFeed,
    record: Pick<BackendRecord, "id" | "service"> & Partial<BackendRecord>,
    behavior: RawBehavior,
): Promise<TestBackendServer> {
    const sockets = new Set<Socket>();
    const requestIds: string[] = [];
    const idPattern = new RegExp(`${SAMPLE_HEADER_NAMES.requestId}: (\\S+)`, "i");
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("close", () => sockets.delete(socket));
        socket.on("data", data => {
            const text = data.toString();
            const id = idPattern.exec(text)?.[1];
            if (id !== undefined) {
                requestIds.push(id);
                behavior(socket, id, text.split(" ", 2)[1] ?? "");
            }
        });
    });
    server.listen(0, TEST_HOST);
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const announced: BackendRecord = { ...SAMPLE_BACKEND_RECORD, address: TEST_HOST, port, ...record };
    feed.set(FeedKey.BackendServer + record.id, () => announced);
    await clock.sleep(FEED_DELAY_MS);
    return {
        requestIds,
        sockets,
        close: () => {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
}

/** Formats the head of a response to the request with this id. */
export const formatHead = (status: string, id: string, headers: readonly string[] = []): string =>
    [`HTTP/1.1 ${status}`, `${SAMPLE_HEADER_NAMES.requestId}: ${id}`, ...headers, "", ""].join("\r\n");

/** Header that marks a response as one of a backend server. */
export const SIGNATURE_HEADER = `${SAMPLE_HEADER_NAMES.responseSignature}: s1`;

/** Formats a request with this id. */
export const formatRequest = (
    { method = "GET", path, id, headers = [] }: {
        readonly method?: string;
        readonly path: string;
        readonly id: string;
        readonly headers?: readonly string[];
    },
): string =>
    [
        `${method} ${path} HTTP/1.1`,
        "host: gateway.example",
        `${SAMPLE_HEADER_NAMES.requestId}: ${id}`,
        `cookie: ${SAMPLE_HEADER_NAMES.affinityCookie}=o-${id}`,
        ...headers,
        "",
        "",
    ].join("\r\n");
