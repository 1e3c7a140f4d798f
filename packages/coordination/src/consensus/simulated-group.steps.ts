/**
 * Replicas on a simulated clock, network and disk, and the invariants that must hold under every fault schedule.
 */
import { decode, encode } from "cbor-x";
import assert from "node:assert/strict";
import { xorshift128plus } from "pure-rand/generator/xorshift128plus";
import type { Clock } from "../clock/clock.js";
import { CLOCK_RATE_ERROR } from "../clock/clock.js";
import type { ManualClock } from "../clock/manual-clock.js";
import { createManualClock } from "../clock/manual-clock.js";
import { parseConsensusReply, parseConsensusRequest } from "./messages.js";
import type { Replica, ReplicaOptions, ReplicaStatus } from "./replica-types.js";
import { ReplicaRole } from "./replica-types.js";
import { createReplica } from "./replica.js";
import type { SimulatedDisk } from "./simulated-disk.steps.js";
import { createSimulatedDisk, openSimulatedStorage } from "./simulated-disk.steps.js";
import { createNotifier } from "./waiting.js";

/** One replica with its disk and clock. */
export type SimulatedNode = {
    readonly name: string;
    disk: SimulatedDisk;
    replica: Replica | undefined;
    /** Loses power. */
    crash: () => void;
    /** Ends the process; what it has written stays visible. */
    kill: () => void;
    /** Applied payloads, from index 1 on; undefined for no-op and membership entries. */
    applied: (string | undefined)[];
    isSuspended: boolean;
    readonly resumed: ReturnType<typeof createNotifier>;
    /** Rate of the node's clock relative to the simulated clock. */
    readonly rate: number;
};

/** Probabilities of loss and duplication of a message; delays in milliseconds. */
export type NetworkConditions = { loss: number; duplication: number; minimumDelay: number; maximumDelay: number };

/** A group of simulated replicas. */
export type SimulatedGroup = ReturnType<typeof createSimulatedGroup>;

/** Creates a generator of uniform random numbers in [0, 1) from a seed. */
export function createRandom(seed: number): () => number {
    const generator = xorshift128plus(seed);
    return () => (generator.next() >>> 0) / 0x1_0000_0000;
}

/** Creates a group of stopped replicas; all randomness derives from the seed. */
export function createSimulatedGroup(
    names: readonly string[],
    seed: number,
    extraOptions: (name: string) => Partial<ReplicaOptions> = () => ({}),
) {
    const clock: ManualClock = createManualClock();
    const random = createRandom(seed);
    const conditions: NetworkConditions = { loss: 0, duplication: 0, minimumDelay: 1, maximumDelay: 4 };
    const cutLinks = new Set<string>();
    const nodes = new Map<string, SimulatedNode>();
    const leaderOfTerm = new Map<number, string>();
    const payloadAt = new Map<number, string | undefined>();
    const acknowledged = new Map<number, string>();
    const failures: Error[] = [];
    let storeCount = 0;
    /** Highest index that a client has observed by a completed proposal or read. */
    let observedIndex = 0;
    let acknowledgedIndex = 0;

    const recordFailure = (check: () => void) => {
        try {
            check();
        }
        catch (error) {
            failures.push(error as Error);
        }
    };

    const leaseHolders = () => [...nodes.values()].filter(node => node.replica?.holdsLeaderLease());

    const checkLeases = () =>
        recordFailure(() => {
            const holders = leaseHolders();
            const names = holders.map(node => node.name);
            assert.ok(
                holders.length <= 1,
                `${names} hold the lease at the same time at ${clock.monotonicMilliseconds()} ms.`,
            );
            // A lease holder may serve reads from its local state, which must include everything acknowledged.
            assert.ok(
                holders.every(node => node.replica!.status().appliedIndex >= acknowledgedIndex),
                `${names} lacks acknowledged entries.`,
            );
        });

    const untilResumed = async (node: SimulatedNode) => {
        while (node.isSuspended) {
            await new Promise<void>(resolve => {
                const unsubscribe = node.resumed.subscribe(() => {
                    unsubscribe();
                    resolve();
                });
            });
        }
    };

    /**
     * The clocks of the nodes differ in origin and, within the assumed drift, in rate; a suspended node does not wake
     * up.
     */
    const nodeClock = (node: SimulatedNode): Clock => ({
        monotonicMilliseconds: () => 1_000 * node.name.charCodeAt(0) + clock.monotonicMilliseconds() * node.rate,
        wallTime: () => clock.wallTime(),
        sleep: async (milliseconds, signal) => {
            await clock.sleep(milliseconds / node.rate, signal);
            await untilResumed(node);
        },
    });

    const transmit = async (from: string, to: string): Promise<boolean> => {
        const { loss, minimumDelay, maximumDelay } = conditions;
        const isLost = random() < loss;
        await clock.sleep(minimumDelay + random() * (maximumDelay - minimumDelay));
        return !isLost && !cutLinks.has(`${from}>${to}`);
    };

    const call = (caller: SimulatedNode): ReplicaOptions["call"] => (peer, message, deadline) =>
        new Promise((resolve, reject) => {
            const { name: from, replica: sender } = caller;
            const bytes = encode(message);
            const ended = new AbortController();
            clock.sleep(deadline, ended.signal).then(
                () => reject(new Error("The deadline has passed.")),
                () => undefined,
            );
            const deliver = async () => {
                const target = nodes.get(peer);
                if (!await transmit(from, peer) || target?.replica === undefined) {
                    return;
                }
                await untilResumed(target);
                const reply = encode(await target.replica.handle(from, parseConsensusRequest(decode(bytes))));
                checkLeases();
                if (!await transmit(peer, from)) {
                    return;
                }
                await untilResumed(caller);
                if (caller.replica === sender) {
                    ended.abort();
                    resolve(parseConsensusReply(decode(reply)));
                    checkLeases();
                }
            };
            const copies = random() < conditions.duplication ? 2 : 1;
            for (let copy = 0; copy < copies; copy++) {
                deliver().catch((error: unknown) => {
                    ended.abort();
                    reject(error);
                });
            }
        });

    const checkSingleLeader = (name: string) => (status: ReplicaStatus) =>
        recordFailure(() => {
            if (status.role === ReplicaRole.Leader) {
                const leader = leaderOfTerm.get(status.term) ?? name;
                leaderOfTerm.set(status.term, leader);
                assert.equal(leader, name, `${leader} and ${name} were both leader of term ${status.term}.`);
            }
        });

    const apply = (node: SimulatedNode, index: number, payload: string) =>
        recordFailure(() => {
            assert.ok(index > node.applied.length, `${node.name} applied index ${index} twice.`);
            node.applied.length = index - 1;
            node.applied.push(payload);
            assert.equal(payloadAt.get(index) ?? payload, payload, `Index ${index} was applied with two payloads.`);
            payloadAt.set(index, payload);
        });

    const start = (name: string, initialVoters = names.map(voter => ({ name: voter }))) => {
        const node = nodes.get(name)!;
        const storage = openSimulatedStorage(node.disk, clock, random);
        node.applied = [];
        const replica = createReplica({
            groupId: "group",
            self: name,
            clock: nodeClock(node),
            random,
            storage,
            initialVoters,
            call: call(node),
            apply: ({ index, payload }) => {
                apply(node, index, Buffer.from(payload).toString());
                return `result of ${index}`;
            },
            takeSnapshot: () => Buffer.from(JSON.stringify(node.applied.map(payload => payload ?? ""))),
            restoreSnapshot: (payload, index) => {
                node.applied = (JSON.parse(Buffer.from(payload).toString()) as string[])
                    .map(text => text === "" ? undefined : text);
                node.applied.length = index;
            },
            onStateChange: checkSingleLeader(name),
            ...extraOptions(name),
        });
        node.replica = replica;
        const end = (endStorage: () => void) => () => {
            endStorage();
            node.replica = undefined;
            void replica.stop();
        };
        node.crash = end(storage.crash);
        node.kill = end(storage.kill);
        replica.start();
    };

    const addNode = (name: string) => {
        const disk = createSimulatedDisk(`store-${++storeCount}`);
        // The rates cover the assumed drift of the clocks.
        const rate = 1 + CLOCK_RATE_ERROR * (random() * 2 - 1);
        const resumed = createNotifier();
        nodes.set(name, {
            name,
            disk,
            replica: undefined,
            crash: () => undefined,
            kill: () => undefined,
            applied: [],
            isSuspended: false,
            resumed,
            rate,
        });
    };

    names.forEach(addNode);

    const advance = async (milliseconds: number) => {
        for (let passed = 0; passed < milliseconds; passed += 5) {
            await clock.advance(Math.min(5, milliseconds - passed));
            checkLeases();
        }
        // Lets the tasks woken last run to completion.
        await new Promise(resolve => setImmediate(resolve));
        if (failures[0] !== undefined) {
            throw failures[0];
        }
    };

    /** Advances the clock until the condition holds; fails after the limit, in milliseconds. */
    const until = async (condition: () => boolean, limit: number, description: string, step = 10) => {
        for (let passed = 0; !condition(); passed += step) {
            assert.ok(passed < limit, `${description}: not within ${limit} ms.`);
            await advance(step);
        }
    };

    const leader = () => leaseHolders()[0];

    const propose = async (name: string, payload: string) => {
        const { index } = await nodes.get(name)!.replica!.propose(Buffer.from(payload));
        acknowledged.set(index, payload);
        acknowledgedIndex = Math.max(acknowledgedIndex, index);
        observedIndex = Math.max(observedIndex, index);
        return index;
    };

    /** Reads through a read barrier; the read must include everything that any earlier proposal or read has shown. */
    const read = async (name: string) => {
        const node = nodes.get(name)!;
        const { replica } = node;
        const minimumIndex = observedIndex;
        await replica!.readBarrier();
        if (node.replica === replica) {
            const readIndex = replica!.status().appliedIndex;
            recordFailure(() =>
                assert.ok(
                    readIndex >= minimumIndex,
                    `${name} read index ${readIndex} after index ${minimumIndex} had been observed.`,
                )
            );
            observedIndex = Math.max(observedIndex, readIndex);
        }
    };

    /** Runs an operation while the clock advances and returns its result or its error. */
    const outcomeOf = async <T>(operation: Promise<T>, limit = 10_000): Promise<T | Error> => {
        let outcome: { readonly value: T | Error } | undefined;
        operation.then(value => outcome = { value }, (error: Error) => outcome = { value: error });
        await until(() => outcome !== undefined, limit, "The operation ends");
        return outcome!.value;
    };

    const cutLink = (from: string, to: string) => cutLinks.add(`${from}>${to}`);

    const isolate = (name: string) =>
        [...nodes.keys()].filter(other => other !== name).forEach(other => {
            cutLink(name, other);
            cutLink(other, name);
        });

    const resume = (name: string) => {
        nodes.get(name)!.isSuspended = false;
        nodes.get(name)!.resumed.notify();
    };

    const wipe = (name: string) => {
        nodes.get(name)!.crash();
        nodes.get(name)!.disk = createSimulatedDisk(`store-${++storeCount}`);
    };

    /** The disks of some replicas are wiped while all others lose power; then all restart. */
    const wipeWhileOthersLosePower = (wiped: readonly string[]) => {
        nodes.forEach(node => node.crash());
        wiped.forEach(wipe);
        nodes.forEach((_, name) => start(name));
    };

    /** Asserts that all running replicas have applied every acknowledged proposal at its index. */
    const assertNothingLost = () => {
        [...nodes.values()].filter(node => node.replica !== undefined).forEach(node => {
            acknowledged.forEach((payload, index) => {
                assert.equal(node.applied[index - 1], payload, `${node.name} lacks the acknowledged index ${index}.`);
            });
        });
    };

    return {
        acknowledged,
        addNode,
        advance,
        assertNothingLost,
        clock,
        conditions,
        cutLink,
        cutLinks,
        isolate,
        leader,
        nodes,
        outcomeOf,
        propose,
        random,
        read,
        resume,
        start,
        until,
        wipe,
        wipeWhileOthersLosePower,
    };
}
