/**
 * Client side of a peer connection: dials one address and reconnects when the connection is lost.
 */
import { once } from "node:events";
import { connect as connectTcp, type Socket } from "node:net";
import { connect as connectTls } from "node:tls";
import type { Clock } from "../clock/clock.js";
import { createDeadlineTimer } from "../clock/deadline-timer.js";
import { withDeadline } from "../clock/deadline.js";
import { type Counters, NO_COUNTERS } from "../counters/counters.js";
import type { Connection } from "./connection.js";
import {
    createConnection,
    HEARTBEAT_INTERVAL_MS,
    INACTIVITY_TIMEOUT_MS,
    MAXIMUM_OUTGOING_BYTES,
} from "./connection.js";
import { CONNECT_TIMEOUT_MS, HANDSHAKE_TIMEOUT_MS, performHandshake } from "./handshake.js";
import { FrameType, MAXIMUM_DEADLINE_MS, MAXIMUM_SHORT_TEXT_LENGTH, type PeerFrame } from "./messages.js";
import { PeerError, PeerStep } from "./peer-error.js";
import type { PeerClient, PeerIdentity } from "./peer.js";
import { type PeerTlsFiles, readTlsMaterial } from "./tls.js";

/** Base of the delay before a reconnection attempt; doubles with each consecutive failure. */
export const REDIAL_BASE_MS = 50;
/** Longest delay before a reconnection attempt. Short, so that a healed partition is noticed well within a failover. */
export const REDIAL_MAXIMUM_MS = 1_000;

/** Options of `dialPeer`. Durations are in milliseconds, sizes in bytes. */
export type DialPeerOptions = {
    readonly clock: Clock;
    /** IP address or host name of the peer. */
    readonly address: string;
    readonly port: number;
    /** Identity of this process, which is sent to the peer. */
    readonly self: PeerIdentity;
    /** Name that the peer must have. With TLS, its certificate must contain it as a DNS name. */
    readonly expectedName?: string;
    /** Returns a uniform number in [0, 1), for the jitter of the reconnection delay. */
    readonly random?: () => number;
    /** Default: no counters. */
    readonly counters?: Counters;
    /** Files for mutual TLS. Default: plain TCP, without authentication of the peer. */
    readonly tls?: PeerTlsFiles;
    /** Interval at which heartbeats are sent on an otherwise idle connection. Default: 500 ms. */
    readonly heartbeatMilliseconds?: number;
    /** Time without a received frame, or without progress of a write, that ends the connection. Default: 2 s. */
    readonly silenceMilliseconds?: number;
    /** Timeout for establishing a connection, TLS handshake included. Default: 1 s. */
    readonly connectMilliseconds?: number;
    /** Timeout for the hello frame of the peer. Default: 1 s. */
    readonly handshakeMilliseconds?: number;
    /** Bytes that may be buffered for a slow peer; calls over the limit are rejected. Default: 12 MiB. */
    readonly maximumOutgoingBytes?: number;
    /** Limit of the calls that are waiting for a reply. Default: 4,096. */
    readonly maximumPendingCalls?: number;
    /** Called with the identity of the peer when a connection is established, and without it when it is lost. */
    readonly onStateChange?: (remote: PeerIdentity | undefined, reason: Error | undefined) => void;
};

type PendingCall = {
    readonly resolve: (payload: unknown) => void;
    readonly reject: (error: PeerError) => void;
    readonly cancelDeadline: () => void;
};

/**
 * Maintains a connection to one address. Calls made while it is down are rejected immediately.
 *
 * @returns The client, not yet connected.
 */
export function dialPeer(options: DialPeerOptions): PeerClient {
    const { clock } = options;
    const counters = options.counters ?? NO_COUNTERS;
    const random = options.random ?? Math.random;
    const closing = new AbortController();
    const pendingCalls = new Map<number, PendingCall>();
    const deadlines = createDeadlineTimer(clock);
    let connection: Connection | undefined;
    let remote: PeerIdentity | undefined;
    let lastError: Error = new Error("The peer has not been reached yet.");
    // A client never reuses an id, so a reply cannot be matched with a call of another connection.
    let lastRequestId = 0;
    const peerName = () => remote?.name ?? options.expectedName ?? `${options.address}:${options.port}`;

    const handleFrame = (frame: PeerFrame) => {
        if (frame.type !== FrameType.Reply && frame.type !== FrameType.Failure) {
            throw new Error(`A frame of type ${frame.type} is not expected.`);
        }
        const call = pendingCalls.get(frame.id);
        if (call === undefined) {
            counters.increment("peers.late_replies");
            return;
        }
        pendingCalls.delete(frame.id);
        call.cancelDeadline();
        if (frame.type === FrameType.Reply) {
            call.resolve(frame.payload);
            return;
        }
        const { code, message } = frame;
        call.reject(new PeerError({ step: PeerStep.Reply, peer: peerName(), message, code }));
    };

    const rejectPendingCalls = (reason: Error) => {
        const calls = [...pendingCalls.values()];
        pendingCalls.clear();
        calls.forEach(call => {
            call.cancelDeadline();
            const { message } = reason;
            call.reject(new PeerError({ step: PeerStep.Reply, peer: peerName(), message, cause: reason }));
        });
    };

    /** Runs one connection from dialing to its loss. Returns the milliseconds for which it was established. */
    const runConnection = async (): Promise<number> => {
        const socket = await connectSocket(options, closing.signal);
        const candidate = createConnection(socket, {
            clock,
            counters,
            heartbeatMilliseconds: options.heartbeatMilliseconds ?? HEARTBEAT_INTERVAL_MS,
            inactivityTimeoutMilliseconds: options.silenceMilliseconds ?? INACTIVITY_TIMEOUT_MS,
            maximumOutgoingBytes: options.maximumOutgoingBytes ?? MAXIMUM_OUTGOING_BYTES,
        });
        const onClosing = () => candidate.drop(closing.signal.reason as Error);
        closing.signal.addEventListener("abort", onClosing, { once: true });
        try {
            closing.signal.throwIfAborted();
            const frames = candidate.frames();
            remote = await performHandshake(candidate, frames, {
                clock,
                self: options.self,
                handshakeTimeoutMilliseconds: options.handshakeMilliseconds ?? HANDSHAKE_TIMEOUT_MS,
                expectedName: options.expectedName,
                address: `${options.address}:${options.port}`,
            });
            const connectedAt = clock.monotonicMilliseconds();
            connection = candidate;
            counters.increment("peers.connections_dialled");
            options.onStateChange?.(remote, undefined);
            const keepAlive = candidate.keepAlive();
            try {
                for await (const frame of frames) {
                    handleFrame(frame);
                }
            }
            catch (error) {
                candidate.drop(error as Error);
            }
            await keepAlive;
            return clock.monotonicMilliseconds() - connectedAt;
        }
        finally {
            closing.signal.removeEventListener("abort", onClosing);
            candidate.drop(new Error("The connection was abandoned."));
            if (connection === candidate) {
                lastError = candidate.lost.reason as Error;
                connection = undefined;
                rejectPendingCalls(lastError);
                remote = undefined;
                counters.increment("peers.connections_lost");
                options.onStateChange?.(undefined, lastError);
            }
        }
    };

    const maintainConnection = async () => {
        let failures = 0;
        while (!closing.signal.aborted) {
            try {
                const uptimeMilliseconds = await runConnection();
                // The back-off also applies to a peer that accepts connections and closes them immediately.
                failures = uptimeMilliseconds >= REDIAL_MAXIMUM_MS ? 0 : failures + 1;
            }
            catch (error) {
                lastError = error as Error;
                failures += 1;
                counters.increment("peers.dial_failures");
            }
            const redialDelay = Math.min(REDIAL_BASE_MS * 2 ** Math.min(failures, 16), REDIAL_MAXIMUM_MS);
            await clock.sleep(redialDelay * (0.5 + random() / 2), closing.signal).catch(() => undefined);
        }
    };
    const task = maintainConnection();

    const call = async (kind: string, payload: unknown, deadlineMilliseconds: number): Promise<unknown> => {
        const createNotSentError = (step: PeerStep, message: string, cause?: unknown) =>
            new PeerError({ step, peer: peerName(), message, isCertainlyNotSent: true, cause });
        if (connection === undefined) {
            throw createNotSentError(PeerStep.Connect, `There is no connection. ${lastError.message}`, lastError);
        }
        if (pendingCalls.size >= (options.maximumPendingCalls ?? 4_096)) {
            counters.increment("peers.pending_calls_full");
            throw createNotSentError(PeerStep.Send, "Too many calls are waiting for a reply.");
        }
        if (!(deadlineMilliseconds > 0)) {
            throw createNotSentError(PeerStep.Send, "The deadline has passed.");
        }
        if (kind.length > MAXIMUM_SHORT_TEXT_LENGTH) {
            throw createNotSentError(PeerStep.Send, `The kind is longer than ${MAXIMUM_SHORT_TEXT_LENGTH} characters.`);
        }
        const deadlineMs = Math.min(deadlineMilliseconds, MAXIMUM_DEADLINE_MS);
        lastRequestId += 1;
        const id = lastRequestId;
        try {
            connection.send({ type: FrameType.Request, id, kind, payload, deadlineMs });
        }
        catch (error) {
            throw createNotSentError(PeerStep.Send, (error as Error).message, error);
        }
        return await new Promise<unknown>((resolve, reject) => {
            const cancelDeadline = deadlines.add(deadlineMs, () => {
                pendingCalls.delete(id);
                counters.increment("peers.call_deadlines");
                const message = `The deadline of ${deadlineMs} ms has passed.`;
                reject(new PeerError({ step: PeerStep.Reply, peer: peerName(), message }));
            });
            pendingCalls.set(id, { resolve, reject, cancelDeadline });
        });
    };

    return {
        get remote() {
            return remote;
        },
        get isConnected() {
            return connection !== undefined;
        },
        call,
        close: async () => {
            closing.abort(new Error("The client was closed."));
            await task;
            deadlines.stop();
        },
    };
}

/**
 * Opens a socket, with TLS when it is configured.
 *
 * @param signal Cancels the attempt.
 * @throws PeerError of the step Connect.
 */
async function connectSocket(options: DialPeerOptions, signal: AbortSignal): Promise<Socket> {
    const { address, port, tls, expectedName } = options;
    let socket: Socket | undefined;
    const onAbort = () => socket?.destroy(signal.reason as Error);
    signal.addEventListener("abort", onAbort, { once: true });
    try {
        const material = tls === undefined ? undefined : await readTlsMaterial(tls);
        signal.throwIfAborted();
        socket = material === undefined
            ? connectTcp({ host: address, port })
            : connectTls({ host: address, port, ...material, minVersion: "TLSv1.3", servername: expectedName ?? "" });
        const timeoutMilliseconds = options.connectMilliseconds ?? CONNECT_TIMEOUT_MS;
        const connected = once(socket, material === undefined ? "connect" : "secureConnect");
        await withDeadline(
            options.clock,
            timeoutMilliseconds,
            connected,
            `The connection was not established within ${timeoutMilliseconds} ms.`,
        );
        return socket;
    }
    catch (error) {
        // No other listener handles an error that is emitted after the deadline.
        socket?.on("error", () => undefined);
        socket?.destroy();
        throw new PeerError({
            step: PeerStep.Connect,
            peer: expectedName ?? `${address}:${port}`,
            message: (error as Error).message,
            isCertainlyNotSent: true,
            cause: error,
        });
    }
    finally {
        signal.removeEventListener("abort", onAbort);
    }
}
