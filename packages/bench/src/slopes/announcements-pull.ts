/**
 * Counts the bytes with which entries pull announcements from each other, on simulated time.
 *
 * Usage: node --conditions=source --import tsx packages/bench/src/slopes/announcements-pull.ts
 *
 * Bytes are those of the frames that one entry sends and receives in a second, without TCP and IP headers. Each backend
 * server announces to one entry every 500 ms, spread evenly over time and entries; one-way latency is 20 ms.
 */
import { createManualClock, encodeFrame } from "@hyssopfront/coordination";
import { type Announcements, createAnnouncements } from "hyssopfront/announcements/create-announcements.js";

const CASES = [
    { entries: 7, backendServers: 38 },
    { entries: 7, backendServers: 140 },
    { entries: 14, backendServers: 280 },
    { entries: 26, backendServers: 520 },
];
const LATENCY_MS = 20;
const RENEWAL_MS = 500;
const STEP_MS = 10;
const SECONDS = 10;

const measureCase = async (entries: number, backendServers: number) => {
    const clock = createManualClock();
    const all = new Map<string, Announcements>();
    let bytes = 0;
    let polls = 0;
    const names = Array.from({ length: entries }, (_, index) => `entry-${index}`);
    names.forEach(name =>
        all.set(
            name,
            createAnnouncements({
                clock,
                random: () => 0.5,
                epoch: `0197-${String(names.indexOf(name)).padStart(3, "0")}`,
                isDraining: () => false,
                pull: async (other, request) => {
                    const kind = "announcements.pull";
                    const sent = encodeFrame({ type: "request", id: 1e6, kind, payload: request, deadlineMs: 1_500 });
                    await clock.sleep(LATENCY_MS);
                    const reply = await all.get(other)?.handlePull(request, new AbortController().signal);
                    const received = encodeFrame({ type: "reply", id: 1e6, payload: reply });
                    await clock.sleep(LATENCY_MS);
                    bytes += sent.length + received.length;
                    polls += 1;
                    return reply;
                },
            }),
        )
    );
    all.forEach((announcements, name) => announcements.setOtherEntries(names.filter(other => other !== name)));
    const announce = (at: number) =>
        Array.from({ length: backendServers }, (_, index) => index)
            .filter(index => at % RENEWAL_MS === index * STEP_MS % RENEWAL_MS)
            .forEach(index =>
                all.get(names[index % entries] as string)?.announce("expeditie", `backend-${index}`, {
                    address: "10.20.30.40",
                    port: 9_000,
                    availabilityZone: "sibiu-1",
                    incarnation: "0197a3c0-0000-7000-8000-000000000000",
                    slots: 6,
                    freeSlots: (index + at) % 7,
                    load: (index + at) % 100 / 100,
                    leaving: false,
                })
            );
    const run = async (from: number, milliseconds: number) => {
        for (let at = from; at < from + milliseconds; at += STEP_MS) {
            announce(at);
            await clock.advance(STEP_MS);
        }
    };
    await run(0, 2_000);
    bytes = 0;
    polls = 0;
    await run(2_000, SECONDS * 1_000);
    const known = [...all.values()].map(each => each.backendServers("expeditie").length);
    const row = {
        entries,
        backendServers,
        // Each exchanged byte is sent by one entry and received by another.
        sentAndReceivedBytesPerSecondOfAnEntry: Math.round(2 * bytes / SECONDS / entries),
        pollsPerSecondOfAnEntry: Math.round(polls / SECONDS / entries),
        leastKnown: Math.min(...known),
    };
    process.stdout.write(`${JSON.stringify(row)}\n`);
    await Promise.all([...all.values()].map(each => each.stop()));
};

for (const { entries, backendServers } of CASES) {
    await measureCase(entries, backendServers);
}
