/**
 * Starts the programs of the deploy file on loopback addresses, with stand-ins for the platform, the operator, the
 * upstreams and the clients. Times are in milliseconds.
 */
import { Buffer } from "node:buffer";
import { spawn } from "node:child_process";
import console from "node:console";
import { appendFileSync, mkdirSync, mkdtempSync, openSync, rmSync, writeFileSync } from "node:fs";
import { connect, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { clearTimeout, setTimeout } from "node:timers";

const ROOT = resolve(import.meta.dirname, "../..");
const PROGRAM = "target/hyssopfront-platform.cjs";

export const PORTS = { peer: 7540, front: 8548, ready: 8542, control: 8544, directory: 8546 };
export const HOST = "jepu9.example";
export const HEARTBEAT_MS = 1_500;
/** Zones and their regions, as on the sheet of the small site. */
const ZONES = {
    "sibiu-a": "transilvania",
    "ploiesti-a": "muntenia",
    "iasi-a": "moldova",
    "brasov-b": "transilvania",
    "pitesti-b": "muntenia",
    "bacau-b": "moldova",
};
export const ZONE_NAMES = Object.keys(ZONES);

export const sleep = milliseconds => new Promise(done => setTimeout(done, milliseconds));

const canListen = address =>
    new Promise(done => {
        const server = createServer();
        server.once("error", () => done(false));
        server.listen(PORTS.front, address, () => server.close(() => done(true)));
    });

/** Programs and folders of this script. They are removed however it ends. */
const startedPrograms = new Set();
const folders = new Set();
process.on("exit", () => {
    startedPrograms.forEach(child => child.kill("SIGKILL"));
    if (process.env.KEEP === undefined) {
        folders.forEach(folder => rmSync(folder, { recursive: true, force: true, maxRetries: 3 }));
    }
});
["SIGINT", "SIGTERM", "SIGHUP"].forEach(signal => process.on(signal, () => process.exit(2)));

/** Finds a loopback network that nobody uses yet. */
async function findNetwork() {
    for (let attempt = 0; attempt < 50; attempt += 1) {
        const part = () => 1 + Math.floor(Math.random() * 250);
        const network = `127.${part()}.${part()}`;
        if (await canListen(`${network}.10`)) {
            return network;
        }
    }
    throw new Error("No free loopback network was found.");
}

const quote = text => JSON.stringify(text);

function formatSettings({ node, role, ip, zone, isFront, isFirstStart, dataFolder, seeds, listen, acknowledgementMs }) {
    return `[self]
node = ${quote(node)}
role = ${quote(role)}
machine_class = ${quote(isFront ? "front" : "core")}
serves = ${isFront ? `["front"]` : `["control","directory"]`}
ip = ${quote(ip)}
zone = ${quote(zone)}
region = ${quote(ZONES[zone])}
in_tolerance = ${!isFront}
bootstrap = ${isFirstStart}
${dataFolder === undefined ? "" : `data_dir = ${quote(dataFolder)}`}
[self.limits]
cpu_share = 0.81
cores = 2
memory_mb = 346
max_fds = 4096
link_mbps = 1000.0
disk_mb = ${isFront ? 0 : 256}
[network]
internal_port_range = [${PORTS.peer},${PORTS.peer + 15}]
seeds = [${seeds.map(quote).join(",")}]
[network.listen]
${Object.entries(listen).map(([name, address]) => `${name} = ${quote(address)}`).join("\n")}
[network.zones]
${Object.entries(ZONES).map(([name, region]) => `${name} = ${quote(region)}`).join("\n")}
[platform]
discovery = "registration"
entry = "directory"
heartbeat_ms = ${HEARTBEAT_MS}
config_mode = "parts"
[terms]
contracts = ["base","drain","config","cost","retry","recover","places"]
[terms.fault_tolerance]
machines = 2
zones = 1
regions = 1
[terms.bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 3000
ack_ms = ${acknowledgementMs}
catch_up_s = 4
drain_ms = 2500
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2500
rollback_slack_ms = 250
max_skew_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 56
cold_overage = 1.5
cold_slack = 5
evacuation_ms = 5000
recovery_s = 15
ttl_max_s = 5
max_shift = 0.15
`;
}

/** Starts a deployment of control instances and entries. `close` ends all processes and removes all files. */
export async function startDeployment({ controlCount = 5, entryCount = 1, acknowledgementMs = 4_000, recordFile }) {
    const network = await findNetwork();
    const folder = mkdtempSync(join(tmpdir(), "review-"));
    folders.add(folder);
    const startedAt = performance.now();
    writeFileSync(recordFile, "");
    const record = line =>
        appendFileSync(recordFile, `${((performance.now() - startedAt) / 1_000).toFixed(3)} ${line}\n`);
    const controlAddresses = Array.from({ length: controlCount }, (_, index) => `${network}.${10 + index}`);
    const entryAddresses = Array.from({ length: entryCount }, (_, index) => `${network}.${40 + index}`);
    const seeds = controlAddresses.slice(0, 3).map(address => `${address}:${PORTS.control}`);
    const machines = [
        ...controlAddresses.map((ip, index) => ({ ip, isFront: false, zone: ZONE_NAMES[index % 6] })),
        ...entryAddresses.map((ip, index) => ({ ip, isFront: true, zone: ZONE_NAMES[index % 6] })),
    ].map(machine => ({ ...machine, child: undefined, node: `${machine.isFront ? "front" : "core"}-${machine.ip}` }));

    const start = (machine, isFirstStart) => {
        const { ip, isFront, zone, node } = machine;
        const home = join(folder, node);
        mkdirSync(home, { recursive: true });
        const settings = join(home, "node.toml");
        const listen = isFront
            ? { front: `${ip}:${PORTS.front}`, ready: `${ip}:${PORTS.ready}` }
            : { control: `${ip}:${PORTS.control}`, directory: `${ip}:${PORTS.directory}` };
        const dataFolder = isFront ? undefined : join(home, "data");
        const role = isFront ? "entry" : "control";
        const values = { node, role, ip, zone, isFront, isFirstStart, dataFolder, seeds, listen, acknowledgementMs };
        writeFileSync(settings, formatSettings(values));
        const log = openSync(join(home, "log"), "a");
        const child = spawn(process.execPath, [PROGRAM, role], {
            cwd: ROOT,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: "C.UTF-8", HYSSOPFRONT_SETTINGS: settings },
            stdio: ["ignore", log, log],
        });
        child.hasEnded = false;
        startedPrograms.add(child);
        child.ended = new Promise(done =>
            child.once("exit", (code, signal) => {
                child.hasEnded = true;
                startedPrograms.delete(child);
                record(`process ${node} ended, code ${code}, signal ${signal}`);
                done();
            })
        );
        machine.child = child;
        record(`process ${node} started`);
    };
    machines.forEach(machine => start(machine, true));
    /** Starts a further control instance at a new address, with an empty disk. */
    const addControl = zone => {
        const ip = `${network}.${10 + controlAddresses.length}`;
        const machine = { ip, isFront: false, zone, child: undefined, node: `core-${ip}` };
        machines.push(machine);
        controlAddresses.push(ip);
        start(machine, false);
        return machine;
    };
    /** Removes all files of a machine's disk. */
    const wipeDisk = ({ node }) => rmSync(join(folder, node, "data"), { recursive: true, force: true });

    /** Calls the control interface as the operator and the upstreams do: in turn, moving on after `waitMs`. */
    const callControl = async (call, body, { waitMs = 1_000, attempts = 20, addresses = controlAddresses } = {}) => {
        let last;
        for (let attempt = 0; attempt < attempts; attempt += 1) {
            const address = addresses[attempt % addresses.length];
            last = await postJson(address, PORTS.control, `/v1/rpc?call=${call}`, body, waitMs);
            if (last.status >= 200 && last.status < 300 || [400, 409, 412, 413, 422].includes(last.status)) {
                return { ...last, attempt, address };
            }
            await sleep(Math.min(1_000, 100 * (attempt + 1)));
        }
        return last;
    };
    const waitUntilReady = async () => {
        const until = performance.now() + 20_000;
        for (const address of entryAddresses) {
            for (;;) {
                const reply = await sendHttp(address, PORTS.ready, { method: "GET", path: "/v1/ready" }, 1_000);
                if (reply.status === 200) {
                    break;
                }
                if (performance.now() > until) {
                    throw new Error(`The entry at ${address} is not ready.`);
                }
                await sleep(100);
            }
        }
    };
    const close = async () => {
        for (const { child } of machines) {
            if (!child.hasEnded) {
                child.kill("SIGCONT");
                child.kill("SIGKILL");
            }
        }
        await Promise.all(machines.map(({ child }) => child.ended));
        if (process.env.KEEP === undefined) {
            rmSync(folder, { recursive: true, force: true });
        }
        else {
            console.error(folder);
        }
    };
    return {
        network,
        folder,
        machines,
        controlAddresses,
        entryAddresses,
        record,
        start,
        addControl,
        wipeDisk,
        callControl,
        waitUntilReady,
        close,
    };
}

/** Creates the patch that sets services, routes and limits, in the form of the operator's first call. */
export function createPatch({ version = 7, services, routes }) {
    return {
        upsert: {
            resources: [
                ...routes.map(({ name, ...spec }) => ({
                    resource_type: "routes",
                    metadata: { name, version },
                    spec: {
                        host: HOST,
                        kind: "safe",
                        timeout_ms: 2_500,
                        target_latency_ms: 400,
                        priority: 1,
                        max_attempts: 2,
                        sticky: false,
                        allowed_regions: [],
                        ...spec,
                    },
                })),
                ...services.map(name => ({
                    resource_type: "services",
                    metadata: { name, version },
                    spec: {
                        health_path: "/healthz",
                        max_connections: 330,
                        protocol: "h1",
                        tls: false,
                        cold_start_s: 0,
                        cold_per_s: 1_000,
                    },
                })),
                {
                    resource_type: "limits",
                    metadata: { version },
                    spec: {
                        max_header_bytes: 16_384,
                        max_body_bytes: 67_108_864,
                        header_timeout_ms: 3_000,
                        idle_timeout_ms: 15_000,
                    },
                },
            ],
        },
        remove: { routes: [] },
    };
}

/** Parses a head into its first line and its headers, names in lower case. */
function parseHead(text) {
    const [first = "", ...lines] = text.split("\r\n");
    const headers = {};
    for (const line of lines) {
        const colon = line.indexOf(":");
        headers[line.slice(0, colon).trim().toLowerCase()] = line.slice(colon + 1).trim();
    }
    return { first, headers };
}

/** Takes one chunked body from bytes; undefined while it is incomplete. */
function takeChunked(bytes) {
    const parts = [];
    for (let offset = 0;;) {
        const lineEnd = bytes.indexOf("\r\n", offset);
        if (lineEnd < 0) {
            return undefined;
        }
        const size = parseInt(bytes.subarray(offset, lineEnd).toString("latin1"), 16);
        const start = lineEnd + 2;
        if (bytes.length < start + size + 2) {
            return undefined;
        }
        if (size === 0) {
            return { body: Buffer.concat(parts), rest: bytes.subarray(start + 2) };
        }
        parts.push(bytes.subarray(start, start + size));
        offset = start + size + 2;
    }
}

/** Takes one message from bytes; undefined while it is incomplete. */
function takeMessage(bytes, hasEnded = false) {
    const headEnd = bytes.indexOf("\r\n\r\n");
    if (headEnd < 0) {
        return undefined;
    }
    const head = parseHead(bytes.subarray(0, headEnd).toString("latin1"));
    const rest = bytes.subarray(headEnd + 4);
    if (/chunked/i.test(head.headers["transfer-encoding"] ?? "")) {
        const taken = takeChunked(rest);
        return taken === undefined ? undefined : { ...head, ...taken };
    }
    const length = head.headers["content-length"];
    if (length === undefined && head.first.startsWith("HTTP/")) {
        return hasEnded ? { ...head, body: rest, rest: Buffer.alloc(0) } : undefined;
    }
    const bodyLength = Number(length ?? 0);
    return rest.length < bodyLength
        ? undefined
        : { ...head, body: rest.subarray(0, bodyLength), rest: rest.subarray(bodyLength) };
}

/**
 * Sends a request and resolves with what the client has seen: `status` 0 if no head came, `isComplete` if the whole
 * answer came.
 */
export function sendHttp(address, port, { method, path, headers = {}, body }, waitMs = 5_000) {
    return new Promise(done => {
        let bytes = Buffer.alloc(0);
        let isDone = false;
        const socket = connect(port, address);
        const finish = (message, end) => {
            if (isDone) {
                return;
            }
            isDone = true;
            clearTimeout(timer);
            const headEnd = bytes.indexOf("\r\n\r\n");
            const head = message ??
                (headEnd < 0 ? undefined : parseHead(bytes.subarray(0, headEnd).toString("latin1")));
            socket.destroy();
            done({
                status: Number(head?.first.split(" ")[1] ?? 0),
                headers: head?.headers ?? {},
                body: message?.body ?? Buffer.alloc(0),
                isComplete: message !== undefined,
                end,
            });
        };
        const timer = setTimeout(() => finish(undefined, "timeout"), waitMs);
        socket.on("connect", () => {
            const text = body === undefined ? Buffer.alloc(0) : Buffer.from(body);
            const lines = [
                `${method} ${path} HTTP/1.1`,
                ...Object.entries({
                    host: HOST,
                    ...body === undefined ? {} : { "content-length": text.length },
                    ...headers,
                }).map(([name, value]) => `${name}: ${value}`),
            ];
            socket.write(Buffer.concat([Buffer.from(`${lines.join("\r\n")}\r\n\r\n`, "latin1"), text]));
        });
        socket.on("data", chunk => {
            bytes = Buffer.concat([bytes, chunk]);
            const message = takeMessage(bytes);
            if (message !== undefined) {
                finish(message, "answer");
            }
        });
        socket.on("end", () => finish(takeMessage(bytes, true), "closed"));
        socket.on("error", error => finish(undefined, error.code));
        socket.on("close", () => finish(undefined, "closed"));
    });
}

/** Sends a call with a JSON body. */
export function postJson(address, port, path, body, waitMs) {
    const text = body === undefined ? undefined : JSON.stringify(body);
    return sendHttp(address, port, {
        method: "POST",
        path,
        headers: text === undefined ? { "content-length": 0 } : { "content-type": "application/json" },
        body: text,
    }, waitMs);
}

/** Sends one client attempt through an entry. */
export const sendRequest = (address, { id, method = "GET", path, deadlineMs = 2_500, body, headers = {} }, waitMs) =>
    sendHttp(address, PORTS.front, {
        method,
        path,
        body,
        headers: { "request-id": id, "deadline-ms": deadlineMs, ...headers },
    }, waitMs ?? deadlineMs + 1_000);

/** A complete answer as a sound upstream gives it. */
export function formatAnswer({ id, status = 200, body = "done", headers = {}, isSigned = true }) {
    const bytes = Buffer.from(body);
    const lines = [
        `HTTP/1.1 ${status} Status`,
        ...Object.entries({
            "request-id": id,
            ...isSigned ? { "upstream-signature": `sig.${id}` } : {},
            "content-length": bytes.length,
            ...headers,
        }).map(([name, value]) => `${name}: ${value}`),
    ];
    return Buffer.concat([Buffer.from(`${lines.join("\r\n")}\r\n\r\n`, "latin1"), bytes]);
}

/**
 * Starts an upstream that registers itself and sends heartbeats.
 *
 * @param options.run Called with each request and its socket once the request has been read; answers it.
 */
export async function startUpstream({ deployment, id, service, zone = "sibiu-a", slots = 6, host, run }) {
    const address = `${deployment.network}.${host}`;
    const sockets = new Set();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.setNoDelay(true);
        let bytes = Buffer.alloc(0);
        socket.on("close", () => sockets.delete(socket));
        socket.on("error", () => undefined);
        socket.on("data", chunk => {
            bytes = Buffer.concat([bytes, chunk]);
            for (let message = takeMessage(bytes); message !== undefined; message = takeMessage(bytes)) {
                bytes = message.rest;
                const [method, path] = message.first.split(" ");
                if (message.headers["expected-instance"] !== undefined && message.headers["expected-instance"] !== id) {
                    socket.write(`HTTP/1.1 421 Misdirected Request\r\nInstance-Id: ${id}\r\ncontent-length: 0\r\n\r\n`);
                    continue;
                }
                void run({
                    method,
                    path,
                    headers: message.headers,
                    id: message.headers["request-id"],
                    body: message.body,
                }, socket);
            }
        });
    });
    await new Promise((done, fail) => {
        server.once("error", fail);
        server.listen(0, address, done);
    });
    const { port } = server.address();
    const born = Date.now();
    let sequence = 0;
    let state = "ready";
    let isStopped = false;
    const beat = () =>
        deployment.callControl(`instances.heartbeat&of=${id}`, {
            service,
            address: `${address}:${port}`,
            zone,
            version: "v1",
            slots,
            state,
            cold_remaining_ms: 0,
            seq: sequence += 1,
            born,
        }, { attempts: 5 });
    const firstBeat = await beat();
    const beats = (async () => {
        while (!isStopped) {
            await sleep(HEARTBEAT_MS);
            await beat();
        }
    })();
    void beats;
    return {
        id,
        address,
        port,
        born,
        firstBeat,
        setState: next => {
            state = next;
            return beat();
        },
        stopBeats: () => void (isStopped = true),
        close: () => {
            isStopped = true;
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
}

let requestCount = 0;
/** Returns an id that no other request has. */
export const nextId = () => `${Date.now().toString(16)}${(requestCount += 1).toString(16).padStart(6, "0")}`;

/** Runs a case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
export async function runCase(play) {
    const limit = setTimeout(() => process.exit(2), 115_000);
    try {
        const isBroken = await play();
        clearTimeout(limit);
        process.exitCode = isBroken ? 1 : 0;
    }
    catch (error) {
        clearTimeout(limit);
        console.error(error);
        process.exitCode = 2;
    }
}
