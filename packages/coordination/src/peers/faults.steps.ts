import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import { type FaultProxy, Flow, startFaultProxy } from "@hyssopfront/bench/fault-proxy/fault-proxy.js";
import assert from "node:assert/strict";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { connect, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { connect as connectTls } from "node:tls";
import { encodeFrame } from "../framing/frames.js";
import { dialPeer, type DialPeerOptions } from "./dial-peer.js";
import { listenForPeers, type ListenForPeersOptions } from "./listen-for-peers.js";
import { FrameType, PROTOCOL_VERSION } from "./messages.js";
import { PeerError } from "./peer-error.js";
import {
    type CertificateAuthority,
    clock,
    createIdentity,
    createTestCounters,
    issueCertificate,
    settle,
    waitFor,
} from "./peer-fixtures.steps.js";
import type { PeerClient, PeerListener } from "./peer.js";
import { routePeerRequests } from "./serve-requests.js";

const TIMEOUTS = { heartbeatMilliseconds: 100, silenceMilliseconds: 1_000 };

let counts: ReturnType<typeof createTestCounters>;
let listener: PeerListener;
let proxy: FaultProxy;
let client: PeerClient;
let connectionCount: number;
let hangingCall: Promise<unknown> | undefined;
let hangingSignal: AbortSignal | undefined;
let outcome: unknown;
let rawSocket: Socket;
let folder: string | undefined;
let cleanups: (() => Promise<unknown>)[];

const handle = routePeerRequests({
    echo: async (_from, payload) => payload,
    hang: (_from, _payload, signal) => {
        hangingSignal = signal;
        return new Promise(() => undefined);
    },
    long: async (_from, payload) => Buffer.alloc(payload as number),
});

const listen = async (changes: Partial<ListenForPeersOptions> = {}) => {
    const options = { clock, address: "127.0.0.1", port: 0, self: createIdentity("listener"), handle, ...TIMEOUTS };
    listener = await listenForPeers({ ...options, counters: counts.counters, ...changes });
    cleanups.push(listener.close);
};
const dial = (port: number, changes: Partial<DialPeerOptions> = {}) => {
    const options = {
        clock,
        address: "127.0.0.1",
        port,
        self: createIdentity("client"),
        random: () => 0.5,
        ...TIMEOUTS,
    };
    const opened = dialPeer({
        ...options,
        counters: counts.counters,
        onStateChange: remote => {
            connectionCount += remote === undefined ? 0 : 1;
        },
        ...changes,
    });
    cleanups.push(opened.close);
    return opened;
};
const connectThroughProxy = async (silenceMilliseconds: number) => {
    await listen({ silenceMilliseconds });
    proxy = await startFaultProxy({ clock, targetPort: listener.port });
    cleanups.push(proxy.close);
    client = dial(proxy.port, { silenceMilliseconds });
    await waitFor(() => client.isConnected);
};
const hang = async () => {
    hangingCall = settle(client.call("hang", undefined, 25_000));
    await waitFor(() => hangingSignal !== undefined);
};
const countOf = (name: string) => counts.counts.get(name) ?? 0;

Before(() => {
    counts = createTestCounters();
    connectionCount = 0;
    hangingSignal = undefined;
    cleanups = [];
});
After(async () => {
    await Promise.all(cleanups.map(cleanup => cleanup()));
    if (folder !== undefined) {
        rmSync(folder, { recursive: true });
        folder = undefined;
    }
});

Given(
    "a client and a listener connected through a proxy",
    () => connectThroughProxy(TIMEOUTS.silenceMilliseconds),
);

Given(
    "a client and a listener with long inactivity timeouts connected through a proxy",
    () => connectThroughProxy(60_000),
);

When("a call hangs and both directions of its connection drop all bytes", async () => {
    await hang();
    proxy.connections[0]?.setFaults({ toServer: Flow.Dropped, toClient: Flow.Dropped });
});

When(
    /^a call hangs and the direction (toServer|toClient) is blocked for all connections$/,
    async (direction: string) => {
        await hang();
        proxy.setFaults({ [direction]: Flow.Held });
    },
);

When("the partition heals", () => {
    connectionCount = 0;
    proxy.setFaults({ toServer: Flow.Open, toClient: Flow.Open });
});

When("a reply of {int} bytes is under way and the connection is reset", async (length: number) => {
    proxy.setFaults({ bytesPerSecond: 200_000 });
    const received = countOf("peers.bytes_received");
    hangingCall = settle(client.call("long", length, 25_000));
    await waitFor(() => countOf("peers.bytes_received") > received + 20_000);
    proxy.setFaults({ bytesPerSecond: Infinity });
    proxy.reset();
});

When("replies are held back until a call has exceeded its deadline and another one is waiting", async () => {
    proxy.setFaults({ toClient: Flow.Held });
    const late = await settle(client.call("echo", "first", 100));
    assert.ok(late instanceof PeerError && !late.isCertainlyNotRun, String(late));
    const other = client.call("echo", "second", 25_000);
    proxy.setFaults({ toClient: Flow.Open });
    outcome = await other;
});

Then("the other call received its own reply", () => assert.equal(outcome, "second"));

When("the proxy resets and refuses connections until {int} dials have failed", async (failures: number) => {
    await proxy.refuseConnections(true);
    proxy.reset();
    await waitFor(() => countOf("peers.dial_failures") >= failures);
    const error = await settle(client.call("echo", 1, 1_000));
    assert.ok(error instanceof PeerError && error.isCertainlyNotSent, String(error));
    await proxy.refuseConnections(false);
});

Then("the hanging call fails at the step {string}, possibly run", async (step: string) => {
    const error = await hangingCall;
    assert.ok(error instanceof PeerError, String(error));
    assert.deepEqual([error.step, error.isCertainlyNotRun], [step, false]);
});

Then("the listener aborts the hanging request", () => waitFor(() => hangingSignal?.aborted === true));

Then(
    "the client and the listener have no connection",
    () => waitFor(() => !client.isConnected && listener.connectedPeers.length === 0),
);

Then("the client reaches the listener over another connection", async () => {
    await waitFor(() => client.isConnected);
    assert.equal(await client.call("echo", "again", 20_000), "again");
    assert.ok(connectionCount > 0);
});

Then("{string} counted both sides", (name: string) => waitFor(() => countOf(name) >= 2));

Then("{string} counted {int}", (name: string, expected: number) => waitFor(() => countOf(name) === expected));

Given("a listener for raw sockets", () => listen());

When(
    "a raw socket requests {int} replies of {int} bytes, sends heartbeats and reads nothing",
    async (replies: number, length: number) => {
        rawSocket = connect(listener.port, "127.0.0.1");
        rawSocket.on("error", () => undefined);
        await once(rawSocket, "connect");
        const hello = { type: FrameType.Hello, protocolVersion: PROTOCOL_VERSION, ...createIdentity("raw") };
        rawSocket.write(encodeFrame(hello));
        Array.from({ length: replies }, (_, index) =>
            rawSocket.write(encodeFrame({
                type: FrameType.Request,
                id: index + 1,
                kind: "long",
                payload: length,
                deadlineMs: 25_000,
            })));
        const heartbeats = setInterval(() => rawSocket.write(encodeFrame({ type: FrameType.Heartbeat })), 100);
        cleanups.push(async () => {
            clearInterval(heartbeats);
            rawSocket.destroy();
        });
    },
);

Then("the listener drops the raw socket and {string} counted {int}", async (name: string, expected: number) => {
    await waitFor(() => countOf("peers.connections_lost") === 1);
    assert.equal(countOf(name), expected);
    assert.deepEqual(listener.connectedPeers, []);
});

const writeTlsFiles = (name: string, authority: CertificateAuthority, fileName = name) => {
    folder ??= mkdtempSync(join(tmpdir(), "peers-"));
    const { pem, certificate } = issueCertificate(name, authority);
    const files = {
        certificateFile: join(folder, `${fileName}.crt`),
        keyFile: join(folder, `${fileName}.key`),
        certificateAuthorityFile: join(folder, `${fileName}-authority.crt`),
    };
    writeFileSync(files.certificateFile, certificate);
    writeFileSync(files.keyFile, pem);
    writeFileSync(files.certificateAuthorityFile, authority.certificate);
    return files;
};
let authority: CertificateAuthority;
let newAuthority: CertificateAuthority;

Given("a listener with TLS files", async () => {
    authority = issueCertificate("authority");
    newAuthority = issueCertificate("new-authority");
    await listen({ tls: writeTlsFiles("listener", authority), tlsReloadMilliseconds: 20 });
});

const dialTls = (issuer: CertificateAuthority, changes: Partial<DialPeerOptions> = {}) => {
    const fileName = `client-${cleanups.length}`;
    client = dial(listener.port, {
        tls: writeTlsFiles("client", issuer, fileName),
        expectedName: "listener",
        ...changes,
    });
};
const requireRejection = async () => {
    const failures = countOf("peers.dial_failures");
    await waitFor(() => countOf("peers.dial_failures") > failures + 1);
    assert.equal(client.isConnected, false);
    await client.close();
};

Then("a client with a certificate of its authority connects", async () => {
    dialTls(authority);
    await waitFor(() => client.isConnected);
    assert.equal(await client.call("echo", "secret", 20_000), "secret");
    await client.close();
});

Then("a client with a certificate of another authority is rejected", async () => {
    const files = writeTlsFiles("client", newAuthority, "mixed");
    writeFileSync(files.certificateAuthorityFile, authority.certificate);
    client = dial(listener.port, { tls: files, expectedName: "listener" });
    await requireRejection();
});

Then("a client of another cluster is sent the reason by the listener", async () => {
    // dialPeer would detect the mismatch itself, so a raw TLS socket is used.
    const { certificate, pem } = issueCertificate("client", authority);
    const options = { host: "127.0.0.1", port: listener.port, cert: certificate, key: pem, ca: authority.certificate };
    const socket = connectTls(options);
    let received = "";
    socket.on("data", bytes => received += bytes.toString("latin1"));
    socket.on("error", () => undefined);
    const identity = createIdentity("client", { clusterId: "brasov" });
    socket.write(encodeFrame({ type: FrameType.Hello, protocolVersion: PROTOCOL_VERSION, ...identity }));
    await waitFor(() => socket.closed);
    assert.match(received, /client belongs to cluster brasov and listener to cluster sibiu/);
});

Then("a client without TLS is rejected", async () => {
    client = dial(listener.port);
    await requireRejection();
});

Then("a client that expects another name in the certificate is rejected", async () => {
    dialTls(authority, { expectedName: "other" });
    await requireRejection();
    assert.match(String(await settle(client.call("echo", 1, 1_000))), /does not match certificate's altnames/);
});

When("the files are replaced by invalid ones and then by those of a new authority", async () => {
    const files = writeTlsFiles("listener", authority);
    writeFileSync(files.keyFile, "broken");
    await waitFor(() => countOf("peers.tls_reload_failures") > 0);
    writeTlsFiles("listener", newAuthority);
    await waitFor(() => countOf("peers.tls_reloads") > 0);
});

Then("a client with a certificate of the new authority connects", async () => {
    dialTls(newAuthority);
    await waitFor(() => client.isConnected);
});
