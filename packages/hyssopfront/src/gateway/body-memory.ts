/**
 * Bounds the memory that the buffered bodies of all requests and responses take together.
 */
import type { IncomingMessage, ServerResponse } from "node:http";

/**
 * Largest number of bytes of bodies that an entry buffers at once: a tenth of the memory of the smallest instances, 346 MB,
 * as up to four times as much is in use until the chunks of a body and its copies are collected.
 */
const MAXIMUM_BODY_MEMORY_BYTES = 32 * 1024 * 1024;

/** Bytes that one request has reserved for its body and its response. */
export type BodyMemoryReservation = {
    /** Reserves more bytes, or none and returns false if the memory is exhausted. A body is then streamed instead. */
    tryReserve(bytes: number): boolean;
    /** Returns all bytes. */
    release(): void;
};

/** Memory for the buffered bodies of an entry. */
export type BodyMemory = {
    createReservation(): BodyMemoryReservation;
    /** Bytes that are reserved now. */
    readonly reservedBytes: number;
};

/** Creates the memory of an entry, of which nothing is reserved. */
export function createBodyMemory(maximumBytes = MAXIMUM_BODY_MEMORY_BYTES): BodyMemory {
    let reservedBytes = 0;
    return {
        createReservation: () => {
            let ownBytes = 0;
            return {
                tryReserve: bytes => {
                    if (reservedBytes + bytes > maximumBytes) {
                        return false;
                    }
                    reservedBytes += bytes;
                    ownBytes += bytes;
                    return true;
                },
                release: () => {
                    reservedBytes -= ownBytes;
                    ownBytes = 0;
                },
            };
        },
        get reservedBytes() {
            return reservedBytes;
        },
    };
}

/** Returns the bytes of a request once its response has been sent or its connection is closed. */
export function releaseWhenSent(
    reservation: BodyMemoryReservation,
    message: IncomingMessage,
    response: ServerResponse,
): void {
    if (response.writableFinished || response.destroyed || message.socket.destroyed) {
        reservation.release();
        return;
    }
    response.once("close", reservation.release);
    if (!response.socket) {
        // The response to a pipelined request waits for earlier ones, and may not be closed with its connection.
        message.socket.once("close", reservation.release);
    }
}
