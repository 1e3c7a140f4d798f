/**
 * Measures which share of a cap the entries can use, and how long a portion takes to move, without faults.
 */
import { shiftRequestsKey } from "hyssopfront/admission/budgets.js";
import { createRandom } from "./fault-schedule.js";
import { createQuotaSimulation, type SimulationOptions } from "./quota-simulation.js";
import { sampleView } from "./sample-view.js";
import { createTrafficRecorder } from "./traffic-recorder.js";

const STEP_MS = 5;
/** A control leader that has just started waits for leases of an earlier leader before it grants anything. */
const WARM_UP_MS = 10_000;
/** Long against the window, whose bursts would otherwise decide the figure. */
const MEASURED_MS = 120_000;
/** Part of the offered requests or of the cap, whichever is less, at which a portion counts as moved. */
const MOVED_SHARE = 0.8;
const MOVE_PROBE_MS = 10;

export type ShareOptions = {
    readonly entries: number;
    readonly requestsPerSecond: number;
    /** Part of the offered requests that arrives at each entry, by index; the rest arrives nowhere. */
    readonly split: (index: number) => number;
    /** Offered requests as a multiple of the cap. */
    readonly offeredLoad: number;
    readonly seed: number;
    readonly createBaseline?: SimulationOptions["createBaseline"];
};

function createRun(options: ShareOptions) {
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
                        recorder.take(simulation.now(), 1);
                        recorders[index]?.take(simulation.now(), 1);
                    }
                }
            });
        }
    };
    /** What the entry carried in the last second and could still carry now. */
    const usableAt = (index: number) => {
        const available = simulation.entries.get(names[index] ?? "")?.admission.available(key) ?? 0;
        return available + (recorders[index]?.sum(simulation.now()) ?? 0);
    };
    return { run, recorder, usableAt };
}

/** Measures the carried share of the cap and the highest carried second, both as a fraction of the cap. */
export async function measureUsableShare(options: ShareOptions) {
    const { run, recorder } = createRun(options);
    await run(WARM_UP_MS, options.split);
    recorder.resetCarried();
    await run(MEASURED_MS, options.split);
    return {
        usableShare: recorder.carried() / (options.requestsPerSecond * MEASURED_MS / 1_000),
        highestSecond: recorder.highest() / options.requestsPerSecond,
    };
}

/**
 * Moves all traffic from the first entry to the second.
 *
 * @returns Milliseconds until the second may use the moved share; undefined when it never may.
 */
export async function measureQuotaMove(options: Omit<ShareOptions, "split">): Promise<number | undefined> {
    const { run, usableAt } = createRun({ ...options, split: () => 0 });
    const onlyAt = (chosen: number) => (index: number) => index === chosen ? 1 : 0;
    await run(WARM_UP_MS, onlyAt(0));
    const goal = options.requestsPerSecond * Math.min(1, options.offeredLoad) * MOVED_SHARE;
    for (let elapsed = 0; elapsed < 10_000; elapsed += MOVE_PROBE_MS) {
        if (usableAt(1) >= goal) {
            return elapsed;
        }
        await run(MOVE_PROBE_MS, onlyAt(1));
    }
    return undefined;
}
