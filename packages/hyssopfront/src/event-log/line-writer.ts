/**
 * Buffered writer of lines. Each line is written whole or dropped whole and counted: one write is in progress at a time,
 * and the rest of a write that was partial or failed is written before anything else. Not left to sonic-boom, whose
 * flush before an exit discards the rest of a write in progress and repeats a failing write without end.
 */
import type { Clock } from "@hyssopfront/coordination";

/** Buffered lines are written once they reach this size, or after the flush interval. */
const WRITE_BYTES = 4_096;
const WRITE_INTERVAL_MS = 250;
/** Maximum size of one write, in bytes, unless a line is longer: PIPE_BUF, up to which writes to a pipe are atomic. */
const MAXIMUM_WRITE_BYTES = 4_096;
/** Maximum size of the buffer, which fills up while nothing can be written. Further lines are dropped and counted. */
const MAXIMUM_BUFFERED_BYTES = 1024 * 1024;
/** Pause after a failed write, in milliseconds. */
const RETRY_PAUSE_MS = 100;
/** Default of the maximum duration of a flush, in milliseconds, so that a reader that has stopped cannot keep a process from exiting. */
const FLUSH_TIMEOUT_MS = 500;

/** A destination whose reader is slow is not a failure. */
const FULL_CODES: ReadonlySet<unknown> = new Set(["EAGAIN", "EBUSY"]);
/** The destination has no reader any more. */
const CLOSED_CODE = "EPIPE";

/** What happened to the destination until all buffered lines could be written again. */
export type WriteTrouble = {
    readonly failedWrites: number;
    readonly droppedLines: number;
    /** Last error, or `undefined` if no write failed. */
    readonly error: unknown;
};

/** Writer of lines. */
export type LineWriter = {
    /** Buffers a line that ends with a line feed. Never blocks and never throws. */
    write(line: string): void;
    /** Writes the buffered lines. Resolves once that is done, or after a timeout, by default 500 ms. Never rejects. */
    flush(timeoutMilliseconds?: number): Promise<void>;
};

/** Dependencies of a writer. */
export type LineWriterOptions = {
    readonly clock: Clock;
    /** Writes bytes to the destination and returns how many of them were written. */
    readonly writeBytes: (bytes: Uint8Array) => Promise<number>;
    /** Called for each dropped line. */
    readonly onDropped: () => void;
    /** Called once all buffered lines are written after writes have failed or lines were dropped. */
    readonly onResumed: (trouble: WriteTrouble) => void;
};

const NO_TROUBLE: WriteTrouble = { failedWrites: 0, droppedLines: 0, error: undefined };

/** Creates a writer. */
export function createLineWriter({ clock, writeBytes, onDropped, onResumed }: LineWriterOptions): LineWriter {
    let lines: string[] = [];
    let bufferedBytes = 0;
    /** Whole lines that are being written, without the bytes that have been written. */
    let rest: Uint8Array = new Uint8Array();
    let writing: Promise<void> | undefined;
    let isScheduled = false;
    let isClosed = false;
    let trouble = NO_TROUBLE;

    const drop = () => {
        trouble = { ...trouble, droppedLines: trouble.droppedLines + 1 };
        onDropped();
    };
    const takeLines = () => {
        let bytes = 0;
        const count = lines.findIndex(line => {
            bytes += Buffer.byteLength(line);
            return bytes > MAXIMUM_WRITE_BYTES;
        });
        return Buffer.from(lines.splice(0, count < 0 ? lines.length : Math.max(count, 1)).join(""));
    };
    const close = () => {
        isClosed = true;
        const unwritten = [...Buffer.from(rest).toString().matchAll(/\n/g), ...lines];
        rest = new Uint8Array();
        lines = [];
        bufferedBytes = 0;
        unwritten.forEach(drop);
    };
    const onWriteFailed = async (error: unknown) => {
        const code = (error as NodeJS.ErrnoException).code;
        if (!FULL_CODES.has(code)) {
            trouble = { ...trouble, failedWrites: trouble.failedWrites + 1, error };
        }
        if (code === CLOSED_CODE) {
            close();
        }
        else {
            await clock.sleep(RETRY_PAUSE_MS);
        }
    };
    const writeAll = async () => {
        while (rest.length > 0 || lines.length > 0) {
            rest = rest.length > 0 ? rest : takeLines();
            try {
                const count = await writeBytes(rest);
                rest = rest.subarray(count);
                bufferedBytes -= count;
            }
            catch (error) {
                await onWriteFailed(error);
            }
        }
    };
    const startWriting = () => {
        writing ??= writeAll().then(() => {
            writing = undefined;
            if (trouble !== NO_TROUBLE && !isClosed) {
                const ended = trouble;
                trouble = NO_TROUBLE;
                onResumed(ended);
            }
        });
        return writing;
    };
    const scheduleWrite = () => {
        if (!isScheduled && writing === undefined) {
            isScheduled = true;
            void clock.sleep(WRITE_INTERVAL_MS).then(() => {
                isScheduled = false;
                void startWriting();
            });
        }
    };

    return {
        write: line => {
            const bytes = Buffer.byteLength(line);
            if (isClosed || bufferedBytes + bytes > MAXIMUM_BUFFERED_BYTES) {
                drop();
                return;
            }
            lines.push(line);
            bufferedBytes += bytes;
            if (bufferedBytes >= WRITE_BYTES) {
                void startWriting();
            }
            else {
                scheduleWrite();
            }
        },
        flush: async (timeoutMilliseconds = FLUSH_TIMEOUT_MS) => {
            const timeout = new AbortController();
            const writeRemaining = async () => {
                while (rest.length > 0 || lines.length > 0) {
                    await startWriting();
                }
            };
            await Promise.race([
                writeRemaining(),
                clock.sleep(timeoutMilliseconds, timeout.signal).catch(() => undefined),
            ]);
            timeout.abort();
        },
    };
}
