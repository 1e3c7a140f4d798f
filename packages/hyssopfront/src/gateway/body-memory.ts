/**
 * Bounds the memory that the buffered bodies of all requests and responses take together.
 */
import type { IncomingMessage, ServerResponse } from "node:http";

/**
 * Largest number of bytes of bodies that an instance buffers at once: a tenth of the memory of an instance with 346 MB, as
 * up to four times as much is in use until the chunks of a body and its copies are collected.
 */
const MAXIMUM_BODY_MEMORY_BYTES = 32 * 1024 * 1024;
/** Memory of a process without clients, in bytes, which is the same on small instances. */
const IDLE_PROCESS_BYTES = 130_000_000;
/** Share of the other memory of a smaller instance for buffered bodies, which gives the same at 346 MB. */
const BODY_MEMORY_SHARE = 0.15;
/** Share of the memory that is used at least for these shares, so that a very small instance still serves bodies. */
const MINIMUM_SHARE = 0.25;
/**
 * Memory of a body that is streamed, in bytes: what two reads of its connection return, and as much that waits for the
 * backend server.
 */
const STREAM_BYTES = 256 * 1024;
/** Share of the memory beyond that of an idle process for bodies that are streamed. */
const STREAM_MEMORY_SHARE = 0.25;
/** Largest number of bodies that an instance of unknown memory streams at once, as one with 256 MiB. */
const MAXIMUM_STREAMS = 128;

/** There is no memory for a body. The request was not run. */
export class NoBodyMemoryError extends Error {
    readonly step = "read the body";
    constructor() {
        super("There is no memory for the body.");
        this.name = "NoBodyMemoryError";
    }
}

/** Bytes that one request has reserved for its body and its response. */
export type BodyMemoryReservation = {
    /** Reserves more bytes, or none and returns false if the memory is exhausted. A body is then streamed instead. */
    tryReserve(bytes: number): boolean;
    /** Reserves the memory that streaming the body takes, or returns false if too many bodies are streamed. */
    tryReserveStream(): boolean;
    /** Returns all bytes. */
    release(): void;
};

/** Memory for the buffered bodies of an entry. */
export type BodyMemory = {
    createReservation(): BodyMemoryReservation;
    /** Bytes that all requests together can reserve. */
    readonly maximumBytes: number;
    /** Bytes that are reserved now. */
    readonly reservedBytes: number;
};

/** Creates the memory for bodies of an instance with this memory, in bytes; undefined if it is not known. */
export function createInstanceBodyMemory(instanceBytes: number | undefined): BodyMemory {
    if (instanceBytes === undefined) {
        return createBodyMemory();
    }
    const bytes = Math.max(instanceBytes * MINIMUM_SHARE, instanceBytes - IDLE_PROCESS_BYTES);
    return createBodyMemory(
        Math.min(MAXIMUM_BODY_MEMORY_BYTES, bytes * BODY_MEMORY_SHARE),
        Math.ceil(bytes * STREAM_MEMORY_SHARE / STREAM_BYTES),
    );
}

/** Creates memory for bodies, of which nothing is reserved. */
export function createBodyMemory(
    maximumBytes = MAXIMUM_BODY_MEMORY_BYTES,
    maximumStreams = MAXIMUM_STREAMS,
): BodyMemory {
    let reservedBytes = 0;
    let streams = 0;
    return {
        maximumBytes,
        createReservation: () => {
            let ownBytes = 0;
            let ownStreams = 0;
            return {
                tryReserve: bytes => {
                    if (reservedBytes + bytes > maximumBytes) {
                        return false;
                    }
                    reservedBytes += bytes;
                    ownBytes += bytes;
                    return true;
                },
                tryReserveStream: () => {
                    if (streams >= maximumStreams) {
                        return false;
                    }
                    streams += 1;
                    ownStreams += 1;
                    return true;
                },
                release: () => {
                    reservedBytes -= ownBytes;
                    ownBytes = 0;
                    streams -= ownStreams;
                    ownStreams = 0;
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
