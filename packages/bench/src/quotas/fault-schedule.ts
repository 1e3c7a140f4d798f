/**
 * Runs a schedule of faults against simulated entries under load, and checks that they never exceed a limit together.
 */
import { linkKey, shiftRequestsKey, slotsKey } from "hyssopfront/admission/budgets.js";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createQuotaSimulation, type SimulatedEntry, type SimulationOptions } from "./quota-simulation.js";
import { SAMPLE_BACKEND_SERVER, sampleView } from "./sample-view.js";
import { createTrafficRecorder } from "./traffic-recorder.js";

export enum FaultKind {
    /** Cuts an entry off from the control instances for a time. */
    Isolate = "isolate",
    Crash = "crash",
    ChangeLeader = "changeLeader",
    ChangeLimit = "changeLimit",
    ChangeLoad = "changeLoad",
    Remove = "remove",
    Register = "register",
}

export type Fault = {
    /** Simulated time in milliseconds. */
    readonly at: number;
    readonly kind: FaultKind;
    /** Index of the affected entry or control instance, modulo their number. */
    readonly target: number;
    readonly durationMilliseconds: number;
    /** Factor by which limits or the load are multiplied. */
    readonly factor: number;
};

export type FaultSchedule = {
    readonly seed: number;
    readonly faults: readonly Fault[];
    /** Probability that a message between an entry and a control instance is lost. */
    readonly lossProbability: number;
    /** Probability that such a message is duplicated. */
    readonly duplicationProbability: number;
    /** Upper bound of the delay of a tenth of the messages; the others take up to 20 ms. */
    readonly longestDelayMilliseconds: number;
    /** See `QuotaAllocatorOptions`. */
    readonly cacheMillisecondsPerHolder?: number;
};

const STEP_MS = 10;
const DURATION_MS = 30_000;
const ENTRIES = ["entry-1", "entry-2", "entry-3", "entry-4"];
const LONGEST_REQUEST_MS = 2_000;
const LIMITS = { requestsPerSecond: 200, linkBytesPerSecond: 1_000_000, slotsPerBackendServer: 6 };
/** Time after which every lease that was granted under an older limit has ended, also after a change of the leader. */
const LEASES_ENDED_MS = 16_000;

/** Creates a seeded generator of random numbers in [0, 1). */
export function createRandom(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    return () => uniformFloat64(generator);
}

/**
 * Runs the schedule.
 *
 * @param createBaseline Admission to check instead of the leased quotas.
 * @returns A description of the first excess, undefined if there was none; and the admitted units of each budget.
 */
export async function runFaultSchedule(
    schedule: FaultSchedule,
    createBaseline?: SimulationOptions["createBaseline"],
) {
    const random = createRandom(schedule.seed);
    const clockRate = () => 1 + (random() - 0.5) * 0.001;
    let limits = { ...LIMITS };
    let registered = [...ENTRIES];
    let revision = 1;
    const makeView = () => sampleView({ revision, entries: registered, ...limits });
    const simulation = createQuotaSimulation({
        view: makeView(),
        random,
        createBaseline,
        controlClockRates: [clockRate(), clockRate(), clockRate()],
        backendServers: [SAMPLE_BACKEND_SERVER],
        longestRequestMilliseconds: LONGEST_REQUEST_MS,
        cacheMillisecondsPerHolder: schedule.cacheMillisecondsPerHolder,
        network: {
            delay: () => random() < 0.9 ? 20 * random() : schedule.longestDelayMilliseconds * random(),
            isLost: () => random() < schedule.lossProbability,
            isDuplicated: () => random() < schedule.duplicationProbability,
        },
    });
    const recorders = {
        requests: createTrafficRecorder(limits.requestsPerSecond, true),
        bytes: createTrafficRecorder(limits.linkBytesPerSecond, true),
        slots: createTrafficRecorder(limits.slotsPerBackendServer, false),
    };
    const requestsKey = shiftRequestsKey("evening");
    const bytesKey = linkKey("hame", "itasuomi");
    const slotKey = slotsKey("tilauspalvelu", SAMPLE_BACKEND_SERVER.name);
    const loads = new Map(ENTRIES.map(name => [name, random() * 200]));
    let committedAt = 0;

    const commit = () => {
        revision++;
        committedAt = simulation.now();
        recorders.requests.addLimit(limits.requestsPerSecond);
        recorders.bytes.addLimit(limits.linkBytesPerSecond);
        recorders.slots.addLimit(limits.slotsPerBackendServer);
        simulation.commit(makeView(), () => 2_000 * random());
    };

    const supersedeOldLimits = () => {
        const haveAllProcessesApplied = [...simulation.entries.values()]
            .every(entry => !entry.isRunning || entry.view().revision >= revision);
        const now = simulation.now();
        if (haveAllProcessesApplied || now > committedAt + LEASES_ENDED_MS) {
            recorders.requests.supersedeOldLimits(now);
            recorders.bytes.supersedeOldLimits(now);
            // Requests that were given slots under the old limit may still be running.
            recorders.slots.supersedeOldLimits(now + LONGEST_REQUEST_MS);
        }
    };

    const releasesByEntry = new Map<SimulatedEntry, (() => void)[]>();

    const useSlot = (entry: SimulatedEntry) => {
        const slot = entry.admission.tryReserve([{ key: slotKey, amount: 1 }]);
        if (typeof slot === "string") {
            return;
        }
        recorders.slots.acquire(simulation.now(), 1);
        let isReleased = false;
        const release = () => {
            if (!isReleased) {
                isReleased = true;
                slot.release();
                recorders.slots.release(1);
            }
        };
        simulation.schedule(LONGEST_REQUEST_MS * 0.95 * random(), release);
        releasesByEntry.set(entry, [...releasesByEntry.get(entry) ?? [], release]);
    };

    const sendTraffic = (entry: SimulatedEntry) => {
        const expected = (loads.get(entry.name) ?? 0) * STEP_MS / 1_000;
        const attempts = Math.floor(expected + random());
        for (let attempt = 0; attempt < attempts; attempt++) {
            const bytes = Math.ceil(random() * 16_384);
            const demands = [{ key: requestsKey, amount: 1 }, { key: bytesKey, amount: bytes }];
            if (typeof entry.admission.tryReserve(demands) !== "string") {
                recorders.requests.acquire(simulation.now(), 1);
                recorders.bytes.acquire(simulation.now(), bytes);
            }
        }
        if (random() < 0.1) {
            useSlot(entry);
        }
    };

    const crash = (name: string) => {
        const entry = simulation.entries.get(name);
        simulation.crash(name);
        if (entry !== undefined) {
            (releasesByEntry.get(entry) ?? []).forEach(release => release());
        }
    };

    const inject = ({ kind, target, durationMilliseconds, factor }: Fault) => {
        const targetName = ENTRIES[target % ENTRIES.length] as string;
        const entry = simulation.entries.get(targetName);
        if (kind === FaultKind.Isolate && entry !== undefined) {
            entry.isIsolated = true;
            simulation.schedule(durationMilliseconds, () => entry.isIsolated = false);
        }
        if (kind === FaultKind.Crash && entry?.isRunning) {
            crash(targetName);
            simulation.schedule(durationMilliseconds, () => simulation.startEntry(targetName, clockRate()));
        }
        if (kind === FaultKind.ChangeLeader && simulation.leader() !== undefined) {
            simulation.stopLeading();
            simulation.schedule(Math.min(3_000, durationMilliseconds), () => simulation.elect(target % 3));
        }
        if (kind === FaultKind.ChangeLimit) {
            limits = {
                requestsPerSecond: Math.ceil(LIMITS.requestsPerSecond * factor),
                linkBytesPerSecond: Math.ceil(LIMITS.linkBytesPerSecond * factor),
                slotsPerBackendServer: Math.ceil(LIMITS.slotsPerBackendServer * factor),
            };
            commit();
        }
        if (kind === FaultKind.ChangeLoad) {
            loads.set(targetName, 300 * factor);
        }
        // Operators remove an entry only when its process has ended or receives the configuration.
        if (kind === FaultKind.Remove && registered.length > 1 && !entry?.isIsolated) {
            registered = registered.filter(other => other !== targetName);
            commit();
        }
        if (kind === FaultKind.Register && !registered.includes(targetName)) {
            registered = [...registered, targetName];
            commit();
        }
    };

    ENTRIES.forEach(name => simulation.startEntry(name, clockRate()));
    const faults = [...schedule.faults].sort((a, b) => a.at - b.at);
    while (simulation.now() < DURATION_MS) {
        await simulation.step(STEP_MS);
        while (faults[0] !== undefined && faults[0].at <= simulation.now()) {
            inject(faults.shift() as Fault);
        }
        supersedeOldLimits();
        [...simulation.entries.values()].filter(({ isRunning }) => isRunning).forEach(sendTraffic);
    }
    const all = Object.entries(recorders);
    return {
        excess: all.map(([name, { excess }]) => excess() && `${name}: ${excess()}`).find(text => text !== undefined),
        admitted: Object.fromEntries(all.map(([name, { total }]) => [name, total()])),
    };
}
