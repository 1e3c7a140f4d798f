/**
 * Copies the bytes of one direction of a proxied connection, subject to faults.
 */
import type { Clock } from "@hyssopfront/coordination";
import { once } from "node:events";
import type { Socket } from "node:net";

export enum Flow {
    Open = "open",
    /** Bytes and the end of the stream are buffered until the flow is open again, as in a partition that heals. */
    Held = "held",
    /** All further bytes and the end of the stream are discarded permanently, and the connection stays open. */
    Dropped = "dropped",
}

export type DirectionFaults = {
    readonly delayMilliseconds: number;
    readonly bytesPerSecond: number;
    readonly flow: Flow;
    /** Resolves when the faults change. */
    readonly changed: Promise<void>;
};

export type PumpOptions = {
    readonly clock: Clock;
    readonly from: Socket;
    readonly to: Socket;
    readonly faults: () => DirectionFaults;
    readonly signal: AbortSignal;
};

type Chunk = { readonly bytes: Buffer; readonly dueAt: number };

/** Bytes that may be buffered in one direction. Above it the proxy stops reading, so that the sender is slowed down. */
const MAXIMUM_BUFFERED_BYTES = 1024 * 1024;
/** Writes per second in a direction with a limited byte rate. */
const PACED_WRITES_PER_SECOND = 50;

/**
 * Copies bytes in order until the stream ends.
 *
 * @returns A promise that resolves when the end was forwarded or the signal was aborted. It stays pending once the flow
 * was dropped.
 */
export async function pumpBytes(options: PumpOptions): Promise<void> {
    const { clock, from, to, signal } = options;
    const chunks: Chunk[] = [];
    let bufferedBytes = 0;
    let isEnded = false;
    let isReset = false;
    let isDropped = false;
    let wake: () => void = () => undefined;
    const aborted = new Promise<void>(resolve => signal.addEventListener("abort", () => resolve(), { once: true }));
    const waitForChunk = () => new Promise<void>(resolve => wake = resolve);

    const dueAfter = (milliseconds: number) => clock.monotonicMilliseconds() + milliseconds;
    from.on("data", (bytes: Buffer) => {
        chunks.push({ bytes, dueAt: dueAfter(options.faults().delayMilliseconds) });
        bufferedBytes += bytes.length;
        if (bufferedBytes > MAXIMUM_BUFFERED_BYTES) {
            from.pause();
        }
        wake();
    });
    const end = () => {
        if (!isEnded) {
            isEnded = true;
            chunks.push({ bytes: Buffer.alloc(0), dueAt: dueAfter(options.faults().delayMilliseconds) });
            wake();
        }
    };
    from.on("end", end);
    from.on("close", end);
    from.on("error", () => {
        isReset = true;
        end();
    });

    const waitUntilFlowing = async () => {
        for (let faults = options.faults(); faults.flow !== Flow.Open && !signal.aborted; faults = options.faults()) {
            isDropped ||= faults.flow === Flow.Dropped;
            if (isDropped) {
                return;
            }
            await Promise.race([faults.changed, aborted]);
        }
    };
    const writePaced = async (bytes: Buffer) => {
        for (let position = 0; position < bytes.length && !signal.aborted && !to.destroyed;) {
            const { bytesPerSecond } = options.faults();
            const length = Math.max(Math.floor(bytesPerSecond / PACED_WRITES_PER_SECOND), 1);
            const slice = bytes.subarray(position, position + length);
            position += slice.length;
            if (Number.isFinite(bytesPerSecond)) {
                await clock.sleep(slice.length / bytesPerSecond * 1_000, signal);
            }
            if (!to.write(slice)) {
                await waitForDrain(to, signal);
            }
        }
    };
    const takeChunk = async (): Promise<Chunk | undefined> => {
        while (chunks.length === 0 && !signal.aborted) {
            await Promise.race([waitForChunk(), aborted]);
        }
        return signal.aborted ? undefined : chunks.shift();
    };

    try {
        for (let chunk = await takeChunk(); chunk !== undefined; chunk = await takeChunk()) {
            const wait = chunk.dueAt - clock.monotonicMilliseconds();
            if (wait > 0) {
                await clock.sleep(wait, signal);
            }
            await waitUntilFlowing();
            bufferedBytes -= chunk.bytes.length;
            from.resume();
            if (isDropped) {
                continue;
            }
            if (chunk.bytes.length > 0) {
                await writePaced(chunk.bytes);
                continue;
            }
            if (isReset) {
                resetSocket(to);
            }
            else {
                to.end();
            }
            return;
        }
    }
    catch (error) {
        // Waits reject when the signal is aborted; every other error is unexpected.
        if (!signal.aborted) {
            throw error;
        }
    }
}

/**
 * Resets a connection. A socket that is still connecting or already ended is destroyed without a reset, because Node
 * never releases it after a reset.
 */
export function resetSocket(socket: Socket): void {
    if (socket.connecting || socket.writableEnded) {
        socket.destroy();
    }
    else {
        socket.resetAndDestroy();
    }
}

/** Waits until the socket accepts more bytes, is closed, or the signal is aborted. */
async function waitForDrain(socket: Socket, signal: AbortSignal): Promise<void> {
    const waitController = new AbortController();
    const stop = () => waitController.abort();
    signal.addEventListener("abort", stop, { once: true });
    socket.once("close", stop);
    await once(socket, "drain", { signal: waitController.signal }).catch(() => undefined);
    signal.removeEventListener("abort", stop);
    socket.off("close", stop);
}
