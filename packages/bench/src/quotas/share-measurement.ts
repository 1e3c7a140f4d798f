/**
 * Measures which share of a cap the entries can use, and how long a quota takes to move between entries, in a
 * simulation without faults.
 */
import { shiftRequestsKey } from "hyssopfront/admission/budgets.js";
import { createRandom } from "./fault-schedule.js";
import { createQuotaSimulation, type SimulationOptions } from "./quota-simulation.js";
import { sampleView } from "./sample-view.js";
import { createTrafficRecorder } from "./traffic-recorder.js";

const STEP_MS = 5;
/** A new control leader grants nothing until the leases that an earlier leader may have granted have expired. */
const WARM_UP_MS = 10_000;
/** Long in relation to the window of a second, whose bursts would otherwise distort the measured share. */
const MEASURED_MS = 120_000;
/** A quota counts as moved when this fraction of the offered load or of the cap, whichever is less, can be used. */
const MOVED_FRACTION = 0.8;
const MOVE_CHECK_INTERVAL_MS = 10;

export type ShareOptions = {
    readonly entries: number;
    readonly requestsPerSecond: number;
    /** Fraction of the offered requests that the entry with the given index receives. The sum may be less than 1. */
    readonly split: (index: number) => number;
    /** Offered request rate as a multiple of the cap. */
    readonly offeredLoad: number;
    readonly seed: number;
    readonly createBaseline?: SimulationOptions["createBaseline"];
};

function createShareSimulation(options: ShareOptions) {
    const random = createRandom(options.seed);
    const names = Array.from({ length: options.entries }, (_, index) => `entry-${index + 1}`);
    const simulation = createQuotaSimulation({
        view: sampleView({ revision: 1, entries: names, requestsPerSecond: options.requestsPerSecond }),
        random,
        createBaseline: options.createBaseline,
        controlClockRates: [1],
        backendServers: [],
        longestRequestMilliseconds: 1_000,
        network: { delay: () => 20, isLost: () => false, isDuplicated: () => false },
    });
    const recorder = createTrafficRecorder(options.requestsPerSecond, true);
    const recorders = names.map(() => createTrafficRecorder(options.requestsPerSecond, true));
    names.forEach(name => simulation.startEntry(name, 1 + (random() - 0.5) * 0.001));
    const key = shiftRequestsKey("evening");

    const run = async (milliseconds: number, split: (index: number) => number) => {
        const end = simulation.now() + milliseconds;
        while (simulation.now() < end) {
            await simulation.step(STEP_MS);
            names.forEach((name, index) => {
                const rate = options.requestsPerSecond * options.offeredLoad * split(index);
                const attempts = Math.floor(rate * STEP_MS / 1_000 + random());
                for (let attempt = 0; attempt < attempts; attempt++) {
                    const result = simulation.entries.get(name)?.admission.tryReserve([{ key, amount: 1 }]);
                    if (typeof result !== "string") {
                        recorder.acquire(simulation.now(), 1);
                        recorders[index]?.acquire(simulation.now(), 1);
                    }
                }
            });
        }
    };
    /** Requests that the entry admitted in the last second, plus those that it could admit now. */
    const usableRateAt = (index: number) => {
        const available = simulation.entries.get(names[index] ?? "")?.admission.available(key) ?? 0;
        return available + (recorders[index]?.sum(simulation.now()) ?? 0);
    };
    return { run, recorder, usableRateAt };
}

/** Measures the mean admitted request rate and the maximum over a second, both as fractions of the cap. */
export async function measureUsableShare(options: ShareOptions) {
    const { run, recorder } = createShareSimulation(options);
    await run(WARM_UP_MS, options.split);
    recorder.resetTotal();
    await run(MEASURED_MS, options.split);
    return {
        usableShare: recorder.total() / (options.requestsPerSecond * MEASURED_MS / 1_000),
        highestSecond: recorder.highestSum() / options.requestsPerSecond,
    };
}

/**
 * Measures the time in which a quota moves when all traffic moves from the first entry to the second.
 *
 * @returns Milliseconds until the second entry can use the moved quota; undefined if it cannot within 10 s.
 */
export async function measureQuotaMove(options: Omit<ShareOptions, "split">): Promise<number | undefined> {
    const { run, usableRateAt } = createShareSimulation({ ...options, split: () => 0 });
    const allTrafficAt = (chosen: number) => (index: number) => index === chosen ? 1 : 0;
    await run(WARM_UP_MS, allTrafficAt(0));
    const goal = options.requestsPerSecond * Math.min(1, options.offeredLoad) * MOVED_FRACTION;
    for (let elapsedMilliseconds = 0; elapsedMilliseconds < 10_000; elapsedMilliseconds += MOVE_CHECK_INTERVAL_MS) {
        if (usableRateAt(1) >= goal) {
            return elapsedMilliseconds;
        }
        await run(MOVE_CHECK_INTERVAL_MS, allTrafficAt(1));
    }
    return undefined;
}
