/**
 * Handshake of a connection: each side sends its identity and checks that of the other.
 */
import type { Clock } from "../clock/clock.js";
import { withDeadline } from "../clock/deadline.js";
import type { Connection } from "./connection.js";
import { FrameType, HANDSHAKE_FAILURE_ID, type HelloFrame, type PeerFrame, PROTOCOL_VERSION } from "./messages.js";
import { PeerError, PeerFailureCode, PeerStep } from "./peer-error.js";
import type { PeerIdentity } from "./peer.js";

/** Timeout for establishing a TCP connection, TLS handshake included. */
export const CONNECT_TIMEOUT_MS = 1_000;
/** Timeout for the hello frame of the other side. */
export const HANDSHAKE_TIMEOUT_MS = 1_000;

/** Options of `performHandshake`. */
export type HandshakeOptions = {
    readonly clock: Clock;
    readonly self: PeerIdentity;
    readonly handshakeTimeoutMilliseconds: number;
    /** Name that the other side must have. */
    readonly expectedName?: string;
    /** Address of the other side, for error messages. */
    readonly address: string;
};

/**
 * Exchanges hello frames. On a mismatch the other side is sent the reason and the connection is closed.
 *
 * @param frames Frames of the connection; exactly one is consumed.
 * @returns The identity of the other side.
 * @throws PeerError of the step Handshake.
 */
export async function performHandshake(
    connection: Connection,
    frames: AsyncGenerator<PeerFrame, void, void>,
    options: HandshakeOptions,
): Promise<PeerIdentity> {
    try {
        const { clusterId, name, incarnation, role, availabilityZone } = options.self;
        connection.send({
            type: FrameType.Hello,
            protocolVersion: PROTOCOL_VERSION,
            clusterId,
            name,
            incarnation,
            role,
            availabilityZone,
        });
        const first = await withDeadline(
            options.clock,
            options.handshakeTimeoutMilliseconds,
            frames.next(),
            `No hello arrived within ${options.handshakeTimeoutMilliseconds} ms.`,
        );
        if (first.done) {
            throw new Error("The connection was closed during the handshake.");
        }
        const remote = checkHello(first.value, options);
        connection.acceptLongFrames();
        return remote;
    }
    catch (error) {
        const failure = error instanceof PeerError ? error : new PeerError({
            step: PeerStep.Handshake,
            peer: options.address,
            message: (error as Error).message,
            isCertainlyNotSent: true,
            cause: error,
        });
        connection.drop(failure);
        throw failure;
    }

    function checkHello(frame: PeerFrame, { self, expectedName, address }: HandshakeOptions): PeerIdentity {
        const rejectHandshake = (message: string, isPeerNotified = true) => {
            if (isPeerNotified) {
                const code = PeerFailureCode.HandshakeRefused;
                connection.send({ type: FrameType.Failure, id: HANDSHAKE_FAILURE_ID, code, message });
            }
            const error = new PeerError({
                step: PeerStep.Handshake,
                peer: address,
                message,
                isCertainlyNotSent: true,
                code: PeerFailureCode.HandshakeRefused,
            });
            connection.end(error);
            return error;
        };
        if (frame.type === FrameType.Failure) {
            throw rejectHandshake(frame.message, false);
        }
        if (frame.type !== FrameType.Hello) {
            throw rejectHandshake(`The first frame is ${frame.type} instead of ${FrameType.Hello}.`);
        }
        const mismatch = findMismatch(frame, self, expectedName);
        if (mismatch !== undefined) {
            throw rejectHandshake(mismatch);
        }
        const { clusterId, name, incarnation, role, availabilityZone } = frame;
        return { clusterId, name, incarnation, role, availabilityZone };
    }
}

function findMismatch(hello: HelloFrame, self: PeerIdentity, expectedName: string | undefined): string | undefined {
    if (hello.protocolVersion !== PROTOCOL_VERSION) {
        return `${hello.name} speaks protocol version ${hello.protocolVersion} and ${self.name} speaks version `
            + `${PROTOCOL_VERSION}.`;
    }
    if (hello.clusterId !== self.clusterId) {
        return `${hello.name} belongs to cluster ${hello.clusterId} and ${self.name} to cluster ${self.clusterId}.`;
    }
    if (expectedName !== undefined && hello.name !== expectedName) {
        return `The peer is ${hello.name} instead of ${expectedName}.`;
    }
    return undefined;
}
