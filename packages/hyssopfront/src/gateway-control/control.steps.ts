import { After, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import { createManualClock, createSystemClock, type ManualClock } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { createMemberConnectivity, type MemberConnectivity } from "./member-connectivity.js";

/** Interval of connectivity updates, in milliseconds. */
const UPDATE_INTERVAL_MS = 500;
const clock = createSystemClock();
/** Loopback addresses of this file's instances. */
const getAddress = (number: number) => `127.0.7.${number}`;
/** Depends on the process id, because test processes run concurrently. */
const PEER_PORT = 20_000 + process.pid % 20_000;
/** Requests start to arrive 10 s after the instances start, so the group must be ready by then. */
const READY_TIMEOUT_MS = 10_000;
const CONTROL_PROGRAM = join(import.meta.dirname, "control-process.ts");

// Every wait has its own timeout. Cucumber's default of 5 s would end a step before it.
setDefaultTimeout(3 * READY_TIMEOUT_MS);

type Reply = { readonly id: number; readonly value?: unknown; readonly error?: string };
type Instance = {
    readonly child: ChildProcess;
    readonly invoke: (call: string, argument?: unknown) => Promise<unknown>;
};

let folder: string | undefined;
let instances: Map<number, Instance>;
let wasAcknowledged: unknown;
let drainCount = 0;
let manualClock: ManualClock;
let connectivity: MemberConnectivity;

const getFolder = (number: number) => join(folder ?? "", String(number));

async function start(number: number, isFirstStart: boolean): Promise<void> {
    const options = {
        address: getAddress(number),
        peerPort: PEER_PORT,
        dataFolder: getFolder(number),
        isFirstStart,
        seeds: [1, 2, 3].map(getAddress),
    };
    const child = spawn(process.execPath, [CONTROL_PROGRAM, JSON.stringify(options)], {
        stdio: ["pipe", "pipe", "inherit"],
    });
    const waiting = new Map<number, (reply: Reply) => void>();
    let lastId = 0;
    createInterface({ input: child.stdout }).on("line", line => {
        const reply = JSON.parse(line) as Reply;
        waiting.get(reply.id)?.(reply);
    });
    child.on("exit", () => waiting.forEach((resolve, id) => resolve({ id, error: "The instance was killed." })));
    const invoke = (call: string, argument?: unknown) =>
        new Promise<unknown>((resolve, reject) => {
            lastId += 1;
            waiting.set(lastId, ({ value, error }) => error === undefined ? resolve(value) : reject(new Error(error)));
            child.stdin.write(`${JSON.stringify({ id: lastId, call, argument })}\n`);
        });
    instances.set(number, { child, invoke });
}

async function kill(number: number): Promise<void> {
    const child = instances.get(number)?.child;
    assert.ok(child !== undefined);
    instances.delete(number);
    child.kill("SIGKILL");
    await once(child, "exit");
}

async function waitUntil(check: () => Promise<boolean>, message: () => string): Promise<void> {
    const endsAt = clock.monotonicMilliseconds() + READY_TIMEOUT_MS;
    while (clock.monotonicMilliseconds() < endsAt) {
        if (await check().catch(() => false)) {
            return;
        }
        await clock.sleep(100);
    }
    assert.fail(message());
}

const votersAt = async (number: number) => (await instances.get(number)?.invoke("voters") as string[]).sort();

After(async () => {
    if (folder === undefined) {
        return;
    }
    await Promise.all([...instances.keys()].map(kill));
    rmSync(folder, { recursive: true, force: true });
    folder = undefined;
});

Given("{int} control instances that start for the first time, 3 of them seeds", async (count: number) => {
    folder = mkdtempSync(join(tmpdir(), "gateway-control-"));
    instances = new Map();
    await Promise.all(Array.from({ length: count }, (_, index) => start(index + 1, true)));
});
Given("a control instance {int} that starts with an empty disk and reaches no seed", async (number: number) => {
    folder = mkdtempSync(join(tmpdir(), "gateway-control-"));
    instances = new Map();
    await start(number, false);
});
Then("all instances have the same {int} voters", async (count: number) => {
    let seen: readonly (readonly string[])[] = [];
    await waitUntil(async () => {
        seen = await Promise.all([...instances.keys()].map(votersAt));
        return seen.every(voters => voters.length === count && voters.join() === seen[0]?.join());
    }, () => `The voters are ${JSON.stringify(seen)}.`);
});
When("a route is changed at instance {int}", async (number: number) => {
    // Retries until the outcome is known, as an operator does.
    await waitUntil(
        async () => await instances.get(number)?.invoke("changeRoute") === "accepted",
        () => "The change was not accepted.",
    );
});
Then("each running instance reads the route", async () => {
    await Promise.all([...instances].map(([number, instance]) =>
        waitUntil(
            async () => (await instance.invoke("readRoutes") as string[]).includes("orders"),
            () => `Instance ${number} does not read the route.`,
        )
    ));
});
When("all instances are killed and instances 1 and 2 lose their disks", async () => {
    await Promise.all([...instances.keys()].map(kill));
    [1, 2].forEach(number => rmSync(getFolder(number), { recursive: true }));
});
When("all instances start again", async () => {
    await Promise.all([1, 2, 3, 4, 5].map(number => start(number, false)));
});
When(
    "instance {int} is permanently killed and instance {int} starts with an empty disk",
    async (removed: number, replacement: number) => {
        await kill(removed);
        await start(replacement, false);
    },
);
Then("instance {int} is a voter and instance {int} is not", async (replacement: number, removed: number) => {
    let voters: readonly string[] = [];
    await waitUntil(async () => {
        voters = await votersAt(1);
        return voters.includes(`${getAddress(replacement)}:${PEER_PORT}`) &&
            !voters.includes(`${getAddress(removed)}:${PEER_PORT}`);
    }, () => `The voters are ${voters.join(", ")}.`);
});
When("a backend server announces at instance {int} that it drains", async (number: number) => {
    drainCount += 1;
    wasAcknowledged = await instances.get(number)?.invoke("drain", drainCount);
});
When(
    "a backend server announces itself at instance {int} with sequence number {int}",
    async (number: number, sequence: number) => {
        await instances.get(number)?.invoke("announce", sequence);
    },
);
When("the backend server leaves at instance {int}", async (number: number) => {
    wasAcknowledged = await instances.get(number)?.invoke("leave");
});
Then("each running instance has the backend server as left", async () => {
    let states: readonly unknown[] = [];
    await waitUntil(async () => {
        states = await Promise.all([...instances.values()].map(({ invoke }) => invoke("backendState")));
        return states.every(state => state === "left");
    }, () => `The states are ${states.join(", ")}.`);
});
When("instances 2, 3 and 4 are killed", () => Promise.all([2, 3, 4].map(kill)));
Then("it is acknowledged", () => assert.equal(wasAcknowledged, true));
Then("it is not acknowledged", () => assert.equal(wasAcknowledged, false));
const advanceConnectivity = async (milliseconds: number, connected: readonly string[]) => {
    for (let passed = 0; passed < milliseconds; passed += UPDATE_INTERVAL_MS) {
        await manualClock.advance(UPDATE_INTERVAL_MS);
        connectivity.update(["a", "b"], new Set(connected));
    }
};

Given("two other control instances, a and b", () => {
    manualClock = createManualClock();
    connectivity = createMemberConnectivity(manualClock);
});
When("both are connected for {int} ms", (milliseconds: number) => advanceConnectivity(milliseconds, ["a", "b"]));
When("b is unreachable for {int} ms", (milliseconds: number) => advanceConnectivity(milliseconds, ["a"]));
When("b stays unreachable for {int} ms", (milliseconds: number) => advanceConnectivity(milliseconds, ["a"]));
Then("connectivity has been complete for {int} ms", (milliseconds: number) => {
    assert.equal(connectivity.fullyConnectedMilliseconds(), milliseconds);
});
Then("connectivity has been complete for more than {int} ms", (milliseconds: number) => {
    assert.ok(connectivity.fullyConnectedMilliseconds() > milliseconds);
});
