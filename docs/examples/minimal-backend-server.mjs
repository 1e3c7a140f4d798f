// Usage: node minimal-backend-server.mjs SERVICE NAME AVAILABILITY-ZONE ADDRESS PORT ENTRY-ADDRESS:CALLER-PORT...
import { randomUUID } from "node:crypto";
import { createServer } from "node:http";
const [service, name, availabilityZone, address, port, ...entries] = process.argv.slice(2);
const [incarnation, slots] = [randomUUID(), 6];
let [inFlight, leaving] = [0, false];
const server = createServer((request, response) => {
    inFlight += 1;
    response.once("close", () => inFlight -= 1);
    response.end(`${name} answers ${request.method} ${request.url}\n`);
}).listen(Number(port), address, () => console.log(`serving at ${address}:${port}`));
const timer = setInterval(() => {
    const load = { slots, freeSlots: Math.max(0, slots - inFlight), load: Math.min(1, inFlight / slots) };
    const body = JSON.stringify({ address, port: Number(port), availabilityZone, incarnation, leaving, ...load });
    const send = entry => fetch(`http://${entry}/v1/announcements/${service}/${name}`, { method: "PUT", body });
    entries.forEach(entry => send(entry).then(answer => answer.text()).catch(() => undefined));
}, 500);
process.once("SIGTERM", () => {
    leaving = true; // Announced until no entry can still hold an older announcement.
    setTimeout(() => server.close(() => clearInterval(timer)), 3_000);
});
