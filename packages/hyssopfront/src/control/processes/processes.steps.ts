import { After, AfterAll, Given, setDefaultTimeout, Status, Then, When } from "@cucumber/cucumber";
import { type ControlCluster, prepareControlCluster } from "@hyssopfront/bench/control/control-cluster.ts";
import { type OperatorResponse, sendOperatorRequest } from "@hyssopfront/bench/control/operator-client.ts";
import { type SimulatedEntry, startSimulatedEntry } from "@hyssopfront/bench/control/simulated-entry.ts";
import { createSystemClock } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";

setDefaultTimeout(60_000);

/** Time limit of waits for states that must occur, in milliseconds; they usually take far less. */
const WAIT_MS = 20_000;
const POLL_MS = 20;

type Condition = { type: string; status: string; message: string };
type Change = { readonly resource: string; readonly revision: number; readonly value: number };

const clock = createSystemClock();
let folder: string;
/** All scenarios share one cluster, since it is slow to start. Each scenario uses its own resources. */
let cluster: ControlCluster;
let entries: Map<string, SimulatedEntry>;
let rounds: OperatorResponse[][];
let changedRevision: number;
let resumedResponse: Promise<OperatorResponse>;
let statusCodes: number[];
let exitCode: number | undefined;
let acknowledged: Change[];

const instanceNames = () => cluster.instances.map(instance => instance.name);
const send = (name: string, method: string, path: string, options = {}) =>
    sendOperatorRequest(cluster, name, method, path, options);

const waitFor = async <T>(what: string, poll: () => Promise<T | undefined>): Promise<T> => {
    const deadline = clock.monotonicMilliseconds() + WAIT_MS;
    for (;;) {
        const found = await poll().catch(() => undefined);
        if (found !== undefined) {
            return found;
        }
        assert.ok(clock.monotonicMilliseconds() < deadline, `${what} did not occur in time.`);
        await clock.sleep(POLL_MS);
    }
};

const fetchMainGroupStatus = async (name: string): Promise<Record<string, unknown>> => {
    const { body } = await send(name, "GET", "/v1/status");
    return (body.groups as Record<string, unknown>[])[0] as Record<string, unknown>;
};

const findLeader = () =>
    waitFor("A leader", async () => {
        const statuses = await Promise.all(
            instanceNames().filter(cluster.isRunning).map(async name => ({
                name,
                role: (await fetchMainGroupStatus(name)).role,
            })),
        );
        return statuses.find(status => status.role === "leader")?.name;
    });

/** The region "hame" is created first, so there is no other region that it could link to. */
const regionSpec = (value: number, resource?: string) => ({
    links: resource === "hame" ? [] : [{ to: "hame", bitsPerSecond: value }],
});

/** Repeats a put with the same request id, at one instance after the other, until it gets a definite response. */
const putWithRetries = async (
    resource: string,
    value: number,
    revision: number,
    first = 0,
): Promise<OperatorResponse> => {
    const requestId = `${resource}-${value}`;
    let turn = first;
    return waitFor(`The response to ${requestId}`, async () => {
        turn += 1;
        const name = instanceNames()[turn % instanceNames().length] as string;
        const response = await send(name, "PUT", `/v1/regions/${resource}`, {
            headers: { "Request-Id": requestId, "If-Match": `"${revision}"` },
            body: { spec: regionSpec(value, resource) },
            timeoutMilliseconds: 2_000,
        });
        return [503, 504].includes(response.statusCode) ? undefined : response;
    });
};

const prepareCluster = async (count: number) => {
    folder = mkdtempSync(join(tmpdir(), "control-"));
    cluster = await prepareControlCluster(count, folder);
    await Promise.all(instanceNames().map(cluster.start));
    const response = await putWithRetries("hame", 1, 0);
    assert.equal(response.statusCode, 201);
};

Given("{int} running control processes", async (count: number) => {
    entries = new Map();
    if (cluster === undefined) {
        await prepareCluster(count);
    }
    await Promise.all(instanceNames().filter(name => !cluster.isRunning(name)).map(cluster.start));
});

After(async ({ result }) => {
    if (result?.status === Status.FAILED) {
        instanceNames().forEach(name => process.stderr.write(`${name}: ${cluster.errorOutput(name)}\n`));
    }
    await Promise.all([...entries.values()].map(entry => entry.stop()));
});

AfterAll(async () => {
    await cluster?.stop();
    rmSync(folder, { recursive: true, force: true });
});

When(
    "{int} operators change one resource from the same revision at all instances, {int} times in a row",
    async (operators: number, times: number) => {
        rounds = [];
        let revision = 0;
        for (let round = 0; round < times; round += 1) {
            const responses = await Promise.all(
                Array.from(
                    { length: operators },
                    (_, index) =>
                        send(instanceNames()[index % instanceNames().length] as string, "PUT", "/v1/regions/raced", {
                            headers: { "If-Match": `"${revision}"` },
                            body: { spec: regionSpec(1 + round * operators + index) },
                        }),
                ),
            );
            rounds.push(responses);
            const winner = responses.find(response => response.statusCode < 300);
            revision = winner?.body.revision as number;
            const reads = await Promise.all(instanceNames().map(name => send(name, "GET", "/v1/regions/raced")));
            reads.forEach(({ body }) => {
                assert.deepEqual([body.revision, body.spec], [revision, winner?.body.spec]);
            });
        }
    },
);

Then("each time exactly one change wins, the others get the winner, and each instance returns it", () => {
    rounds.forEach(responses => {
        const [winner, ...others] = responses.filter(response => response.statusCode < 300);
        assert.equal(others.length, 0);
        const rejected = responses.filter(response => response !== winner);
        rejected.forEach(({ statusCode, body }) => {
            const current = body.current as Record<string, unknown>;
            assert.deepEqual([statusCode, current.spec], [409, winner?.body.spec]);
        });
    });
});

Given("the entries {string} and {string}", async (first: string, second: string) => {
    [first, second].forEach((name, index) => {
        const { clusterId, instances } = cluster;
        entries.set(name, startSimulatedEntry({ clock, clusterId, name, peerPort: 4_000 + 10 * index, instances }));
    });
    await waitFor(
        "A lease of each entry",
        () => Promise.resolve([...entries.values()].every(entry => entry.holdsLease()) || undefined),
    );
});

const fetchConditions = async (name: string): Promise<Record<string, Condition>> => {
    const { body } = await send(name, "GET", "/v1/regions/held-up");
    const list = (body.status as { conditions: Condition[] }).conditions;
    return Object.fromEntries(list.map(condition => [condition.type, condition]));
};

When("{string} stops responding and a change is made", async (name: string) => {
    entries.get(name)?.disconnect();
    const response = await putWithRetries("held-up", 1, 0);
    changedRevision = response.body.revision as number;
});

Then("the change becomes stalled because of {string}", async (name: string) => {
    const stalled = await waitFor("The condition", async () => {
        const { InForce: inForce, Stalled: found } = await fetchConditions(instanceNames()[1] as string);
        assert.notEqual(inForce?.status, "True");
        return found?.status === "True" ? found : undefined;
    });
    assert.match(stalled.message, new RegExp(`Entry ${name} has applied revision`));
});

Then("the change comes in force only when {string} holds no lease", async (name: string) => {
    let hadLease: boolean | undefined;
    await waitFor("The change in force", async () => {
        const { InForce: inForce } = await fetchConditions(instanceNames()[2] as string);
        // Checked after the response arrives: a lease that is valid now was also valid when the response was created.
        hadLease = inForce?.status === "True" ? entries.get(name)?.holdsLease() : undefined;
        return hadLease === undefined ? undefined : true;
    });
    assert.equal(hadLease, false);
});

Then("{string} gets a lease again only after it has caught up", async (name: string) => {
    const entry = entries.get(name) as SimulatedEntry;
    entry.reconnect();
    await waitFor("The lease", () => Promise.resolve(entry.holdsLease() || undefined));
    assert.ok(entry.appliedRevision >= changedRevision, `${name} holds a lease at ${entry.appliedRevision}.`);
});

When("the leader is suspended until another one has committed a change", async () => {
    const { body: created } = await putWithRetries("suspended", 1, 0);
    const suspended = await findLeader();
    await cluster.signal(suspended, "SIGSTOP");
    // Sent while the instance is suspended, so that the instance processes it first when it resumes.
    resumedResponse = send(suspended, "GET", "/v1/regions/suspended", { timeoutMilliseconds: WAIT_MS });
    resumedResponse.catch(() => undefined);
    const [other] = instanceNames().filter(name => name !== suspended);
    const changed = await waitFor("The change", async () => {
        const response = await send(other as string, "PUT", "/v1/regions/suspended", {
            headers: { "If-Match": `"${String(created.revision)}"`, "Request-Id": "while-suspended" },
            body: { spec: regionSpec(2) },
        });
        return response.statusCode === 200 ? response : undefined;
    });
    changedRevision = changed.body.revision as number;
    await cluster.signal(suspended, "SIGCONT");
});

Then("the first response of the resumed instance is the new state", async () => {
    const { statusCode, body } = await resumedResponse;
    assert.deepEqual([statusCode, body.revision, body.spec], [200, changedRevision, regionSpec(2)]);
});

When("the leader stops while changes are made", async () => {
    const stopping = await findLeader();
    const others = instanceNames().filter(name => name !== stopping);
    let isStopped = false;
    const stopped = cluster.signal(stopping, "SIGTERM").then(code => {
        isStopped = true;
        exitCode = code;
    });
    statusCodes = [];
    for (let index = 0; !isStopped || index < 10; index += 1) {
        const path = `/v1/regions/stream-${index}`;
        const response = await send(others[index % 2] as string, "PUT", path, { body: { spec: { links: [] } } });
        statusCodes.push(response.statusCode);
    }
    await stopped;
});

Then("each change succeeds, and the process exits with code 0", () => {
    assert.deepEqual([...new Set(statusCodes)], [201]);
    assert.equal(exitCode, 0);
});

When("an instance that is not the leader is killed, loses its data folder and is started again", async () => {
    const leader = await findLeader();
    const replaced = instanceNames().find(name => name !== leader) as string;
    const { storeId } = await fetchMainGroupStatus(replaced);
    await cluster.signal(replaced, "SIGKILL");
    rmSync(join(folder, replaced), { recursive: true });
    await cluster.start(replaced);
    await waitFor("The new vote", async () => {
        const members = (await fetchMainGroupStatus(leader)).members as {
            name: string;
            storeId: string;
            isVoter: boolean;
        }[];
        const member = members.find(({ name }) => name === replaced);
        return member?.isVoter === true && member.storeId !== storeId ? true : undefined;
    });
    const [third] = instanceNames().filter(name => name !== leader && name !== replaced);
    await cluster.signal(third as string, "SIGKILL");
});

Then("it votes again with a new store, and a change commits with it and one other instance", async () => {
    const response = await putWithRetries("repaired", 1, 0);
    assert.equal(response.statusCode, 201);
});

/** Pseudo-random generator whose sequence depends only on the seed. */
const makeRandom = (seed: number) => {
    let state = seed;
    return (below: number) => {
        state = (state * 1_103_515_245 + 12_345) % 2 ** 31;
        return Math.floor(state / 2 ** 31 * below);
    };
};

/** Changes one operator's resource repeatedly. A conflict would mean that a change was lost or applied twice. */
const runOperator = async (resource: string, index: number, isDone: () => boolean) => {
    let revision = 0;
    for (let value = 1; !isDone(); value += 1) {
        const response = await putWithRetries(resource, value, revision, index + value);
        assert.ok(response.statusCode < 300, `${resource} ${value}: ${JSON.stringify(response)}`);
        revision = response.body.revision as number;
        acknowledged.push({ resource, revision, value });
    }
};

/** Waits until each operator has had another change acknowledged, so that faults occur during changes. */
const waitForProgress = async (operators: number) => {
    const before = acknowledged.length;
    await waitFor("Progress of all operators", () => {
        const resources = new Set(acknowledged.slice(before).map(change => change.resource));
        return Promise.resolve(resources.size === operators || undefined);
    });
};

When(
    "{int} operators change their own resources while instances are killed and restarted, with seed {int}",
    async (operators: number, seed: number) => {
        const random = makeRandom(seed);
        acknowledged = [];
        let isDone = false;
        const running = Array.from(
            { length: operators },
            (_, index) => runOperator(`object-${index}`, index, () => isDone),
        );
        // Numbers of instances that are killed at once, up to all of them.
        for (const killed of [1, 2, 1, 3]) {
            await waitForProgress(operators);
            const first = random(instanceNames().length);
            const killedInstances = instanceNames().map((_, index) =>
                instanceNames()[(first + index) % instanceNames().length] as string
            )
                .slice(0, killed);
            await Promise.all(killedInstances.map(name => cluster.signal(name, "SIGKILL")));
            if (killed === 1) {
                await waitForProgress(operators);
            }
            await Promise.all(killedInstances.map(cluster.start));
        }
        await waitForProgress(operators);
        isDone = true;
        await Promise.all(running);
    },
);

const readWatchUntil = async (name: string, revision: number): Promise<Change[]> => {
    const instance = cluster.instances.find(candidate => candidate.name === name);
    const response = await request(`http://127.0.0.1:${instance?.operatorPort}/v1/watch?fromRevision=0`);
    const seen: Change[] = [];
    let rest = "";
    for await (const chunk of response.body) {
        const lines = (rest + String(chunk)).split("\n");
        rest = lines.pop() ?? "";
        lines.map(line => JSON.parse(line) as { name: string; revision: number; type: string; resource?: unknown })
            .filter(event => event.type === "put" && event.name.startsWith("object-"))
            .forEach(event => {
                const { spec } = event.resource as { spec: ReturnType<typeof regionSpec> };
                seen.push({ resource: event.name, revision: event.revision, value: spec.links[0]?.bitsPerSecond ?? 0 });
            });
        if ((seen.at(-1)?.revision ?? 0) >= revision) {
            break;
        }
    }
    return seen;
};

Then(
    "the watch returns each acknowledged change once and in order, and each resource is as last acknowledged",
    async () => {
        acknowledged.sort((a, b) => a.revision - b.revision);
        const last = acknowledged.at(-1)?.revision ?? 0;
        for (const name of instanceNames()) {
            assert.deepEqual(await readWatchUntil(name, last), acknowledged);
            for (const resource of new Set(acknowledged.map(change => change.resource))) {
                const { body } = await send(name, "GET", `/v1/regions/${resource}`);
                const expected = acknowledged.findLast(change => change.resource === resource);
                assert.deepEqual([body.revision, body.spec], [expected?.revision, regionSpec(expected?.value ?? 0)]);
            }
        }
    },
);
