// Usage: node backend-server.mjs SERVICE NAME AVAILABILITY-ZONE ADDRESS PORT ENTRY-ADDRESS:CALLER-PORT...
import { randomUUID } from "node:crypto";
import { createServer } from "node:http";
import { setTimeout as delay } from "node:timers/promises";

const [service, name, availabilityZone, address, port, ...entries] = process.argv.slice(2);
const slots = 6;
let [incarnation, inFlight, isDrained, endsAt] = [randomUUID(), 0, false, Infinity];

const server = createServer(async (request, response) => {
    if (inFlight >= slots) {
        return response.writeHead(503, { "Hyssop-Refused": "true", "Content-Length": 0 }).end();
    }
    inFlight += 1;
    response.once("close", () => inFlight -= 1);
    await delay(Number(new URL(request.url, "http://host").searchParams.get("milliseconds"))); // The work.
    response.end(`${name} answers ${request.method} ${request.url}\n`);
}).listen(Number(port), address, () => console.log(`serving at ${address}:${port}`));

// Entries that cannot be reached forget the last announcement within 3 s: 1 s on its way and 2 s of its life.
process.once("SIGTERM", () => endsAt = Date.now() + 3_000);
while (Date.now() < endsAt) {
    const leaving = isDrained || endsAt < Infinity;
    const load = { slots, freeSlots: slots - inFlight, load: inFlight / slots };
    const body = JSON.stringify({ address, port: Number(port), availabilityZone, incarnation, leaving, ...load });
    const options = () => ({ method: "PUT", body, signal: AbortSignal.timeout(1_000) });
    const answers = await Promise.all(
        entries.map(entry =>
            fetch(`http://${entry}/v1/announcements/${service}/${name}`, options())
                .then(answer => answer.json()).catch(() => ({}))
        ),
    );
    const isDraining = answers.some(({ draining }) => draining);
    // Entries take nothing more from an incarnation that has left.
    incarnation = isDrained && !isDraining ? randomUUID() : incarnation;
    isDrained = isDraining;
    await delay(500);
}
server.close(); // Requests in flight are still answered.
