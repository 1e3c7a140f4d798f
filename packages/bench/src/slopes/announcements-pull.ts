/**
 * Measures the bytes that entries exchange to pull announcements from each other, in simulated time.
 *
 * Usage: node --conditions=source --import tsx packages/bench/src/slopes/announcements-pull.ts
 *
 * Counted are the frames that an entry sends and receives in a second, without TCP and IP headers. Each backend server
 * announces itself to one entry every 500 ms, spread evenly over time and entries. The one-way latency is 20 ms.
 */
import { createManualClock, encodeFrame } from "@hyssopfront/coordination";
import { type Announcements, createAnnouncements } from "hyssopfront/announcements/create-announcements.js";

const CASES = [
    { entries: 7, backendServers: 38 },
    { entries: 7, backendServers: 140 },
    { entries: 14, backendServers: 280 },
    { entries: 26, backendServers: 520 },
];
const ONE_WAY_LATENCY_MS = 20;
const ANNOUNCEMENT_INTERVAL_MS = 500;
const STEP_MS = 10;
const MEASURED_SECONDS = 10;

const measureCase = async (entries: number, backendServers: number) => {
    const clock = createManualClock();
    const announcementsByEntry = new Map<string, Announcements>();
    let bytes = 0;
    let pulls = 0;
    const names = Array.from({ length: entries }, (_, index) => `entry-${index}`);
    names.forEach(name =>
        announcementsByEntry.set(
            name,
            createAnnouncements({
                clock,
                random: () => 0.5,
                epoch: `0197-${String(names.indexOf(name)).padStart(3, "0")}`,
                isDraining: () => false,
                pull: async (other, request) => {
                    const kind = "announcements.pull";
                    const sent = encodeFrame({ type: "request", id: 1e6, kind, payload: request, deadlineMs: 1_500 });
                    await clock.sleep(ONE_WAY_LATENCY_MS);
                    const reply = await announcementsByEntry.get(other)?.handlePull(
                        request,
                        new AbortController().signal,
                    );
                    const received = encodeFrame({ type: "reply", id: 1e6, payload: reply });
                    await clock.sleep(ONE_WAY_LATENCY_MS);
                    bytes += sent.length + received.length;
                    pulls += 1;
                    return reply;
                },
            }),
        )
    );
    announcementsByEntry.forEach((announcements, name) =>
        announcements.setOtherEntries(names.filter(other => other !== name))
    );
    const announce = (at: number) =>
        Array.from({ length: backendServers }, (_, index) => index)
            .filter(index => at % ANNOUNCEMENT_INTERVAL_MS === index * STEP_MS % ANNOUNCEMENT_INTERVAL_MS)
            .forEach(index =>
                announcementsByEntry.get(names[index % entries] as string)?.announce("expeditie", `backend-${index}`, {
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
    pulls = 0;
    await run(2_000, MEASURED_SECONDS * 1_000);
    const knownBackendServers = [...announcementsByEntry.values()].map(each => each.backendServers("expeditie").length);
    const row = {
        entries,
        backendServers,
        // Each byte is counted twice, because one entry sends it and another one receives it.
        sentAndReceivedBytesPerSecondOfAnEntry: Math.round(2 * bytes / MEASURED_SECONDS / entries),
        pollsPerSecondOfAnEntry: Math.round(pulls / MEASURED_SECONDS / entries),
        leastKnown: Math.min(...knownBackendServers),
    };
    process.stdout.write(`${JSON.stringify(row)}\n`);
    await Promise.all([...announcementsByEntry.values()].map(each => each.stop()));
};

for (const { entries, backendServers } of CASES) {
    await measureCase(entries, backendServers);
}
