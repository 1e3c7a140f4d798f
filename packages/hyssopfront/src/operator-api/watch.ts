/**
 * Streams changes as JSON lines.
 */
import type { ServerResponse } from "node:http";
import type { OperatorApiBackend } from "./messages.js";
import { ApiError, writeChunk } from "./responses.js";

/** A line is sent at least this often, so that both ends detect a lost connection. */
export const WATCH_PROGRESS_INTERVAL_MS = 10_000;

/** Start, timing and end of one watch. */
export type WatchOptions = {
    readonly afterRevision: number;
    readonly progressIntervalMilliseconds?: number;
    readonly slowReaderTimeoutMilliseconds?: number;
    /** Ends the watch cleanly, at the end of a line. */
    readonly signal: AbortSignal;
};

/**
 * Streams the changes after a revision until the signal aborts or the client disconnects. While nothing changes, lines
 * of the type `progress` carry the revision to resume from.
 *
 * @throws ApiError 410 when the changes after the revision are no longer stored. Once the headers have been sent, the
 * watch ends with a line of the type `tooOld` instead.
 */
export async function streamWatch(
    backend: Pick<OperatorApiBackend, "watch">,
    response: ServerResponse,
    options: WatchOptions,
): Promise<void> {
    const { signal } = options;
    const write = (line: unknown) =>
        writeChunk(response, `${JSON.stringify(line)}\n`, options.slowReaderTimeoutMilliseconds);
    let revision = options.afterRevision;
    let waitMilliseconds = 0;
    while (!signal.aborted && !response.destroyed) {
        const batch = await backend.watch(revision, waitMilliseconds, signal);
        if (batch.isTooOld) {
            const { oldestRevision } = batch;
            const message = `Changes after revision ${revision} are no longer kept. Read all objects and watch again.`;
            if (!response.headersSent) {
                throw new ApiError(410, "tooOld", message, { oldestRevision });
            }
            await write({ type: "tooOld", message, oldestRevision });
            break;
        }
        if (!response.headersSent) {
            response.writeHead(200, { "Content-Type": "application/x-ndjson", "Cache-Control": "no-store" });
            response.flushHeaders();
        }
        for (const event of batch.events) {
            await write(event);
        }
        revision = Math.max(revision, batch.revision);
        if (batch.events.length === 0) {
            await write({ type: "progress", revision });
        }
        waitMilliseconds = options.progressIntervalMilliseconds ?? WATCH_PROGRESS_INTERVAL_MS;
    }
    response.end();
}
