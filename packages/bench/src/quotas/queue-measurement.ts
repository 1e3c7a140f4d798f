/**
 * Measures first requests of idle entries and the slots in use when all traffic arrives at one entry, in the simulation.
 */
import { createQueueSimulation, type QueueSimulationOptions, WARM_UP_MS } from "./queue-simulation.js";

/** Pause before each first request, longer than the time in which use is remembered as demand. */
const IDLE_MS = 2_500;

/** Sends one request to each entry in turn, after all have been idle. */
export async function measureFirstRequests(options: QueueSimulationOptions) {
    const simulation = createQueueSimulation(options);
    await simulation.run(WARM_UP_MS);
    for (const entry of simulation.names) {
        void simulation.send({ entry });
        await simulation.run(IDLE_MS);
    }
    return simulation.completedRequests.map(({ request, result, sentAt, admittedAt }) => ({
        entry: request.entry,
        floorCount: simulation.floorCountOf(request.entry),
        result,
        waitMilliseconds: admittedAt - sentAt,
    }));
}

/**
 * Keeps as many requests at the first entry as there are slots, each sent anew when it ends or is refused.
 *
 * @param milliseconds Time for which the requests are sent.
 * @returns Slots in use as a share of all, and of those that the other entries' floors leave, at the end.
 */
export async function measureSingleEntryLoad(options: QueueSimulationOptions, milliseconds: number) {
    const simulation = createQueueSimulation(options);
    const entry = simulation.names[0]!;
    const all = options.backendServers * options.slots;
    await simulation.run(WARM_UP_MS);
    let waiting = 0;
    const send = async () => {
        waiting += 1;
        await simulation.send({ entry });
        waiting -= 1;
    };
    await simulation.run(milliseconds, () => {
        for (let count = waiting + simulation.running(); count < all; count += 1) {
            void send();
        }
    });
    const samples: number[] = [];
    await simulation.run(500, () => {
        samples.push(simulation.running());
        for (let count = waiting + simulation.running(); count < all; count += 1) {
            void send();
        }
    });
    const used = samples.reduce((sum, sample) => sum + sample, 0) / samples.length;
    return { shareOfAll: used / all, shareOfLeasable: used / simulation.leasableSlotsOf(entry) };
}
