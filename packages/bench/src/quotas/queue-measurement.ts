/**
 * Measures the first requests at idle entries, and the slots in use when all traffic arrives at one entry, in the
 * simulation of request queues.
 */
import { createQueueSimulation, type QueueSimulationOptions, WARM_UP_MS } from "./queue-simulation.js";

/** Pause before each first request. Longer than the time for which past usage counts as demand. */
const IDLE_MS = 2_500;

/** Sends one request to each idle entry in turn. */
export async function measureFirstRequests(options: QueueSimulationOptions) {
    const simulation = createQueueSimulation(options);
    await simulation.run(WARM_UP_MS);
    for (const entry of simulation.names) {
        void simulation.send({ entry });
        await simulation.run(IDLE_MS);
    }
    return simulation.completedRequests.map(({ request, result, sentAt, admittedAt }) => ({
        entry: request.entry,
        floorCount: simulation.countFloors(request.entry),
        result,
        waitMilliseconds: admittedAt - sentAt,
    }));
}

/**
 * Keeps as many requests queued or running at the first entry as there are slots.
 *
 * @param milliseconds Time for which requests are sent before the slots in use are averaged over 500 ms.
 * @returns Slots in use as a share of all slots, and of those that the quota floors of the other entries leave.
 */
export async function measureSingleEntryLoad(options: QueueSimulationOptions, milliseconds: number) {
    const simulation = createQueueSimulation(options);
    const entry = simulation.names[0]!;
    const totalSlots = options.backendServers * options.slots;
    await simulation.run(WARM_UP_MS);
    let queued = 0;
    const send = async () => {
        queued += 1;
        await simulation.send({ entry });
        queued -= 1;
    };
    await simulation.run(milliseconds, () => {
        for (let count = queued + simulation.running(); count < totalSlots; count += 1) {
            void send();
        }
    });
    const samples: number[] = [];
    await simulation.run(500, () => {
        samples.push(simulation.running());
        for (let count = queued + simulation.running(); count < totalSlots; count += 1) {
            void send();
        }
    });
    const meanSlots = samples.reduce((sum, sample) => sum + sample, 0) / samples.length;
    return { shareOfAll: meanSlots / totalSlots, shareOfLeasable: meanSlots / simulation.countLeasableSlots(entry) };
}
