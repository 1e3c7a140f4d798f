/**
 * Bounds the connections that the servers of a process accept, so that descriptors are left for its own connections.
 */
import { readFileSync } from "node:fs";
import type { Server, Socket } from "node:net";
import { RefusalReason } from "./refusals.js";
import type { UnfinishedBodies } from "./unfinished-bodies.js";

/** Share of the descriptors that are left for connections to backend servers and other instances. */
const RESERVED_SHARE = 0.25;
/** Descriptors that are left at least, for files and the first connections to other instances. */
const MINIMUM_RESERVED_DESCRIPTORS = 64;

/** The accepted connections of a process. */
export type ConnectionLimit = {
    readonly maximum: number;
    open: number;
};

/** Returns the number of descriptors that this process may open; Infinity if the system does not tell. */
export function readDescriptorLimit(): number {
    try {
        const limit = /^Max open files\s+(\d+)/m.exec(readFileSync("/proc/self/limits", "utf8"))?.[1];
        return limit === undefined ? Infinity : Number(limit);
    }
    catch {
        // Systems without this file have no limit that could be read without a native module.
        return Infinity;
    }
}

/** Creates the limit of a process that may open this number of descriptors. */
export function createConnectionLimit(descriptors: number): ConnectionLimit {
    const reserved = Math.max(MINIMUM_RESERVED_DESCRIPTORS, descriptors * RESERVED_SHARE);
    return {
        maximum: Number.isFinite(descriptors) ? Math.max(1, Math.floor(descriptors - reserved)) : Infinity,
        open: 0,
    };
}

/**
 * Limits the connections of a server. Beyond the limit, a new connection replaces one with a body that has made no
 * progress for some time, or is closed if there is none.
 */
export function limitConnections(server: Server, limit: ConnectionLimit, bodies: UnfinishedBodies): void {
    server.on("connection", (connection: Socket) => {
        limit.open += 1;
        connection.once("close", () => limit.open -= 1);
        if (limit.open > limit.maximum && !bodies.closeStalled()) {
            bodies.report(RefusalReason.TooManyConnections);
            connection.destroy();
        }
    });
}
