import { After, Given, Then, When } from "@cucumber/cucumber";
import {
    makeControlSettings,
    reserveControlInstances,
    type ReservedInstances,
} from "@hyssopfront/bench/control/control-cluster.ts";
import { sendOperatorRequest } from "@hyssopfront/bench/control/operator-client.ts";
import { type SimulatedEntry, startSimulatedEntry } from "@hyssopfront/bench/control/simulated-entry.ts";
import { createSystemClock } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { BudgetUnit } from "../admission/admission.js";
import { shiftRequestsKey } from "../admission/budgets.js";
import { PeerRequestKind, RenewSessionResult } from "../sessions/messages.js";
import type { ControlInstanceSettings } from "./control-settings.js";
import { type Control, startControl } from "./start-control.js";

const WAIT_MS = 20_000;
/** A segment holds only a few log entries, so that compaction drops a part of the log soon. */
const SEGMENT_BYTES = 2_048;
const CLUSTER_ID = "compaction";

const clock = createSystemClock();
let folder: string | undefined;
let reserved: ReservedInstances;
let instances: readonly ControlInstanceSettings[];
let controls: Map<string, Control>;
let entry: SimulatedEntry | undefined;
let snapshotEveryEntries: number;
let revisions: Map<string, number>;
let incrementedCounters: Set<string>;

const getName = (number: number) => instances[number - 1]?.name as string;
const send = (number: number, method: string, path: string, options = {}) =>
    sendOperatorRequest({ instances }, getName(number), method, path, options);

const start = async (name: string) => {
    const settings = makeControlSettings(CLUSTER_ID, instances, name, folder as string);
    const counters = { increment: (counter: string) => void incrementedCounters.add(counter), gauge: () => undefined };
    const options = { snapshotEveryEntries, segmentBytes: SEGMENT_BYTES, counters };
    controls.set(name, await startControl(settings, clock, options));
};

const waitFor = async <T>(what: string, poll: () => Promise<T | undefined> | T | undefined): Promise<T> => {
    const deadline = clock.monotonicMilliseconds() + WAIT_MS;
    for (;;) {
        const found = await poll();
        if (found !== undefined) {
            return found;
        }
        assert.equal(clock.monotonicMilliseconds() < deadline, true, `${what} did not occur in time.`);
        await clock.sleep(20);
    }
};

const put = async (path: string, spec: unknown) => {
    const response = await send(1, "PUT", path, { body: { spec } });
    assert.equal(response.statusCode, 201, JSON.stringify(response.body));
    const revision = response.body.revision as number;
    revisions.set(path, revision);
    return revision;
};

const putMany = async (count: number) => {
    for (let index = 0; index < count; index += 1) {
        await put(`/v1/regions/region-${index}`, { links: [] });
    }
};

const listRevisions = async (number: number, query = "") => {
    const { body } = await send(number, "GET", `/v1/regions${query}`);
    const items = body.items as { name: string; revision: number }[];
    return new Map(items.map(({ name, revision }) => [`/v1/regions/${name}`, revision]));
};

Given(
    /^(\d+) control instances? that takes? a snapshot after every (\d+) log entries$/,
    { timeout: 30_000 },
    async (count: string, every: string) => {
        folder = mkdtempSync(join(tmpdir(), "compaction-"));
        reserved = await reserveControlInstances(Number(count));
        ({ instances } = reserved);
        snapshotEveryEntries = Number(every);
        controls = new Map();
        revisions = new Map();
        incrementedCounters = new Set();
        await Promise.all(instances.map(({ name }) => start(name)));
    },
);

After(async () => {
    await entry?.stop();
    entry = undefined;
    if (folder !== undefined) {
        await Promise.all([...controls.values()].map(control => control.stop()));
        await reserved.release();
        rmSync(folder, { recursive: true, force: true });
        folder = undefined;
    }
});

When("{int} resources are put and the instance restarts", { timeout: 30_000 }, async (count: number) => {
    await putMany(count);
    await controls.get(getName(1))?.stop();
    await start(getName(1));
});

Then("all resources have their revisions", async () => {
    assert.deepEqual([...await listRevisions(1)].sort(), [...revisions].sort());
});

Then(
    "a watch from revision 0 gets 410 with the oldest revision, and one from there gets each later change",
    async () => {
        const { statusCode, body } = await send(1, "GET", "/v1/watch?fromRevision=0");
        const oldest = body.oldestRevision as number;
        assert.deepEqual([statusCode, body.error], [410, "tooOld"]);
        const laterRevisions = [...revisions.values()].filter(revision => revision > oldest);
        assert.equal(
            laterRevisions.length > 0 && laterRevisions.length < revisions.size,
            true,
            `${laterRevisions.length} changes are still readable.`,
        );
        const controller = new AbortController();
        const url = `http://127.0.0.1:${instances[0]?.operatorPort}/v1/watch?fromRevision=${oldest}`;
        const response = await fetch(url, { signal: controller.signal });
        let text = "";
        const decoder = new TextDecoder();
        for await (const chunk of response.body ?? []) {
            text += decoder.decode(chunk as Uint8Array);
            if (text.includes(`"revision":${laterRevisions.at(-1)},`) && text.endsWith("\n")) {
                break;
            }
        }
        controller.abort();
        const seen = text.trim().split("\n").map(line => (JSON.parse(line) as { revision: number }).revision);
        assert.deepEqual(seen, laterRevisions);
    },
);

const startEntry = (options: Partial<Parameters<typeof startSimulatedEntry>[0]>) => {
    entry = startSimulatedEntry({
        clock,
        clusterId: CLUSTER_ID,
        name: "entry-1",
        peerPort: 4_000,
        instances,
        ...options,
    });
    return entry;
};

Given(
    "an entry that reads the configuration from instance {int} and has the resource {string}",
    { timeout: 30_000 },
    async (number: number, resource: string) => {
        const revision = await put(`/v1/regions/${resource}`, { links: [] });
        const started = startEntry({ instances: instances.filter(({ name }) => name === getName(number)) });
        await waitFor("The resource", () => started.publication.revision >= revision || undefined);
        assert.notEqual(started.publication.get(`regions/${resource}`), undefined);
    },
);

When(
    "instance {int} is stopped, {string} is deleted, {int} resources are put, and instance {int} starts again",
    { timeout: 60_000 },
    async (stopped: number, resource: string, count: number, _started: number) => {
        const path = `/v1/regions/${resource}`;
        await controls.get(getName(stopped))?.stop();
        const response = await send(1, "DELETE", path, { headers: { "If-Match": `"${revisions.get(path)}"` } });
        assert.equal(response.statusCode, 200);
        revisions.delete(path);
        await putMany(count);
        await start(getName(stopped));
    },
);

Then("the entry has the same resources as instance 1", { timeout: 30_000 }, async () => {
    const expected = [...await listRevisions(1)].sort();
    assert.deepEqual(expected, [...revisions].sort());
    const highest = Math.max(...revisions.values());
    await waitFor("The last change", () => (entry?.publication.revision ?? 0) >= highest || undefined);
    const received = (entry?.publication.items() ?? []).filter(({ key }) => key.startsWith("regions/"))
        .map(({ key, value }) => [`/v1/${key}`, (value as { revision: number }).revision]);
    assert.deepEqual(received.sort(), expected);
    assert.equal(incrementedCounters.has("consensus.snapshots_sent"), true, "No snapshot was sent.");
});

Given("a shift with a cap of {int} requests a second", async (requestsPerSecond: number) => {
    await put("/v1/regions/hame", { links: [] });
    await put("/v1/regions/itasuomi", { links: [] });
    await put("/v1/availability-zones/zone-1", { region: "hame" });
    await put("/v1/services/maksupalvelu", { availabilityZones: ["zone-1"], slotsPerBackendServer: 3 });
    const locations = { from: { region: "hame" }, to: { region: "itasuomi" } };
    const cap = { requestsPerSecond, bytesPerSecond: 1_000_000 };
    await put("/v1/shifts/evening", { service: "maksupalvelu", ...locations, percent: 50, cap });
});

const QUOTA_KEY = shiftRequestsKey("evening");

const grantedQuota = () => {
    const reply = entry?.replies.findLast(({ result }) => result === RenewSessionResult.Renewed);
    const grants = reply?.result === RenewSessionResult.Renewed ? reply.grants : [];
    return grants.find(({ key }) => key === QUOTA_KEY)?.portion ?? 0;
};

When("the only entry demands {int} requests a second of it", (wanted: number) => {
    startEntry({
        demands: () => [{ key: QUOTA_KEY, unit: BudgetUnit.RequestsPerSecond, wanted, held: grantedQuota() }],
    });
});

Then("it is granted at least {int} and at most {int}", { timeout: 30_000 }, async (least: number, most: number) => {
    const quota = await waitFor("The quota", () => grantedQuota() >= least ? grantedQuota() : undefined);
    assert.equal(quota <= most, true, `The quota is ${quota}.`);
});

When("it ends its session", { timeout: 30_000 }, async () => {
    const ended = await entry?.endSession();
    assert.deepEqual(ended, { result: "ended" }, PeerRequestKind.EndSession);
});

Then("no entry is registered", async () => {
    const { body } = await send(1, "GET", "/v1/status");
    assert.deepEqual(body.entries, []);
});
