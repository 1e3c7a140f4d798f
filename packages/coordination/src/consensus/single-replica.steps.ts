import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { ManualClock } from "../clock/manual-clock.js";
import { createManualClock } from "../clock/manual-clock.js";
import type { ConsensusReply, ConsensusRequest } from "./messages.js";
import { ConsensusMessageKind, consensusRequestSchema } from "./messages.js";
import { encodeEntry, EntryType } from "./payloads.js";
import type { Replica } from "./replica-types.js";
import { createReplica } from "./replica.js";
import type { SimulatedDisk } from "./simulated-disk.steps.js";
import { createSimulatedDisk, openSimulatedStorage } from "./simulated-disk.steps.js";

let clock: ManualClock;
let disk: SimulatedDisk;
let replica: Replica;
let crash: () => void;
/** Last index that the simulated peers acknowledge. */
let peerIndex: number;
let reply: ConsensusReply;
let entriesRead: number;
/** Time that applying an entry takes, and that it has taken in all, in milliseconds. */
let applyMilliseconds: number;
let appliedMilliseconds: number;
/** Number of entries that were applied in each turn of the event loop. */
let entriesInTurns: number[];

const replyAsPeer = async (peer: string, message: ConsensusRequest): Promise<ConsensusReply> => {
    const storeId = `store-${peer}`;
    if (message.kind === ConsensusMessageKind.Vote) {
        return {
            kind: message.kind,
            term: message.isPreVote ? message.term - 1 : message.term,
            storeId,
            isGranted: true,
        };
    }
    if (message.kind === ConsensusMessageKind.Append) {
        const index = Math.min(peerIndex, message.previousIndex + message.entries.length);
        return { kind: message.kind, term: message.term, storeId, isAccepted: true, index, preference: 0 };
    }
    throw new Error(`Unexpected message ${message.kind}.`);
};

/** Takes its time, and counts the entries that are applied in the current turn of the event loop. */
const applySlowly = () => {
    appliedMilliseconds += applyMilliseconds;
    if (entriesInTurns.at(-1) === 0) {
        setImmediate(() => entriesInTurns.push(0));
    }
    entriesInTurns[entriesInTurns.length - 1]! += 1;
};

const start = async () => {
    applyMilliseconds = 0;
    appliedMilliseconds = 0;
    entriesInTurns = [0];
    const storage = openSimulatedStorage(disk, clock, () => 0);
    crash = storage.crash;
    entriesRead = 0;
    const read: typeof storage.read = async (...range) => {
        const entries = await storage.read(...range);
        entriesRead += entries.length;
        return entries;
    };
    replica = createReplica({
        groupId: "group",
        self: "a",
        clock: { ...clock, monotonicMilliseconds: () => clock.monotonicMilliseconds() + appliedMilliseconds },
        random: () => 0,
        storage: Object.create(storage, { read: { value: read } }) as typeof storage,
        initialVoters: ["a", "b", "c"].map(name => ({ name, storeId: `store-${name}` })),
        call: replyAsPeer,
        apply: applySlowly,
        takeSnapshot: () => new Uint8Array(),
        restoreSnapshot: () => undefined,
    });
    replica.start();
    await clock.advance(1);
};

/** Advances the clock in steps shorter than any write until the operation ends. */
const advanceUntilDone = async <T>(operation: Promise<T>): Promise<T> => {
    let isDone = false;
    const done = operation.finally(() => isDone = true);
    done.catch(() => undefined);
    for (let passed = 0; !isDone && passed < 1_000; passed++) {
        await new Promise(resolve => setImmediate(resolve));
        if (!isDone) {
            await clock.advance(0.1);
        }
    }
    return done;
};

const requestVote = (candidate: string, term: number, lastIndex: number, lastTerm: number, isTransfer = true) =>
    advanceUntilDone(replica.handle(candidate, {
        kind: ConsensusMessageKind.Vote,
        groupId: "group",
        term,
        candidate,
        candidateStoreId: `store-${candidate}`,
        lastIndex,
        lastTerm,
        isPreVote: false,
        // True skips the check for recent contact with a leader, which also covers the time after a start.
        isTransfer,
    }));

const isGranted = (vote: ConsensusReply) => vote.kind === ConsensusMessageKind.Vote && vote.isGranted;

Given("a replica whose log ends at index {int} of term {int}", async (lastIndex: number, term: number) => {
    clock = createManualClock();
    disk = createSimulatedDisk("store-a");
    disk.hardState = { term, votedFor: undefined };
    disk.entries = Array.from({ length: lastIndex }, (_, at) => ({
        index: at + 1,
        term,
        payload: encodeEntry(EntryType.Command, Buffer.from(`change ${at + 1}`)),
    }));
    await start();
});

Given("applying an entry takes {int} ms", (milliseconds: number) => {
    applyMilliseconds = milliseconds;
});

When("{string} requests its vote in term {int}", async (candidate: string, term: number) => {
    reply = await requestVote(candidate, term, 3, 2);
});

Then("the vote is granted and durable", () => {
    assert.ok(isGranted(reply));
    assert.deepEqual(disk.hardState, { term: 5, votedFor: "b/store-b" });
});

Then("after a restart {string} is denied the vote in term {int}", async (candidate: string, term: number) => {
    crash();
    await start();
    assert.ok(!isGranted(await requestVote(candidate, term, 3, 2)));
});

Then(
    "a candidate is denied the vote until {int} ms after the start and granted it then",
    async (milliseconds: number) => {
        await clock.advance(milliseconds - 20);
        assert.ok(!isGranted(await requestVote("b", 5, 3, 2, false)));
        assert.equal(replica.status().term, 2);
        await clock.advance(20);
        // The replica has campaigned itself by now, so the candidate needs a higher term.
        assert.ok(isGranted(await requestVote("b", 9, 3, 2, false)));
    },
);

const candidateLogs = "candidates whose logs end at index {int} of term {int} or index {int} of term {int} are ";

Then(`${candidateLogs}denied the vote`, async (index: number, term: number, otherIndex: number, otherTerm: number) => {
    assert.ok(!isGranted(await requestVote("b", 5, index, term)));
    assert.ok(!isGranted(await requestVote("b", 6, otherIndex, otherTerm)));
});

Then(`${candidateLogs}granted the vote`, async (index: number, term: number, otherIndex: number, otherTerm: number) => {
    assert.ok(isGranted(await requestVote("b", 7, index, term)));
    assert.ok(isGranted(await requestVote("b", 8, otherIndex, otherTerm)));
});

When("it is elected and its peers have the log up to index {int} only", async (index: number) => {
    peerIndex = index;
    // The minimum election timeout, which the fixed random number 0 selects, and some heartbeats.
    await clock.advance(900);
    assert.equal(replica.status().leader, "a");
    assert.deepEqual(replica.status().matchIndex, { b: index, c: index });
});

Then("it commits nothing", () => assert.equal(replica.status().commitIndex, 0));

When("its peers have the log up to index {int}", async (index: number) => {
    peerIndex = index;
    await clock.advance(300);
});

Then("it commits index {int}", (index: number) => assert.equal(replica.status().commitIndex, index));

Then("it has applied index {int} and read at most {int} entries in all", (index: number, limit: number) => {
    assert.equal(replica.status().appliedIndex, index);
    assert.ok(entriesRead <= limit, `${entriesRead} entries were read.`);
});

Then(
    "it has applied {int} entries, at most {int} in one turn of the event loop",
    async (count: number, limit: number) => {
        await advanceUntilDone(replica.readBarrier());
        assert.equal(entriesInTurns.reduce((sum, entries) => sum + entries, 0), count);
        assert.ok(Math.max(...entriesInTurns) <= limit, `${entriesInTurns.join()} entries were applied in turns.`);
    },
);

Then("a message of another group is rejected", async () => {
    const message = { kind: ConsensusMessageKind.Identify, groupId: "other" } as const;
    await assert.rejects(replica.handle("b", message), /belongs to group group/);
});

Then("a message with a negative term or a string payload does not match the schema", () => {
    const append = {
        kind: "append",
        groupId: "group",
        term: 1,
        leader: "b",
        previousIndex: 0,
        previousTerm: 0,
        commitIndex: 0,
        entries: [{ index: 1, term: 1, payload: new Uint8Array(1) }],
    };
    assert.ok(consensusRequestSchema.safeParse(append).success);
    assert.ok(!consensusRequestSchema.safeParse({ ...append, term: -1 }).success);
    assert.ok(!consensusRequestSchema.safeParse({ ...append, entries: [{ index: 1, term: 1, payload: "x" }] }).success);
});
