/**
 * An operator removes a service that a route still names. The configuration is invalid then, but the call is acknowledged
 * and takes effect.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { createCase, HAS_TROUBLE, sleep } from "../stand-ins-3/harness.mjs";

const test = await createCase(dirname(fileURLToPath(import.meta.url)));
const { record } = test;
[1, 2, 3].forEach(index => test.start("control", index, { isFirstStart: true }));
await sleep(1_500);
const resources = [
    test.serviceItem("comenzi"),
    test.serviceItem("stoc"),
    test.serviceItem("arhiva"),
    test.route({ name: "r-1", host: "a.example", prefix: "/orders/", kind: "unsafe", service: "comenzi" }),
    test.route({ name: "r-2", host: "a.example", prefix: "/stock/", kind: "safe", service: "stoc" }),
    test.limits(),
];
const first = await test.order("config.patch", { upsert: { resources }, remove: { routes: [] } });
if (first.status !== 200) {
    test.finish(2, "could not run: the configuration was not accepted");
}
// No route names the other service, so that its removal is valid.
const removed = HAS_TROUBLE ? "comenzi" : "arhiva";
record(`operator: removes the service ${removed}`);
const removal = await test.order("config.patch", {
    upsert: { resources: [] },
    remove: { services: [{ name: removed, version: 2 }] },
});
await sleep(3_000);
const { status, body } = await test.order("config.get");
if (removal.status === 0 || status !== 200) {
    test.finish(2, "could not run: no clear response");
}
const held = JSON.parse(body.toString()).resources;
const services = new Set(
    held.filter(({ resource_type: type }) => type === "services").map(({ metadata }) => metadata.name),
);
const invalidRoutes = held.filter(({ resource_type: type, spec }) => type === "routes" && !services.has(spec.service));
invalidRoutes.forEach(({ metadata, spec }) =>
    record(`read back: the route ${metadata.name} names the service ${spec.service}, which is not in the configuration`)
);
record(`read back: services ${[...services].join(", ")}`);
const again = await test.order("config.patch", {
    upsert: {
        resources: held.map(item => ({ ...item, metadata: { ...item.metadata, version: item.metadata.version + 10 } })),
    },
    remove: { routes: [] },
});
record(`operator: what was read back, sent as a new version, is answered ${again.status}`);
const isBroken = HAS_TROUBLE && (removal.status < 400 || invalidRoutes.length > 0);
test.finish(
    isBroken || invalidRoutes.length > 0 ? 1 : 0,
    `CONFIG: the removal is answered ${removal.status}; ${invalidRoutes.length} routes in force name an unknown service`,
);
