/**
 * One process of the routing measurements: backend servers, an entry or a bare forwarder. It ends when its parent
 * disconnects.
 */
import { randomChoice } from "hyssopfront/routing/baselines/random-choice.ts";
import { createRoundRobin } from "hyssopfront/routing/baselines/round-robin.ts";
import { type LoadBalancingPolicy, powerOfTwoChoices } from "hyssopfront/routing/load-balancing-policy.js";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { monitorEventLoopDelay } from "node:perf_hooks";
import { Pool } from "undici";
import { startBackendServer } from "../backend-server/backend-server.js";
import { createView, startEntryStandIn } from "../entry-stand-in/entry-stand-in.js";

export type ParticipantStart =
    | {
        readonly role: "backends";
        readonly count: number;
        readonly serviceMilliseconds: number;
        /** Base addresses of the entries that the backend servers announce themselves to. */
        readonly entries: readonly string[];
    }
    | { readonly role: "bare"; readonly backendPorts: readonly number[] }
    | { readonly role: "entry"; readonly backendPorts: readonly number[]; readonly policy: string };

export type ParticipantMessage = {
    readonly ports: readonly number[];
    readonly cpuMicroseconds: number;
    /** Longest delay of the event loop since the previous message. */
    readonly longestPauseMilliseconds: number;
    /** Counters of the entry since its start. */
    readonly counters: Readonly<Record<string, number>>;
};

const POLICIES: Readonly<Record<string, () => LoadBalancingPolicy>> = {
    powerOfTwo: () => powerOfTwoChoices,
    roundRobin: createRoundRobin,
    random: () => randomChoice,
};

const ANNOUNCEMENT_INTERVAL_MS = 500;

async function startBackends(
    { count, serviceMilliseconds, entries }: Extract<ParticipantStart, { role: "backends" }>,
): Promise<readonly number[]> {
    const servers = await Promise.all(Array.from({ length: count }, (_, index) =>
        startBackendServer({
            service: "stoc",
            name: `die-${index + 1}`,
            availabilityZone: "sibiu-1",
            slots: 1_000,
            serviceMilliseconds,
            entries,
            keepsRecords: false,
        })));
    return servers.map(server => server.port);
}

async function startEntry(
    backendPorts: readonly number[],
    policyName: string,
): Promise<{ ports: readonly number[]; counters: ReadonlyMap<string, number> }> {
    const policy = POLICIES[policyName];
    if (policy === undefined) {
        throw new Error(`The policy must be one of ${Object.keys(POLICIES).join(", ")}.`);
    }
    const entry = await startEntryStandIn({
        name: "entry-1",
        availabilityZone: "sibiu-1",
        policy: policy(),
        view: createView({ stoc: { slotsPerBackendServer: 1_000, defaultClass: "idempotent" } }, {
            transilvania: ["sibiu-1"],
        }),
    });
    const announce = () =>
        Promise.all(
            backendPorts.map((port, index) =>
                fetch(`${entry.announcementUrl}/v1/announcements/stoc/die-${index + 1}`, {
                    method: "PUT",
                    body: JSON.stringify({
                        address: "127.0.0.1",
                        port,
                        availabilityZone: "sibiu-1",
                        incarnation: "1",
                        slots: 1_000,
                        freeSlots: 1_000,
                        load: 0,
                    }),
                }).then(response => response.text())
            ),
        );
    await announce();
    setInterval(() => void announce(), ANNOUNCEMENT_INTERVAL_MS);
    return { ports: [entry.callerPort], counters: entry.counters };
}

/** Forwards requests with the libraries of the entry and nothing else: the minimal cost of any entry built on them. */
async function startBareForwarder(backendPorts: readonly number[]): Promise<readonly number[]> {
    const pools = backendPorts.map(port => new Pool(`http://127.0.0.1:${port}`, { connections: 16 }));
    let requestCount = 0;
    const server = createServer({ noDelay: true }, (request, response) => {
        requestCount += 1;
        const options = {
            method: request.method as "GET",
            path: request.url ?? "/",
            headers: { "test-answer-bytes": request.headers["test-answer-bytes"] },
            body: request.method === "GET" ? undefined : request,
        };
        (pools[requestCount % pools.length] as Pool).stream(options, ({ statusCode, headers }) => {
            response.writeHead(statusCode, { "content-length": headers["content-length"] as string });
            return response;
        }).catch(() => response.destroy());
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return [(server.address() as AddressInfo).port];
}

async function startRole(): Promise<{ ports: readonly number[]; counters: ReadonlyMap<string, number> }> {
    const counters = new Map<string, number>();
    switch (start.role) {
        case "backends":
            return { ports: await startBackends(start), counters };
        case "bare":
            return { ports: await startBareForwarder(start.backendPorts), counters };
        case "entry":
            return await startEntry(start.backendPorts, start.policy);
    }
}

const start = JSON.parse(process.argv[2] ?? "") as ParticipantStart;
const { ports, counters } = await startRole();

const eventLoopDelays = monitorEventLoopDelay({ resolution: 5 });
eventLoopDelays.enable();

const report = () => {
    const { user, system } = process.cpuUsage();
    const cpuMicroseconds = user + system;
    const longestPauseMilliseconds = Math.round(eventLoopDelays.max / 1e6);
    eventLoopDelays.reset();
    const message = { ports, cpuMicroseconds, longestPauseMilliseconds, counters: Object.fromEntries(counters) };
    process.send?.(message satisfies ParticipantMessage);
};
process.on("message", report);
process.on("disconnect", () => process.exit());
report();
