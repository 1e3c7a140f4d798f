import { After, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import { NotLeaderError } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { once } from "node:events";
import { mkdtempSync, rmSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { type CounterInstance, startCounter } from "./replicated-counter.js";

setDefaultTimeout(30_000);

type Counter = Awaited<ReturnType<typeof startCounter>>;

const POLL_MS = 20;
/** Below the ephemeral ports, which an outgoing connection could occupy before the instance listens. */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;

let folder: string;
let instances: readonly CounterInstance[];
let running: Map<string, Counter>;
let stoppedLeader: string;

async function findFreePort(from: number): Promise<number> {
    for (let port = FIRST_PORT + from % PORT_COUNT;; port += 1) {
        const server = createServer();
        const isFree = await new Promise<boolean>(resolve => {
            server.once("error", () => resolve(false));
            server.listen(port, "127.0.0.1", () => resolve(true));
        });
        if (isFree) {
            server.close();
            await once(server, "close");
            return port;
        }
    }
}

const start = async (name: string) => {
    running.set(name, await startCounter(name, join(folder, name), instances));
};

/** Retries while the attempt fails with NotLeaderError; the step timeout bounds the wait. */
async function retryUntilLeader<T>(attempt: () => Promise<T>): Promise<T> {
    for (;;) {
        try {
            return await attempt();
        }
        catch (error) {
            if (!(error instanceof NotLeaderError)) {
                throw error;
            }
            await delay(POLL_MS);
        }
    }
}

/**
 * Adds on the leader and returns its name. NotLeaderError means that nothing was added, so a retry does not add twice.
 */
const add = (amount: number) =>
    retryUntilLeader(async () => {
        const leader = [...running].find(([, { replica }]) => replica.holdsLeaderLease());
        if (leader === undefined) {
            throw new NotLeaderError("find leader", undefined);
        }
        await leader[1].add(amount);
        return leader[0];
    });

After(async () => {
    await Promise.all([...running.values()].map(counter => counter.stop()));
    rmSync(folder, { recursive: true, force: true });
});

Given("three instances of the counter", async () => {
    folder = mkdtempSync(join(tmpdir(), "replicated-counter-"));
    running = new Map();
    const first = await findFreePort(process.pid * 7);
    const second = await findFreePort(first - FIRST_PORT + 1);
    const third = await findFreePort(second - FIRST_PORT + 1);
    instances = [first, second, third].map((port, index) => ({ name: `counter-${index + 1}`, port }));
    await Promise.all(instances.map(({ name }) => start(name)));
});

When("{int} is added at the leader", async (amount: number) => {
    stoppedLeader = await add(amount);
});

When("the leader stops and {int} is added at the next leader", async (amount: number) => {
    await running.get(stoppedLeader)?.stop();
    running.delete(stoppedLeader);
    assert.notEqual(await add(amount), stoppedLeader);
});

When("the stopped instance restarts with its data folder", () => start(stoppedLeader));

Then("each instance reads {int}", async (expected: number) => {
    assert.equal(running.size, 3);
    for (const counter of running.values()) {
        assert.equal(await retryUntilLeader(() => counter.read()), expected);
    }
});
