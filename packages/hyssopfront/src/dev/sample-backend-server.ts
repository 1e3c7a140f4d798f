/**
 * Sample backend server for development: responds to every request and announces itself to all entries.
 */
import type { Clock } from "@hyssopfront/coordination";
import { randomUUID } from "node:crypto";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { request } from "undici";
import { ANNOUNCEMENT_RENEWAL_MS } from "../announcements/announcement.js";

/** A running sample backend server. */
export type SampleBackendServer = {
    readonly name: string;
    /** Announces that the backend server is leaving. Resolves when no request is in flight and the server is closed. */
    stop(): Promise<void>;
};

const SLOTS = 6;

/**
 * Starts a sample backend server on 127.0.0.1.
 *
 * @throws Error when the port is in use.
 */
export async function startSampleBackendServer(options: {
    readonly clock: Clock;
    readonly service: string;
    readonly name: string;
    readonly availabilityZone: string;
    readonly port: number;
    /** Addresses of the entries for callers, each `host:port`. */
    readonly entries: readonly string[];
}): Promise<SampleBackendServer> {
    const { clock, service, name, availabilityZone, entries } = options;
    let incarnation = randomUUID();
    const stopping = new AbortController();
    let inFlight = 0;
    let isDrained = false;
    const server = createServer((incoming, response) => {
        inFlight += 1;
        response.once("close", () => inFlight -= 1);
        incoming.resume();
        const body = JSON.stringify({ service, backendServer: name, method: incoming.method, path: incoming.url });
        response.writeHead(200, { "content-type": "application/json" }).end(`${body}\n`);
    });
    server.listen(options.port, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;

    const announceTo = async (entry: string, leaving: boolean) => {
        const response = await request(`http://${entry}/v1/announcements/${service}/${name}`, {
            method: "PUT",
            headers: { "content-type": "application/json" },
            body: JSON.stringify({
                address: "127.0.0.1",
                port,
                availabilityZone,
                incarnation,
                slots: SLOTS,
                freeSlots: Math.max(0, SLOTS - inFlight),
                load: Math.min(1, inFlight / SLOTS),
                leaving,
            }),
        });
        const responseBody = await response.body.json() as { draining?: boolean };
        return responseBody.draining === true;
    };
    const announce = async (leaving: boolean) => {
        const drainFlags = await Promise.all(entries.map(entry => announceTo(entry, leaving).catch(() => false)));
        const wasDrained = isDrained;
        // A drain reported by one entry is announced to all, so that it also reaches entries cut off from control.
        isDrained = drainFlags.some(Boolean);
        if (wasDrained && !isDrained) {
            // Entries ignore further announcements of an incarnation that has left.
            incarnation = randomUUID();
        }
    };
    const announceUntilStopped = async () => {
        while (!stopping.signal.aborted) {
            await announce(isDrained);
            await clock.sleep(ANNOUNCEMENT_RENEWAL_MS, stopping.signal).catch(() => undefined);
        }
    };
    const announcing = announceUntilStopped();
    return {
        name,
        stop: async () => {
            stopping.abort(new Error("The backend server is leaving."));
            await announcing;
            await announce(true);
            await new Promise<void>(resolve => {
                server.close(() => resolve());
                server.closeIdleConnections();
            });
        },
    };
}
